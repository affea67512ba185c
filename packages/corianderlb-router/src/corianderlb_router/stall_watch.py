"""Notice exchanges that make no progress, with one task for all of them.

A timeout of its own around each read and write of thousands of events a second costs
as much as the checks of the events. So an exchange only counts its steps, and a task
looks a few times a second whose count stands still.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

import trio

TICK_S: Final = 0.25
"""Time between two looks; a stall is noticed up to this much late."""


@dataclass(eq=False, slots=True)
class Progress:
    """Count the steps of one exchange; whoever steps also says what it waits for."""

    limit_s: float
    """Longest time without a step, for what the exchange waits for now."""
    n_steps: int = 0
    """Grows with each step."""
    stalled: bool = False
    """True once the exchange was cancelled for standing still."""
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    seen_steps: int = -1
    """Steps at the last look of the watch."""
    seen_at: float = math.inf
    """When the watch first saw this number of steps."""


class StallWatch:
    """Cancel exchanges that stand still."""

    def __init__(self) -> None:
        self._watched: set[Progress] = set()

    @contextmanager
    def watch(self, limit_s: float) -> Iterator[Progress]:
        """Watch what runs inside; look at ``stalled`` after it."""
        progress = Progress(limit_s, seen_at=trio.current_time())
        self._watched.add(progress)
        try:
            with progress.scope:
                yield progress
        finally:
            self._watched.discard(progress)

    async def run(self) -> None:
        """Look at all watched exchanges until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            for progress in self._watched:
                self._look(progress, now)

    @staticmethod
    def _look(progress: Progress, now: float) -> None:
        if progress.n_steps != progress.seen_steps:
            progress.seen_steps = progress.n_steps
            progress.seen_at = now
        elif now - progress.seen_at >= progress.limit_s:
            progress.stalled = True
            progress.scope.cancel()
