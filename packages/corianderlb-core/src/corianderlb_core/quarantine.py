"""Find the request that crashes upstreams, and keep it from crashing more.

All requests in flight on an instance that crashed are suspects, wherever they came
in. A suspect that runs to its end is innocent. One that is there at the second crash
is refused at once, whoever sends it again and to whichever router.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

CRASH_LIMIT: Final = 2
"""Crashes after which a request is refused."""

HOLD_S: Final = 3600.0
"""How long a convicted request is refused. Then it is let in once more, under
suspicion, so that one crash convicts it again."""

SUSPICION_S: Final = 3600.0
"""How long a suspect that is not sent again is remembered."""

MAX_SUSPECTS: Final = 10_000
"""Suspects that are remembered; the oldest are forgotten first."""


@dataclass(frozen=True)
class QuarantineEntry:
    """Hold what operators see about one suspect."""

    body_digest: str
    """Hexadecimal."""
    crashes: tuple[str, ...]
    """The crashes it was in flight at, as ``instance@epoch``."""
    refused_for_s: float
    """Seconds left; 0 for one that is only suspected."""


@dataclass
class _Suspect:
    crashes: list[str] = field(default_factory=list)
    last_at: float = -math.inf
    held_until: float = 0.0


class SuspectTable:
    """Count crashes by body digest; pure, so that each router has the same rules."""

    def __init__(self, hold_s: float = HOLD_S) -> None:
        self._hold_s = hold_s
        self._suspects: dict[bytes, _Suspect] = {}
        # A report can arrive again after its suspect was cleared. Were it counted
        # anew, the two messages could chase each other from router to router.
        self._counted: OrderedDict[tuple[str, bytes], None] = OrderedDict()

    def record_crash(
        self, crash_id: str, digests: Sequence[bytes], at: float
    ) -> tuple[bytes, ...]:
        """Count a crash of some moment; return the digests that it is news for.

        The same crash is reported by each router that had requests there, and counts
        once for each digest.
        """
        return tuple(
            digest
            for digest in dict.fromkeys(digests)
            if self._count(crash_id, digest, at)
        )

    def record_success(self, digest: bytes, now: float) -> bool:
        """Forget a suspect that ran to its end; return whether it was one."""
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.held_until > now:
            return False
        del self._suspects[digest]
        return True

    def refused_for(self, digest: bytes, now: float) -> float:
        """Return for how many seconds more the request is refused, or 0."""
        suspect = self._suspects.get(digest)
        if suspect is None or not suspect.held_until:
            return 0.0
        if suspect.held_until > now:
            return suspect.held_until - now
        # The hold is over: one crash less than the limit stays on the record.
        suspect.crashes = suspect.crashes[: CRASH_LIMIT - 1]
        suspect.held_until = 0.0
        suspect.last_at = now
        return 0.0

    def is_suspect(self, digest: bytes, now: float) -> bool:
        """Return whether the request must run apart from others."""
        suspect = self._suspects.get(digest)
        return suspect is not None and now - suspect.last_at < SUSPICION_S

    def rank(self, digest: bytes) -> int:
        """Return the place of a suspect among all, the same on all routers."""
        return sum(1 for other in self._suspects if other < digest)

    def entries(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return all suspects, for operators."""
        return tuple(
            QuarantineEntry(
                digest.hex(), tuple(known.crashes), max(0.0, known.held_until - now)
            )
            for digest, known in self._suspects.items()
        )

    def _count(self, crash_id: str, digest: bytes, at: float) -> bool:
        if (crash_id, digest) in self._counted:
            return False
        self._counted[crash_id, digest] = None
        if len(self._counted) > MAX_SUSPECTS:
            self._counted.popitem(last=False)
        suspect = self._suspects.get(digest)
        if suspect is None:
            self._make_room()
            suspect = self._suspects.setdefault(digest, _Suspect())
        if any(_may_be_same(crash_id, known) for known in suspect.crashes):
            return False
        suspect.crashes.append(crash_id)
        suspect.last_at = max(suspect.last_at, at)
        if len(suspect.crashes) >= CRASH_LIMIT:
            suspect.held_until = suspect.last_at + self._hold_s
        return True

    def _make_room(self) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        oldest = min(self._suspects, key=lambda known: self._suspects[known].last_at)
        del self._suspects[oldest]


def _may_be_same(crash_id: str, other: str) -> bool:
    """Return whether two reports can be about one crash.

    A router that had not heard from an instance yet reports its crash with epoch 0,
    while another names the epoch. Counted as two, they would convict the innocent.
    """
    instance, _, epoch = crash_id.rpartition("@")
    other_instance, _, other_epoch = other.rpartition("@")
    return instance == other_instance and "0" in (epoch, other_epoch)
