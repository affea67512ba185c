"""Tests of answers that end with their connection, and of bytes without end."""

from __future__ import annotations

from itertools import repeat

import trio

from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    Answer,
    Endless,
    ForwardRouter,
    Upstream,
    a_router,
    a_stream,
    an_answer,
    an_event,
)

PROMPT = "a:100,own:50"
UNSIZED_HEAD = b"HTTP/1.1 200 OK\r\nx-seal: s\r\n\r\n"
MANY = b"x" * 16384


def an_unsized_answer(body: bytes) -> Answer:
    """Build an answer with neither length nor chunks, which ends the connection."""

    async def answer(stream: trio.abc.Stream) -> None:
        await stream.send_all(UNSIZED_HEAD + body)
        await stream.aclose()

    return answer


def an_answer_that_waits(*parts: bytes) -> Answer:
    """Build an answer that arrives in parts and never goes on after the last."""

    async def answer(stream: trio.abc.Stream) -> None:
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(0.01)
        await trio.sleep_forever()

    return answer


class UnsizedTest(TrioTestCase):
    async def test_answer_that_ends_with_its_connection_is_whole(self) -> None:
        async with a_router(s1=Upstream([an_unsized_answer(b"done")])) as router:
            for path in ("/read/1", "/book/1"):
                caller = await router.ask(path)
                self.assertEqual((caller.status, caller.answer), (200, b"done"))

    async def test_stream_that_ends_with_its_connection_is_whole(self) -> None:
        events = b"".join(an_event(number) for number in (1, 2, 3))
        async with a_router(e1=Upstream([an_unsized_answer(events)])) as router:
            caller = await router.ask("/quick/1", x_prompt=PROMPT)
            self.assertTrue(caller.finished)
            self.assertEqual(caller.answer.count(b"id: "), 3)

    async def test_stream_that_ends_inside_an_event_is_broken(self) -> None:
        """Guards against half an event that looks like the end of a stream."""
        cut = an_event(1) + an_event(2)[:-3]
        async with a_router(e1=Upstream([an_unsized_answer(cut)])) as router:
            caller = await router.ask("/quick/1", x_prompt=PROMPT)
            self.assertFalse(caller.finished)

    async def test_stream_that_ends_inside_an_event_goes_on(self) -> None:
        cut = an_event(1) + an_event(2)[:-3]
        engine = Upstream([an_unsized_answer(cut), a_stream(2, 3)])
        async with a_router(e1=engine, e2=engine) as router:
            caller = await router.ask("/long/1", x_prompt=PROMPT)
            self.assertTrue(caller.finished)
            self.assertEqual(caller.answer.count(b"id: "), 3)


class EndlessTest(TrioTestCase):
    async def check(self, endless: Endless, n_most: int) -> None:
        """Check that the router closes endless bytes and asks the other instance."""
        service = Upstream([endless, an_answer()])
        async with a_router(s1=service, s2=service) as router:
            caller = await router.ask("/read/1")
            self.assertEqual((caller.status, caller.answer), (200, b"done"))
        self.assertTrue(endless.was_closed)
        self.assertLess(endless.n_taken, n_most)

    async def test_head_without_end(self) -> None:
        """Guards against a head that fills the memory."""
        lines = repeat(b"x-more: " + MANY + b"\r\n")
        await self.check(Endless(b"HTTP/1.1 200 OK\r\n", lines), 4 << 20)

    async def test_header_line_without_end(self) -> None:
        await self.check(Endless(b"HTTP/1.1 200 OK\r\nx-more: ", repeat(MANY)), 4 << 20)

    async def test_no_status_line(self) -> None:
        await self.check(Endless(b"", repeat(MANY)), 4 << 20)

    async def test_informational_heads_without_end(self) -> None:
        """Guards against heads that are skipped for as long as an instance likes."""
        heads = repeat(b"HTTP/1.1 102 Processing\r\n\r\n" * 100)
        await self.check(Endless(b"", heads), 1 << 20)

    async def test_body_without_end(self) -> None:
        """Guards against an answer without a length that fills the memory."""
        await self.check(Endless(UNSIZED_HEAD, repeat(MANY)), 24 << 20)

    async def test_bytes_that_come_slowly(self) -> None:
        """Guards against a caller that waits for a body that does not end."""
        endless = Endless(UNSIZED_HEAD, repeat(b"x"), pause_s=1.0)
        bad = Upstream([endless])
        async with a_router(s1=bad) as router:
            began_at = trio.current_time()
            caller = await router.ask("/book/1")
            self.assertIn(caller.status, (502, 504))
            self.assertLess(trio.current_time() - began_at, 5.1)
            await trio.sleep(2.0)
            self.assertTrue(endless.was_closed)

    async def test_event_without_end(self) -> None:
        """Guards against an event that is kept until it is whole."""
        head = UNSIZED_HEAD + an_event(1) + b"id: 2\ndata: "
        endless = Endless(head, repeat(MANY))
        engine = Upstream([endless, a_stream(2, 3)])
        async with a_router(e1=engine, e2=engine) as router:
            caller = await router.ask("/long/1", x_prompt=PROMPT)
            self.assertTrue(caller.finished)
            self.assertEqual(caller.answer.count(b"id: "), 3)
        self.assertTrue(endless.was_closed)
        self.assertLess(endless.n_taken, 24 << 20)

    async def test_id_of_absurd_length(self) -> None:
        """Guards against an engine's wrong event that ends as the router's failure."""
        parts = (UNSIZED_HEAD + an_event(1), b"id: " + b"1" * 5000 + b"\n\n")
        engine = Upstream([an_answer_that_waits(*parts), a_stream(2, 3)])
        async with a_router(e1=engine, e2=engine) as router:
            caller = await router.ask("/long/1", x_prompt=PROMPT)
            self.assertTrue(caller.finished)
            self.assertEqual(caller.answer.count(b"id: "), 3)

    async def test_many_at_once(self) -> None:
        """Guards against a router that keeps all of several endless answers."""
        endless = [Endless(UNSIZED_HEAD, repeat(MANY)) for _ in range(4)]
        service = Upstream([*endless, an_answer()])
        async with a_router(s1=service, s2=service) as router:
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(self.ask, router, number)
        self.assertTrue(all(item.was_closed for item in endless))
        self.assertLess(sum(item.n_taken for item in endless), 4 * (24 << 20))

    async def ask(self, router: ForwardRouter, number: int) -> None:
        """Send a request, whose second attempt is answered."""
        caller = await router.ask("/read/1", x_id=f"m{number}")
        self.assertEqual(caller.status, 200)
