"""The caller's side of a forwarded request: answers as they are, or cut visibly."""

from __future__ import annotations

from typing import Any

from corianderlb_core.request import Refusal
from corianderlb_core.result import RESULT_INFO

from .caller import (
    JSON_TYPE,
    CallerExchange,
    CallerGoneError,
    Headers,
    Receive,
    Send,
    error_body,
)


class StreamCutError(CallerGoneError):
    """Signal an answer that began and cannot be finished.

    The connection closes without the end of the body, so that the caller sees that
    the answer is not whole; an end mark would pass half an answer off as the whole.
    """


class ForwardCaller(CallerExchange):
    """Hold one forwarded request; its answer carries the upstream's headers alone."""

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        super().__init__(scope, receive, send)
        self.status = 0
        """Status of the answer, once it has begun."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.status = status
        await super().start(status, headers)

    async def fail(self, refusal: Refusal) -> None:
        """End with an error of the router's own, before any answer has begun."""
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
