"""Test the engine choice under load, with cached parts and replaced weights."""

from __future__ import annotations

import dataclasses
import random
import unittest

from corianderlb_core.engine_choice import choose_engine
from corianderlb_core.part_index import PartIndex
from corianderlb_core.prefill_estimate import (
    INITIAL_TOKENS_PER_S,
    CommonEstimates,
    PeerWork,
    PrefillEstimator,
)
from forward_data import a_prompt, a_query, a_view

BIG = ("big", 5000)


class EngineChoiceTest(unittest.TestCase):
    def test_engine_that_holds_the_parts(self) -> None:
        index = PartIndex()
        views = [a_view(name) for name in "abc"]
        query = a_query(a_prompt(BIG))
        index.record_parts(
            query.scope(1), ["big"], views[1].instance.incarnation_key, True
        )
        choice = choose_engine(query, views, index)
        self.assertEqual(choice.view.instance.instance, "b")
        self.assertEqual(choice.n_missing, 100)

    def test_parts_are_fetched_when_their_engine_is_busy(self) -> None:
        # Guards against recomputing shared parts when the queue at their holder is
        # longer than a transfer of the parts to an idle engine.
        index = PartIndex()
        views = [a_view("a", unread=40_000), a_view("b")]
        query = a_query(a_prompt(BIG))
        index.record_parts(
            query.scope(1), ["big"], views[0].instance.incarnation_key, True
        )
        choice = choose_engine(query, views, index)
        self.assertEqual(choice.view.instance.instance, "b")
        self.assertEqual((choice.fetch_from, choice.n_missing), ("a:80", 100))

    def test_parts_being_read_elsewhere_are_fetched_where_links_are_fast(self) -> None:
        """Guards against a miss at the store though an engine has the part by now."""
        index = PartIndex()
        views = [a_view("a", unread=40_000), a_view("b")]
        for reads_once, source in ((True, "a:80"), (False, "store:1")):
            query = a_query(
                a_prompt(BIG), reads_once=reads_once, kv_cache_address="store:1"
            )
            incarnation = views[0].instance.incarnation_key
            index.record_parts(query.scope(1), ["big"], incarnation, False)
            choice = choose_engine(query, views, index)
            self.assertEqual(choice.view.instance.instance, "b")
            self.assertEqual((choice.fetch_from, choice.n_missing), (source, 5100))

    def test_stored_parts_are_fetched_where_they_are_safest(self) -> None:
        """Guards against a part read again since a busy engine had evicted it."""
        views = [a_view("a", unread=40_000), a_view("b"), a_view("c", unread=40_000)]
        for n_a, n_c, source in ((30, 0, "c:80"), (0, 30, "a:80"), (30, 30, "store:1")):
            index = PartIndex()
            query = a_query(a_prompt(BIG), reads_once=True, kv_cache_address="store:1")
            index.record_saved(query.scope(1), ["big"])
            for view, n_read in ((views[0], n_a), (views[2], n_c)):
                incarnation = view.instance.incarnation_key
                index.record_parts(query.scope(1), ["big"], incarnation, True)
                index.count_prefilled(incarnation, n_read * 1000)
            self.assertEqual(choose_engine(query, views, index).fetch_from, source)

    def test_engine_with_the_first_part_only_is_no_source_for_all(self) -> None:
        """Guards against a leaf read again since an engine with its root was named."""
        index = PartIndex()
        views = [a_view("a", unread=40_000), a_view("b")]
        root = ("root", 500)
        scope = a_query(a_prompt(root)).scope(1)
        index.record_parts(scope, ["root"], views[0].instance.incarnation_key, True)
        for leaf, source in ((("leaf", 5000), "store:1"), (("leaf", 200), "a:80")):
            query = a_query(
                a_prompt(root, leaf), reads_once=True, kv_cache_address="store:1"
            )
            choice = choose_engine(query, views, index)
            self.assertEqual(choice.view.instance.instance, "b")
            self.assertEqual(choice.fetch_from, source)
            self.assertFalse(choice.is_held_whole)
        index.record_parts(scope, ["leaf"], views[0].instance.incarnation_key, False)
        self.assertTrue(choose_engine(query, views, index).is_held_whole)

    def test_engine_with_a_later_part_holds_those_before_it(self) -> None:
        """Guards against a prompt read again where its root was not announced."""
        index = PartIndex()
        views = [a_view("a", unread=40_000), a_view("b")]
        prompt = a_prompt(("root", 500), BIG)
        scope = a_query(prompt).scope(1)
        index.record_parts(scope, ["big"], views[0].instance.incarnation_key, True)
        for reads_once, n_missing in ((True, 100), (False, 5600)):
            choice = choose_engine(a_query(prompt, reads_once=reads_once), views, index)
            self.assertEqual(choice.view.instance.instance, "b")
            self.assertEqual(choice.n_missing, n_missing)

    def test_unknown_parts_are_fetched_from_a_home_that_is_busy(self) -> None:
        """Guards against one read for each router that has heard of none."""
        query = a_query(a_prompt(BIG), reads_once=True, kv_cache_address="store:1")
        idle = [a_view(name) for name in "abcdefgh"]
        home = choose_engine(query, idle, PartIndex()).view.instance.instance
        busy = [a_view(name, unread=20_000 * (name == home)) for name in "abcdefgh"]
        choice = choose_engine(query, busy, PartIndex(), random.Random(1))
        self.assertNotEqual(choice.view.instance.instance, home)
        self.assertEqual(choice.fetch_from, f"{home}:80")

    def test_engine_that_takes_no_requests_is_a_source(self) -> None:
        """Guards against parts read again while their holder waits to load weights."""
        index = PartIndex()
        query = a_query(a_prompt(BIG), reads_once=True)
        holder = a_view("a")
        index.record_parts(
            query.scope(1), ["big"], holder.instance.incarnation_key, True
        )
        choice = choose_engine(query, [a_view("b")], index, None, [holder])
        self.assertEqual((choice.fetch_from, choice.n_missing), ("a:80", 100))

    def test_parts_of_other_weights_are_never_counted(self) -> None:
        # Guards against counting parts that the engine dropped with its old weights.
        index = PartIndex()
        query = a_query(a_prompt(BIG))
        old, new = a_view("a", version=2), a_view("b", version=2)
        index.record_parts(query.scope(1), ["big"], old.instance.incarnation_key, True)
        choice = choose_engine(query, [old, new], index)
        self.assertEqual((choice.fetch_from, choice.n_missing), ("", 5100))

    def test_parts_of_an_isolated_account_are_never_counted(self) -> None:
        index = PartIndex()
        views = [a_view("a"), a_view("b")]
        theirs = a_query(a_prompt(BIG), isolation_key="walled")
        ours = a_query(a_prompt(BIG))
        index.record_parts(
            theirs.scope(1), ["big"], views[0].instance.incarnation_key, True
        )
        choice = choose_engine(ours, views, index)
        self.assertEqual(choice.n_missing, 5100)

    def test_routers_without_shared_state_agree(self) -> None:
        # Guards against each of several newly started routers choosing another engine
        # for the same parts, which would all prefill them.
        query = a_query(a_prompt(BIG))
        names = set()
        for seed in range(5):
            views = [a_view(name) for name in "abcde"]
            random.Random(seed).shuffle(views)
            choice = choose_engine(query, views, PartIndex())
            names.add(choice.view.instance.instance)
        self.assertEqual(len(names), 1)

    def test_queue_beyond_the_objective_is_reported(self) -> None:
        views = [a_view("a", unread=60_000), a_view("b", unread=50_000)]
        choice = choose_engine(a_query(a_prompt()), views, PartIndex())
        self.assertFalse(choice.in_time)
        self.assertAlmostEqual(choice.wait_s, 50_000 / INITIAL_TOKENS_PER_S, places=2)

    def test_large_prompt_is_not_refused_for_its_size(self) -> None:
        # Its prefill alone exceeds the objective. Guards against large prompts being
        # always refused.
        choice = choose_engine(
            a_query(a_prompt(own=50_000)), [a_view("a")], PartIndex()
        )
        self.assertTrue(choice.in_time)

    def test_new_weights_are_preferred_after_the_grace_period(self) -> None:
        for age_s, expected in ((0.2, "a"), (3.0, "b")):
            old = dataclasses.replace(a_view("a", version=1), replaced_at=-age_s)
            views = [old, a_view("b", version=2, unread=8_000)]
            choice = choose_engine(a_query(a_prompt()), views, PartIndex())
            self.assertEqual(choice.view.instance.instance, expected)

    def test_no_answer_begins_on_weights_past_the_limit(self) -> None:
        # Guards against answers on weights that callers reject, when the only engine
        # left has not loaded the new ones. The request is refused at once instead.
        query = a_query(a_prompt(), weights_limit_s=8.0)
        for age_s, is_chosen in ((5.0, True), (7.0, False), (8.0, False)):
            old = dataclasses.replace(a_view("a"), replaced_at=-age_s)
            choice = choose_engine(query, [old], PartIndex())
            self.assertEqual(choice is not None, is_chosen)

    def test_store_of_kv_cache_is_the_last_source(self) -> None:
        query = a_query(a_prompt(BIG), kv_cache_address="kv:80")
        choice = choose_engine(query, [a_view("a")], PartIndex())
        self.assertEqual((choice.fetch_from, choice.n_missing), ("kv:80", 5100))

    def test_routers_do_not_all_choose_the_idle_engine(self) -> None:
        # One engine is idle and the others are busy. Reports of work are delayed, so if
        # each router chose the idle engine, its queue would become the longest.
        views = [a_view(f"e{n}", unread=20_000) for n in range(49)] + [a_view("free")]
        rng, index = random.Random(1), PartIndex()
        chosen = [
            choose_engine(a_query(a_prompt()), views, index, rng).view.instance.instance
            for _ in range(500)
        ]
        self.assertLess(chosen.count("free") / 500, 0.2)
        self.assertGreater(len(set(chosen)), 40)

    def test_parts_are_found_among_many_engines(self) -> None:
        # Guards against recomputing a part whose holder is not in the random sample.
        views = [a_view(f"e{n}") for n in range(50)]
        rng, index = random.Random(1), PartIndex()
        query = a_query(a_prompt(BIG))
        index.record_parts(
            query.scope(1), ["big"], views[7].instance.incarnation_key, True
        )
        for _ in range(50):
            # The holder computes nothing again, and any other engine fetches the parts.
            choice = choose_engine(query, views, index, rng)
            self.assertEqual(choice.n_missing, 100)

    def test_first_prefills_of_a_part_use_one_engine(self) -> None:
        # Routers without shared state get requests for the same part.
        views = [a_view(f"e{n}") for n in range(50)]
        query = a_query(a_prompt(BIG))
        names = {
            choose_engine(
                query, views, PartIndex(), random.Random(seed)
            ).view.instance.instance
            for seed in range(20)
        }
        self.assertEqual(len(names), 1)


class PassedOverTest(unittest.TestCase):
    def test_engines_that_are_to_be_spared(self) -> None:
        """Guards against shared parts read twice because their engine has no turn."""
        index = PartIndex()
        views = [a_view(name, unread=20_000 * (name != "a")) for name in "abc"]
        prompt = a_prompt(("p", 300))
        key_a = frozenset([views[0].instance.incarnation_key])
        every = frozenset(view.instance.incarnation_key for view in views)

        def chosen(**fields) -> str:
            query = a_query(prompt, **fields)
            return choose_engine(query, views, index).view.instance.instance

        self.assertEqual(chosen(), "a")
        self.assertIn(chosen(passed_over=key_a), ("b", "c"))
        self.assertEqual(chosen(passed_over=every), "a")
        primary = chosen(primary_only=every)
        self.assertEqual(chosen(primary_only=every - key_a), "a")
        query = a_query(prompt)
        for view in views:
            if view.instance.instance != primary:
                index.record_parts(
                    query.scope(1), ["p"], view.instance.incarnation_key, True
                )
        self.assertEqual(chosen(passed_over=key_a), chosen())


class PartIndexTest(unittest.TestCase):
    def test_part_expires_after_enough_other_prefill(self) -> None:
        index, incarnation = PartIndex(), ("a", 1)
        index.record_parts("s", ["big"], incarnation, True)
        self.assertEqual(index.coverage("s", [BIG], incarnation, 100_000).n_held, 5000)
        index.count_prefilled(incarnation, 90_000)
        self.assertEqual(index.coverage("s", [BIG], incarnation, 100_000).n_held, 0)

    def test_new_incarnation_holds_nothing(self) -> None:
        index = PartIndex()
        index.record_parts("s", ["big"], ("a", 1), True)
        self.assertEqual(index.coverage("s", [BIG], ("a", 2), 100_000).n_held, 0)

    def test_later_part_counts_only_behind_the_earlier(self) -> None:
        index, incarnation = PartIndex(), ("a", 1)
        index.record_parts("s", ["site"], incarnation, True)
        parts = [("customer", 100), ("site", 200)]
        self.assertEqual(index.coverage("s", parts, incarnation, 100_000).n_held, 0)

    def test_aborted_run_holds_nothing(self) -> None:
        index, incarnation = PartIndex(), ("a", 1)
        index.record_parts("s", ["big"], incarnation, False)
        self.assertEqual(
            index.coverage("s", [BIG], incarnation, 100_000).n_expected, 5000
        )
        index.discard_pending("s", ["big"], incarnation)
        self.assertEqual(index.coverage("s", [BIG], incarnation, 100_000).n_expected, 0)


class PrefillEstimateTest(unittest.TestCase):
    def test_rate_is_learned_from_first_tokens(self) -> None:
        # The engine prefills at half of the initial estimate.
        estimator, now = PrefillEstimator(64), 0.0
        for n in range(40):
            estimator.sent(f"q{n}", 4_000, now)
            now += 4_000 / 20_000 + 0.03
            estimator.first_token(f"q{n}", now)
            estimator.ended(f"q{n}", now)
        self.assertAlmostEqual(estimator.tokens_per_s, 20_000, delta=2_000)

    def test_slow_prefill_is_learned_across_engines(self) -> None:
        # Prefill is slow on all engines, and a router observes each at most once.
        # Guards against learning each engine's rate separately, which would be too
        # slow.
        common = CommonEstimates()
        estimators = [PrefillEstimator(64, common) for _ in range(31)]
        now = 0.0
        for estimator in estimators[:30]:
            estimator.sent("q", 4_000, now)
            now += 4_000 / (INITIAL_TOKENS_PER_S / 2) + 0.03
            estimator.first_token("q", now)
        self.assertLess(estimators[30].tokens_per_s, 0.7 * INITIAL_TOKENS_PER_S)

    def test_outlier_changes_the_rate_little(self) -> None:
        estimator = PrefillEstimator(64)
        estimator.sent("q", 1_000, 0.0)
        estimator.first_token("q", 60.0)
        self.assertGreater(estimator.tokens_per_s, 0.9 * INITIAL_TOKENS_PER_S)

    def test_work_of_other_routers_counts(self) -> None:
        estimator = PrefillEstimator(64)
        estimator.merge("r2", PeerWork(40_000, 3, 0, 0.0))
        self.assertGreater(estimator.wait_s(0.0), 0.9)
        self.assertEqual(estimator.wait_s(5.0), 0.0)

    def test_own_work_as_a_sample(self) -> None:
        """Guards against a choice by reports that are older than queues last."""
        estimator = PrefillEstimator(64)
        estimator.merge("r2", PeerWork(40_000, 3, 0, 0.0))
        self.assertEqual(estimator.wait_s(0.0, own_share=0.1), 0.0)
        estimator.sent("q", 1_000, 0.0)
        # It counts until it is answered, and stands for what the others have sent.
        for now in (0.0, 1.0):
            wait_s = estimator.wait_s(now, own_share=0.1)
            self.assertAlmostEqual(wait_s, 10_000 / INITIAL_TOKENS_PER_S)
        estimator.first_token("q", 1.0)
        self.assertEqual(estimator.wait_s(1.0, own_share=0.1), 0.0)

    def test_progress_is_subtracted_once_for_all_routers(self) -> None:
        # Guards against subtracting the progress since a report from each router's
        # report: the long queue of many small reports would appear empty.
        estimator = PrefillEstimator(64)
        for number in range(30):
            estimator.merge(f"r{number}", PeerWork(1_500, 1, 0, 0.01 * number))
        self.assertGreater(estimator.wait_s(0.3), 0.9)
        self.assertLess(estimator.wait_s(0.3), 45_000 / INITIAL_TOKENS_PER_S)

    def test_router_without_work_is_removed(self) -> None:
        estimator = PrefillEstimator(64)
        estimator.merge("r2", PeerWork(40_000, 3, 0, 0.0))
        estimator.merge("r2", PeerWork(0, 0, 0, 0.1))
        self.assertEqual((estimator.wait_s(0.1), estimator.peers), (0.0, {}))

    def test_engine_without_free_slot_has_a_wait(self) -> None:
        estimator = PrefillEstimator(2)
        estimator.merge("r2", PeerWork(0, 5, 0, 0.0))
        self.assertGreater(estimator.wait_s(0.0), 0.1)
