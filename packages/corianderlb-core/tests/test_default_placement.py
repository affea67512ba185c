"""Test the instances that the default policy chooses."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.default_placement import DefaultPolicy
from corianderlb_core.hint import CacheEvent, HintTable
from corianderlb_core.hot_prefix import NARROWING_DELAY_S
from corianderlb_core.identity import Incarnation
from corianderlb_core.instance_load import InstanceLoad, InstanceSet
from corianderlb_core.load import LoadReport
from corianderlb_core.placement import ModelCost, PlacementQuery
from corianderlb_core.prefix import PrefixScope, cache_salt, prefix_keys
from corianderlb_core.prefix_primaries import PrimaryFinder
from corianderlb_core.request import AttemptOutcome, Candidate, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import PlacementSettings

UPSTREAM = "ember-llm"
COST = ModelCost(prefill_s_per_piece=0.1)
FEW_EXAMPLES = settings(max_examples=25, derandomize=True, deadline=None, database=None)


def some_keys(
    text: str = "site 1", account: str = "kiln", weights: str = "w1"
) -> tuple[bytes, ...]:
    """Build the keys of a prompt; the first pieces are the same for all texts."""
    scope = PrefixScope(cache_salt(account, UPSTREAM), weights)
    return prefix_keys(f"{'customer':200}{text:200}", scope, 100)


def a_set(
    n: int, epoch: int = 1, generation: int = 0, without: str = ""
) -> InstanceSet:
    """Build a set of idle instances."""
    incarnations = [Incarnation(f"e{i}", epoch) for i in range(n) if f"e{i}" != without]
    return InstanceSet.of(
        UPSTREAM,
        generation,
        [InstanceLoad(incarnation) for incarnation in incarnations],
    )


def a_query(
    instances: InstanceSet, keys: tuple[bytes, ...], now: float = 0.0
) -> PlacementQuery:
    """Build a query for a prompt with the given keys."""
    facts = RequestFacts(
        "r1", "kiln", ServiceClass.URGENT, UPSTREAM, UPSTREAM, now, now + 9
    )  # fmt: skip
    return PlacementQuery(_with_keys(facts, keys), instances, COST, now)


def _with_keys(facts: RequestFacts, keys: tuple[bytes, ...]) -> RequestFacts:
    return RequestFacts(**{**vars(facts), "prefix_keys": keys})


def a_policy(seed: int = 1) -> DefaultPolicy:
    """Build a policy without any state."""
    return DefaultPolicy(PlacementSettings(), random.Random(seed))


def serve(policy: DefaultPolicy, query: PlacementQuery) -> Candidate:
    """Place a request and report its answer at once."""
    best = policy.choose(query)[0]
    policy.dispatched(query.facts, best, query.now)
    outcome = AttemptOutcome(best.incarnation, ResultCode.OK, 0.1, 0, 100, query.now)
    policy.answered(query.facts, outcome, query.now)
    return best


def keep_busy(policy: DefaultPolicy, instances: InstanceSet, until: float) -> None:
    """Send one prompt 50 times a second while its primaries have long queues."""
    keys = some_keys()
    for step in range(int(until * 50)):
        now = step / 50
        for load in instances.instances:
            load.apply_report(LoadReport(1, queued_prefill_s=1.0), now, now)
        serve(policy, a_query(instances, keys, now))


def primaries_of(policy: DefaultPolicy, instances: InstanceSet, now: float) -> set[str]:
    """Return the names of the hot prompt's primaries."""
    heat = policy._hot_prefixes_of(UPSTREAM)
    finder = PrimaryFinder(instances)
    n = len(instances.instances)
    primaries = finder.find(some_keys(), lambda key: heat.width(key, n, now))
    return {h.load.incarnation.instance for h in primaries if h.n_pieces == 4}


class TestPrimaries(unittest.TestCase):
    """Primaries follow from hashing, without a shared index."""

    @FEW_EXAMPLES
    @given(st.lists(st.text(max_size=20), min_size=1, max_size=20), st.integers(1, 40))
    def test_cold_router_agrees_with_warm(self, texts, n):
        """A newly started router sends prompts to the same instances as the others.

        Guards against recomputing prompts on other engines after each restart.
        """
        instances, warm = a_set(n), a_policy(1)
        for i, text in enumerate(texts):
            serve(warm, a_query(instances, some_keys(text), i))
        for text in texts:
            query = a_query(instances, some_keys(text), len(texts))
            cold = a_policy(2).choose(query)[0]
            self.assertEqual(cold.incarnation, warm.choose(query)[0].incarnation)

    @FEW_EXAMPLES
    @given(st.integers(2, 60), st.integers(0, 59), st.integers(0, 1000))
    def test_loss_moves_only_prompts_of_the_instance(self, n, lost, text):
        """Losing an instance keeps prompts with another primary in place."""
        name = f"e{lost % n}"
        keys = some_keys(str(text))
        before = PrimaryFinder(a_set(n)).find(keys, lambda key: 1)[0]
        after = PrimaryFinder(a_set(n, without=name)).find(keys, lambda key: 1)[0]
        if before.load.incarnation.instance != name:
            self.assertEqual(before.load.incarnation, after.load.incarnation)

    def test_hot_prefix_is_widened_within_a_second_and_narrowed_slowly(self):
        """A hot prefix must not overload its primary while other engines idle."""
        policy, instances = a_policy(), a_set(5)
        self.assertEqual(len(primaries_of(policy, instances, 0.0)), 1)
        keep_busy(policy, instances, 1.0)
        wide = primaries_of(policy, instances, 1.0)
        self.assertGreaterEqual(len(wide), 3)
        self.assertEqual(primaries_of(policy, instances, NARROWING_DELAY_S), wide)
        narrower = primaries_of(policy, instances, NARROWING_DELAY_S + 2)
        self.assertEqual(len(narrower), len(wide) - 1)

    def test_late_first_tokens_widen_without_any_report(self):
        """An overloaded primary must be detected while load reports are outdated."""
        policy, instances = a_policy(), a_set(5)
        for step in range(20):
            query = a_query(instances, some_keys(), step / 20)
            serve(policy, query)
            policy.first_token(query.facts, waited_s=2.0, now=query.now)
        self.assertGreater(len(primaries_of(policy, instances, 1.0)), 1)

    def test_cold_router_learns_widths_from_a_peer(self):
        """A newly started router spreads a hot prefix like its peers."""
        warm, cold, instances = a_policy(1), a_policy(2), a_set(5)
        keep_busy(warm, instances, 1.0)
        cold.merge_hot(UPSTREAM, warm.hottest(UPSTREAM, 32, 1.0), 1.0)
        found = primaries_of(cold, instances, 1.0)
        self.assertEqual(found, primaries_of(warm, instances, 1.0))
        # Forwarded widths keep their age, so that peers cannot keep them alive.
        warm.merge_hot(
            UPSTREAM, cold.hottest(UPSTREAM, 32, NARROWING_DELAY_S), NARROWING_DELAY_S
        )
        self.assertLess(
            len(primaries_of(warm, instances, NARROWING_DELAY_S + 2)), len(found)
        )


class TestTies(unittest.TestCase):
    """Ties are broken by load, then by zone."""

    def test_own_zone_breaks_a_tie(self):
        policy = DefaultPolicy(PlacementSettings(), random.Random(1), zone="z1")
        loads = [InstanceLoad(Incarnation(f"e{i}", 1), f"z{i}") for i in range(2)]
        query = a_query(InstanceSet.of(UPSTREAM, 0, loads), ())
        for _ in range(20):
            self.assertEqual(policy.choose(query)[0].incarnation.instance, "e1")
        loads[1].dispatched("r9", 0.0, 0.0)
        self.assertEqual(policy.choose(query)[0].incarnation.instance, "e0")


class TestHints(unittest.TestCase):
    """Hints apply to one incarnation, one account and one weights version."""

    def learn_other_holder(self, policy: DefaultPolicy, instances: InstanceSet) -> str:
        """Record another holder of the prompt than the primary; return its name."""
        primary = policy.choose(a_query(instances, some_keys()))[0].incarnation.instance
        other = "e1" if primary == "e0" else "e0"
        outcome = AttemptOutcome(Incarnation(other, 1), ResultCode.OK, 0.1, 90, 100)
        policy.answered(a_query(instances, some_keys()).facts, outcome, 0.0)
        return other

    def expected_hits_at(
        self, policy: DefaultPolicy, instances: InstanceSet, name: str, **scope: str
    ) -> int:
        """Return the hits that the policy expects at an instance."""
        found = policy.choose(a_query(instances, some_keys(**scope)))
        return next(c.expected_hits for c in found if c.incarnation.instance == name)

    def test_hints_are_bound_to_incarnation_account_and_weights(self):
        """Guards against hits expected from the cache of an old incarnation or account.

        The request would wait in a queue for pieces that it then has to compute.
        """
        policy, instances = a_policy(), a_set(3)
        name = self.learn_other_holder(policy, instances)
        self.assertEqual(self.expected_hits_at(policy, instances, name), 4)
        restarted = a_set(3, epoch=2, generation=1)
        self.assertEqual(self.expected_hits_at(policy, restarted, name), 0)
        for scope in ({"account": "yard"}, {"weights": "w2"}):
            loads = a_set(3, generation=2)
            primaries = PrimaryFinder(loads).find(some_keys(**scope), lambda key: 1)
            if primaries[0].load.incarnation.instance != name:
                self.assertEqual(self.expected_hits_at(policy, loads, name, **scope), 0)

    @FEW_EXAMPLES
    @given(st.lists(st.integers(0, 30), max_size=30))
    def test_gap_in_events_clears_hints(self, seqs):
        """Guards against hints for pieces whose eviction event was lost."""
        table, incarnation, next_seq = HintTable(), Incarnation("e1", 1), None
        held: set[int] = set()
        for seq in seqs:
            table.take_events(incarnation, [CacheEvent(seq, b"%d" % seq, True)], 0.0)
            if next_seq is not None and seq < next_seq:
                continue
            held = held | {seq} if seq == next_seq else {seq}
            next_seq = seq + 1
        found = {seq for seq in range(31) if incarnation in table.holders(b"%d" % seq)}
        self.assertEqual(found, held)

    def test_eviction_seen_in_answers_lowers_confidence(self):
        """An engine under pressure evicts within seconds, without sending events."""
        table, incarnation, keys = HintTable(), Incarnation("e1", 1), some_keys()
        table.answered(incarnation, keys, 0, 0.0)
        before = table.confidence(incarnation, 0.0, 5.0)
        table.answered(incarnation, keys, 1, 3.0)
        self.assertLess(table.confidence(incarnation, 0.0, 5.0), before / 1.5)

    def test_hints_are_bounded(self):
        """Guards against unbounded memory with many different prompts."""
        table = HintTable(max_hints=100)
        for i in range(500):
            table.answered(Incarnation(f"e{i % 7}", 1), [b"%d" % i], 0, 0.0)
        self.assertEqual(len(table), 100)
        for i in range(7):
            table.forget(Incarnation(f"e{i}", 1))
        self.assertEqual(len(table), 0)
