"""The default policy: the instance with the least estimated time to first token."""

from __future__ import annotations

from typing import ClassVar

from . import rendezvous
from .instance_load import InstanceLoad
from .placement import N_CANDIDATES, PlacementPolicy, PlacementQuery
from .request import Candidate


class DefaultPolicy(PlacementPolicy):
    """Weigh the wait against the pieces that would have to be computed again."""

    name: ClassVar = "default"

    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return the home of the prompt unless its queue costs more than it saves."""
        loads = {load.incarnation.instance: load for load in query.usable()}
        keys = query.facts.prefix_keys
        homes = rendezvous.rank(keys[0], loads)[:1] if keys else []
        found = [self._weigh(load, query, homes) for load in loads.values()]
        self.rng.shuffle(found)
        found.sort(key=lambda candidate: candidate.estimated_ttft_s)
        return tuple(found[:N_CANDIDATES])

    def _weigh(
        self, load: InstanceLoad, query: PlacementQuery, homes: list[str]
    ) -> Candidate:
        n_pieces = len(query.facts.prefix_keys)
        is_home = load.incarnation.instance in homes
        hits = n_pieces if is_home else 0
        work_s = query.cost.work_s(n_pieces - hits)
        ttft_s = load.wait_s(query.now) + work_s
        reason = "home of the prefix" if is_home else "spill"
        return Candidate(load.incarnation, hits, 0, ttft_s, reason, work_s)
