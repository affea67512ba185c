"""Notice that this process stood still for a while.

A frozen process finds on waking what arrived meanwhile, however long ago, and its clock
has gone on. What it reads then must not be dated by when it was read.
"""

from __future__ import annotations

from typing import Final

import trio

TICK_S: Final = 0.1
"""Time between two looks at the clock."""

PAUSE_S: Final = 0.3
"""Time between two looks from which the process counts as having stood still."""

SETTLE_S: Final = 0.5
"""How long after a pause what arrives may have been waiting: an answer is read, and
the call that follows it brings what happened since."""


class PauseWatch:
    """Hold when this process last stood still; ``run`` looks at the clock."""

    def __init__(self) -> None:
        self._ran_at: float | None = None
        """When the process was last seen to run; None while nobody looks."""
        self._paused_at = float("-inf")
        self._woke_at = float("-inf")

    async def run(self) -> None:
        """Look at the clock until cancelled."""
        self._ran_at = trio.current_time()
        while True:
            await trio.sleep(TICK_S)
            self._look()

    def arrived_after(self) -> float:
        """Return the moment before which nothing that is read now was on its way.

        That is now, unless the process has just stood still.
        """
        self._look()
        now = trio.current_time()
        return self._paused_at if now - self._woke_at < SETTLE_S else now

    @property
    def has_just_woken(self) -> bool:
        """Whether what is read now may have waited for this process."""
        self._look()
        return trio.current_time() - self._woke_at < SETTLE_S

    def _look(self) -> None:
        if self._ran_at is None:
            return
        now = trio.current_time()
        if now - self._ran_at >= PAUSE_S:
            if self._ran_at - self._woke_at >= SETTLE_S:
                self._paused_at = self._ran_at
            self._woke_at = now
        self._ran_at = now
