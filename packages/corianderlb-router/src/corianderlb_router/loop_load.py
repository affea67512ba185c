"""Load of the event loop, from how long one pass over the runnable tasks takes.

A request goes through the loop a fixed number of times, so what it waits in this
process grows with the length of a pass. As in queue management of links, only a delay
that stays is a sign of overload: a burst makes single passes long.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Final

import trio

TARGET_S: Final = 0.02
"""Length of a pass above which work waits. A request takes some twenty passes, so they
add up to 0.4 s."""

INTERVAL_S: Final = 0.5
"""Time for which all passes must be longer than the target before work is shed."""

CALM_S: Final = 1.0
"""Time without a long pass after which a new one again counts only if it stays."""


class LoopLoad(trio.abc.Instrument):
    """Measures the passes of the event loop in which it is installed.

    For example::

        load = LoopLoad()
        trio.lowlevel.add_instrument(load)
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._began_at = clock()
        self._long_since = math.inf
        """Begin of the first of an unbroken series of long passes."""
        self._is_long = False
        """Whether the last pass was long."""
        self._sheds_until = -math.inf

    def after_io_wait(self, timeout: float) -> None:
        """Begin a pass."""
        self._began_at = self._clock()

    def before_io_wait(self, timeout: float) -> None:
        """End a pass."""
        now = self._clock()
        self._is_long = now - self._began_at > TARGET_S
        if not self._is_long:
            self._long_since = math.inf
            return
        self._long_since = min(self._long_since, self._began_at)
        if now - self._long_since >= INTERVAL_S or now < self._sheds_until:
            self._sheds_until = now + CALM_S

    @property
    def is_overloaded(self) -> bool:
        """Whether more work would be done too late.

        Once passes have stayed long, each long one counts: the next work is let in when
        a pass is short again.
        """
        return self._is_long and self._clock() < self._sheds_until
