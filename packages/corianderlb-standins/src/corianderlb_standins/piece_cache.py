"""Bounded cache of prompt pieces in an engine stand-in, with an event log."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final

MAX_RETAINED_EVENTS: Final = 4096
"""Length of the event log; a reader further behind sees a gap."""


@dataclass(frozen=True)
class CacheEvent:
    """Storage or eviction of one piece."""

    at: float
    seq: int
    op: str
    key: bytes


class PieceCache:
    """LRU cache of pieces that logs each storage and eviction.

    ``loss`` is the share of events that are dropped, which leaves gaps in the
    sequence numbers.
    """

    def __init__(self, capacity: int, loss: float, rng: random.Random) -> None:
        self.capacity = capacity
        self._event_loss = loss
        self._rng = rng
        self._pieces: OrderedDict[bytes, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._seq = 0

    def __len__(self) -> int:
        return len(self._pieces)

    def count_hits(self, keys: Sequence[bytes]) -> int:
        """Return how many leading pieces are cached, without marking them as used."""
        for n_hits, key in enumerate(keys):
            if key not in self._pieces:
                return n_hits
        return len(keys)

    def use(self, keys: Sequence[bytes]) -> int:
        """Return how many leading pieces are cached, and mark them as used."""
        n_hits = self.count_hits(keys)
        # Mark the shortest prefix last, so that it is evicted last: without it the
        # longer prefixes cannot be used.
        for key in reversed(keys[:n_hits]):
            self._pieces.move_to_end(key)
        return n_hits

    def add(self, keys: Iterable[bytes], now: float) -> None:
        """Store pieces, evicting the least recently used."""
        for key in reversed(list(keys)):
            if key not in self._pieces:
                self._log("stored", key, now)
            self._pieces[key] = None
            self._pieces.move_to_end(key)
        while len(self._pieces) > self.capacity:
            key, _ = self._pieces.popitem(last=False)
            self._log("evicted", key, now)

    def events_after(self, seq: int, until: float) -> dict[str, Any]:
        """Return the events after sequence number ``seq``, up to time ``until``."""
        visible = [item for item in self._events if item.seq > seq and item.at <= until]
        return {
            "first": visible[0].seq if visible else seq + 1,
            "events": [
                {"seq": item.seq, "op": item.op, "key": item.key.hex()}
                for item in visible
            ],
        }

    def _log(self, op: str, key: bytes, now: float) -> None:
        self._seq += 1
        if self._rng.random() >= self._event_loss:
            self._events.append(CacheEvent(now, self._seq, op, key))
