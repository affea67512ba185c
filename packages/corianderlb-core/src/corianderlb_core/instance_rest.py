"""Rests that upstream instances ask one router for when they turn a request away."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from .data_class import dataclass
from .part_index import IncarnationKey

MAX_REST_S: Final = 300.0
"""Longest rest that is kept; a mistaken value must not idle an instance for good."""

MAX_URGENT: Final = 1
"""Calls that can't wait which an instance gets in one rest."""

MAX_RESTS: Final = 4096
"""Incarnations whose rests are remembered; the oldest are dropped first."""


@dataclass
class _Rest:
    until: float
    n_urgent: int = 0


class RestTable:
    """Rests of instances, on the router's clock.

    For example::

        table.record(("i-7f3a", 1779616084136), rest_s=3.0, now=10.0)
        table.wait_s(("i-7f3a", 1779616084136), now=11.0)  # 2.0
    """

    def __init__(self) -> None:
        self._rests: OrderedDict[IncarnationKey, _Rest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rests)

    def record(self, incarnation: IncarnationKey, rest_s: float, now: float) -> None:
        """Record that an instance asks for rest; a shorter one ends no longer one."""
        until = now + min(rest_s, MAX_REST_S)
        known = self._rests.get(incarnation)
        if known is None or known.until <= now:
            self._rests[incarnation] = _Rest(until)
            if len(self._rests) > MAX_RESTS:
                self._rests.popitem(last=False)
        else:
            known.until = max(known.until, until)

    def wait_s(self, incarnation: IncarnationKey, now: float) -> float:
        """Return the time until an instance's rest has ended; 0 without one."""
        known = self._rests.get(incarnation)
        if known is None:
            return 0.0
        if known.until <= now:
            del self._rests[incarnation]
            return 0.0
        return known.until - now

    def take_urgent(self, incarnation: IncarnationKey, now: float) -> bool:
        """Return whether a call that can't wait may be sent, and count it."""
        if self.wait_s(incarnation, now) <= 0.0:
            return True
        rest = self._rests[incarnation]
        rest.n_urgent += 1
        return rest.n_urgent <= MAX_URGENT
