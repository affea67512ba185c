"""Routers before one upstream that counts what arrives, as the allowance counts it."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.forwarding import RepeatKind
from corianderlb_core.identity import InstanceId, Role
from corianderlb_router.router_registration import RouterEntry, RouterRegistration
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.retry_window import RetryWindow, worst_window
from data_path_fakes import FakePeers
from forward_builders import (
    ForwardRouter,
    Upstream,
    UpstreamNetwork,
    a_configuration,
    a_route,
    a_router_in,
    an_answer,
)


@dataclass
class Arrivals:
    """Requests that callers sent to an upstream, and attempts that it has read."""

    terms: BudgetTerms
    sent_at: list[float] = field(default_factory=list)
    repeats_at: list[float] = field(default_factory=list)
    """Arrivals beyond the first of each request."""
    _read: set[str] = field(default_factory=set)

    def sent(self) -> str:
        """Record a request of a caller; return its id."""
        self.sent_at.append(trio.current_time())
        return f"q{len(self.sent_at)}"

    def read(self, request_id: str) -> None:
        """Record an attempt that an instance has read."""
        if request_id in self._read:
            self.repeats_at.append(trio.current_time())
        self._read.add(request_id)

    def worst_window(self) -> RetryWindow | None:
        """Return the window with the most repeats beyond the allowance."""
        return worst_window(self.repeats_at, self.sent_at, self.terms)


@dataclass
class CountedUpstream(Upstream):
    """Upstream that fails requests and stands still at times, as functions of time."""

    script: list = field(default_factory=list)
    arrivals: Arrivals | None = None
    fails: Callable[[float], bool] = lambda now: False
    resumes_at: Callable[[float], float] = lambda now: now
    """When an instance reads what reaches it at a time."""

    async def serve(self, stream: trio.abc.Stream) -> None:
        await trio.sleep_until(self.resumes_at(trio.current_time()))
        self.script = [self._answer]
        await super().serve(stream)

    async def _answer(self, stream: trio.abc.Stream) -> None:
        self.arrivals.read(self.requests[-1]["x-id"])
        status = 500 if self.fails(trio.current_time()) else 200
        await stream.send_all(an_answer(status=status))


class RetryFleet:
    """Routers whose callers send requests at a rate; each router gets its turn.

    All routers share the upstream ``app`` and its allowance.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        terms: BudgetTerms,
        n_routers: int,
        upstreams: dict[str, CountedUpstream],
    ) -> None:
        self.arrivals = Arrivals(terms)
        self.started_at = trio.current_time()
        self._nursery = nursery
        self._network = UpstreamNetwork(nursery, upstreams)
        for upstream in upstreams.values():
            upstream.arrivals = self.arrivals
        self._fleet: list[FakePeers] = []
        self.store = FakeStore()
        self.routers = [self._a_router(f"r{n}") for n in range(n_routers)]

    def _a_router(self, name: str) -> ForwardRouter:
        terms = self.arrivals.terms
        router = a_router_in(self._network, terms, name, self._fleet)
        route = a_route("read", RepeatKind.IDEMPOTENT, "app", max_attempts=3)
        router.configure(a_configuration(routes=(route,)))
        registration = RouterRegistration(self.store, random.Random(1))
        router.parts = dataclasses.replace(
            router.parts, ran_before_s=lambda: registration.ran_before_s
        )
        router.mark_process_start()
        now_ms = round(trio.current_time() * 1000)
        entry = RouterEntry(
            InstanceId(name), Role.ROUTER, "z", "r", "", started_ms=now_ms
        )
        self._nursery.start_soon(registration.keep, entry, lambda listed: None)
        return router

    def restart(self) -> None:
        """Restart all routers, which forget what they knew."""
        names = [router.peers.own for router in self.routers]
        self._fleet.clear()
        self.routers = [self._a_router(name) for name in names]

    async def send(self, seconds: float, per_s: float) -> None:
        """Send the requests of some time, evenly spaced."""
        ends_at = trio.current_time() + seconds
        number = 0
        while trio.current_time() < ends_at:
            router = self.routers[number % len(self.routers)]
            self._nursery.start_soon(self._ask, router)
            number += 1
            await trio.sleep(1 / per_s)

    async def _ask(self, router: ForwardRouter) -> None:
        await router.ask("/read/1", x_id=self.arrivals.sent())


@dataclass
class Spell:
    """A time in which something happens, in seconds from the start of a day."""

    since: float
    until: float

    def covers(self, at: float) -> bool:
        """Return whether it is going on at a time of the day."""
        return self.since <= at < self.until


@dataclass
class RetryDay:
    """A day of surges, failures, standstills and restarts that overlap."""

    length_s: float
    per_s: float
    surges: list[tuple[Spell, float]]
    restarts_at: list[float]
    upstreams: dict[str, CountedUpstream]

    async def play(self, fleet: RetryFleet) -> None:
        """Send the requests of the day; restart the routers when it is time."""
        restarts = sorted(self.restarts_at)
        while (at := trio.current_time() - fleet.started_at) < self.length_s:
            while restarts and restarts[0] <= at:
                restarts.pop(0)
                fleet.restart()
            factors = [x for spell, x in self.surges if spell.covers(at)]
            await fleet.send(0.1, self.per_s * max(factors, default=1.0))


def a_retry_day(seed: int, terms: BudgetTerms) -> RetryDay:
    """Build a day of three windows from a seed."""
    rng = random.Random(seed)
    length_s = 3 * terms.window_s

    def a_spell(min_s: float, max_s: float) -> Spell:
        since = rng.uniform(0, length_s - min_s)
        return Spell(since, since + rng.uniform(min_s, max_s))

    started_at = trio.current_time()
    errors = [a_spell(1, terms.window_s) for _ in range(rng.randint(1, 3))]
    upstreams = {}
    for number in range(4):
        standstills = [a_spell(0.3, 4) for _ in range(rng.randint(0, 2))]
        upstreams[f"s{number}"] = CountedUpstream(
            fails=lambda now: any(s.covers(now - started_at) for s in errors),
            resumes_at=lambda now, standstills=standstills: max(
                (
                    started_at + s.until
                    for s in standstills
                    if s.covers(now - started_at)
                ),
                default=now,
            ),
        )
    return RetryDay(
        length_s,
        per_s=rng.choice((5, 20, 40)),
        surges=[(a_spell(0.3, 3), rng.uniform(2, 8)) for _ in range(rng.randint(0, 3))],
        restarts_at=[rng.uniform(1, length_s) for _ in range(rng.choice((0, 0, 2, 6)))],
        upstreams=upstreams,
    )
