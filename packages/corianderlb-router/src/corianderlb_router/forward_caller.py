"""The caller's side of a forwarded request."""

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
    """Raised when an answer that has begun cannot be completed.

    The connection closes without the final chunk, so that the caller does not take
    the incomplete answer for a complete one.
    """


class ForwardCaller(CallerExchange):
    """Exchange with the caller of one forwarded request."""

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        super().__init__(scope, receive, send)
        self.status = 0
        """Status of the answer, once it has begun."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        self.status = status
        await super().start(status, headers)

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
