"""Detects pauses of this process, such as suspension of its machine.

After a pause the process reads data that arrived at any time during it, while its clock
has advanced. The time of the read must not be taken as the time of arrival.
"""

from __future__ import annotations

from typing import Final

import trio

CHECK_INTERVAL_S: Final = 0.1
"""Interval between clock checks."""

MIN_PAUSE_S: Final = 0.3
"""Gap between clock checks from which the process counts as paused."""

SETTLE_S: Final = 1.0
"""Time after a pause in which data that is read may have arrived during the pause."""


class PauseWatch:
    """Records the last pause of this process; ``run`` checks the clock."""

    def __init__(self) -> None:
        self._checked_at: float | None = None
        """Time of the last clock check; None until ``run`` starts."""
        self._paused_at = float("-inf")
        self._resumed_at = float("-inf")

    async def run(self) -> None:
        """Check the clock until cancelled."""
        self._checked_at = trio.current_time()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._check_clock()

    def earliest_arrival_at(self) -> float:
        """Return the earliest time at which data that is read now can have arrived.

        That is now, unless the process has just resumed from a pause.
        """
        return self._paused_at if self.has_just_resumed else trio.current_time()

    @property
    def has_just_resumed(self) -> bool:
        """Whether data that is read now may have arrived during a pause."""
        return self.has_resumed_since(trio.current_time() - SETTLE_S)

    def has_resumed_since(self, moment: float) -> bool:
        """Return whether a pause of this process ended after the given time."""
        # After a pause the caller may run before the task that checks the clock.
        self._check_clock()
        return self._resumed_at > moment

    def _check_clock(self) -> None:
        if self._checked_at is None:
            return
        now = trio.current_time()
        if now - self._checked_at >= MIN_PAUSE_S:
            if self._checked_at - self._resumed_at >= SETTLE_S:
                self._paused_at = self._checked_at
            self._resumed_at = now
        self._checked_at = now
