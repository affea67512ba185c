"""Relay the events of one attempt from the upstream to a sink.

This is the router's hot loop: one read, one check and one write for all events that
arrive together.
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
"""Response headers of a streamed answer."""


class AnswerTooLongError(CorianderError):
    """Raised when a buffered answer exceeds the size limit."""

    code = ResultCode.UPSTREAM_FAILED


class EventSink(ABC):
    """Destination of verified events, in order."""

    @abstractmethod
    async def write(self, events: bytes) -> None:
        """Write one or more complete events; block while the sink is not ready."""


class CallerSink(EventSink):
    """Forward events to a caller that requested a stream."""

    def __init__(self, caller: CallerExchange) -> None:
        self._caller = caller

    async def write(self, events: bytes) -> None:
        """Send events; send the response head before the first ones."""
        if not self._caller.started:
            await self._caller.start(200, SSE_HEADERS)
        await self._caller.write(events)


class AnswerSink(EventSink):
    """Buffer events for a caller that requested a complete answer."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._n_bytes = 0
        self._parts: list[bytes] = []

    async def write(self, events: bytes) -> None:
        """Buffer events; raise ``AnswerTooLongError`` above the limit in bytes."""
        self._n_bytes += len(events)
        if self._n_bytes > self._limit:
            raise AnswerTooLongError(f"the answer is longer than {self._limit} bytes")
        self._parts.append(events)

    @property
    def stream(self) -> bytes:
        """All buffered events."""
        return b"".join(self._parts)


class StreamRelay:
    """Copy the events of one attempt to a sink and detect stalls on either side."""

    def __init__(
        self,
        assembler: StreamAssembler,
        sink: EventSink,
        stalls: StallWatch,
        cfg: DataPathSettings,
        on_first_event: Callable[[], None],
    ) -> None:
        self._assembler = assembler
        self._sink = sink
        self._stalls = stalls
        self._stall_s = cfg.stall_timeout_s
        self._caller_stall_s = cfg.caller_stall_timeout_s
        self._on_first_event = on_first_event
        self.first_at = 0.0
        """Arrival time of the first event on the router's clock; 0 before it."""
        self._writing = False

    async def run(self, response: httpx.Response, first_s: float) -> None:
        """Return after the terminal event; raise an ``UpstreamError`` otherwise.

        ``first_s`` is the timeout of the first event. A close without the terminal
        event is a failure even when it is clean, since the caller would take a
        truncated answer for a complete one.
        """
        receive_chunk = response.extensions[EXCHANGE].receive_chunk
        with self._stalls.watch(first_s) as progress:
            await self._copy_events(receive_chunk, progress)
        if not progress.stalled:
            return
        if self._writing:
            raise CallerStalledError("the caller stopped reading its answer")
        raise SilentError("the stream stalled", sent=True)

    async def _copy_events(
        self, receive_chunk: Callable[[], Awaitable[bytes]], progress: Progress
    ) -> None:
        assembler = self._assembler
        write = self._sink.write
        while not assembler.finished:
            chunk = await receive_chunk()
            if not chunk:
                raise BrokenError(
                    "connection closed before the terminal event", sent=True
                )
            events = assembler.feed(chunk)
            if events:
                if not self.first_at:
                    self.first_at = trio.current_time()
                    self._on_first_event()
                progress.limit_s = self._caller_stall_s
                progress.n_steps += 1
                self._writing = True
                await write(events)
                self._writing = False
            if assembler.fault is not None and not assembler.finished:
                raise WrongAnswerError(assembler.fault.value, sent=True)
            progress.limit_s = self._stall_s
            progress.n_steps += 1
