"""Tests of answers whose request is cancelled while the server writes them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from corianderlb_router.caller import CallerExchange, CallerStalledError
from corianderlb_router.caller_run import run_for_caller
from corianderlb_router.connection_guard import ConnectionGuard
from corianderlb_router.forward_caller import ForwardCaller
from corianderlb_router.http_server import HttpServer, HttpServerSettings
from corianderlb_standins.trio_case import RealTimeTestCase, TrioTestCase

SCOPE = {"type": "http", "method": "GET", "path": "/", "headers": []}

Step = Callable[[CallerExchange], Awaitable[None]]


class CountingServer:
    """Server that counts a message as sent and is then cancelled before it writes."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.counted: list[str] = []
        self.written: list[str] = []

    async def receive(self) -> dict[str, Any]:
        await trio.sleep_forever()

    async def send(self, message: dict[str, Any]) -> None:
        self.counted.append(message["type"])
        self.scope.cancel()
        await trio.lowlevel.checkpoint()
        self.written.append(message["type"])


async def begin(caller: CallerExchange) -> None:
    await caller.start(200, [])


async def write(caller: CallerExchange) -> None:
    await caller.write(b"x")


async def finish(caller: CallerExchange) -> None:
    await caller.finish(b"x")


async def answer(caller: CallerExchange) -> None:
    await caller.answer(200, [], b"x")


class CancelledWriteTest(TrioTestCase):
    async def test_message_that_the_server_has_counted_is_written(self) -> None:
        """Guards against a head or an end that is counted as sent and lost."""
        for step in (begin, finish, answer):
            with self.subTest(step.__name__):
                server = CountingServer()
                caller = ForwardCaller(SCOPE, server.receive, server.send)
                with server.scope:
                    await step(caller)
                self.assertTrue(server.counted)
                self.assertEqual(server.counted, server.written)
                if step is answer:
                    self.assertEqual(len(server.written), 2)

    async def test_nothing_is_sent_after_a_cancellation(self) -> None:
        for step in (begin, write, finish, answer):
            with self.subTest(step.__name__):
                server = CountingServer()
                caller = ForwardCaller(SCOPE, server.receive, server.send)
                server.scope.cancel()
                with server.scope:
                    await step(caller)
                self.assertEqual(server.counted, [])
                self.assertEqual((caller.started, caller.finished), (False, False))

    async def test_caller_that_does_not_read_ends_a_write(self) -> None:
        async def send(message: dict[str, Any]) -> None:
            await trio.sleep_forever()

        for step in (begin, finish, answer):
            caller = ForwardCaller(SCOPE, CountingServer().receive, send)
            caller.stall_s = 2.0
            with trio.fail_after(5.0), self.assertRaises(CallerStalledError):
                await step(caller)

    async def test_answer_that_is_ready_at_the_deadline_is_whole(self) -> None:
        server = CountingServer()
        caller = ForwardCaller(SCOPE, server.receive, server.send)

        async def run() -> None:
            await trio.sleep(0.9999)
            await answer(caller)

        async def send(message: dict[str, Any]) -> None:
            await trio.sleep(0.01)
            server.written.append(message["type"])

        caller._send = send
        await run_for_caller(caller, trio.current_time() + 1.0, run)
        self.assertEqual(len(server.written), 2)
        self.assertTrue(caller.finished)


class ServerTest(RealTimeTestCase):
    async def ask(self, step: Step) -> bytes:
        """Return all that a server answers to a request that is handled by a step."""

        async def app(scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] == "lifespan":
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
                return
            caller = ForwardCaller(scope, receive, send)
            await caller.read_body(100, trio.current_time() + 1)
            await step(caller)

        cfg = HttpServerSettings("callers", "127.0.0.1:0", 1 << 16)
        guard = ConnectionGuard()
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                server = HttpServer(app, cfg, guard)
                address = await nursery.start(server.run, trio.sleep_forever)
                port = int(address.rpartition(":")[2])
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    await stream.send_all(b"GET / HTTP/1.1\r\nhost: r\r\n\r\n")
                    answer = b"".join([part async for part in stream])
                nursery.cancel_scope.cancel()
        self.assertEqual(guard.n_failed, {})
        return answer

    async def test_part_of_a_body_is_whole_after_a_cancellation(self) -> None:
        """Guards against a part that is counted and not sent behind a real server."""

        async def step(caller: CallerExchange) -> None:
            with trio.CancelScope() as cancelled:
                await caller.start(200, [])
                await caller.write(b"first")
                cancelled.cancel()
                await caller.write(b"second")

        answer = await self.ask(step)
        self.assertTrue(answer.endswith(b"5\r\nfirst\r\n"), answer)

    async def test_head_cancelled_at_the_servers_lock(self) -> None:
        """Guards against a second answer as a deadline passes at a head."""

        async def step(caller: CallerExchange) -> None:
            with trio.CancelScope() as cancelled:
                cancelled.cancel()
                await caller.start(200, [])

        self.assertIn(b" 500 ", await self.ask(step))
