"""Relays of an upstream's answer to the caller: whole, or event by event."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final

import trio

from .caller import CallerGoneError
from .connection import BrokenError, SilentError, UpstreamError
from .event_splitter import EventSplitter, EventTooLongError
from .forward_caller import ForwardCaller
from .forward_request import UpstreamHead
from .transport import Exchange

MAX_ANSWER_BYTES: Final = 16 << 20
"""Longest answer that is buffered until it is complete."""

RESERVE_INTERVAL_S: Final = 0.25
"""Interval at which a silent attempt tries again to reserve another one, and at which
the rest of a begun answer is asked for again after many refusals."""


class WrongAnswerError(BrokenError):
    """Raised when an answer cannot be the upstream's own answer to this request."""


class TakenOffError(UpstreamError):
    """Raised when a relay was interrupted between two events."""


class SentAnswer:
    """What the caller has received of its answer, over all attempts."""

    def __init__(self, caller: ForwardCaller, resume_after: int | None = None) -> None:
        self.caller = caller
        self.last_number = resume_after
        """Number of the last event sent to the caller, from which to resume."""
        self.n_events = 0
        """Events sent to the caller."""
        self.longest_pause_s = 0.0
        """Longest pause between two writes to the caller."""
        self._last_write_at: float | None = None

    def record_write(self) -> None:
        """Record that events are about to be sent to the caller."""
        now = trio.current_time()
        if self._last_write_at is not None:
            pause_s = now - self._last_write_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_write_at = now


class Relay(ABC):
    """Relays the answer of one attempt to the caller."""

    def __init__(self, sent: SentAnswer) -> None:
        self.sent = sent
        self.caller = sent.caller
        self.n_events = 0
        """Events of this attempt that were sent to the caller."""
        self.resume_after: int | None = None
        """Number of the event after which the instance was asked to go on."""
        self.n_repeated = 0
        """Events that the instance was not asked for, since the caller has them."""
        self.first_number: int | None = None
        """Number of the first event that the instance sent; None without one."""
        self.last_number: int | None = None
        """Number of the last event that the instance sent; None without one."""
        self.reserve_retry: Callable[[], bool] = lambda: False
        """Called when the instance is silent; returns whether to give it up."""
        self.claim: Callable[[], None] = lambda: None
        """Called before anything is sent to the caller; raises an ``UpstreamError`` if
        another attempt answers it."""
        self.on_begin: Callable[[], None] = lambda: None
        """Called before the first event is sent to the caller."""
        self.check_source: Callable[[], None] = lambda: None
        """Called before the first events of an answer are sent to the caller; raises
        ``BrokenError`` if they must not be."""

    @abstractmethod
    async def relay_answer(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay an answer to its end; call ``on_data`` for each received chunk.

        Raise an ``UpstreamError`` if the answer does not arrive complete.
        """

    def interrupt(self) -> None:
        """Make ``relay_answer`` raise ``TakenOffError`` at the next event boundary.

        Relays that buffer the whole answer ignore it.
        """


class WholeRelay(Relay):
    """Buffers an answer until it is complete, then sends it in one piece."""

    async def relay_answer(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay an answer once it is complete."""
        body = await read_whole(exchange, on_data, self.caller.hold_answer)
        self.claim()
        headers, ends_by_close = list(head.headers), exchange.ends_by_close
        await self.caller.answer(head.status, headers, body, ends_by_close)


async def read_whole(
    exchange: Exchange, on_data: Callable[[], None], hold: Callable[[int], None]
) -> bytes:
    """Read a body to its end; raise ``BrokenError`` if it is incomplete or too long.

    ``hold`` accounts for each chunk and raises an error if it may not be held.
    """
    chunks: list[bytes] = []
    n_bytes = 0
    while chunk := await exchange.receive_chunk():
        on_data()
        chunks.append(chunk)
        n_bytes += len(chunk)
        hold(len(chunk))
        if n_bytes > MAX_ANSWER_BYTES:
            message = f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
            raise BrokenError(message, sent=True)
    return b"".join(chunks)


class EventRelay(Relay):
    """Sends the events after those that the caller has received, as they arrive."""

    def __init__(self, sent: SentAnswer, stall_s: float) -> None:
        super().__init__(sent)
        self._stall_s = stall_s
        self._is_interrupted = False
        self._is_checked = False
        """Whether the source of the answer was checked."""
        self._is_waiting = False
        """Whether it waits for the next chunk."""
        self._late_chunk = b""
        """Chunk that arrived at the moment at which the wait for it was ended."""
        self._scope = trio.CancelScope()
        """Cancel scope of the waits for chunks and of the writes."""

    async def relay_answer(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay the events after those that the caller has received."""
        splitter = EventSplitter()
        limit_s = self._stall_s
        while not await self._relay_until_pause(
            head, exchange, on_data, splitter, limit_s
        ):
            if self._late_chunk:
                continue
            if not self._is_waiting:
                raise CallerGoneError("the caller stopped reading its stream")
            if self._is_interrupted:
                raise TakenOffError("interrupted for a weights load", sent=True)
            if self.reserve_retry():
                raise SilentError(f"no event for {self._stall_s} s", sent=True)
            limit_s = RESERVE_INTERVAL_S
        if splitter.has_partial_event:
            raise BrokenError("the stream ended inside an event", sent=True)
        if exchange.ends_by_close and self._must_end:
            raise BrokenError("the rest of the stream has no length", sent=True)
        self.claim()
        if not self.caller.started:
            headers, ends_by_close = list(head.headers), exchange.ends_by_close
            await self.caller.start(head.status, headers, False, ends_by_close)
        await self.caller.finish()

    @property
    def _must_end(self) -> bool:
        """Whether an end that the caller takes for that of the whole answer is due."""
        return self.caller.started and not self.caller.ends_by_close

    async def _relay_until_pause(
        self,
        head: UpstreamHead,
        exchange: Exchange,
        on_data: Callable[[], None],
        splitter: EventSplitter,
        limit_s: float,
    ) -> bool:
        """Relay events until the end; return False if a wait or a write was ended.

        ``limit_s`` is the limit of the first wait. One scope serves all waits and
        writes, since entering one for each event costs more.
        """
        receive_chunk, caller = exchange.receive_chunk, self.caller
        with trio.CancelScope() as scope:
            self._scope = scope
            while True:
                chunk, self._late_chunk = self._late_chunk, b""
                if not chunk:
                    _set_deadline(scope, limit_s if self.sent.n_events else math.inf)
                    self._is_waiting = True
                    if self._is_interrupted:
                        scope.cancel()
                    chunk = await receive_chunk()
                    self._is_waiting = False
                    if not chunk:
                        return True
                    if scope.cancel_called:
                        # Cancelling its write would lose what is counted as sent.
                        self._late_chunk = chunk
                        break
                limit_s = self._stall_s
                on_data()
                after = self._position
                ready = self._new_events(splitter, chunk)
                if ready:
                    if not self._is_checked:
                        self.check_source()
                        self._is_checked = True
                    self.claim()
                    if self.sent.last_number != after:
                        message = "another attempt has answered meanwhile"
                        raise TakenOffError(message, sent=True)
                    self.sent.last_number = self._position
                    self.sent.n_events += len(ready)
                    self.n_events += len(ready)
                    _set_deadline(scope, caller.stall_s)
                    await self._write(head, exchange, b"".join(ready))
                    if scope.cancel_called:
                        break
        return False

    def interrupt(self) -> None:
        """Interrupt ``relay_answer`` while it waits for the next chunk."""
        self._is_interrupted = True
        if self._is_waiting:
            self._scope.cancel()

    @property
    def _position(self) -> int | None:
        """Number of the event that the next one of the instance must follow."""
        return self.resume_after if self.last_number is None else self.last_number

    def _new_events(self, splitter: EventSplitter, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, each of which the caller lacks.

        An answer that begins elsewhere than it was asked to is that of another run.
        """
        try:
            events = splitter.feed(chunk)
        except EventTooLongError as exc:
            raise BrokenError(str(exc), sent=True) from exc
        for event in events:
            if event.number is None:
                continue
            after, self.last_number = self._position, event.number
            if self.first_number is None:
                self.first_number = event.number
            if after is not None and event.number != after + 1:
                self.n_repeated += event.number <= after
                message = f"event {event.number} came after {after}"
                raise WrongAnswerError(message, sent=True)
        return [event.data for event in events]

    async def _write(self, head: UpstreamHead, exchange: Exchange, data: bytes) -> None:
        """Send events to the caller."""
        caller = self.caller
        self.sent.record_write()
        if not caller.started:
            self.on_begin()
            headers, ends_by_close = list(head.headers), exchange.ends_by_close
            await caller.start(head.status, headers, True, ends_by_close)
        await caller.write(data)


def _set_deadline(scope: trio.CancelScope, limit_s: float) -> None:
    """Limit what follows in a scope; a limit that stays infinite costs nothing."""
    if limit_s < math.inf:
        scope.deadline = trio.current_time() + limit_s
    elif scope.deadline < math.inf:
        scope.deadline = math.inf
