"""Tests of requests whose answers have no mark of their end."""

from __future__ import annotations

import dataclasses
from functools import partial

import trio

from answer_end_builders import UNREACHABLE, ScriptedPool, StartProbe
from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_router.answer_end import STAY_S, AnswerEnds
from corianderlb_router.connection import UpstreamError
from corianderlb_router.end_announcements import EndAnnouncements
from corianderlb_router.forward_attempt import CALL_STAY_S
from corianderlb_router.forward_dispatcher import ForwardDispatcher
from corianderlb_router.upstream_client import ExchangeTimeouts, UpstreamClient
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    Answer,
    Upstream,
    UpstreamNetwork,
    a_router,
    a_stream,
    an_answer,
    an_event,
)

PROMPT = "a:100,own:50"

NO_BUDGET = BudgetTerms(ratio=0.0, fixed=0.0)
"""Terms that allow no retry."""

HEAD = b"HTTP/1.1 200 OK\r\nx-seal: s\r\n\r\n"
"""Head of an answer without length and chunks."""

EMPTY_REST = a_stream(1, 0)
BORN_MS = 1
RESTARTED_MS = 2


def unmarked(last: int) -> bytes:
    """Build a stream without length and chunks."""
    return HEAD + b"".join(an_event(number) for number in range(1, last + 1))


class Hosts:
    """Two instances; the first answer ends with its connection, as scripted."""

    def __init__(
        self, path: str, first: bytes, *rest: bytes, ends: bool, after_s: float = 0.01
    ) -> None:
        names = ("e1", "e2") if path in ("/long/7", "/quick/7") else ("s1", "s2")
        script: list[bytes | Answer] = [self._close, *rest]
        self.hosts = {name: Upstream(script) for name in names}
        self._first = first
        self._ends = ends
        """Whether the process ends too."""
        self._after_s = after_s

    async def _close(self, stream: trio.abc.Stream) -> None:
        await stream.send_all(self._first)
        await trio.sleep(self._after_s)
        if self._ends:
            host = next(host for host in self.hosts.values() if host.requests)
            host.alive = False
        await stream.aclose()

    @property
    def n_requests(self) -> int:
        """Number of requests that were sent."""
        return sum(len(host.requests) for host in self.hosts.values())


async def ask(
    path: str,
    hosts: Hosts,
    probe: StartProbe | None,
    budget: BudgetTerms | None = None,
    **headers: str,
) -> tuple[int, bool, bytes]:
    """Return status, whether the answer has ended as complete, and the answer."""
    async with a_router(budget, **hosts.hosts) as router:
        ends = AnswerEnds(router.parts.transport.pool, probe)
        router.parts = dataclasses.replace(router.parts, ends=ends)
        router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
        caller = await router.ask(path, x_prompt=PROMPT, **headers)
        return caller.status, caller.finished, caller.answer


PATHS = ("/long/7", "/quick/7", "/read/7", "/book/7")
"""A stream that may be resumed and one that may not, a repeatable and another call."""


class OwnCallTest(TrioTestCase):
    async def test_calls_whose_body_need_not_show_its_end(self) -> None:
        """Guards against a part of an import, load or order that is read as whole."""
        async with trio.open_nursery() as nursery:
            host = Upstream([HEAD + b'{"imported":12}'], closes=True)
            client = UpstreamClient(UpstreamNetwork(nursery, {"e1": host}))
            with self.assertRaises(UpstreamError):
                await client.post("e1:80", "/x", b"", ExchangeTimeouts(1.0, 1.0))
            self.assertEqual(len(host.requests), 1)


class UnmarkedEndTest(TrioTestCase):
    async def test_instance_that_lives_on(self) -> None:
        """Guards against repeated work of instances that mark no end."""
        for path in PATHS:
            for probe in (None, StartProbe(BORN_MS), StartProbe(0, 0.3)):
                hosts = Hosts(path, unmarked(4), ends=False)
                with self.subTest(path=path, probe=probe and probe.start_ms):
                    found = await ask(path, hosts, probe, NO_BUDGET)
                    body = unmarked(4).removeprefix(HEAD)
                    self.assertEqual(found, (200, True, body))
                    self.assertEqual(hosts.n_requests, 1)

    async def test_process_that_has_ended_is_made_up_for(self) -> None:
        """Guards against answers that are complete where their process was killed."""
        whole = b"".join(an_event(number) for number in range(1, 5))
        for path, first, rest, body, n_requests in (
            ("/long/7", unmarked(2), a_stream(3, 4), whole, 2),
            # It had sent everything, which the only other instance says twice.
            ("/long/7", unmarked(4), EMPTY_REST, whole, 3),
            ("/read/7", HEAD + b"do", an_answer(), b"done", 2),
        ):
            for probe in (None, StartProbe(0), StartProbe(RESTARTED_MS)):
                hosts = Hosts(path, first, rest, ends=True)
                with self.subTest(path=path, first=first, probe=probe):
                    found = await ask(path, hosts, probe)
                    self.assertEqual(found, (200, True, body))
                    self.assertEqual(hosts.n_requests, n_requests)

    async def test_all_answers_of_a_process_that_ends_later_are_suspects(self) -> None:
        """Guards against a harmless request that is the only suspect of a crash."""
        n_waiting, reports = 2, []

        async def close(stream: trio.abc.Stream) -> None:
            await stream.send_all(unmarked(2))
            await trio.sleep(0.1)
            await stream.aclose()
            await trio.sleep(0.3)
            engine.alive = False

        engine = Upstream([close])
        async with a_router(e1=engine) as router:
            ends = AnswerEnds(router.parts.transport.pool, StartProbe(0))
            router.parts = dataclasses.replace(router.parts, ends=ends)
            router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
            router.parts.quarantine.report_crash = lambda *report: reports.append(
                set(report[2])
            )
            async with trio.open_nursery() as nursery:
                for number in range(n_waiting):
                    nursery.start_soon(
                        partial(router.ask, f"/long/{number}", x_prompt=PROMPT)
                    )
        self.assertEqual(len(reports[0]), n_waiting)

    async def test_no_other_attempt_may_follow(self) -> None:
        """Guards against an end of unknown cause that counts as that of the answer."""
        for path, status, budget in (
            ("/long/7", 200, NO_BUDGET),
            ("/read/7", 502, NO_BUDGET),
            # These may not run twice, whatever is left of the budget.
            ("/quick/7", 200, None),
            ("/book/7", 502, None),
        ):
            for probe in (None, StartProbe(0), StartProbe(RESTARTED_MS)):
                hosts = Hosts(path, unmarked(2), an_answer(), ends=True)
                with self.subTest(path=path, probe=probe and probe.start_ms):
                    found = await ask(path, hosts, probe, budget)
                    is_whole = found[1] and found[0] == 200
                    self.assertEqual((found[0], is_whole), (status, False))
                    self.assertEqual(hosts.n_requests, 1)

    async def test_call_is_held_back_while_it_is_in_time(self) -> None:
        """Guards against late calls of upstreams that never mark an end."""
        for n_marked, least_s, most_s in ((0, CALL_STAY_S, 0.9), (5, STAY_S, 1.4)):
            script = [*[an_answer()] * n_marked, unmarked(2)]
            host = Upstream(script, closes=True)
            async with a_router(s1=host) as router:
                parts = router.parts
                announcements = EndAnnouncements(parts.state, parts.peers, parts.rng)
                router.parts = dataclasses.replace(
                    parts,
                    ends=AnswerEnds(parts.transport.pool),
                    end_announcements=announcements,
                )
                router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
                for number in range(n_marked):
                    await router.ask(f"/read/{number}")
                started_at = trio.current_time()
                caller = await router.ask("/read/7")
                took_s = trio.current_time() - started_at
            with self.subTest(n_marked=n_marked):
                self.assertEqual((caller.status, caller.finished), (200, True))
                self.assertTrue(least_s <= took_s <= most_s, took_s)

    async def test_failure_of_unknown_length(self) -> None:
        """Guards against an instance that only fails, and is never avoided."""
        failure = HEAD.replace(b"200 OK", b"500 Failed") + b"no"
        failing, sound = Upstream([failure], closes=True), Upstream([an_answer()])
        async with a_router(s1=sound, s2=failing) as router:
            ends = AnswerEnds(ScriptedPool(UNREACHABLE))
            router.parts = dataclasses.replace(router.parts, ends=ends)
            router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
            for number in range(40):
                caller = await router.ask(f"/read/{number}")
                self.assertEqual(caller.status, 200)
                await trio.sleep(0.01)
        self.assertLessEqual(len(failing.requests), 2)

    async def test_deadline_is_near(self) -> None:
        """Guards against a question that makes the answer late."""
        for path in PATHS:
            hosts = Hosts(path, unmarked(2), ends=False, after_s=0.92)
            started_at = trio.current_time()
            with self.subTest(path=path):
                found = await ask(
                    path, hosts, StartProbe(BORN_MS, 0.3), NO_BUDGET, x_deadline_s="1"
                )
                self.assertFalse(found[0] == 200 and found[1])
                self.assertLessEqual(trio.current_time() - started_at, 1.0)
