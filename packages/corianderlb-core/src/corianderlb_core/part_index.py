"""Remember which engines hold which prompt parts, from what was sent to them.

The index is a hint: a wrong entry costs recomputation, never correctness, since
engines check by themselves what they hold. Entries are keyed by the scope (weights
version and wall of the account), so nothing is ever found across either.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

MAX_PARTS: Final = 20_000
"""Parts remembered; at about 300 bytes each they stay below 6 MB."""

KEEP_SHARE: Final = 0.35
"""Part of an engine's memory that may be read after a part until it counts as
evicted. The rest is what running requests hold, and what the estimate misses: with
0.35 busy days had 2 to 10% fewer tokens read again than with 0.7."""

Life = tuple[str, int]
"""An instance and the start of its life."""


@dataclass
class _Holder:
    is_ready: bool
    """False while the part is still being read there."""
    tokens_read: float
    """The engine's count of read tokens when the part was last used."""


@dataclass
class _Part:
    holders: dict[Life, _Holder] = field(default_factory=dict)
    is_saved: bool = False
    """True once a run was told to save it to the store of KV cache."""


@dataclass(frozen=True)
class Coverage:
    """Tell how much of a prompt one engine holds."""

    n_held: int
    """Tokens it holds now."""
    n_coming: int
    """Tokens it holds or is reading now."""


NOTHING: Final = Coverage(0, 0)
"""Of an engine that holds nothing of a prompt."""


class PartIndex:
    """Find engines by the prompt parts that they hold."""

    def __init__(self) -> None:
        self._parts: OrderedDict[tuple[str, str], _Part] = OrderedDict()
        self._read: dict[Life, float] = {}

    def note(
        self, scope: str, part_ids: Sequence[str], life: Life, is_ready: bool
    ) -> None:
        """Take note that an engine reads, or has read, some parts."""
        at = self._read.get(life, 0.0)
        for part_id in part_ids:
            part = self._part(scope, part_id)
            known = part.holders.get(life)
            ready = is_ready or (known is not None and known.is_ready)
            part.holders[life] = _Holder(ready, at)

    def note_saved(self, scope: str, part_ids: Sequence[str]) -> None:
        """Take note that parts were sent to the store of KV cache."""
        for part_id in part_ids:
            self._part(scope, part_id).is_saved = True

    def count_read(self, life: Life, n_tokens: float) -> None:
        """Count tokens that an engine has read, which push older parts out."""
        self._read[life] = self._read.get(life, 0.0) + n_tokens

    def forget(self, life: Life) -> None:
        """Drop all that was known about a life, or about weights it replaced."""
        self._read.pop(life, None)
        for part in self._parts.values():
            part.holders.pop(life, None)

    def unread(self, scope: str, part_ids: Sequence[str], life: Life) -> None:
        """Take back that parts are being read, after the run was broken off."""
        for part_id in part_ids:
            part = self._parts.get((scope, part_id))
            holder = part.holders.get(life) if part else None
            if part is not None and holder is not None and not holder.is_ready:
                del part.holders[life]

    def coverage(
        self,
        scope: str,
        parts: Sequence[tuple[str, int]],
        life: Life,
        capacity: int,
    ) -> Coverage:
        """Return how many tokens from the front of a prompt an engine holds."""
        return self.coverages(scope, parts, (life,), capacity).get(life, NOTHING)

    def coverages(
        self,
        scope: str,
        parts: Sequence[tuple[str, int]],
        lives: Iterable[Life],
        capacity: int,
    ) -> dict[Life, Coverage]:
        """Return the same for those of many engines that hold anything of it.

        Most prompts lie in a few engines, so that this looks at each part once and
        not at each part of each engine.
        """
        known = [self._parts.get((scope, part_id)) for part_id, _ in parts]
        if not known or known[0] is None:
            return {}
        first = known[0].holders
        return {
            life: self._covered(life, parts, known, capacity)
            for life in lives
            if life in first
        }

    def _covered(
        self,
        life: Life,
        parts: Sequence[tuple[str, int]],
        known: Sequence[_Part | None],
        capacity: int,
    ) -> Coverage:
        n_held = n_coming = 0
        all_ready = True
        oldest = self._read.get(life, 0.0) - KEEP_SHARE * capacity
        for (_, n_tokens), part in zip(parts, known, strict=True):
            holder = part.holders.get(life) if part else None
            if holder is None or holder.tokens_read < oldest:
                break
            all_ready = all_ready and holder.is_ready
            n_coming += n_tokens
            if all_ready:
                n_held += n_tokens
        return Coverage(n_held, n_coming)

    def is_saved(self, scope: str, part_ids: Sequence[str]) -> bool:
        """Return whether all parts were sent to the store of KV cache."""
        for part_id in part_ids:
            part = self._parts.get((scope, part_id))
            if part is None or not part.is_saved:
                return False
        return True

    def __len__(self) -> int:
        return len(self._parts)

    def _part(self, scope: str, part_id: str) -> _Part:
        key = (scope, part_id)
        part = self._parts.get(key)
        if part is None:
            part = self._parts[key] = _Part()
            if len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        else:
            self._parts.move_to_end(key)
        return part
