"""Notice that this process stood still, as one on a suspended machine does.

What arrived meanwhile is read only afterwards and looks as if it had just been said. A
call that was under way tells nothing about how long its answer had been waiting.
"""

from __future__ import annotations

from typing import Final

import trio

TICK_S: Final = 0.25
"""Time between two looks."""

LATE_S: Final = 0.5
"""How late a look may come on a busy machine until the process counts as paused."""


class PauseWatch:
    """Remember when this process last stood still."""

    def __init__(self) -> None:
        self._looked_at = float("inf")
        self._resumed_at = float("-inf")

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self._look()
            await trio.sleep(TICK_S)

    def paused_since(self, moment: float) -> bool:
        """Return whether the process stood still at any time since a moment."""
        # Of the tasks that go on after a pause the one that looks need not be first.
        self._look()
        return self._resumed_at >= moment

    def _look(self) -> None:
        now = trio.current_time()
        if now - self._looked_at > TICK_S + LATE_S:
            self._resumed_at = now
        self._looked_at = now
