"""Simulate routers that share too little room at engines, with reports that are late.

Engines prefill one prompt after the other, the more urgent first, and hold a limited
number of requests. Routers know of each other only what their reports tell.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from corianderlb_core.fair_queue import Ticket
from corianderlb_core.fair_room import FairRoom, RoomRefusal
from corianderlb_core.prefill_estimate import (
    OVERHEAD_S,
    CommonEstimates,
    PeerWork,
    PrefillEstimator,
)
from corianderlb_core.queue_level import choose_below_level
from corianderlb_core.room_share import RoomKey

TTFT_SHARE = 0.8
WAIT_SHARE = 0.3
ROUTER_WAIT_SHARE = 0.12
POLL_S = 0.025
N_SAMPLED = 2
"""Engines that are compared: about the share of a large fleet that a router does."""

RELEASE_S = 0.005
SLOTS = 16
MAX_QUEUED = 48
TOKENS_PER_S = 150_000.0
STEP_S = 0.005
SLOW_FACTOR = 2.5
SLOW_S = 0.6


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    urgency: int
    objective_s: float
    n_tokens: int
    n_output: int


CHECK = Kind("check", 0, 0.26, 1_800, 3)
ADVICE = Kind("advice", 2, 0.82, 7_500, 42)


@dataclass(frozen=True)
class Ask:
    """Traffic of one account and kind: requests a second over all routers."""

    account: str
    kind: Kind
    per_s: Callable[[float], float]


@dataclass
class Request:
    account: str
    kind: Kind
    arrived_at: float
    router: int
    key: str
    engine: int = -1
    n_crashes: int = 0
    """Crashes of its engine before it was sent."""


@dataclass
class Outcome:
    """Results by (account, kind)."""

    asked: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    late: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    turned_away: int = 0
    held_s: list[float] = field(default_factory=list)
    """Times for which refused requests were held."""
    tokens_in_time: float = 0.0
    busy_s: float = 0.0
    idle_refusals: int = 0
    """Refusals while engines that are up had nothing to do."""

    def share(self, account: str | None = None, kind: str | None = None) -> float:
        """Return the share of requests that were answered in time."""

        def total(counter: Counter) -> int:
            return sum(
                n
                for (name, of), n in counter.items()
                if account in (None, name) and kind in (None, of)
            )

        return total(self.in_time) / max(1, total(self.asked))


@dataclass(frozen=True)
class Outage:
    """Time for which an engine begins nothing."""

    engine: int
    from_s: float
    until_s: float
    known_after_s: float = 0.0
    """Time until the routers know of it and send it nothing more."""
    is_crash: bool = False
    """Whether it loses its requests and accepts no connection."""


def sick_thirds(n_engines: int, duration_s: float) -> list[Outage]:
    """Build outages of a third of the engines at a time, and loads of weights.

    Each 1.5 s the next third crashes or falls silent, by turns, for 1 s. Every engine
    loads weights for 0.3 s each 3 s, one after the other.
    """
    outages = []
    n_sick = n_engines // 3
    for turn in range(math.ceil(duration_s / 1.5)):
        at, is_crash = 0.5 + 1.5 * turn, turn % 2 == 0
        known_after_s = 0.2 if is_crash else 0.4
        for n in range(n_sick):
            engine = (turn * n_sick + n) % n_engines
            outages.append(Outage(engine, at, at + 1.0, known_after_s, is_crash))
    sick = list(outages)
    for engine, n in itertools.product(
        range(n_engines), range(math.ceil(duration_s / 3.0))
    ):
        at = 1.3 + 3.0 * n + 0.12 * engine
        if not any(
            out.engine == engine and out.from_s - 0.4 < at < out.until_s + 0.1
            for out in sick
        ):
            outages.append(Outage(engine, at, at + 0.3))
    return outages


class _Engine:
    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.slow_until = 0.0
        self.outage: Outage | None = None
        self.n_crashes = 0
        self.waiting: list[tuple[int, int, Request]] = []
        self.current: Request | None = None
        self.held: dict[str, Request] = {}
        """Requests in places: in prefill or running."""

    @property
    def n_held(self) -> int:
        return len(self.held)


class _Router:
    def __init__(self, n_engines: int, is_fair: bool) -> None:
        common = CommonEstimates()
        self.estimators = [PrefillEstimator(SLOTS, common) for _ in range(n_engines)]
        self.room: FairRoom[Request] | None = FairRoom() if is_fair else None
        self.up_at = 0.0
        self.release_at = float("inf")


@dataclass
class RoomModel:
    """A fleet under load; ``run`` returns what became of the requests."""

    asks: Sequence[Ask]
    is_fair: bool = True
    n_routers: int = 12
    speeds: Sequence[float] = (1.0,) * 10
    n_sampled: int = N_SAMPLED
    unseen_s: float = 0.0
    """Work for an engine between two reports, if queues are kept level."""
    interval_s: float = 0.4
    report_delay_s: float = 0.01
    lost_share: float = 0.0
    apart: Callable[[float, int, int], bool] = lambda now, a, b: False
    seed: int = 1
    measure_from_s: float = 0.0
    weights: Callable[[float], dict[str, float]] = lambda now: {}
    slow_moments_per_s: float = 0.0
    """How often an engine turns slow for a moment."""
    outages: Sequence[Outage] = ()
    kills: Sequence[tuple[float, int]] = ()
    """Times at which a router is killed; it is back with no memory 0.5 s later."""

    def run(self, duration_s: float) -> Outcome:
        """Play the load."""
        self._rng = random.Random(self.seed)
        self._out = Outcome()
        self._engines = [_Engine(speed) for speed in self.speeds]
        self._routers = [self._router() for _ in range(self.n_routers)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        for ask in self.asks:
            self._next_arrival(ask, 0.0)
        for n in range(self.n_routers):
            self._at(self._rng.random() * self.interval_s, self._ticker(n))
        for at, n in self.kills:
            self._at(at, lambda now, n=n: self._kill(n, now))
        for outage in self.outages:
            self._at(outage.from_s, lambda now, out=outage: self._go_down(out, now))
            self._at(outage.until_s, lambda now, out=outage: self._come_up(out, now))
        if self.slow_moments_per_s:
            for engine in self._engines:
                self._slow(engine, 0.0)
        while self._events and self._events[0][0] < duration_s:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self._out

    def _router(self) -> _Router:
        return _Router(len(self.speeds), self.is_fair)

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    # Traffic.

    def _next_arrival(self, ask: Ask, now: float) -> None:
        rate = ask.per_s(now)
        if rate <= 0:
            self._at(now + 0.05, lambda at: self._next_arrival(ask, at))
            return
        self._at(now + self._rng.expovariate(rate), lambda at: self._arrive(ask, at))

    def _arrive(self, ask: Ask, now: float) -> None:
        self._next_arrival(ask, now)
        up = [n for n, r in enumerate(self._routers) if r.up_at <= now]
        if not up:
            return
        n = self._rng.choice(up)
        key = str(next(self._numbers))
        req = Request(ask.account, ask.kind, now, n, key)
        self._count(self._out.asked, req)
        router = self._routers[n]
        room = router.room
        if room is None:
            self._place(req, now, now)
            return
        room.weights = self.weights(now)
        room.n_routers = self.n_routers
        limit_s = ROUTER_WAIT_SHARE * req.kind.objective_s
        room_key = RoomKey(req.kind.urgency, req.account)
        asked = room.ask(
            req,
            room_key,
            req.kind.n_tokens,
            limit_s,
            now,
            lambda: self._begins_now(req, now),
        )
        if isinstance(asked, RoomRefusal):
            self._refuse(req, now)
        elif asked.in_queue:
            self._at(now + limit_s, lambda at: self._give_up(router, asked, at))
            self._plan_release(router, now)
        else:
            self._place(req, now, now)

    def _count(self, counter: Counter, req: Request) -> None:
        if req.arrived_at >= self.measure_from_s:
            counter[req.account, req.kind.name] += 1

    def _plan_release(self, router: _Router, now: float) -> None:
        assert router.room is not None
        at = now + RELEASE_S
        if at < router.release_at:
            router.release_at = at
            self._at(at, lambda now: self._release(router, now))

    def _release(self, router: _Router, now: float) -> None:
        assert router.room is not None
        router.release_at = float("inf")
        for ticket in router.room.release(now):
            self._place(ticket.item, now, ticket.item.arrived_at)
        if len(router.room.queue):
            self._plan_release(router, now)

    def _give_up(self, router: _Router, ticket: Ticket[Request], now: float) -> None:
        assert router.room is not None
        if not ticket.in_queue:
            return
        req = ticket.item
        room_key = RoomKey(req.kind.urgency, req.account)
        if router.room.admit_idle(
            room_key, ticket.cost, lambda: self._begins_now(req, now)
        ):
            router.room.queue.remove(ticket)
            self._place(req, now, req.arrived_at)
        else:
            router.room.leave(ticket)
            self._refuse(req, now)

    def _begins_now(self, req: Request, now: float) -> bool:
        engine, in_time = self._choose(req, now, is_rated=False)
        estimator = self._routers[req.router].estimators[engine]
        return in_time and estimator.n_reported_requests(now) < SLOTS

    def _refuse(self, req: Request, now: float) -> None:
        self._count(self._out.refused, req)
        self._out.held_s.append(now - req.arrived_at)
        up = [engine for engine in self._engines if engine.outage is None]
        n_taken = sum(engine.n_held for engine in up)
        n_waiting = sum(len(engine.waiting) for engine in up)
        if not n_waiting and n_taken < SLOTS * len(up) / 2:
            self._out.idle_refusals += 1

    # Placement and engines.

    def _place(self, req: Request, now: float, since: float) -> None:
        router = self._routers[req.router]
        room = router.room
        is_rated = room is not None and not math.isinf(room.rate.per_s)
        engine, in_time = self._choose(req, now, is_rated)
        if in_time or is_rated:
            self._send(req, engine, now)
        elif now + POLL_S <= since + ROUTER_WAIT_SHARE * req.kind.objective_s:
            self._at(now + POLL_S, lambda at: self._place(req, at, since))
        else:
            if router.room is not None:
                router.room.give_back(
                    RoomKey(req.kind.urgency, req.account), req.kind.n_tokens, now
                )
            self._refuse(req, now)

    def _choose(self, req: Request, now: float, is_rated: bool) -> tuple[int, bool]:
        """Return an engine, and whether it is estimated to answer in time."""
        router = self._routers[req.router]
        estimators = router.estimators
        left_s = req.arrived_at + req.kind.objective_s - now
        own_share = router.room.own_share if is_rated else 0.0
        usable = self._usable(now)
        sampled = self._rng.sample(usable, min(self.n_sampled, len(usable)))
        estimates = [
            self._estimate(estimators[n], req, now, own_share) for n in sampled
        ]
        best = choose_below_level(
            [ttft_s for ttft_s, _ in estimates], self.unseen_s, self._rng
        )
        engine, (ttft_s, wait_s) = sampled[best], estimates[best]
        in_time = ttft_s <= TTFT_SHARE * left_s or wait_s <= WAIT_SHARE * left_s
        return engine, in_time

    def _usable(self, now: float) -> list[int]:
        """Return the engines that routers send requests to."""
        return [
            n
            for n, engine in enumerate(self._engines)
            if engine.outage is None
            or now < engine.outage.from_s + engine.outage.known_after_s
        ]

    @staticmethod
    def _estimate(
        estimator: PrefillEstimator, req: Request, now: float, own_share: float
    ) -> tuple[float, float]:
        wait_s = estimator.wait_s(now, own_share=own_share)
        prefill_s = estimator.prefill_time_s(req.kind.n_tokens, own_share > 0.0)
        return wait_s + prefill_s + OVERHEAD_S, wait_s

    def _send(self, req: Request, n: int, now: float) -> None:
        router, engine = self._routers[req.router], self._engines[n]
        if engine.outage is not None and engine.outage.is_crash:
            self._at(now + POLL_S, lambda at: self._place(req, at, now))
            return
        req.engine, req.n_crashes = n, engine.n_crashes
        router.estimators[n].sent(req.key, req.kind.n_tokens, now, req.kind.n_tokens)
        if router.room is not None:
            due_at = req.arrived_at + TTFT_SHARE * req.kind.objective_s
            objective_s = req.kind.objective_s
            router.room.sent(req.key, n, req.kind.n_tokens, objective_s, due_at)
        if len(engine.waiting) >= MAX_QUEUED:
            self._out.turned_away += 1
            self._end(req, now)
            self._refuse(req, now)
            return
        heapq.heappush(engine.waiting, (req.kind.urgency, next(self._numbers), req))
        self._work(n, now)

    def _work(self, n: int, now: float) -> None:
        engine = self._engines[n]
        if engine.current is not None or engine.n_held >= SLOTS or not engine.waiting:
            return
        if engine.outage is not None:
            return
        req = heapq.heappop(engine.waiting)[2]
        engine.current = req
        engine.held[req.key] = req
        took_s = req.kind.n_tokens / (TOKENS_PER_S * engine.speed)
        if now < engine.slow_until:
            took_s *= SLOW_FACTOR
        self._out.busy_s += took_s
        self._at(now + took_s, lambda at: self._prefilled(n, req, at))

    def _prefilled(self, n: int, req: Request, now: float) -> None:
        engine = self._engines[n]
        if req.n_crashes != engine.n_crashes:
            return
        if engine.outage is not None:
            up_at = engine.outage.until_s
            self._at(up_at, lambda at: self._prefilled(n, req, at))
            return
        engine.current = None
        first_at = now + OVERHEAD_S - STEP_S
        self._at(first_at, lambda at: self._first_token(req, at))
        self._work(n, now)

    def _first_token(self, req: Request, now: float) -> None:
        router = self._routers[req.router]
        if req.n_crashes != self._engines[req.engine].n_crashes:
            return
        router.estimators[req.engine].first_token(req.key, now)
        if router.room is not None:
            router.room.first_token(req.key, now)
        in_time = now - req.arrived_at <= req.kind.objective_s
        self._count(self._out.in_time if in_time else self._out.late, req)
        if in_time and req.arrived_at >= self.measure_from_s:
            self._out.tokens_in_time += req.kind.n_tokens
        ends_at = now + STEP_S * req.kind.n_output
        self._at(ends_at, lambda at: self._run_ended(req, at))

    def _run_ended(self, req: Request, now: float) -> None:
        if req.n_crashes != self._engines[req.engine].n_crashes:
            return
        self._engines[req.engine].held.pop(req.key, None)
        self._end(req, now)
        self._work(req.engine, now)

    def _end(self, req: Request, now: float) -> None:
        router = self._routers[req.router]
        router.estimators[req.engine].ended(req.key, now)
        if router.room is not None:
            router.room.ended(req.key)

    def _go_down(self, outage: Outage, now: float) -> None:
        engine = self._engines[outage.engine]
        engine.outage = outage
        if not outage.is_crash:
            return
        engine.n_crashes += 1
        lost = [*engine.held.values(), *(entry[2] for entry in engine.waiting)]
        engine.held.clear()
        engine.waiting.clear()
        engine.current = None
        for req in lost:
            self._end(req, now)

    def _come_up(self, outage: Outage, now: float) -> None:
        self._engines[outage.engine].outage = None
        self._work(outage.engine, now)

    # Routers.

    def _slow(self, engine: _Engine, now: float) -> None:
        if now:
            engine.slow_until = now + SLOW_S
        at = now + self._rng.expovariate(self.slow_moments_per_s)
        self._at(at, lambda later: self._slow(engine, later))

    def _kill(self, n: int, now: float) -> None:
        self._routers[n] = self._router()
        self._routers[n].up_at = now + 0.5

    def _ticker(self, n: int) -> Callable[[float], None]:
        def tick(now: float) -> None:
            self._at(now + self.interval_s, tick)
            self._report(n, now)

        return tick

    def _report(self, n: int, now: float) -> None:
        router = self._routers[n]
        if router.up_at > now:
            return
        room = router.room
        report = None
        if room is not None:
            usable = self._usable(now)
            estimators = [router.estimators[n] for n in usable]
            n_taken = sum(e.n_reported_requests(now) for e in estimators)
            room.n_routers = self.n_routers
            rates = {n: self._engines[n].speed for n in usable}
            room.update(rates, n_taken, SLOTS * len(usable), now)
            if room.should_report(now):
                report = room.report(now)
        work = [(e.queued_tokens, e.n_requests, e.n_held) for e in router.estimators]
        for other in range(self.n_routers):
            if other == n or self.apart(now, n, other):
                continue
            if self._rng.random() < self.lost_share:
                continue

            def deliver(at: float, other: int = other) -> None:
                peer = self._routers[other]
                for estimator, figures in zip(peer.estimators, work, strict=True):
                    estimator.merge(str(n), PeerWork(*figures, at))
                if report is not None and peer.room is not None:
                    peer.room.merge(str(n), report, at)

            self._at(now + self.report_delay_s, deliver)
