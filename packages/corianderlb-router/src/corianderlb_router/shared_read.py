"""Reads of the store that several callers share."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from .store import StoreError

MIN_GAP_S: Final = 0.1
"""Shortest time between the begin of two reads; each call to the store is billed."""


class SharedRead:
    """A read that answers all who asked before it began.

    For example, of ten callers that ask while a read is under way, the next read
    answers all.
    """

    def __init__(self, read: Callable[[], Awaitable[None]], timeout_s: float) -> None:
        self._read = read
        self._timeout_s = timeout_s
        self._lock = trio.Lock()
        self._began_at = -math.inf
        self._was_answered = False

    async def read(self) -> bool:
        """Read, and return whether the store answered in time."""
        asked_at = trio.current_time()
        async with self._lock:
            if self._began_at < asked_at:
                await trio.sleep_until(max(asked_at, self._began_at + MIN_GAP_S))
                self._began_at = trio.current_time()
                self._was_answered = False
                with trio.move_on_after(self._timeout_s):
                    self._was_answered = await self._try()
            return self._was_answered

    async def _try(self) -> bool:
        try:
            await self._read()
        except StoreError:
            return False
        return True
