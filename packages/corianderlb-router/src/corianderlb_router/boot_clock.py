"""A runtime clock that counts the time for which the machine was suspended.

The steady clock stands still while a machine is suspended. A lease, or the age of a
configuration, would then look younger to this process than to everybody else: it would
give orders under a lease that another router has already taken.
"""

from __future__ import annotations

import time

import trio


class BootClock(trio.abc.Clock):
    """Give the seconds since the machine started, suspensions included."""

    def start_clock(self) -> None:
        """Do nothing: the machine's clock runs by itself."""

    def current_time(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep until a deadline."""
        return deadline - self.current_time()
