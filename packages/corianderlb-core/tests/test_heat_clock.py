"""Counts of hot prefixes work whatever the clock shows and however long it idles."""

from __future__ import annotations

import unittest

from corianderlb_core.heat import DecayedCounts, PrefixHeat


class HeatClockTest(unittest.TestCase):
    def test_clock_that_starts_far_from_zero(self) -> None:
        # The runtime's clock starts at an arbitrary large number. Every completion
        # failed with an internal error, since the weight of a count overflowed.
        heat = PrefixHeat()
        heat.observe([b"prefix"], now=1e9)
        self.assertEqual(heat.width(b"prefix", 5, 1e9), 1)

    def test_idle_for_a_day(self) -> None:
        # Nobody asks anything over night. The first request of the morning must not
        # fail, and what was hot in the evening has faded.
        counts = DecayedCounts(half_life_s=1.0)
        for _ in range(100):
            counts.add([b"evening"], now=1e6)
        for _ in range(100):
            counts.add([b"morning"], now=1e6 + 86400.0)
        self.assertEqual(counts.share(b"evening"), 0.0)
        self.assertGreater(counts.share(b"morning"), 0.8)
