"""Tests of the end of an upstream's response."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

import trio
import trio.testing

from corianderlb_router.connection import (
    BrokenError,
    Connection,
    OutgoingRequest,
    SocketStream,
)
from corianderlb_standins.trio_case import RealTimeTestCase, TrioTestCase

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


def a_connection() -> tuple[socket.socket, socket.socket]:
    """Return both sides of a connection over loopback."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        raw = socket.create_connection(server.getsockname())
        return raw, server.accept()[0]


def write(stream: SocketStream, raw: socket.socket) -> None:
    """Write to a connection that has failed."""
    with suppress(trio.BrokenResourceError):
        stream.send_at_once(b"more")


READERS_OF_ERRORS: dict[str, Callable[[SocketStream, socket.socket], object]] = {
    "nobody": lambda stream, raw: None,
    "write": write,
    "has_arrived": lambda stream, raw: stream.has_arrived,
    "has_ended": lambda stream, raw: stream.has_ended,
    "option": lambda stream, raw: raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
}
"""Who is told of an error of a connection before the next read, by name."""


class FailedConnectionTest(RealTimeTestCase):
    async def test_reset_that_another_was_told_of(self) -> None:
        """Guards against a reset that looks like the end of a stream."""
        for name, take_error in READERS_OF_ERRORS.items():
            for ends_first in (False, True):
                raw, remote = a_connection()
                stream = SocketStream(raw)
                remote.sendall(b"part")
                if ends_first:
                    remote.shutdown(socket.SHUT_WR)
                SocketStream(remote).set_reset_on_close(True)
                remote.close()
                if not ends_first:
                    # What has arrived before is not lost.
                    self.assertEqual(await stream.receive_some(), b"part")
                take_error(stream, raw)
                if ends_first:
                    self.assertEqual(await stream.receive_some(), b"part")
                with self.subTest(name, ends_first=ends_first):
                    with self.assertRaises(trio.BrokenResourceError):
                        await stream.receive_some()
                    with self.assertRaises(trio.BrokenResourceError):
                        await stream.wait_until_delivered()
                    self.assertTrue(stream.has_failed)
                stream.close()

    async def test_end_that_is_none_of_a_reset(self) -> None:
        """Guards against whole answers that count as cut."""
        for ends_writes in (False, True):
            raw, remote = a_connection()
            stream = SocketStream(raw)
            stream.send_at_once(b"request")
            remote.recv(64)
            if ends_writes:
                stream.end_writes()
                self.assertEqual(remote.recv(64), b"")
            remote.sendall(b"whole")
            remote.close()
            self.assertEqual(await stream.receive_some(), b"whole")
            self.assertEqual(await stream.receive_some(), b"")
            await stream.wait_until_delivered()
            self.assertFalse(stream.has_failed)
            stream.close()
