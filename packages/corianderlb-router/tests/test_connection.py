"""The end of an upstream's answer, however it arrives."""

from __future__ import annotations

import trio
import trio.testing

from corianderlb_router.connection import BrokenError, Connection, OutgoingRequest
from corianderlb_standins.trio_case import TrioTestCase

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"5\r\nhello\r\n"
END = b"0\r\n\r\n"


async def receive_all(*pieces: bytes) -> bytes:
    """Return the body of an answer that arrives in these pieces, then the end."""
    ours, theirs = trio.testing.memory_stream_pair()
    conn = Connection(ours, "10.0.0.1:80", 0)
    request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")], b"")
    await conn.send_request(request)
    body = b""

    async def answer() -> None:
        for piece in pieces:
            await theirs.send_all(piece)
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
    async def test_end_in_the_last_piece_of_a_closing_upstream(self) -> None:
        # An upstream that leaves says that it closes, and sends the last event of a
        # stream together with the end of its body. Taken for a cut, the caller's
        # stream would break off although every event was there.
        body = await receive_all(HEAD, CHUNK + END)
        self.assertEqual(body, b"hello")

    async def test_end_in_a_piece_of_its_own(self) -> None:
        body = await receive_all(HEAD, CHUNK, END)
        self.assertEqual(body, b"hello")

    async def test_cut_before_the_end(self) -> None:
        # The upstream dies before the end of the body. The caller must see a cut, not
        # a whole answer.
        with self.assertRaises(BrokenError):
            await receive_all(HEAD, CHUNK)
