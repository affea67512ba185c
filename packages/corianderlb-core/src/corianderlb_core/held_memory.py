"""How much a router holds for its callers and of its instances' answers.

The bound is a dynamic threshold (Choudhury and Hahne, 1998): an owner may hold as much
as is still free. Room always remains for owners that hold little, and one that is alone
has half of all. A fixed share for each would leave most of it unused; a common limit
would let one owner fill it for all. Owners are client accounts, for what is held until
their callers have taken it, and instances, for answers that are not whole yet. An
instance may hold a smaller multiple of what is free, so that room is left for the
callers of an account whose instances fail.

For example, of 100 bytes an owner that is alone gets 50, and the next one 25; an
instance that is alone gets 33.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Final

from .data_class import dataclass

SLOW_AFTER_S: Final = 1.0
"""Time without progress from which a caller may be cut off for the room that it holds.
Shorter pauses come with lost packets."""

INSTANCE_FACTOR: Final = 0.5
"""What an instance may hold, as a multiple of what is free afterwards."""


@dataclass(eq=False)
class Holding:
    """What is held for one request, or of one answer while it arrives."""

    owner: Hashable
    """Client account, empty for callers without one; or the key of an instance."""
    factor: float = 1.0
    """What the owner may hold, as a multiple of what is free afterwards."""
    n_bytes: int = 0
    unread_since: float = math.inf
    """When the caller last took something of its answer; infinite while it need not."""


class HeldMemory:
    """Bytes held for the requests of one router, with a bound for each owner."""

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.n_bytes = 0
        """Bytes held for all requests."""
        self._by_owner: dict[Hashable, int] = {}
        self._holdings: dict[Holding, None] = {}

    def n_held(self, owner: Hashable) -> int:
        """Return the bytes that are held for an owner."""
        return self._by_owner.get(owner, 0)

    def open(self, owner: Hashable, factor: float = 1.0) -> Holding:
        """Return a holding that is empty."""
        holding = Holding(owner, factor)
        self._holdings[holding] = None
        return holding

    def slow_ones(self, asking: Holding, n_bytes: int, now: float) -> list[Holding]:
        """Return whom of its owner to cut off so that a holding may grow.

        The one whose caller has not read for the longest time comes first. The list is
        empty if the holding may grow without a cut, or may not even with all cuts.
        """
        n_freed = 0
        found: list[Holding] = []
        slow = [
            holding
            for holding in self._holdings
            if holding.owner == asking.owner
            and holding is not asking
            and now - holding.unread_since >= SLOW_AFTER_S
        ]
        slow.sort(key=lambda holding: holding.unread_since)
        while not self._has_room(asking, n_bytes, n_freed):
            if len(found) == len(slow):
                return []
            found.append(slow[len(found)])
            n_freed += found[-1].n_bytes
        return found

    def largest(self, owner: Hashable) -> Holding | None:
        """Return the largest holding of an owner."""
        held = (holding for holding in self._holdings if holding.owner == owner)
        return max(held, key=lambda holding: holding.n_bytes, default=None)

    def n_room(self, holding: Holding) -> float:
        """Return by how much a holding may grow."""
        factor = holding.factor
        most = factor * (self.limit - self.n_bytes) - self.n_held(holding.owner)
        return max(0.0, most / (1 + factor))

    def grow(self, holding: Holding, n_bytes: int) -> bool:
        """Hold more for a request; return False if its owner may not have that much.

        A negative number releases as much.
        """
        if holding not in self._holdings:
            return False
        if n_bytes > 0 and not self._has_room(holding, n_bytes):
            return False
        self._add(holding, n_bytes)
        return True

    def close(self, holding: Holding) -> None:
        """Release what is held for a request; further calls do nothing."""
        if holding in self._holdings:
            del self._holdings[holding]
            self._add(holding, -holding.n_bytes)

    def _has_room(self, holding: Holding, n_bytes: int, n_freed: int = 0) -> bool:
        n_more = n_bytes - n_freed
        n_free = self.limit - (self.n_bytes + n_more)
        return self.n_held(holding.owner) + n_more <= holding.factor * n_free

    def _add(self, holding: Holding, n_bytes: int) -> None:
        holding.n_bytes += n_bytes
        self.n_bytes += n_bytes
        n_held = self.n_held(holding.owner) + n_bytes
        if n_held:
            self._by_owner[holding.owner] = n_held
        else:
            self._by_owner.pop(holding.owner, None)
