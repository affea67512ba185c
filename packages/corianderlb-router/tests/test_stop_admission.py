"""Tests of what a router that stops still takes."""

from __future__ import annotations

from unittest import mock

import trio

from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from forward_builders import (
    NOT_RUN,
    ForwardRouter,
    Upstream,
    a_fleet,
    a_late_answer,
    a_pausing_stream,
    a_stream,
    an_answer,
    never_answer,
)

PROMPT = "a:100,own:50"


def stop(router: ForwardRouter, left_s: float) -> None:
    """Put a router into the state after its signal, some time before its cut."""
    now = trio.current_time()
    router.exchanges.stopping_since, router.exchanges.closing = now, True
    router.exchanges.cut_at = now + left_s


class StopAdmissionTest(TrioTestCase):
    async def ask_before_stop(
        self, router: ForwardRouter, path: str, left_s: float
    ) -> None:
        """Send a request to learn from, and stop the router."""
        self.assertTrue((await router.ask(path, x_prompt=PROMPT)).finished)
        stop(router, left_s)

    async def assert_refused(
        self, router: ForwardRouter, path: str, engine: Upstream
    ) -> FakeCaller:
        """Check that a request is refused at once and nothing is sent."""
        n_sent, started_at = len(engine.requests), trio.current_time()
        caller = await router.ask(path, x_prompt=PROMPT)
        self.assertEqual(caller.status, 503)
        self.assertIn(b"DRAINING", caller.answer)
        self.assertEqual(caller.answer_headers["connection"], "close")
        self.assertEqual(len(engine.requests), n_sent)
        self.assertEqual(trio.current_time(), started_at)
        return caller

    async def test_stream_that_would_be_cut_goes_elsewhere_at_once(self) -> None:
        """Guards against a stream that is begun only to be cut by the stop."""
        engine = Upstream([a_pausing_stream(1, 4, 2, 1.0)])
        async with a_fleet(2, e1=engine) as (router, other):
            await self.ask_before_stop(router, "/long/7", left_s=2.0)
            caller = await self.assert_refused(router, "/long/7", engine)
            self.assertEqual(caller.answer_headers["retry-after"], "0.05")
            self.assertTrue((await other.ask("/long/7", x_prompt=PROMPT)).finished)

    async def test_stream_that_ends_in_time_is_taken_however_late(self) -> None:
        """Guards against a refusal by the time since the signal alone."""
        engine = Upstream([a_pausing_stream(1, 4, 2, 0.2)])
        async with a_fleet(2, e1=engine) as (router, _):
            await self.ask_before_stop(router, "/long/7", left_s=7.6)
            await trio.sleep(6.0)
            self.assertTrue((await router.ask("/long/7", x_prompt=PROMPT)).finished)

    async def test_deadline_decides_without_a_sample(self) -> None:
        """Guards against a fresh router that takes or refuses whatever comes."""
        engine = Upstream([a_stream(1, 4)])
        async with a_fleet(2, e1=engine) as (router, other):
            stop(router, left_s=2.0)
            await self.assert_refused(router, "/long/7", engine)
            caller = await router.ask("/long/7", x_prompt=PROMPT, x_deadline_s="1")
            self.assertTrue(caller.finished)
            other.peers.is_leaving = True
            self.assertTrue((await router.ask("/quick/7", x_prompt=PROMPT)).finished)

    async def test_resumable_stream_is_begun_if_nobody_else_can(self) -> None:
        """Guards against a refusal that sends a caller to routers that all leave."""
        engine = Upstream([a_pausing_stream(1, 4, 2, 1.0)])
        async with a_fleet(2, e1=engine) as (router, other):
            other.peers.is_leaving = True
            await self.ask_before_stop(router, "/long/7", left_s=0.6)
            self.assertTrue((await router.ask("/long/7", x_prompt=PROMPT)).finished)
            router.exchanges.cut_at = trio.current_time() + 0.4
            await self.assert_refused(router, "/long/7", engine)

    async def test_stream_that_cannot_be_resumed_has_to_end(self) -> None:
        """Guards against work that is certain to be lost, though nobody else can."""
        engine = Upstream([a_pausing_stream(1, 4, 2, 2.0)])
        async with a_fleet(2, e1=engine) as (router, other):
            other.peers.is_leaving = True
            await self.ask_before_stop(router, "/quick/7", left_s=1.0)
            caller = await self.assert_refused(router, "/quick/7", engine)
            self.assertEqual(caller.answer_headers["retry-after"], "1.00")

    async def test_calls_that_would_be_cut(self) -> None:
        """Guards against a call whose outcome its caller can't know."""
        service = Upstream([a_late_answer(an_answer(), 1.0)])
        async with a_fleet(2, s1=service) as (router, other):
            await self.ask_before_stop(router, "/read/7", left_s=2.0)
            await self.assert_refused(router, "/read/7", service)
            other.peers.is_leaving = True
            self.assertTrue((await router.ask("/read/7")).finished)
            router.exchanges.cut_at = float("inf")
            await self.ask_before_stop(router, "/book/7", left_s=2.0)
            await self.assert_refused(router, "/book/7", service)

    async def test_cut_before_an_answer_has_begun(self) -> None:
        """Guards against an empty 500, which says nothing of whether the call ran."""
        service = Upstream([never_answer])
        async with (
            a_fleet(2, s1=service) as (router, _),
            trio.open_nursery() as nursery,
        ):
            sent, unsent = router.a_caller("/book/7"), router.a_caller("/book/7")
            unsent.body_arrived = trio.Event()
            for caller in (sent, unsent):
                nursery.start_soon(router.serve, caller)
            await trio.sleep(0.1)
            self.assertEqual(len(service.requests), 1)
            router.exchanges.cut()
            await trio.sleep(0.1)
            self.assertEqual((sent.status, unsent.status), (502, 503))
            self.assertIn(b"DRAINING", unsent.answer)
            self.assertTrue(sent.finished and unsent.finished)

    async def test_request_after_the_cut(self) -> None:
        """Guards against a request that is sent on and ends with its router."""
        service = Upstream([never_answer])
        async with a_fleet(2, s1=service) as (router, other):
            other.peers.is_leaving = True
            stop(router, left_s=-0.05)
            await self.assert_refused(router, "/book/7", service)

    async def test_stream_that_comes_late_and_cannot_end(self) -> None:
        """Guards against a stream that is begun seconds after the signal and cut."""
        engine = Upstream([a_pausing_stream(1, 4, 2, 3.0)])
        async with a_fleet(2, e1=engine) as (router, other):
            other.peers.is_leaving = True
            await self.ask_before_stop(router, "/long/7", left_s=7.6)
            await trio.sleep(5.5)
            await self.assert_refused(router, "/long/7", engine)

    async def test_call_that_may_not_be_repeated_needs_its_deadline(self) -> None:
        """Guards against a call that is cut since its answers have turned slow."""
        service = Upstream([an_answer(), a_late_answer(an_answer(), 3.0)])
        async with a_fleet(2, s1=service) as (router, _):
            await self.ask_before_stop(router, "/book/7", left_s=1.6)
            await self.assert_refused(router, "/book/7", service)
            caller = await router.ask("/book/7", x_deadline_s="1.5")
            self.assertEqual(caller.status, 504)

    async def test_call_without_a_sample_that_may_not_be_repeated(self) -> None:
        """Guards against a call that nothing is known of and that is cut."""
        service = Upstream([never_answer])
        async with a_fleet(2, s1=service) as (router, other):
            other.peers.is_leaving = True
            stop(router, left_s=4.6)
            await self.assert_refused(router, "/book/7", service)

    async def test_answer_that_would_be_lost_as_a_whole_needs_a_margin(self) -> None:
        """Guards against an answer that is lost since it takes a little longer."""
        service, engine = Upstream([an_answer()]), Upstream([a_stream(1, 4)])
        service.script = [a_late_answer(an_answer(), 0.2)]
        engine.script = [a_pausing_stream(1, 4, 2, 0.2)]
        async with a_fleet(2, s1=service, e1=engine) as (router, _):
            for path, upstream in (("/read/7", service), ("/quick/7", engine)):
                router.exchanges.cut_at = float("inf")
                await self.ask_before_stop(router, path, left_s=1.0)
                await self.assert_refused(router, path, upstream)
                stop(router, left_s=1.3)
                caller = await router.ask(path, x_prompt=PROMPT)
                self.assertTrue(caller.finished)

    async def test_calls_behind_one_that_waits_for_its_answer(self) -> None:
        """Guards against calls that are cut since those that ended were fast."""
        service = Upstream([an_answer(), never_answer])
        async with (
            a_fleet(2, s1=service) as (router, other),
            trio.open_nursery() as nursery,
        ):
            other.peers.is_leaving = True
            await self.ask_before_stop(router, "/book/7", left_s=1.6)
            nursery.start_soon(router.serve, router.a_caller("/book/7", x_id="q0"))
            await trio.sleep(0.7)
            self.assertEqual(len(service.requests), 2)
            await self.assert_refused(router, "/book/7", service)
            nursery.cancel_scope.cancel()

    async def test_request_that_is_about_to_be_sent_late(self) -> None:
        """Guards against a call taken before the signal that is sent only to be cut."""
        refusal = a_late_answer(NOT_RUN, 0.5)
        for path, script in (
            ("/book/7", [refusal, never_answer]),
            ("/read/7", [a_late_answer(an_answer(), 0.1), refusal, never_answer]),
        ):
            service = Upstream(script)
            async with (
                a_fleet(2, s1=service) as (router, _),
                trio.open_nursery() as nursery,
            ):
                if len(script) > 2:
                    await router.ask(path)
                n_before = len(service.requests)
                caller = router.a_caller(path)
                nursery.start_soon(router.serve, caller)
                await trio.sleep(0.1)
                stop(router, left_s=0.45)
                await trio.sleep(1.0)
                self.assertEqual(caller.status, 503)
                self.assertIn(b"DRAINING", caller.answer)
                self.assertEqual(len(service.requests), n_before + 1)
                nursery.cancel_scope.cancel()

    async def test_stop_while_a_connection_is_made(self) -> None:
        """Guards against a call that is sent since it was taken before the signal."""
        service = Upstream([never_answer], accepts=False)
        async with (
            a_fleet(2, s1=service) as (router, _),
            trio.open_nursery() as nursery,
        ):
            caller = router.a_caller("/book/7")
            nursery.start_soon(router.serve, caller)
            await trio.sleep(0.1)
            stop(router, left_s=2.0)
            service.accepts = True
            await trio.sleep(1.0)
            self.assertEqual((caller.status, service.requests), (503, []))
            nursery.cancel_scope.cancel()

    async def test_answer_to_a_request_from_before_the_signal(self) -> None:
        """Guards against a connection that closes though its caller was not told."""
        service = Upstream([a_late_answer(an_answer(), 0.5)])
        async with (
            a_fleet(2, s1=service) as (router, _),
            trio.open_nursery() as nursery,
        ):
            caller = router.a_caller("/book/7")
            nursery.start_soon(router.serve, caller)
            await trio.sleep(0.1)
            stop(router, left_s=7.6)
            await trio.sleep(0.5)
            self.assertTrue(caller.finished)
            self.assertEqual(caller.answer_headers.get("connection"), "close")

    async def test_cut_that_is_still_going_on_when_the_router_ends(self) -> None:
        """Guards against a cut request without an answer and without a log line."""
        service = Upstream([never_answer])
        log = mock.Mock()
        async with a_fleet(2, s1=service) as (router, _):
            caller = router.a_caller("/book/7")
            with mock.patch("corianderlb_router.forward_dispatcher.log_request", log):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(router.serve, caller)
                    await trio.sleep(0.1)
                    router.exchanges.cut()
                    nursery.cancel_scope.cancel()
            self.assertEqual((caller.status, log.call_count), (502, 1))
            self.assertEqual(log.call_args.kwargs["result"], "CUT_BY_SHUTDOWN")

    async def test_stop_waits_for_the_answers_to_what_it_cut(self) -> None:
        """Guards against an exit before a cut request is answered."""
        service = Upstream([never_answer])
        async with (
            a_fleet(2, s1=service) as (router, _),
            trio.open_nursery() as nursery,
        ):
            caller = router.a_caller("/book/7")
            nursery.start_soon(router.serve, caller)
            await trio.sleep(0.1)
            caller.reading = trio.Event()
            router.exchanges.cut()
            await trio.sleep(0.1)
            self.assertEqual(len(router.exchanges), 1)
            caller.reading.set()
            await router.exchanges.wait_until_empty()
            self.assertEqual(caller.status, 502)
