"""Run one cell of the benchmark: a policy, a scenario and a seed on its own fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import trio
from hdrh.histogram import HdrHistogram

from corianderlb_core import header
from corianderlb_core.catalogue import ServiceClass

from .fleet import Fleet, running_fleet
from .fleet_plan import FleetPlan, default_entries
from .load_client import LoadClient, StreamAnswer
from .sse import CHARS_PER_TOKEN
from .workload import PIECE_CHARS, Arrival, Scenario, draw_arrivals

PREFILL_S: Final = 0.05
"""Prefill time of one uncached piece."""

CACHE_PIECES: Final = 128
"""Capacity of each engine's cache."""

REPORT_LAG_S: Final = 0.25
"""Age of load reports in all scenarios except ``LATE_REPORTS``."""

LATE_REPORT_LAG_S: Final = 2.0
"""Age of load reports in ``LATE_REPORTS``."""

RESTART_DELAY_S: Final = 4.0
"""Time from an engine's kill to its restart with an empty cache."""

ANSWER_TIMEOUT_S: Final = 20.0
"""Maximum wait for answers after the last arrival."""

MAX_TTFT_US: Final = 120_000_000
"""Upper bound of the histograms; longer times are recorded as this value."""


@dataclass(frozen=True)
class CellPlan:
    """Parameters of one cell."""

    policy: str
    scenario: str
    seed: int
    seconds: float = 28.0
    warm_s: float = 8.0
    """Requests due before this time warm the caches and are not measured."""
    rate: float = 32.0
    """Requests per second."""
    n_routers: int = 4


@dataclass
class CellResult:
    """Results of one cell, with encoded histograms that can be merged over seeds."""

    plan: CellPlan
    n_requests: int = 0
    n_failed: int = 0
    failures: dict[str, int] = field(default_factory=dict)
    pieces_asked: int = 0
    pieces_hit: int = 0
    pieces_recomputed: int = 0
    pieces_wasted: int = 0
    """Pieces recomputed although an engine had computed them before."""
    ttft: dict[str, str] = field(default_factory=dict)
    """Encoded histogram of TTFT in microseconds, by service class."""


class Cell:
    """Send the workload to a fleet and record the answers."""

    def __init__(self, plan: CellPlan) -> None:
        self._plan = plan
        self._scenario = Scenario(plan.scenario)
        self._requested_pieces: set[tuple[str, int]] = set()
        self._failures: Counter[str] = Counter()
        self._histograms = {
            cls.value: HdrHistogram(1, MAX_TTFT_US, 3) for cls in ServiceClass
        }
        self.result = CellResult(plan)

    async def run(self) -> CellResult:
        """Run the cell and return its results."""
        plan = self._plan
        limit_s = plan.seconds + ANSWER_TIMEOUT_S + 60.0
        async with running_fleet(self._fleet_plan(), limit_s) as fleet:
            clients = [LoadClient(router.address, 60.0) for router in fleet.routers]
            await self._send_workload(fleet, clients)
            for client in clients:
                await client.close()
        self.result.failures = dict(self._failures)
        self.result.ttft = {
            name: histogram.encode().decode()
            for name, histogram in self._histograms.items()
        }
        return self.result

    def _fleet_plan(self) -> FleetPlan:
        is_late = self._scenario is Scenario.LATE_REPORTS
        lag_s = LATE_REPORT_LAG_S if is_late else REPORT_LAG_S
        arguments = {
            "--prefill-s": PREFILL_S,
            "--token-s": 0.01,
            "--cache-pieces": CACHE_PIECES,
            "--load-lag-s": lag_s,
        }
        return FleetPlan(
            n_services=0,
            n_routers=self._plan.n_routers,
            engine_arguments=tuple(
                str(item) for pair in arguments.items() for item in pair
            ),
            router_settings={"placement": {"policy": self._plan.policy}},
            entries=default_entries(prefill_s_per_piece=PREFILL_S),
        )

    async def _send_workload(self, fleet: Fleet, clients: list[LoadClient]) -> None:
        plan = self._plan
        arrivals = draw_arrivals(
            self._scenario, plan.seed, plan.rate, plan.seconds, plan.n_routers
        )
        started = trio.current_time()
        with trio.move_on_after(plan.seconds + ANSWER_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                if self._scenario is Scenario.ENGINE_KILLED:
                    nursery.start_soon(self._kill_engine, fleet, plan.seconds / 2)
                for arrival in arrivals:
                    await trio.sleep_until(started + arrival.at)
                    client = clients[arrival.router]
                    nursery.start_soon(self._send, client, arrival, started)
        n_expected = sum(arrival.at >= plan.warm_s for arrival in arrivals)
        self._count_unfinished(n_expected)

    def _count_unfinished(self, n_expected: int) -> None:
        """Count requests without an answer as failed."""
        n_unfinished = n_expected - self.result.n_requests
        if n_unfinished:
            self._failures["unfinished"] += n_unfinished
            self.result.n_requests += n_unfinished
            self.result.n_failed += n_unfinished

    async def _kill_engine(self, fleet: Fleet, delay_s: float) -> None:
        await trio.sleep(delay_s)
        await fleet.engines[0].kill()
        await trio.sleep(RESTART_DELAY_S)
        await fleet.restart(fleet.engines[0].name)

    async def _send(self, client: LoadClient, arrival: Arrival, started: float) -> None:
        # TTFT counts from the time the request was due, so that a delay in sending
        # does not hide a slow answer.
        send_delay_s = trio.current_time() - (started + arrival.at)
        headers = {header.SERVICE_CLASS: arrival.service_class.value}
        answer = await client.stream(
            arrival.prompt, arrival.n_tokens, arrival.account, headers=headers
        )
        n_new_pieces = self._count_new_pieces(arrival)
        if arrival.at >= self._plan.warm_s:
            self._record(arrival, answer, send_delay_s, n_new_pieces)

    def _count_new_pieces(self, arrival: Arrival) -> int:
        """Return the number of pieces that no earlier request had."""
        names = set(arrival.piece_names)
        n_new_pieces = len(names - self._requested_pieces)
        self._requested_pieces |= names
        return n_new_pieces

    def _record(
        self,
        arrival: Arrival,
        answer: StreamAnswer,
        send_delay_s: float,
        n_new_pieces: int,
    ) -> None:
        result = self.result
        result.n_requests += 1
        if not answer.complete:
            result.n_failed += 1
            self._failures[str(answer.error.get("name", answer.error))] += 1
            return
        n_requested = len(arrival.piece_names)
        n_hit = answer.cached_tokens * CHARS_PER_TOKEN // PIECE_CHARS
        result.pieces_asked += n_requested
        result.pieces_hit += n_hit
        result.pieces_recomputed += n_requested - n_hit
        result.pieces_wasted += max(0, n_requested - n_hit - n_new_pieces)
        ttft_us = int((answer.first_token_s + send_delay_s) * 1e6)
        histogram = self._histograms[arrival.service_class.value]
        histogram.record_value(min(ttft_us, MAX_TTFT_US))


@dataclass(frozen=True)
class Row:
    """Results of one policy in one scenario, merged over all seeds."""

    scenario: str
    policy: str
    n_requests: int
    n_failed: int
    hit_rate: float
    pieces_recomputed: int
    pieces_wasted: int
    ttft_ms: dict[str, tuple[float, ...]]
    """Milliseconds at each of ``bench.QUANTILES``, by service class."""
