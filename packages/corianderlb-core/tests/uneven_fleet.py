"""Simulate a fleet before engines of unequal speed that have moments of slowness."""

from __future__ import annotations

import heapq
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field

from corianderlb_core.engine_choice import EngineView, choose_engine
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.instance_speed import (
    IncarnationSpeed,
    InstanceSpeeds,
    record_told,
)
from corianderlb_core.message import EngineUpdate, EngineWork, encode
from corianderlb_core.part_index import PartIndex
from corianderlb_core.prefill_estimate import (
    OVERHEAD_S,
    CommonEstimates,
    PeerWork,
    PrefillEstimator,
)
from corianderlb_core.update_schedule import UpdateSchedule
from forward_data import a_prompt, a_query

TOKENS_PER_S = 48_000.0
TIMES = (0.7, 0.7, 1.7)
"""How long work takes on the engines at their usual, by turns."""

SLOWDOWN = 2.5
SLOW_S = 0.6
SLOW_SHARE = 0.15
LONG_S = 0.05
"""Prefill from which a prompt is announced before its turn, as by the router."""

MEAN_TOKENS = 2_800.0
RUN_S = 0.3
LINKED_SHARE = 2 / 3
LINK_S = 0.002
LATE_FROM_S = 2.0
"""When links become slow, in a fleet where they do."""


class Engine:
    """An engine that prefills in order of arrival, slower at moments."""

    def __init__(self, time: float, until: float, rng: random.Random) -> None:
        self._time = time
        self.tokens_per_s = TOKENS_PER_S / time
        self._bounds = [0.0]
        """Times at which its pace changes, at first from the usual to the slow one."""
        gap_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        while self._bounds[-1] < until:
            self._bounds.append(self._bounds[-1] + rng.expovariate(1 / gap_s))
            self._bounds.append(self._bounds[-1] + SLOW_S * rng.uniform(0.6, 1.4))
        self.free_at = 0.0
        self.ends: list[float] = []
        """When each request that it has will have left it."""

    def slowdown(self, now: float) -> float:
        """Return how long work takes at a moment."""
        return self._time * (SLOWDOWN if self.is_slow(now) else 1.0)

    def is_slow(self, now: float) -> bool:
        """Return whether it has a moment of slowness."""
        return bisect_right(self._bounds, now) % 2 == 0

    def done_at(self, n_tokens: float, now: float) -> float:
        """Return when a prompt that arrives now will have been prefilled."""
        at = max(now, self.free_at)
        left = n_tokens / self.tokens_per_s
        while True:
            index = bisect_right(self._bounds, at)
            pace = 1.0 if index % 2 else 1 / SLOWDOWN
            until = self._bounds[index] if index < len(self._bounds) else float("inf")
            if left <= (until - at) * pace:
                return at + left / pace
            left -= (until - at) * pace
            at = until

    def report(self, now: float) -> InstanceLoadReport:
        """Return what its answers say at a moment."""
        self.ends = [end for end in self.ends if end > now]
        return InstanceLoadReport(len(self.ends), 0, 64, self.slowdown(now))


@dataclass
class Router:
    """What one router knows of the engines."""

    views: list[EngineView]
    speeds: InstanceSpeeds
    schedule: UpdateSchedule = field(default_factory=UpdateSchedule)
    n_scheduled: int = 0
    """Number of the announcement that is scheduled; earlier ones were replaced."""
    n_bytes: int = 0
    """Bytes of what it announced of speeds, over one link."""
    n_all: int = 0
    """Bytes of all its announcements, over one link."""
    n_told: int = 0
    told_of: set[int] = field(default_factory=set)
    """Engines with work in the last announcement."""


@dataclass(frozen=True)
class Trouble:
    """What goes wrong between the routers."""

    lost_share: float = 0.0
    late_s: float = 0.0
    apart: tuple[float, float] = (-1.0, -1.0)
    """Time from and until which a third of the routers hears no other."""
    restart_at: float = -1.0
    """When all routers lose what they know."""


class UnevenFleet:
    """A fleet of routers before 30 engines."""

    def __init__(
        self,
        n_routers: int,
        load: float = 0.5,
        seed: int = 1,
        trouble: Trouble | None = None,
        knows_all: bool = False,
        knows_engines: bool = False,
        tells_slowdown: bool = True,
        n_engines: int = 30,
        for_s: float = 40.0,
    ) -> None:
        self.rng = random.Random(seed)
        self._trouble = trouble or Trouble()
        self._knows_all = knows_all
        self._knows_engines = knows_engines
        self._tells = tells_slowdown
        self._for_s = for_s
        self._instances = [
            ForwardInstance(f"engine-{n}", "llm", f"e{n}:80", "z", 64, born_ms=1 << 40)
            for n in range(n_engines)
        ]
        self._upstreams = {item.incarnation_key: "llm" for item in self._instances}
        self.engines = [
            Engine(TIMES[n % len(TIMES)], for_s, self.rng) for n in range(n_engines)
        ]
        self.routers = [self._new_router() for _ in range(n_routers)]
        self.interval_s = max(0.2, 0.012 * (n_routers - 1))
        self._per_s = load * sum(item.tokens_per_s for item in self.engines)
        self._per_s /= MEAN_TOKENS
        self._scale = 1 / LINKED_SHARE
        self._index = PartIndex()
        self.first_s: list[tuple[float, float]] = []
        """Arrival and time to the first token of each request."""
        self.sent = [0] * n_engines
        self.sent_slow = 0
        self._n_events = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def play(self) -> UnevenFleet:
        """Let requests arrive until the end."""
        now = 0.0
        while now < self._for_s:
            now += self.rng.expovariate(self._per_s)
            n_tokens = round(MEAN_TOKENS * self.rng.lognormvariate(-0.5, 1.0))
            router = self.rng.randrange(len(self.routers))
            self._at(now, self._arrival(router, min(54_000, max(50, n_tokens))))
        if not self._knows_all:
            for number in range(len(self.routers)):
                self._schedule(number, self.interval_s * self.rng.random())
            if self._trouble.restart_at >= 0:
                self._at(self._trouble.restart_at, self._restart)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        return self

    def p95(self, since: float) -> float:
        """Return the 95th percentile of the time to the first token, in seconds.

        Requests that arrived before ``since`` are left out.
        """
        found = sorted(first_s for at, first_s in self.first_s if at >= since)
        return found[int(0.95 * len(found))]

    def _new_router(self) -> Router:
        common, speeds = CommonEstimates(), InstanceSpeeds(self.rng.getrandbits(32))
        views = []
        for item in self._instances:
            speed = IncarnationSpeed(speeds, item.incarnation_key, "llm")
            views.append(EngineView(item, PrefillEstimator(64, common, speed=speed), 1))
        return Router(views, speeds)

    def _at(self, moment: float, act: Callable[[float], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (moment, self._n_events, act))

    def _restart(self, now: float) -> None:
        for number in range(len(self.routers)):
            self.routers[number] = self._new_router()
            self._schedule(number, now + self.interval_s * self.rng.random())

    def _arrival(self, number: int, n_tokens: int) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            router = self.routers[number]
            if self._knows_all:
                ends = [engine.done_at(n_tokens, now) for engine in self.engines]
                chosen = ends.index(min(ends))
            else:
                if self._knows_engines:
                    self._reveal(router, now)
                query = a_query(a_prompt(own=n_tokens), objective_left_s=1e9, now=now)
                choice = choose_engine(query, router.views, self._index, self.rng)
                assert choice is not None
                chosen = router.views.index(choice.view)
            self._send(router, number, chosen, n_tokens, now)

        return arrive

    def _reveal(self, router: Router, now: float) -> None:
        """Tell a router the true speeds and slowdowns, though not the queues."""
        for engine, view in zip(self.engines, router.views, strict=True):
            key = view.instance.incarnation_key
            router.speeds._found(key, "llm").tokens_per_s = TOKENS_PER_S
            report = InstanceLoadReport(slowdown=engine.slowdown(now))
            view.estimator.reported.record(report, now)

    def _send(
        self, router: Router, number: int, chosen: int, n_tokens: int, now: float
    ) -> None:
        engine, key = self.engines[chosen], str(self._n_events)
        estimator = router.views[chosen].estimator
        estimator.sent(key, n_tokens, now, n_tokens)
        done_at = engine.free_at = engine.done_at(n_tokens, now)
        first_at = done_at + OVERHEAD_S
        engine.ends.append(done_at + RUN_S)
        self.first_s.append((now, first_at - now))
        self.sent[chosen] += n_tokens
        self.sent_slow += n_tokens * (engine.is_slow(now))

        def first_token(at: float) -> None:
            if self._tells:
                report = engine.report(at)
                estimator.reported.record(report, at)
                incarnation_key = self._instances[chosen].incarnation_key
                router.speeds.record_report(incarnation_key, "llm", report, at)
            estimator.first_token(key, at)

        if estimator.is_uneven and estimator.prefill_time_s(n_tokens) > LONG_S:
            wait_s = router.schedule.earliest_s(self.interval_s, now)
            self._schedule(number, now + wait_s)
        self._at(first_at, first_token)
        self._at(done_at + RUN_S, lambda at: estimator.ended(key, at))

    def _is_apart(self, number: int, now: float) -> bool:
        since, until = self._trouble.apart
        return since <= now < until and number < len(self.routers) // 3

    def _schedule(self, number: int, at: float) -> None:
        router = self.routers[number]
        router.n_scheduled += 1
        self._at(at, self._tell(number, router.n_scheduled))

    def _tell(self, number: int, n_scheduled: int) -> Callable[[float], None]:
        def tell(now: float) -> None:
            router = self.routers[number]
            if router.n_scheduled != n_scheduled:
                return
            router.schedule.sent(self.interval_s, now)
            router.n_told += 1
            busy = {n for n, v in enumerate(router.views) if v.estimator.n_requests}
            told_of, router.told_of = busy | router.told_of, busy
            work = tuple(
                EngineWork(
                    *view.instance.incarnation_key,
                    view.estimator.queued_tokens,
                    view.estimator.n_requests,
                    0,
                    view.estimator.n_held,
                )
                for view in (router.views[n] for n in sorted(told_of))
            )
            update = EngineUpdate(work, speeds=router.speeds.announcement(now))
            told = EngineUpdate(speeds=update.speeds)
            router.n_all += len(encode(update))
            router.n_bytes += len(encode(told)) - len(encode(EngineUpdate()))
            for peer in range(len(self.routers)):
                if peer == number or (peer * 7 + number * 5) % 3 == 0:
                    continue
                if self.rng.random() < self._trouble.lost_share:
                    continue
                if self._is_apart(number, now) or self._is_apart(peer, now):
                    continue
                is_late = now >= LATE_FROM_S
                late_s = LINK_S + (self._trouble.late_s if is_late else 0.0)
                self._at(now + late_s, self._hear(peer, f"r{number}", update))
            if now < self._for_s:
                wait_s = router.schedule.latest_s(self.interval_s, now)
                self._schedule(number, now + wait_s)

        return tell

    def _hear(
        self, peer: int, sender: str, update: EngineUpdate
    ) -> Callable[[float], None]:
        def hear(now: float) -> None:
            router = self.routers[peer]
            for work in update.work:
                engine = int(work.instance.rpartition("-")[2])
                router.views[engine].estimator.merge(
                    sender,
                    PeerWork(
                        self._scale * work.n_unread_tokens,
                        round(self._scale * work.n_requests),
                        self._scale * work.n_held_tokens,
                        now,
                    ),
                )
            if update.speeds is not None:
                late_s = router.speeds.merge(
                    sender, update.speeds, self._upstreams, now
                )
                for report in update.speeds.reports if late_s is not None else ():
                    engine = int(report.instance.rpartition("-")[2])
                    reported = router.views[engine].estimator.reported
                    record_told(reported, report, now - late_s)

        return hear
