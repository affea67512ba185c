"""Test where the default policy sends requests."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.default_placement import DefaultPolicy
from corianderlb_core.heat import HOLD_S
from corianderlb_core.hint import CacheEvent, HintTable
from corianderlb_core.identity import Incarnation
from corianderlb_core.instance_load import InstanceLoad, InstanceSet
from corianderlb_core.load import LoadReport
from corianderlb_core.placement import ModelCost, PlacementQuery
from corianderlb_core.prefix import PrefixScope, cache_salt, prefix_keys
from corianderlb_core.prefix_home import HomeFinder
from corianderlb_core.request import AttemptOutcome, Candidate, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import PlacementSettings

UPSTREAM = "ember-llm"
COST = ModelCost(prefill_s_per_piece=0.1)
FEW = settings(max_examples=25, derandomize=True, deadline=None, database=None)


def some_keys(
    text: str = "site 1", account: str = "kiln", weights: str = "w1"
) -> tuple[bytes, ...]:
    """Build the keys of a prompt that starts with what all prompts start with."""
    scope = PrefixScope(cache_salt(account, UPSTREAM), weights)
    return prefix_keys(f"{'customer':200}{text:200}", scope, 100)


def a_set(
    n: int, epoch: int = 1, generation: int = 0, without: str = ""
) -> InstanceSet:
    """Build a set of idle instances."""
    lives = [Incarnation(f"e{i}", epoch) for i in range(n) if f"e{i}" != without]
    return InstanceSet.of(UPSTREAM, generation, [InstanceLoad(life) for life in lives])


def a_query(
    instances: InstanceSet, keys: tuple[bytes, ...], now: float = 0.0
) -> PlacementQuery:
    """Build a question about a prompt with the given keys."""
    facts = RequestFacts(
        "r1", "kiln", ServiceClass.URGENT, UPSTREAM, UPSTREAM, now, now + 9
    )  # fmt: skip
    return PlacementQuery(_with_keys(facts, keys), instances, COST, now)


def _with_keys(facts: RequestFacts, keys: tuple[bytes, ...]) -> RequestFacts:
    return RequestFacts(**{**vars(facts), "prefix_keys": keys})


def a_policy(seed: int = 1) -> DefaultPolicy:
    """Build a policy that knows nothing yet."""
    return DefaultPolicy(PlacementSettings(), random.Random(seed))


def serve(policy: DefaultPolicy, query: PlacementQuery) -> Candidate:
    """Place a request and have it answered at once."""
    best = policy.choose(query)[0]
    policy.dispatched(query.facts, best, query.now)
    outcome = AttemptOutcome(best.incarnation, ResultCode.OK, 0.1, 0, 100, query.now)
    policy.answered(query.facts, outcome, query.now)
    return best


def keep_busy(policy: DefaultPolicy, instances: InstanceSet, until: float) -> None:
    """Send one prompt 50 times a second while its homes have long queues."""
    keys = some_keys()
    for step in range(int(until * 50)):
        now = step / 50
        for load in instances.instances:
            load.take_report(LoadReport(1, queued_prefill_s=1.0), now, now)
        serve(policy, a_query(instances, keys, now))


def homes_of(policy: DefaultPolicy, instances: InstanceSet, now: float) -> set[str]:
    """Return the names of the homes of the hot prompt."""
    heat = policy._heat_of(UPSTREAM)
    finder = HomeFinder(instances)
    n = len(instances.instances)
    homes = finder.find(some_keys(), lambda key: heat.width(key, n, now))
    return {h.load.incarnation.instance for h in homes if h.n_pieces == 4}


class TestHomes(unittest.TestCase):
    """Homes are decided, not looked up, so that no index has to be shared."""

    @FEW
    @given(st.lists(st.text(max_size=20), min_size=1, max_size=20), st.integers(1, 40))
    def test_cold_router_agrees_with_warm(self, texts, n):
        """A router that has just started sends a prompt where the others send it.

        Else each restart would have prompts computed again on another engine.
        """
        instances, warm = a_set(n), a_policy(1)
        for i, text in enumerate(texts):
            serve(warm, a_query(instances, some_keys(text), i))
        for text in texts:
            query = a_query(instances, some_keys(text), len(texts))
            cold = a_policy(2).choose(query)[0]
            self.assertEqual(cold.incarnation, warm.choose(query)[0].incarnation)

    @FEW
    @given(st.integers(2, 60), st.integers(0, 59), st.integers(0, 1000))
    def test_loss_moves_only_what_it_held(self, n, lost, text):
        """An instance goes away; prompts that had another home stay there."""
        name = f"e{lost % n}"
        keys = some_keys(str(text))
        before = HomeFinder(a_set(n)).find(keys, lambda key: 1)[0]
        after = HomeFinder(a_set(n, without=name)).find(keys, lambda key: 1)[0]
        if before.load.incarnation.instance != name:
            self.assertEqual(before.load.incarnation, after.load.incarnation)

    def test_hot_prefix_is_widened_within_a_second_and_narrowed_slowly(self):
        """A prefix gets hot without warning and its one home is overrun.

        Callers would wait behind one engine's queue while the others idle.
        """
        policy, instances = a_policy(), a_set(5)
        self.assertEqual(len(homes_of(policy, instances, 0.0)), 1)
        keep_busy(policy, instances, 1.0)
        wide = homes_of(policy, instances, 1.0)
        self.assertGreaterEqual(len(wide), 3)
        self.assertEqual(homes_of(policy, instances, HOLD_S), wide)
        narrower = homes_of(policy, instances, HOLD_S + 2)
        self.assertEqual(len(narrower), len(wide) - 1)

    def test_late_first_tokens_widen_without_any_report(self):
        """Load reports are seconds old, and an overrun home looks idle in them.

        Its callers wait; that the first tokens come late is the only sign of it.
        """
        policy, instances = a_policy(), a_set(5)
        for step in range(20):
            query = a_query(instances, some_keys(), step / 20)
            serve(policy, query)
            policy.first_token(query.facts, waited_s=2.0, now=query.now)
        self.assertGreater(len(homes_of(policy, instances, 1.0)), 1)

    def test_cold_router_learns_widths_from_a_peer(self):
        """A hot prefix was spread by the others before this router started."""
        warm, cold, instances = a_policy(1), a_policy(2), a_set(5)
        keep_busy(warm, instances, 1.0)
        cold.hear_hot(UPSTREAM, warm.hottest(UPSTREAM, 32, 1.0), 1.0)
        found = homes_of(cold, instances, 1.0)
        self.assertEqual(found, homes_of(warm, instances, 1.0))
        # What was heard is passed on with its age, so it cannot echo for ever.
        warm.hear_hot(UPSTREAM, cold.hottest(UPSTREAM, 32, HOLD_S), HOLD_S)
        self.assertLess(len(homes_of(warm, instances, HOLD_S + 2)), len(found))


class TestTies(unittest.TestCase):
    """Among equals the less busy is taken, and of those one of this zone."""

    def test_own_zone_breaks_a_tie(self):
        policy = DefaultPolicy(PlacementSettings(), random.Random(1), zone="z1")
        loads = [InstanceLoad(Incarnation(f"e{i}", 1), f"z{i}") for i in range(2)]
        query = a_query(InstanceSet.of(UPSTREAM, 0, loads), ())
        for _ in range(20):
            self.assertEqual(policy.choose(query)[0].incarnation.instance, "e1")
        loads[1].dispatched("r9", 0.0, 0.0)
        self.assertEqual(policy.choose(query)[0].incarnation.instance, "e0")


class TestHints(unittest.TestCase):
    """What an engine said belongs to one life, one account and one set of weights."""

    def other_than_home(self, policy: DefaultPolicy, instances: InstanceSet) -> str:
        """Have the policy learn that an instance besides the home holds the prompt."""
        home = policy.choose(a_query(instances, some_keys()))[0].incarnation.instance
        other = "e1" if home == "e0" else "e0"
        outcome = AttemptOutcome(Incarnation(other, 1), ResultCode.OK, 0.1, 90, 100)
        policy.answered(a_query(instances, some_keys()).facts, outcome, 0.0)
        return other

    def hits_at(
        self, policy: DefaultPolicy, instances: InstanceSet, name: str, **scope: str
    ) -> int:
        """Return the hits that the policy expects at an instance."""
        found = policy.choose(a_query(instances, some_keys(**scope)))
        return next(c.expected_hits for c in found if c.incarnation.instance == name)

    def test_nothing_is_expected_of_another_life_account_or_weights(self):
        """An engine comes back empty, or the same text comes from another account.

        Counting on what the old life, or the other account, had would send the request
        to wait in a queue for pieces that it then has to compute.
        """
        policy, instances = a_policy(), a_set(3)
        name = self.other_than_home(policy, instances)
        self.assertEqual(self.hits_at(policy, instances, name), 4)
        reborn = a_set(3, epoch=2, generation=1)
        self.assertEqual(self.hits_at(policy, reborn, name), 0)
        for scope in ({"account": "yard"}, {"weights": "w2"}):
            loads = a_set(3, generation=2)
            homes = HomeFinder(loads).find(some_keys(**scope), lambda key: 1)
            if homes[0].load.incarnation.instance != name:
                self.assertEqual(self.hits_at(policy, loads, name, **scope), 0)

    @FEW
    @given(st.lists(st.integers(0, 30), max_size=30))
    def test_gap_in_events_forgets(self, seqs):
        """Events get lost, and an eviction may be among them.

        With the hints kept, requests would be sent to pieces that are gone.
        """
        table, life, next_seq = HintTable(), Incarnation("e1", 1), None
        held: set[int] = set()
        for seq in seqs:
            table.take_events(life, [CacheEvent(seq, b"%d" % seq, True)], 0.0)
            if next_seq is not None and seq < next_seq:
                continue
            held = held | {seq} if seq == next_seq else {seq}
            next_seq = seq + 1
        found = {seq for seq in range(31) if life in table.holders(b"%d" % seq)}
        self.assertEqual(found, held)

    def test_eviction_seen_in_answers_ages_hints_faster(self):
        """An engine under pressure evicts within seconds, with no event to tell."""
        table, life, keys = HintTable(), Incarnation("e1", 1), some_keys()
        table.answered(life, keys, 0, 0.0)
        before = table.trust(life, 0.0, 5.0)
        table.answered(life, keys, 1, 3.0)
        self.assertLess(table.trust(life, 0.0, 5.0), before / 1.5)

    def test_hints_are_bounded(self):
        """A flood of different prompts cannot fill the router's memory."""
        table = HintTable(max_hints=100)
        for i in range(500):
            table.answered(Incarnation(f"e{i % 7}", 1), [b"%d" % i], 0, 0.0)
        self.assertEqual(len(table), 100)
        for i in range(7):
            table.forget(Incarnation(f"e{i}", 1))
        self.assertEqual(len(table), 0)
