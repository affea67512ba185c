"""Test that counts of hot prefixes tolerate large clock values and long idle times."""

from __future__ import annotations

import unittest

from corianderlb_core.hot_prefix import DecayedCounts, HotPrefixTracker


class HeatClockTest(unittest.TestCase):
    def test_clock_that_starts_far_from_zero(self) -> None:
        # Guards against an overflow of the count's weight when the runtime's clock
        # starts at a large number.
        heat = HotPrefixTracker()
        heat.observe([b"prefix"], now=1e9)
        self.assertEqual(heat.width(b"prefix", 5, 1e9), 1)

    def test_idle_for_a_day(self) -> None:
        # Guards against a failure of the first request after a long idle time; earlier
        # counts must have decayed.
        counts = DecayedCounts(half_life_s=1.0)
        for _ in range(100):
            counts.add([b"evening"], now=1e6)
        for _ in range(100):
            counts.add([b"morning"], now=1e6 + 86400.0)
        self.assertEqual(counts.share(b"evening"), 0.0)
        self.assertGreater(counts.share(b"morning"), 0.8)
