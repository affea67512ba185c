"""One shard of the journal: an actor that writes operations to the head in batches.

Operations that arrive during a write go into the next one, so the rate of writes
depends on the latency of the store and not on the number of calls.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from dataclasses import field
from typing import Final

import eliot
import trio

from corianderlb_core.codec import to_cbor
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import AttemptId, InstanceId
from corianderlb_core.journal import (
    Abandon,
    Begin,
    CallRecord,
    CallState,
    Operation,
    Segment,
    SegmentRef,
    ShardHead,
    ShardState,
    Verdict,
    expired,
    split_for_seal,
)
from corianderlb_core.settings import JournalSettings

from ._future import Future
from ._journal_object import ShardObjects, decode_stored
from .actor import Actor
from .store import ObjectStore, StoreConflictError, StoreError

MAX_BATCH: Final = 128
"""Limit of operations in one write; keeps a head with inline answers below 1 MB."""

CONFLICT_PAUSE_S: Final = 0.01
"""Longest first delay in seconds after another router's update; doubles with each
conflict."""

MAX_HEAD_BYTES: Final = 512 * 1024
"""Size of a head above which no call begins. Calls in progress cannot be sealed, and
their answers must still fit into the 1 MB that the store accepts."""

MAX_CONFLICT_PAUSE_S: Final = 0.05
"""Longest delay in seconds after repeated conflicts."""

MAX_PAUSE_S: Final = 0.5
"""Longest delay in seconds before a failed call to the store is retried."""

LOST_CALL_S: Final = 3600.0
"""Age in seconds from which a begun call counts as lost when the head is sealed."""


@dataclass(eq=False)
class PendingOperation:
    """An operation queued at a shard."""

    operation: Operation
    reply: Future[Verdict] = field(default_factory=Future)
    body: bytes = b""
    """Body of an answer that is written to separate objects before ``Finish``."""
    may_be_written: bool = False
    """Whether a write that includes the operation may have taken effect."""
    is_head_read: bool = False
    """Whether the head was read after the operation was queued."""
    is_withdrawn: bool = False
    """Whether the caller no longer waits for the reply."""


@dataclass
class ShardCounts:
    """Operations and store calls of a shard since the start of the router."""

    n_writes: int = 0
    n_operations: int = 0
    n_conflicts: int = 0
    n_read_backs: int = 0
    """Reads that determine whether a write without a response took effect."""
    n_failures: int = 0


class JournalShard(Actor):
    """Caches one shard's records on this router and writes its operations."""

    def __init__(
        self,
        number: int,
        store: ObjectStore,
        cfg: JournalSettings,
        router: InstanceId,
        epoch: int,
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        super().__init__(queue_size=float("inf"))
        self.folder = f"journal/{number:03d}"
        self.counts = ShardCounts()
        self._objects = ShardObjects(store, self.folder)
        self._cfg = cfg
        self._router = router
        self._epoch = epoch
        self._wall_clock = wall_clock
        self._rng = rng
        self._pending: list[PendingOperation] = []
        self._state = ShardState()
        self._sealed: tuple[SegmentRef, ...] = ()
        self._segments: dict[str, Segment] = {}
        self._version: str | None = None
        self._is_current = False
        self._n_failed = 0
        self._head_bytes = 0
        self._active_attempts: set[AttemptId] = set()
        self._first_seen: dict[AttemptId, float] = {}

    @property
    def n_pending(self) -> int:
        """Number of operations that are queued or being written."""
        return len(self._pending) + self._receive.statistics().current_buffer_used

    def find(self, key: bytes) -> CallRecord | None:
        """Return the record as this router last read it; it may be outdated."""
        return self._state.find(key)

    def in_progress_for_s(self, attempt_id: AttemptId, now: float) -> float:
        """Return the seconds since this router first read the call as in progress."""
        return now - self._first_seen.get(attempt_id, now)

    def submit(self, pending: PendingOperation) -> PendingOperation:
        """Queue an operation."""
        if isinstance(pending.operation, Begin):
            self._active_attempts.add(pending.operation.attempt_id)
        self.post(pending)
        return pending

    def withdraw(self, pending: PendingOperation) -> None:
        """Abandon a ``Begin`` whose caller no longer waits; the call is not run."""
        pending.is_withdrawn = True
        if pending.reply.value is Verdict.RUN:
            self._abandon(pending)

    async def run(self) -> None:
        """Commit batches until the shard is closed and all operations are written."""
        async for pending in self._receive:
            self._pending.append(pending)
            while self._pending:
                self._take_queued()
                await self._step()

    async def _step(self) -> None:
        self._abandon_withdrawn()
        try:
            if not self._is_current:
                await self._load()
            await self._commit()
            self._n_failed = 0
        except StoreConflictError:
            self._is_current = False
            self.counts.n_conflicts += 1
            await self._pause(CONFLICT_PAUSE_S, MAX_CONFLICT_PAUSE_S)
        except StoreError:
            # The write may take effect now or later. Reading the head and applying the
            # operations again is safe, as each looks for its own attempt id first.
            self._is_current = False
            self.counts.n_failures += 1
            self._log_outage()
            await self._pause(CONFLICT_PAUSE_S * 4, MAX_PAUSE_S)

    async def _load(self) -> None:
        stored = await self._objects.head()
        version = None if stored is None else stored.version
        if any(pending.may_be_written for pending in self._pending):
            self.counts.n_read_backs += 1
        if stored is not None and version != self._version:
            head = decode_stored(ShardHead, stored.value)
            await self._load_segments(head.sealed)
            records = {record.key: record for record in head.records}
            self._state = ShardState(records, self._state.settled)
            self._head_bytes = len(stored.value)
        self._version = version
        self._is_current = True
        self._track_begun_calls()

    async def _load_segments(self, refs: tuple[SegmentRef, ...]) -> None:
        if refs == self._sealed:
            return
        segments = {}
        for ref in refs:
            current = self._segments.get(ref.name)
            segments[ref.name] = current or await self._objects.read_segment(ref)
        settled = {}
        for ref in refs:
            settled.update({r.key: r for r in segments[ref.name].records})
        self._segments = segments
        self._sealed = refs
        self._state = ShardState({}, settled)

    def _track_begun_calls(self) -> None:
        """Track calls in progress, and abandon records of calls that were refused.

        A write that timed out can still take effect after its call was refused as not
        run. Without this, its record would keep stating that the call may have run.
        """
        now = trio.current_time()
        first_seen = {}
        for record in self._state.records.values():
            if record.state is not CallState.BEGUN:
                continue
            first_seen[record.attempt_id] = self._first_seen.get(record.attempt_id, now)
            is_own = record.router == self._router and record.epoch == self._epoch
            if is_own and record.attempt_id not in self._active_attempts:
                stray = Abandon(record.key, record.attempt_id, ran=False)
                # At the front, so that a repeat in the same batch may run.
                self._pending.insert(0, PendingOperation(stray))
        self._first_seen = first_seen

    async def _commit(self) -> None:
        batch = self._pending[:MAX_BATCH]
        for pending in batch:
            await self._objects.write_answer(pending.operation.attempt_id, pending.body)
            pending.body = b""
        draft, verdicts = self._apply(batch)
        if any(map(_needs_read, batch, verdicts)):
            for pending in batch:
                pending.is_head_read = True
            await self._load()
            batch = self._pending[:MAX_BATCH]
            draft, verdicts = self._apply(batch)
        if draft.records != self._state.records:
            for pending in batch:
                pending.may_be_written = True
            await self._write_head(draft)
        self._state = ShardState(draft.records, self._state.settled)
        self._pending = self._pending[len(batch) :]
        self._track_new_calls(draft)
        for pending, verdict in zip(batch, verdicts, strict=True):
            self._complete(pending, verdict)

    def _apply(
        self, batch: list[PendingOperation]
    ) -> tuple[ShardState, list[Verdict | None]]:
        current = self._state
        draft = ShardState(dict(current.records), current.settled, self._is_full())
        return draft, [draft.apply(pending.operation) for pending in batch]

    async def _write_head(self, draft: ShardState) -> None:
        data = to_cbor(ShardHead(tuple(draft.records.values()), self._sealed))
        if len(data) > self._cfg.seal_bytes and self._may_seal():
            await self._seal(draft)
        else:
            await self._put_head(data)

    async def _put_head(self, data: bytes) -> None:
        self.counts.n_writes += 1
        self._version = await self._objects.write_head(data, self._version)
        self._head_bytes = len(data)

    async def _seal(self, draft: ShardState) -> None:
        """Move settled records into a new segment, and drop expired segments."""
        now = self._wall_clock()
        split = split_for_seal(draft.records.values(), draft.settled, now - LOST_CALL_S)
        # Avoids an empty segment at every write while no record is settled.
        if not split.settled:
            await self._put_head(to_cbor(ShardHead(split.kept, self._sealed)))
            return
        segment = Segment(split.settled)
        ref = SegmentRef(uuid.uuid4().hex, now)
        await self._objects.write_segment(ref, segment)
        expired_refs = expired(self._sealed, now - self._cfg.retention_s)
        refs = tuple(r for r in self._sealed if r not in expired_refs) + (ref,)
        await self._put_head(to_cbor(ShardHead(split.kept, refs)))
        draft.records = {record.key: record for record in split.kept}
        dropped = [self._segments.pop(old.name) for old in expired_refs]
        self._segments[ref.name] = segment
        self._sealed = refs
        self._state.settled = {
            r.key: r for old in refs for r in self._segments[old.name].records
        }
        eliot.log_message(message_type="journal:sealed", shard=self.folder)
        await self._objects.delete(expired_refs, dropped)

    def _track_new_calls(self, draft: ShardState) -> None:
        now = trio.current_time()
        for record in draft.records.values():
            if record.state is CallState.BEGUN:
                self._first_seen.setdefault(record.attempt_id, now)

    def _complete(self, pending: PendingOperation, verdict: Verdict | None) -> None:
        self.counts.n_operations += 1
        attempt_id = pending.operation.attempt_id
        if not isinstance(pending.operation, Begin) or verdict is not Verdict.RUN:
            self._active_attempts.discard(attempt_id)
        elif pending.is_withdrawn:
            self._abandon(pending)
        pending.reply.set(verdict or Verdict.RUN)

    def _abandon_withdrawn(self) -> None:
        for pending in [pending for pending in self._pending if pending.is_withdrawn]:
            self._pending.remove(pending)
            self._abandon(pending)

    def _abandon(self, pending: PendingOperation) -> None:
        """Undo a ``Begin``; needs a write only if it may be in the store."""
        operation = pending.operation
        assert isinstance(operation, Begin)
        self._active_attempts.discard(operation.attempt_id)
        if pending.may_be_written:
            undo = Abandon(operation.record.key, operation.attempt_id, ran=False)
            self.post(PendingOperation(undo))

    def _take_queued(self) -> None:
        try:
            while True:
                self._pending.append(self._receive.receive_nowait())
        except (trio.WouldBlock, trio.EndOfChannel):
            return

    def _may_seal(self) -> bool:
        before = self._wall_clock() - self._cfg.retention_s
        n_left = len(self._sealed) - len(expired(self._sealed, before))
        return n_left < self._cfg.max_segments

    def _is_full(self) -> bool:
        if self._head_bytes > MAX_HEAD_BYTES:
            return True
        return self._head_bytes > self._cfg.seal_bytes and not self._may_seal()

    async def _pause(self, first_s: float, max_s: float) -> None:
        self._n_failed += 1
        longest = min(max_s, first_s * 2 ** min(self._n_failed, 10))
        await trio.sleep(self._rng.uniform(0, longest))

    def _log_outage(self) -> None:
        if self._n_failed == 0:
            eliot.log_message(message_type="journal:store_failing", shard=self.folder)


def _needs_read(pending: PendingOperation, verdict: Verdict | None) -> bool:
    """Return whether a verdict depends on a cached head that may be outdated.

    A verdict to run is confirmed by the conditional update, and an answer never
    changes. The other verdicts cause no write that would detect an answer written by
    another router since.
    """
    return (
        verdict not in (None, Verdict.RUN, Verdict.ALREADY_FINISHED)
        and not pending.is_head_read
    )
