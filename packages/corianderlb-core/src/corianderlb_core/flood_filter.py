"""Tell the first copy of a flooded message from the later ones, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from .identity import Incarnation

MAX_ORIGINS: Final = 1024
"""Origins remembered; the one unheard for longest is forgotten first."""

WINDOW: Final = 1024
"""Sequence numbers back from the highest that are told apart; older ones are copies."""


class FloodFilter:
    """Remember which sequence numbers came from each life of each router.

    For example ``is_new(Incarnation("r1", 5), 7)`` is True the first time and False
    from then on.
    """

    def __init__(self) -> None:
        self._seen: OrderedDict[Incarnation, tuple[int, int]] = OrderedDict()

    def is_new(self, origin: Incarnation, sequence: int) -> bool:
        """Tell whether this is the first copy, and remember it."""
        highest, bits = self._seen.get(origin, (sequence - 1, 0))
        back = highest - sequence
        if back >= WINDOW or (back >= 0 and bits >> back & 1):
            return False
        if back < 0:
            bits = (bits << -back | 1) & ((1 << WINDOW) - 1) if -back < WINDOW else 1
            highest = sequence
        else:
            bits |= 1 << back
        self._seen[origin] = (highest, bits)
        self._seen.move_to_end(origin)
        if len(self._seen) > MAX_ORIGINS:
            self._seen.popitem(last=False)
        return True
