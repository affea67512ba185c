"""Relay one attempt's events from the upstream to whoever wants them.

The loop is what the router spends most of its time in: one read, one check and one
write for all events that arrived together.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Final

import httpx
import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import DataPathSettings
from corianderlb_core.stream import StreamAssembler

from .caller import CallerExchange, CallerStalledError, Headers
from .connection import BrokenError, SilentError
from .stall_watch import Progress, StallWatch
from .transport import EXCHANGE
from .upstream_client import WrongAnswerError

SSE_HEADERS: Final[Headers] = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
]
"""Headers of a streamed answer."""


class AnswerTooLongError(CorianderError):
    """Signal an answer that is longer than the router may hold for a caller."""

    code = ResultCode.UPSTREAM_FAILED


class EventSink(ABC):
    """Take verified events in order."""

    @abstractmethod
    async def write(self, events: bytes) -> None:
        """Take one or more whole events; wait while they cannot be taken."""


class CallerSink(EventSink):
    """Pass events on to a caller that asked for a stream."""

    def __init__(self, caller: CallerExchange) -> None:
        self._caller = caller

    async def write(self, events: bytes) -> None:
        """Send events, and the head of the answer before the first."""
        if not self._caller.started:
            await self._caller.start(200, SSE_HEADERS)
        await self._caller.write(events)


class AnswerSink(EventSink):
    """Keep events for a caller that asked for a whole answer."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._n_bytes = 0
        self._parts: list[bytes] = []

    async def write(self, events: bytes) -> None:
        """Keep events up to the limit in bytes."""
        self._n_bytes += len(events)
        if self._n_bytes > self._limit:
            raise AnswerTooLongError(f"the answer is longer than {self._limit} bytes")
        self._parts.append(events)

    @property
    def stream(self) -> bytes:
        """All events so far."""
        return b"".join(self._parts)


class StreamRelay:
    """Move the events of one attempt into a sink, watching both sides for stalls."""

    def __init__(
        self,
        assembler: StreamAssembler,
        sink: EventSink,
        stalls: StallWatch,
        cfg: DataPathSettings,
        on_first: Callable[[], None],
    ) -> None:
        self._assembler = assembler
        self._sink = sink
        self._stalls = stalls
        self._stall_s = cfg.stall_timeout_s
        self._caller_stall_s = cfg.caller_stall_timeout_s
        self._on_first = on_first
        self.first_at = 0.0
        """When the first event came, on the router's clock; 0 before it."""
        self._writing = False

    async def run(self, response: httpx.Response, first_s: float) -> None:
        """Return after the terminal event; raise an ``UpstreamError`` otherwise.

        ``first_s`` bounds the silence before the first event. A close without the
        terminal event is a failure however clean it looks, since the caller would
        take half an answer for a whole one.
        """
        receive_chunk = response.extensions[EXCHANGE].receive_chunk
        with self._stalls.watch(first_s) as progress:
            await self._move(receive_chunk, progress)
        if not progress.stalled:
            return
        if self._writing:
            raise CallerStalledError("the caller left its answer unread")
        raise SilentError("the stream stalled", sent=True)

    async def _move(
        self, receive_chunk: Callable[[], Awaitable[bytes]], progress: Progress
    ) -> None:
        assembler = self._assembler
        write = self._sink.write
        while not assembler.finished:
            chunk = await receive_chunk()
            if not chunk:
                raise BrokenError("closed without the terminal event", sent=True)
            events = assembler.feed(chunk)
            if events:
                if not self.first_at:
                    self.first_at = trio.current_time()
                    self._on_first()
                progress.limit_s = self._caller_stall_s
                progress.n_steps += 1
                self._writing = True
                await write(events)
                self._writing = False
            if assembler.fault is not None and not assembler.finished:
                raise WrongAnswerError(assembler.fault.value, sent=True)
            progress.limit_s = self._stall_s
            progress.n_steps += 1
