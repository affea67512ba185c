"""Build fleets of routers that tell each other of the ends of answers."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any, Final

from corianderlb_core.end_coincidence import EndCoincidence
from corianderlb_core.end_gossip import EndGossip
from corianderlb_core.part_gossip import engine_digest

INTERVAL_S: Final = 0.2
MAX_DELAY_S: Final = 0.04
"""Longest way of an update to a peer."""
ASKED_AFTER_S: Final = 1.0
"""Time from an end until its router asks whether it coincides."""
N_LINKS: Final = 16


class EndFleet:
    """Routers before engines that mark no end; ``n_open`` streams of each are open.

    ``n_begun`` of them begin at once, with the same length. Engines send events in
    steps of ``step_s``; 0 for none.
    """

    def __init__(
        self,
        n_routers: int,
        n_engines: int,
        n_open: int,
        mean_s: float = 8.0,
        step_s: float = 0.0,
        n_begun: int = 1,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._mean_s, self._step_s, self._n_begun = mean_s, step_s, n_begun
        self._actions: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()
        self._ends = [EndCoincidence() for _ in range(n_routers)]
        self._gossips = [EndGossip(ends, self.rng) for ends in self._ends]
        self._links: list[set[int]] = [set() for _ in range(n_routers)]
        for router, links in enumerate(self._links):
            n_chosen = min(n_routers, N_LINKS // 2 + 1)
            for peer in self.rng.sample(range(n_routers), n_chosen):
                if peer != router:
                    links.add(peer)
                    self._links[peer].add(router)
            self._at(self.rng.uniform(0, INTERVAL_S), self._tell, router)
        self._keys = [(f"e{n}", n) for n in range(n_engines)]
        self._by_digest = {engine_digest(key): key for key in self._keys}
        self._open: list[dict[int, tuple[int, float]]] = [{} for _ in self._keys]
        """By engine and stream: its router and its beginning."""
        self.count_anew()
        for engine in range(n_engines):
            for _ in range(n_open // n_begun):
                self._at(self.rng.uniform(0, mean_s), self._begin, engine)

    def count_anew(self) -> None:
        """Count ends, and those found to coincide, from now on."""
        self.n_whole = self.n_whole_found = self.n_cut = self.n_cut_found = 0

    def run(self, until: float) -> None:
        """Let everything happen that is due until a time."""
        while self._actions and self._actions[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._actions)
            action(*args)
        self.now = until

    def reset(self, engine: int) -> None:
        """Let an engine end all its answers in order, and live on."""
        for stream in list(self._open[engine]):
            ended_at = self.now + self.rng.uniform(0, 0.005)
            args = (engine, *self._open[engine].pop(stream), False)
            self._at(ended_at, self._end, *args)

    def _at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._actions, (when, next(self._numbers), action, args))

    def _begin(self, engine: int) -> None:
        ended_at = self.now + self.rng.expovariate(1 / self._mean_s)
        if self._step_s:
            ended_at = math.ceil(ended_at / self._step_s) * self._step_s
        for _ in range(self._n_begun):
            stream, router = next(self._numbers), self.rng.randrange(len(self._ends))
            self._open[engine][stream] = (router, self.now)
            self._at(ended_at, self._end_whole, engine, stream)
        self._at(ended_at + self.rng.uniform(0, 0.1), self._begin, engine)

    def _end_whole(self, engine: int, stream: int) -> None:
        if stream in self._open[engine]:
            self._end(engine, *self._open[engine].pop(stream), True)

    def _end(self, engine: int, router: int, begun_at: float, is_whole: bool) -> None:
        key = self._keys[engine]
        self._gossips[router].record(key, self.now, False, self.now - begun_at)
        asked_at = self.now + ASKED_AFTER_S
        self._at(asked_at, self._ask, engine, router, self.now, is_whole)

    def _ask(self, engine: int, router: int, ended_at: float, is_whole: bool) -> None:
        is_found = self._ends[router].coincides(self._keys[engine], ended_at)
        self.n_whole += is_whole
        self.n_whole_found += is_whole and is_found
        self.n_cut += not is_whole
        self.n_cut_found += not is_whole and is_found

    def _tell(self, router: int) -> None:
        packed = self._gossips[router].take(self.now)
        for peer in self._links[router] if packed else ():
            arrives_at = self.now + self.rng.uniform(0, MAX_DELAY_S)
            self._at(arrives_at, self._hear, peer, packed)
        self._at(self.now + INTERVAL_S, self._tell, router)

    def _hear(self, router: int, packed: bytes) -> None:
        n_others = len(self._ends) - 1
        reach = len(self._links[router]) / n_others
        gossip = self._gossips[router]
        gossip.hear(packed, self._by_digest, self.now, n_others, reach)
