"""Tests of an attempt that stands by for a silent one: the first to go on answers."""

from __future__ import annotations

import dataclasses
import itertools
import os
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import eliot
import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.weights_rollout import EnginePhase
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from forward_builders import (
    NOT_RUN,
    ROUTES,
    ForwardRouter,
    Upstream,
    a_configuration,
    a_late_answer,
    a_pausing_stream,
    a_router,
    a_stream,
    an_event,
    an_instance,
    break_early,
    break_off_after,
    chunk,
    never_answer,
)
from race_engines import N_EVENTS, RandomEngine
from run_answers import order_faults
from test_forward_run import keep_engine_responsive
from test_run_mover import Copier

PROMPT = "a:100,own:50"

SEEDS = range(1, 41 + int(os.environ.get("RACE_SEEDS", "0")))
"""Seeds of the random races; more are played by hand."""

NEVER_ENDS = a_stream(1, 4, ends=False)
"""Four events, then nothing until the connection is closed."""


class SlowToDrop(Copier):
    """Copier whose engine takes long to free a copy."""

    async def drop(self, *_: object) -> None:
        await trio.sleep(10.0)


class AttemptRaceTest(TrioTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, Any]] = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    @asynccontextmanager
    async def asked(
        self, first: Upstream, budget: BudgetTerms | None = None, **others: Upstream
    ) -> AsyncIterator[tuple[ForwardRouter, FakeCaller]]:
        """Request a stream of ``first`` and list the others when it is sent.

        The request ends before the context does.
        """
        async with a_router(budget, e1=first) as router:
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            async with trio.open_nursery() as nursery:
                self.asked_at = trio.current_time()
                nursery.start_soon(self.serve, router, caller)
                await trio.sleep(0.1)
                self.list_others(router, **others)
                yield router, caller

    def list_others(self, router: ForwardRouter, **others: Upstream) -> None:
        """List further engines; those named ``v...`` run other software."""
        router.network.upstreams.update(others)
        engines = [
            an_instance(
                name, "llm", software_version="v2" if name.startswith("v") else ""
            )
            for name in others
        ]
        router.list_instances(router.state.instance("e1"), *engines, revision=30)

    async def serve(self, router: ForwardRouter, caller: FakeCaller) -> None:
        await router.serve(caller)
        self.took_s = trio.current_time() - self.asked_at

    async def race(
        self, first: Upstream, budget: BudgetTerms | None = None, **others: Upstream
    ) -> tuple[ForwardRouter, FakeCaller]:
        """Request a stream of ``first``, with others to stand by for it."""
        async with self.asked(first, budget, **others) as (router, caller):
            pass
        self.assert_released(router)
        return router, caller

    async def test_long_silence_counts_before_another_engine_has_begun(self) -> None:
        """Guards against requests sent to an engine that stands still for long."""
        silent = Upstream([a_pausing_stream(1, 4, 1, 6.0)])
        refusing = Upstream([NOT_RUN])
        async with self.asked(silent, e2=refusing) as (router, _):
            key = router.state.instance("e1").incarnation_key
            await trio.sleep(2.0)
            self.assertEqual(router.health.failure_rate(key), 0.0)
            await trio.sleep(1.0)
            once = router.health.failure_rate(key)
            self.assertGreater(once, 0.0)
            await trio.sleep(1.0)
            self.assertEqual(router.health.failure_rate(key), once)

    def assert_whole(
        self, caller: FakeCaller, n_events: int, took_s: float, outcomes: str
    ) -> None:
        """Assert that each event came once, the end, its time, and the attempts."""
        events = b"".join(an_event(n) for n in range(1, n_events + 1))
        self.assertEqual((caller.answer, caller.finished), (events, True))
        self.assertAlmostEqual(self.took_s, took_s, delta=0.03)
        self.assert_outcomes(outcomes)

    def outcomes(self) -> list[str]:
        """Return how the attempts of the last request ended, in order."""
        name = "request:ended"
        ended = [line for line in self.lines if line.get("message_type") == name][-1]
        return [f"{item.instance}:{item.outcome}" for item in ended["attempts"]]

    def assert_outcomes(self, outcomes: str) -> None:
        """Assert how the attempts of the last request ended."""
        self.assertEqual(self.outcomes(), outcomes.split())

    def assert_released(self, router: ForwardRouter) -> None:
        """Assert that nothing of a request is counted once it has ended."""
        parts = router.parts
        self.assertEqual(len(parts.in_flight), 0)
        self.assertEqual(sum(parts.standbys.values()), 0)
        for instance in parts.state.instances("llm"):
            entry = parts.health._entries[instance.incarnation_key]
            self.assertEqual((entry.n_in_flight, entry.n_begun), (0, 0))

    async def test_silent_engine_goes_on_while_all_others_refuse(self) -> None:
        """Guards against giving up the only engine that would have gone on."""
        first, full = Upstream([a_pausing_stream(1, 6, 4, 2.0)]), Upstream([NOT_RUN])
        _, caller = await self.race(first, e2=full, e3=full)
        self.assertEqual(len(first.requests), 1)
        self.assertEqual(caller.answer, b"".join(map(an_event, range(1, 7))))
        self.assertTrue(caller.finished)
        self.assertAlmostEqual(self.took_s, 2.0, delta=0.03)

    async def test_silent_engine_goes_on_before_the_other_begins(self) -> None:
        """Guards against a prompt that is read again for nothing."""
        first = Upstream([a_pausing_stream(1, 6, 4, 2.0)])
        other = Upstream([a_late_answer(a_stream(5, 6), 1.5)])
        router, caller = await self.race(first, e2=other)
        self.assert_whole(caller, 6, 2.0, "e2:superseded e1:ok")
        self.assertEqual(other.requests[0]["x-after"], "4")
        self.assertEqual(router.parts.budget("llm").n_retries, 1)
        health = router.health
        for name in ("e1", "e2"):
            key = router.state.instance(name).incarnation_key
            self.assertEqual(health.failure_rate(key), 0.0)

    async def test_other_engine_begins_first(self) -> None:
        """Guards against a run that goes on beside that of another engine."""
        first, other = Upstream([NEVER_ENDS]), Upstream([a_pausing_stream(5, 7, 5, 1)])
        async with self.asked(first, e2=other) as (router, caller):
            await trio.sleep(1.15)
            self.assertEqual(first.n_closed, 1)
            self.assertEqual(len(router.parts.in_flight), 1)
        self.assert_whole(caller, 7, 2.2, "e1:silent e2:ok")
        key = router.state.instance("e1").incarnation_key
        self.assertGreater(router.health.failure_rate(key), 0.0)
        self.assertEqual(router.parts.budget("llm").n_retries, 1)
        self.assert_released(router)

    async def test_both_engines_go_on_at_the_same_moment(self) -> None:
        """Guards against events that come twice, or from two runs by turns."""
        for other_after_s in (0.8 - 1e-9, 0.8, 0.8 + 1e-9):
            first = Upstream([a_pausing_stream(1, 6, 4, 2.0)])
            other = Upstream([a_late_answer(a_stream(5, 6), other_after_s)])
            _, caller = await self.race(first, e2=other)
            events = b"".join(an_event(n) for n in range(1, 7))
            self.assertEqual((caller.answer, caller.finished), (events, True))

    async def test_other_engine_breaks_off_before_it_begins(self) -> None:
        """Guards against the loss of the silent attempt by a failure of the other."""
        first = Upstream([a_pausing_stream(1, 6, 4, 2.0)])
        _, caller = await self.race(first, e2=Upstream([break_early]))
        self.assert_whole(caller, 6, 2.0, "e2:broken e1:ok")

    async def test_silent_engine_breaks_off_while_the_other_stands_by(self) -> None:
        """Guards against a cut answer that an attempt already stands by for."""
        first = Upstream([break_off_after(4, 1.5)])
        other = Upstream([a_late_answer(a_stream(5, 6), 1.0)])
        router, caller = await self.race(first, e2=other)
        self.assert_whole(caller, 6, 2.2, "e1:broken e2:ok")
        self.assertEqual(router.parts.budget("llm").n_retries, 1)

    async def test_head_comes_while_another_engine_stands_by(self) -> None:
        """Guards against giving up an engine that begins before the other one."""
        first = Upstream([a_late_answer(a_stream(1, 3), 2.0)])
        other = Upstream([a_late_answer(a_stream(1, 3), 1.5)])
        _, caller = await self.race(first, e2=other)
        self.assert_whole(caller, 3, 2.0, "e2:superseded e1:ok")

    async def test_other_engine_begins_before_the_head(self) -> None:
        """Guards against a wait for an engine that never begins."""
        _, caller = await self.race(
            Upstream([never_answer]), e2=Upstream([a_stream(1, 3)])
        )
        self.assert_whole(caller, 3, 1.0, "e1:silent e2:ok")

    async def test_first_event_binds_the_version_of_two_open_attempts(self) -> None:
        """Guards against events of another software version than the first one's."""
        late = a_late_answer(a_stream(1, 2, ends=False), 2.0)
        first, other = Upstream([late]), Upstream([a_late_answer(a_stream(1, 4), 1.5)])
        router, caller = await self.race(first, v2=other)
        self.assertEqual(caller.answer, an_event(1) + an_event(2))
        self.assertEqual((caller.finished, len(other.requests)), (False, 1))
        self.assert_outcomes("v2:superseded e1:abandoned")
        (origin,) = router.parts.origins._table.own("llm", trio.current_time())
        self.assertEqual(origin.version, "")

    async def test_version_of_the_attempt_that_stood_by(self) -> None:
        """Guards against events of the silent engine's version after another's."""
        first = Upstream([a_late_answer(a_stream(1, 4), 2.0)])
        other = Upstream([a_late_answer(a_stream(1, 2, ends=False), 0.5)])
        router, caller = await self.race(first, v2=other)
        self.assertEqual(caller.answer, an_event(1) + an_event(2))
        self.assert_outcomes("e1:silent v2:abandoned")
        (origin,) = router.parts.origins._table.own("llm", trio.current_time())
        self.assertEqual(origin.version, "v2")

    async def test_deadline_ends_both_attempts(self) -> None:
        """Guards against a run that nobody waits for."""
        first, other = Upstream([NEVER_ENDS]), Upstream([never_answer])
        _, caller = await self.race(first, e2=other)
        self.assertFalse(caller.finished)
        self.assertAlmostEqual(self.took_s, 4.98, delta=0.03)
        self.assertEqual(first.n_closed, 1)
        self.assertEqual(sorted(self.outcomes()), ["e1:abandoned", "e2:abandoned"])

    async def test_caller_that_leaves_ends_both_attempts(self) -> None:
        """Guards against runs that go on for a caller that has left."""
        first, other = Upstream([NEVER_ENDS]), Upstream([b""])
        async with self.asked(first, e2=other) as (router, caller):
            await trio.sleep(1.4)
            self.assertEqual((first.n_closed, other.n_closed), (0, 0))
            caller.gone.set()
            await trio.sleep(0.05)
            self.assertEqual((first.n_closed, other.n_closed), (1, 1))
        self.assert_released(router)

    async def test_refused_attempts_are_charged_to_the_account_once(self) -> None:
        """Guards against an account that pays for runs that were refused."""
        first = Upstream([a_pausing_stream(1, 6, 4, 2.0)])
        async with self.asked(first, e2=Upstream([NOT_RUN])) as (router, _):
            charges: list[Any] = []
            ledger = router.parts.usage.ledger
            ledger.charge_always = lambda *args: charges.append(args)
        self.assertEqual((len(charges), self.outcomes()[-1]), (1, "e1:ok"))

    async def test_engine_that_waits_for_a_load_is_silent(self) -> None:
        """Guards against a move beside an attempt that stands by: two more runs."""
        first = Upstream([a_pausing_stream(1, 6, 4, 2.0)])
        async with a_router(e1=first) as router:
            copier = router.use_copier(Copier())
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            other = Upstream([a_late_answer(a_stream(5, 6), 1.5)])
            async with trio.open_nursery() as nursery:
                self.asked_at = trio.current_time()
                nursery.start_soon(self.serve, router, caller)
                await trio.sleep(0.1)
                self.list_others(router, e2=other)
                await trio.sleep(1.3)
                weights = router.engine_table.weights
                weights.set_phase(router.state.instance("e1"), EnginePhase.CLEARING)
            self.assert_whole(caller, 6, 2.0, "e2:superseded e1:ok")
            self.assertEqual(copier.copies, [])

    async def test_dead_engine_is_left_at_once(self) -> None:
        """Guards against callers that wait for an engine that is gone for good."""
        first, other = Upstream([NEVER_ENDS]), Upstream([a_stream(5, 6)])
        _, caller = await self.race(first, e2=other)
        self.assert_whole(caller, 6, 1.2, "e1:silent e2:ok")

    async def test_engine_that_is_heard_takes_over(self) -> None:
        """Guards against a stream that goes on at an engine that is silent too."""
        first, still = Upstream([NEVER_ENDS]), Upstream([NEVER_ENDS])
        heard, quiet = Upstream([a_stream(5, 6)]), Upstream([a_stream(5, 6)])
        async with self.asked(first, e2=still) as (router, caller):
            await self.begin_on_second(router, heard, quiet)
            async with trio.open_nursery() as nursery:
                e3 = router.state.instance("e3")
                nursery.start_soon(keep_engine_responsive, router, e3)
                await trio.sleep(1.3)
                nursery.cancel_scope.cancel()
            self.assertTrue(caller.finished)
        self.assertEqual((len(heard.requests), len(quiet.requests)), (2, 0))

    async def test_silence_that_is_shared_moves_nothing(self) -> None:
        """Guards against streams that change places while all engines stand still."""
        first = Upstream([a_pausing_stream(1, 6, 4, 1.9)])
        still = Upstream([a_pausing_stream(1, 6, 4, 1.9)])
        quiet = Upstream([a_stream(5, 6)])
        async with self.asked(first, e2=still) as (router, caller):
            await self.begin_on_second(router, quiet, quiet)
        self.assert_whole(caller, 6, 1.9, "e1:ok")
        self.assertEqual(len(quiet.requests), 0)

    async def test_others_go_on_a_moment_before(self) -> None:
        """Guards against moves at the end of a pause that all engines share."""
        first = Upstream([a_pausing_stream(1, 6, 4, 1.6)])
        still = Upstream([a_pausing_stream(1, 6, 4, 1.05)])
        quiet = Upstream([a_stream(5, 6)])
        async with self.asked(first, e2=still) as (router, caller):
            await self.begin_on_second(router, quiet)
        self.assert_whole(caller, 6, 1.6, "e1:ok")

    async def test_engine_goes_on_with_another_stream_first(self) -> None:
        """Guards against moves of streams whose turn comes after a pause."""
        pauses = (1.15, 2.2)
        first = Upstream([a_pausing_stream(1, 6, 4, pause_s) for pause_s in pauses])
        other = Upstream([a_stream(5, 6)])
        async with a_router(e1=first) as router:
            callers = [
                router.a_caller("/long/7", x_prompt=PROMPT, x_id=f"q{n}")
                for n in range(2)
            ]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(router.serve, caller)
                    await trio.sleep(0.01)
                self.list_others(router, e2=other)
            self.assertTrue(all(caller.finished for caller in callers))
        self.assertEqual(len(other.requests), 0)

    async def test_stream_hangs_beside_one_that_is_slow(self) -> None:
        """Guards against a stream that is left hanging on an engine that goes on."""

        async def go_on(stream: trio.abc.Stream) -> None:
            await stream.send_all(a_stream(1, 1, ends=False))
            for number in range(2, 10):
                await trio.sleep(0.6)
                await stream.send_all(chunk(an_event(number)))
            await stream.send_all(b"0\r\n\r\n")

        first, other = Upstream([NEVER_ENDS, go_on]), Upstream([a_stream(5, 6)])
        async with a_router(e1=first) as router:
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            slow = router.a_caller("/long/7", x_prompt=PROMPT, x_id="q2")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, caller)
                await trio.sleep(0.01)
                nursery.start_soon(router.serve, slow)
                await trio.sleep(0.01)
                self.list_others(router, e2=other)
        self.assertTrue(slow.finished)
        self.assertTrue(caller.finished)

    async def test_silence_that_is_shared_for_too_long(self) -> None:
        """Guards against streams that wait for dead engines beside an idle one."""
        first, still = Upstream([NEVER_ENDS]), Upstream([NEVER_ENDS])
        quiet = Upstream([a_stream(5, 6)])
        async with self.asked(first, e2=still) as (router, caller):
            await self.begin_on_second(router, quiet, quiet)
            await trio.sleep(2.6)
            self.assertTrue(caller.finished)

    async def begin_on_second(self, router: ForwardRouter, *others: Upstream) -> None:
        """Begin a stream on the engine ``e2``, then list others."""
        nursery = router.network._nursery
        e1, e2 = router.state.instance("e1"), router.state.instance("e2")
        router.list_instances(e2, revision=31)
        second = router.a_caller("/long/7", x_prompt="a:100,other:50", x_id="q2")
        nursery.start_soon(router.serve, second)
        await trio.sleep(0.01)
        names = [f"e{n}" for n in range(3, 3 + len(others))]
        router.network.upstreams.update(zip(names, others, strict=True))
        more = [an_instance(name, "llm") for name in names]
        router.list_instances(e1, e2, *more, revision=32)

    async def test_engine_with_an_unused_copy_does_not_answer(self) -> None:
        """Guards against a run that goes on while a copy of it is freed."""
        first = Upstream([NEVER_ENDS])
        async with a_router(e1=first) as router:
            copier = router.use_copier(SlowToDrop(takes_s=0.6))
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            other = Upstream([a_late_answer(a_stream(5, 6, ends=False), 0.5)])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, caller)
                await trio.sleep(0.1)
                self.list_others(router, e2=other)
                await trio.sleep(0.9)
                weights = router.engine_table.weights
                weights.set_phase(router.state.instance("e1"), EnginePhase.CLEARING)
                await trio.sleep(0.75)
                self.assertEqual(len(copier.copies), 1)
                self.assertTrue(caller.answer.endswith(an_event(6)))
                self.assertEqual(first.n_closed, 1)


class RandomRaceTest(TrioTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, Any]] = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    async def test_random_pauses_refusals_and_breaks(self) -> None:
        """Guards against events twice, missing or of two runs, whatever happens."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def test_random_engines_that_go_on_elsewhere(self) -> None:
        """Guards against a run joined where it was not asked to go on."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(random.Random(seed), odd_share=0.5)

    async def test_random_moves_beside_races(self) -> None:
        """Guards against a move that loses or repeats events beside another attempt."""
        n_moved = 0
        for seed in SEEDS[::2]:
            with self.subTest(seed=seed):
                await self.play(random.Random(seed), moves=True)
            n_moved += sum(
                attempt.outcome in ("moved", "restarted")
                for line in self.lines
                for attempt in line.get("attempts", ())
            )
            self.lines.clear()
        self.assertGreater(n_moved, 0)

    async def empty_engines(self, router: ForwardRouter, rng: random.Random) -> None:
        """Change the phase of a random engine, again and again."""
        phases = (EnginePhase.EMPTYING, EnginePhase.CLEARING, EnginePhase.SERVING)
        while True:
            await trio.sleep(rng.choice((0.05, 0.1, 0.25, 0.6)))
            engine = router.state.instance(rng.choice(("e1", "e2", "e3")))
            router.engine_table.weights.set_phase(engine, rng.choice(phases))

    async def play(
        self, rng: random.Random, odd_share: float = 0.0, moves: bool = False
    ) -> None:
        """Request some streams of three engines, and check each answer."""
        engines = {
            name: RandomEngine(name=name, odd_share=odd_share, rng=rng)
            for name in ("e1", "e2", "e3")
        }
        async with a_router(BudgetTerms(fixed=500.0), **engines) as router:
            routes = (dataclasses.replace(ROUTES[2], max_attempts=3, timeout_s=12.0),)
            router.configure(a_configuration(routes=routes, revision=11))
            for number in range(4):
                caller = router.a_caller("/long/7", x_prompt=PROMPT, x_id=f"q{number}")
                for engine in engines.values():
                    engine.runs.clear()
                async with trio.open_nursery() as nursery:
                    if moves:
                        router.use_copier(Copier(takes_s=rng.choice((0.05, 0.4))))
                        nursery.start_soon(self.empty_engines, router, rng)
                    with trio.move_on_after(rng.choice((2.0, 5.0, 20.0))):
                        await router.serve(caller)
                    nursery.cancel_scope.cancel()
                self.check(caller, engines, 6 if moves else 3)
                parts = router.parts
                n_left = sum(parts.standbys.values()) + len(parts.in_flight)
                self.assertEqual(n_left, 0)
                await trio.sleep(5.0)

    def check(
        self, caller: FakeCaller, engines: dict[str, RandomEngine], n_runs: int
    ) -> None:
        """Assert that an answer is in order, and that no two runs went on at a time."""
        if caller.status == 200:
            n_events = caller.answer.count(b"id: ")
            self.assertEqual(order_faults(caller.answer), [])
            self.assertEqual(n_events if caller.finished else N_EVENTS, N_EVENTS)
        runs = [run for engine in engines.values() for run in engine.runs]
        runs.sort(key=lambda run: run.began_at)
        for run, later in itertools.pairwise(runs):
            overlap_s = min(run.ended_at, later.ended_at) - later.began_at
            self.assertLess(overlap_s, 0.1)
        self.assertLessEqual(len(runs), n_runs)
        self.assertLessEqual(sum(not run.is_continued for run in runs), 3)
