"""The journal of non-repeatable calls, kept in the platform's store.

A call that runs twice may bill a buyer twice. Its record is therefore in the store
before its first byte is sent upstream. A repeat that finds a record is not run: it gets
the first answer, or a refusal saying that the outcome is unknown.
"""

from __future__ import annotations

import random
import time
import uuid
from collections.abc import Callable
from dataclasses import field
from typing import Final

import trio

from corianderlb_core.codec import to_cbor
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import AttemptId, InstanceId
from corianderlb_core.journal import (
    Abandon,
    Begin,
    CallRecord,
    CallState,
    Finish,
    StoredAnswer,
    Verdict,
    call_key,
    in_doubt,
    request_digest,
    shard_of,
    verdict_on_repeat,
)
from corianderlb_core.request import Refusal, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import JournalSettings

from ._future import Future
from ._journal_object import CHUNK_BYTES, chunk_key, decode_stored
from ._journal_shard import JournalShard, PendingOperation
from .interface import BegunCall, CallAnswer, CallJournal, PeerNetwork, RecordedAnswer
from .store import ObjectStore, StoreError

SEND_WINDOW_S: Final = 10.0
"""Seconds after the record within which a call's first byte may be sent. Below the
retention, so that the record still exists when the call runs."""

STORE_RETRY_S: Final = 2.0
"""Seconds after which to repeat a request when the store failed."""

PROGRESS_RETRY_S: Final = 1.0
"""Seconds after which to repeat a request while the first one is in progress."""

FULL_RETRY_S: Final = 60.0
"""Seconds after which to repeat a request while its shard is full."""

DRAIN_POLL_S: Final = 0.02
"""Seconds between two checks for unwritten operations."""

_REFUSALS: Final = {
    Verdict.IN_PROGRESS: Refusal(
        ResultCode.CALL_IN_PROGRESS,
        "the first request with this key still runs; repeat it with the same key",
        PROGRESS_RETRY_S,
    ),
    Verdict.UNKNOWN: Refusal(
        ResultCode.OUTCOME_UNKNOWN,
        "the call was begun and its outcome was lost; ask the service whether it ran",
    ),
    Verdict.KEY_REUSED: Refusal(
        ResultCode.IDEMPOTENCY_KEY_REUSED,
        "this key belongs to another request; send this one under a new key",
    ),
    Verdict.FULL: Refusal(
        ResultCode.STORE_UNAVAILABLE,
        "the call was not run: its journal shard is full; operators can raise "
        "journal.max_segments or lower journal.retention_s",
        FULL_RETRY_S,
    ),
}

_NOT_RECORDED: Final = Refusal(
    ResultCode.STORE_UNAVAILABLE,
    "this request was not run, since it could not be recorded; "
    "repeat it with the same key",
    STORE_RETRY_S,
)

_ANSWER_UNREADABLE: Final = Refusal(
    ResultCode.CALL_IN_PROGRESS,
    "the call ran, and its answer cannot be read now; repeat it with the same key",
    STORE_RETRY_S,
)


@dataclass
class _Run:
    """A call that this router runs, kept until its end is written."""

    answer: Future[CallAnswer | None] = field(default_factory=Future)
    end: PendingOperation | None = None


class StoreCallJournal(CallJournal):
    """Runs a call at most once over all routers that share a store.

    ``begin`` completes only while ``run`` is running. Each incarnation of a router has
    one journal, with its own epoch.
    """

    def __init__(
        self,
        store: ObjectStore,
        router: InstanceId,
        epoch: int,
        cfg: JournalSettings | None = None,
        network: PeerNetwork | None = None,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._router = router
        self._epoch = epoch
        self._cfg = cfg or JournalSettings()
        self._network = network
        self._wall_clock = wall_clock
        rng = rng or random.Random()
        self.shards = tuple(
            JournalShard(n, store, self._cfg, router, epoch, wall_clock, rng)
            for n in range(self._cfg.n_shards)
        )
        """The shards by number; their ``counts`` are exported as metrics."""
        self._running: dict[AttemptId, _Run] = {}

    async def run(self) -> None:
        """Run all shards until cancelled."""
        async with trio.open_nursery() as nursery:
            for shard in self.shards:
                nursery.start_soon(shard.run)

    async def drain(self) -> None:
        """Wait until all operations are written; needs a timeout, as the store may be
        down."""
        while any(shard.n_pending for shard in self.shards):
            await trio.sleep(DRAIN_POLL_S)

    async def begin(
        self, facts: RequestFacts, key: str
    ) -> BegunCall | RecordedAnswer | Refusal:
        """Record the call before its first byte is sent upstream.

        A repeat on the router that runs the call waits a bounded time for the answer;
        on other routers it is refused at once and may be repeated later.
        """
        record = self._record(facts, key)
        wait_until = min(facts.deadline, trio.current_time() + self._cfg.repeat_wait_s)
        with trio.move_on_at(wait_until):
            answer = await self._wait_local_answer(record)
            if answer is not None:
                return RecordedAnswer(answer)
        shard = self._shard(record.key)
        known = shard.find(record.key)
        verdict = (
            verdict_on_repeat(known, record.digest)
            if known is not None
            else Verdict.RUN
        )
        if known is None or known.state is not CallState.FINISHED:
            store_verdict = await self._submit_begin(shard, record, facts.deadline)
            if store_verdict is None:
                # Answer from the last known record: "not run" would be wrong for a
                # call that this router knows to have begun.
                return self._refusal(shard, record.key, verdict, _NOT_RECORDED)
            verdict = store_verdict
        if verdict is Verdict.RUN:
            return self._start_call(record)
        if verdict is Verdict.ALREADY_FINISHED:
            return await self._recorded_answer(shard, record.key)
        return self._refusal(shard, record.key, verdict, _NOT_RECORDED)

    async def finish(self, call: BegunCall, answer: CallAnswer) -> None:
        """Record the answer and wait a bounded time for the write.

        The shard continues to retry after that. If this router crashes first, a repeat
        is refused because the outcome is unknown.
        """
        stored, body = self._stored(answer)
        pending = PendingOperation(Finish(call.key, call.attempt_id, stored), body=body)
        await self._record_end(call, pending, answer)

    async def abandon(self, call: BegunCall, ran: bool) -> None:
        """Record that there is no answer; unless ``ran``, the call may run again."""
        pending = PendingOperation(Abandon(call.key, call.attempt_id, ran))
        await self._record_end(call, pending, None)

    def _stored(self, answer: CallAnswer) -> tuple[StoredAnswer, bytes]:
        """Return the answer for the record, and the data for separate objects.

        The size includes headers: a batch of answers with long headers could exceed the
        store's object size, and no call of the shard could complete any more.
        """
        n_header_bytes = sum(len(name) + len(text) for name, text in answer.headers)
        if n_header_bytes + len(answer.body) <= self._cfg.inline_bytes:
            return StoredAnswer(answer.status, answer.headers, answer.body), b""
        data = to_cbor(answer)
        return StoredAnswer(answer.status, (), n_chunks=_n_chunks(data)), data

    def _record(self, facts: RequestFacts, key: str) -> CallRecord:
        return CallRecord(
            key=call_key(facts.account, key),
            digest=request_digest(facts.target, facts.body_digest),
            attempt_id=AttemptId(uuid.uuid4().hex),
            router=self._router,
            epoch=self._epoch,
            begun_at=self._wall_clock(),
        )

    def _shard(self, key: bytes) -> JournalShard:
        return self.shards[shard_of(key, len(self.shards))]

    async def _submit_begin(
        self, shard: JournalShard, record: CallRecord, deadline: float
    ) -> Verdict | None:
        """Return the shard's verdict, or None if the store did not answer in time."""
        until = min(deadline, trio.current_time() + self._cfg.begin_timeout_s)
        pending = shard.submit(PendingOperation(Begin(record)))
        verdict = None
        try:
            with trio.move_on_at(until):
                verdict = await pending.reply.wait()
        finally:
            # Also after a cancellation: the record of a call that will not run must not
            # stay, or a repeat would be refused because of an unknown outcome.
            if verdict is None:
                shard.withdraw(pending)
        return verdict

    def _start_call(self, record: CallRecord) -> BegunCall:
        self._drop_written()
        self._running[record.attempt_id] = _Run()
        send_before = trio.current_time() + SEND_WINDOW_S
        return BegunCall(record.attempt_id, record.key, send_before)

    async def _wait_local_answer(self, record: CallRecord) -> CallAnswer | None:
        known = self._shard(record.key).find(record.key)
        if known is None or known.digest != record.digest:
            return None
        running = self._running.get(known.attempt_id)
        return None if running is None else await running.answer.wait()

    async def _recorded_answer(
        self, shard: JournalShard, key: bytes
    ) -> RecordedAnswer | Refusal:
        known = shard.find(key)
        if known is None or known.answer is None:
            return _REFUSALS[Verdict.UNKNOWN]
        stored = known.answer
        if not stored.n_chunks:
            return RecordedAnswer(
                CallAnswer(stored.status, stored.headers, stored.body)
            )
        try:
            return await self._read_chunked_answer(known.attempt_id, stored.n_chunks)
        except StoreError:
            return _ANSWER_UNREADABLE

    async def _read_chunked_answer(
        self, attempt_id: AttemptId, n_chunks: int
    ) -> RecordedAnswer | Refusal:
        data = b""
        for n in range(n_chunks):
            chunk = await self._store.get(chunk_key(attempt_id, n))
            if chunk is None:
                return _REFUSALS[Verdict.UNKNOWN]
            data += chunk.value
        return RecordedAnswer(decode_stored(CallAnswer, data))

    def _refusal(
        self, shard: JournalShard, key: bytes, verdict: Verdict, default: Refusal
    ) -> Refusal:
        if verdict is Verdict.IN_PROGRESS and self._in_doubt(shard, key):
            verdict = Verdict.UNKNOWN
        return _REFUSALS.get(verdict, default)

    def _in_doubt(self, shard: JournalShard, key: bytes) -> bool:
        known = shard.find(key)
        if known is None or known.state is not CallState.BEGUN:
            return False
        if known.attempt_id in self._running:
            return False
        members = self._network.members() if self._network is not None else ()
        return in_doubt(
            known,
            {member.instance: member.epoch for member in members},
            shard.in_progress_for_s(known.attempt_id, trio.current_time()),
            self._cfg.owner_grace_s,
            self._cfg.in_doubt_s,
        )

    async def _record_end(
        self, call: BegunCall, pending: PendingOperation, answer: CallAnswer | None
    ) -> None:
        """Record the end of a call, and wake repeats that wait on this router."""
        self._shard(call.key).submit(pending)
        run = self._running.get(call.attempt_id)
        if run is not None:
            run.end = pending
            run.answer.set(answer)
        with trio.move_on_after(self._cfg.finish_wait_s):
            await pending.reply.wait()

    def _drop_written(self) -> None:
        written = [
            attempt_id
            for attempt_id, run in self._running.items()
            if run.end is not None and run.end.reply.value is not None
        ]
        for attempt_id in written:
            del self._running[attempt_id]


def _n_chunks(data: bytes) -> int:
    return -(-len(data) // CHUNK_BYTES)
