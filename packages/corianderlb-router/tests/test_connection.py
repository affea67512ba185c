"""Tests of the end of an upstream's response."""

from __future__ import annotations

import trio
import trio.testing

from corianderlb_router.connection import BrokenError, Connection, OutgoingRequest
from corianderlb_standins.trio_case import TrioTestCase

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"5\r\nhello\r\n"
END = b"0\r\n\r\n"


async def receive_all(*segments: bytes) -> bytes:
    """Return the body of a response that arrives in these segments, then closes."""
    ours, theirs = trio.testing.memory_stream_pair()
    conn = Connection(ours, "10.0.0.1:80", 0)
    request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")], b"")
    await conn.send_request(request)
    body = b""

    async def answer() -> None:
        for segment in segments:
            await theirs.send_all(segment)
            await trio.sleep(0.01)
        await theirs.aclose()

    failure: BrokenError | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        try:
            await conn.receive_head()
            while chunk := await conn.receive_chunk():
                body += chunk
        except BrokenError as exc:
            failure = exc
    if failure is not None:
        raise failure
    return body


class ConnectionEndTest(TrioTestCase):
    async def test_end_together_with_the_last_chunk(self) -> None:
        # The last chunk and the end of the body arrive together, then the upstream
        # closes. The complete response must not be taken for a broken connection.
        body = await receive_all(HEAD, CHUNK + END)
        self.assertEqual(body, b"hello")

    async def test_end_in_a_separate_segment(self) -> None:
        body = await receive_all(HEAD, CHUNK, END)
        self.assertEqual(body, b"hello")

    async def test_connection_closed_before_the_end(self) -> None:
        # A connection that closes before the end of the body is an error, not the end
        # of a complete response.
        with self.assertRaises(BrokenError):
            await receive_all(HEAD, CHUNK)
