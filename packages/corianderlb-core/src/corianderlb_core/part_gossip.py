"""Which engines hold which prompt parts, told to routers that are not linked.

In a large fleet a router is linked to a fraction of the others. Some of those that hear
of a first read pass it on. An item is 12 bytes, digests of the part and of the
engine's incarnation. Like the rest of the index of parts it is a hint: an engine checks
its own cache, and a wrong item costs recomputation only.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from typing import Final

import xxhash

from .data_class import dataclass
from .forwarding import PromptPart
from .part_index import IncarnationKey, PartIndex, part_key

N_PASSING_ON: Final = 8
"""Number of a router's links, on average, that are to pass on an item which it
announced. Each does so to all its links unless another router tells it too before, so
that 0.98 of a fleet hear of it, each router three times on average."""

MIN_PASSED_ON_TOKENS: Final = 512
"""Smallest part that is passed on, except for first parts: they are few, and many
prompts begin with them."""

MAX_TOLD_HOLDERS: Final = 3
"""Number of known holders from which a further one need not be passed on."""

MAX_ITEMS: Final = 400
"""Maximum number of items in one update; the rest wait for the next one."""

MAX_WAITING_ITEMS: Final = 4_000
"""Maximum number of items that wait; further ones are dropped."""

MAX_RECENT_ITEMS: Final = 8_000
"""Maximum number of items by which repeated ones are recognized."""

_ITEM: Final = struct.Struct("<QI")
_N_FLAG_BITS: Final = 16
_READY, _SAVED, _PASS_ON = 1, 2, 4


@dataclass(frozen=True)
class HeldPart:
    """One engine that holds, or is prefilling, one part."""

    part: int
    """Digest of scope and part, as in ``part_index.part_key``."""
    engine: int
    """Digest of the engine's incarnation."""
    is_ready: bool = True
    """False while the engine is still prefilling the part."""
    is_saved: bool = False
    """Whether the part was also sent to the KV cache store."""
    pass_on: bool = False
    """Whether routers that hear it for the first time may pass it on."""


def engine_digest(incarnation: IncarnationKey) -> int:
    """Return the digest of an incarnation, 32 bits."""
    instance, born_ms = incarnation
    return xxhash.xxh3_64_intdigest(f"{instance}@{born_ms}".encode()) & 0xFFFFFFFF


def share_passed_on(n_others: int, reach: float) -> float:
    """Return the share of heard items that a router passes on.

    ``reach`` is the fraction of the ``n_others`` other routers that are linked.
    """
    n_links = max(1.0, reach * n_others)
    return min(1.0, N_PASSING_ON / n_links) if reach < 1 else 0.0


def pack(items: Iterable[HeldPart]) -> bytes:
    """Encode items, 12 bytes each."""
    return b"".join(_ITEM.pack(_first_of(item), item.engine) for item in items)


def unpack(packed: bytes) -> list[HeldPart]:
    """Decode items; a truncated last item is dropped."""
    return [_item(first, engine) for first, engine in _items_of(packed)]


def _first_of(item: HeldPart) -> int:
    """Return the first field of a packed item: the part and the flags."""
    return (
        item.part << _N_FLAG_BITS
        | item.is_ready * _READY
        | item.is_saved * _SAVED
        | item.pass_on * _PASS_ON
    )


def _items_of(packed: bytes) -> Iterator[tuple[int, int]]:
    return _ITEM.iter_unpack(packed[: len(packed) - len(packed) % _ITEM.size])


def _item(first: int, engine: int) -> HeldPart:
    return HeldPart(
        first >> _N_FLAG_BITS,
        engine,
        bool(first & _READY),
        bool(first & _SAVED),
        bool(first & _PASS_ON),
    )


class PartGossip:
    """Items to tell with the next update: own ones, and heard ones to pass on."""

    def __init__(self, index: PartIndex, rng: random.Random) -> None:
        self._index = index
        self._rng = rng
        self._items: dict[tuple[int, int], HeldPart] = {}
        """Own items that wait, by part and engine."""
        self._passing: dict[tuple[int, int], str] = {}
        """Heard items that wait to be passed on, as packed, and who told them."""
        self._recent: set[tuple[int, int]] = set()
        """Items that were heard since the last update, as packed."""
        self._recent_before: set[tuple[int, int]] = set()
        """Those of the interval before that."""
        self.n_told = 0
        """Items that were taken for updates, own ones and passed-on ones."""
        self.n_heard = 0
        """Items of others that were news here."""

    def record_read(
        self,
        scope: str,
        parts: Iterable[PromptPart],
        incarnation: IncarnationKey,
        is_ready: bool,
        is_saved: bool = False,
        capacity: float = math.inf,
    ) -> None:
        """Record parts that an engine reads for this router, and tell what is news.

        A save is told with the last part only, and to all routers: it implies that of
        the parts before it. ``capacity`` is the engine's memory in tokens.
        """
        engine = engine_digest(incarnation)
        parts = tuple(parts)
        for n, part in enumerate(parts):
            is_told_saved = is_saved and n == len(parts) - 1
            key = part_key(scope, part.part_id)
            is_large = n == 0 or part.n_tokens >= MIN_PASSED_ON_TOKENS
            is_rare = self._index.n_holders(key) < MAX_TOLD_HOLDERS
            is_news = self._index.record_key(key, incarnation, is_ready, capacity)
            if is_told_saved:
                self._index.record_saved_key(key)
            if is_news or is_told_saved:
                pass_on = is_told_saved or (is_rare and is_large)
                self._add(HeldPart(key, engine, is_ready, is_told_saved, pass_on))

    def hear(
        self,
        packed: bytes,
        incarnations: Mapping[int, IncarnationKey],
        share: float,
        sender: str = "",
    ) -> None:
        """Record the items of an update, and pass on a share of those that are news.

        ``incarnations`` are the known ones by digest; items about others are dropped.
        ``share`` is that of ``share_passed_on``. An item that another router tells too
        before it was passed on is known to most of the linked ones, so it isn't passed
        on.
        """
        if len(self._recent) >= MAX_RECENT_ITEMS:
            self._forget_recent()
        index, rng = self._index, self._rng
        recent, before = self._recent, self._recent_before
        items = list(_items_of(packed))
        fresh = [item for item in items if item not in recent and item not in before]
        if len(fresh) < len(items):
            for item in self._passing.keys() & set(items):
                if self._passing[item] != sender:
                    del self._passing[item]
        for item in fresh:
            first, engine = item
            incarnation = incarnations.get(engine)
            if incarnation is None:
                continue
            recent.add(item)
            n_holders = index.hear_key(
                first >> _N_FLAG_BITS,
                incarnation,
                bool(first & _READY),
                bool(first & _SAVED),
            )
            if n_holders is None:
                continue
            self.n_heard += 1
            is_rare = n_holders < MAX_TOLD_HOLDERS
            if is_rare and first & _PASS_ON and rng.random() < share:
                self._pass_on(item, sender)

    def _forget_recent(self) -> None:
        self._recent_before = self._recent
        self._recent = set()

    def _pass_on(self, item: tuple[int, int], sender: str) -> None:
        first, engine = item
        if first & _READY:
            # Replaces the item that says that the part is still being read.
            self._passing.pop((first & ~_READY, engine), None)
        if len(self) < MAX_WAITING_ITEMS:
            self._passing[item] = sender

    def _add(self, item: HeldPart) -> None:
        """Add an item; a later state of the same part and engine replaces it."""
        key = (item.part, item.engine)
        waiting = self._items.pop(key, None)
        if waiting is not None:
            item = HeldPart(
                item.part,
                item.engine,
                item.is_ready or waiting.is_ready,
                item.is_saved or waiting.is_saved,
                item.pass_on or waiting.pass_on,
            )
        if len(self) < MAX_WAITING_ITEMS:
            self._items[key] = item

    def take(self) -> list[HeldPart]:
        """Remove and return the items for the next update, own ones first."""
        taken = list(islice(self._items.values(), MAX_ITEMS))
        for item in taken:
            del self._items[item.part, item.engine]
        passed = list(islice(self._passing, MAX_ITEMS - len(taken)))
        for packed in passed:
            del self._passing[packed]
        taken += [_item(*packed) for packed in passed]
        self.n_told += len(taken)
        self._forget_recent()
        return taken

    def __len__(self) -> int:
        return len(self._items) + len(self._passing)
