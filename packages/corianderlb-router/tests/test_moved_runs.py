"""Tests of a run that goes on until the engine to which it is moved has begun."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Any

import eliot
import trio

import test_attempt_race
from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.weights_rollout import EnginePhase
from corianderlb_router.forward_relay import MAX_HELD_BYTES
from corianderlb_router.memory_copier import CopyOutcome
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from forward_builders import (
    NOT_RUN,
    ROUTES,
    STREAM_END,
    STREAM_HEAD,
    Answer,
    ForwardRouter,
    Upstream,
    a_configuration,
    a_late_answer,
    a_router,
    an_instance,
    break_early,
    chunk,
    never_answer,
)
from race_engines import RandomEngine
from run_answers import a_run, a_run_event, order_faults, runs_of
from test_run_mover import Copier

PROMPT = "a:100,own:50"

N_EVENTS = 8

STEP_S = 0.5

TAKES_S = (N_EVENTS - 1) * STEP_S
"""Time of the whole answer on an engine that goes on steadily."""

PAUSE_OBJECTIVE_S = 1.0

NO_BUDGET = BudgetTerms(ratio=0.0, fixed=0.0)

ONE_MOVE = BudgetTerms(ratio=0.0, fixed=2.0)
"""Charged before and after the copy."""


def a_first_run(
    *steps: tuple[float, int], run: str = "a", then: Answer | None = None
) -> Answer:
    """Build a run that writes up to an event at each of some times.

    Its end comes with the last event, unless something else does.
    """

    async def answer(stream: trio.abc.Stream) -> None:
        began_at = trio.current_time()
        await stream.send_all(STREAM_HEAD)
        number = 0
        for at, until in steps:
            await trio.sleep_until(began_at + at)
            while number < until:
                number += 1
                await stream.send_all(chunk(a_run_event(number, run, number)))
        if then is None:
            await stream.send_all(STREAM_END)
        else:
            await then(stream)

    return answer


def without_chunks(script: Answer) -> Answer:
    """Build a run whose answer has neither length nor chunks."""

    async def answer(stream: trio.abc.Stream) -> None:
        await script(UnframedStream(stream))

    return answer


class UnframedStream:
    """Sends the contents of chunks."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream

    async def send_all(self, data: bytes) -> None:
        """Send a head, a chunk without its frame, or the end."""
        if data == STREAM_END:
            await self._stream.aclose()
        elif data == STREAM_HEAD:
            head = STREAM_HEAD.replace(b"transfer-encoding: chunked\r\n", b"")
            await self._stream.send_all(head)
        else:
            await self._stream.send_all(data.partition(b"\r\n")[2][:-2])

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


STEADY_STEPS = [(number * STEP_S, number + 1) for number in range(N_EVENTS)]

go_on = a_first_run(*STEADY_STEPS)


def the_rest(after: int) -> bytes:
    """Build the stream of another run that was asked to go on after an event."""
    return a_run("b", *range(after + 1, N_EVENTS + 1))


async def break_after_the_head(stream: trio.abc.Stream) -> None:
    """Send the head of an answer and half of an event."""
    await stream.send_all(STREAM_HEAD + chunk(a_run_event(3, "b", 1, 2)[:5]))
    await trio.sleep(0.1)
    await stream.aclose()


def an_answer_that_begins(after: int, after_s: float) -> Answer:
    """Build a stream whose head comes at once, and its events some time later."""

    async def answer(stream: trio.abc.Stream) -> None:
        await stream.send_all(STREAM_HEAD)
        await trio.sleep(after_s)
        await stream.send_all(the_rest(after).removeprefix(STREAM_HEAD))

    return answer


class MovedRunTest(TrioTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, Any]] = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    async def move(
        self,
        first: Upstream,
        other: Upstream | None = None,
        phase: EnginePhase = EnginePhase.EMPTYING,
        budget: BudgetTerms | None = None,
        pause_objective_s: float = PAUSE_OBJECTIVE_S,
        copier: Copier | None = None,
    ) -> FakeCaller:
        """Request a stream of ``first``, and empty it when two events were sent."""
        async with a_router(budget, e1=first) as router:
            self.copier = router.use_copier(copier or Copier())
            route = dataclasses.replace(
                ROUTES[2], timeout_s=6.0, pause_objective_s=pause_objective_s
            )
            routes = (route,)
            router.configure(a_configuration(routes=routes, revision=11))
            caller = router.a_caller("/long/7", x_prompt=PROMPT)
            async with trio.open_nursery() as nursery:
                asked_at = trio.current_time()
                nursery.start_soon(router.serve, caller)
                await trio.sleep(STEP_S + 0.1)
                e1 = router.state.instance("e1")
                if other is not None:
                    self.list_other(router, other, phase)
                router.engine_table.weights.set_phase(e1, phase)
            self.took_s = trio.current_time() - asked_at
            parts = router.parts
            self.assertEqual(len(parts.in_flight) + sum(parts.standbys.values()), 0)
            return caller

    def list_other(
        self, router: ForwardRouter, other: Upstream, phase: EnginePhase
    ) -> None:
        """List a second engine; one with newer weights for an engine in clearing."""
        version = 2 if phase is EnginePhase.CLEARING else 1
        router.network.upstreams["e2"] = other
        e1 = router.state.instance("e1")
        e2 = an_instance("e2", "llm", weights=((e1.weights[0][0], version),))
        router.list_instances(e1, e2, revision=21)

    def assert_whole(
        self,
        caller: FakeCaller,
        outcomes: str,
        took_s: float = TAKES_S,
        n_first: int = N_EVENTS,
    ) -> None:
        """Assert that each event came once and in time, and how attempts ended.

        The first run has written the first ``n_first``, and another one the rest.
        """
        self.assert_in_order(caller, n_first)
        self.assertAlmostEqual(self.took_s, took_s, delta=0.05)
        line = self.ended()
        found = [f"{item.instance}:{item.outcome}" for item in line["attempts"]]
        self.assertEqual(found, outcomes.split())
        self.assertLessEqual(line["longest_pause_ms"], 1000 * PAUSE_OBJECTIVE_S)

    def assert_in_order(self, caller: FakeCaller, n_first: int = N_EVENTS) -> None:
        """Assert that an answer is whole, and its runs joined where they were asked."""
        self.assertEqual(order_faults(caller.answer), [])
        runs = [("a", 1, n_first), ("b", n_first + 1, N_EVENTS)]
        expected = runs if n_first < N_EVENTS else runs[:1]
        self.assertEqual((runs_of(caller.answer), caller.finished), (expected, True))

    def ended(self) -> dict[str, Any]:
        """Return the log line of the last request."""
        name = "request:ended"
        return [line for line in self.lines if line.get("message_type") == name][-1]

    async def test_engine_that_never_answers(self) -> None:
        """Guards against a stream cut at its deadline for an engine that is silent."""
        other = Upstream([never_answer])
        caller = await self.move(Upstream([go_on]), other)
        self.assertEqual(len(other.requests), 1)
        self.assert_whole(caller, "e2:superseded e1:ok")
        self.assertEqual(self.copier.dropped, ["h7"])

    async def test_engine_that_refuses(self) -> None:
        """Guards against an interrupted run for an engine that refuses its rest."""
        other = Upstream([NOT_RUN])
        caller = await self.move(Upstream([go_on]), other)
        self.assert_in_order(caller)
        self.assertAlmostEqual(self.took_s, TAKES_S, delta=0.05)
        self.assertLessEqual(self.ended()["longest_pause_ms"], 1000 * STEP_S + 10)
        self.assertGreaterEqual(len(other.requests), 1)
        self.assertEqual(self.copier.dropped, ["h7"])

    async def test_engine_that_breaks_before_its_first_event(self) -> None:
        """Guards against an interrupted run for an engine that has sent no event."""
        for broken in (break_early, break_after_the_head):
            with self.subTest(broken=broken.__name__):
                caller = await self.move(Upstream([go_on]), Upstream([broken]))
                self.assert_whole(caller, "e2:broken e1:ok")

    async def test_engine_that_begins_while_events_are_held(self) -> None:
        """Guards against a run that follows elsewhere than it was asked to go on."""
        for late in (a_late_answer(the_rest(2), 0.6), an_answer_that_begins(2, 0.6)):
            first, other = Upstream([go_on]), Upstream([late])
            caller = await self.move(first, other)
            self.assertEqual(other.requests[0]["x-after"], "2")
            self.assert_whole(caller, "e1:moved e2:ok", took_s=1.25, n_first=2)
            self.assertEqual(self.copier.dropped, [])

    async def test_engine_that_pauses_before_its_first_event(self) -> None:
        """Guards against a caller that gets nothing while the other engine pauses."""
        for late in (a_late_answer(the_rest(2), 1.6), an_answer_that_begins(2, 1.6)):
            first, other = Upstream([go_on]), Upstream([late])
            caller = await self.move(first, other)
            self.assertEqual(len(other.requests), 1)
            self.assert_whole(caller, "e2:superseded e1:ok")
            self.assertEqual(self.copier.dropped, ["h7"])

    async def test_engine_that_writes_much_while_events_are_held(self) -> None:
        """Guards against events that are held without a bound in bytes."""
        run = "a" * (MAX_HELD_BYTES - 100)
        first = Upstream([a_first_run(*STEADY_STEPS, run=run)])
        other = Upstream([never_answer])
        caller = await self.move(first, other, pause_objective_s=math.inf)
        self.assertEqual(order_faults(caller.answer), [])
        self.assertEqual(runs_of(caller.answer), [(run, 1, N_EVENTS)])
        # The other engine is ended with the second event that is held.
        self.assertEqual(self.ended()["longest_pause_ms"], 2000 * STEP_S)

    async def test_engine_that_begins_elsewhere_or_with_its_end(self) -> None:
        """Guards against an interrupted run for an engine that sends another answer."""
        for answer, outcome in (
            (a_run("b", *range(1, N_EVENTS + 1), after=2), "wronganswer"),
            (a_run("b", after=2), "unconfirmedend"),
        ):
            with self.subTest(outcome=outcome):
                other = Upstream([a_late_answer(answer, 0.6), never_answer])
                caller = await self.move(Upstream([go_on]), other, budget=ONE_MOVE)
                self.assert_whole(caller, f"e2:{outcome} e1:ok")

    async def test_engine_that_begins_with_a_comment(self) -> None:
        """Guards against an interrupted run for an engine that has sent no event."""

        async def keep_alive(stream: trio.abc.Stream) -> None:
            await stream.send_all(STREAM_HEAD + chunk(b": waiting\n\n"))
            await trio.sleep_forever()

        caller = await self.move(Upstream([go_on]), Upstream([keep_alive]))
        self.assert_whole(caller, "e2:superseded e1:ok")

    async def test_run_that_ends_while_its_events_are_held(self) -> None:
        """Guards against the loss of an end, or of events, that were held."""
        first = a_first_run((0.0, 1), (0.5, 2), (1.0, N_EVENTS))
        caller = await self.move(Upstream([first]), Upstream([never_answer]))
        self.assert_whole(caller, "e2:superseded e1:ok", took_s=1.0)

    async def test_run_that_breaks_while_its_events_are_held(self) -> None:
        """Guards against events of a run that precede another one asked before them."""
        first = a_first_run((0.0, 1), (0.5, 2), (1.0, 3), then=break_early)
        other = Upstream([a_late_answer(the_rest(2), 0.7)])
        caller = await self.move(Upstream([first]), other)
        self.assert_whole(caller, "e1:broken e2:ok", took_s=1.35, n_first=2)
        self.assertEqual((len(other.requests), self.copier.dropped), (1, []))

    async def test_run_that_is_stopped_by_its_copy(self) -> None:
        """Guards against a stopped run whose close is taken for the whole answer."""
        # The second one writes an event after the copy, and ends while it is held.
        for stops_at, n_written in ((0.61, 2), (1.2, 3)):
            steps = ((0.0, 1), (0.5, 2), (1.0, n_written), (stops_at, n_written))
            first = without_chunks(a_first_run(*steps, then=break_early))
            other = Upstream([a_late_answer(the_rest(2), 0.7)])
            with self.subTest(stops_at=stops_at):
                caller = await self.move(Upstream([first]), other)
                self.assert_in_order(caller, 2)
                outcomes = [item.outcome for item in self.ended()["attempts"]]
                self.assertEqual(outcomes, ["unknownend", "ok"])

    async def test_run_that_is_stopped_as_its_move_fails(self) -> None:
        """Guards against a close that arrives after the move was given up."""
        # The copy takes 0.02 s; an order of unknown outcome may be carried out later.
        for outcome, stops_at in (
            (CopyOutcome.COPIED, 0.65),
            (CopyOutcome.UNKNOWN, 0.65),
            (CopyOutcome.UNKNOWN, 0.95),
        ):
            steps = ((0.0, 1), (0.5, 2), (stops_at, 2))
            first = without_chunks(a_first_run(*steps, then=break_early))
            other = Upstream([NOT_RUN, the_rest(2)])
            with self.subTest(outcome=outcome, stops_at=stops_at):
                copier = Copier(outcome)
                caller = await self.move(Upstream([first]), other, copier=copier)
                self.assert_in_order(caller, 2)

    async def test_unframed_run_that_ends_after_its_move_failed(self) -> None:
        """Guards against a doubt of a run that went on after it was copied."""
        first = without_chunks(go_on)
        caller = await self.move(Upstream([first]), Upstream([never_answer]))
        self.assert_whole(caller, "e2:superseded e1:ok")

    async def test_run_that_is_silent_while_its_events_are_held(self) -> None:
        """Guards against held events that wait for more of a silent engine."""
        first = a_first_run((0.0, 1), (0.5, 2), (0.8, 4), (1.9, N_EVENTS))
        other = Upstream([never_answer])
        caller = await self.move(Upstream([first]), other)
        self.assert_whole(caller, "e2:superseded e1:ok", took_s=1.9)

    async def test_engine_that_breaks_beside_one_that_has_not_begun(self) -> None:
        """Guards against a run that is lost though another one can go on with it."""
        first = a_first_run((0.0, 3), (0.9, 3), then=break_early)
        other = Upstream([a_late_answer(the_rest(3), 0.5)])
        caller = await self.move(Upstream([first]), other)
        self.assert_in_order(caller, 3)
        self.assertEqual((len(other.requests), self.copier.dropped), (1, []))

    async def test_no_other_engine_for_a_run_on_old_weights(self) -> None:
        """Guards against an interrupted run without an engine that may go on."""
        caller = await self.move(Upstream([go_on]), None, EnginePhase.CLEARING)
        self.assert_whole(caller, "e1:ok")

    async def test_no_budget_for_a_run_on_old_weights(self) -> None:
        """Guards against an interrupted run whose repeat may not be sent."""
        first, other = Upstream([go_on]), Upstream([the_rest(2)])
        caller = await self.move(first, other, EnginePhase.CLEARING, NO_BUDGET)
        self.assert_whole(caller, "e1:ok")
        self.assertEqual(other.requests, [])

    async def test_engine_with_new_weights_never_answers(self) -> None:
        """Guards against a run that is restarted on an engine that is silent."""
        other = Upstream([never_answer])
        caller = await self.move(Upstream([go_on]), other, EnginePhase.CLEARING)
        self.assertEqual(len(other.requests), 1)
        self.assert_whole(caller, "e2:superseded e1:ok")

    async def test_engine_with_new_weights_refuses(self) -> None:
        """Guards against a run that is restarted on an engine that refuses it."""
        other = Upstream([NOT_RUN])
        caller = await self.move(Upstream([go_on]), other, EnginePhase.CLEARING)
        self.assertTrue(caller.finished)
        self.assertAlmostEqual(self.took_s, TAKES_S, delta=0.05)
        # Each is charged to the retry budget, and no more follow after a while.
        self.assertLessEqual(len(other.requests), 9)


class RandomMoveTest(test_attempt_race.RandomRaceTest):
    async def play(
        self, rng: random.Random, odd_share: float = 0.0, moves: bool = True
    ) -> None:
        """Move streams at random moments, and check each answer."""
        engines = {
            name: RandomEngine(name=name, odd_share=odd_share, rng=rng)
            for name in ("e1", "e2", "e3")
        }
        async with a_router(BudgetTerms(fixed=500.0), **engines) as router:
            router.use_copier(Copier(takes_s=rng.choice((0.0, 0.05, 0.3))))
            route = dataclasses.replace(
                ROUTES[2],
                max_attempts=3,
                timeout_s=12.0,
                pause_objective_s=rng.choice((0.3, 1.0, math.inf)),
            )
            routes = (route,)
            router.configure(a_configuration(routes=routes, revision=11))
            for number in range(4):
                caller = router.a_caller("/long/7", x_prompt=PROMPT, x_id=f"q{number}")
                for engine in engines.values():
                    engine.runs.clear()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.empty_engines, router, rng)
                    with trio.move_on_after(rng.choice((2.0, 5.0, 20.0))):
                        await router.serve(caller)
                    nursery.cancel_scope.cancel()
                self.check(caller, engines, 6)
                parts = router.parts
                n_left = sum(parts.standbys.values()) + len(parts.in_flight)
                self.assertEqual(n_left, 0)
                await trio.sleep(5.0)
