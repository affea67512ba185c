"""Tests of engines that do not go on after the event that they were asked for."""

from __future__ import annotations

import dataclasses

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_router.answer_end import AnswerEnd, AnswerEnds
from corianderlb_router.forward_dispatcher import ForwardDispatcher
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller
from forward_builders import (
    ROUTES,
    STREAM_END,
    STREAM_HEAD,
    Answer,
    Upstream,
    a_configuration,
    a_router,
    chunk,
)
from run_answers import a_run, a_run_event, order_faults, runs_of

PROMPT = "a:100,own:50"


def breaks_off(answer: bytes) -> Answer:
    """Return an answer after which the connection is closed."""

    async def send(stream: trio.abc.Stream) -> None:
        await stream.send_all(answer)
        await stream.aclose()

    return send


BREAKS_AFTER_3 = breaks_off(a_run("a", 1, 2, 3, ends=False))

UNNUMBERED = b"data: word\n\n"
"""Event without a number."""

EMPTY = STREAM_HEAD + STREAM_END


UNFRAMED_HEAD = STREAM_HEAD.replace(b"transfer-encoding: chunked\r\n", b"")

ENDS_AFTER_3 = breaks_off(
    UNFRAMED_HEAD + b"".join(a_run_event(number, "a", number) for number in (1, 2, 3))
)
"""Answer without chunks, whose end is that of its connection."""


class FixedEnds(AnswerEnds):
    """Finds the same out about each end."""

    def __init__(self, end: AnswerEnd = AnswerEnd.UNKNOWN) -> None:
        """Ask nobody."""
        self._end = end

    async def judge(
        self, instance: ForwardInstance, ended_at: float, settles_at: float = 0.0
    ) -> AnswerEnd:
        """Return what each end is."""
        return self._end


class JoinedRunsTest(TrioTestCase):
    async def ask(
        self,
        *script: bytes | Answer,
        n_engines: int = 3,
        ends: AnswerEnds | None = None,
        **headers: str,
    ) -> FakeCaller:
        """Request a stream of engines that answer in the order of the script."""
        engine = self.engine = Upstream(list(script))
        engines = {f"e{number}": engine for number in range(1, n_engines + 1)}
        async with a_router(BudgetTerms(fixed=500.0), **engines) as router:
            routes = (dataclasses.replace(ROUTES[2], max_attempts=3),)
            router.configure(a_configuration(routes=routes, revision=11))
            router.parts = dataclasses.replace(router.parts, ends=ends)
            router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
            caller = await router.ask("/long/7", x_prompt=PROMPT, **headers)
            health = router.health
            self.n_blamed = sum(
                health.failure_rate(found.incarnation_key) > 0
                for found in router.state.instances("llm")
            )
        return caller

    def assert_whole(self, caller: FakeCaller, *runs: tuple[str, int, int]) -> None:
        """Assert that an answer consists of these runs, and has its end."""
        self.assertEqual((runs_of(caller.answer), caller.finished), ([*runs], True))

    async def test_resumed_engine_begins_anew(self) -> None:
        """Guards against a stream of two runs, joined within the second one."""
        anew = a_run("b", *range(1, 7), after=3)
        caller = await self.ask(BREAKS_AFTER_3, anew, a_run("c", 4, 5, 6))
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))
        self.assertEqual(order_faults(caller.answer), [])
        self.assertEqual(self.n_blamed, 2)

    async def test_resumed_engine_counts_anew(self) -> None:
        """Guards against a stream that lacks events and has its end."""
        counts_anew = a_run("b", 1, 2, 3, after=3)
        caller = await self.ask(BREAKS_AFTER_3, counts_anew, a_run("c", 4, 5, 6))
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))

    async def test_engine_begins_anew_for_a_caller_that_resumes(self) -> None:
        """Guards against a run that is joined to what its caller has."""
        anew = a_run("b", *range(1, 7), after=3)
        caller = await self.ask(anew, a_run("c", 4, 5, 6), x_after="3")
        self.assert_whole(caller, ("c", 4, 6))

    async def test_engine_goes_back_within_its_answer(self) -> None:
        """Guards against events that are dropped though their run is in disorder."""

        async def goes_back(stream: trio.abc.Stream) -> None:
            await stream.send_all(a_run("a", 1, 2, 3, ends=False))
            await trio.sleep(0.1)
            again = a_run("a", *range(2, 7), after=0)
            await stream.send_all(again.removeprefix(STREAM_HEAD))

        caller = await self.ask(goes_back, a_run("c", 4, 5, 6))
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))

    async def test_rest_is_empty_though_events_lack(self) -> None:
        """Guards against a stream that ends as complete before its last event."""
        caller = await self.ask(BREAKS_AFTER_3, EMPTY, a_run("c", 4, 5, 6))
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))
        self.assertEqual(self.n_blamed, 1)

    async def test_engine_that_is_asked_twice_sends_its_end_only(self) -> None:
        """Guards against an instance that confirms its own false end."""
        rest = a_run("c", 4, 5, 6)
        caller = await self.ask(BREAKS_AFTER_3, EMPTY, EMPTY, rest, n_engines=1)
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))

    async def test_engine_of_a_doubtful_end_sends_its_end_only(self) -> None:
        """Guards against a doubtful end that the same instance confirms."""
        script = (ENDS_AFTER_3, EMPTY, a_run("c", 4, 5, 6))
        caller = await self.ask(*script, n_engines=1, ends=FixedEnds())
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))

    async def test_another_engine_confirms_a_doubtful_end(self) -> None:
        """Guards against a whole answer that is cut though two instances ended it."""
        caller = await self.ask(ENDS_AFTER_3, EMPTY, ends=FixedEnds())
        self.assert_whole(caller, ("a", 1, 3))

    async def test_end_of_a_process_is_no_witness(self) -> None:
        """Guards against one wrong instance that completes the answer of a dead one."""
        script = (ENDS_AFTER_3, EMPTY, a_run("c", 4, 5, 6))
        caller = await self.ask(*script, ends=FixedEnds(AnswerEnd.DIED))
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))

    async def test_process_ends_right_after_its_last_event(self) -> None:
        """Guards against a whole answer that is cut for want of a second instance."""
        for n_engines in (1, 2, 3):
            with self.subTest(n_engines=n_engines):
                caller = await self.ask(
                    ENDS_AFTER_3,
                    EMPTY,
                    n_engines=n_engines,
                    ends=FixedEnds(AnswerEnd.DIED),
                )
                self.assert_whole(caller, ("a", 1, 3))
                self.assertEqual(len(self.engine.requests), 3)

    async def test_only_engine_sends_its_end_again_and_again(self) -> None:
        """Guards against an instance that is asked for its end until the deadline."""
        caller = await self.ask(BREAKS_AFTER_3, EMPTY, n_engines=1)
        self.assertFalse(caller.finished)
        self.assertLessEqual(len(self.engine.requests), 5)

    async def test_stream_breaks_off_before_its_end_alone(self) -> None:
        """Guards against a cut answer of which nothing lacks but its end."""
        caller = await self.ask(BREAKS_AFTER_3, EMPTY)
        self.assert_whole(caller, ("a", 1, 3))

    async def test_caller_resumes_after_the_last_event(self) -> None:
        """Guards against a refusal of what the instance itself says is the end."""
        caller = await self.ask(EMPTY, x_after="3")
        self.assertEqual((caller.status, caller.finished), (200, True))

    async def test_stream_breaks_off_after_an_event_without_a_number(self) -> None:
        """Guards against an event that comes twice since no number tells it."""
        begun = a_run("a", 1, 2, ends=False) + chunk(UNNUMBERED)
        caller = await self.ask(breaks_off(begun), a_run("c", 3, 4))
        self.assertTrue(caller.answer.endswith(UNNUMBERED))
        self.assertFalse(caller.finished)

    async def test_resumed_answer_begins_without_a_number(self) -> None:
        """Guards against an event of which nothing tells that the caller lacks it."""
        rest = a_run("b", 4, 5, 6).removeprefix(STREAM_HEAD)
        answer = STREAM_HEAD + chunk(UNNUMBERED) + rest
        caller = await self.ask(BREAKS_AFTER_3, answer, a_run("c", 4, 5, 6))
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))

    async def test_resumed_answer_is_no_stream(self) -> None:
        """Guards against another kind of answer in the middle of a stream."""
        page = STREAM_HEAD + chunk(b"<html>\n\n</html>\n\n") + STREAM_END
        caller = await self.ask(BREAKS_AFTER_3, page, a_run("c", 4, 5, 6))
        self.assert_whole(caller, ("a", 1, 3), ("c", 4, 6))

    async def test_comment_before_the_rest(self) -> None:
        """Guards against a right answer that is refused for a comment."""
        rest = a_run("b", 4, 5, 6).removeprefix(STREAM_HEAD)
        answer = STREAM_HEAD + chunk(b": wait\n\n") + rest
        caller = await self.ask(BREAKS_AFTER_3, answer)
        self.assertEqual((caller.finished, self.n_blamed), (True, 1))
        self.assertEqual(caller.answer.count(b"id: "), 6)

    async def test_comment_in_place_of_the_rest(self) -> None:
        """Guards against an end that is believed at once beside a comment."""
        empty = STREAM_HEAD + chunk(b": wait\n\n") + STREAM_END
        caller = await self.ask(BREAKS_AFTER_3, empty, a_run("c", 4, 5, 6))
        self.assertEqual((caller.finished, self.n_blamed), (True, 1))
        self.assertEqual(caller.answer.count(b"id: "), 6)

    async def test_empty_rest_that_was_refuted(self) -> None:
        """Guards against an end that an earlier, wrong one is taken to confirm."""

        async def goes_on(stream: trio.abc.Stream) -> None:
            await stream.send_all(a_run("a", 1, 2, 3, ends=False))
            await trio.sleep(1.3)
            rest = a_run("a", 4, 5, after=0, ends=False).removeprefix(STREAM_HEAD)
            await stream.send_all(rest)
            await stream.aclose()

        caller = await self.ask(goes_on, EMPTY, EMPTY, a_run("c", 6, 7))
        self.assert_whole(caller, ("a", 1, 5), ("c", 6, 7))
