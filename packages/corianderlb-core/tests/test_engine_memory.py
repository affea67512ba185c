"""Test that all routers together never fill an engine beyond its memory."""

from __future__ import annotations

import unittest

from corianderlb_core.engine_memory import (
    RESERVED_SHARE,
    EngineHeld,
    EngineMemoryBound,
    FleetKnowledge,
    PeersHeld,
    owned_share,
)
from held_fleet import CAPACITY, Fault, HeldFleet


class HeldFleetTest(unittest.TestCase):
    def check(self, fault: Fault) -> None:
        """Check a surge while one engine is slow, during a fault."""
        for n_times in (4, 6):
            fleet = HeldFleet(n_times, fault).play()
            self.assertLessEqual(fleet.most_held, CAPACITY)
            # More is asked for than the engines can do.
            self.assertGreater(fleet.n_refused, 0)

    def test_surge_without_the_bound(self) -> None:
        """Guards against a play too easy to show anything."""
        fleet = HeldFleet(4, is_bounded=False).play()
        self.assertGreater(fleet.most_held, 1.5 * CAPACITY)

    def test_usual_traffic_is_not_refused(self) -> None:
        """Guards against refusals while memory is free."""
        for n_routers, most_refused in ((35, 0.0), (63, 0.005)):
            fleet = HeldFleet(n_routers=n_routers).play()
            self.assertLessEqual(fleet.most_held, CAPACITY)
            self.assertLessEqual(fleet.n_refused, most_refused * fleet.n_asked)

    def test_surge(self) -> None:
        """Guards against engines filled before the routers hear of each other."""
        self.check(Fault())

    def test_reports_are_lost(self) -> None:
        """Guards against engines filled with work whose reports are lost."""
        self.check(Fault(lost_share=0.5))

    def test_reports_are_late(self) -> None:
        """Guards against engines filled with work that is reported a second late."""
        self.check(Fault(late_s=1.0))

    def test_third_is_cut_off(self) -> None:
        """Guards against routers that hear nobody and fill engines, or serve none."""
        fault = Fault(n_alone=12)
        self.check(fault)
        fleet = HeldFleet(fault=fault).play()
        self.assertLess(fleet.n_refused, 0.1 * fleet.n_asked_alone)

    def test_two_halves(self) -> None:
        """Guards against halves that each fill the whole memory."""
        self.check(Fault(n_halves=2))

    def test_all_are_alone(self) -> None:
        """Guards against routers that each take the whole memory for theirs."""
        self.check(Fault(n_alone=35))

    def test_third_is_killed(self) -> None:
        """Guards against engines filled anew while those of the dead still run."""
        self.check(Fault(n_killed=12))


class EngineMemoryTest(unittest.TestCase):
    def test_units_of_an_engine_are_the_reserve(self) -> None:
        for n_routers in (1, 3, 35):
            names = [f"r{n}" for n in range(n_routers)]
            total = sum(owned_share("e", name, names) for name in names)
            self.assertAlmostEqual(total, RESERVED_SHARE)

    def test_requests_that_no_router_reported_count(self) -> None:
        """Guards against requests of a killed router that an engine still holds."""
        fleet = FleetKnowledge("a", ("a", "b"), 1.0)

        def has_room(n_busy: int | None) -> bool:
            held = EngineHeld(1000, 100, 1, PeersHeld(), n_busy, 0.0)
            return EngineMemoryBound().has_room("e", held, 400, fleet)

        found = [has_room(n_busy) for n_busy in (None, 1, 4)]
        self.assertEqual(found, [True, True, False])

    def test_one_router_alone_has_nearly_all(self) -> None:
        fleet = FleetKnowledge("a", ("a",), 1.0)
        held = EngineHeld(1000, 500, 5, PeersHeld(), None, 1e9)
        self.assertTrue(EngineMemoryBound().has_room("e", held, 400, fleet))
        self.assertFalse(EngineMemoryBound().has_room("e", held, 401, fleet))


if __name__ == "__main__":
    unittest.main()
