"""Keep when the versions of a model's weights were named.

Users bound how long after a newer version was named an answer may begin on an older
one. That time runs from the store's acknowledgement, which the store does not date.
A router that follows the store sees a naming as it happens. One that started later,
or was out of touch, knows only when it last saw that there was nothing newer; peers
that saw the naming tell it how long ago that was.

For example, after ``note(Naming(3, 10.0, after=2))`` the weights of version 2 count as
replaced at 10.0, those of version 1 as replaced nobody knows when, and those of version
3 as the newest.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
from typing import Final

MAX_NAMED: Final = 32
"""Versions of a model whose naming is remembered: more than engines are ever behind."""


@dataclass(frozen=True)
class Naming:
    """Hold when a version was named, by the router's clock."""

    version: int
    at: float
    after: int = 0
    """The version that was the newest until then; 0 when there was none."""
    is_exact: bool = True
    """Whether some router saw it as it happened. Otherwise ``at`` is the earliest
    moment at which ``after`` can have been replaced."""


class NamedVersions:
    """Hold the newest versions of one model, each with when it was named."""

    def __init__(self) -> None:
        self._namings: list[Naming] = []
        """By version, oldest first."""

    @property
    def newest(self) -> int:
        """The newest version; 0 when none is known."""
        return self._namings[-1].version if self._namings else 0

    def note(self, naming: Naming) -> bool:
        """Take note of a naming; return whether it changed what is known.

        Of two exact times the earlier one counts: word of a naming takes its time.
        """
        index = bisect_right(self._namings, naming.version, key=_version)
        known = self._namings[index - 1] if index else None
        if known is None or known.version != naming.version:
            self._namings.insert(index, naming)
            del self._namings[:-MAX_NAMED]
            return True
        is_better = naming.is_exact and (not known.is_exact or naming.at < known.at)
        if is_better:
            self._namings[index - 1] = naming
        return is_better

    def replaced_at(self, version: int) -> float:
        """Return when a version was replaced; infinite for the newest.

        Where a naming is missing that came in between, it may have come as early as
        that of the version itself, or at any time if that is not known either.
        """
        index = bisect_right(self._namings, version, key=_version)
        if index == len(self._namings):
            return math.inf
        newer = self._namings[index]
        if newer.after <= version:
            return newer.at
        own = self._namings[index - 1] if index else None
        return own.at if own is not None and own.version == version else -math.inf

    def exact(self, since: float) -> list[Naming]:
        """Return the namings since a moment that some router saw."""
        return [known for known in self._namings if known.is_exact and known.at > since]

    @property
    def is_newest_exact(self) -> bool:
        """Whether some router saw the naming of the newest version."""
        return bool(self._namings) and self._namings[-1].is_exact


def _version(naming: Naming) -> int:
    return naming.version
