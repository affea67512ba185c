"""Tests of limits that instances name, over fleets on a virtual clock."""

from __future__ import annotations

import unittest

from corianderlb_core.identity import InstanceId
from corianderlb_core.limit_ledger import MIN_LIMIT_PER_S, LimitLedger, limit_name
from limit_fleet import INCARNATION, LimitFleet

NAME = limit_name(INCARNATION)


class LimitFleetTest(unittest.TestCase):
    def assert_kept(self, fleet: LimitFleet) -> None:
        self.assertLessEqual(fleet.most_sent(), fleet.allowed())

    def test_one_a_second_over_many_routers(self) -> None:
        """Guards against shares so small that nothing, or everything, is sent."""
        for n_routers in (4, 25, 78):
            for seed in (1, 2, 3):
                with self.subTest(n_routers=n_routers, seed=seed):
                    fleet = LimitFleet(1.0, n_routers, seed=seed)
                    fleet.send(20.0, 60.0)
                    self.assert_kept(fleet)
                    self.assertGreaterEqual(fleet.sent_share(since=4.0), 0.8)

    def test_limits_of_other_sizes(self) -> None:
        for per_s in (0.2, 2.5, 5.0, 50.0):
            for n_routers in (4, 25):
                with self.subTest(per_s=per_s, n_routers=n_routers):
                    fleet = LimitFleet(per_s, n_routers)
                    fleet.send(16.0, max(30.0, 3 * per_s))
                    self.assert_kept(fleet)

    def test_full_bucket_is_not_spent_by_all_routers_at_once(self) -> None:
        """Guards against routers that each take what has been saved."""
        for n_routers in (4, 25, 78):
            for seed in (1, 2, 3):
                with self.subTest(n_routers=n_routers, seed=seed):
                    fleet = LimitFleet(1.0, n_routers, seed=seed)
                    fleet.send(20.0, 0.0)
                    fleet.send(12.0, 60.0)
                    self.assert_kept(fleet)

    def test_router_cut_off_from_its_peers(self) -> None:
        for n_routers in (4, 25):
            with self.subTest(n_routers=n_routers):
                fleet = LimitFleet(1.0, n_routers)
                fleet.send(6.0, 30.0)
                fleet.partition(lambda index: int(index == 2))
                fleet.send(16.0, 30.0)
                fleet.heal()
                fleet.send(8.0, 30.0)
                self.assert_kept(fleet)

    def test_routers_that_do_not_hear_each_other_at_all(self) -> None:
        """Guards against a whole limit at each router of a fleet that is cut apart."""
        fleet = LimitFleet(1.0, 25)
        fleet.send(6.0, 60.0)
        fleet.partition(lambda index: index)
        fleet.send(30.0, 60.0)
        self.assert_kept(fleet)

    def test_router_that_restarts_or_is_paused(self) -> None:
        fleet = LimitFleet(1.0, 4)
        fleet.send(6.0, 30.0)
        fleet.restart(1, away_s=0.5)
        fleet.freeze(2, for_s=3.0)
        fleet.send(12.0, 30.0)
        self.assert_kept(fleet)


class LimitLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = LimitLedger(InstanceId("r1"), 1)

    def test_instance_without_a_limit_is_not_held_back(self) -> None:
        self.assertTrue(self.ledger.charge(NAME, 1.0, 0.0))
        self.assertEqual(self.ledger.wait_s(NAME, 1.0, 0.0), 0.0)

    def test_first_request_waits_for_its_place(self) -> None:
        self.ledger.set_limit(INCARNATION, 2.0, 0.0)
        self.assertFalse(self.ledger.charge(NAME, 1.0, 0.0))
        self.assertAlmostEqual(self.ledger.wait_s(NAME, 1.0, 0.0), 0.5)
        self.assertTrue(self.ledger.charge(NAME, 1.0, 0.5))

    def test_limit_of_nothing_lets_a_request_through_now_and_then(self) -> None:
        """Guards against a limit whose end nobody would hear."""
        self.ledger.set_limit(INCARNATION, 0.0, 0.0)
        self.assertLessEqual(self.ledger.wait_s(NAME, 1.0, 0.0), 1 / MIN_LIMIT_PER_S)

    def test_huge_limit(self) -> None:
        self.ledger.set_limit(INCARNATION, 999_999_999_999_999.0, 0.0)
        for number in range(100):
            self.assertTrue(self.ledger.charge(NAME, 1.0, 0.01 + number / 1000))

    def test_lower_limit_lowers_what_was_saved(self) -> None:
        self.ledger.set_limit(INCARNATION, 100.0, 0.0)
        self.assertTrue(self.ledger.charge(NAME, 1.0, 60.0))
        self.ledger.set_limit(INCARNATION, 1.0, 60.0)
        n_sent = sum(self.ledger.charge(NAME, 1.0, 60.0) for _ in range(50))
        self.assertLessEqual(n_sent, 11)

    def test_limit_named_again_saves_nothing_of_the_time_between(self) -> None:
        """Guards against a full bucket after a time without a limit."""
        self.ledger.set_limit(INCARNATION, 1.0, 0.0)
        self.ledger.restart(INCARNATION, 60.0)
        self.assertFalse(self.ledger.charge(NAME, 1.0, 60.0))

    def test_clock_that_goes_back_adds_nothing(self) -> None:
        self.ledger.set_limit(INCARNATION, 1.0, 100.0)
        self.assertFalse(self.ledger.charge(NAME, 1.0, 40.0))
        self.assertFalse(self.ledger.charge(NAME, 1.0, 100.5))
        self.assertTrue(self.ledger.charge(NAME, 1.0, 101.0))
