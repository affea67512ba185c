"""Hints about which engines hold which pieces, from answers and cache events.

A hint belongs to one incarnation and one prefix key, and the key covers the client
account and the weights version. The engine looks up the key itself, so a wrong hint
only costs time. Engines evict within seconds, so hints lose confidence with age, at a
rate learned from the answers of each incarnation.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final

from .data_class import dataclass
from .identity import Incarnation

MAX_HINTS: Final = 16384
"""Limit over all incarnations; the least recently renewed hint is evicted first."""

INITIAL_LIFETIME_S: Final = 60.0
"""Age at which the confidence in a hint is one half, before any answer is observed."""

MIN_LIFETIME_S: Final = 0.5
MAX_LIFETIME_S: Final = 3600.0

_NO_HOLDERS: Final[Mapping[Incarnation, float]] = {}


@dataclass(frozen=True)
class CacheEvent:
    """An engine stored or evicted a piece."""

    seq: int
    key: bytes
    stored: bool


class HintTable:
    """Table of the incarnations last known to hold each prefix."""

    def __init__(self, max_hints: int = MAX_HINTS) -> None:
        self._max_hints = max_hints
        self._order: OrderedDict[tuple[bytes, Incarnation], None] = OrderedDict()
        self._holders: dict[bytes, dict[Incarnation, float]] = {}
        self._keys: dict[Incarnation, set[bytes]] = {}
        self._lifetime_s: dict[Incarnation, float] = {}
        self._next_seq: dict[Incarnation, int] = {}
        self.n_gaps = 0
        """Gaps in event streams, each of which cleared the hints of an incarnation."""

    def __len__(self) -> int:
        return len(self._order)

    def holders(self, key: bytes) -> Mapping[Incarnation, float]:
        """Return the incarnations that hold a prefix, with the time of the report."""
        return self._holders.get(key, _NO_HOLDERS)

    def confidence(
        self, incarnation: Incarnation, reported_at: float, now: float
    ) -> float:
        """Return the probability that a hint from the given time still holds."""
        lifetime_s = self._lifetime_s.get(incarnation, INITIAL_LIFETIME_S)
        return 0.5 ** ((now - reported_at) / lifetime_s)

    def answered(
        self, incarnation: Incarnation, keys: Sequence[bytes], n_hits: int, now: float
    ) -> None:
        """Update the hints from an answer that had ``n_hits`` leading pieces cached.

        Once it has answered, the engine holds all of the prompt's pieces.
        """
        self._update_lifetime(incarnation, keys, n_hits, now)
        for key in keys:
            self._put(key, incarnation, now)

    def take_events(
        self, incarnation: Incarnation, events: Sequence[CacheEvent], now: float
    ) -> None:
        """Apply cache events in their order.

        Events can be lost, and a lost event may be an eviction: requests would then be
        queued at an engine for pieces that it no longer holds. So a gap in the sequence
        clears the hints of the incarnation. Repeated events are ignored.
        """
        for event in events:
            expected = self._next_seq.get(incarnation)
            if expected is not None and event.seq < expected:
                continue
            if expected is not None and event.seq > expected:
                self.n_gaps += 1
                self._drop_hints(incarnation)
            self._next_seq[incarnation] = event.seq + 1
            if event.stored:
                self._put(event.key, incarnation, now)
            else:
                self._remove(event.key, incarnation)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop all state of an incarnation that ended."""
        self._drop_hints(incarnation)
        self._lifetime_s.pop(incarnation, None)
        self._next_seq.pop(incarnation, None)

    def _update_lifetime(
        self, incarnation: Incarnation, keys: Sequence[bytes], n_hits: int, now: float
    ) -> None:
        lifetime_s = self._lifetime_s.get(incarnation, INITIAL_LIFETIME_S)
        evicted_at = held_at = None
        if n_hits < len(keys):
            evicted_at = self.holders(keys[n_hits]).get(incarnation)
        if n_hits > 0:
            held_at = self.holders(keys[n_hits - 1]).get(incarnation)
        if evicted_at is not None:
            lifetime_s = max(MIN_LIFETIME_S, min(lifetime_s, now - evicted_at))
        elif held_at is not None:
            lifetime_s = min(MAX_LIFETIME_S, max(lifetime_s, 2 * (now - held_at)))
        self._lifetime_s[incarnation] = lifetime_s

    def _put(self, key: bytes, incarnation: Incarnation, now: float) -> None:
        self._holders.setdefault(key, {})[incarnation] = now
        self._keys.setdefault(incarnation, set()).add(key)
        self._order[key, incarnation] = None
        self._order.move_to_end((key, incarnation))
        while len(self._order) > self._max_hints:
            self._remove(*next(iter(self._order)))

    def _remove(self, key: bytes, incarnation: Incarnation) -> None:
        if (key, incarnation) not in self._order:
            return
        del self._order[key, incarnation]
        self._keys[incarnation].discard(key)
        holders = self._holders[key]
        del holders[incarnation]
        if not holders:
            del self._holders[key]

    def _drop_hints(self, incarnation: Incarnation) -> None:
        for key in list(self._keys.get(incarnation, ())):
            self._remove(key, incarnation)
        self._keys.pop(incarnation, None)
