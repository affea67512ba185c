"""Tests of what is logged and counted when an answer that has begun is cut."""

from __future__ import annotations

from typing import Any

import eliot
import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import ForwardRouter, Upstream, a_pausing_stream, a_router

PROMPT = "a:100,own:50"

NO_BUDGET = BudgetTerms(ratio=0.0, fixed=0.0)
"""Terms that allow no retry."""


class CutStreamTest(TrioTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, Any]] = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    def last_line(self) -> dict[str, Any]:
        """Return the log line of the last request."""
        name = "request:ended"
        return [line for line in self.lines if line.get("message_type") == name][-1]

    async def cut_count(self, router: ForwardRouter, labels: str) -> bool:
        """Return whether one cut with these labels was counted."""
        text = (await router.parts.metrics.exposition()).decode()
        return f"corianderlb_streams_cut_total{{{labels}}} 1.0" in text

    async def test_deadline_is_told_from_a_shutdown(self) -> None:
        """Guards against a cut whose cause neither log nor metrics show."""
        engine = Upstream([a_pausing_stream(1, 4, 2, 30.0)])
        async with a_router(NO_BUDGET, e1=engine) as router:
            await router.ask("/long/7", x_prompt=PROMPT)
            line = self.last_line()
            self.assertEqual((line["cut"], line["after_stop_ms"]), ("deadline", None))
            labels = (
                'after_silence="false",reason="deadline",taken_while_stopping="false"'
            )
            self.assertTrue(await self.cut_count(router, labels))

    async def test_shutdown_of_the_router(self) -> None:
        """Guards against a cut by a shutdown without the time since the signal."""
        engine = Upstream([a_pausing_stream(1, 4, 2, 30.0)])
        async with a_router(NO_BUDGET, e1=engine) as router:
            exchanges = router.exchanges
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    router.serve, router.a_caller("/long/7", x_prompt=PROMPT)
                )
                await trio.sleep(0.2)
                exchanges.stopping_since = trio.current_time()
                exchanges.cut()
            line = self.last_line()
            self.assertEqual((line["cut"], line["after_stop_ms"]), ("shutdown", -200))
            labels = (
                'after_silence="false",reason="shutdown",taken_while_stopping="false"'
            )
            self.assertTrue(await self.cut_count(router, labels))
