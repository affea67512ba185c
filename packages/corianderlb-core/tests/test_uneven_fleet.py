"""Test the choice among uneven engines by a whole fleet, also when reports fail.

Compared with routers that know each engine's true pace at each moment, and learn of the
others' requests as late as all do.
"""

from __future__ import annotations

import unittest
from functools import cache

from uneven_fleet import Trouble, UnevenFleet

LOAD = 0.35
FOR_S = 10.0
WARM_S = 3.0
SEEDS = (1, 2, 3)
MOST = 1.3


@cache
def mean_p95(n_routers: int, **fields: object) -> float:
    """Return the p95 of the time to the first token, as a mean over the seeds."""
    fleets = [
        UnevenFleet(n_routers, LOAD, seed, for_s=FOR_S, **fields).play()
        for seed in SEEDS
    ]
    return sum(fleet.p95(WARM_S) for fleet in fleets) / len(fleets)


class UnevenFleetTest(unittest.TestCase):
    def check(self, n_routers: int, trouble: Trouble | None = None) -> None:
        """Compare a fleet with one that knows every engine's pace."""
        p95 = mean_p95(n_routers, trouble=trouble)
        self.assertLess(p95, MOST * mean_p95(n_routers, knows_engines=True))

    def test_35_routers(self) -> None:
        self.check(35)

    def test_63_routers(self) -> None:
        self.check(63)

    def test_routers_against_exact_queues(self) -> None:
        # Compared with one that knows every queue and every moment to come.
        self.assertLess(mean_p95(35, trouble=None), MOST * mean_p95(35, knows_all=True))

    def test_reports_are_lost(self) -> None:
        self.check(35, Trouble(lost_share=0.3))

    def test_reports_are_a_second_late(self) -> None:
        informed = mean_p95(35, trouble=Trouble(late_s=1.0), knows_engines=True)
        found = mean_p95(35, trouble=Trouble(late_s=1.0))
        self.assertLess(found, MOST * informed)

    def test_third_of_the_routers_is_apart(self) -> None:
        self.check(35, Trouble(apart=(3.0, 9.0)))

    def test_all_routers_restart_at_once(self) -> None:
        self.check(35, Trouble(restart_at=5.0))

    def test_no_engine_is_met_by_all_nor_emptied_for_a_moment(self) -> None:
        fleet = UnevenFleet(63, LOAD, for_s=FOR_S).play()
        total = sum(fleet.sent)
        capacity = sum(engine.tokens_per_s for engine in fleet.engines)
        for sent, engine in zip(fleet.sent, fleet.engines, strict=True):
            share = engine.tokens_per_s / capacity
            self.assertLess(sent / total, 2 * share)
        # 15% of the time is slow.
        self.assertGreater(fleet.sent_slow / total, 0.05)
