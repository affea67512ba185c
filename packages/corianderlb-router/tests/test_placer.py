"""Test placing requests through a policy and a directory."""

from __future__ import annotations

import random
import unittest

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.identity import InstanceRecord, Role
from corianderlb_core.placement_registry import (
    POLICIES,
    UnknownPolicyError,
    make_policy,
)
from corianderlb_core.request import AttemptOutcome, Decision, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import PlacementSettings
from corianderlb_router.placer import PolicyPlacer
from corianderlb_router.store import InstanceList
from corianderlb_router.upstream_directory import PlatformDirectory
from corianderlb_standins.builder import a_catalogue, a_model

CATALOGUE = a_catalogue(a_model())
FACTS = RequestFacts(
    "r1", "kiln", ServiceClass.URGENT, "ember-llm", "ember-llm", 0, 9
)  # fmt: skip


def a_placer(policy: str, *names: str) -> PolicyPlacer:
    """Build a placer over instances of ember-llm."""
    records = [
        InstanceRecord(name, Role.UPSTREAM, "z1", "pnw", "", upstream="ember-llm")
        for name in names
    ]
    directory = PlatformDirectory(clock=lambda: 0.0)
    directory.apply_instance_list(InstanceList(1, tuple(records)))
    rng = random.Random(1)
    chosen = make_policy(PlacementSettings(policy=policy), rng)
    return PolicyPlacer(chosen, directory, rng, lambda: 0.0)


class TestPlacer(unittest.TestCase):
    """All policies return only usable instances."""

    def test_each_policy_ranks_and_avoids(self):
        """An instance to avoid is not among the candidates."""
        for name in POLICIES:
            placer = a_placer(name, "e1", "e2")
            decision = placer.place(FACTS, CATALOGUE, avoid=["e1"])
            self.assertIsInstance(decision, Decision)
            found = [c.incarnation.instance for c in decision.candidates]
            self.assertEqual(found, ["e2"], name)

    def test_nothing_usable_is_refused(self):
        """Without a usable instance the refusal has a retry-after."""
        refusal = a_placer("default").place(FACTS, CATALOGUE)
        self.assertIs(refusal.code, ResultCode.NO_UPSTREAM)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_least_loaded_counts_own_attempts(self):
        """The router counts its own attempts between two load reports."""
        placer = a_placer("least_loaded", "e1", "e2")
        first = placer.place(FACTS, CATALOGUE).candidates[0]
        placer.attempt_started(FACTS, first)
        second = placer.place(FACTS, CATALOGUE).candidates[0]
        self.assertNotEqual(first.incarnation, second.incarnation)
        placer.attempt_ended(FACTS, AttemptOutcome(first.incarnation, ResultCode.OK))

    def test_unknown_policy(self):
        """The error for an unknown policy lists the allowed policies."""
        with self.assertRaisesRegex(UnknownPolicyError, "least_loaded"):
            make_policy(PlacementSettings(policy="fastest"), random.Random(1))
