"""Decide what the journal of non-repeatable calls allows; the router does the writing.

A shard of the journal is a head object, which changes, and sealed segments, which do
not. The head's conditional update is the fence: of two routers that begin the same
call, one update takes effect, and the other is applied again to what the first wrote.
All operations may be applied twice: each looks for its own attempt id first. So an
update whose answer was lost is settled by reading the head back and applying again.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, TypeAlias

from .chart import transitions
from .identity import AccountId, AttemptId, InstanceId

KEY_BYTES: Final = 16
"""Length of the digests in a record; 128 bits do not collide by accident."""

CHART: Final = "call"
"""The chart of a record's life."""


class CallState(Enum):
    """Name the states of a record, as the chart ``call`` does."""

    ABSENT = "absent"
    BEGUN = "begun"
    """A router may be sending it now."""
    FINISHED = "finished"
    UNKNOWN = "unknown"
    """It was sent and no answer came."""
    NOT_RUN = "not_run"
    """It was never sent; the key may begin again."""


class Verdict(Enum):
    """Say what a journal decides about beginning a call."""

    RUN = "run"
    """This attempt alone may run it."""
    EARLIER = "earlier"
    """It ran; the record holds the answer."""
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    """The key belongs to another request."""
    FULL = "full"
    """The shard has no room; nothing was recorded."""


@dataclass(frozen=True)
class StoredAnswer:
    """Hold an answer as the journal keeps it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    n_chunks: int = 0
    """Objects that hold the body in place of ``body``."""


@dataclass(frozen=True)
class CallRecord:
    """Hold what the journal knows about one call."""

    key: bytes
    digest: bytes
    """Digest of target and request, to tell a repeat from a reused key."""
    attempt_id: AttemptId
    router: InstanceId
    epoch: int
    """Of the router's life that runs it."""
    begun_at: float
    """Unix time, for retention alone: routers' clocks differ a little."""
    state: CallState = CallState.BEGUN
    answer: StoredAnswer | None = None


@dataclass(frozen=True)
class SegmentRef:
    """Point to a sealed segment."""

    name: str
    newest_at: float
    """Unix time of its newest record."""


@dataclass(frozen=True)
class ShardHead:
    """Hold the part of a shard that changes, as it is stored."""

    records: tuple[CallRecord, ...] = ()
    sealed: tuple[SegmentRef, ...] = ()
    """Oldest first."""


@dataclass(frozen=True)
class Segment:
    """Hold settled records, as they are stored; never changed."""

    records: tuple[CallRecord, ...] = ()


@dataclass(frozen=True)
class Begin:
    """Ask to run a call; the record is in state ``BEGUN``."""

    record: CallRecord

    @property
    def attempt_id(self) -> AttemptId:
        """The attempt that asks."""
        return self.record.attempt_id


@dataclass(frozen=True)
class Finish:
    """Put down the answer of a call."""

    key: bytes
    attempt_id: AttemptId
    answer: StoredAnswer


@dataclass(frozen=True)
class Abandon:
    """Put down that no answer came, and whether the call may have run."""

    key: bytes
    attempt_id: AttemptId
    ran: bool


Operation: TypeAlias = Begin | Finish | Abandon


def call_key(account: AccountId, idempotency_key: str) -> bytes:
    """Return the journal's key of a call; accounts cannot meet each other's keys."""
    return _digest(account.encode(), idempotency_key.encode())


def request_digest(target: str, body_digest: bytes) -> bytes:
    """Return what a repeat has to have in common with the first request."""
    return _digest(target.encode(), body_digest)


def shard_of(key: bytes, n_shards: int) -> int:
    """Return the shard that a call's record lives in."""
    return int.from_bytes(key[:4], "big") % n_shards


@dataclass
class ShardState:
    """Fold operations over one shard's records.

    ``records`` come from the head and go before ``settled`` from sealed segments, so
    that a late answer in the head overrides a sealed record without one.
    """

    records: dict[bytes, CallRecord] = field(default_factory=dict)
    settled: Mapping[bytes, CallRecord] = field(default_factory=dict)
    full: bool = False
    """True while no new call may begin."""

    def find(self, key: bytes) -> CallRecord | None:
        """Return the record of a call, or None."""
        return self.records.get(key) or self.settled.get(key)

    def apply(self, operation: Operation) -> Verdict | None:
        """Apply one operation; return the verdict on a ``Begin``, else None."""
        if isinstance(operation, Begin):
            return self._begin(operation.record)
        if isinstance(operation, Finish):
            self._move(operation, "finish", operation.answer)
            return None
        self._move(operation, "lose" if operation.ran else "abandon", None)
        return None

    def _begin(self, record: CallRecord) -> Verdict:
        held = self.find(record.key)
        if held is not None and held.attempt_id == record.attempt_id:
            return Verdict.RUN
        state = CallState.ABSENT if held is None else held.state
        if _next(state, "begin") is None:
            return _verdict_on(held, record)
        if self.full:
            return Verdict.FULL
        self.records[record.key] = record
        return Verdict.RUN

    def _move(
        self, operation: Finish | Abandon, event: str, answer: StoredAnswer | None
    ) -> None:
        held = self.find(operation.key)
        if held is None or held.attempt_id != operation.attempt_id:
            return
        state = _next(held.state, event)
        if state is not None:
            changed = dataclasses.replace(held, state=state, answer=answer)
            self.records[operation.key] = changed


def judge(held: CallRecord, digest: bytes) -> Verdict:
    """Return what a held record means for a request with that digest.

    It is asked before the store is, so only final states let the caller go on.
    """
    if held.state is CallState.NOT_RUN:
        return Verdict.RUN
    return _verdict_on(held, dataclasses.replace(held, digest=digest))


def in_doubt(
    record: CallRecord,
    epochs: Mapping[InstanceId, int],
    seen_for_s: float,
    owner_grace_s: float,
    in_doubt_s: float,
) -> bool:
    """Return whether nobody can be expected to finish a call that has begun.

    ``epochs`` has the live routers. A newer life of the record's router shows that the
    one that ran the call is gone. A router that is merely missing may be unknown to
    this one yet, so it gets ``owner_grace_s`` from the first sight of the record.
    """
    epoch = epochs.get(record.router)
    if epoch is not None and epoch > record.epoch:
        return True
    if epoch is None and seen_for_s >= owner_grace_s:
        return True
    return seen_for_s >= in_doubt_s


@dataclass(frozen=True)
class Sealing:
    """Hold how a head is split when it has grown too large."""

    settled: tuple[CallRecord, ...]
    kept: tuple[CallRecord, ...]


def split_for_seal(
    records: Iterable[CallRecord],
    older: Mapping[bytes, CallRecord],
    begun_before: float,
) -> Sealing:
    """Split a head's records into those to seal and those to keep.

    Records that are begun stay where their answer will be written. One begun before
    ``begun_before`` has lost its router long ago: it is sealed as unknown, or dead
    routers' records would fill the head for good. A record of a call that never ran
    is dropped, unless it hides an older one.
    """
    settled = []
    kept = []
    for record in records:
        if record.state is CallState.NOT_RUN and record.key not in older:
            continue
        if record.state is CallState.BEGUN and record.begun_at >= begun_before:
            kept.append(record)
        elif record.state is CallState.BEGUN:
            settled.append(dataclasses.replace(record, state=CallState.UNKNOWN))
        else:
            settled.append(record)
    return Sealing(tuple(settled), tuple(kept))


def expired(refs: Sequence[SegmentRef], before: float) -> tuple[SegmentRef, ...]:
    """Return the segments whose newest record is older than ``before``."""
    return tuple(ref for ref in refs if ref.newest_at < before)


def _verdict_on(held: CallRecord, asked: CallRecord) -> Verdict:
    if held.digest != asked.digest:
        return Verdict.KEY_REUSED
    if held.state is CallState.FINISHED:
        return Verdict.EARLIER
    if held.state is CallState.UNKNOWN:
        return Verdict.UNKNOWN
    return Verdict.IN_PROGRESS


def _next(state: CallState, event: str) -> CallState | None:
    target = transitions(CHART).get((state.value, event))
    return None if target is None else CallState(target)


def _digest(*parts: bytes) -> bytes:
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest()[:KEY_BYTES]
