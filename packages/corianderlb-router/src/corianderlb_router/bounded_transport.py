"""Transport for httpx that reads whole answers, within bounds of size and time.

For calls whose answer is used as a whole: those about an instance and those to the
store. The timeouts of httpx apply to each read, so a remote side that keeps sending
would be read for as long as it likes. An encoded answer is refused, since a decoder can
return a thousand times what it is fed.
"""

from __future__ import annotations

import math
from contextlib import aclosing
from typing import Final

import httpx
import trio

from corianderlb_core.data_class import dataclass

IDENTITY: Final = "identity"
"""Content coding of plain bytes, the only one that is asked for and accepted."""

N_PARTS_A_STEP: Final = 64
"""Parts of an answer after which other tasks run; a part can be as short as a byte."""


class AnswerTooLongError(httpx.TransportError):
    """Raised for an answer that is longer than any that the caller has a use for."""


@dataclass(frozen=True)
class AnswerBounds:
    """Bounds of the answers that are read at a time."""

    max_bytes: int
    """Longest body."""
    room_bytes: int
    """Most bytes of all answers at a time, except for the start of each."""
    start_bytes: int = 16 << 10
    """Bytes of each answer that are read even if there is no room.

    An ordinary answer is shorter, so it doesn't fail because of the long ones.
    """


class BoundedTransport(httpx.AsyncBaseTransport):
    """Transport that reads each answer to its end, within bounds.

    Raises ``AnswerTooLongError`` for an answer that exceeds ``bounds`` and
    ``httpx.ReadTimeout`` for an exchange that takes longer than the timeouts for
    connecting and for reading together. For example
    ``BoundedTransport(inner, AnswerBounds(1 << 16, 1 << 20))``.
    """

    def __init__(self, inner: httpx.AsyncBaseTransport, bounds: AnswerBounds) -> None:
        self._inner = inner
        self._bounds = bounds
        self.n_held_bytes = 0
        """Bytes of the answers that are being read."""

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its whole response."""
        request.headers["accept-encoding"] = IDENTITY
        limit_s = _total_s(request)
        with trio.move_on_after(limit_s):
            response = await self._inner.handle_async_request(request)
            try:
                content = await self._read(request, response)
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()
            # As a stream, since a header would be added to other content.
            return httpx.Response(
                response.status_code,
                headers=response.headers,
                stream=httpx.ByteStream(content),
            )
        message = f"no complete answer within {limit_s} s"
        raise httpx.ReadTimeout(message, request=request)

    async def _read(self, request: httpx.Request, response: httpx.Response) -> bytes:
        coding = response.headers.get("content-encoding", IDENTITY)
        if coding.strip().lower() not in ("", IDENTITY):
            message = f"the answer has the content coding {coding!r}"
            raise httpx.DecodingError(message, request=request)
        assert isinstance(response.stream, httpx.AsyncByteStream)
        # Parts of a byte each would take many times their length in a list.
        content = bytearray()
        n_parts = 0
        try:
            # A generator that is left to the garbage collector is a warning of trio.
            async with aclosing(aiter(response.stream)) as parts:
                async for part in parts:
                    self.n_held_bytes += len(part)
                    content += part
                    self._check(request, len(content))
                    n_parts += 1
                    if n_parts % N_PARTS_A_STEP == 0:
                        await trio.lowlevel.checkpoint()
        finally:
            self.n_held_bytes -= len(content)
        return bytes(content)

    def _check(self, request: httpx.Request, n_bytes: int) -> None:
        """Raise ``AnswerTooLongError`` if no more of an answer may be read."""
        bounds = self._bounds
        if n_bytes > bounds.max_bytes:
            message = f"the answer is longer than {bounds.max_bytes} bytes"
            raise AnswerTooLongError(message, request=request)
        if n_bytes > bounds.start_bytes and self.n_held_bytes > bounds.room_bytes:
            message = f"the answers exceed {bounds.room_bytes} bytes together"
            raise AnswerTooLongError(message, request=request)

    async def aclose(self) -> None:
        """Close the inner transport."""
        await self._inner.aclose()


def _total_s(request: httpx.Request) -> float:
    """Return the time for a whole exchange; infinite without timeouts."""
    timeout = request.extensions.get("timeout", {})
    limits = [timeout.get(name) for name in ("connect", "read")]
    return sum(math.inf if limit is None else limit for limit in limits)
