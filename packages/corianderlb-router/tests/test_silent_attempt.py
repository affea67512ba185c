"""Tests of attempts that are silent for longer than a timeout and go on later."""

from __future__ import annotations

import dataclasses

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.forwarding import ForwardAccount, key_digest
from corianderlb_core.usage_cap import UsageCap
from corianderlb_core.weights_rollout import EnginePhase
from corianderlb_router.memory_copier import CopyOutcome
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from forward_builders import (
    MODEL,
    NOT_RUN,
    ROUTES,
    ForwardRouter,
    Upstream,
    a_configuration,
    a_late_answer,
    a_pausing_stream,
    a_router,
    a_stream,
    an_answer,
    an_event,
    an_instance,
    break_early,
    break_off,
    never_answer,
)
from test_forward_run import keep_engine_responsive
from test_run_mover import Copier, begin_and_stall

PROMPT = "a:100,own:50"

MAX_WEIGHTS_AGE_S = 10.0
"""Age of replaced weights from which no request may begin on them."""

NO_BUDGET = BudgetTerms(ratio=0.0, fixed=0.0)
"""Terms that allow no retry."""

ONE_RETRY = BudgetTerms(ratio=0.0, fixed=1.25)
"""Terms that allow one retry in a window."""


class SilentAttemptTest(TrioTestCase):
    def assert_whole(self, caller: FakeCaller, n_events: int) -> None:
        """Assert that a caller got each event of a stream once, and its end."""
        events = b"".join(an_event(n) for n in range(1, n_events + 1))
        self.assertEqual((caller.answer, caller.finished), (events, True))

    async def test_last_attempt_pauses_beside_a_change_of_the_configuration(
        self,
    ) -> None:
        """Guards against a cut at a pause after an engine that never began."""
        engine = Upstream([never_answer, a_pausing_stream(1, 4, 1, 2.0)])
        async with a_router(e1=engine, e2=engine) as router:
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, caller)
                await trio.sleep(1.5)
                routes = tuple(
                    dataclasses.replace(route, timeout_s=4.0) for route in ROUTES
                )
                router.configure(a_configuration(routes=routes, revision=11))
            self.assert_whole(caller, 4)
            self.assertEqual(len(engine.requests), 2)

    async def test_pause_without_retry_budget(self) -> None:
        """Guards against a cut answer when the retry budget allows no attempt."""
        engine = Upstream([a_pausing_stream(1, 6, 4, 2.0)])
        async with a_router(NO_BUDGET, e1=engine, e2=engine) as router:
            self.assert_whole(await router.ask("/long/7", x_prompt=PROMPT), 6)

    async def test_pause_after_a_move_to_another_engine(self) -> None:
        """Guards against a cut answer whose copied run may not be run again."""
        engine = Upstream([begin_and_stall, a_pausing_stream(3, 5, 3, 2.0)])
        async with a_router(e1=engine, e2=engine) as router:
            router.use_copier(Copier())
            self.assert_whole(await self.ask_and_empty(router), 5)

    async def test_late_head_after_a_restart_on_another_engine(self) -> None:
        """Guards against a cut answer when its last attempt begins late."""
        late = a_late_answer(a_stream(3, 4), 3.5)
        engine = Upstream([begin_and_stall, late])
        async with a_router(e1=engine, e2=engine) as router:
            router.use_copier(Copier(CopyOutcome.NO_CAPACITY))
            self.assert_whole(await self.ask_and_empty(router), 4)

    async def ask_and_empty(self, router: ForwardRouter) -> FakeCaller:
        """Request a stream and empty its engine for a load in the middle of it."""
        caller = router.a_caller("/long/7", x_prompt=PROMPT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(router.serve, caller)
            await trio.sleep(0.1)
            (engine,) = (
                router.state.instance(name)
                for name in ("e1", "e2")
                if router.parts.in_flight.n_on(name)
            )
            router.engine_table.weights.set_phase(engine, EnginePhase.CLEARING)
        return caller

    async def test_late_head_after_an_engine_broke_off(self) -> None:
        """Guards against a cut answer when its last attempt begins late."""
        engine = Upstream([break_off, a_late_answer(a_stream(3, 4), 3.5)])
        async with a_router(e1=engine, e2=engine) as router:
            self.assert_whole(await router.ask("/long/7", x_prompt=PROMPT), 4)

    async def test_late_head_without_retry_budget(self) -> None:
        """Guards against a timeout of the only attempt long before the deadline."""
        engine = Upstream([a_late_answer(a_stream(1, 3), 3.5)])
        async with a_router(NO_BUDGET, e1=engine, e2=engine) as router:
            self.assert_whole(await router.ask("/long/7", x_prompt=PROMPT), 3)

    async def test_late_head_of_an_account_over_its_cap(self) -> None:
        """Guards against a timeout when the account has no room for a second run."""
        engine = Upstream([a_late_answer(a_stream(1, 3), 3.5)])
        cap = UsageCap(0.01, 1.0)
        account = ForwardAccount("acme", (key_digest("key"),), cap=cap)
        async with a_router(e1=engine, e2=engine) as router:
            router.configure(a_configuration(accounts=(account,), revision=11))
            self.assert_whole(await router.ask("/long/7", x_prompt=PROMPT), 3)

    async def test_late_head_without_another_engine(self) -> None:
        """Guards against giving up the only engine that takes requests."""
        engine = Upstream([a_late_answer(a_stream(1, 3), 4.5)])
        async with a_router(e1=engine, e2=engine) as router:
            leaving = an_instance("e2", "llm", is_leaving=True)
            router.list_instances(an_instance("e1", "llm"), leaving, revision=30)
            self.assert_whole(await router.ask("/long/7", x_prompt=PROMPT), 3)
            self.assertEqual(len(engine.requests), 1)

    async def test_late_read_without_retry_budget(self) -> None:
        """Guards against a timeout of the only attempt long before the deadline."""
        service = Upstream([a_late_answer(an_answer(), 2.0)])
        async with a_router(NO_BUDGET, s1=service, s2=service) as router:
            caller = await router.ask("/read/7")
            self.assertEqual((caller.status, caller.answer), (200, b"done"))

    async def test_retry_of_a_read_that_was_never_sent_is_charged_once(self) -> None:
        """Guards against a refusal by the budget after its last retry is reserved."""
        routes = tuple(dataclasses.replace(route, objective_s=0.2) for route in ROUTES)
        lost, sound = Upstream([an_answer()], accepts=False), Upstream([an_answer()])
        async with a_router(ONE_RETRY, s1=lost) as router:
            router.configure(a_configuration(routes=routes, revision=11))
            caller = router.a_caller("/read/7")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, caller)
                await trio.sleep(0.05)
                router.network.upstreams["s2"] = sound
                s1, s2 = router.state.instance("s1"), an_instance("s2", "app")
                router.list_instances(s1, s2, revision=30)
            self.assertEqual(caller.status, 200)

    async def test_silent_engine_is_left_once_the_budget_allows_it(self) -> None:
        """Guards against waiting for a dead engine when a retry has become possible."""
        budget = BudgetTerms(ratio=0.2, fixed=0.0)
        dead, sound = Upstream([never_answer]), Upstream([a_stream(1, 3)])
        async with a_router(budget, e1=dead) as router:
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, caller)
                await trio.sleep(0.1)
                router.network.upstreams["e2"] = sound
                e1, e2 = router.state.instance("e1"), an_instance("e2", "llm")
                router.list_instances(e1, e2, revision=30)
                await trio.sleep(2.0)
                self.assertEqual(len(sound.requests), 0)
                llm = router.parts.budget("llm")
                for _ in range(10):
                    llm.record_request(trio.current_time(), 1)
                await trio.sleep(0.5)
                self.assertTrue(caller.finished)
            self.assert_whole(caller, 3)

    async def test_last_attempt_is_withdrawn_from_expiring_weights(self) -> None:
        """Guards against a cut answer when its last attempt has not begun in time."""
        old = Upstream([break_off, never_answer])
        async with a_router(e1=old) as router:
            caller = await self.ask_before_expiry(router, a_stream(3, 4))
            self.assert_whole(caller, 4)

    async def test_last_attempt_that_never_began_is_withdrawn(self) -> None:
        """Guards against a timeout of a request that no engine has begun."""
        old = Upstream([break_early, never_answer])
        async with a_router(e1=old) as router:
            caller = await self.ask_before_expiry(router, a_stream(1, 4))
            self.assert_whole(caller, 4)

    async def test_refusals_after_a_withdrawal_claim_no_not_run(self) -> None:
        """Guards against "not run" for a request that its engine may have begun."""
        old = Upstream([never_answer])
        async with a_router(e1=old) as router, trio.open_nursery() as nursery:
            e1 = router.state.instance("e1")
            nursery.start_soon(keep_engine_responsive, router, e1)
            caller = await self.ask_before_expiry(router, NOT_RUN)
            self.assertEqual(caller.status, 502)
            nursery.cancel_scope.cancel()

    async def ask_before_expiry(
        self, router: ForwardRouter, newer_answer: bytes
    ) -> FakeCaller:
        """Request a stream 2.5 s before its engine's weights are too old to begin on.

        Another engine, with newer weights, appears right after its second attempt.
        """
        router.limit_weights(MAX_WEIGHTS_AGE_S)
        router.name_weights(1)
        router.name_weights(2)
        await trio.sleep(MAX_WEIGHTS_AGE_S - 2.5)
        caller = router.a_caller("/long/7", x_prompt=PROMPT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(router.serve, caller)
            await trio.sleep(0.2)
            router.network.upstreams["e2"] = Upstream([newer_answer])
            e1 = router.state.instance("e1")
            e2 = an_instance("e2", "llm", weights=((MODEL, 2),))
            router.list_instances(e1, e2, revision=40)
        return caller

    async def test_rest_of_an_answer_is_refused_for_a_while(self) -> None:
        """Guards against a cut answer when all engines are full for a moment."""
        refusals = [NOT_RUN] * 12
        engine = Upstream([begin_and_stall, *refusals, a_stream(3, 4)])
        budget = BudgetTerms(ratio=0.0, fixed=50.0)
        async with a_router(budget, e1=engine, e2=engine) as router:
            self.assert_whole(await router.ask("/long/7", x_prompt=PROMPT), 4)

    async def test_all_others_refuse_the_rest_of_an_answer(self) -> None:
        """Guards against a cut answer that only its first engine goes on with."""
        first = Upstream([a_pausing_stream(1, 6, 4, 3.0), a_stream(5, 6)])
        async with a_router(e1=first) as router:
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, caller)
                await trio.sleep(0.1)
                full = Upstream([NOT_RUN])
                router.network.upstreams.update(e2=full, e3=full)
                engines = [an_instance(name, "llm") for name in ("e1", "e2", "e3")]
                router.list_instances(*engines, revision=30)
            self.assert_whole(caller, 6)

    async def test_no_engine_takes_the_rest_of_an_answer_for_a_while(self) -> None:
        """Guards against a cut answer when all engines rest for a moment."""
        rest = an_answer(b"", 503, x_not_run="1", retry_after="1")
        engine = Upstream([break_off, rest, rest, a_stream(3, 4)])
        async with a_router(e1=engine, e2=engine) as router:
            self.assert_whole(await router.ask("/long/7", x_prompt=PROMPT), 4)
