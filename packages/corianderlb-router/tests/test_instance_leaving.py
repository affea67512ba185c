"""Tests of instances that say in their answers that they leave."""

from __future__ import annotations

from corianderlb_core.instance_signals import InstanceSignals
from corianderlb_router.send_permits import PermittedOrders
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    MODEL,
    Upstream,
    a_router,
    a_stream,
    an_answer,
    an_instance,
)
from limit_builders import RecordedOrders

PROMPT = "a:100,own:50"
LEAVING_ANSWER = an_answer(x_leaving="1")
LEAVING_STREAM = a_stream(1, 3).replace(b"\r\n", b"\r\nx-leaving: 1\r\n", 1)


class LeavingTest(TrioTestCase):
    async def test_engine_that_says_it_leaves_gets_nothing_more(self) -> None:
        """Guards against leaving that is heard from the store alone."""
        leaving, other = Upstream([LEAVING_STREAM]), Upstream([a_stream(1, 3)])
        async with a_router(e1=leaving, e2=other) as router:
            for number in range(20):
                caller = await router.ask(
                    "/quick/7", x_id=f"q{number}", x_prompt=PROMPT
                )
                self.assertEqual(caller.status, 200)
        self.assertLessEqual(len(leaving.requests), 1)

    async def test_service_that_says_it_leaves_is_not_taken_for_want_of_others(
        self,
    ) -> None:
        """Guards against "none is fit, so take any"."""
        leaving = Upstream([LEAVING_ANSWER])
        async with a_router(s1=leaving) as router:
            statuses = [
                (await router.ask("/book/7", x_id=f"q{number}")).status
                for number in range(4)
            ]
        self.assertEqual(statuses, [200, 503, 503, 503])
        self.assertEqual(len(leaving.requests), 1)

    async def test_lists_of_the_store_do_not_bring_it_back(self) -> None:
        """Guards against an older entry, or a late heartbeat, that says "ready"."""
        leaving = Upstream([LEAVING_ANSWER])
        async with a_router(s1=leaving) as router:
            await router.ask("/book/7")
            for revision in (20, 21):
                router.list_instances(an_instance("s1", "app"), revision=revision)
                await router.ask("/book/7", x_id=f"q{revision}")
            router.list_instances(revision=22)
            router.list_instances(an_instance("s1", "app"), revision=23)
            await router.ask("/book/7", x_id="q23")
        self.assertEqual(len(leaving.requests), 1)

    async def test_next_incarnation_is_used(self) -> None:
        service = Upstream([LEAVING_ANSWER, an_answer()])
        async with a_router(s1=service) as router:
            await router.ask("/book/7")
            router.list_instances(an_instance("s1", "app", born_ms=2), revision=21)
            self.assertEqual((await router.ask("/book/7", x_id="q2")).status, 200)

    async def test_retry_does_not_go_to_it(self) -> None:
        """Guards against repeats that go where a first try may not."""
        leaving = Upstream([an_answer(b"", 503, x_not_run="1", x_leaving="1")])
        async with a_router(s1=leaving) as router:
            caller = await router.ask("/read/7")
            self.assertEqual(caller.status, 503)
        self.assertEqual(len(leaving.requests), 1)

    async def test_run_does_not_move_to_it(self) -> None:
        engine, leaving = an_instance("e1", "llm"), an_instance("e2", "llm")
        async with a_router(e1=Upstream([b""]), e2=Upstream([b""])) as router:
            table = router.engine_table
            source = table.view(engine, MODEL)
            self.assertIsNotNone(table.fallback(source, "llm", MODEL, 10.0))
            signals = InstanceSignals(is_leaving=True)
            router.permits.observe(leaving, signals, sent_at=0.0)
            self.assertIsNone(table.fallback(source, "llm", MODEL, 10.0))

    async def test_another_instance_at_its_address_says_nothing_of_it(self) -> None:
        """Guards against signals taken for those of the instance that was meant."""
        other = an_answer(b"", 421, x_instance="x9", x_limit="1")
        async with a_router(s1=Upstream([other])) as router:
            await router.ask("/book/7")
            self.assertEqual(router.limits.n_in_force, 0)

    async def test_report_that_says_so_counts_too(self) -> None:
        engine = an_instance("e1", "llm")
        async with a_router(e1=Upstream([b""])) as router:
            calls = RecordedOrders(InstanceSignals(is_leaving=True))
            await PermittedOrders(calls, router.permits).report(engine)
            self.assertFalse(router.state.accepts_requests(engine))
