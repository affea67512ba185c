"""One shard of the journal: an actor that appends to the head in batches.

Whatever arrives while a write is under way goes into the next one, so that the writes
a second depend on the store's speed and not on the number of calls.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import eliot
import trio

from corianderlb_core.codec import to_cbor
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
"""Operations in one write; with inline answers this keeps a head far below 1 MB."""

CONFLICT_PAUSE_S: Final = 0.01
"""Longest first pause after another router's update; doubles with each conflict."""

MAX_HEAD_BYTES: Final = 512 * 1024
"""Size of a head from which no call begins: running calls cannot be sealed, and the
store takes a megabyte, of which the answers under way need a part."""

MAX_CONFLICT_PAUSE_S: Final = 0.05
"""Longest pause after conflicts; each of them means that another router went on."""

MAX_PAUSE_S: Final = 0.5
"""Longest pause before a store that fails is asked again."""

LOST_ROUTER_S: Final = 3600.0
"""Age from which a begun call's router counts as lost when the head is sealed."""


@dataclass(eq=False)
class Work:
    """Ask a shard for one operation."""

    operation: Operation
    reply: Future[Verdict] = field(default_factory=Future)
    body: bytes = b""
    """Body of an answer that goes into objects of its own, before ``Finish``."""
    tried: bool = False
    """Whether a write with the operation may have taken effect."""
    read: bool = False
    """Whether the head was read since the operation came."""
    withdrawn: bool = False
    """Whether the caller has given up waiting."""


@dataclass
class ShardCounts:
    """Count what a shard did since the router started."""

    n_writes: int = 0
    n_operations: int = 0
    n_conflicts: int = 0
    n_read_backs: int = 0
    """Reads that settled a write whose answer was lost."""
    n_failures: int = 0


class JournalShard(Actor):
    """Own what this router knows of one shard, and its writes."""

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
        self._pending: list[Work] = []
        self._state = ShardState()
        self._sealed: tuple[SegmentRef, ...] = ()
        self._segments: dict[str, Segment] = {}
        self._version: str | None = None
        self._fresh = False
        self._n_failed = 0
        self._head_bytes = 0
        self._live: set[AttemptId] = set()
        self._first_seen: dict[AttemptId, float] = {}

    @property
    def n_pending(self) -> int:
        """Operations that are not settled yet."""
        return len(self._pending) + self._receive.statistics().current_buffer_used

    def find(self, key: bytes) -> CallRecord | None:
        """Return the record as this router last saw it; it may be out of date."""
        return self._state.find(key)

    def seen_for(self, attempt_id: AttemptId, now: float) -> float:
        """Return for how many seconds this router has seen the call in progress."""
        return now - self._first_seen.get(attempt_id, now)

    def submit(self, work: Work) -> Work:
        """Queue an operation."""
        if isinstance(work.operation, Begin):
            self._live.add(work.operation.attempt_id)
        self.post(work)
        return work

    def withdraw(self, work: Work) -> None:
        """Take a ``Begin`` back that nobody waits for; it never counts as run."""
        work.withdrawn = True
        if work.reply.value is Verdict.RUN:
            self._abandon(work)

    async def run(self) -> None:
        """Commit batches until the shard is closed and all is written."""
        async for work in self._receive:
            self._pending.append(work)
            while self._pending:
                self._take_queued()
                await self._step()

    async def _step(self) -> None:
        self._drop_withdrawn()
        try:
            if not self._fresh:
                await self._load()
            await self._commit()
            self._n_failed = 0
        except StoreConflictError:
            self._fresh = False
            self.counts.n_conflicts += 1
            await self._pause(CONFLICT_PAUSE_S, MAX_CONFLICT_PAUSE_S)
        except StoreError:
            # The write may have taken effect, now or later. Reading the head again
            # and applying again settles it, since each operation looks for its own
            # attempt id first.
            self._fresh = False
            self.counts.n_failures += 1
            self._note_outage()
            await self._pause(CONFLICT_PAUSE_S * 4, MAX_PAUSE_S)

    async def _load(self) -> None:
        stored = await self._objects.head()
        version = None if stored is None else stored.version
        if any(work.tried for work in self._pending):
            self.counts.n_read_backs += 1
        if stored is not None and version != self._version:
            head = decode_stored(ShardHead, stored.value)
            await self._load_segments(head.sealed)
            records = {record.key: record for record in head.records}
            self._state = ShardState(records, self._state.settled)
            self._head_bytes = len(stored.value)
        self._version = version
        self._fresh = True
        self._look_at_begun()

    async def _load_segments(self, refs: tuple[SegmentRef, ...]) -> None:
        if refs == self._sealed:
            return
        segments = {}
        for ref in refs:
            held = self._segments.get(ref.name)
            segments[ref.name] = held or await self._objects.read_segment(ref)
        settled = {}
        for ref in refs:
            settled.update({r.key: r for r in segments[ref.name].records})
        self._segments = segments
        self._sealed = refs
        self._state = ShardState({}, settled)

    def _look_at_begun(self) -> None:
        """Note when each running call was first seen, and mend own stray records.

        A write that was given up on can still land later. Its call was refused as not
        run; without this, the record would say for good that it may have run.
        """
        now = trio.current_time()
        seen = {}
        for record in self._state.records.values():
            if record.state is not CallState.BEGUN:
                continue
            seen[record.attempt_id] = self._first_seen.get(record.attempt_id, now)
            mine = record.router == self._router and record.epoch == self._epoch
            if mine and record.attempt_id not in self._live:
                stray = Abandon(record.key, record.attempt_id, ran=False)
                # First in line, so that a repeat in the same batch may run.
                self._pending.insert(0, Work(stray))
        self._first_seen = seen

    async def _commit(self) -> None:
        batch = self._pending[:MAX_BATCH]
        for work in batch:
            await self._objects.write_answer(work.operation.attempt_id, work.body)
            work.body = b""
        draft, verdicts = self._apply(batch)
        if any(map(_needs_read, batch, verdicts)):
            for work in batch:
                work.read = True
            await self._load()
            batch = self._pending[:MAX_BATCH]
            draft, verdicts = self._apply(batch)
        if draft.records != self._state.records:
            for work in batch:
                work.tried = True
            await self._write_head(draft)
        self._state = ShardState(draft.records, self._state.settled)
        self._pending = self._pending[len(batch) :]
        self._look_at_new(draft)
        for work, verdict in zip(batch, verdicts, strict=True):
            self._settle(work, verdict)

    def _apply(self, batch: list[Work]) -> tuple[ShardState, list[Verdict | None]]:
        held = self._state
        draft = ShardState(dict(held.records), held.settled, self._is_full())
        return draft, [draft.apply(work.operation) for work in batch]

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
        split = split_for_seal(
            draft.records.values(), draft.settled, now - LOST_ROUTER_S
        )
        # With nothing settled an empty segment would be made at every write.
        if not split.settled:
            await self._put_head(to_cbor(ShardHead(split.kept, self._sealed)))
            return
        segment = Segment(split.settled)
        ref = SegmentRef(uuid.uuid4().hex, now)
        await self._objects.write_segment(ref, segment)
        gone = expired(self._sealed, now - self._cfg.retention_s)
        refs = tuple(r for r in self._sealed if r not in gone) + (ref,)
        await self._put_head(to_cbor(ShardHead(split.kept, refs)))
        draft.records = {record.key: record for record in split.kept}
        dropped = [self._segments.pop(old.name) for old in gone]
        self._segments[ref.name] = segment
        self._sealed = refs
        self._state.settled = {
            r.key: r for old in refs for r in self._segments[old.name].records
        }
        eliot.log_message(message_type="journal:sealed", shard=self.folder)
        await self._objects.delete(gone, dropped)

    def _look_at_new(self, draft: ShardState) -> None:
        now = trio.current_time()
        for record in draft.records.values():
            if record.state is CallState.BEGUN:
                self._first_seen.setdefault(record.attempt_id, now)

    def _settle(self, work: Work, verdict: Verdict | None) -> None:
        self.counts.n_operations += 1
        attempt_id = work.operation.attempt_id
        if not isinstance(work.operation, Begin) or verdict is not Verdict.RUN:
            self._live.discard(attempt_id)
        elif work.withdrawn:
            self._abandon(work)
        work.reply.set(verdict or Verdict.RUN)

    def _drop_withdrawn(self) -> None:
        for work in [work for work in self._pending if work.withdrawn]:
            self._pending.remove(work)
            self._abandon(work)

    def _abandon(self, work: Work) -> None:
        """Take back a ``Begin``; only one that may be in the store needs a write."""
        operation = work.operation
        assert isinstance(operation, Begin)
        self._live.discard(operation.attempt_id)
        if work.tried:
            undo = Abandon(operation.record.key, operation.attempt_id, ran=False)
            self.post(Work(undo))

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

    async def _pause(self, first_s: float, most_s: float) -> None:
        self._n_failed += 1
        longest = min(most_s, first_s * 2 ** min(self._n_failed, 10))
        await trio.sleep(self._rng.uniform(0, longest))

    def _note_outage(self) -> None:
        if self._n_failed == 0:
            eliot.log_message(message_type="journal:store_failing", shard=self.folder)


def _needs_read(work: Work, verdict: Verdict | None) -> bool:
    """Return whether a verdict rests on what may be out of date.

    A verdict to run is proved by the conditional update, and an answer never changes.
    The others are not followed by a write, so nothing would tell that another router
    has written the answer since.
    """
    return verdict not in (None, Verdict.RUN, Verdict.EARLIER) and not work.read
