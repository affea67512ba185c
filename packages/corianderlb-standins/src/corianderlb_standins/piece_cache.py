"""The bounded cache of prompt pieces in an engine stand-in, and its event log."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final

EVENTS_KEPT: Final = 4096
"""Events that can still be read; a reader further behind sees a gap."""


@dataclass(frozen=True)
class CacheEvent:
    """Tell that a piece was stored or evicted."""

    at: float
    seq: int
    op: str
    key: bytes


class PieceCache:
    """Keep the most recently used pieces, and log what came and went.

    ``loss`` is the share of events that are never shown, which leaves gaps in the
    sequence numbers.
    """

    def __init__(self, capacity: int, loss: float, rng: random.Random) -> None:
        self.capacity = capacity
        self._loss = loss
        self._rng = rng
        self._pieces: OrderedDict[bytes, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._seq = 0

    def __len__(self) -> int:
        return len(self._pieces)

    def count_hits(self, keys: Sequence[bytes]) -> int:
        """Return how many leading pieces are held, without touching them."""
        for n_hits, key in enumerate(keys):
            if key not in self._pieces:
                return n_hits
        return len(keys)

    def use(self, keys: Sequence[bytes]) -> int:
        """Return how many leading pieces are held, and mark them as used now."""
        n_hits = self.count_hits(keys)
        # The shortest prefix is marked last: without it the longer ones are no use.
        for key in reversed(keys[:n_hits]):
            self._pieces.move_to_end(key)
        return n_hits

    def add(self, keys: Iterable[bytes], now: float) -> None:
        """Store pieces, evicting those unused for longest."""
        for key in reversed(list(keys)):
            if key not in self._pieces:
                self._log("stored", key, now)
            self._pieces[key] = None
            self._pieces.move_to_end(key)
        while len(self._pieces) > self.capacity:
            key, _ = self._pieces.popitem(last=False)
            self._log("evicted", key, now)

    def events_after(self, seq: int, until: float) -> dict[str, Any]:
        """Return the events after a sequence number that happened until a time."""
        shown = [item for item in self._events if item.seq > seq and item.at <= until]
        return {
            "first": shown[0].seq if shown else seq + 1,
            "events": [
                {"seq": item.seq, "op": item.op, "key": item.key.hex()}
                for item in shown
            ],
        }

    def _log(self, op: str, key: bytes, now: float) -> None:
        self._seq += 1
        if self._rng.random() >= self._loss:
            self._events.append(CacheEvent(now, self._seq, op, key))
