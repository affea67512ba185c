"""Record when each weights version of a model was named as the newest.

A response may start on an older version only for a limited time after a newer one is
named. The time runs from the store's acknowledgement, which carries no timestamp. A
router that follows the store observes each naming as it happens. A router that started
later or lost its connection knows only when it last read that there was no newer
version, and learns the age of the naming from peers that observed it.

For example, after ``record_naming(Naming(3, 10.0, after=2))`` version 2 was replaced at
10.0, version 1 at an unknown time, and version 3 is the newest.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
from typing import Final

MAX_NAMED: Final = 32
"""Maximum number of namings kept for a model."""


@dataclass(frozen=True)
class Naming:
    """Time at which a version was named, on this router's clock."""

    version: int
    at: float
    after: int = 0
    """The newest version before; 0 if there was none."""
    is_exact: bool = True
    """Whether a router observed the naming. Otherwise ``at`` is the earliest time at
    which ``after`` can have been replaced."""


class NamedVersions:
    """History of the newest versions of one model."""

    def __init__(self) -> None:
        self._namings: list[Naming] = []
        """Sorted by version."""

    @property
    def newest(self) -> int:
        """The newest version; 0 if none is known."""
        return self._namings[-1].version if self._namings else 0

    def record_naming(self, naming: Naming) -> bool:
        """Record a naming; return whether the history changed.

        Of two exact times the earlier one is kept, since announcements arrive late.
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

        If the naming of the next version is missing, this is the earliest possible
        time: when ``version`` itself was named, or minus infinity if that is unknown.
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
        """Return the namings after ``since`` that a router observed."""
        return [known for known in self._namings if known.is_exact and known.at > since]

    @property
    def is_newest_exact(self) -> bool:
        """Whether a router observed the naming of the newest version."""
        return bool(self._namings) and self._namings[-1].is_exact


def _version(naming: Naming) -> int:
    return naming.version
