"""Tests of limits that instances name, on every way to an instance."""

from __future__ import annotations

import eliot

from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import a_router
from limit_builders import LimitedUpstream


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
