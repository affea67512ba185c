"""The caller's side of a forwarded request."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Any, Final

import trio

from corianderlb_core.held_memory import Holding
from corianderlb_core.request import Refusal
from corianderlb_core.result import RESULT_INFO, ResultCode

from ._http_connection import CONNECTION, HttpConnection
from .caller import (
    JSON_TYPE,
    CallerExchange,
    CallerGoneError,
    CallerStalledError,
    Headers,
    Receive,
    Send,
    error_body,
    refuse,
)
from .caller_memory import STREAM_BYTES, CallerMemory

NOT_HELD_DETAIL: Final = "This router holds too much for this account."

HELD_RETRY_S: Final = 1.0
"""Retry-after time of a request for which nothing may be held: about the time after
which callers that don't read are cut off."""


class CutReason(StrEnum):
    """Why an answer that had begun was not completed."""

    SHUTDOWN = "shutdown"
    """The grace period of this router was over."""
    DEADLINE = "deadline"
    SILENCE = "silence"
    """Its instance sent nothing for too long."""
    UPSTREAM = "upstream"
    """Its instance failed, or none could go on."""
    CALLER = "caller"
    """The caller left or stopped reading."""


class StreamCutError(CallerGoneError):
    """Raised when an answer that has begun cannot be completed.

    The connection closes without the final chunk, so that the caller does not take
    the incomplete answer for a complete one.
    """

    def __init__(self, detail: str, reason: CutReason = CutReason.UPSTREAM) -> None:
        super().__init__(detail)
        self.reason = reason


class ForwardCaller(CallerExchange):
    """Exchange with the caller of one forwarded request."""

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        super().__init__(scope, receive, send)
        self.status = 0
        """Status of the answer, once it has begun."""
        self.is_cut = False
        """Whether the router closed the connection since its caller does not read."""
        self.cut_reason: CutReason | None = None
        """Why an answer that had begun was not completed; None if none was cut."""
        self._connection: HttpConnection | None = scope.get(CONNECTION)
        self._memory: CallerMemory | None = None
        self._holding: Holding | None = None
        self._n_answer = 0
        """Bytes of the answer that are accounted for."""

    def account_for(self, memory: CallerMemory, owner: str, is_stream: bool) -> None:
        """Account from now on for what is held for this caller."""
        self._memory, self._holding = memory, memory.open(owner, self._cut)
        if self._connection is not None:
            # The timeout of each write is then that of the connection.
            self.stall_s = math.inf
            self._connection.on_progress = self._progressed
        if is_stream:
            self.hold_body(STREAM_BYTES)
            self._n_answer = STREAM_BYTES

    def release(self) -> None:
        """Account for nothing any more."""
        if self._memory is not None and self._holding is not None:
            self._memory.close(self._holding)
        if self._connection is not None:
            self._connection.on_progress = lambda: None

    def hold_body(self, n_bytes: int) -> None:
        """Account for a part of the body, or refuse the request."""
        if not self._may_hold(n_bytes):
            raise refuse(ResultCode.MEMORY_FULL, NOT_HELD_DETAIL, HELD_RETRY_S)

    def hold_answer(self, n_bytes: int) -> None:
        """Account for an answer, or what is held of it, in place of an earlier one.

        End the request if it may not be held.
        """
        if not self._may_hold(n_bytes - self._n_answer):
            raise refuse(ResultCode.ANSWER_NOT_HELD, NOT_HELD_DETAIL)
        self._n_answer = n_bytes

    def _may_hold(self, n_bytes: int) -> bool:
        if self._memory is None or self._holding is None:
            return True
        return self._memory.hold(self._holding, n_bytes)

    def _cut(self) -> None:
        self.is_cut = True
        if self._connection is not None:
            self._connection.close()

    def _progressed(self) -> None:
        if self._holding is not None and self._holding.unread_since < math.inf:
            self._holding.unread_since = trio.current_time()

    async def write(self, data: bytes) -> None:
        """Send part of the body; block while the caller does not read."""
        holding = self._holding
        if holding is None:
            await super().write(data)
            return
        n_usual = self._n_answer
        if len(data) > n_usual:
            self.hold_answer(len(data))
        holding.unread_since = trio.current_time()
        try:
            if self._connection is None:
                await super().write(data)
            else:
                await trio.lowlevel.checkpoint_if_cancelled()
                await self._connection.send_part(data)
        finally:
            holding.unread_since = math.inf
            if self._n_answer > n_usual:
                self._may_hold(n_usual - self._n_answer)
                self._n_answer = n_usual
        self._check_connection()

    async def _send_uncancelled(self, message: dict[str, Any]) -> None:
        holding = self._holding
        if holding is None:
            await super()._send_uncancelled(message)
            return
        holding.unread_since = trio.current_time()
        try:
            if self._connection is None:
                await super()._send_uncancelled(message)
            else:
                # It cancels no write, and has a timeout of its own.
                await self._send(message)
        finally:
            holding.unread_since = math.inf
        self._check_connection()

    @property
    def has_left(self) -> bool:
        """Whether the caller has left, also if no task has been told yet."""
        return self._connection is not None and self._connection.look_for_end()

    @property
    def _has_whole_request(self) -> bool:
        return self._connection is not None and self._connection.has_whole_request

    @property
    def _sends_at_once(self) -> bool:
        return self._connection is not None

    def _check_connection(self) -> None:
        """Raise if the connection was closed during a write, which ends without one."""
        if self.is_cut or (self._connection and self._connection.has_timed_out):
            raise CallerStalledError("the caller stopped reading its answer")

    async def start(
        self,
        status: int,
        headers: Headers,
        more_follows: bool = False,
        ends_by_close: bool = False,
    ) -> None:
        """Send the head of the answer."""
        self.status = status
        await super().start(status, headers, more_follows, ends_by_close)

    async def fail(self, refusal: Refusal) -> None:
        """Answer with a refusal; raise ``StreamCutError`` if an answer has begun."""
        self.result = refusal.code
        if self.started:
            raise StreamCutError(refusal.detail)
        headers = [JSON_TYPE]
        if refusal.retry_after_s > 0:
            headers.append((b"retry-after", b"%.2f" % refusal.retry_after_s))
        status = RESULT_INFO[refusal.code].status
        await self.answer(status, headers, error_body(refusal))

    def _common_headers(self) -> Headers:
        return [(b"connection", b"close")] if self.closing else []
