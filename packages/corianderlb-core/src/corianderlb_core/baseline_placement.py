"""Baseline policies, for comparison with the default and as a fallback.

Each uses one criterion: rotation, load, or rendezvous hashing of a prefix.
"""

from __future__ import annotations

import random
from typing import ClassVar

from . import rendezvous
from .instance_load import InstanceLoad
from .placement import N_CANDIDATES, PlacementPolicy, PlacementQuery
from .request import Candidate
from .settings import PlacementSettings


class RoundRobinPolicy(PlacementPolicy):
    """Rotate through the instances."""

    name: ClassVar = "round_robin"

    def __init__(
        self, cfg: PlacementSettings, rng: random.Random, zone: str = ""
    ) -> None:
        super().__init__(cfg, rng, zone)
        self._n_chosen = rng.randrange(1 << 16)

    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return the next instances in rotation."""
        usable = query.usable()
        if not usable:
            return ()
        self._n_chosen += 1
        start = self._n_chosen % len(usable)
        rotated = (usable[start:] + usable[:start])[:N_CANDIDATES]
        return tuple(_candidate(load, query, "its turn") for load in rotated)


class LeastLoadedPolicy(PlacementPolicy):
    """Choose the instance with the fewest requests."""

    name: ClassVar = "least_loaded"

    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return the instances ordered by requests reported and sent since."""
        usable = query.usable()
        self.rng.shuffle(usable)
        usable.sort(key=InstanceLoad.n_outstanding)
        return tuple(
            _candidate(load, query, f"{load.n_outstanding()} requests")
            for load in usable[:N_CANDIDATES]
        )


class HashOnlyPolicy(PlacementPolicy):
    """Choose the primary of one prefix, regardless of load."""

    name: ClassVar = "hash_only"

    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return the instances in rendezvous order of the chosen prefix."""
        keys = query.facts.prefix_keys
        key = query.facts.account.encode()
        if keys:
            key = keys[min(self.cfg.hash_pieces, len(keys)) - 1]
        by_name = {load.incarnation.instance: load for load in query.usable()}
        order = rendezvous.rank(key, by_name)[:N_CANDIDATES]
        return tuple(_candidate(by_name[n], query, "rendezvous home") for n in order)


def _candidate(load: InstanceLoad, query: PlacementQuery, reason: str) -> Candidate:
    work_s = query.cost.work_s(len(query.facts.prefix_keys))
    ttft_s = load.wait_s(query.now) + work_s
    return Candidate(load.incarnation, 0, 0, ttft_s, reason, work_s)
