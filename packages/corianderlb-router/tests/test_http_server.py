"""Tests of the HTTP server with connections that fail, over loopback."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import eliot
import trio

from corianderlb_router._http_connection import HttpConnection
from corianderlb_router.caller import CallerExchange
from corianderlb_router.connection_guard import PROCESS_FAULTS, ConnectionGuard
from corianderlb_router.http_server import HttpServer, HttpServerSettings
from corianderlb_standins._asgi import serve_lifespan
from corianderlb_standins.connection_texts import (
    HTTP2_PREFACE,
    bad_texts,
    h2c_upgrade,
    random_text,
    websocket_upgrade,
)
from corianderlb_standins.trio_case import RealTimeTestCase

BOUND_S = 20.0
"""Timeout of a test."""

N_RANDOM = 300
"""Random texts that are sent in one test."""

GET = b"GET / HTTP/1.1\r\nhost: r\r\n\r\n"
EXPECT = b"expect: 100-continue\r\n"


class Application:
    """Begins each answer at once and ends it when told to, or when its caller leaves.

    A connection is read by its application, which waits for its caller meanwhile.
    """

    def __init__(self) -> None:
        self.may_end = trio.Event()
        self.n_begun = 0
        self.n_left = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        self.n_begun += 1
        try:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._wait_for_caller, receive, nursery.cancel_scope)
                await self.may_end.wait()
                await send({"type": "http.response.body", "body": b"whole"})
                nursery.cancel_scope.cancel()
        finally:
            self.n_left += 1

    async def _wait_for_caller(self, receive: Any, scope: trio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()


class LargeAnswer(Application):
    """Answers with more than the buffers of a connection hold."""

    def __init__(self) -> None:
        super().__init__()
        self.begun = trio.Event()
        self.ended = trio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await super().__call__(scope, receive, send)
            return
        await send({"type": "http.response.start", "status": 200, "headers": []})
        self.begun.set()
        await send({"type": "http.response.body", "body": bytes(1 << 26)})
        self.ended.set()


class FailingProtocol:
    """Raises an error on each connection that brings the bytes "fail"."""

    def __init__(self, exc: BaseException) -> None:
        self._exc = exc
        self._feed = HttpConnection._feed

    def patch(self) -> Any:
        """Return the patch of what passes bytes to the library."""

        def feed(conn: HttpConnection, data: bytes) -> None:
            if b"fail" in data:
                raise self._exc
            self._feed(conn, data)

        return mock.patch.object(HttpConnection, "_feed", feed)


class HttpServerTest(RealTimeTestCase):
    def setUp(self) -> None:
        self.guard = ConnectionGuard()
        self.lines: list[dict[str, Any]] = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    async def serve(
        self,
        test: Callable[[Any, str], Awaitable[None]],
        app: Any = None,
        write_timeout_s: float = 10.0,
    ) -> None:
        """Run a test with an application and its address."""
        app = app or Application()
        cfg = HttpServerSettings(
            "callers", "127.0.0.1:0", 1 << 16, write_timeout_s=write_timeout_s
        )
        server = HttpServer(app, cfg, self.guard)
        with trio.fail_after(BOUND_S):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.run, trio.sleep_forever)
                await test(app, address)
                nursery.cancel_scope.cancel()

    @staticmethod
    async def connect(address: str) -> trio.SocketStream:
        host, _, port = address.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))

    async def begin(self, app: Application, address: str) -> trio.SocketStream:
        """Return a connection whose answer has begun."""
        n_begun = app.n_begun
        conn = await self.connect(address)
        await conn.send_all(GET)
        while app.n_begun == n_begun:
            await trio.sleep(0.001)
        return conn

    async def check_whole(self, app: Application, conn: trio.SocketStream) -> None:
        """Check that the answer on a connection can be read to its end."""
        app.may_end.set()
        answer = b""
        while not answer.endswith(b"\r\n0\r\n\r\n"):
            data = await conn.receive_some()
            self.assertTrue(data, "the connection was closed before its answer ended")
            answer += data
        self.assertIn(b"whole", answer)

    def failures(self) -> list[dict[str, Any]]:
        """Return the log lines of failed connections."""
        kind = "connection:failed"
        return [line for line in self.lines if line["message_type"] == kind]

    async def test_error_of_the_library_on_one_connection(self) -> None:
        """Guards against an error on one connection that ends the others."""

        async def check(app: Application, address: str) -> None:
            conn = await self.begin(app, address)
            for number in range(3):
                failing = await self.begin(app, address)
                host, port = failing.socket.getsockname()
                await failing.send_all(b"fail")
                while await failing.receive_some():
                    pass
                self.assertEqual(app.n_left, number + 1)
                line = self.failures()[-1]
                self.assertEqual(line["peer"], f"{host}:{port}")
                self.assertEqual(line["error"], "KeyError")
                self.assertEqual(line["server"], "callers")
                self.assertTrue(line["raised_at"].startswith("FailingProtocol."))
            self.assertEqual(self.guard.n_failed, {"callers": 3})
            await self.check_whole(app, conn)
            await self.check_whole(app, await self.begin(app, address))

        with FailingProtocol(KeyError("x" * 1000)).patch():
            await self.serve(check)
        self.assertTrue(all(len(line["detail"]) <= 200 for line in self.failures()))

    async def test_fault_of_the_process_ends_the_server(self) -> None:
        """Guards against a process without memory that goes on."""

        async def check(app: Application, address: str) -> None:
            conn = await self.connect(address)
            await conn.send_all(b"fail")
            await trio.sleep_forever()

        for kind in (*PROCESS_FAULTS, KeyboardInterrupt, SystemExit):
            with self.subTest(kind.__name__), FailingProtocol(kind("x")).patch():
                with self.assertRaises(BaseExceptionGroup) as caught:
                    await self.serve(check)
                self.assertIsNotNone(caught.exception.subgroup(kind))
        self.assertEqual(self.failures(), [])

    async def test_cancelled_server_counts_no_failure(self) -> None:
        async def check(app: Application, address: str) -> None:
            await self.begin(app, address)

        await self.serve(check)
        self.assertEqual(self.guard.n_failed.total(), 0)

    async def test_caller_that_does_not_read(self) -> None:
        """Guards against a write that no timeout and no cancellation ends."""
        for ends_by in ("timeout", "cancellation"):
            app = LargeAnswer()

            async def check(
                app: LargeAnswer, address: str, ends_by: str = ends_by
            ) -> None:
                conn = await self.connect(address)
                await conn.send_all(GET)
                await app.begun.wait()
                await trio.sleep(0.1)
                self.assertFalse(app.ended.is_set())
                if ends_by == "timeout":
                    await app.ended.wait()
                    with self.assertRaises(trio.BrokenResourceError):
                        while True:
                            await conn.send_all(GET)

            started_at = trio.current_time()
            write_timeout_s = 0.5 if ends_by == "timeout" else 2 * BOUND_S
            await self.serve(check, app, write_timeout_s)
            self.assertLess(trio.current_time() - started_at, BOUND_S / 2, ends_by)

    async def test_message_that_is_cancelled_is_whole(self) -> None:
        """Guards against a head that is counted as sent and not written."""

        async def app(scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            for message in (
                {"type": "http.response.start", "status": 200, "headers": []},
                {"type": "http.response.body", "body": b"whole", "more_body": True},
                {"type": "http.response.body", "body": b""},
            ):
                with trio.CancelScope() as cancelled:
                    cancelled.cancel()
                    await send(message)

        async def check(app: Any, address: str) -> None:
            conn = await self.connect(address)
            await conn.send_all(GET)
            answer = b""
            while not answer.endswith(b"\r\n0\r\n\r\n"):
                data = await conn.receive_some()
                self.assertTrue(data, answer)
                answer += data
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            self.assertIn(b"whole", answer)

        await self.serve(check, app)
        self.assertEqual(self.guard.n_failed, {})

    async def test_no_other_protocol_is_offered(self) -> None:
        """Guards against protocols that no caller needs and whose errors are many."""
        offers = {
            h2c_upgrade(b"AAMAAABkAAQAAP__"): b"HTTP/1.1 200",
            websocket_upgrade(): b"HTTP/1.1 200",
            HTTP2_PREFACE: b"HTTP/1.1 505",
        }

        async def check(app: Application, address: str) -> None:
            app.may_end.set()
            for offer, status in offers.items():
                async with await self.connect(address) as conn:
                    await conn.send_all(offer)
                    answer = await conn.receive_some()
                    self.assertTrue(answer.startswith(status), answer)

        await self.serve(check)
        self.assertEqual(self.guard.n_failed, {})

    async def test_answer_to_an_offer_keeps_the_connection(self) -> None:
        async def check(app: Application, address: str) -> None:
            conn = await self.connect(address)
            for request in (websocket_upgrade(), GET):
                await conn.send_all(request)
                await self.check_whole(app, conn)

        await self.serve(check)

    async def test_bad_texts(self) -> None:
        """Guards against a text that ends the answers of other connections."""
        rng = random.Random(49)
        texts = [*bad_texts().values(), *(random_text(rng) for _ in range(N_RANDOM))]

        async def check(app: Application, address: str) -> None:
            conn = await self.begin(app, address)
            for text in texts:
                async with await self.connect(address) as bad:
                    await bad.send_all(text)
            await self.check_whole(app, conn)
            await self.check_whole(app, await self.begin(app, address))

        await self.serve(check)

    async def test_new_connection_needs_one_task_and_one_write(self) -> None:
        """Guards against refusals that cost as much as answers."""

        class TaskCounter(trio.abc.Instrument):
            n_spawned = 0

            def task_spawned(self, task: trio.lowlevel.Task) -> None:
                self.n_spawned += 1

        counter = TaskCounter()
        writes: list[bytes] = []
        write = HttpConnection._write

        async def count_write(conn: HttpConnection, data: bytes) -> None:
            writes.append(data)
            await write(conn, data)

        async def app(scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            caller = CallerExchange(scope, receive, send)
            await caller.answer(429, [], b"later")

        async def check(app: Any, address: str) -> None:
            for _ in range(3):
                conn = await self.connect(address)
                n_before = counter.n_spawned
                await conn.send_all(GET)
                self.assertIn(b"later", await conn.receive_some())
                self.assertLessEqual(counter.n_spawned, n_before + 1)
                await conn.aclose()

        trio.lowlevel.add_instrument(counter)
        with mock.patch.object(HttpConnection, "_write", count_write):
            await self.serve(check, app)
        self.assertEqual(len(writes), 3)

    async def test_requests_sent_ahead_are_answered_in_order(self) -> None:
        async def check(app: Application, address: str) -> None:
            app.may_end.set()
            conn = await self.connect(address)
            await conn.send_all(3 * GET)
            answers = b""
            while answers.count(b"whole") < 3:
                data = await conn.receive_some()
                self.assertTrue(data, answers)
                answers += data

        await self.serve(check)

    async def test_answer_before_the_body_is_not_lost(self) -> None:
        """Guards against a reset that takes the answer from a caller that sends on."""

        async def app(scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            await CallerExchange(scope, receive, send).answer(413, [], b"long")

        async def check(app: Any, address: str) -> None:
            head = b"POST / HTTP/1.1\r\nhost: r\r\ncontent-length: 200000\r\n"
            for first in (head + b"\r\n" + bytes(100_000), head + EXPECT + b"\r\n"):
                conn = await self.connect(address)
                await conn.send_all(first)
                answer = b"".join([part async for part in conn])
                self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)
                self.assertTrue(answer.endswith(b"long"), answer)

        await self.serve(check, app)

    async def test_body_that_waits_to_be_asked_for(self) -> None:
        async def app(scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            caller = CallerExchange(scope, receive, send)
            body = await caller.read_body(100, trio.current_time() + BOUND_S)
            await caller.answer(200, [], body)

        async def check(app: Any, address: str) -> None:
            conn = await self.connect(address)
            head = b"POST / HTTP/1.1\r\nhost: r\r\ncontent-length: 4\r\n"
            await conn.send_all(head + EXPECT + b"\r\n")
            answer = await conn.receive_some()
            self.assertTrue(answer.startswith(b"HTTP/1.1 100"), answer)
            await conn.send_all(b"body")
            answer = await conn.receive_some()
            self.assertTrue(answer.endswith(b"\r\n\r\nbody"), answer)

        await self.serve(check, app)

    async def test_stop_closes_idle_connections_alone(self) -> None:
        app, stop = Application(), trio.Event()
        cfg = HttpServerSettings("callers", "127.0.0.1:0", 1 << 16)
        server = HttpServer(app, cfg, self.guard)
        with trio.fail_after(BOUND_S):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.run, stop.wait)
                idle = await self.connect(address)
                busy = await self.begin(app, address)
                stop.set()
                self.assertEqual(await idle.receive_some(), b"")
                await self.check_whole(app, busy)
                self.assertEqual(await busy.receive_some(), b"")

    async def test_stop_serves_what_has_arrived(self) -> None:
        """Guards against a request that is dropped unread since a stop came first."""
        app, accept = Application(), HttpServer._accept
        app.may_end.set()
        conns: list[trio.SocketStream] = []

        async def accept_until_last(*args: Any) -> None:
            try:
                await accept(*args)
            finally:
                for conn in conns:
                    conn.socket._sock.send(GET)

        cfg = HttpServerSettings("callers", "127.0.0.1:0", 1 << 16)
        with mock.patch.object(HttpServer, "_accept", accept_until_last):
            # Whether the server or its connections come first is random.
            for _ in range(20):
                stop = trio.Event()
                server = HttpServer(app, cfg, self.guard)
                with trio.fail_after(BOUND_S):
                    async with trio.open_nursery() as nursery:
                        address = await nursery.start(server.run, stop.wait)
                        conns[:] = [await self.connect(address) for _ in range(3)]
                        await trio.sleep(0.01)
                        stop.set()
                        for conn in conns:
                            self.assertIn(b"whole", await self.read_all(conn))

    async def read_all(self, conn: trio.SocketStream) -> bytes:
        """Return what is received until the connection ends."""
        answer = b""
        while data := await conn.receive_some():
            answer += data
        return answer
