"""Probes of a retired instance, by what its failures cost."""

from __future__ import annotations

import random
import unittest

from corianderlb_core.health import FAILURES_TO_RETIRE, InstanceHealth, Verdict


def n_probes(verdict: Verdict, for_s: int) -> int:
    """Count the probes of an instance that always fails, in steps of 0.1 s."""
    health, rng, n_found = InstanceHealth(), random.Random(1), 0
    for _ in range(FAILURES_TO_RETIRE):
        health.record(verdict, 0.0, rng)
    for step in range(10 * for_s):
        now = step / 10
        if health.is_probe_due(now):
            n_found += 1
            health.record_probe(True, now, rng)
            health.record(verdict, now, rng)
    return n_found


class ProbeTest(unittest.TestCase):
    def test_instance_that_sends_too_much_is_probed_less_and_less(self) -> None:
        """Guards against answers without end that are asked for again and again."""
        self.assertLessEqual(n_probes(Verdict.EXCESS, for_s=60), 20)

    def test_others_are_probed_soon(self) -> None:
        """Guards against an instance that is back and gets no requests."""
        self.assertGreaterEqual(n_probes(Verdict.FAILURE, for_s=60), 60)


if __name__ == "__main__":
    unittest.main()
