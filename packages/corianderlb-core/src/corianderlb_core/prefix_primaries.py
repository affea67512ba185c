"""Find the primary instances of a prompt's nested prefixes.

The primaries of a longer prefix are chosen among those of the shorter one, so that the
pieces of a customer and a site, which all batches share, are not computed on every
instance. A prefix has one primary unless it is hot; longer prefixes divide the
primaries of a hot one. Only rendezvous hashing decides, so routers with the same
instances and widths agree without communicating.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final

from . import rendezvous
from .data_class import dataclass
from .instance_load import InstanceLoad, InstanceSet

N_SPILL: Final = 2
"""Spill targets that are returned besides the primaries."""

MAX_RANKS: Final = 512
"""Cached rankings of first pieces; each takes one hash for each instance to compute."""

WidthOf = Callable[[bytes], int]
"""Returns the number of instances over which a prefix is spread."""


@dataclass(frozen=True)
class RankedInstance:
    """An instance and the number of leading pieces for which it is a primary."""

    load: InstanceLoad
    n_pieces: int
    """Leading pieces of the prompt for which it is a primary; 0 for a spill target."""


class PrimaryFinder:
    """Find primaries in one set of instances; a changed set needs a new finder."""

    def __init__(self, instances: InstanceSet) -> None:
        self._instances = instances
        self._ranks: OrderedDict[bytes, list[InstanceLoad]] = OrderedDict()

    @property
    def n_instances(self) -> int:
        """The size of the set."""
        return len(self._instances.instances)

    def find(self, keys: Sequence[bytes], width_of: WidthOf) -> list[RankedInstance]:
        """Return the primaries of the whole prompt, then spill targets, best first."""
        width = width_of(keys[0])
        order = self._first_rank(keys[0], width + N_SPILL)
        inner, spill = order[:width], order[width:]
        others = [RankedInstance(load, 0) for load in spill]
        for depth, key in enumerate(keys[1:], start=1):
            if len(inner) == 1:
                break
            width = min(len(inner), width_of(key))
            if width < len(inner):
                order = _rank(key, inner, len(inner))
                left = [RankedInstance(load, depth) for load in order[width:]]
                others = left + others
                inner = order[:width]
        return [RankedInstance(load, len(keys)) for load in inner] + others[:N_SPILL]

    def _first_rank(self, key: bytes, n_requested: int) -> list[InstanceLoad]:
        n_requested = min(n_requested, len(self._instances.instances))
        known = self._ranks.get(key)
        if known is not None and len(known) >= n_requested:
            self._ranks.move_to_end(key)
            return known[:n_requested]
        order = _rank(key, self._instances.instances, n_requested)
        self._ranks[key] = order
        if len(self._ranks) > MAX_RANKS:
            self._ranks.popitem(last=False)
        return order


def _rank(
    key: bytes, loads: Sequence[InstanceLoad], n_requested: int
) -> list[InstanceLoad]:
    """Return the first of the loads in the order of ``rendezvous.rank``."""

    def sort_key(load: InstanceLoad) -> tuple[int, str]:
        return -rendezvous.seeded_weight(key, load.seed), load.incarnation.instance

    return heapq.nsmallest(n_requested, loads, key=sort_key)
