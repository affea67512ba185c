"""Compare the default policy with the baselines on simulated engines."""

from __future__ import annotations

import dataclasses
import unittest

from corianderlb_core.catalogue import ServiceClass
from placement_trial import SCENARIOS, Result, Scenario, Trial


def run(name: str, policy: str) -> Result:
    """Run a shortened scenario."""
    scenario = next(item for item in SCENARIOS if item.name == name)
    short: Scenario = dataclasses.replace(scenario, seconds=60.0, warm_s=20.0)
    if short.shift_at > 0:
        short = dataclasses.replace(short, shift_at=20.0)
    return Trial(short, policy, seed=1).run()


class TestPlacementTrial(unittest.TestCase):
    """The default policy recomputes little without long queues."""

    def test_fewer_pieces_than_without_regard_to_prefixes(self):
        """Guards against sending prompts to engines without their pieces."""
        for scenario in ("steady", "hot shift"):
            ours = run(scenario, "default")
            for baseline in ("round_robin", "least_loaded"):
                other = run(scenario, baseline)
                self.assertLess(ours.n_recomputed, other.n_recomputed / 2, scenario)
                urgent = ServiceClass.URGENT
                self.assertLess(
                    ours.quantile(urgent, 0.99), other.quantile(urgent, 0.99)
                )

    def test_large_account_does_not_overrun_its_home(self):
        """Guards against overloading the primary of an account with much traffic.

        With hashing alone its callers wait there while the other engines idle.
        """
        ours, other = run("skewed", "default"), run("skewed", "hash_only")
        self.assertLess(ours.n_recomputed, other.n_recomputed)
        urgent = ServiceClass.URGENT
        self.assertLess(ours.quantile(urgent, 0.99), other.quantile(urgent, 0.99))
