"""Detect requests that crash upstream instances, and quarantine them.

All requests in flight on an instance when it crashes are suspects, whichever router
sent them. A suspect that completes is cleared. One that is in flight at a second crash
is refused by every router while in quarantine, whichever caller sends it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

CRASH_LIMIT: Final = 2
"""Crashes after which a request is refused."""

DEFAULT_QUARANTINE_S: Final = 3600.0
"""Default time for which a quarantined request is refused. It is then a suspect again,
and one more crash puts it back in quarantine."""

SUSPECT_TTL_S: Final = 3600.0
"""Time without a further crash after which a suspect need not run isolated. Its crashes
still count towards ``CRASH_LIMIT``."""

MAX_SUSPECTS: Final = 10_000
"""Maximum number of suspects, and of reports kept to recognize duplicates; the oldest
are evicted first."""


@dataclass(frozen=True)
class QuarantineEntry:
    """One suspect as shown to operators."""

    body_digest: str
    """Digest of the request body, in hexadecimal."""
    crashes: tuple[str, ...]
    """Crashes during which it was in flight, as ``instance@epoch``."""
    refused_for_s: float
    """Seconds left in quarantine; 0 if not in quarantine."""


@dataclass
class _Suspect:
    crashes: list[str] = field(default_factory=list)
    last_at: float = -math.inf
    refused_until: float = 0.0


class SuspectTable:
    """Crash counts by body digest; does no I/O."""

    def __init__(self, hold_s: float = DEFAULT_QUARANTINE_S) -> None:
        self._hold_s = hold_s
        self._suspects: dict[bytes, _Suspect] = {}
        # A crash report can arrive again after its suspect was cleared. If it counted
        # again, crash reports and clearances could circulate between the routers
        # forever.
        self._counted_reports: OrderedDict[tuple[str, bytes], None] = OrderedDict()

    def record_crash(
        self, crash_id: str, digests: Sequence[bytes], at: float
    ) -> tuple[bytes, ...]:
        """Count a crash at time ``at``; return the digests for which it is new.

        Each router that had requests on the instance reports the crash; it counts once
        for each digest.
        """
        return tuple(
            digest
            for digest in dict.fromkeys(digests)
            if self._count(crash_id, digest, at)
        )

    def record_success(self, digest: bytes, now: float) -> bool:
        """Clear a suspect whose run completed; return whether it was a suspect."""
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.refused_until > now:
            return False
        del self._suspects[digest]
        return True

    def refused_for(self, digest: bytes, now: float) -> float:
        """Return how many more seconds the request is refused, or 0."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.refused_until:
            return 0.0
        if suspect.refused_until > now:
            return suspect.refused_until - now
        # The quarantine is over. One crash less than the limit is kept.
        suspect.crashes = suspect.crashes[: CRASH_LIMIT - 1]
        suspect.refused_until = 0.0
        suspect.last_at = now
        return 0.0

    def is_suspect(self, digest: bytes, now: float) -> bool:
        """Return whether the request is a recent suspect, which must run isolated."""
        suspect = self._suspects.get(digest)
        return suspect is not None and now - suspect.last_at < SUSPECT_TTL_S

    def rank(self, digest: bytes) -> int:
        """Return the rank of a digest among all suspects.

        Routers that know the same suspects compute the same rank.
        """
        return sum(1 for other in self._suspects if other < digest)

    def entries(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return all suspects, for operators."""
        return tuple(
            QuarantineEntry(
                digest.hex(), tuple(known.crashes), max(0.0, known.refused_until - now)
            )
            for digest, known in self._suspects.items()
        )

    def _count(self, crash_id: str, digest: bytes, at: float) -> bool:
        if (crash_id, digest) in self._counted_reports:
            return False
        self._counted_reports[crash_id, digest] = None
        if len(self._counted_reports) > MAX_SUSPECTS:
            self._counted_reports.popitem(last=False)
        suspect = self._suspects.get(digest)
        if suspect is None:
            self._evict_oldest()
            suspect = self._suspects.setdefault(digest, _Suspect())
        if any(_may_be_same_crash(crash_id, known) for known in suspect.crashes):
            return False
        suspect.crashes.append(crash_id)
        suspect.last_at = max(suspect.last_at, at)
        if len(suspect.crashes) >= CRASH_LIMIT:
            suspect.refused_until = suspect.last_at + self._hold_s
        return True

    def _evict_oldest(self) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        oldest = min(self._suspects, key=lambda known: self._suspects[known].last_at)
        del self._suspects[oldest]


def _may_be_same_crash(crash_id: str, other: str) -> bool:
    """Return whether two different crash ids can refer to the same crash.

    A router without a report from an instance announces its crash with epoch 0, while
    others know the epoch. Counted twice, one crash would quarantine harmless requests.
    """
    instance, _, epoch = crash_id.rpartition("@")
    other_instance, _, other_epoch = other.rpartition("@")
    return instance == other_instance and "0" in (epoch, other_epoch)
