"""Memory that a router holds for its callers and of answers that arrive.

Slow callers are cut off to make room, and so are the largest answers of an instance
that sends more than may be held.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Final

import eliot
import trio

from corianderlb_core.held_memory import INSTANCE_FACTOR, HeldMemory, Holding

DEFAULT_MEMORY_BYTES: Final = 256e6
"""Assumed memory of a process that is told none."""

HELD_SHARE: Final = 0.3
"""Share of a process's memory that may be held for callers. What is held exists twice
for moments, while it is joined or encoded."""

STREAM_BYTES: Final = 1 << 13
"""What a stream is taken to hold from its beginning: more than usual events. Larger
events, and more of them at once, are accounted for while they are held."""

EXCESS_SHARE: Final = 1 / 16
"""Share of what may be held from which an instance without room for more has itself
filled it. One with less lacks room for what others hold."""


class Arrival:
    """What is held of one answer while it arrives, on the account of its instance.

    It takes part in the account from its first use on, so that one whose attempt is
    never sent leaves nothing to release.
    """

    def __init__(self, memory: CallerMemory, instance: Hashable) -> None:
        self._memory = memory
        self._instance = instance
        self._holding: Holding | None = None
        self.on_cut: Callable[[], None] = lambda: None
        """Called when the answer may not be held any more."""
        self.was_excess = False
        """Whether its instance itself filled the room when the answer was cut."""

    @property
    def n_bytes(self) -> int:
        """Bytes held."""
        return self._holding.n_bytes if self._holding is not None else 0

    def hold(self, n_bytes: int) -> bool:
        """Hold that many bytes in all; return False if they may not be held."""
        return self._memory.hold_arrival(self._opened(), n_bytes - self.n_bytes)

    @property
    def n_room(self) -> float:
        """By how many bytes the answer may grow at present."""
        return self._memory.n_room(self._opened())

    @property
    def is_excess(self) -> bool:
        """Whether its instance itself fills the room that it lacks."""
        return self._memory.is_excess(self._instance)

    def cut(self) -> None:
        """End the answer; what it holds is released afterwards."""
        self.was_excess = self.is_excess
        self.on_cut()

    def _opened(self) -> Holding:
        if self._holding is None:
            self._holding = self._memory.open_for(self, self._instance)
        return self._holding

    def close(self) -> None:
        """Release what is held; further calls do nothing."""
        if self._holding is not None:
            self._memory.close(self._holding)


class CallerMemory:
    """Accounts for the bodies and answers of all callers, with the means to cut them.

    ``limit`` is in bytes.
    """

    def __init__(self, limit: float) -> None:
        self._memory = HeldMemory(limit)
        self._cuts: dict[Holding, Callable[[], None]] = {}
        self.n_cut = 0
        """Callers that were cut off."""

    @property
    def n_limit(self) -> float:
        """Most bytes that may be held."""
        return self._memory.limit

    @property
    def n_holdings(self) -> int:
        """Callers and answers that are accounted for."""
        return len(self._cuts)

    @property
    def n_bytes(self) -> int:
        """Bytes held for all callers, and of all answers that arrive."""
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

    def open_arrival(self, instance: Hashable) -> Arrival:
        """Return what is held of an answer that an instance has begun: nothing yet."""
        return Arrival(self, instance)

    def open_for(self, arrival: Arrival, instance: Hashable) -> Holding:
        """Return an empty holding of an answer."""
        holding = self._memory.open(instance, INSTANCE_FACTOR)
        self._cuts[holding] = arrival.cut
        return holding

    def hold_arrival(self, holding: Holding, n_bytes: int) -> bool:
        """Hold more of an answer; return False if it may not be held.

        Larger answers of the same instance are cut off if that makes room: what one
        answer without end holds must not cost the others. One that was cut holds no
        more.
        """
        if holding not in self._cuts:
            return False
        while not self._memory.grow(holding, n_bytes):
            largest = self._memory.largest(holding.owner)
            if largest is None or largest.n_bytes <= holding.n_bytes + n_bytes:
                return False
            self._cuts[largest]()
            self.close(largest)
        return True

    def n_room(self, holding: Holding) -> float:
        """Return by how much a holding may grow at present."""
        return self._memory.n_room(holding)

    def is_excess(self, instance: Hashable) -> bool:
        """Return whether an instance itself fills the room that its answers lack."""
        return self._memory.n_held(instance) > EXCESS_SHARE * self._memory.limit

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
