"""Find the home instances of a prompt's nested prefixes.

The homes of a longer prefix are chosen among those of the shorter one, so that the
pieces of customer and site, which all batches share, are not computed on every
instance. While nothing under a prefix is hot it has one home; a hot one has several,
and the next level down divides them. Rendezvous hashing alone decides, so routers with
the same instances and widths agree without talking.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from . import rendezvous
from .instance_load import InstanceLoad, InstanceSet

N_SPILL: Final = 2
"""Instances named besides the homes, to go to when those are busy."""

MAX_RANKS: Final = 512
"""Rankings of first pieces that are kept; one costs a hash for each instance."""

WidthOf = Callable[[bytes], int]
"""Gives the number of instances that a prefix is spread over."""


@dataclass(frozen=True)
class Home:
    """Hold an instance and how far down the prompt it is a home."""

    load: InstanceLoad
    n_pieces: int
    """Leading pieces of the prompt whose home it is; 0 for a spill."""


class HomeFinder:
    """Find homes in one set of instances; a changed set needs a new finder."""

    def __init__(self, instances: InstanceSet) -> None:
        self._instances = instances
        self._ranks: OrderedDict[bytes, list[InstanceLoad]] = OrderedDict()

    @property
    def n_instances(self) -> int:
        """The size of the set."""
        return len(self._instances.instances)

    def find(self, keys: Sequence[bytes], width_of: WidthOf) -> list[Home]:
        """Return the homes of the whole prompt, then where to spill, best first."""
        width = width_of(keys[0])
        order = self._first_rank(keys[0], width + N_SPILL)
        inner, spill = order[:width], order[width:]
        others = [Home(load, 0) for load in spill]
        for depth, key in enumerate(keys[1:], start=1):
            if len(inner) == 1:
                break
            width = min(len(inner), width_of(key))
            if width < len(inner):
                order = _rank(key, inner, len(inner))
                left = [Home(load, depth) for load in order[width:]]
                others = left + others
                inner = order[:width]
        return [Home(load, len(keys)) for load in inner] + others[:N_SPILL]

    def _first_rank(self, key: bytes, n_wanted: int) -> list[InstanceLoad]:
        n_wanted = min(n_wanted, len(self._instances.instances))
        known = self._ranks.get(key)
        if known is not None and len(known) >= n_wanted:
            self._ranks.move_to_end(key)
            return known[:n_wanted]
        order = _rank(key, self._instances.instances, n_wanted)
        self._ranks[key] = order
        if len(self._ranks) > MAX_RANKS:
            self._ranks.popitem(last=False)
        return order


def _rank(
    key: bytes, loads: Sequence[InstanceLoad], n_wanted: int
) -> list[InstanceLoad]:
    """Return the first of the loads in the order of ``rendezvous.rank``."""

    def place(load: InstanceLoad) -> tuple[int, str]:
        return -rendezvous.seeded_weight(key, load.seed), load.incarnation.instance

    return heapq.nsmallest(n_wanted, loads, key=place)
