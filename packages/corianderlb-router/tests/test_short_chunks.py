"""Tests of requests whose body arrives in chunks of a byte each."""

from __future__ import annotations

import time
import tracemalloc
from contextlib import suppress
from typing import Any

import trio

from corianderlb_router.caller import CallerExchange
from corianderlb_router.connection_guard import ConnectionGuard
from corianderlb_router.http_server import HttpServer, HttpServerSettings
from corianderlb_standins._asgi import serve_lifespan
from corianderlb_standins.trio_case import RealTimeTestCase

BOUND_S = 30.0
HEAD = b"POST / HTTP/1.1\r\nhost: r\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNK = b"1\r\nx\r\n"

N_CHUNKS = 100_000

MAX_BUSY_S = 0.08
"""Longest time for which a caller may keep the event loop from all others."""


class Loop:
    """Longest processor time between two passes of the event loop."""

    def __init__(self) -> None:
        self.busy_s = 0.0

    async def watch(self) -> None:
        """Watch until cancelled."""
        while True:
            began_at = time.process_time()
            await trio.lowlevel.checkpoint()
            self.busy_s = max(self.busy_s, time.process_time() - began_at)


class ShortChunksTest(RealTimeTestCase):
    async def ask(self, app: Any, body: bytes) -> tuple[bytes, Loop]:
        """Return the start of the answer to a request, and how busy the loop was."""
        cfg, loop = HttpServerSettings("callers", "127.0.0.1:0", 1 << 16), Loop()
        server = HttpServer(app, cfg, ConnectionGuard())
        with trio.fail_after(BOUND_S):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.run, trio.sleep_forever)
                host, port = address.rsplit(":", 1)
                conn = await trio.open_tcp_stream(host, int(port))
                nursery.start_soon(loop.watch)
                nursery.start_soon(send, conn, HEAD + body)
                answer = await conn.receive_some()
                await trio.sleep(0.2)
                nursery.cancel_scope.cancel()
        return answer, loop

    async def test_body_that_is_read(self) -> None:
        """Guards against a caller that blocks the router with short chunks."""
        answer, loop = await self.ask(echo_length, N_CHUNKS * CHUNK + b"0\r\n\r\n")
        self.assertTrue(answer.endswith(b"\r\n\r\n%d" % N_CHUNKS), answer)
        self.assertLess(loop.busy_s, MAX_BUSY_S)

    async def test_body_that_is_not_asked_for(self) -> None:
        """Guards against a refused caller that blocks the router."""
        answer, loop = await self.ask(refuse, N_CHUNKS * CHUNK)
        self.assertTrue(answer.startswith(b"HTTP/1.1 401"), answer)
        self.assertLess(loop.busy_s, MAX_BUSY_S)

    async def test_memory_of_short_parts(self) -> None:
        """Guards against a body that takes many times its length."""
        n_left = N_CHUNKS

        async def receive() -> dict[str, Any]:
            nonlocal n_left
            n_left -= 1
            return {"type": "http.request", "body": bytes(2), "more_body": n_left > 0}

        scope = {"method": "POST", "path": "/", "headers": []}
        caller = CallerExchange(scope, receive, receive)
        tracemalloc.start()
        body = await caller.read_body(1 << 20, trio.current_time() + BOUND_S)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertLess(peak, 4 * len(body))


async def echo_length(scope: Any, receive: Any, send: Any) -> None:
    """Answer with the length of the body."""
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
        return
    caller = CallerExchange(scope, receive, send)
    body = await caller.read_body(1 << 20, trio.current_time() + BOUND_S)
    await caller.answer(200, [], b"%d" % len(body))


async def refuse(scope: Any, receive: Any, send: Any) -> None:
    """Answer without reading the body, once some of it has arrived."""
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
        return
    await trio.sleep(0.1)
    await CallerExchange(scope, receive, send).answer(401, [], b"")


async def send(conn: trio.SocketStream, data: bytes) -> None:
    """Send what the router takes."""
    with suppress(trio.BrokenResourceError):
        await conn.send_all(data)
