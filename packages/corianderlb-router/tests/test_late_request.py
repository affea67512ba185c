"""Tests of requests whose body arrives late or not at all."""

from __future__ import annotations

import trio

from corianderlb_core.result import ResultCode
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller, FakeInstance, FakeRouter, with_router
from forward_builders import Upstream, a_router, an_answer


async def send_body_after(caller: FakeCaller, delay_s: float) -> None:
    await trio.sleep(delay_s)
    caller.body_arrived.set()


class ForwardedRequestTest(TrioTestCase):
    async def ask_late(
        self, delay_s: float, path: str
    ) -> tuple[FakeCaller, Upstream, float]:
        """Send a body so long after its head, with 1.5 s for the answer."""
        upstream = Upstream([an_answer()])
        async with a_router(s1=upstream) as router, trio.open_nursery() as nursery:
            caller = router.a_caller(path, x_deadline_s="1.5")
            caller.body_arrived = trio.Event()
            nursery.start_soon(send_body_after, caller, delay_s)
            start = trio.current_time()
            with trio.fail_after(5.0):
                await router.serve(caller)
            took_s = trio.current_time() - start
            nursery.cancel_scope.cancel()
        return caller, upstream, took_s

    async def test_request_read_after_its_deadline_is_refused_as_not_run(self) -> None:
        """Guards against sending a request that can only be answered too late."""
        for path in ("/read/7", "/book/7"):
            with self.subTest(path=path):
                caller, upstream, took_s = await self.ask_late(2.0, path)
                self.assertEqual(caller.status, 503)
                self.assertEqual(caller.error["code"], ResultCode.DEADLINE_UNREACHABLE)
                self.assertAlmostEqual(took_s, 1.5, delta=0.05)
                self.assertEqual(upstream.requests, [])

    async def test_request_read_before_its_deadline_is_served(self) -> None:
        caller, upstream, _ = await self.ask_late(1.0, "/book/7")
        self.assertEqual(caller.status, 200)
        self.assertLess(float(upstream.requests[0]["x-left-s"]), 0.5)

    async def test_request_that_was_not_sent_is_refused_as_not_run(self) -> None:
        """Guards against a caller that does not repeat a booking which never ran."""
        for path in ("/read/7", "/book/7"):
            with self.subTest(path=path):
                unreached = Upstream([an_answer()], accepts=False)
                async with a_router(s1=unreached) as router:
                    caller = await router.ask(path, x_deadline_s="0.1")
                self.assertEqual(caller.status, 503)
                self.assertEqual(caller.error["ran"], "no")


class CompletionTest(TrioTestCase):
    async def test_prompt_read_after_its_deadline_is_refused_as_not_run(self) -> None:
        """Guards against a request without body that stays open for good."""
        engine = FakeInstance("e0")
        caller = FakeCaller(corianderlb_deadline_ms="1500")
        caller.body_arrived = trio.Event()

        async def check(router: FakeRouter) -> None:
            start = trio.current_time()
            with trio.fail_after(5.0):
                await router.ask(caller)
            self.assertAlmostEqual(trio.current_time() - start, 1.5, delta=0.05)
            self.assertEqual(caller.error["ran"], "no")

        await with_router(check, engine)
        self.assertEqual(engine.received, [])
