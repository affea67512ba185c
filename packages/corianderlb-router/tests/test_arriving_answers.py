"""What a router holds of answers that arrive, from instances that send too much."""

from __future__ import annotations

from itertools import chain, repeat

import trio

from corianderlb_core.result import ResultCode
from corianderlb_router.caller_memory import CallerMemory
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from forward_builders import (
    STREAM_HEAD,
    Endless,
    ForwardRouter,
    Upstream,
    a_router,
    a_stream,
    an_answer,
    an_event,
    bound,
    chunk,
)

LIMIT = 3 << 20
PROMPT = "a:100,own:50"
PART = b"x" * 16384
MANY = chunk(PART)


def endless_chunks(pause_s: float = 0.0) -> Endless:
    """Build an answer in chunks without end."""
    return Endless(STREAM_HEAD, repeat(MANY), pause_s, n_most=2 * LIMIT)


class Watched:
    """Router with a bound, whose account is looked at after each step."""

    def __init__(self, router: ForwardRouter, limit: int = LIMIT) -> None:
        self.router = router
        self.memory: CallerMemory = bound(router, limit)
        self.n_most = 0
        """Most bytes held at once."""

    async def ask_many(self, path: str, n_calls: int, **headers: str) -> list:
        """Send requests at once; return the callers with their answers."""
        callers = [
            self.router.a_caller(path, x_id=f"q{n}", **headers) for n in range(n_calls)
        ]
        async with trio.open_nursery() as watching:
            watching.start_soon(self._watch)
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(self.router.serve, caller)
            watching.cancel_scope.cancel()
        return callers

    async def _watch(self) -> None:
        while True:
            self.n_most = max(self.n_most, self.memory.n_bytes)
            await trio.sleep(0.001)


def fill(memory: CallerMemory, n_bytes: int) -> None:
    """Hold about that many bytes, each account as much as it may."""
    while memory.n_bytes < n_bytes:
        holding = memory.open(f"account {memory.n_holdings}", lambda: None)
        while memory.n_bytes < n_bytes and memory.hold(holding, 1000):
            pass


class EndlessCallsTest(TrioTestCase):
    async def test_all_calls_go_on_at_the_other_instance(self) -> None:
        """Guards against answers without end that fill the memory of a router."""
        endless = [endless_chunks(0.001) for _ in range(40)]
        bad, sound = Upstream([*endless]), Upstream([an_answer()])
        async with a_router(s1=bad, s2=sound) as router:
            watched = Watched(router)
            callers = await watched.ask_many("/read/1", 40)
            self.assertEqual({caller.status for caller in callers}, {200})
            self.assertLessEqual(watched.n_most, LIMIT / 2)
            self.assertEqual(watched.memory.n_bytes, 0)
            n_asked = len(bad.requests)
            self.assertFalse(router.health.may_send(("s1", 1)))
            await watched.ask_many("/read/2", 10)
            self.assertEqual(len(bad.requests), n_asked)
            await trio.sleep(0.1)
        begun = [item for item in endless if item.n_taken]
        self.assertTrue(all(item.was_closed for item in begun))

    async def test_call_that_may_not_be_repeated(self) -> None:
        async with a_router(s1=Upstream([endless_chunks()])) as router:
            watched = Watched(router)
            (caller,) = await watched.ask_many("/book/1", 1)
            self.assertEqual(caller.status, 502)
            self.assertIn(b"%d" % ResultCode.UPSTREAM_FAILED, caller.answer)
            self.assertEqual(watched.memory.n_bytes, 0)

    async def test_second_answer_is_held_once_the_first_is_released(self) -> None:
        """Guards against a failed answer that is held until its request ends."""
        n_held = []

        async def answer(stream: trio.abc.Stream) -> None:
            n_held.append(watched.memory.n_bytes)
            await stream.send_all(an_answer())

        service = Upstream([endless_chunks(), answer])
        async with a_router(s1=service, s2=service) as router:
            watched = Watched(router)
            (caller,) = await watched.ask_many("/read/1", 1)
            self.assertEqual(caller.status, 200)
        self.assertEqual(n_held, [len(b"body")])

    async def test_other_answers_of_the_same_instance(self) -> None:
        """Guards against sound answers that fail for the room of endless ones."""
        slow = [chunk(b"d" * 2000)] * 20 + [b"0\r\n\r\n"]

        async def sound(stream: trio.abc.Stream) -> None:
            await stream.send_all(STREAM_HEAD)
            for part in slow:
                await trio.sleep(0.01)
                await stream.send_all(part)

        endless = [endless_chunks(0.001) for _ in range(3)]
        async with a_router(s1=Upstream([sound, *endless, sound])) as router:
            watched = Watched(router)
            callers = await watched.ask_many("/book/1", 5)
            whole = [caller for caller in callers if caller.status == 200]
            self.assertEqual(len(whole), 2)
            self.assertEqual({len(caller.answer) for caller in whole}, {40_000})

    async def test_other_calls_of_the_account(self) -> None:
        """Guards against an instance that fills the room of a sound account."""
        async with a_router(s1=Upstream([an_answer()])) as router:
            watched = Watched(router)
            held = watched.memory.open_arrival("other instance")
            while held.hold(held.n_bytes + 1000):
                pass
            served = await router.ask("/book/1", b"b" * (LIMIT // 4))
            self.assertEqual(served.status, 200)

    async def test_no_room_for_what_others_hold(self) -> None:
        """Guards against an instance that is left for what others hold."""
        async with a_router(s1=Upstream([endless_chunks()])) as router:
            watched = Watched(router)
            for number in range(6):
                holding = watched.memory.open(f"account {number}", lambda: None)
                while watched.memory.hold(holding, 1000):
                    pass
            (caller,) = await watched.ask_many("/read/1", 1)
            self.assertEqual(caller.status, 502)
            self.assertIn(b"%d" % ResultCode.ANSWER_NOT_HELD, caller.answer)
            self.assertEqual(router.health.failure_rate(("s1", 1)), 0.0)

    async def test_answer_that_is_cut_for_what_others_hold(self) -> None:
        """Guards against an instance that is blamed for what others hold."""
        more = trio.Event()

        async def long(stream: trio.abc.Stream) -> None:
            await stream.send_all(STREAM_HEAD + chunk(bytes(40_000)))
            await more.wait()

        async def growing(stream: trio.abc.Stream) -> None:
            await stream.send_all(STREAM_HEAD)
            for _ in range(20):
                await trio.sleep(0.01)
                await stream.send_all(chunk(bytes(1000)))
            await stream.send_all(b"0\r\n\r\n")

        service = Upstream([long, growing, an_answer()])
        async with a_router(s1=service) as router:
            watched = Watched(router)
            fill(watched.memory, LIMIT - 150_000)
            first = router.a_caller("/read/1", x_id="q1")
            second = router.a_caller("/read/2", x_id="q2")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, first)
                await trio.sleep(0.01)
                nursery.start_soon(router.serve, second)
            self.assertEqual((first.status, first.answer), (200, b"done"))
            self.assertEqual((second.status, second.answer), (200, bytes(20_000)))
            self.assertEqual(router.health.failure_rate(("s1", 1)), 0.0)


class SizedTest(TrioTestCase):
    async def ask(self, answer: bytes) -> tuple[FakeCaller, Watched]:
        """Ask for an answer of a service that a router can't hold."""
        async with a_router(s1=Upstream([answer])) as router:
            watched = Watched(router)
            (caller,) = await watched.ask_many("/book/1", 1)
        self.assertEqual(watched.memory.n_bytes, 0)
        return caller, watched

    async def test_large_answer_is_relayed_as_it_arrives(self) -> None:
        """Guards against large answers that fail for want of room."""
        body = bytes(2 * LIMIT)
        caller, watched = await self.ask(an_answer(body))
        self.assertEqual((caller.status, caller.answer), (200, body))
        self.assertTrue(caller.finished)
        self.assertEqual(caller.answer_headers["content-length"], str(len(body)))
        self.assertLess(watched.n_most, LIMIT / 8)

    async def test_large_answer_that_breaks_off(self) -> None:
        """Guards against half an answer that looks whole."""
        broken = Upstream([an_answer(bytes(LIMIT), length=2 * LIMIT)], closes=True)
        async with a_router(s1=broken) as router:
            watched = Watched(router)
            (caller,) = await watched.ask_many("/read/1", 1)
            self.assertFalse(caller.finished)

    async def test_absurd_length(self) -> None:
        endless = Endless(an_answer(b"", length=10**12), repeat(PART))
        service = Upstream([endless, an_answer()])
        async with a_router(s1=service, s2=service) as router:
            caller = await router.ask("/read/1")
            self.assertEqual((caller.status, caller.answer), (200, b"done"))
        self.assertTrue(endless.was_closed)
        self.assertLess(endless.n_taken, 1 << 20)

    async def test_bytes_after_the_end(self) -> None:
        """Guards against bytes of a kept connection that another answer gets."""
        for start, path in ((an_answer(), "/book/1"), (a_stream(1, 3), "/quick/1")):
            endless = Endless(start, repeat(PART), 0.001, n_most=LIMIT)
            runner = Upstream([endless, start])
            async with a_router(s1=runner, e1=runner) as router:
                watched = Watched(router)
                for _ in range(2):
                    (caller,) = await watched.ask_many(path, 1, x_prompt=PROMPT)
                    self.assertTrue(caller.finished)
                    self.assertNotIn(b"xx", caller.answer)
                self.assertEqual(watched.memory.n_bytes, 0)


class EndlessEventsTest(TrioTestCase):
    async def test_streams_go_on_at_the_other_engine(self) -> None:
        """Guards against events without end that fill the memory of a router."""
        head = STREAM_HEAD + chunk(an_event(1) + b"id: 2\ndata: ")
        endless = [Endless(head, repeat(MANY), 0.001, LIMIT) for _ in range(20)]

        async def answer(stream: trio.abc.Stream) -> None:
            after = int(sound.requests[-1].get("x-after", 0))
            await stream.send_all(a_stream(after + 1, 3))

        bad, sound = Upstream([*endless]), Upstream([answer])
        async with a_router(e1=bad, e2=sound) as router:
            watched = Watched(router)
            callers = await watched.ask_many("/long/1", 20, x_prompt=PROMPT)
            self.assertTrue(all(caller.finished for caller in callers))
            self.assertEqual({caller.answer.count(b"id: ") for caller in callers}, {3})
            self.assertLessEqual(watched.n_most, LIMIT / 2)
            self.assertEqual(watched.memory.n_bytes, 0)

    async def test_stream_cut_while_it_waits(self) -> None:
        """Guards against an unfinished event that is held though its engine is cut."""
        head = STREAM_HEAD + chunk(an_event(1) + b"id: 2\ndata: ")
        waiting = Endless(head, chain([MANY] * 60, repeat(b"", 1)))
        endless = [Endless(head, repeat(MANY), 0.05, LIMIT) for _ in range(3)]
        engine = Upstream([waiting, *endless])
        async with a_router(e1=engine) as router:
            watched = Watched(router, limit=3_000_000)
            callers = await watched.ask_many("/quick/1", 4, x_prompt=PROMPT)
            self.assertFalse(any(caller.finished for caller in callers))
            self.assertEqual(watched.memory.n_bytes, 0)
