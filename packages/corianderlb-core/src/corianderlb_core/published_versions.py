"""Record when each weights version of a model was published.

A response may start on an older version only for a limited time after a newer one is
published, that is, after the store acknowledged it. The store keeps no timestamp of
that. A router that follows the store observes each publication as it happens. A router
that started later or lost its connection knows only when it last read that there was no
newer version, and learns the age of the publication from peers that observed it.

For example, after ``record_publication(PublishedVersion(3, 10.0, after=2))`` version 2
was replaced at 10.0, version 1 at an unknown time, and version 3 is the newest.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from typing import Final

from .data_class import dataclass

MAX_PUBLISHED_VERSIONS: Final = 32
"""Maximum number of publications kept for a model."""


@dataclass(frozen=True)
class PublishedVersion:
    """Publication of a weights version, with its time on this router's clock."""

    version: int
    at: float
    after: int = 0
    """The version that it replaced; 0 if there was none."""
    is_exact: bool = True
    """Whether a router observed the publication. Otherwise ``at`` is the earliest time
    at which ``after`` can have been replaced."""


class PublishedVersions:
    """Publications of the weights versions of one model."""

    def __init__(self) -> None:
        self._published_versions: list[PublishedVersion] = []
        """Sorted by version."""

    @property
    def newest(self) -> int:
        """The newest version; 0 if none is known."""
        return self._published_versions[-1].version if self._published_versions else 0

    def record_publication(self, published_version: PublishedVersion) -> bool:
        """Record a publication; return whether the history changed.

        Of two exact times the earlier one is kept, since announcements arrive late.
        """
        index = bisect_right(
            self._published_versions, published_version.version, key=_version
        )
        known = self._published_versions[index - 1] if index else None
        if known is None or known.version != published_version.version:
            self._published_versions.insert(index, published_version)
            del self._published_versions[:-MAX_PUBLISHED_VERSIONS]
            return True
        is_better = published_version.is_exact and (
            not known.is_exact or published_version.at < known.at
        )
        if is_better:
            self._published_versions[index - 1] = published_version
        return is_better

    def replaced_at(self, version: int) -> float:
        """Return when a version was replaced; infinite for the newest.

        If the publication of the next version is missing, this is the earliest possible
        time: when ``version`` itself was published, or minus infinity if that is
        unknown.
        """
        index = bisect_right(self._published_versions, version, key=_version)
        if index == len(self._published_versions):
            return math.inf
        newer = self._published_versions[index]
        if newer.after <= version:
            return newer.at
        own = self._published_versions[index - 1] if index else None
        return own.at if own is not None and own.version == version else -math.inf

    def exact(self, since: float) -> list[PublishedVersion]:
        """Return the publications after ``since`` that a router observed."""
        return [
            known
            for known in self._published_versions
            if known.is_exact and known.at > since
        ]

    @property
    def is_newest_exact(self) -> bool:
        """Whether a router observed the publication of the newest version."""
        return bool(self._published_versions) and self._published_versions[-1].is_exact


def _version(published_version: PublishedVersion) -> int:
    return published_version.version
