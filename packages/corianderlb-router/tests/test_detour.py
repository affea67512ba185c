"""Tests of attempts through another router while the own paths are cut."""

from __future__ import annotations

import dataclasses
from unittest import mock

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_router.answer_end import AnswerEnds
from corianderlb_router.forward_dispatcher import ForwardDispatcher
from corianderlb_standins.trio_case import TrioTestCase
from detour_builders import a_cut_router
from forward_builders import (
    Upstream,
    a_stream,
    an_answer,
    an_event,
    break_off,
)

PROMPT = "a:100,own:50"


NO_RETRIES = BudgetTerms(ratio=0.0, fixed=0.0)


class DetourTest(TrioTestCase):
    async def test_callers_of_a_cut_router_are_served_at_their_first_try(self) -> None:
        """Guards against refusals while instances are free."""
        for hangs in (False, True):
            services = {n: Upstream([an_answer()]) for n in ("s1", "s2", "s3")}
            async with a_cut_router(NO_RETRIES, **services) as cut:
                cut.direct.hangs = hangs
                for n in range(5):
                    caller = await cut.router.ask("/book/7", x_id=f"q{n}")
                    self.assertEqual(caller.status, 200)
                n_runs = sum(len(found.requests) for found in services.values())
                self.assertEqual((n_runs, len(cut.tunnels.opened)), (5, 5))

    async def test_end_that_a_peer_passes_on(self) -> None:
        """Guards against trust in an end that an older router has not looked into."""
        body = an_event(1) + an_event(2)
        answer = b"HTTP/1.1 200 OK\r\nx-seal: s\r\n\r\n" + body
        for path, names in (("/long/7", ("e1", "e2")), ("/read/7", ("s1", "s2"))):
            for confirms in (True, False):
                hosts = {name: Upstream([answer], closes=True) for name in names}
                async with a_cut_router(NO_RETRIES, **hosts) as cut:
                    parts = cut.router.parts
                    ends = AnswerEnds(parts.transport.pool)
                    parts = dataclasses.replace(parts, ends=ends)
                    cut.router.dispatcher = ForwardDispatcher(
                        parts, cut.router.exchanges
                    )
                    cut.tunnels.confirms_end = confirms
                    with self.subTest(path=path, confirms=confirms):
                        caller = await cut.router.ask(path, x_prompt=PROMPT)
                        is_whole = caller.status == 200 and caller.finished
                        self.assertEqual(is_whole, confirms)
                        if confirms:
                            self.assertEqual(caller.answer, body)

    async def test_stream_through_a_peer_is_whole(self) -> None:
        engines = {name: Upstream([a_stream(1, 4)]) for name in ("e1", "e2")}
        async with a_cut_router(NO_RETRIES, **engines) as cut:
            caller = await cut.router.ask("/long/7", x_prompt=PROMPT)
            self.assertEqual(caller.status, 200)
            self.assertIn(b"id: 4", caller.answer)

    async def test_instance_gets_the_time_that_is_left(self) -> None:
        """Guards against a deadline that forgets what the way has taken."""
        services = {name: Upstream([an_answer()]) for name in ("s1", "s2")}
        async with a_cut_router(**services) as cut:
            cut.direct.hangs = True
            cut.tunnels.delay_s = 0.4
            start = trio.current_time()
            await cut.router.ask("/book/7", x_deadline_s="5")
            used_s = trio.current_time() - start
            (found,) = [found for found in services.values() if found.requests]
            left_s = float(found.requests[0]["x-left-s"])
            self.assertGreater(used_s, 0.8)
            self.assertLessEqual(left_s, 5.0 - used_s + 0.01)

    async def test_booking_that_breaks_behind_a_peer_is_not_repeated(self) -> None:
        """Guards against a second run when the first hop hides that one may run."""
        services = {name: Upstream([break_off]) for name in ("s1", "s2")}
        async with a_cut_router(**services) as cut:
            caller = await cut.router.ask("/book/7")
            self.assertEqual(caller.status, 502)
            n_runs = sum(len(found.requests) for found in services.values())
            self.assertEqual(n_runs, 1)

    async def test_booking_without_any_way_has_not_run(self) -> None:
        services = {name: Upstream([an_answer()]) for name in ("s1", "s2")}
        async with a_cut_router(**services) as cut:
            cut.tunnels.has_peer = False
            caller = await cut.router.ask("/book/7")
            self.assertEqual(caller.status, 503)
            self.assertEqual([found.requests for found in services.values()], [[], []])

    async def test_instance_that_is_down_takes_no_detour(self) -> None:
        """Guards against asking peers for each instance that has crashed."""
        services = {name: Upstream([an_answer()]) for name in ("s1", "s2", "s3")}
        async with a_cut_router(**services) as cut:
            cut.direct.is_cut = False
            services["s1"].alive = False
            for n in range(30):
                caller = await cut.router.ask("/book/7", x_id=f"q{n}")
                self.assertEqual(caller.status, 200)
            self.assertEqual(cut.tunnels.opened, [])

    async def test_instances_that_are_down_are_told_from_a_cut(self) -> None:
        """Guards against placing requests on dark instances as if paths were cut."""
        services = {name: Upstream([an_answer()]) for name in ("s1", "s2", "s3")}
        async with a_cut_router(**services) as cut:
            cut.direct.is_cut = False
            for name in ("s1", "s2"):
                services[name].accepts = False
                services[name].alive = False
            for n in range(30):
                caller = await cut.router.ask("/book/7", x_id=f"q{n}")
                self.assertEqual(caller.status, 200)
            n_at_down = [n for n in cut.direct.connected if n in ("s1", "s2")]
            self.assertLessEqual(len(n_at_down), 4)
            self.assertEqual(set(cut.tunnels.opened) - {"s3"}, set())

    async def test_direct_path_is_taken_again(self) -> None:
        """Guards against detours that outlast the cut."""
        services = {name: Upstream([an_answer()]) for name in ("s1", "s2")}
        async with a_cut_router(**services) as cut:
            await cut.router.ask("/book/7", x_id="q1")
            self.assertEqual(len(cut.tunnels.opened), 1)
            cut.direct.is_cut = False
            for instance in cut.router.state.all_instances():
                cut.router.parts.paths.answered(instance, trio.current_time())
            await cut.router.ask("/book/7", x_id="q2")
            self.assertEqual(len(cut.tunnels.opened), 1)

    async def test_lost_connection_of_a_cut_router_is_no_crash(self) -> None:
        """Guards against requests refused for crashes that nobody else has seen."""
        services = {name: Upstream([break_off]) for name in ("s1", "s2")}
        async with a_cut_router(**services) as cut:
            quarantine = cut.router.parts.quarantine
            with mock.patch.object(quarantine, "report_crash") as report:
                await cut.router.ask("/book/7", x_id="q1")
            self.assertEqual(report.call_count, 0)
