"""Detect requests and prompt parts that crash upstream instances, and quarantine them.

All requests in flight on an instance when it crashes are suspects, whichever router
sent them. A suspect that completes is cleared. One that is in flight at a second crash
is refused by every router while in quarantine, whichever caller sends it.

So are the shared parts of the prompts that the instance had just begun: requests that
never come twice may share one that crashes each instance. A part is cleared by any
complete answer on it. Of the parts that were there at too many crashes, the one with
the fewest requests is refused: the first part of most prompts is at every crash too.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import field
from typing import Final

from .data_class import dataclass
from .message import SuspectPart

CRASH_LIMIT: Final = 2
"""Crashes after which a request is refused."""

DEFAULT_QUARANTINE_S: Final = 3600.0
"""Default time for which a quarantined request is refused. It is then a suspect again,
and one more crash puts it back in quarantine."""

SUSPECT_TTL_S: Final = 3600.0
"""Time without a further crash after which a suspect need not run isolated. Its crashes
still count towards ``CRASH_LIMIT``."""

PART_CRASH_LIMIT: Final = 4
"""Crashes, without a complete answer between, after which a part is refused. A part
that many requests share can be in flight at two or three unrelated ones."""

PART_SETTLE_S: Final = 0.25
"""Time after a crash in which the reports of all routers arrive."""

RECENTLY_BEGUN_S: Final = 1.0
"""Time since its first event for which a request counts as just begun."""

MAX_HOLD_S: Final = 3600.0
"""Longest quarantine of a part; it doubles with each probe that crashes."""

PROBE_S: Final = 15.0
"""Time that a probe of a part takes at most."""

PROBE_RETRY_S: Final = 5.0
"""Retry-after time of requests with a part that is being probed."""

PROVEN_S: Final = 60.0
"""Time after a complete answer in which other requests with the same digest are no
suspects: the digest does not cover all of a request."""

RESTORED: Final = "restored"
"""Stands for the instances of crashes before a restart."""

MAX_SUSPECTS: Final = 10_000
"""Maximum number of suspects, and of reports kept to recognize duplicates; the oldest
are evicted first."""


@dataclass(frozen=True)
class QuarantineEntry:
    """One suspect as shown to operators."""

    body_digest: str
    """Digest of the request or of the prompt part, in hexadecimal."""
    crashes: tuple[str, ...]
    """Crashes during which it was in flight, as ``instance@epoch``."""
    refused_for_s: float
    """Seconds left in quarantine; 0 if not in quarantine."""


@dataclass(frozen=True)
class Conviction:
    """A request or prompt part in quarantine, as a restarted fleet has to know it."""

    digest: bytes
    refused_for_s: float
    n_holds: int = 0
    """Quarantines of a part so far; 0 for a request."""


@dataclass
class _Suspect:
    crashes: list[str] = field(default_factory=list)
    last_at: float = -math.inf
    refused_until: float = 0.0


@dataclass
class _SuspectPart(_Suspect):
    digest: bytes = b""
    n_requests: dict[str, int] = field(default_factory=dict)
    """By crash: requests with the part that had just begun."""
    depth: int = 0
    n_holds: int = 0
    """Quarantines so far."""
    probe_until: float = -math.inf
    """Until when a probe of this router may be under way."""

    @property
    def rank(self) -> tuple[float, int, bytes]:
        """Sort key: the part with the fewest requests a crash is first."""
        n_requests = sum(self.n_requests[crash] for crash in self.crashes)
        return (n_requests / max(1, len(self.crashes)), -self.depth, self.digest)

    def keep_below_limit(self) -> None:
        """Forget the oldest crashes, so that the next one reaches the limit."""
        for crash in self.crashes[: 1 - PART_CRASH_LIMIT]:
            del self.n_requests[crash]
        del self.crashes[: 1 - PART_CRASH_LIMIT]


@dataclass(frozen=True)
class PartRequest:
    """A request in flight, for the parts of its prompt."""

    parts: tuple[bytes, ...]
    """Digests of its shared parts, in order."""
    sent_at: float
    begun_at: float | None = None
    """When its first event arrived."""


def part_digest(model: str, part_id: str) -> bytes:
    """Return the digest by which all routers identify a prompt part."""
    data = f"{len(model)}:{model}{part_id}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=16).digest()


def suspect_parts(
    requests: Iterable[PartRequest], now: float
) -> tuple[SuspectPart, ...]:
    """Return the parts of requests that had just begun on an instance that crashed."""
    found: dict[bytes, SuspectPart] = {}
    for req in requests:
        if req.begun_at is not None and now - req.begun_at > RECENTLY_BEGUN_S:
            continue
        sent_ms = round((now - req.sent_at) * 1000)
        for depth, digest in enumerate(req.parts):
            known = found.get(digest)
            n_before, least_ms = (
                (known.n_requests, known.sent_ms) if known else (0, sent_ms)
            )
            found[digest] = SuspectPart(
                digest, n_before + 1, min(least_ms, sent_ms), depth
            )
    return tuple(found.values())


class SuspectTable:
    """Crash counts by digest of a request or of a prompt part; does no I/O."""

    def __init__(self, hold_s: float = DEFAULT_QUARANTINE_S) -> None:
        self._hold_s = hold_s
        self._suspects: dict[bytes, _Suspect] = {}
        self._proven: OrderedDict[bytes, float] = OrderedDict()
        """When requests with a digest last completed."""
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
            if not self.is_proven(digest, at) and self._count(crash_id, digest, at)
        )

    def is_proven(self, digest: bytes, now: float) -> bool:
        """Return whether a request with this digest has completed lately."""
        return now - self._proven.get(digest, -math.inf) < PROVEN_S

    def record_part_crash(
        self, crash_id: str, reporter: str, parts: Sequence[SuspectPart], at: float
    ) -> tuple[bytes, ...]:
        """Count a crash at time ``at`` for parts; return those for which it is new.

        A crash counts only if a request with the part was sent after the crash that was
        counted before: several instances that end at once are one event.
        """
        return tuple(
            part.digest
            for part in parts
            if self._count_part(crash_id, reporter, part, at)
        )

    def _count_part(
        self, crash_id: str, reporter: str, part: SuspectPart, at: float
    ) -> bool:
        if not self._is_new_report(f"{crash_id} {reporter}", part.digest):
            return False
        suspect = self._suspects.get(part.digest)
        if suspect is None:
            self._evict_oldest()
            suspect = _SuspectPart(digest=part.digest)
            self._suspects[part.digest] = suspect
        if not isinstance(suspect, _SuspectPart):
            return False
        known = next((c for c in suspect.crashes if _is_same_crash(crash_id, c)), "")
        if not known:
            if at - part.sent_ms / 1000 < suspect.last_at:
                return True
            known = crash_id
            suspect.crashes.append(crash_id)
            suspect.last_at = max(suspect.last_at, at)
        n_before = suspect.n_requests.get(known, 0)
        suspect.n_requests[known] = n_before + part.n_requests
        suspect.depth = part.depth
        if suspect.refused_until > at:
            suspect.keep_below_limit()
        return True

    def parts_refused_for(self, digests: Sequence[bytes], now: float) -> float:
        """Return how many more seconds a request with these parts is refused, or 0."""
        if not self._suspects:
            return 0.0
        return max((self._part_refused_for(d, now) for d in digests), default=0.0)

    def _part_refused_for(self, digest: bytes, now: float) -> float:
        suspect = self._suspects.get(digest)
        if not isinstance(suspect, _SuspectPart):
            return 0.0
        if suspect.refused_until <= now and self._is_due(suspect, now):
            if self._is_cause(suspect):
                hold_s = min(self._hold_s * 2**suspect.n_holds, MAX_HOLD_S)
                suspect.refused_until = suspect.last_at + hold_s
                suspect.n_holds += 1
                suspect.probe_until = -math.inf
                suspect.keep_below_limit()
        return max(0.0, suspect.refused_until - now)

    def to_probe(self, digests: Sequence[bytes]) -> tuple[bytes, ...]:
        """Return the parts that were in quarantine and had no complete answer since."""
        return tuple(digest for digest in digests if self._held_parts([digest]))

    def begin_probe(self, digests: Sequence[bytes], now: float) -> bool:
        """Return whether a request may probe the parts whose quarantine is over."""
        held = self._held_parts(digests)
        if any(max(part.refused_until, part.probe_until) > now for part in held):
            return False
        for part in held:
            part.probe_until = now + PROBE_S
        return True

    def _held_parts(self, digests: Sequence[bytes]) -> list[_SuspectPart]:
        found = map(self._suspects.get, digests)
        return [
            part for part in found if isinstance(part, _SuspectPart) and part.n_holds
        ]

    @staticmethod
    def _is_due(suspect: _SuspectPart, now: float) -> bool:
        has_settled = now >= suspect.last_at + PART_SETTLE_S
        return len(suspect.crashes) >= PART_CRASH_LIMIT and has_settled

    def _is_cause(self, suspect: _SuspectPart) -> bool:
        """Return whether a part explains its last crash better than all others do."""
        last_crash = suspect.crashes[-1]
        others = (
            other
            for other in self._suspects.values()
            if isinstance(other, _SuspectPart)
            and other is not suspect
            and last_crash in other.crashes
            and (len(other.crashes) >= PART_CRASH_LIMIT or other.refused_until)
        )
        return all(suspect.rank < other.rank for other in others)

    def record_success(self, digest: bytes, now: float) -> bool:
        """Clear a suspect whose run completed; return whether it was a suspect."""
        self._proven[digest] = now
        self._proven.move_to_end(digest)
        if len(self._proven) > MAX_SUSPECTS:
            self._proven.popitem(last=False)
        return self._clear(digest, now)

    def clear(self, digest: bytes, now: float) -> bool:
        """Clear a suspect that another router has cleared, or a part.

        Return whether others should know. A part at a single crash is no cause to tell
        them: they clear it by answers of their own.
        """
        suspect = self._suspects.get(digest)
        if not isinstance(suspect, _SuspectPart):
            return self._clear(digest, now)
        del self._suspects[digest]
        return len(suspect.crashes) > 1

    def _clear(self, digest: bytes, now: float) -> bool:
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

    def convictions(self, now: float) -> tuple[Conviction, ...]:
        """Return what is in quarantine."""
        found = []
        for digest, suspect in self._suspects.items():
            if isinstance(suspect, _SuspectPart):
                left_s = self._part_refused_for(digest, now)
                found.append(Conviction(digest, left_s, suspect.n_holds))
            else:
                found.append(Conviction(digest, suspect.refused_until - now))
        return tuple(item for item in found if item.refused_for_s > 0)

    def restore(self, conviction: Conviction, now: float) -> None:
        """Quarantine again what was in quarantine before a restart.

        One more crash after its end puts it back, as if its crashes were known.
        """
        digest, refused_until = conviction.digest, now + conviction.refused_for_s
        known = self._suspects.get(digest)
        if known is not None and known.refused_until >= refused_until:
            return
        self._evict_oldest()
        n_crashes = PART_CRASH_LIMIT - 1 if conviction.n_holds else CRASH_LIMIT
        crashes = [f"{RESTORED}@{number}" for number in range(1, n_crashes + 1)]
        if not conviction.n_holds:
            self._suspects[digest] = _Suspect(crashes, now, refused_until)
            return
        self._suspects[digest] = _SuspectPart(
            crashes,
            now,
            refused_until,
            digest,
            n_requests=dict.fromkeys(crashes, 1),
            n_holds=conviction.n_holds,
        )

    def _is_new_report(self, crash_id: str, digest: bytes) -> bool:
        if (crash_id, digest) in self._counted_reports:
            return False
        self._counted_reports[crash_id, digest] = None
        if len(self._counted_reports) > MAX_SUSPECTS:
            self._counted_reports.popitem(last=False)
        return True

    def _count(self, crash_id: str, digest: bytes, at: float) -> bool:
        if not self._is_new_report(crash_id, digest):
            return False
        suspect = self._suspects.get(digest)
        if suspect is None:
            self._evict_oldest()
            suspect = self._suspects.setdefault(digest, _Suspect())
        if any(_is_same_crash(crash_id, known) for known in suspect.crashes):
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


def _is_same_crash(crash_id: str, other: str) -> bool:
    """Return whether two crash ids can refer to the same crash.

    A router without a report from an instance announces its crash with epoch 0, while
    others know the epoch. Counted twice, one crash would quarantine harmless requests.
    """
    instance, _, epoch = crash_id.rpartition("@")
    other_instance, _, other_epoch = other.rpartition("@")
    return instance == other_instance and (
        epoch == other_epoch or "0" in (epoch, other_epoch)
    )
