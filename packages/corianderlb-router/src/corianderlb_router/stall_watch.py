"""Cancel stalled exchanges, with one task for all of them.

A timeout around each read and write would be expensive at thousands of events a second.
Instead each exchange counts its steps, and one task polls the counters.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import field
from typing import Final

import trio

from corianderlb_core.data_class import dataclass

TICK_S: Final = 0.25
"""Polling interval; a stall is detected up to this much late."""


@dataclass(eq=False, slots=True)
class Progress:
    """Progress of one exchange; each step also sets the limit of the next."""

    limit_s: float
    """Longest time until the next step."""
    n_steps: int = 0
    """Number of steps so far."""
    stalled: bool = False
    """True once the exchange was cancelled as stalled."""
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    last_n_steps: int = -1
    """Steps at the last poll."""
    last_progress_at: float = math.inf
    """When a poll first saw this number of steps."""


class StallWatch:
    """Cancels exchanges that make no progress within their limit."""

    def __init__(self) -> None:
        self._watched: set[Progress] = set()

    @contextmanager
    def watch(self, limit_s: float) -> Iterator[Progress]:
        """Watch the body of the context; ``stalled`` is set if it was cancelled."""
        progress = Progress(limit_s, last_progress_at=trio.current_time())
        self._watched.add(progress)
        try:
            with progress.scope:
                yield progress
        finally:
            self._watched.discard(progress)

    async def run(self) -> None:
        """Poll all watched exchanges until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            for progress in self._watched:
                self._check_progress(progress, now)

    @staticmethod
    def _check_progress(progress: Progress, now: float) -> None:
        if progress.n_steps != progress.last_n_steps:
            progress.last_n_steps = progress.n_steps
            progress.last_progress_at = now
        elif now - progress.last_progress_at >= progress.limit_s:
            progress.stalled = True
            progress.scope.cancel()
