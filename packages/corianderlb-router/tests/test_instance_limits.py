"""Tests of limits that instances name, on every way to an instance."""

from __future__ import annotations

import random

import eliot

from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import a_fleet, a_router
from limit_builders import LimitedUpstream, allowed, send_traffic

PROMPT = "a:100,own:50"


class FleetTest(TrioTestCase):
    async def test_engine_gets_no_more_than_it_names_from_all_routers(self) -> None:
        """Guards against routers that go on sending what an engine can't take."""
        engine = LimitedUpstream("1", is_engine=True)
        async with a_fleet(4, e1=engine) as routers:
            await send_traffic(
                routers, "/quick/7", 30, 12, random.Random(1), x_prompt=PROMPT
            )
        self.assertLessEqual(engine.most_in_window(), allowed(1))

    async def test_service_gets_no_more_than_it_names_from_all_routers(self) -> None:
        """Guards against plain calls that ignore what limits engines."""
        service = LimitedUpstream("1")
        async with a_fleet(4, s1=service) as routers:
            await send_traffic(routers, "/book/7", 30, 12, random.Random(1))
        self.assertLessEqual(service.most_in_window(), allowed(1))


class LogTest(TrioTestCase):
    async def test_named_limit_and_its_end_are_logged(self) -> None:
        service = LimitedUpstream("2.5")
        lines: list[dict] = []
        async with a_router(s1=service) as router:
            eliot.add_destinations(lines.append)
            self.addCleanup(eliot.remove_destination, lines.append)
            await router.ask("/read/7")
            self.assertEqual(len(router.parts.limits), 1)
            service.limit = ""
            await router.ask("/read/7", x_id="q2")
        limits = [
            line["per_s"] for line in lines if line["message_type"] == "upstream:limit"
        ]
        self.assertEqual(limits, [2.5, None])
        self.assertEqual(len(router.parts.limits), 0)
