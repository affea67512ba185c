"""Simulate what a fleet of routers holds at engines that know no bound themselves."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from corianderlb_core.decayed_rate import DecayedRate
from corianderlb_core.engine_memory import (
    N_TRIED,
    EngineHeld,
    EngineMemoryBound,
    FleetKnowledge,
    peers_held,
)
from corianderlb_core.prefill_estimate import PeerWork

CAPACITY = 147_000
TOKENS_PER_S = 48_000.0
RUN_S = 0.3
USUAL_PER_S = 176.0
"""Requests a second from all callers before the surge."""

SURGE_AT_S = 1.5
FAULT_AT_S = 2.0
SIZES = (2_400, 2_400, 2_400, 2_400, 12_000)
N_ENGINES = 30
SLOW_FACTOR = 10.0
"""How much longer work takes at the first engine."""

DEMAND_WINDOW_S = 2.0
WAIT_S = 0.1
POLL_S = 0.025
HEARD_S = 1.0
"""How long a router takes to notice that another one is silent."""


@dataclass(frozen=True)
class Fault:
    """What goes wrong between the routers from 2 s on."""

    lost_share: float = 0.0
    late_s: float = 0.0
    n_alone: int = 0
    """Routers that hear and are heard by nobody."""
    n_halves: int = 1
    """Parts of the fleet that don't hear each other."""
    n_killed: int = 0
    """Routers killed, with all their requests."""


class HeldFleet:
    """Routers that send requests to random engines with room by what they know."""

    def __init__(
        self,
        n_times: float = 1.0,
        fault: Fault = Fault(),
        is_bounded: bool = True,
        n_routers: int = 35,
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._fault, self._is_bounded = fault, is_bounded
        self._names = tuple(f"r{n}" for n in range(n_routers))
        self._bounds = [EngineMemoryBound() for _ in self._names]
        self._n_times = n_times
        self._interval_s = max(0.2, 0.012 * (n_routers - 1))
        self._own = [[0] * N_ENGINES for _ in self._names]
        self._n_own = [[0] * N_ENGINES for _ in self._names]
        self._told: list[list[dict[int, PeerWork]]] = [
            [{} for _ in range(N_ENGINES)] for _ in self._names
        ]
        """By router and engine: the last report of each other router."""
        self._free_at = [0.0] * N_ENGINES
        self._sent = DecayedRate(DEMAND_WINDOW_S)
        self._n_events = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.n_asked = self.n_refused = 0
        self.n_asked_alone = 0
        self.most_held = 0
        """Most tokens that any engine held."""

    def play(self, until: float = 4.0) -> HeldFleet:
        """Let requests arrive until the end."""
        for number in range(len(self._names)):
            self._at(self._interval_s * self._rng.random(), self._tell(number, until))
        now = 0.0
        while now < until:
            n_times = self._n_times if now >= SURGE_AT_S else 1.0
            now += self._rng.expovariate(n_times * USUAL_PER_S)
            self._at(now, self._arrive)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        return self

    def _at(self, moment: float, act: Callable[[float], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (moment, self._n_events, act))

    def _part(self, number: int, now: float) -> int:
        """Return which part of the fleet a router is in."""
        if now < FAULT_AT_S:
            return 0
        if number < self._fault.n_alone:
            return -1 - number
        return number % self._fault.n_halves

    def _is_dead(self, number: int, now: float) -> bool:
        return now >= FAULT_AT_S and number >= len(self._names) - self._fault.n_killed

    def _heard_share(self, number: int, now: float) -> float:
        since = now - HEARD_S
        others = [n for n in range(len(self._names)) if n != number]
        heard = [
            n
            for n in others
            if self._part(n, since) == self._part(number, since)
            and not self._is_dead(n, since)
        ]
        return len(heard) / len(others)

    def _arrive(self, now: float) -> None:
        number = self._rng.randrange(len(self._names))
        if not self._is_dead(number, now):
            self.n_asked += 1
            self.n_asked_alone += self._is_alone(number, now)
            self._place(number, self._rng.choice(SIZES), now, now + WAIT_S)

    def _place(self, number: int, n_asked: int, now: float, until: float) -> None:
        """Send a request, or try again as routers do before they refuse."""
        name, bound = self._names[number], self._bounds[number]
        fleet = FleetKnowledge(name, self._names, self._heard_share(number, now))
        for n_tried, engine in enumerate(self._rng.sample(range(N_ENGINES), N_ENGINES)):
            held = self._held(number, engine, now)
            may_send = bound.has_room if n_tried < N_TRIED else bound.owns_room
            if not self._is_bounded or may_send(f"e{engine}", held, n_asked, fleet):
                self._send(number, engine, n_asked, now)
                return
        if now < until:
            self._at(now + POLL_S, lambda at: self._place(number, n_asked, at, until))
            return
        self.n_refused += 1

    def _is_alone(self, number: int, now: float) -> bool:
        return now >= FAULT_AT_S and number < self._fault.n_alone

    def _held(self, number: int, engine: int, now: float) -> EngineHeld:
        works = self._told[number][engine].values()
        return EngineHeld(
            CAPACITY,
            self._own[number][engine],
            self._n_own[number][engine],
            peers_held(works, now, 3 * self._interval_s),
            None,
            self._bounds[number].n_unseen(
                self._sent.per_s(now), len(self._names), N_ENGINES, now
            ),
        )

    def _send(self, number: int, engine: int, n_asked: int, now: float) -> None:
        factor = SLOW_FACTOR if engine == 0 else 1.0
        prefill_s = factor * n_asked / TOKENS_PER_S
        self._free_at[engine] = max(now, self._free_at[engine]) + prefill_s
        self._sent.add(n_asked, now)
        self._bounds[number].sent(n_asked, now)
        self._own[number][engine] += n_asked
        self._n_own[number][engine] += 1
        held = sum(
            own[engine]
            for number, own in enumerate(self._own)
            if not self._is_dead(number, now)
        )
        self.most_held = max(self.most_held, held)

        def end(at: float) -> None:
            self._own[number][engine] -= n_asked
            self._n_own[number][engine] -= 1

        self._at(self._free_at[engine] + factor * RUN_S, end)

    def _tell(self, number: int, until: float) -> Callable[[float], None]:
        def tell(now: float) -> None:
            if now > until or self._is_dead(number, now):
                return
            held = list(zip(self._own[number], self._n_own[number], strict=True))
            for peer in range(len(self._names)):
                is_apart = self._part(peer, now) != self._part(number, now)
                if peer == number or is_apart:
                    continue
                if now < FAULT_AT_S or self._rng.random() >= self._fault.lost_share:
                    late_s = self._fault.late_s if now >= FAULT_AT_S else 0.002
                    self._at(now + late_s, self._hear(peer, number, held, late_s))
            self._at(now + self._interval_s, tell)

        return tell

    def _hear(
        self, peer: int, sender: int, held: list[tuple[int, int]], late_s: float
    ) -> Callable[[float], None]:
        def hear(now: float) -> None:
            self._bounds[peer].heard(late_s, now)
            for told, (n_held, n_requests) in zip(self._told[peer], held, strict=True):
                told[sender] = PeerWork(0.0, n_requests, n_held, now)

        return hear
