"""Tests of instances that ask for rest when they turn a request away."""

from __future__ import annotations

from unittest import mock

import trio

from corianderlb_core.instance_signals import InstanceSignals
from corianderlb_router.memory_copier import CopyOutcome, MemoryCopy
from corianderlb_router.send_permits import PermittedCopier, PermittedOrders
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import MODEL, Upstream, a_fleet, a_router, an_answer, an_instance
from limit_builders import RecordedOrders, an_order

PROMPT = "a:100,own:50"
REST = an_answer(b"", 503, x_not_run="1", retry_after="3")

MAX_IN_REST = 2
"""Requests that an instance may get in a rest that it has asked for."""


class RestTest(TrioTestCase):
    async def test_engines_get_nothing_in_their_rest(self) -> None:
        """Guards against a fixed backoff in place of the rest that is asked for."""
        engines = {name: Upstream([REST]) for name in ("e1", "e2")}
        async with a_router(**engines) as router:
            for number in range(28):
                await router.ask("/quick/7", x_id=f"q{number}", x_prompt=PROMPT)
                await trio.sleep(0.1)
        for engine in engines.values():
            self.assertLessEqual(len(engine.requests), 1 + MAX_IN_REST)

    async def test_services_get_nothing_in_their_rest(self) -> None:
        services = {name: Upstream([REST]) for name in ("s1", "s2")}
        async with a_router(**services) as router:
            for number in range(28):
                await router.ask("/book/7", x_id=f"q{number}")
                await trio.sleep(0.1)
        for service in services.values():
            self.assertLessEqual(len(service.requests), 1 + MAX_IN_REST)

    async def test_caller_is_refused_at_once_when_all_instances_rest(self) -> None:
        """Guards against callers who wait for what can't be served in their time."""
        async with a_router(s1=Upstream([REST])) as router:
            await router.ask("/book/7")
            start = trio.current_time()
            caller = await router.ask("/book/7", x_id="q2", x_deadline_s="30")
            self.assertEqual((caller.status, trio.current_time()), (503, start))
            retry_after_s = float(caller.answer_headers["retry-after"])
            self.assertTrue(5 / 3 >= retry_after_s >= 1.0)

    async def test_other_instances_serve_meanwhile(self) -> None:
        resting, other = Upstream([REST]), Upstream([an_answer()])
        async with a_router(s1=resting, s2=other) as router:
            for number in range(20):
                caller = await router.ask("/book/7", x_id=f"q{number}")
                self.assertEqual(caller.status, 200)
        self.assertLessEqual(len(resting.requests), 1)

    async def test_instance_is_used_again_after_its_rest(self) -> None:
        service = Upstream([REST, an_answer()])
        async with a_router(s1=service) as router:
            await router.ask("/book/7")
            await trio.sleep(3.01)
            self.assertEqual((await router.ask("/book/7", x_id="q2")).status, 200)

    async def test_retries_do_not_disturb_the_rest(self) -> None:
        """Guards against repeats that go where a first try may not."""
        failing, resting = Upstream([an_answer(b"bad", 500)]), Upstream([REST])
        async with a_router(s1=failing, s2=resting) as router:
            for number in range(20):
                await router.ask("/read/7", x_id=f"q{number}")
        self.assertLessEqual(len(resting.requests), 1)

    async def test_rest_binds_the_router_that_was_asked(self) -> None:
        service = Upstream([REST, an_answer()])
        async with a_fleet(2, s1=service) as (first, second):
            self.assertEqual((await first.ask("/book/7")).status, 503)
            self.assertEqual((await second.ask("/book/7")).status, 200)

    async def test_run_does_not_move_to_a_resting_engine(self) -> None:
        engine, resting = an_instance("e1", "llm"), an_instance("e2", "llm")
        async with a_router(e1=Upstream([b""]), e2=Upstream([b""])) as router:
            table = router.engine_table
            source = table.view(engine, MODEL)
            self.assertIsNotNone(table.fallback(source, "llm", MODEL, 10.0))
            router.permits.observe(resting, InstanceSignals(rest_s=3.0), 0.0)
            self.assertIsNone(table.fallback(source, "llm", MODEL, 10.0))

    async def test_resting_engine_gets_one_order_and_no_report(self) -> None:
        """Guards against polls of an engine's weights that are its only traffic."""
        engine, calls = an_instance("e1", "llm"), RecordedOrders()
        async with a_router(e1=Upstream([b""])) as router:
            router.permits.observe(engine, InstanceSignals(rest_s=3.0), 0.0)
            orders = PermittedOrders(calls, router.permits)
            for _ in range(3):
                await orders.order(engine, an_order())
            start = trio.current_time()
            await orders.report(engine)
            self.assertGreaterEqual(trio.current_time() - start, 2.9)
        self.assertEqual((calls.n_orders, calls.n_reports), (1, 1))

    async def test_copies_of_runs_leave_a_resting_engine_alone(self) -> None:
        engine, copier = an_instance("e1", "llm"), mock.AsyncMock()
        copier.copy.return_value = MemoryCopy(CopyOutcome.COPIED, "h")
        async with a_router(e1=Upstream([b""])) as router:
            router.permits.observe(engine, InstanceSignals(rest_s=3.0), 0.0)
            permitted = PermittedCopier(copier, router.permits)
            for _ in range(3):
                await permitted.copy(engine, "q1", engine)
                await permitted.drop(engine, "h")
        self.assertEqual(copier.copy.await_count + copier.drop.await_count, 1)

    async def test_stepped_clock_changes_nothing(self) -> None:
        """Guards against rests that are counted by the time of day."""
        service = Upstream([REST])
        with mock.patch("time.time", lambda: 4e9 * (trio.current_time() > 1)):
            async with a_router(s1=service) as router:
                for number in range(28):
                    await router.ask("/book/7", x_id=f"q{number}")
                    await trio.sleep(0.1)
        self.assertLessEqual(len(service.requests), 1 + MAX_IN_REST)

    async def test_resting_instances_are_counted(self) -> None:
        async with a_router(s1=Upstream([REST])) as router:
            await router.ask("/book/7")
            self.assertEqual(router.permits.n_resting, 1)
            await trio.sleep(3.01)
            self.assertEqual(router.permits.n_resting, 0)
