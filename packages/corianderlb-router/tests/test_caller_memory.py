"""What a router holds for callers that read slowly, send much, or ask for much."""

from __future__ import annotations

from typing import Any

import trio

from corianderlb_core.held_memory import SLOW_AFTER_S
from corianderlb_core.result import ResultCode
from corianderlb_router.caller import CallerStalledError
from corianderlb_router.caller_memory import (
    DEFAULT_MEMORY_BYTES,
    HELD_SHARE,
    STREAM_BYTES,
    CallerMemory,
)
from corianderlb_router.connection_guard import ConnectionGuard
from corianderlb_router.forward_caller import ForwardCaller
from corianderlb_router.http_server import HttpServer, HttpServerSettings
from corianderlb_standins._asgi import serve_lifespan
from corianderlb_standins.trio_case import RealTimeTestCase, TrioTestCase
from forward_builders import (
    STREAM_END,
    STREAM_HEAD,
    Upstream,
    a_router,
    a_stream,
    an_answer,
    an_event,
    bound,
    chunk,
)

ANSWER_BYTES = 8 << 20
"""More than the buffers of a connection hold."""


def code_of(answer: bytes) -> int:
    """Return the result code in the body of a refusal."""
    return int(answer.partition(b'"code": ')[2].partition(b",")[0])


class BoundedRequestsTest(TrioTestCase):
    async def test_body_of_an_account_that_holds_too_much(self) -> None:
        """Guards against uploads that end the process, and against a false promise."""
        async with a_router(a1=Upstream([an_answer()])) as router:
            memory = bound(router, 100_000)
            refused = await router.ask("/book/x", b"b" * 60_000)
            self.assertEqual(refused.status, 503)
            self.assertEqual(code_of(refused.answer), ResultCode.MEMORY_FULL)
            self.assertIn("retry-after", refused.answer_headers)
            self.assertEqual(router.network.upstreams["a1"].requests, [])
            served = await router.ask("/book/x", b"b" * 40_000)
            self.assertEqual(served.status, 200)
            self.assertEqual(memory.n_bytes, 0)

    async def test_answer_that_may_not_be_held(self) -> None:
        """Guards against a promise that a request has not run although it has."""
        large = an_answer(b"a" * 80_000)
        async with a_router(a1=Upstream([large])) as router:
            memory = bound(router, 100_000)
            failed = await router.ask("/book/x")
            self.assertEqual(failed.status, 502)
            self.assertEqual(code_of(failed.answer), ResultCode.ANSWER_NOT_HELD)
            self.assertEqual(memory.n_bytes, 0)

    async def test_other_account_is_served(self) -> None:
        """Guards against accounts that pay for what another one holds."""
        async with (
            a_router(a1=Upstream([an_answer()])) as router,
            trio.open_nursery() as nursery,
        ):
            memory = bound(router, 100_000)
            stalled = [
                router.a_caller("/book/x", b"b" * 20_000, x_id=f"q{n}")
                for n in range(4)
            ]
            for caller in stalled:
                caller.reading = trio.Event()
                nursery.start_soon(router.serve, caller)
            await trio.sleep(0.1)
            self.assertGreater(memory.n_bytes, 30_000)
            served = await router.ask(
                "/book/x", b"b" * 20_000, x_key="key-w", x_id="other"
            )
            self.assertEqual((served.status, served.answer), (200, b"done"))
            nursery.cancel_scope.cancel()

    async def test_streams_count(self) -> None:
        async with a_router(e1=Upstream([a_stream(1, 3)])) as router:
            memory = bound(router, STREAM_BYTES)
            refused = await router.ask("/quick/x", x_prompt="p:500,own:10")
            self.assertEqual(code_of(refused.answer), ResultCode.MEMORY_FULL)
            memory = bound(router, 4 * STREAM_BYTES)
            served = await router.ask("/quick/x", x_prompt="p:500,own:10")
            self.assertEqual(served.status, 200)
            self.assertEqual(memory.n_bytes, 0)

    async def test_stream_that_wrote_much_at_once(self) -> None:
        """Guards against streams that count for what their callers have long taken."""

        async def answer(stream: trio.abc.Stream) -> None:
            events = b"".join(map(an_event, range(1, 2001)))
            await stream.send_all(STREAM_HEAD + chunk(events))
            await trio.sleep(0.5)
            await stream.send_all(STREAM_END)

        async with (
            a_router(e1=Upstream([answer])) as router,
            trio.open_nursery() as nursery,
        ):
            memory = router.parts.memory
            caller = router.a_caller("/quick/x", x_prompt="p:500,own:10")
            nursery.start_soon(router.serve, caller)
            await trio.sleep(0.2)
            self.assertGreater(len(caller.answer), 2 * STREAM_BYTES)
            self.assertEqual(memory.n_bytes, STREAM_BYTES + len(b"body"))

    async def test_bounded_unless_set(self) -> None:
        """Guards against a deployment on which a router holds without a bound."""
        async with a_router(a1=Upstream([an_answer()])) as router:
            limit = HELD_SHARE * DEFAULT_MEMORY_BYTES
            self.assertEqual(router.parts.memory.n_limit, limit)
            served = await router.ask("/book/x", b"b" * 60_000)
            self.assertEqual(served.status, 200)
            refused = await router.ask("/book/x", bytes(round(limit / 2) + 1))
            self.assertEqual(code_of(refused.answer), ResultCode.MEMORY_FULL)


class ArrivalTest(TrioTestCase):
    async def test_attempts_that_are_not_sent(self) -> None:
        """Guards against attempts that are kept for as long as the router runs."""
        async with a_router(a1=Upstream([an_answer()])) as router:
            router.parts.permits.take = lambda instance: False  # type: ignore[method-assign]
            refused = await router.ask("/book/x")
            self.assertEqual(refused.status, 503)
            self.assertEqual(router.parts.memory.n_holdings, 0)

    async def test_answer_that_was_cut(self) -> None:
        """Guards against an answer that is cut for one that has ended."""
        memory = CallerMemory(100_000)
        ended, other = memory.open_arrival("s1"), memory.open_arrival("s1")
        n_cut = []
        other.on_cut = lambda: n_cut.append(1)
        self.assertTrue(other.hold(20_000))
        self.assertTrue(ended.hold(1000))
        ended.close()
        self.assertFalse(ended.hold(2000))
        self.assertEqual((n_cut, other.n_bytes, memory.n_bytes), ([], 20_000, 20_000))


class SlowCallerTest(RealTimeTestCase):
    """Callers of the real server, over loopback."""

    async def asgi(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer with much, accounted for by the path."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        caller = ForwardCaller(scope, receive, send)
        self.callers.append(caller)
        caller.account_for(self.memory, caller.path, False)
        try:
            caller.hold_answer(ANSWER_BYTES)
            await caller.answer(200, [], bytes(ANSWER_BYTES))
        except CallerStalledError:
            self.n_stalled += 1
        finally:
            caller.release()

    async def serve(self, nursery: trio.Nursery, limit: float) -> tuple[str, int]:
        """Start a server and return its host and port."""
        self.callers: list[ForwardCaller] = []
        self.n_stalled = 0
        self.memory = CallerMemory(limit)
        cfg = HttpServerSettings("t", "127.0.0.1:0", 1 << 16, write_timeout_s=3.0)
        server = HttpServer(self.asgi, cfg, ConnectionGuard())
        address = await nursery.start(server.run, trio.sleep_forever)
        host, _, port = address.removeprefix("http://").rpartition(":")
        return host, int(port)

    async def ask(self, address: tuple[str, int], path: str) -> trio.SocketStream:
        """Send a request and read nothing of its answer."""
        stream = await trio.open_tcp_stream(*address)
        await stream.send_all(f"GET /{path} HTTP/1.1\r\nhost: h\r\n\r\n".encode())
        return stream

    async def test_caller_that_reads_slowly_gets_all(self) -> None:
        """Guards against a timeout for the whole answer, which cuts slow readers."""
        async with trio.open_nursery() as nursery:
            address = await self.serve(nursery, 1e9)
            stream = await self.ask(address, "a")
            n_read, started_at = 0, trio.current_time()
            while n_read < ANSWER_BYTES:
                n_read += len(await stream.receive_some(1 << 17))
                await trio.sleep(0.08)
            self.assertGreater(trio.current_time() - started_at, 3.5)
            nursery.cancel_scope.cancel()

    async def test_caller_that_reads_nothing(self) -> None:
        """Guards against an answer recorded as sent whose caller was cut off."""
        async with trio.open_nursery() as nursery:
            address = await self.serve(nursery, 1e9)
            stream = await self.ask(address, "a")
            with trio.fail_after(10):
                while not self.n_stalled:
                    await trio.sleep(0.1)
            self.assertEqual(self.memory.n_bytes, 0)
            await stream.aclose()
            nursery.cancel_scope.cancel()

    async def test_callers_that_do_not_read_make_room(self) -> None:
        """Guards against a router that is full of answers that nobody reads."""
        async with trio.open_nursery() as nursery:
            address = await self.serve(nursery, 6 * ANSWER_BYTES)
            idle = [await self.ask(address, "a") for _ in range(2)]
            other = await self.ask(address, "b")
            await trio.sleep(SLOW_AFTER_S + 0.3)
            self.assertFalse(any(caller.is_cut for caller in self.callers))
            third = await self.ask(address, "a")
            with trio.fail_after(5):
                while not self.callers[0].is_cut:
                    await trio.sleep(0.05)
            self.assertEqual(
                [caller.is_cut for caller in self.callers], [True, False, False, False]
            )
            self.assertLessEqual(self.memory.n_bytes, self.memory._memory.limit)
            self.assertEqual(self.memory.n_cut, 1)
            for stream in (*idle, other, third):
                await stream.aclose()
            nursery.cancel_scope.cancel()
