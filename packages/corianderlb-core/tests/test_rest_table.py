"""Tests of the table of rests that instances ask for."""

from __future__ import annotations

import unittest

from corianderlb_core.instance_rest import MAX_REST_S, MAX_RESTS, RestTable

KEY = ("i-7f3a", 1000)


class RestTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RestTable()

    def test_rest_lasts_as_long_as_asked(self) -> None:
        self.table.record(KEY, 3.0, 10.0)
        self.assertAlmostEqual(self.table.wait_s(KEY, 12.9), 0.1)
        self.assertEqual(self.table.wait_s(KEY, 13.0), 0.0)

    def test_shorter_rest_does_not_end_a_longer_one(self) -> None:
        """Guards against a second refusal that cuts the first one's rest."""
        self.table.record(KEY, 3.0, 10.0)
        self.table.record(KEY, 0.5, 10.1)
        self.assertGreater(self.table.wait_s(KEY, 12.9), 0.0)

    def test_huge_rest_ends(self) -> None:
        self.table.record(KEY, 1e15, 10.0)
        self.assertEqual(self.table.wait_s(KEY, 10.0 + MAX_REST_S), 0.0)

    def test_next_incarnation_does_not_rest(self) -> None:
        self.table.record(KEY, 3.0, 10.0)
        self.assertEqual(self.table.wait_s(("i-7f3a", 2000), 10.0), 0.0)

    def test_one_urgent_call_in_a_rest(self) -> None:
        self.table.record(KEY, 3.0, 10.0)
        taken = [self.table.take_urgent(KEY, at) for at in (10.5, 11.0, 12.0, 13.0)]
        self.assertEqual(taken, [True, False, False, True])

    def test_table_is_bounded(self) -> None:
        for number in range(MAX_RESTS + 5):
            self.table.record((f"i{number}", 1), 3.0, 10.0)
        self.assertEqual(len(self.table), MAX_RESTS)
