"""Test when weights versions count as replaced."""

from __future__ import annotations

import math
import unittest

from corianderlb_core.published_versions import PublishedVersion, PublishedVersions


class NamedVersionsTest(unittest.TestCase):
    def a_history(self, *published_versions: PublishedVersion) -> PublishedVersions:
        """Build a history from namings in the order of their arrival."""
        history = PublishedVersions()
        for published_version in published_versions:
            history.record_publication(published_version)
        return history

    def test_observed_namings(self) -> None:
        history = self.a_history(
            PublishedVersion(1, 5.0), PublishedVersion(2, 9.0, after=1)
        )
        self.assertEqual(history.newest, 2)
        self.assertEqual(
            [history.replaced_at(version) for version in (0, 1, 2)],
            [5.0, 9.0, math.inf],
        )

    def test_version_before_the_first_known_one(self) -> None:
        """Guards against the time of a later replacement."""
        history = self.a_history(PublishedVersion(4, 9.0, after=3))
        self.assertEqual(history.replaced_at(3), 9.0)
        self.assertEqual(history.replaced_at(2), -math.inf)

    def test_missing_naming_between_two_known_ones(self) -> None:
        """Guards against the time of a later replacement where a naming is missing."""
        history = self.a_history(
            PublishedVersion(3, 5.0, after=2), PublishedVersion(5, 9.0, after=4)
        )
        self.assertEqual(history.replaced_at(4), 9.0)
        self.assertEqual(history.replaced_at(3), 5.0)
        history.record_publication(PublishedVersion(4, 7.0, after=3))
        self.assertEqual(history.replaced_at(3), 7.0)

    def test_skipped_version_numbers(self) -> None:
        """Guards against treating a skipped version number as a missing naming."""
        history = self.a_history(
            PublishedVersion(3, 5.0, after=2), PublishedVersion(5, 9.0, after=3)
        )
        self.assertEqual(history.replaced_at(3), 9.0)

    def test_earlier_of_two_exact_times_is_kept(self) -> None:
        """Guards against an age that shrinks with each router that forwards it."""
        history = self.a_history(PublishedVersion(2, 9.0, after=1))
        self.assertTrue(history.record_publication(PublishedVersion(2, 8.9, after=1)))
        self.assertFalse(history.record_publication(PublishedVersion(2, 9.1, after=1)))
        self.assertFalse(
            history.record_publication(
                PublishedVersion(2, 1.0, after=1, is_exact=False)
            )
        )
        self.assertEqual(history.replaced_at(1), 8.9)

    def test_exact_time_replaces_a_lower_bound(self) -> None:
        history = self.a_history(PublishedVersion(2, -math.inf, is_exact=False))
        self.assertEqual(history.replaced_at(1), -math.inf)
        history.record_publication(PublishedVersion(2, 8.9, after=1))
        self.assertEqual(history.replaced_at(1), 8.9)
        self.assertEqual(history.exact(since=8.0), [PublishedVersion(2, 8.9, after=1)])
        self.assertEqual(history.exact(since=9.0), [])

    def test_lower_bound_is_not_announced(self) -> None:
        """Guards against a lower bound that peers would take for an exact time."""
        history = self.a_history(PublishedVersion(2, 9.0, after=1, is_exact=False))
        self.assertEqual(history.exact(since=8.0), [])
