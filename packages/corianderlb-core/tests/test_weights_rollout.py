"""Test which engines are emptied and which load during a weights rollout."""

from __future__ import annotations

import math
import unittest

from corianderlb_core.weights_rollout import (
    FINISH_TIMEOUT_S,
    MAX_RESTING_S,
    EngineWeights,
    max_concurrent_loads,
    plan_rollout,
)


def engine(name: str, version: int, **fields) -> EngineWeights:
    """Build an idle engine that is ready for an order."""
    defaults = {
        "is_loading": False,
        "loading_s": math.inf,
        "since_order_s": math.inf,
        "n_requests": 0,
    }
    return EngineWeights(name, version, **{**defaults, **fields})


class OrdersTest(unittest.TestCase):
    def test_at_most_two_idle_engines_load_at_once(self) -> None:
        engines = [engine(name, 1) for name in "abcd"]
        self.assertEqual(plan_rollout(engines, 2).orders, ("a", "b"))
        loading = engine("a", 1, is_loading=True, loading_s=0.1, since_order_s=0.1)
        self.assertEqual(plan_rollout([loading, *engines[1:]], 2).orders, ("b",))

    def test_concurrent_loads_scale_with_the_fleet(self) -> None:
        # Two concurrent loads would leave a large fleet on old weights for too long.
        engines = [engine(f"e{number:02}", 1) for number in range(45)]
        self.assertEqual(len(plan_rollout(engines, 2).orders), 11)
        self.assertEqual(
            [max_concurrent_loads(n) for n in (1, 3, 5, 12, 56)], [2, 2, 2, 3, 14]
        )

    def test_idle_engine_first(self) -> None:
        busy = engine("a", 1, n_requests=9)
        plan = plan_rollout([busy, engine("b", 1), engine("c", 1)], 2)
        self.assertEqual(plan.orders, ("b", "c"))

    def test_stalled_load_does_not_block_the_others(self) -> None:
        # A stalled load that kept its slot would leave the fleet on its old weights.
        stalled = engine("a", 1, is_loading=True, loading_s=9.0, since_order_s=9.0)
        late = engine("b", 1, is_loading=True, loading_s=8.5, since_order_s=8.5)
        self.assertEqual(
            plan_rollout([stalled, late, engine("c", 1)], 2).orders, ("c",)
        )

    def test_unreachable_engine_gets_no_order(self) -> None:
        lost = engine("a", 1, is_reachable=False)
        plan = plan_rollout([lost, engine("b", 1), engine("c", 2)], 2)
        self.assertEqual(plan.orders, ("b",))

    def test_up_to_date_engines_get_no_orders(self) -> None:
        plan = plan_rollout([engine("a", 3), engine("b", 4)], 3)
        self.assertEqual(plan.orders + plan.emptying + plan.clearing, ())


class EmptyingTest(unittest.TestCase):
    def test_engine_without_an_order_is_emptied_first(self) -> None:
        """Guards against engines that get no order while others get a second one."""
        again = engine("a", 1, n_requests=1, since_order_s=2.0, awaits_order=True)
        others = [engine(name, 1, n_requests=9) for name in "bc"]
        plan = plan_rollout([again, *others], 2, n_needed=2)
        self.assertEqual(plan.emptying, ("b",))

    def test_order_without_response_is_repeated_without_emptying(self) -> None:
        """Guards against an engine that is out of service for each order in vain."""
        again = engine("a", 1, n_requests=9, since_order_s=2.0, awaits_order=True)
        others = [engine(name, 1, n_requests=9) for name in "bcd"]
        plan = plan_rollout([again, *others], 2, n_needed=3)
        self.assertEqual((plan.orders, plan.emptying), (("a",), ("b",)))
        plan = plan_rollout([again, *others], 2, n_needed=1)
        self.assertEqual((plan.orders, plan.emptying), (("a",), ("b", "c")))

    def test_oldest_order_is_repeated_first(self) -> None:
        """Guards against an engine that is passed over since it is the busiest."""
        fields = {"awaits_order": True, "n_requests": 9}
        engines = [
            engine(name, 1, since_order_s=seconds, **fields)
            for name, seconds in zip("abcde", (2.0, 6.0, 4.0, 5.0, 3.0), strict=True)
        ]
        self.assertEqual(plan_rollout(engines, 2).orders, tuple("bdce"))

    def test_engine_serves_while_its_order_is_repeated(self) -> None:
        """Guards against repeated orders that keep the other engines from loading."""
        fields = {"is_loading": True, "loading_s": 0.1, "awaits_order": True}
        again = engine("a", 1, n_requests=9, **fields, since_order_s=0.1)
        others = [engine(name, 1, n_requests=9) for name in "bcd"]
        plan = plan_rollout([again, *others], 2, n_needed=3)
        self.assertEqual((plan.orders, plan.emptying), ((), ("b",)))

    def test_engines_are_emptied_faster_when_time_runs_out(self) -> None:
        """Guards against a fleet that is past the age limit since all were needed."""
        engines = [engine(name, 1, n_requests=9) for name in "abcde"]
        for time_left_s, emptying in ((10.0, "a"), (7.0, "ab"), (-1.0, "ab")):
            with self.subTest(time_left_s=time_left_s):
                plan = plan_rollout(engines, 2, 5, time_left_s)
                self.assertEqual(plan.emptying, tuple(emptying))

    def test_busy_engine_is_emptied_before_its_order(self) -> None:
        # An order to a busy engine takes it out of service until its runs complete.
        engines = [engine(name, 1, n_requests=9) for name in "abcdef"]
        plan = plan_rollout(engines, 2)
        self.assertEqual(plan.orders, ())
        self.assertEqual(plan.emptying, ("a", "b"))
        emptied = engine("a", 1, emptying_s=0.2)
        plan = plan_rollout([emptied, *engines[1:]], 2)
        self.assertEqual(plan.orders, ("a",))

    def test_last_engine_of_a_version_finishes_its_runs(self) -> None:
        # No other engine has its weights. An order now would keep the engine from
        # loading a still newer version directly.
        others = [engine(name, 2) for name in "abcde"]
        last = engine("f", 1, n_requests=9, emptying_s=FINISH_TIMEOUT_S - 0.1)
        plan = plan_rollout([*others, last], 2)
        self.assertEqual((plan.orders, plan.emptying), ((), ("f",)))
        late = engine("f", 1, n_requests=9, emptying_s=FINISH_TIMEOUT_S)
        self.assertEqual(plan_rollout([*others, late], 2).orders, ("f",))

    def test_one_engine_of_a_version_stays_as_fallback(self) -> None:
        others = [engine(name, 2) for name in "abcd"]
        pair = [engine(name, 1, n_requests=9) for name in "ef"]
        plan = plan_rollout([*others, *pair], 2, n_needed=4)
        self.assertEqual((plan.emptying, plan.resting), (("e",), ()))

    def test_others_finish_their_runs_once_enough_have_new_weights(self) -> None:
        # A run moved to another old engine would restart there on replaced weights.
        new = [engine(name, 2, n_requests=9) for name in "abc"]
        old = [engine(name, 1, n_requests=9) for name in "def"]
        plan = plan_rollout([*new, *old], 2)
        self.assertEqual((plan.orders, plan.emptying), ((), ()))
        self.assertEqual(plan.resting, ("d", "e", "f"))
        empty = engine("d", 1, resting_s=1.0)
        self.assertEqual(plan_rollout([*new, empty, *old[1:]], 2).orders, ("d",))

    def test_resting_is_bounded(self) -> None:
        # A long run would otherwise keep the engine from loading.
        new = [engine(name, 2, n_requests=9) for name in "abc"]
        old = [engine(name, 1, n_requests=1, resting_s=MAX_RESTING_S) for name in "de"]
        self.assertEqual(plan_rollout([*new, *old], 2).emptying, ("d",))

    def test_resting_engine_is_emptied_first_in_a_surge(self) -> None:
        new = [engine(name, 2, n_requests=9) for name in "abc"]
        old = [engine(name, 1, n_requests=5, resting_s=1.0) for name in "def"]
        plan = plan_rollout([*new, *old], 2, n_needed=5)
        self.assertEqual((plan.emptying, plan.resting), (("d", "e"), ()))

    def test_busy_engine_is_not_passed_over_by_each_version(self) -> None:
        # With idle engines always first, the busiest engine would keep its old weights
        # when new versions arrive in quick succession.
        outdated = engine("a", 1, n_requests=30)
        others = [engine(name, 2, n_requests=2) for name in "bcd"]
        self.assertIn("a", plan_rollout([*others, outdated], 3).emptying)

    def test_needed_engines_keep_serving_in_a_surge(self) -> None:
        # Emptying more engines than the load allows would get most requests refused.
        engines = [engine(name, 1, n_requests=20) for name in "abcdef"]
        self.assertEqual(plan_rollout(engines, 2, n_needed=5).emptying, ("a",))
        self.assertEqual(plan_rollout(engines, 2, n_needed=9).emptying, ("a",))

    def test_single_engine_loads_without_being_empty(self) -> None:
        # New requests keep arriving at a single engine, so it would never be empty.
        only_engine = engine("a", 1, n_requests=9, emptying_s=1.0)
        self.assertEqual(plan_rollout([only_engine], 2).orders, ("a",))

    def test_runs_of_many_versions_do_not_occupy_all_engines(self) -> None:
        # When versions arrive faster than runs complete, too few engines would be left
        # for new requests.
        ending = [
            engine(name, version, n_requests=3, emptying_s=2.0)
            for name, version in (("a", 1), ("b", 2), ("c", 3))
        ]
        others = [engine(name, 4) for name in "def"]
        plan = plan_rollout([*ending, *others], 4)
        self.assertEqual(plan.clearing, ("a",))
