"""What the tests with separate processes share."""

from __future__ import annotations

from typing import Any, Final

from corianderlb_standins.fleet import Fleet
from corianderlb_standins.fleet_plan import FleetPlan
from corianderlb_standins.load_client import StreamAnswer, nested_prompt
from corianderlb_standins.trio_case import RealTimeTestCase

PROMPT: Final = nested_prompt("northwest-charcoal", "kiln-7", "batch-1")
"""A prompt of four pieces."""

QUICK: Final = {
    "data_path": {
        "stall_timeout_s": 1.0,
        "first_event_timeout_s": 3.0,
        "balancer_lag_s": 0.5,
    }
}
"""Router settings with short waits, so that failures are noticed soon."""


def small_plan(**fields: Any) -> FleetPlan:
    """Return a plan with two of each, whose routers notice failures soon."""
    defaults = {
        "n_engines": 2,
        "n_services": 0,
        "n_routers": 1,
        "router_settings": QUICK,
    }
    return FleetPlan(**{**defaults, **fields})


class FleetTestCase(RealTimeTestCase):
    """Judge what callers of a fleet got."""

    def assert_whole(self, answer: StreamAnswer, text: str | None = None) -> None:
        """Check that a stream is complete and in order, and its text where known."""
        self.assertEqual(answer.status, 200, answer)
        self.assertTrue(answer.complete, answer)
        self.assertTrue(answer.in_order, answer.indices)
        self.assertEqual(answer.error, {})
        if text is not None:
            self.assertEqual(answer.text, text)

    async def count_runs(self, fleet: Fleet) -> int:
        """Return how many calls the plain services have run in total."""
        counted = [await fleet.counters(item.name) for item in fleet.services]
        return sum(item["total"] for item in counted)

    async def busy_engine(self, fleet: Fleet) -> str:
        """Return the name of the engine that runs a job now."""
        for engine in fleet.engines:
            if engine.exit_code is None:
                if (await fleet.counters(engine.name))["running"]:
                    return engine.name
        return ""
