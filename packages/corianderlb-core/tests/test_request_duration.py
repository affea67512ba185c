"""Estimates of what a request will take."""

from __future__ import annotations

import random
import unittest

from corianderlb_core import request_duration
from corianderlb_core.request_duration import (
    RequestDurations,
    RequestTimes,
    SmoothedTime,
)


class RequestDurationTest(unittest.TestCase):
    def test_few_samples_exceed_the_bound(self) -> None:
        rng, time, n_above = random.Random(1), SmoothedTime(), 0
        for n in range(2_000):
            sample_s = rng.lognormvariate(0.0, 0.5)
            n_above += n > 20 and sample_s > time.bound_s
            time.add(sample_s)
        self.assertLess(n_above, 2_000 * 0.05)

    def test_bound_follows_a_change_of_pace(self) -> None:
        """Guards against an estimate of engines as they were before an overload."""
        time = SmoothedTime()
        for sample_s in (0.02,) * 50 + (0.2,) * 5:
            time.add(sample_s)
        self.assertGreater(time.bound_s, 0.2)

    def test_streams_that_were_cut_count_as_long(self) -> None:
        """Guards against an estimate that only short streams have made."""
        durations = RequestDurations()
        durations.record("chat", RequestTimes(0.2, 1.0, n_tokens=100))
        before = durations.estimate("chat", 100)
        cut = RequestTimes(0.2, 9.0, n_tokens=100, is_whole=False)
        durations.record("chat", cut)
        after = durations.estimate("chat", 100)
        self.assertGreater(after.bound_s, before.bound_s + 1)
        early = RequestTimes(0.0, 0.1, n_tokens=100, is_whole=False)
        durations.record("chat", early)
        self.assertEqual(durations.estimate("chat", 100), after)

    def test_estimate_grows_with_output_and_wait(self) -> None:
        durations = RequestDurations()
        self.assertIsNone(durations.estimate("chat"))
        for _ in range(100):
            durations.record("chat", RequestTimes(0.5, 2.0, n_tokens=100))
        short = durations.estimate("chat", 50, begins_in_s=0.1)
        self.assertAlmostEqual(short.first_s, 0.5)
        self.assertAlmostEqual(short.usual_s, 1.5)
        self.assertAlmostEqual(short.bound_s, 1.5, 3)
        queued = durations.estimate("chat", 500, begins_in_s=3.0)
        self.assertAlmostEqual(queued.bound_s, 13.0, 3)

    def test_number_of_routes_is_bounded(self) -> None:
        """Guards against memory that grows with each renamed route."""
        durations = RequestDurations()
        for n in range(request_duration.MAX_ROUTES + 1):
            durations.record(f"r{n}", RequestTimes(0.1, 0.0))
        self.assertIsNone(durations.estimate("r0"))
        self.assertIsNotNone(durations.estimate("r1"))
