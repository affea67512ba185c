"""Shared helpers of the multi-process tests."""

from __future__ import annotations

from typing import Any, Final

from corianderlb_standins.fleet import Fleet
from corianderlb_standins.fleet_plan import FleetPlan
from corianderlb_standins.load_client import StreamAnswer, nested_prompt
from corianderlb_standins.trio_case import RealTimeTestCase

PROMPT: Final = nested_prompt("northwest-charcoal", "kiln-7", "batch-1")
"""Prompt of four pieces."""

SHORT_TIMEOUTS: Final = {
    "data_path": {
        "stall_timeout_s": 1.0,
        "first_event_timeout_s": 3.0,
        "balancer_lag_s": 0.5,
    }
}
"""Router settings with short timeouts, for fast failure detection."""


def small_plan(**fields: Any) -> FleetPlan:
    """Return a plan with one router, two engines and short timeouts."""
    defaults = {
        "n_engines": 2,
        "n_services": 0,
        "n_routers": 1,
        "router_settings": SHORT_TIMEOUTS,
    }
    return FleetPlan(**{**defaults, **fields})


class FleetTestCase(RealTimeTestCase):
    """Base class with assertions on the answers of a fleet."""

    def assert_complete(self, answer: StreamAnswer, text: str | None = None) -> None:
        """Check that a stream is complete and in order, and its text if given."""
        self.assertEqual(answer.status, 200, answer)
        self.assertTrue(answer.complete, answer)
        self.assertTrue(answer.is_in_order, answer.indices)
        self.assertEqual(answer.error, {})
        if text is not None:
            self.assertEqual(answer.text, text)

    async def count_runs(self, fleet: Fleet) -> int:
        """Return the number of calls that all services have run."""
        counted = [await fleet.counters(item.name) for item in fleet.services]
        return sum(item["total"] for item in counted)

    async def busy_engine(self, fleet: Fleet) -> str:
        """Return the name of an engine with a request in flight, if any."""
        for engine in fleet.engines:
            if engine.exit_code is None:
                if (await fleet.counters(engine.name))["running"]:
                    return engine.name
        return ""
