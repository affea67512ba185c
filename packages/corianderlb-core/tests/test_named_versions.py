"""When versions of weights were named, as far as a router can know."""

from __future__ import annotations

import math
import unittest

from corianderlb_core.named_versions import NamedVersions, Naming


class NamedVersionsTest(unittest.TestCase):
    def a_history(self, *namings: Naming) -> NamedVersions:
        """Build a history from namings in the order in which they became known."""
        history = NamedVersions()
        for naming in namings:
            history.note(naming)
        return history

    def test_seen_namings(self) -> None:
        history = self.a_history(Naming(1, 5.0), Naming(2, 9.0, after=1))
        self.assertEqual(history.newest, 2)
        self.assertEqual(
            [history.replaced_at(version) for version in (0, 1, 2)],
            [5.0, 9.0, math.inf],
        )

    def test_version_before_the_first_that_is_known(self) -> None:
        """Guards against dating a replacement by a later one."""
        history = self.a_history(Naming(4, 9.0, after=3))
        self.assertEqual(history.replaced_at(3), 9.0)
        self.assertEqual(history.replaced_at(2), -math.inf)

    def test_naming_that_was_missed_in_between(self) -> None:
        """Guards against the same where one naming of several is missing."""
        history = self.a_history(Naming(3, 5.0, after=2), Naming(5, 9.0, after=4))
        self.assertEqual(history.replaced_at(4), 9.0)
        self.assertEqual(history.replaced_at(3), 5.0)
        history.note(Naming(4, 7.0, after=3))
        self.assertEqual(history.replaced_at(3), 7.0)

    def test_numbers_that_skip(self) -> None:
        """Guards against distrust where the operator left a number out."""
        history = self.a_history(Naming(3, 5.0, after=2), Naming(5, 9.0, after=3))
        self.assertEqual(history.replaced_at(3), 9.0)

    def test_earlier_of_two_exact_times_counts(self) -> None:
        """Guards against an age that shrinks with each router that passes it on."""
        history = self.a_history(Naming(2, 9.0, after=1))
        self.assertTrue(history.note(Naming(2, 8.9, after=1)))
        self.assertFalse(history.note(Naming(2, 9.1, after=1)))
        self.assertFalse(history.note(Naming(2, 1.0, after=1, is_exact=False)))
        self.assertEqual(history.replaced_at(1), 8.9)

    def test_exact_time_replaces_an_earliest_one(self) -> None:
        history = self.a_history(Naming(2, -math.inf, is_exact=False))
        self.assertEqual(history.replaced_at(1), -math.inf)
        history.note(Naming(2, 8.9, after=1))
        self.assertEqual(history.replaced_at(1), 8.9)
        self.assertEqual(history.exact(since=8.0), [Naming(2, 8.9, after=1)])
        self.assertEqual(history.exact(since=9.0), [])

    def test_time_that_nobody_saw_is_not_passed_on(self) -> None:
        """Guards against an earliest time that peers would take for an exact one."""
        history = self.a_history(Naming(2, 9.0, after=1, is_exact=False))
        self.assertEqual(history.exact(since=8.0), [])
