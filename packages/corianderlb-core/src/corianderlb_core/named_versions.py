"""Record when each weights version of a model was published.

A response may start on an older version only for a limited time after a newer one is
published, that is, after the store acknowledged it. The store keeps no timestamp of
that. A router that follows the store observes each publication as it happens. A router
that started later or lost its connection knows only when it last read that there was no
newer version, and learns the age of the publication from peers that observed it.

For example, after ``record_naming(Naming(3, 10.0, after=2))`` version 2 was replaced at
10.0, version 1 at an unknown time, and version 3 is the newest.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
from typing import Final

MAX_NAMINGS: Final = 32
"""Maximum number of publications kept for a model."""


@dataclass(frozen=True)
class Naming:
    """Publication of a weights version, with its time on this router's clock."""

    version: int
    at: float
    after: int = 0
    """The version that it replaced; 0 if there was none."""
    is_exact: bool = True
    """Whether a router observed the publication. Otherwise ``at`` is the earliest time
    at which ``after`` can have been replaced."""


class NamedVersions:
    """Publications of the weights versions of one model."""

    def __init__(self) -> None:
        self._namings: list[Naming] = []
        """Sorted by version."""

    @property
    def newest(self) -> int:
        """The newest version; 0 if none is known."""
        return self._namings[-1].version if self._namings else 0

    def record_naming(self, naming: Naming) -> bool:
        """Record a publication; return whether the history changed.

        Of two exact times the earlier one is kept, since announcements arrive late.
        """
        index = bisect_right(self._namings, naming.version, key=_version)
        known = self._namings[index - 1] if index else None
        if known is None or known.version != naming.version:
            self._namings.insert(index, naming)
            del self._namings[:-MAX_NAMINGS]
            return True
        is_better = naming.is_exact and (not known.is_exact or naming.at < known.at)
        if is_better:
            self._namings[index - 1] = naming
        return is_better

    def replaced_at(self, version: int) -> float:
        """Return when a version was replaced; infinite for the newest.

        If the publication of the next version is missing, this is the earliest possible
        time: when ``version`` itself was published, or minus infinity if that is
        unknown.
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
        """Return the publications after ``since`` that a router observed."""
        return [known for known in self._namings if known.is_exact and known.at > since]

    @property
    def is_newest_exact(self) -> bool:
        """Whether a router observed the publication of the newest version."""
        return bool(self._namings) and self._namings[-1].is_exact


def _version(naming: Naming) -> int:
    return naming.version
