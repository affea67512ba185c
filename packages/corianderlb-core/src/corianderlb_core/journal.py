"""State of the journal of non-repeatable calls; the router does the I/O.

A shard of the journal consists of a mutable head object and immutable sealed segments.
Conditional updates of the head serialize the routers: if two begin the same call, one
update succeeds and the other is applied again to the new head. Operations are
idempotent, as each checks for its own attempt id first. So after an update whose
response was lost, the router reads the head back and applies the operation again.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import field
from enum import Enum
from typing import Final, TypeAlias

from .chart import transitions
from .data_class import dataclass
from .identity import AccountId, AttemptId, InstanceId

KEY_BYTES: Final = 16
"""Length of the digests in a record; 128 bits do not collide by accident."""

CALL_CHART: Final = "call"
"""Name of the state chart of a record."""


class CallState(Enum):
    """State of a record in the state chart ``call``."""

    ABSENT = "absent"
    BEGUN = "begun"
    """A router may be sending the call."""
    FINISHED = "finished"
    UNKNOWN = "unknown"
    """The call was sent, but no answer was received."""
    NOT_RUN = "not_run"
    """The call was never sent; its key may begin again."""


class Verdict(Enum):
    """Result of beginning a call."""

    RUN = "run"
    """Only this attempt may run the call."""
    ALREADY_FINISHED = "earlier"
    """The call has run; the record holds its answer."""
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    """The idempotency key was used for a different request."""
    FULL = "full"
    """The shard is at capacity; nothing was recorded."""


@dataclass(frozen=True)
class StoredAnswer:
    """An answer as stored in the journal."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    n_chunks: int = 0
    """Number of separate objects that hold the body in place of ``body``."""


@dataclass(frozen=True)
class CallRecord:
    """The journal's record of one call."""

    key: bytes
    digest: bytes
    """Digest of target and body, to tell a repeat from a reused key."""
    attempt_id: AttemptId
    router: InstanceId
    epoch: int
    """Epoch of the router incarnation that runs the call."""
    begun_at: float
    """Unix time; used only for retention, as routers' clocks differ."""
    state: CallState = CallState.BEGUN
    answer: StoredAnswer | None = None


@dataclass(frozen=True)
class SegmentRef:
    """Reference to a sealed segment."""

    name: str
    newest_at: float
    """Unix time of its newest record."""


@dataclass(frozen=True)
class ShardHead:
    """The mutable part of a shard, as stored."""

    records: tuple[CallRecord, ...] = ()
    sealed: tuple[SegmentRef, ...] = ()
    """Oldest first."""


@dataclass(frozen=True)
class Segment:
    """Sealed records, as stored; immutable."""

    records: tuple[CallRecord, ...] = ()


@dataclass(frozen=True)
class Begin:
    """Request to run a call; the record is in state ``BEGUN``."""

    record: CallRecord

    @property
    def attempt_id(self) -> AttemptId:
        """The attempt that wants to run the call."""
        return self.record.attempt_id


@dataclass(frozen=True)
class Finish:
    """Record the answer of a call."""

    key: bytes
    attempt_id: AttemptId
    answer: StoredAnswer


@dataclass(frozen=True)
class Abandon:
    """Record that a call got no answer, and whether it may have run."""

    key: bytes
    attempt_id: AttemptId
    ran: bool


Operation: TypeAlias = Begin | Finish | Abandon


def call_key(account: AccountId, idempotency_key: str) -> bytes:
    """Return the journal key of a call; keys of different accounts do not collide."""
    return _digest(account.encode(), idempotency_key.encode())


def request_digest(target: str, body_digest: bytes) -> bytes:
    """Return the digest that a repeat must share with the first request."""
    return _digest(target.encode(), body_digest)


def shard_of(key: bytes, n_shards: int) -> int:
    """Return the index of the shard that stores a call's record."""
    return int.from_bytes(key[:4], "big") % n_shards


@dataclass
class ShardState:
    """Records of one shard, to which operations are applied.

    ``records`` of the head take precedence over ``settled`` ones of sealed segments, so
    that a late answer in the head overrides a sealed record without one.
    """

    records: dict[bytes, CallRecord] = field(default_factory=dict)
    settled: Mapping[bytes, CallRecord] = field(default_factory=dict)
    full: bool = False
    """True if no new call may begin."""

    def find(self, key: bytes) -> CallRecord | None:
        """Return the record of a call, or None."""
        return self.records.get(key) or self.settled.get(key)

    def apply(self, operation: Operation) -> Verdict | None:
        """Apply one operation; return the verdict on a ``Begin``, else None."""
        if isinstance(operation, Begin):
            return self._begin(operation.record)
        if isinstance(operation, Finish):
            self._apply_event(operation, "finish", operation.answer)
            return None
        self._apply_event(operation, "lose" if operation.ran else "abandon", None)
        return None

    def _begin(self, record: CallRecord) -> Verdict:
        existing = self.find(record.key)
        if existing is not None and existing.attempt_id == record.attempt_id:
            return Verdict.RUN
        state = CallState.ABSENT if existing is None else existing.state
        if _next_state(state, "begin") is None:
            return _verdict_for(existing, record)
        if self.full:
            return Verdict.FULL
        self.records[record.key] = record
        return Verdict.RUN

    def _apply_event(
        self, operation: Finish | Abandon, event: str, answer: StoredAnswer | None
    ) -> None:
        existing = self.find(operation.key)
        if existing is None or existing.attempt_id != operation.attempt_id:
            return
        state = _next_state(existing.state, event)
        if state is not None:
            changed = dataclasses.replace(existing, state=state, answer=answer)
            self.records[operation.key] = changed


def verdict_on_repeat(existing: CallRecord, digest: bytes) -> Verdict:
    """Return the verdict of an existing record on a request with that digest.

    The record may be stale, so the caller relies on the verdict only for a finished
    call or when the store cannot be reached.
    """
    if existing.state is CallState.NOT_RUN:
        return Verdict.RUN
    return _verdict_for(existing, dataclasses.replace(existing, digest=digest))


def in_doubt(
    record: CallRecord,
    epochs: Mapping[InstanceId, int],
    observed_for_s: float,
    owner_grace_s: float,
    in_doubt_s: float,
) -> bool:
    """Return whether no router can be expected to finish a call that has begun.

    ``epochs`` has the live routers. A newer epoch of the record's router shows that the
    incarnation that ran the call has ended. A missing router may not be known to this
    one yet, so it gets ``owner_grace_s`` from when the record was first seen.
    """
    epoch = epochs.get(record.router)
    if epoch is not None and epoch > record.epoch:
        return True
    if epoch is None and observed_for_s >= owner_grace_s:
        return True
    return observed_for_s >= in_doubt_s


@dataclass(frozen=True)
class SealSplit:
    """Split of a head that has grown too large."""

    settled: tuple[CallRecord, ...]
    kept: tuple[CallRecord, ...]


def split_for_seal(
    records: Iterable[CallRecord],
    older: Mapping[bytes, CallRecord],
    begun_before: float,
) -> SealSplit:
    """Split a head's records into those to seal and those to keep.

    Records in state ``BEGUN`` stay in the head, where their answer will be written. One
    begun before ``begun_before`` is sealed as unknown, as records of crashed routers
    would otherwise fill the head. A record of a call that never ran is dropped unless
    it overrides an older one.
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
    return SealSplit(tuple(settled), tuple(kept))


def expired(refs: Sequence[SegmentRef], before: float) -> tuple[SegmentRef, ...]:
    """Return the segments whose newest record is older than ``before``."""
    return tuple(ref for ref in refs if ref.newest_at < before)


def _verdict_for(existing: CallRecord, requested: CallRecord) -> Verdict:
    if existing.digest != requested.digest:
        return Verdict.KEY_REUSED
    if existing.state is CallState.FINISHED:
        return Verdict.ALREADY_FINISHED
    if existing.state is CallState.UNKNOWN:
        return Verdict.UNKNOWN
    return Verdict.IN_PROGRESS


def _next_state(state: CallState, event: str) -> CallState | None:
    target = transitions(CALL_CHART).get((state.value, event))
    return None if target is None else CallState(target)


def _digest(*parts: bytes) -> bytes:
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest()[:KEY_BYTES]
