"""An instance that starts, before 35 and 63 routers that all prefer it.

The load is that of a fleet in which one router sends an instance a request in 2.5 to 11
seconds, so that alone it would learn nothing in time.
"""

from __future__ import annotations

import random
import unittest

from corianderlb_core.instance_pace import (
    FIRST_PACE,
    FULL_PACE,
    LOADED_PACE,
    MAX_LOADED_S,
    MIN_LOADED_PACE,
    MIN_PACE,
    FleetView,
    InstancePace,
    PaceReport,
    without_turn,
)
from pace_fleet import CAPACITY, TOLERATED_S, WORK_S, PaceFleet

SIZES = (35, 63)
SEEDS = range(1, 4)


class StartingInstanceTest(unittest.TestCase):
    """A rate of 1 is what a steady instance of the same speed is given."""

    def check(self, **fields) -> None:
        """Check that a new instance is in use within 3 s and never flooded."""
        for n_routers in SIZES:
            rates = []
            for seed in SEEDS:
                with self.subTest(n_routers=n_routers, seed=seed):
                    fleet = PaceFleet(n_routers, seed, **fields)
                    fleet.run(6.0)
                    self.assertLessEqual(fleet.most_asked(), 1.3)
                    self.assertLess(fleet.longest_wait_s(), 2 * TOLERATED_S)
                    rates.append(fleet.served_rate(3.0, 6.0))
            self.assertGreaterEqual(sum(rates) / len(rates), 0.9)

    def test_all_routers_hear_each_other(self) -> None:
        self.check()

    def test_reports_a_second_late(self) -> None:
        """Guards against growth that stops while reports are on their way."""
        self.check(delay_s=1.0)

    def test_half_of_the_reports_lost(self) -> None:
        """Guards against totals that miss what a lost report told."""
        self.check(loss=0.5)

    def test_two_halves(self) -> None:
        """Guards against each half taking the pace of all."""
        self.check(group_of=lambda router: router % 2)

    def test_routers_that_hear_nobody(self) -> None:
        """Guards against an instance left idle, or flooded, by routers on their own."""
        self.check(heard_by_nobody=True)

    def test_twice_the_requests(self) -> None:
        self.check(requests_per_s=lambda now: 360.0)

    def test_saved_turns_are_not_used_at_once(self) -> None:
        """Guards against a flood when requests come after seconds without any."""
        for n_routers in SIZES:
            fleet = PaceFleet(
                n_routers, requests_per_s=lambda now: 0.0 if now < 3 else 2000.0
            )
            fleet.run(4.0)
            first = [waited for at, waited in fleet.waited_s if at < 3.2]
            self.assertLess(max(first), TOLERATED_S + max(WORK_S))

    def test_restarted_routers(self) -> None:
        """Guards against a router that floods the instance or holds others back."""
        for n_routers in SIZES:
            fleet = PaceFleet(n_routers)
            for number in range(20):
                fleet.run(0.25 * (number + 1))
                fleet.restart(number, fleet.now)
            self.assertLessEqual(fleet.most_asked(), 1.3)
            self.assertGreaterEqual(fleet.served_rate(3.0, 5.0), 0.8)

    def test_all_routers_restart_at_once(self) -> None:
        """Guards against routers that all send at the moment of their start."""
        for n_routers in SIZES:
            for seed in SEEDS:
                with self.subTest(n_routers=n_routers, seed=seed):
                    fleet = PaceFleet(n_routers, seed)
                    fleet.run(1.5)
                    for number in range(n_routers):
                        fleet.restart(number, fleet.now)
                    fleet.run(6.0)
                    self.assertLessEqual(fleet.most_asked(), 1.3)
                    self.assertGreaterEqual(fleet.served_rate(3.0, 6.0), 0.8)

    def test_instance_that_is_slow_at_first(self) -> None:
        """Guards against a pace that goes by time and not by the answers."""
        for n_routers in SIZES:
            for seed in SEEDS:
                with self.subTest(n_routers=n_routers, seed=seed):
                    fleet = PaceFleet(
                        n_routers,
                        seed,
                        speed=lambda now: min(CAPACITY, 0.15 + 0.2 * now),
                    )
                    fleet.run(14.0)
                    self.assertLess(fleet.longest_wait_s(), 4 * TOLERATED_S)
                    self.assertGreaterEqual(fleet.served_rate(11.0, 14.0), 0.8)

    def test_instance_that_fails_again(self) -> None:
        """Guards against a flood at each return of an instance that goes on failing."""
        for n_routers in SIZES:
            fleet = PaceFleet(
                n_routers, speed=lambda now: 0.0 if 1.0 < now < 2.5 else CAPACITY
            )
            fleet.run(2.5)
            n_failed = fleet.n_failed
            self.assertLess(n_failed, 20)
            fleet.run(9.0)
            after = [at for at, _ in fleet.asked if 2.5 <= at < 3.5]
            self.assertLessEqual(len(after), 12)
            self.assertGreaterEqual(fleet.served_rate(6.5, 9.0), 0.8)


class InstancePaceTest(unittest.TestCase):
    def test_only_new_and_valid_reports_count(self) -> None:
        """Guards against late and repeated reports of a time before a backoff."""
        pace = InstancePace(0.0)
        fleet = FleetView(10)
        for _ in range(3):
            pace.merge("r2", PaceReport(0, FIRST_PACE, 1.0, 0.1), 0.1)
        self.assertAlmostEqual(pace.report().base, FIRST_PACE)
        grown = pace.pace(0.1, fleet)
        self.assertAlmostEqual(grown, FIRST_PACE + 0.2)
        pace.merge("r2", PaceReport(0, FIRST_PACE, 1.0, 0.05), 0.1)
        pace.merge("r3", PaceReport(0, -1.0, 1.0, 9.0), 0.1)
        pace.merge("r3", PaceReport(0, FIRST_PACE, 1.0, float("nan")), 0.1)
        self.assertEqual(pace.pace(0.1, fleet), grown)
        pace.merge("r4", PaceReport(1, MIN_PACE, 0.5, 0.0), 0.2)
        pace.merge("r2", PaceReport(0, FIRST_PACE, 1.0, 9.0), 0.2)
        self.assertEqual(pace.pace(0.2, fleet), MIN_PACE)

    def test_one_backoff_for_what_was_sent_before(self) -> None:
        """Guards against a pace that drops to its least after one slow moment."""
        pace, fleet = InstancePace(0.0, 0.8), FleetView(1)
        for number in range(8):
            pace.sent(f"q{number}", 0.05, 0.1, 0.3, 0.1, fleet)
        for number in range(8):
            pace.answered(f"q{number}", 0.5 + number / 100, fleet)
        self.assertEqual(pace.report().n_backoffs, 1)
        self.assertGreaterEqual(pace.pace(0.6, fleet), 0.4)

    def test_request_that_is_never_answered_backs_off(self) -> None:
        pace, fleet = InstancePace(0.0), FleetView(1)
        pace.sent("q", 0.05, 0.1, 0.3, 0.0, fleet)
        pace.may_send(2.0, fleet)
        self.assertEqual(pace.report().n_backoffs, 1)

    def test_request_is_never_left_without_an_instance(self) -> None:
        """Guards against requests refused since every instance has just started."""
        rng, fleet = random.Random(1), FleetView(63)
        paces = {
            name: InstancePace(0.0, phase=rng.uniform(0.5, 0.9))
            for name in ("a", "b", "c")
        }
        first = min(paces, key=lambda name: paces[name].owed_s(0.0, fleet))
        others = [name for name in paces if name != first]
        self.assertEqual(without_turn(list(paces), paces.get, 0.0, fleet), others)
        all_names = [*paces, "old"]
        found = without_turn(all_names, paces.get, 0.0, fleet)
        self.assertEqual(found, list(paces))
        # With the old one outdated, the first of the new ones may be sent to as well.
        found = without_turn(
            all_names, paces.get, 0.0, fleet, lambda name: name != "old"
        )
        self.assertEqual(found, others)
        self.assertEqual(without_turn([], paces.get, 0.0, fleet), [])

    def test_instance_that_has_only_loaded(self) -> None:
        """Guards against engines starved after each change of weights."""
        pace, fleet = InstancePace(0.0, LOADED_PACE), FleetView(1)
        for step in range(6):
            now = step * 0.6
            pace.sent(f"q{step}", 0.05, 0.1, 0.3, now, fleet)
            pace.answered(f"q{step}", now + 0.55, fleet)
            self.assertGreaterEqual(pace.pace(now + 0.55, fleet), MIN_LOADED_PACE)
        self.assertTrue(pace.is_of_known_speed)
        self.assertTrue(pace.is_settled(MAX_LOADED_S, fleet))

    def test_moment_of_slowness(self) -> None:
        """Guards against backing off for a machine that others slow for a moment."""
        pace, fleet = InstancePace(0.0), FleetView(1)
        pace.sent("q", 0.05, 0.3, 0.3, 0.0, fleet)
        pace.answered("q", 0.7, fleet, slowdown=2.5)
        self.assertEqual(pace.report().n_backoffs, 0)

    def test_pace_ends(self) -> None:
        fleet = FleetView(1)
        steady, slow = InstancePace(0.0, FULL_PACE), InstancePace(0.0)
        self.assertFalse(steady.is_settled(0.0, fleet))
        self.assertTrue(steady.is_settled(1.5, fleet))
        for second in range(20):
            slow.sent(f"q{second}", 0.05, 0.1, 0.3, float(second), fleet)
            slow.answered(f"q{second}", second + 0.9, fleet)
        self.assertTrue(slow.is_settled(20.0, fleet))


if __name__ == "__main__":
    unittest.main()
