"""Software versions that began streams, and those that upstreams have had lately.

A stream may only go on at an instance of the software version that began it. A router
that is asked for the rest of a stream may not have begun it; these tables tell what it
knows of the stream, and which versions can have begun one that it does not know.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import replace
from typing import Final

from .codec import BoundedInteger
from .data_class import dataclass
from .message import StreamOrigin
from .part_index import IncarnationKey

KEY_BYTES: Final = 12
"""Bytes of a stream's key; 96 bits make collisions negligible."""

MAX_STREAMS: Final = 20_000
"""Maximum number of streams to remember; the oldest are dropped first."""

MAX_ADVANCE_MS: Final = 500
"""Largest difference between the clocks of two machines. An instance takes longer to
restart."""

MAX_ENTRY_MS: Final = 2000
"""Time after its start by which an instance's entry is known, if its clock is wrong."""

RECORD_SLACK_MS: Final = 60_000
"""Time for which a record counts longer than its streams, so that it has not expired to
a router whose clock is ahead. It does no harm meanwhile: no stream takes its keys."""

UNKNOWN_VERSION: Final = "?"
"""Software version of a stream of which nothing tells which incarnation began it."""


def stream_key(account: str, request_id: str) -> bytes:
    """Return the key of a stream, which only its own account can name.

    For example ``stream_key("acme", "q1") != stream_key("other", "q1")``.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for text in (account, request_id):
        data = text.encode("utf-8", "surrogatepass")
        digest.update(b"%d:" % len(data) + data)
    return digest.digest()


def may_have_begun_since(started_ms: int, now_ms: int) -> int:
    """Return the earliest time at which a process may have been sent a stream.

    ``started_ms`` is its start by its own clock, learnt at ``now_ms`` by this router's.
    """
    if started_ms > now_ms + MAX_ADVANCE_MS:
        return now_ms - MAX_ENTRY_MS
    return min(now_ms, started_ms) - MAX_ADVANCE_MS


@dataclass(frozen=True)
class KnownOrigin:
    """Origin of a stream as known to one router."""

    key: bytes
    upstream: str
    version: str
    expires_at: float
    """When no caller can resume it any more, on the router's clock."""
    incarnation: IncarnationKey | None = None
    """The incarnation that began it; None if another router began it."""
    began_ms: int = 0
    """Unix milliseconds at which this router sent the request."""
    first_event_at: float = math.inf
    """When its first event went to the caller, on the router's clock."""

    def announcement(self, now: float) -> StreamOrigin:
        """Return the announcement for other routers."""
        left_ms = round((self.expires_at - now) * 1000)
        return StreamOrigin(self.key, self.upstream, self.version, left_ms)


@dataclass(frozen=True)
class StoredStreams:
    """Streams of one upstream and software version in a router's record."""

    upstream: str
    version: str
    keys: bytes
    """Their keys, one after the other."""

    def each_key(self) -> Iterator[bytes]:
        """Return each key."""
        return _each_key(self.keys)

    def without(self, keys: Collection[bytes]) -> StoredStreams:
        """Return the streams that are not among some keys."""
        kept = b"".join(key for key in self.each_key() if key not in keys)
        return replace(self, keys=kept)


@dataclass(frozen=True)
class UnsettledStreams:
    """Streams of one instance that were recorded right after their first events.

    The instance may have restarted with another software version just before. They are
    those of the version only if the instance still has this start in an entry that is
    read later.
    """

    upstream: str
    version: str
    instance: str
    born_ms: BoundedInteger
    keys: bytes
    """Their keys, one after the other."""

    @property
    def incarnation(self) -> IncarnationKey:
        """The incarnation whose entry the router knew."""
        return self.instance, self.born_ms

    def each_key(self) -> Iterator[bytes]:
        """Return each key."""
        return _each_key(self.keys)

    def without(self, keys: Collection[bytes]) -> UnsettledStreams:
        """Return the streams that are not among some keys."""
        kept = b"".join(key for key in self.each_key() if key not in keys)
        return replace(self, keys=kept)


@dataclass(frozen=True)
class StreamRecord:
    """What one router stores of the streams that it has begun."""

    written_ms: BoundedInteger
    """Unix milliseconds at which it was written."""
    keep_ms: BoundedInteger
    """Time for which its streams can be resumed after that."""
    streams: tuple[StoredStreams, ...]
    unsettled: tuple[UnsettledStreams, ...] = ()

    @property
    def until_ms(self) -> int:
        """Unix milliseconds until which it counts."""
        return self.written_ms + self.keep_ms + RECORD_SLACK_MS


def _each_key(keys: bytes) -> Iterator[bytes]:
    for start in range(0, len(keys), KEY_BYTES):
        yield keys[start : start + KEY_BYTES]


def group_unsettled(origins: Iterable[KnownOrigin]) -> tuple[UnsettledStreams, ...]:
    """Return streams by incarnation, as they are stored right after they began.

    Those of an instance that doesn't tell when it started are left out.
    """
    keys: dict[tuple[str, str, IncarnationKey], list[bytes]] = {}
    for origin in origins:
        if origin.incarnation is not None and origin.incarnation[1]:
            group = origin.upstream, origin.version, origin.incarnation
            keys.setdefault(group, []).append(origin.key)
    return tuple(
        UnsettledStreams(upstream, version, *incarnation, b"".join(found))
        for (upstream, version, incarnation), found in keys.items()
    )


def group_streams(origins: Iterable[KnownOrigin]) -> tuple[StoredStreams, ...]:
    """Return streams by upstream and software version, as they are stored."""
    keys: dict[tuple[str, str], list[bytes]] = {}
    for origin in origins:
        keys.setdefault((origin.upstream, origin.version), []).append(origin.key)
    return tuple(
        StoredStreams(upstream, version, b"".join(found))
        for (upstream, version), found in keys.items()
    )


class OriginTable:
    """Origins of streams by key, bounded in number and time."""

    def __init__(self) -> None:
        self._origins: OrderedDict[bytes, KnownOrigin] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, origin: KnownOrigin, now: float) -> None:
        """Record an origin; it replaces what was known of its stream."""
        self._origins[origin.key] = origin
        self._origins.move_to_end(origin.key)
        while len(self._origins) > MAX_STREAMS or self._is_oldest_expired(now):
            self._origins.popitem(last=False)

    def find(self, key: bytes, now: float) -> KnownOrigin | None:
        """Return the origin of a stream, or None if it is unknown or expired."""
        origin = self._origins.get(key)
        return origin if origin is not None and origin.expires_at > now else None

    def record_first_event(self, key: bytes, now: float) -> None:
        """Record that the first event of a stream goes to its caller."""
        origin = self._origins.get(key)
        if origin is not None:
            self._origins[key] = replace(origin, first_event_at=now)

    def own(self, upstream: str, now: float) -> tuple[KnownOrigin, ...]:
        """Return the streams of an upstream that this router has begun."""
        return tuple(
            origin
            for origin in self._origins.values()
            if origin.upstream == upstream
            and origin.incarnation is not None
            and origin.expires_at > now
        )

    def correct(
        self,
        old: IncarnationKey,
        new: IncarnationKey,
        version: str,
        now: float,
        now_ms: int,
    ) -> tuple[KnownOrigin, ...]:
        """Correct the streams begun before the newest entry of an instance was known.

        An instance can restart with another software version before its new entry
        arrives, at ``now_ms`` by this router's clock. The start in the entry is by the
        instance's clock. If it lies further off than a start that is known at once, the
        clocks may differ: streams that either incarnation may have begun then have an
        unknown version. Returns the corrected origins.
        """
        late_ms = now_ms - new[1]
        since_ms = may_have_begun_since(new[1], now_ms)
        if old != new and abs(late_ms) > MAX_ADVANCE_MS:
            version = UNKNOWN_VERSION
        corrected = tuple(
            # Nothing later tells which incarnation began a stream of unknown version.
            replace(origin, incarnation=new)
            if origin.version == UNKNOWN_VERSION
            else replace(origin, incarnation=new, version=version)
            for origin in self._streams_of(old)
            if old == new or origin.began_ms >= since_ms
        )
        for origin in corrected:
            self.record(origin, now)
        return corrected

    def _streams_of(self, incarnation: IncarnationKey) -> Iterator[KnownOrigin]:
        return (o for o in self._origins.values() if o.incarnation == incarnation)

    def _is_oldest_expired(self, now: float) -> bool:
        oldest = next(iter(self._origins.values()), None)
        return oldest is not None and oldest.expires_at <= now


class VersionHistory:
    """Software versions of one upstream's instances, as one router has seen them."""

    def __init__(self, now: float) -> None:
        self.since = now
        """From when on the versions are known."""
        self._seen_at: dict[str, float] = {}
        """Time at which each version was last seen; infinite while it is present."""
        self._sole = ""
        self.mixed_since: float = -math.inf
        """When another version last joined."""

    def observe(self, versions: Collection[str], now: float, keep_s: float) -> bool:
        """Record the present versions; return whether one has joined others.

        Versions that were last seen more than ``keep_s`` ago are forgotten.
        """
        for version in [v for v, at in self._seen_at.items() if at < now - keep_s]:
            del self._seen_at[version]
        for version, seen_at in self._seen_at.items():
            if seen_at == math.inf and version not in versions:
                self._seen_at[version] = now
        before = set(self._seen_at)
        self._seen_at.update(dict.fromkeys(versions, math.inf))
        has_joined = bool(before) and not before.issuperset(versions)
        if has_joined:
            self.mixed_since = now
            self._sole = before.pop() if len(before) == 1 else ""
        return has_joined

    def recent(self, now: float, within_s: float) -> frozenset[str]:
        """Return the versions that were present within the last ``within_s``."""
        return frozenset(
            version for version, at in self._seen_at.items() if at >= now - within_s
        )

    def sole_before_mix(self, now: float, within_s: float) -> str:
        """Return the version that was alone until ``within_s`` ago; empty if none."""
        return self._sole if now - self.mixed_since < within_s else ""
