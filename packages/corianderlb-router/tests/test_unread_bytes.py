"""Tests of connections that are closed while bytes on them are unread, over loopback.

The kernel then resets the connection, and what it has not delivered is lost.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from corianderlb_router.caller import CallerExchange
from corianderlb_router.connection import OutgoingRequest, TcpConnector
from corianderlb_router.connection_guard import ConnectionGuard
from corianderlb_router.http_server import HttpServer, HttpServerSettings
from corianderlb_router.transport import SendSettings, UpstreamTransport
from corianderlb_standins._asgi import serve_lifespan
from corianderlb_standins.trio_case import RealTimeTestCase

BOUND_S = 20.0
"""Timeout of a test."""

LARGE = bytes(range(256)) * 2048
"""Answer that the buffers of a slow caller don't hold."""

GET = b"GET / HTTP/1.1\r\nhost: r\r\n"
LAST = GET + b"connection: close\r\n\r\n"


async def answer_unread(scope: Any, receive: Any, send: Any) -> None:
    """Answer each request without reading its body."""
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
        return
    status, body = (413, b"long") if scope["method"] == "POST" else (200, LARGE)
    await CallerExchange(scope, receive, send).answer(status, [], body)


async def read_to_end(conn: trio.SocketStream, pause_s: float = 0.0) -> bytes:
    """Return what arrives until the connection ends, read in small parts."""
    data = b""
    while part := await conn.receive_some(1 << 14):
        data += part
        await trio.sleep(pause_s)
    return data


LONG_BODY = bytes(1 << 24)
"""Body that the buffers of a connection don't hold."""

REFUSED = b"HTTP/1.1 503 Full\r\ncontent-length: 4\r\n\r\nfull"


async def refuse_and_close(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(REFUSED)
    await trio.aclose_forcefully(stream)


async def refuse_and_wait(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    await stream.send_all(REFUSED)
    await trio.sleep_forever()


async def answer_while_reading(stream: trio.SocketStream) -> None:
    """Begin the answer at once, and end it once the whole request was read."""
    data = await stream.receive_some()
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfu")
    n_left = len(LONG_BODY) - len(data.partition(b"\r\n\r\n")[2])
    while n_left:
        await trio.sleep(0.001)
        n_left -= len(await stream.receive_some(1 << 20))
    await stream.send_all(b"ll")


class UnreadBytesTest(RealTimeTestCase):
    async def test_instance_that_answers_before_the_body_is_read(self) -> None:
        """Guards against a refusal that is lost, so that its request may have run."""
        cases = (
            (refuse_and_close, 503),
            (refuse_and_wait, 503),
            (answer_while_reading, 200),
        )
        headers = [(b"host", b"h"), (b"content-length", b"%d" % len(LONG_BODY))]
        request = OutgoingRequest(b"POST", b"/", headers, LONG_BODY)
        for host, status in cases:
            transport = UpstreamTransport(TcpConnector())
            with self.subTest(host.__name__), trio.fail_after(BOUND_S):
                async with trio.open_nursery() as nursery:
                    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                    nursery.start_soon(trio.serve_listeners, host, listeners)
                    port = listeners[0].socket.getsockname()[1]
                    cfg = SendSettings(connect_s=1.0, write_s=2.0)
                    address = f"127.0.0.1:{port}"
                    answer = await transport.send(address, request, cfg)
                    body = b""
                    while part := await answer.exchange.receive_chunk():
                        body += part
                    self.assertEqual((answer.status, body), (status, b"full"))
                    await answer.exchange.aclose()
                    nursery.cancel_scope.cancel()

    async def serve(self, test: Callable[[str, int], Awaitable[None]]) -> None:
        cfg = HttpServerSettings("callers", "127.0.0.1:0", 1 << 14)
        server = HttpServer(answer_unread, cfg, ConnectionGuard())
        with trio.fail_after(BOUND_S):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.run, trio.sleep_forever)
                host, _, port = address.rpartition(":")
                await test(host, int(port))
                nursery.cancel_scope.cancel()

    @staticmethod
    async def connect(host: str, port: int) -> trio.SocketStream:
        """Return a connection whose caller takes little at once."""
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
        await sock.connect((host, port))
        return trio.SocketStream(sock)

    async def test_request_that_crosses_the_close(self) -> None:
        """Guards against a reset that takes the end of the answer before."""

        async def check(host: str, port: int) -> None:
            for ahead in (GET + b"\r\n", b"\r\n", b"no HTTP\r\n\r\n"):
                conn = await self.connect(host, port)
                await conn.send_all(LAST)
                await trio.sleep(0.05)
                await conn.send_all(ahead)
                answer = await read_to_end(conn, 0.001)
                self.assertTrue(answer.endswith(LARGE), (ahead, len(answer)))
                self.assertEqual(answer.count(b"HTTP/1.1"), 1)

        await self.serve(check)

    async def test_body_that_arrives_after_the_answer(self) -> None:
        """Guards against a reset while a caller sends a body that was refused."""

        async def check(host: str, port: int) -> None:
            n_bytes = 1 << 23
            head = b"POST / HTTP/1.1\r\nhost: r\r\ncontent-length: %d\r\n\r\n"
            conn = await self.connect(host, port)
            await conn.send_all(head % n_bytes)
            for _ in range(n_bytes >> 16):
                await conn.send_all(bytes(1 << 16))
                await trio.sleep(0.001)
            answer = await read_to_end(conn)
            self.assertTrue(answer.endswith(b"\r\n\r\nlong"), answer)

        await self.serve(check)

    async def test_head_that_is_refused(self) -> None:
        """Guards against a reset that takes the refusal of a long head."""

        async def check(host: str, port: int) -> None:
            conn = await self.connect(host, port)
            await conn.send_all(GET + b"x: " + bytes(b"x" * (1 << 19)))
            answer = await read_to_end(conn)
            self.assertTrue(answer.startswith(b"HTTP/1.1 431"), answer)

        await self.serve(check)
