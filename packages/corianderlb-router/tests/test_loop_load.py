"""Tests of shedding new connections while the event loop has too much to do."""

from __future__ import annotations

import time
import unittest

import trio

from corianderlb_router.connection_guard import ConnectionGuard
from corianderlb_router.http_server import HttpServer, HttpServerSettings
from corianderlb_router.loop_load import CALM_S, INTERVAL_S, TARGET_S, LoopLoad
from corianderlb_standins.trio_case import RealTimeTestCase


class Clock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class LoopLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.load = LoopLoad(self.clock)

    def run_passes(self, pass_s: float, for_s: float) -> None:
        """Run passes of a length for a time."""
        for _ in range(max(1, round(for_s / pass_s))):
            self.load.after_io_wait(0.0)
            self.clock.now += pass_s
            self.load.before_io_wait(0.0)

    def test_single_long_passes_are_no_overload(self) -> None:
        """Guards against turning callers away for a pause of the process."""
        for _ in range(20):
            self.run_passes(0.08, 0.08)
            self.run_passes(0.001, 0.02)
            self.assertFalse(self.load.is_overloaded)

    def test_long_passes_that_stay_are_overload(self) -> None:
        self.run_passes(2 * TARGET_S, INTERVAL_S / 2)
        self.assertFalse(self.load.is_overloaded)
        self.run_passes(2 * TARGET_S, INTERVAL_S)
        self.assertTrue(self.load.is_overloaded)

    def test_work_is_let_in_after_a_short_pass(self) -> None:
        self.run_passes(2 * TARGET_S, 2 * INTERVAL_S)
        self.run_passes(TARGET_S / 2, TARGET_S / 2)
        self.assertFalse(self.load.is_overloaded)
        self.run_passes(2 * TARGET_S, 2 * TARGET_S)
        self.assertTrue(self.load.is_overloaded)

    def test_overload_ends(self) -> None:
        """Guards against a router that turns callers away after the crowd has gone."""
        self.run_passes(2 * TARGET_S, 2 * INTERVAL_S)
        self.run_passes(TARGET_S / 2, CALM_S + TARGET_S)
        self.run_passes(2 * TARGET_S, 2 * TARGET_S)
        self.assertFalse(self.load.is_overloaded)

    def test_idle_loop_is_not_overloaded(self) -> None:
        self.run_passes(2 * TARGET_S, 2 * INTERVAL_S)
        self.clock.now += 10.0
        self.assertFalse(self.load.is_overloaded)


async def answer_ok(scope, receive, send) -> None:
    """Serve any request with an empty answer."""
    if scope["type"] == "lifespan":
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return
    start = {"type": "http.response.start", "status": 200}
    await send({**start, "headers": [(b"content-length", b"0")]})
    await send({"type": "http.response.body", "body": b""})


class ShedTest(RealTimeTestCase):
    async def test_new_connections_are_closed_unread(self) -> None:
        is_overloaded = False
        cfg = HttpServerSettings("callers", "127.0.0.1:0", 4096)
        guard = ConnectionGuard()
        server = HttpServer(answer_ok, cfg, guard, lambda: is_overloaded)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(server.run, trio.sleep_forever)
            kept = await connect(address)
            self.assertEqual(await ask(kept), b"HTTP/1.1 200")
            is_overloaded = True
            began_at = time.monotonic()
            refused = await connect(address)
            self.assertEqual(await ask(refused), b"")
            self.assertLess(time.monotonic() - began_at, 0.5)
            # An open connection goes on.
            self.assertEqual(await ask(kept), b"HTTP/1.1 200")
            is_overloaded = False
            self.assertEqual(await ask(await connect(address)), b"HTTP/1.1 200")
            self.assertEqual(server.n_shed, 1)
            nursery.cancel_scope.cancel()


async def connect(address: str) -> trio.SocketStream:
    """Open a connection to a server."""
    host, port = address.rsplit(":", 1)
    return await trio.open_tcp_stream(host, int(port))


async def ask(stream: trio.SocketStream) -> bytes:
    """Send a request; return the start of the answer, or nothing without one."""
    try:
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        with trio.fail_after(2):
            return (await stream.receive_some(4096))[:12]
    except trio.BrokenResourceError:
        return b""
