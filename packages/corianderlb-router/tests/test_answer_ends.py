"""Tests of how a caller is told the end of its answer, over loopback."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import trio

from corianderlb_router._http_connection import CONNECTION, ENDS_BY_CLOSE, MORE_FOLLOWS
from corianderlb_router.connection_guard import ConnectionGuard
from corianderlb_router.http_server import HttpServer, HttpServerSettings
from corianderlb_standins._asgi import serve_lifespan
from corianderlb_standins.trio_case import RealTimeTestCase
from test_http_server import FailingProtocol

BOUND_S = 5.0
"""Timeout of a test."""

PART = b"id: 1\n\n"
LARGE = bytes(1 << 15)

OLD = b"GET / HTTP/1.0\r\n\r\n"
NEW = b"GET / HTTP/1.1\r\nhost: r\r\n\r\n"
LAST = b"GET / HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n"
"""Requests of callers that know no chunks, that do, and that send no other request."""

FINAL_CHUNK = b"\r\n0\r\n\r\n"


def a_start(**keys: Any) -> dict[str, Any]:
    """Build the message that begins an answer."""
    return {"type": "http.response.start", "status": 200, "headers": [], **keys}


def a_part(body: bytes = PART, more: bool = True) -> dict[str, Any]:
    """Build a message with a part of an answer."""
    return {"type": "http.response.body", "body": body, "more_body": more}


class Script:
    """Application that sends messages and then does what a test wants."""

    def __init__(self, *messages: dict[str, Any], then: str = "return") -> None:
        self._messages = messages
        self._then = then
        self.has_sent = trio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        for message in self._messages:
            await send(message)
        self.has_sent.set()
        if self._then == "close":
            scope[CONNECTION].close()
        elif self._then == "end":
            while (await receive())["type"] != "http.disconnect":
                pass
            await send(a_part(more=False))
        elif self._then == "wait":
            await trio.sleep_forever()


class AnswerEndTest(RealTimeTestCase):
    async def read(
        self, request: bytes, app: Script, waits_s: float = 0.0
    ) -> tuple[bytes, bool]:
        """Return what a caller receives, and whether its connection was reset."""
        cfg = HttpServerSettings("callers", "127.0.0.1:0", 1 << 16)
        server = HttpServer(app, cfg, ConnectionGuard())
        received, is_reset = b"", False
        with trio.fail_after(BOUND_S):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.run, trio.sleep_forever)
                port = int(address.rpartition(":")[2])
                async with await trio.open_tcp_stream("127.0.0.1", port) as conn:
                    await conn.send_all(request)
                    await app.has_sent.wait()
                    if app._then == "end":
                        await conn.send_all(b"fail")
                    await trio.sleep(waits_s)
                    if app._then == "wait":
                        nursery.cancel_scope.cancel()
                    with trio.CancelScope(shield=True):
                        try:
                            while data := await conn.receive_some():
                                received += data
                        except trio.BrokenResourceError:
                            is_reset = True
                nursery.cancel_scope.cancel()
        return received, is_reset

    def cuts(self) -> Iterable[tuple[bytes, dict[str, Any], str]]:
        """Yield a request, the begin of its answer, and how it is cut."""
        for then in ("return", "close", "wait"):
            for request in (OLD, NEW, LAST):
                yield request, a_start(), then
                yield request, a_start(**{ENDS_BY_CLOSE: True}), then

    async def test_cut_answer_does_not_look_whole(self) -> None:
        """Guards against a part that a caller takes for the whole answer."""
        for request, start, then in self.cuts():
            script = Script(start, a_part(), then=then)
            received, is_reset = await self.read(request, script)
            is_chunked = b"chunked" in received
            with self.subTest(request=request, start=start, then=then):
                self.assertEqual(
                    is_chunked, request != OLD and ENDS_BY_CLOSE not in start
                )
                self.assertEqual(is_reset, not is_chunked)
                self.assertNotIn(FINAL_CHUNK, received)

    async def test_answer_cut_before_its_first_part(self) -> None:
        """Guards against a head that is written for an answer that never comes."""
        for request, start, _ in self.cuts():
            script = Script({**start, MORE_FOLLOWS: True})
            received, is_reset = await self.read(request, script)
            with self.subTest(request=request, start=start):
                self.assertTrue(received.startswith(b"HTTP/1.1 500 "), received)
                self.assertIn(b"content-length: 0", received.lower())
                self.assertFalse(is_reset)

    async def test_whole_answer_arrives(self) -> None:
        """Guards against a reset that discards what is on its way to the caller."""
        for request, start, _ in self.cuts():
            if request == NEW and ENDS_BY_CLOSE not in start:
                continue
            for more in (True, False):
                script = Script(
                    start, a_part(LARGE), a_part(LARGE, more), a_part(b"", False)
                )
                if not more:
                    script = Script(start, a_part(LARGE), a_part(LARGE, False))
                received, is_reset = await self.read(request, script, waits_s=0.2)
                with self.subTest(request=request, start=start, more=more):
                    self.assertFalse(is_reset)
                    self.assertGreater(len(received), 2 * len(LARGE))
                    is_chunked = b"chunked" in received
                    self.assertEqual(received.endswith(FINAL_CHUNK), is_chunked)

    async def test_end_that_is_not_written(self) -> None:
        """Guards against an ordinary end after a part that was dropped."""
        with FailingProtocol(KeyError("x")).patch():
            received, is_reset = await self.read(
                OLD, Script(a_start(), a_part(), then="end")
            )
        self.assertEqual((received.count(PART), is_reset), (1, True))

    async def test_answer_without_length_closes_the_connection(self) -> None:
        """Guards against a second answer in the body of the first."""
        start = a_start(**{ENDS_BY_CLOSE: True})
        received, _ = await self.read(NEW + NEW, Script(start, a_part(more=False)))
        self.assertIn(b"connection: close", received.lower())
        self.assertTrue(received.endswith(b"\r\n\r\n" + PART), received)
