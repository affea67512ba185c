"""Trio clock that includes the time for which the machine was suspended.

The monotonic clock stops while a machine is suspended. A lease would then expire later
for this process than for other routers, and it would give orders under a lease that
another router has already acquired.
"""

from __future__ import annotations

import time

import trio


class BootClock(trio.abc.Clock):
    """Seconds since boot, including suspension."""

    def start_clock(self) -> None:
        """Do nothing: the system clock needs no start."""

    def current_time(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep until a deadline."""
        return deadline - self.current_time()
