"""Relays of an upstream's answer to the caller: whole, or event by event."""

from __future__ import annotations

import math
import re
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.result import ResultCode

from .caller import CallerGoneError, refuse
from .caller_memory import STREAM_BYTES, Arrival
from .connection import BrokenError, SilentError, UpstreamError
from .event_splitter import Event, EventSplitter, EventTooLongError
from .forward_caller import NOT_HELD_DETAIL, ForwardCaller
from .forward_request import UpstreamHead
from .transport import Exchange

MAX_ANSWER_BYTES: Final = 16 << 20
"""Longest answer that is not a stream."""

BLOCK_BYTES: Final = 1 << 16
"""Size of the blocks in which small chunks are kept, so that they cost no more memory
than their bytes."""

RELAY_SHARE: Final = 0.5
"""Share of the room for an answer above which it is relayed as it arrives, if its
length is known."""

SMALL_READ_BYTES: Final = 1 << 14
"""Size below which a part of an unusually long event is a small one."""

SMALL_READ_PAUSE_S: Final = 0.02
"""Pause after one, so that more arrives for the next read. Small parts without end
would otherwise take most of the processor time."""

RESERVE_INTERVAL_S: Final = 0.25
"""Interval at which a silent attempt tries again to reserve another one, and at which
the rest of a begun answer is asked for again after many refusals."""

MAX_HELD_BYTES: Final = STREAM_BYTES // 4
"""Most bytes of events that are held back while a run is being moved."""

_COMMENT: Final = re.compile(rb"(?:(?::|retry:)[^\n]*\n|\r?\n)*")
"""Lines that are no event and may come between two."""


class WrongAnswerError(BrokenError):
    """Raised when an answer cannot be the upstream's own answer to this request."""


class AnswerTooLongError(WrongAnswerError):
    """Raised when an instance sends more than may be held of an answer."""


class TakenOffError(UpstreamError):
    """Raised when a relay was interrupted between two events."""


class ProcessEndedError(BrokenError):
    """Raised when an answer without a mark of its end has ended with its process."""


class UnknownEndError(BrokenError):
    """Raised when nothing tells whether an answer is whole."""


class UnconfirmedEndError(UpstreamError):
    """Raised when the first instance says that the rest of a begun answer is empty."""


class NoRoomError(UpstreamError):
    """Raised when an answer was cut for what others hold, not for its instance."""


class SentAnswer:
    """What the caller has received of its answer, over all attempts."""

    def __init__(
        self,
        caller: ForwardCaller,
        resume_after: int | None = None,
        most_events: int | None = None,
    ) -> None:
        """Take ``most_events`` for the most that a whole answer can have, if known."""
        self.caller = caller
        self._most_events = most_events
        self._n_numbered = 0
        self.last_number = resume_after
        """Number of the last event sent to the caller, from which to resume."""
        self.is_numbered = True
        """Whether the last event sent to the caller has a number."""
        self.n_events = 0
        """Events sent to the caller."""
        self._end_after: int | None = None
        """Number of the event after which an instance last said that the end is."""
        self._end_said_by: IncarnationKey | None = None
        """The first instance that said so."""
        self._died_after: int | None = None
        """Number of the event after which an answer last ended with its process."""
        self.longest_pause_s = 0.0
        """Longest pause between two writes to the caller."""
        self.last_write_at: float | None = None
        """Time of the last write to the caller; None before the first one."""

    @property
    def may_resume(self) -> bool:
        """Whether its rest can be asked for: the last event, if any, has a number."""
        has_begun = self.caller.started
        return not has_begun or (self.is_numbered and self.last_number is not None)

    @property
    def is_full(self) -> bool:
        """Whether the caller has as many events as a whole answer can have."""
        return self._most_events is not None and self._n_numbered >= self._most_events

    def add_numbers(self, first: int, last: int) -> None:
        """Count the events of some numbers that are about to be sent."""
        self._n_numbered += last - first + 1

    def end_said_by(
        self, after: int | None, source: IncarnationKey | None
    ) -> IncarnationKey | None:
        """Record that an instance says that the stream ends after an event.

        Return which one said so first; None if none did.
        """
        if self._end_after != after or self._end_said_by is None:
            self._end_after, self._end_said_by = after, source
            return None
        return self._end_said_by

    def died_after(self, after: int | None) -> None:
        """Record that an answer ended with its process after an event.

        That doesn't tell whether more was due.
        """
        self._died_after = after

    def may_be_whole(self, after: int | None) -> bool:
        """Return whether an event may have been the last of a process that has ended.

        Without another instance to ask, one that says so twice is believed then: the
        rest is the end alone each time an engine exits right after a whole answer.
        """
        return after is not None and self._died_after == after

    def record_write(self) -> None:
        """Record that events are about to be sent to the caller."""
        now = trio.current_time()
        if self.last_write_at is not None:
            pause_s = now - self.last_write_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_write_at = now


async def trust_end(exchange: Exchange) -> None:
    """Take the end of a connection for that of its answer."""


class Relay(ABC):
    """Relays the answer of one attempt to the caller."""

    def __init__(self, sent: SentAnswer, arrival: Arrival) -> None:
        self.sent = sent
        self.caller = sent.caller
        self.arrival = arrival
        """What is held of the answer while it arrives."""
        self.source: IncarnationKey | None = None
        """The instance that answers."""
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
        self.framing = ""
        """What delimits the answer: ``length``, ``chunks`` or ``close``."""
        self.has_ended = False
        """Whether the instance has ended its answer as the framing tells."""
        self.was_moving = False
        """Whether the run was being moved to another instance then."""
        self.may_be_stopped = False
        """Whether its run is being copied, so that its instance may have stopped it:
        its answer has no end then, but a close in order looks like one."""
        self.reserve_retry: Callable[[], bool] = lambda: False
        """Called when the instance is silent; returns whether to give it up."""
        self.claim: Callable[[], None] = lambda: None
        """Called before anything is sent to the caller; raises an ``UpstreamError`` if
        another attempt answers it."""
        self.on_begin: Callable[[], None] = lambda: None
        """Called before the first event is sent to the caller."""
        self.wait_to_lead: Callable[[], Awaitable[None]] | None = None
        """Awaited when the first event has arrived, before anything is sent to the
        caller, if another attempt answers it until then."""
        self.end_successor: Callable[[bool], bool] = lambda is_complete: True
        """Called to end the attempt to which the run is being moved, before events that
        were held are sent. Returns False if it has begun, and leads; the argument tells
        that the answer is complete, so that nothing else is needed."""
        self.confirm_end: Callable[[Exchange], Awaitable[None]] = trust_end
        """Called when an answer has ended with its connection, before its end is passed
        on; raises ``BrokenError`` unless the instance has ended it."""
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

    def hold(self) -> None:
        """Hold events back, since another attempt was asked to go on after the last.

        Relays that buffer the whole answer ignore it.
        """

    def release(self) -> None:
        """Send the events that were held back, since the other attempt has failed."""


class WholeRelay(Relay):
    """Sends an answer in one piece once it is complete, if that much may be held.

    A longer one is relayed as it arrives if its length is known: without one, it can't
    be told from an answer without end. No other attempt can follow then.
    """

    async def relay_answer(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay an answer once it is complete, or as it arrives."""
        n_bytes = exchange.content_length
        if n_bytes is not None and n_bytes > RELAY_SHARE * self.arrival.n_room:
            await self._relay_as_it_arrives(head, exchange, on_data, n_bytes)
            return
        body = await read_whole(exchange, on_data, self.arrival)
        self.has_ended = True
        if exchange.ends_by_close:
            await self.confirm_end(exchange)
        self.caller.hold_answer(len(body))
        self.claim()
        headers, ends_by_close = list(head.headers), exchange.ends_by_close
        await self.caller.answer(head.status, headers, body, ends_by_close)

    async def _relay_as_it_arrives(
        self,
        head: UpstreamHead,
        exchange: Exchange,
        on_data: Callable[[], None],
        n_bytes: int,
    ) -> None:
        check_length(n_bytes)
        caller, receive_chunk = self.caller, exchange.receive_chunk
        caller.hold_answer(min(n_bytes, BLOCK_BYTES))
        self.claim()
        headers = [*head.headers, (b"content-length", b"%d" % n_bytes)]
        await caller.start(head.status, headers)
        while chunk := await receive_chunk():
            on_data()
            await caller.write(chunk)
        self.has_ended = True
        await caller.finish()


async def read_whole(
    exchange: Exchange, on_data: Callable[[], None], arrival: Arrival
) -> bytes:
    """Read a body to its end, and release what is held of it.

    Raise ``BrokenError`` if it is incomplete or too long, and the errors of
    ``not_held``.
    """
    receive_chunk = exchange.receive_chunk
    blocks: list[bytearray] = []
    n_bytes = exchange.content_length or 0
    check_length(n_bytes)
    with trio.CancelScope() as scope:
        arrival.on_cut = scope.cancel
        n_bytes = 0
        try:
            while chunk := await receive_chunk():
                on_data()
                n_bytes += len(chunk)
                check_length(n_bytes)
                if not arrival.hold(n_bytes):
                    raise not_held(arrival)
                if blocks and len(blocks[-1]) + len(chunk) <= BLOCK_BYTES:
                    blocks[-1] += chunk
                else:
                    blocks.append(bytearray(chunk))
            return b"".join(blocks)
        finally:
            # The error keeps this frame until the request has ended.
            blocks.clear()
            arrival.close()
    raise cut_error(arrival)


def check_length(n_bytes: int) -> None:
    """Raise ``AnswerTooLongError`` for an answer that is too long."""
    if n_bytes > MAX_ANSWER_BYTES:
        message = f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
        raise AnswerTooLongError(message, sent=True)


def not_held(arrival: Arrival) -> CorianderError:
    """Return the error of an answer that may not be held.

    It is a failure of the instance if that sends too much. Otherwise what is held for
    others leaves no room, and the answer of another instance would find none either.
    """
    if arrival.is_excess:
        return too_much_error()
    return refuse(ResultCode.ANSWER_NOT_HELD, NOT_HELD_DETAIL)


def cut_error(arrival: Arrival) -> UpstreamError:
    """Return the error of an answer that was cut to make room for a smaller one.

    It is a failure of the instance if that sends too much. The answer of another
    instance may find room, since an instance may hold more of fewer answers.
    """
    if arrival.was_excess:
        return too_much_error()
    return NoRoomError("others hold too much to keep the answer", sent=True)


def too_much_error() -> AnswerTooLongError:
    """Return the error of an answer whose instance sends more than may be held."""
    return AnswerTooLongError("the instance sends more than may be held", sent=True)


class EventRelay(Relay):
    """Sends the events after those that the caller has received, as they arrive."""

    def __init__(
        self,
        sent: SentAnswer,
        arrival: Arrival,
        stall_s: float,
        hold_s: float = math.inf,
    ) -> None:
        super().__init__(sent, arrival)
        arrival.on_cut = self._cut
        self._stall_s = stall_s
        self._splitter = EventSplitter()
        self._is_cut = False
        """Whether what has arrived may not be held any more."""
        self._hold_s = hold_s
        """Pause of the caller's stream up to which events are held back."""
        self._is_held = False
        """Whether events are held back, while another attempt may go on after the last
        event that was sent."""
        self._held: list[bytes] = []
        """Events that were held back."""
        self._held_after: int | None = None
        """Number of the event that the first one of them follows."""
        self._held_end: tuple[int | None, bool] = (None, True)
        """Number of the last one of them, and whether it has one itself."""
        self._release_at = math.inf
        """When to end the other attempt and send them."""
        self._silent_at = math.inf
        """When the instance will have been silent for too long."""
        self._is_interrupted = False
        self._is_numbered = True
        """Whether the last event of the instance has a number."""
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
        try:
            await self._relay_events(head, exchange, on_data)
        except UpstreamError:
            if not self._is_held:
                await self._write_rest(head, exchange)
            raise
        finally:
            # The relay is kept until its request has ended.
            self._splitter.clear()
        self.claim()
        if not self.caller.started:
            headers, ends_by_close = list(head.headers), exchange.ends_by_close
            await self.caller.start(head.status, headers, False, ends_by_close)
        await self.caller.finish()

    async def _relay_events(
        self,
        head: UpstreamHead,
        exchange: Exchange,
        on_data: Callable[[], None],
    ) -> None:
        limit_s = self._stall_s
        while not await self._relay_until_pause(head, exchange, on_data, limit_s):
            if self._is_cut:
                raise cut_error(self.arrival)
            if self._late_chunk:
                continue
            if not self._is_waiting:
                raise CallerGoneError("the caller stopped reading its stream")
            if self._is_interrupted:
                raise TakenOffError("interrupted for a weights load", sent=True)
            left_s = self._silent_at - trio.current_time()
            if left_s > 0:
                # Woken for the events that are held.
                limit_s = left_s
                continue
            if self.reserve_retry():
                raise SilentError(f"no event for {self._stall_s} s", sent=True)
            limit_s = RESERVE_INTERVAL_S
        self.has_ended, self.was_moving = True, self._is_held
        if self._splitter.has_partial_event:
            raise BrokenError("the stream ended inside an event", sent=True)
        if exchange.ends_by_close and self._must_end:
            raise BrokenError("the rest of the stream has no length", sent=True)
        if exchange.ends_by_close:
            await self._confirm_end(exchange)
        if self.wait_to_lead is not None:
            raise UnconfirmedEndError("the stream ended without an event", sent=True)
        if not self._held:
            self._check_rest()
        if self._is_held:
            self.end_successor(True)
            self._is_held = False
        await self._write_rest(head, exchange)

    async def _confirm_end(self, exchange: Exchange) -> None:
        if self.sent.is_full:
            return
        if self.may_be_stopped:
            raise UnknownEndError("ended while its run was copied", sent=True)
        try:
            await self.confirm_end(exchange)
        except ProcessEndedError:
            if self.first_number is not None:
                self.sent.died_after(self.last_number)
            raise
        except UnknownEndError:
            if self.first_number is not None:
                # Another one that sends an empty rest for the same event confirms it.
                self.sent.end_said_by(self.last_number, self.source)
            raise

    def _check_rest(self) -> None:
        """Raise if only this instance tells that a stream cut elsewhere was complete.

        The instance that was cut may have been about to send more. A comment is no
        rest, and an instance that says the same again confirms nothing.
        """
        has_earlier = self.sent.n_events > self.n_events
        if not (self.caller.started and has_earlier and self.first_number is None):
            return
        said_by = self.sent.end_said_by(self.resume_after, self.source)
        if said_by is None:
            raise UnconfirmedEndError("the rest of the stream is empty", sent=True)
        is_same = said_by == self.source
        if is_same and not self.sent.may_be_whole(self.resume_after):
            # Counted as a run: it could be asked without end.
            raise UnknownEndError("no other instance knows the end", sent=True)

    @property
    def _must_end(self) -> bool:
        """Whether an end that the caller takes for that of the whole answer is due."""
        return self.caller.started and not self.caller.ends_by_close

    async def _relay_until_pause(
        self,
        head: UpstreamHead,
        exchange: Exchange,
        on_data: Callable[[], None],
        limit_s: float,
    ) -> bool:
        """Relay events until the end; return False if a wait or a write was ended.

        ``limit_s`` is the limit of the first wait. One scope serves all waits and
        writes, since entering one for each event costs more.
        """
        receive_chunk, caller = exchange.receive_chunk, self.caller
        splitter, n_read = self._splitter, 0
        with trio.CancelScope() as scope:
            self._scope = scope
            while True:
                if self._held and self._may_release():
                    self._is_waiting = False
                    _set_deadline(scope, caller.stall_s)
                    await self._write_held(head, exchange)
                    if scope.cancel_called or self._is_cut:
                        break
                chunk, self._late_chunk = self._late_chunk, b""
                if not chunk:
                    _set_deadline(scope, limit_s if self.sent.n_events else math.inf)
                    self._silent_at = scope.deadline
                    if self._held:
                        scope.deadline = min(scope.deadline, self._release_at)
                    self._is_waiting = True
                    if self._is_interrupted:
                        scope.cancel()
                    if n_read < SMALL_READ_BYTES and splitter.n_partial > STREAM_BYTES:
                        await trio.sleep(SMALL_READ_PAUSE_S)
                    chunk = await receive_chunk()
                    self._is_waiting = False
                    if not chunk:
                        return True
                    if scope.cancel_called:
                        # Cancelling its write would lose what is counted as sent.
                        self._late_chunk = chunk
                        break
                limit_s, n_read = self._stall_s, len(chunk)
                on_data()
                after = self._position
                ready = self._new_events(self._split(splitter, chunk))
                self._hold_partial(splitter.n_partial)
                if ready and self.wait_to_lead is not None:
                    if self.first_number is None:
                        # Comments only.
                        continue
                    _set_deadline(scope, caller.stall_s)
                    await self.wait_to_lead()
                    self.wait_to_lead = None
                if ready:
                    if not self._is_checked:
                        self.check_source()
                        self._is_checked = True
                    if self._is_held or self._held:
                        self._hold_events(ready, after)
                        continue
                    _set_deadline(scope, caller.stall_s)
                    await self._write(head, exchange, ready, after, self._end)
                    if scope.cancel_called or self._is_cut:
                        break
        return False

    def interrupt(self) -> None:
        """Interrupt ``relay_answer`` while it waits for the next chunk."""
        self._is_interrupted = True
        if self._is_waiting:
            self._scope.cancel()

    def _hold_partial(self, n_bytes: int) -> None:
        """Account for an unfinished event, unless the stream's own part covers it."""
        n_held = n_bytes if n_bytes > STREAM_BYTES else 0
        if n_held != self.arrival.n_bytes and not self.arrival.hold(n_held):
            raise (cut_error if self._is_cut else not_held)(self.arrival)

    def _cut(self) -> None:
        self._is_cut = True
        self._splitter.clear()
        if self._is_waiting:
            self._scope.cancel()

    def hold(self) -> None:
        """Hold back the events that arrive from now on."""
        self._is_held = True

    def release(self) -> None:
        """Send the events that were held back, and those that follow."""
        self._is_held = False
        if self._held and self._is_waiting:
            self._scope.cancel()

    def _hold_events(self, events: list[bytes], after: int | None) -> None:
        if not self._held:
            last_write_at = self.sent.last_write_at or trio.current_time()
            self._held_after, self._release_at = after, last_write_at + self._hold_s
        self._held += events
        self._held_end = self._end

    def _may_release(self) -> bool:
        """Return whether to send what is held; end the other attempt before."""
        if not self._is_held:
            return True
        is_full = sum(map(len, self._held)) > MAX_HELD_BYTES
        if trio.current_time() < self._release_at and not is_full:
            return False
        if not self.end_successor(False):
            # This run is about to be interrupted.
            self._release_at = math.inf
            return False
        self._is_held = False
        return True

    async def _write_held(self, head: UpstreamHead, exchange: Exchange) -> None:
        held, self._held = self._held, []
        await self._write(head, exchange, held, self._held_after, self._held_end)

    async def _write_rest(self, head: UpstreamHead, exchange: Exchange) -> None:
        """Send what was held back when the answer ends."""
        if not self._held:
            return
        with trio.CancelScope() as scope:
            _set_deadline(scope, self.caller.stall_s)
            await self._write_held(head, exchange)
        if scope.cancelled_caught:
            raise CallerGoneError("the caller stopped reading its stream")

    @property
    def _position(self) -> int | None:
        """Number of the event that the next one of the instance must follow."""
        return self.resume_after if self.last_number is None else self.last_number

    @property
    def _end(self) -> tuple[int | None, bool]:
        """Number of the last event, and whether the last one has a number."""
        return self._position, self._is_numbered

    @staticmethod
    def _split(splitter: EventSplitter, chunk: bytes) -> list[Event]:
        try:
            return splitter.feed(chunk)
        except EventTooLongError as exc:
            raise BrokenError(str(exc), sent=True) from exc

    def _new_events(self, events: list[Event]) -> list[bytes]:
        """Return the events of a chunk, each of which the caller lacks.

        An answer that begins elsewhere than it was asked to is that of another run.
        """
        for event in events:
            if event.number is None:
                self._check_unnumbered(event.data)
                continue
            self._is_numbered = True
            after, self.last_number = self._position, event.number
            if self.first_number is None:
                self.first_number = event.number
            if after is not None and event.number != after + 1:
                self.n_repeated += event.number <= after
                message = f"event {event.number} came after {after}"
                raise WrongAnswerError(message, sent=True)
        return [event.data for event in events]

    def _check_unnumbered(self, data: bytes) -> None:
        """Raise for an event without a number if the caller may have it already."""
        if _COMMENT.fullmatch(data):
            return
        if self.first_number is None and self.resume_after is not None:
            message = f"an event without a number came after {self.resume_after}"
            raise WrongAnswerError(message, sent=True)
        self._is_numbered = False

    async def _write(
        self,
        head: UpstreamHead,
        exchange: Exchange,
        events: list[bytes],
        after: int | None,
        end: tuple[int | None, bool],
    ) -> None:
        """Send events to the caller: those after one, up to another one."""
        caller, sent = self.caller, self.sent
        self.claim()
        if sent.last_number != after:
            message = "another attempt has answered meanwhile"
            raise TakenOffError(message, sent=True)
        sent.last_number, sent.is_numbered = end
        first = self.first_number if after is None else after + 1
        if first is not None and end[0] is not None:
            sent.add_numbers(first, end[0])
        sent.n_events += len(events)
        self.n_events += len(events)
        sent.record_write()
        if not caller.started:
            self.on_begin()
            headers, ends_by_close = list(head.headers), exchange.ends_by_close
            await caller.start(head.status, headers, True, ends_by_close)
        await caller.write(b"".join(events))


def _set_deadline(scope: trio.CancelScope, limit_s: float) -> None:
    """Limit what follows in a scope; a limit that stays infinite costs nothing."""
    if limit_s < math.inf:
        scope.deadline = trio.current_time() + limit_s
    elif scope.deadline < math.inf:
        scope.deadline = math.inf
