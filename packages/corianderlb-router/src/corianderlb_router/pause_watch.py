"""Notice that this process stood still, as one on a suspended machine does.

On waking it reads what arrived meanwhile, however long ago, and its clock has gone on.
What it reads then must not be dated by when it was read.
"""

from __future__ import annotations

from typing import Final

import trio

TICK_S: Final = 0.1
"""Time between two looks at the clock."""

PAUSE_S: Final = 0.3
"""Time between two looks from which the process counts as having stood still."""

SETTLE_S: Final = 1.0
"""How long after a pause what is read may have been waiting: the answers that came, and
those to the calls that follow."""


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

    def earliest_arrival_at(self) -> float:
        """Return the moment before which nothing that is read now had been waiting.

        That is now, unless the process has just stood still.
        """
        return self._paused_at if self.has_just_resumed else trio.current_time()

    @property
    def has_just_resumed(self) -> bool:
        """Whether what is read now may have waited for this process."""
        return self.has_resumed_since(trio.current_time() - SETTLE_S)

    def has_resumed_since(self, moment: float) -> bool:
        """Return whether a pause of this process ended after a moment."""
        # Of the tasks that go on after a pause the one that looks need not be first.
        self._look()
        return self._woke_at > moment

    def _look(self) -> None:
        if self._ran_at is None:
            return
        now = trio.current_time()
        if now - self._ran_at >= PAUSE_S:
            if self._ran_at - self._woke_at >= SETTLE_S:
                self._paused_at = self._ran_at
            self._woke_at = now
        self._ran_at = now
