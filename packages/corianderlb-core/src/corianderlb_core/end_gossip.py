"""Ends of answers without a mark, told to the other routers of a fleet.

A router sees few of the answers of one instance, its peers the others. It tells its own
ends to the routers that it is linked to. In a large fleet these are a fraction of them,
which see enough of an instance that ends many answers. The ends of one that ends few
are passed on. Whether they are depends only on the ends before them: passed on because
they seem to coincide, they would stand out from a past of which less is known. An item
is 14 bytes.
"""

from __future__ import annotations

import random
import struct
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from .data_class import dataclass
from .end_coincidence import HISTORY_S, EndCoincidence
from .part_gossip import engine_digest, share_passed_on
from .part_index import IncarnationKey

MAX_ITEMS: Final = 250
"""Maximum number of items in one update; the rest wait for the next one."""

MAX_PASSED_PER_S: Final = 4.0
"""Ends a second of an instance, seen by all routers, up to which they are passed on."""

MAX_RARE_PER_S: Final = 1.0
"""The same up to which every router passes them on: one that misses an end of a few
doesn't find that they coincide."""

MAX_PASSED_AT_ONCE: Final = 16
"""Maximum number of ends of one instance that are passed on with one update: enough to
show that they coincide."""

MAX_WAITING_ITEMS: Final = 2_000
"""Maximum number of items that wait; further ones are dropped."""

MAX_AGE_S: Final = 2.0
"""Age from which an end is no longer told or heard: its answer has been judged."""

_ITEM: Final = struct.Struct("<IIHI")
_PASSED_ON: Final = 1 << 31
"""Flag beside the time for which an answer was open."""


@dataclass(frozen=True)
class AnnouncedEnd:
    """The end of one answer, as it is told."""

    engine: int
    """Digest of the instance's incarnation, as in ``part_gossip.engine_digest``."""
    number: int
    """Random number of the end, 32 bits."""
    age_s: float
    """Time from the end until this was sent."""
    open_for_s: float
    """Time from the answer's beginning to its end."""
    is_passed_on: bool = False
    """Whether the sender has heard it from another router."""


def pack(items: Iterable[AnnouncedEnd]) -> bytes:
    """Encode items, 14 bytes each."""
    return b"".join(
        _ITEM.pack(
            item.engine,
            item.number,
            round(1000 * item.age_s),
            min(_PASSED_ON - 1, round(1000 * item.open_for_s))
            | item.is_passed_on * _PASSED_ON,
        )
        for item in items
    )


def unpack(packed: bytes) -> Iterator[AnnouncedEnd]:
    """Decode items; a truncated last item is dropped."""
    whole = packed[: len(packed) - len(packed) % _ITEM.size]
    for engine, number, age_ms, open_ms in _ITEM.iter_unpack(whole):
        open_for_s = (open_ms & ~_PASSED_ON) / 1000
        is_passed_on = bool(open_ms & _PASSED_ON)
        yield AnnouncedEnd(engine, number, age_ms / 1000, open_for_s, is_passed_on)


@dataclass(frozen=True)
class _Waiting:
    engine: int
    ended_at: float
    open_for_s: float
    is_passed_on: bool


class EndGossip:
    """Ends to tell with the next update: own ones, and heard ones to pass on."""

    def __init__(self, ends: EndCoincidence, rng: random.Random) -> None:
        self._ends = ends
        self._rng = rng
        self._waiting: dict[int, _Waiting] = {}
        """By number."""
        self._n_passed: Counter[IncarnationKey] = Counter()
        """Ends of instances that are passed on with the next update."""

    @property
    def has_news(self) -> bool:
        """Whether an update has something to tell."""
        return bool(self._waiting)

    def record(
        self, key: IncarnationKey, ended_at: float, is_marked: bool, open_for_s: float
    ) -> None:
        """Record an end that this router has seen, and tell it if it has no mark."""
        # The kernel dates an end, which may then lie before the head was read.
        open_for_s = max(0.0, open_for_s)
        number = self._rng.randrange(1, 1 << 32)
        self._ends.record(key, ended_at, is_marked, open_for_s, number)
        if not is_marked:
            self._tell(number, key, ended_at, open_for_s, False)

    def hear(
        self,
        packed: bytes,
        incarnations: Mapping[int, IncarnationKey],
        now: float,
        n_others: int,
        reach: float,
    ) -> None:
        """Record the ends of an update, and pass on some of those that are news.

        ``incarnations`` are the known ones by digest; ends of others are dropped.
        ``reach`` is the fraction of the ``n_others`` other routers that are linked.
        """
        share = share_passed_on(n_others, reach)
        n_most, n_rare = (
            per_s * HISTORY_S * reach for per_s in (MAX_PASSED_PER_S, MAX_RARE_PER_S)
        )
        for item in unpack(packed):
            key = incarnations.get(item.engine)
            if key is None or item.age_s > MAX_AGE_S:
                continue
            ended_at = now - item.age_s
            is_news = self._ends.record_peer(
                key, ended_at, item.open_for_s, item.number, not item.is_passed_on
            )
            if not is_news or not share or self._n_passed[key] >= MAX_PASSED_AT_ONCE:
                continue
            n_before = self._ends.n_direct(key, ended_at)
            if n_before <= n_rare or (
                n_before <= n_most and self._rng.random() < share
            ):
                self._n_passed[key] += 1
                self._tell(item.number, key, ended_at, item.open_for_s, True)

    def take(self, now: float) -> bytes:
        """Return the packed items of the next update; empty without any."""
        self._n_passed.clear()
        items = []
        for number in list(self._waiting)[:MAX_ITEMS]:
            end = self._waiting.pop(number)
            age_s = max(0.0, now - end.ended_at)
            if age_s <= MAX_AGE_S:
                items.append(
                    AnnouncedEnd(
                        end.engine, number, age_s, end.open_for_s, end.is_passed_on
                    )
                )
        return pack(items)

    def _tell(
        self,
        number: int,
        key: IncarnationKey,
        ended_at: float,
        open_for_s: float,
        is_passed_on: bool,
    ) -> None:
        if len(self._waiting) < MAX_WAITING_ITEMS:
            self._waiting[number] = _Waiting(
                engine_digest(key), ended_at, open_for_s, is_passed_on
            )
