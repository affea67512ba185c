"""Memory that a router holds for its callers; slow ones are cut off to make room."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import eliot
import trio

from corianderlb_core.held_memory import HeldMemory, Holding

HELD_SHARE: Final = 0.3
"""Share of a process's memory that may be held for callers. What is held exists twice
for moments, while it is joined or encoded."""

STREAM_BYTES: Final = 1 << 16
"""What a stream holds at most: one read from its engine."""


class CallerMemory:
    """Accounts for the bodies and answers of all callers, with the means to cut them.

    ``limit`` is in bytes and infinite if nothing is bounded.
    """

    def __init__(self, limit: float) -> None:
        self._memory = HeldMemory(limit)
        self._cuts: dict[Holding, Callable[[], None]] = {}
        self.n_cut = 0
        """Callers that were cut off."""

    @property
    def n_bytes(self) -> int:
        """Bytes held for all callers."""
        return self._memory.n_bytes

    def open(self, owner: str, cut: Callable[[], None]) -> Holding:
        """Return an empty holding; ``cut`` closes the connection of its caller."""
        holding = self._memory.open(owner)
        self._cuts[holding] = cut
        return holding

    def hold(self, holding: Holding, n_bytes: int) -> bool:
        """Hold more for a caller; return False if its account may not have that much.

        Callers of the same account that don't read are cut off if that makes room.
        """
        if self._memory.grow(holding, n_bytes):
            return True
        for slow in self._memory.slow_ones(holding, n_bytes, trio.current_time()):
            self._cut(slow)
        return self._memory.grow(holding, n_bytes)

    def _cut(self, holding: Holding) -> None:
        eliot.log_message(
            message_type="caller:cut",
            account=holding.owner,
            held_bytes=holding.n_bytes,
            unread_ms=round(1000 * (trio.current_time() - holding.unread_since)),
        )
        self.n_cut += 1
        cut = self._cuts.get(holding)
        self.close(holding)
        if cut is not None:
            cut()

    def close(self, holding: Holding) -> None:
        """Release what is held for a caller."""
        self._memory.close(holding)
        self._cuts.pop(holding, None)
