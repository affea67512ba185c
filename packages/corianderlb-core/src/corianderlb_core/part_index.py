"""Track which engines hold which prompt parts, from what was sent to them.

The index is only a hint: engines check their own caches, so a wrong entry costs
recomputation but never correctness. Entries are keyed by the scope (model, weights
version and isolation key), so parts are never matched across scopes.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import field
from typing import Final

import xxhash

from .data_class import dataclass

MAX_PARTS: Final = 20_000
"""Bounds the memory of the index; the least recently used part is evicted. At about 300
bytes a part it stays below 6 MB."""

RETAINED_SHARE: Final = 0.35
"""Share of an engine's memory that may be prefilled after a part before the part counts
as evicted. The rest covers running requests and estimation errors. With 0.35, busy days
had 2 to 10% fewer tokens prefilled again than with 0.7."""

REFRESH_SHARE: Final = 0.1
"""Share of an engine's memory that is prefilled until a further use of a part is news
again; well below ``RETAINED_SHARE``, so that parts in use stay known."""

IncarnationKey = tuple[str, int]
"""Name of an instance and the time of its start."""


@dataclass(slots=True)
class _Holder:
    is_ready: bool
    """False while the engine is still prefilling the part."""
    n_prefilled_at_use: float
    """The engine's count of prefilled tokens when the part was last used."""
    n_prefilled_at_news: float
    """That count when a use was last reported as news."""


@dataclass(slots=True)
class _Part:
    holders: dict[IncarnationKey, _Holder] = field(default_factory=dict)
    is_saved: bool = False
    """Whether a run was ordered to save the part to the KV cache store."""


@dataclass(frozen=True)
class Coverage:
    """How much of a prompt one engine holds."""

    n_held: int
    """Tokens that it holds now."""
    n_expected: int
    """Tokens that it holds or is prefilling now."""
    n_known: int = 0
    """Tokens that it holds, is prefilling, or has held and may have evicted."""
    n_since_use: float = 0.0
    """Tokens that it has prefilled since the first part was last used."""


NO_COVERAGE: Final = Coverage(0, 0)
"""Coverage of an engine that holds nothing of a prompt."""


def part_key(scope: str, part_id: str) -> int:
    """Return the digest of a part in a scope, 48 bits.

    Two parts with equal digests only make a wrong hint.
    """
    return xxhash.xxh3_64_intdigest(f"{scope}/{part_id}".encode()) >> 16


class PartIndex:
    """Index from prompt parts to the engines that hold them."""

    def __init__(self) -> None:
        self._parts: OrderedDict[int, _Part] = OrderedDict()
        """By digest of scope and part."""
        self._n_prefilled: dict[IncarnationKey, float] = {}

    def record_parts(
        self,
        scope: str,
        part_ids: Sequence[str],
        incarnation: IncarnationKey,
        is_ready: bool,
        capacity: float = math.inf,
    ) -> bool:
        """Record that an engine is prefilling, or has prefilled, some parts.

        Return whether that is news: whether a part was not known to be held, or to be
        ready, or was last used long ago for an engine memory of ``capacity`` tokens.
        """
        news = [
            self.record_key(part_key(scope, part_id), incarnation, is_ready, capacity)
            for part_id in part_ids
        ]
        return any(news)

    def record_key(
        self,
        key: int,
        incarnation: IncarnationKey,
        is_ready: bool,
        capacity: float = math.inf,
    ) -> bool:
        """Record one part by its digest, as ``record_parts`` does."""
        return self._record_holder(self._part(key), incarnation, is_ready, capacity)

    def hear_key(
        self, key: int, incarnation: IncarnationKey, is_ready: bool, is_saved: bool
    ) -> int | None:
        """Record one part that a peer told; return how many holders were known.

        Return 0 if it wasn't known to be saved, which all routers should hear, and None
        if nothing is news.
        """
        part = self._part(key)
        is_first_save = is_saved and not part.is_saved
        part.is_saved = part.is_saved or is_saved
        holders = part.holders
        n_holders = len(holders)
        if incarnation not in holders:
            n_prefilled = self._n_prefilled.get(incarnation, 0.0)
            holders[incarnation] = _Holder(is_ready, n_prefilled, n_prefilled)
        elif not self._record_holder(part, incarnation, is_ready, math.inf):
            return 0 if is_first_save else None
        return 0 if is_first_save else n_holders

    def _record_holder(
        self, part: _Part, incarnation: IncarnationKey, is_ready: bool, capacity: float
    ) -> bool:
        n_prefilled = self._n_prefilled.get(incarnation, 0.0)
        known = part.holders.get(incarnation)
        if known is None:
            part.holders[incarnation] = _Holder(is_ready, n_prefilled, n_prefilled)
            return True
        known.n_prefilled_at_use = n_prefilled
        is_news = is_ready and not known.is_ready
        if is_news:
            known.is_ready = True
        elif n_prefilled - known.n_prefilled_at_news >= REFRESH_SHARE * capacity:
            is_news = True
        if is_news:
            known.n_prefilled_at_news = n_prefilled
        return is_news

    def n_holders(self, key: int) -> int:
        """Return how many engines are known to hold, or to be prefilling, a part."""
        part = self._parts.get(key)
        return len(part.holders) if part else 0

    def record_saved(self, scope: str, part_ids: Sequence[str]) -> None:
        """Record that parts were sent to the KV cache store."""
        for part_id in part_ids:
            self.record_saved_key(part_key(scope, part_id))

    def record_saved_key(self, key: int) -> None:
        """Record that a part, by its digest, was sent to the KV cache store."""
        self._part(key).is_saved = True

    def count_prefilled(self, incarnation: IncarnationKey, n_tokens: float) -> None:
        """Count tokens that an engine has prefilled, which evict older parts."""
        self._n_prefilled[incarnation] = (
            self._n_prefilled.get(incarnation, 0.0) + n_tokens
        )

    def forget(self, incarnation: IncarnationKey) -> None:
        """Drop all entries of an incarnation that ended or replaced its weights."""
        self._n_prefilled.pop(incarnation, None)
        for part in self._parts.values():
            part.holders.pop(incarnation, None)

    def discard_pending(
        self, scope: str, part_ids: Sequence[str], incarnation: IncarnationKey
    ) -> None:
        """Remove the pending entries of a run that was aborted during prefill."""
        for part_id in part_ids:
            part = self._parts.get(part_key(scope, part_id))
            holder = part.holders.get(incarnation) if part else None
            if part is not None and holder is not None and not holder.is_ready:
                del part.holders[incarnation]

    def coverage(
        self,
        scope: str,
        parts: Sequence[tuple[str, int]],
        incarnation: IncarnationKey,
        capacity: int,
    ) -> Coverage:
        """Return how many leading tokens of a prompt an engine holds."""
        return self.coverages(scope, parts, (incarnation,), capacity).get(
            incarnation, NO_COVERAGE
        )

    def coverages(
        self,
        scope: str,
        parts: Sequence[tuple[str, int]],
        incarnations: Iterable[IncarnationKey],
        capacity: int,
        implies_earlier: bool = False,
    ) -> dict[IncarnationKey, Coverage]:
        """Return the coverage of each engine that holds any of a prompt.

        Looks up each part once for all engines. Engines that lack the first part,
        which are most of them, are left out. With ``implies_earlier``, an engine that
        holds a part counts as holding all parts before it, which it needed to read it.
        """
        known = [self._parts.get(part_key(scope, part_id)) for part_id, _ in parts]
        holders = [part.holders if part else {} for part in known]
        if implies_earlier:
            for n in reversed(range(len(holders) - 1)):
                holders[n] = holders[n + 1] | holders[n]
        if not holders or not holders[0]:
            return {}
        return {
            incarnation: self._coverage_of(incarnation, parts, holders, capacity)
            for incarnation in incarnations
            if incarnation in holders[0]
        }

    def _coverage_of(
        self,
        incarnation: IncarnationKey,
        parts: Sequence[tuple[str, int]],
        holders: Sequence[dict[IncarnationKey, _Holder]],
        capacity: int,
    ) -> Coverage:
        n_held = n_expected = n_known = 0
        is_prefix_ready = is_retained = True
        n_prefilled = self._n_prefilled.get(incarnation, 0.0)
        oldest = n_prefilled - RETAINED_SHARE * capacity
        n_since_use = 0.0
        for (_, n_tokens), of_part in zip(parts, holders, strict=True):
            holder = of_part.get(incarnation)
            if holder is None:
                break
            n_since_use = max(n_since_use, n_prefilled - holder.n_prefilled_at_use)
            is_retained = is_retained and holder.n_prefilled_at_use >= oldest
            is_prefix_ready = is_prefix_ready and holder.is_ready
            n_known += n_tokens
            if is_retained:
                n_expected += n_tokens
            if is_retained and is_prefix_ready:
                n_held += n_tokens
        return Coverage(n_held, n_expected, n_known, n_since_use)

    def is_saved(
        self, scope: str, part_ids: Sequence[str], implies_earlier: bool = False
    ) -> bool:
        """Return whether all parts were sent to the KV cache store.

        With ``implies_earlier``, the last part is looked up only: prompts are saved
        whole.
        """
        for part_id in part_ids[-1:] if implies_earlier else part_ids:
            part = self._parts.get(part_key(scope, part_id))
            if part is None or not part.is_saved:
                return False
        return True

    def __len__(self) -> int:
        return len(self._parts)

    def _part(self, key: int) -> _Part:
        parts = self._parts
        part = parts.get(key)
        if part is None:
            part = parts[key] = _Part()
            if len(parts) > MAX_PARTS:
                parts.popitem(last=False)
        else:
            parts.move_to_end(key)
        return part
