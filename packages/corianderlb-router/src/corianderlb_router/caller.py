"""One caller's exchange over ASGI: read the request, answer it, notice it leaving."""

from __future__ import annotations

import json
import math
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias

import trio

from corianderlb_core import header
from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import DecisionId, RequestId
from corianderlb_core.request import Refusal
from corianderlb_core.result import RESULT_INFO, ResultCode

Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]
Headers: TypeAlias = list[tuple[bytes, bytes]]

JSON_TYPE: Final = (b"content-type", b"application/json")
"""The content type of errors and whole answers."""


class RequestRefusedError(CorianderError):
    """Signal that a request ends here, with a refusal for its caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.code = refusal.code


def refuse(code: ResultCode, detail: str, retry_after_s: float = 0.0):
    """Return the exception that ends a request with a refusal."""
    return RequestRefusedError(Refusal(code, detail, retry_after_s))


def error_body(refusal: Refusal) -> bytes:
    """Return the JSON that tells a caller what went wrong and what to do."""
    info = RESULT_INFO[refusal.code]
    error = {
        "code": int(refusal.code),
        "name": refusal.code.name,
        "message": f"{refusal.detail} {info.advice}".strip(),
        "ran": info.ran.value,
        "retry_after_s": refusal.retry_after_s,
    }
    return json.dumps({"error": error}).encode()


class CallerGoneError(CorianderError):
    """Signal that the caller hung up before its request was read."""


class CallerStalledError(CorianderError):
    """Signal a caller that left its answer unread for too long.

    Without a bound such callers would pile up, hold connections and engine slots,
    and keep a draining router from its end.
    """


class CallerExchange:
    """Hold one request of a caller and the state of its answer."""

    def __init__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.raw_path: bytes = scope.get("raw_path") or self.path.encode()
        self.query: bytes = scope.get("query_string", b"")
        self.raw_headers: Headers = scope["headers"]
        self.request_id = RequestId(uuid.uuid4().hex)
        self.decision_id = DecisionId("")
        """Set by the dispatcher; on every answer."""
        self.is_understood = False
        """True once the request was parsed and its sender is known."""
        self.catalogue_version = 0
        self.started = False
        """True once the head of the answer is out."""
        self.finished = False
        """True once the whole answer is out."""
        self.arrived_at = trio.current_time()
        self.first_byte_at = 0.0
        """When the answer began, on the router's clock."""
        self.result = ResultCode.OK
        """How the exchange ended."""
        self.service_class = ServiceClass.STANDARD
        """Set once the request is parsed."""
        self.stall_s = math.inf
        """How long the caller may leave an answer unread."""
        self.closing = False
        """True when the answer asks the caller to close its connection."""
        self.replayed = False
        """True when the answer is the one of an earlier run of the same call."""

    def header(self, name: str) -> str | None:
        """Return a request header, or None."""
        wanted = name.encode()
        for key, value in self.raw_headers:
            if key == wanted:
                return value.decode("latin-1")
        return None

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body; refuse one above the limit without reading it all."""
        parts: list[bytes] = []
        n_bytes = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError("the caller left before its request was read")
            parts.append(message.get("body", b""))
            n_bytes += len(parts[-1])
            if n_bytes > limit:
                detail = f"The body is longer than {limit} bytes."
                raise refuse(ResultCode.BODY_TOO_LARGE, detail)
            if not message.get("more_body"):
                return b"".join(parts)

    async def wait_gone(self) -> None:
        """Return when the caller has hung up."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer, with the headers that every answer has."""
        self.started = True
        self.first_byte_at = trio.current_time()
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers + self._common_headers(),
            }
        )

    async def write(self, data: bytes) -> None:
        """Send part of the body; waits while the caller does not read."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": data})

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer; raise ``CallerStalledError`` when it is not read."""
        with trio.move_on_after(self.stall_s) as scope:
            await self.start(status, [*headers, (b"content-length", b"%d" % len(body))])
            await self.finish(body)
        if scope.cancelled_caught:
            raise CallerStalledError("the caller left its answer unread")

    async def fail(self, refusal: Refusal) -> None:
        """End with an error: a whole answer, or an event in a stream that began."""
        self.result = refusal.code
        body = error_body(refusal)
        if self.started:
            with trio.move_on_after(self.stall_s):
                await self.finish(b"event: error\ndata: " + body + b"\n\n")
            return
        headers = [JSON_TYPE]
        if refusal.retry_after_s > 0:
            seconds = math.ceil(refusal.retry_after_s)
            headers.append((b"retry-after", b"%d" % seconds))
        await self.answer(RESULT_INFO[refusal.code].status, headers, body)

    def _common_headers(self) -> Headers:
        headers = common_headers(
            self.request_id, self.decision_id, self.catalogue_version, self.result
        )
        if self.closing:
            headers.append((b"connection", b"close"))
        if self.replayed:
            headers.append((header.REPLAYED.encode(), b"true"))
        return headers


def common_headers(
    request_id: RequestId, decision_id: DecisionId, version: int, result: ResultCode
) -> Headers:
    """Return the headers that every answer of the router carries."""
    return [
        (header.REQUEST_ID.encode(), request_id.encode()),
        (header.DECISION_ID.encode(), decision_id.encode()),
        (header.CATALOGUE_VERSION.encode(), b"%d" % version),
        (header.RESULT_CODE.encode(), b"%d" % result),
    ]
