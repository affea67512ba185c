"""Test the default policy beside the baselines on imitated engines."""

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
    """Shared prompts are computed seldom, without long queues in return."""

    def test_fewer_pieces_than_without_regard_to_prefixes(self):
        """Prompts that meet an engine without their pieces are paid for again."""
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
        """One account sends most of the traffic and its home is a single engine.

        By the hash alone its callers wait there while the other engines idle.
        """
        ours, other = run("skewed", "default"), run("skewed", "hash_only")
        self.assertLess(ours.n_recomputed, other.n_recomputed)
        urgent = ServiceClass.URGENT
        self.assertLess(ours.quantile(urgent, 0.99), other.quantile(urgent, 0.99))
