"""Test routes, accounts, retry budgets and the choice of plain services."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from corianderlb_core.fleet_retry_budget import (
    BudgetTerms,
    FleetRetryBudget,
    RequestRetries,
    RequestWindows,
)
from corianderlb_core.forwarding import (
    ForwardAccount,
    ForwardConfiguration,
    ForwardRoute,
    ForwardUpstream,
    RepeatKind,
    UpstreamShare,
    key_digest,
)
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.message import (
    EngineUpdate,
    WeightsAnnouncement,
    WeightsUpdate,
    decode,
    encode,
)
from corianderlb_core.service_choice import ServiceLoad, choose_service
from corianderlb_core.weights_rollout import EnginePhase
from forward_data import an_instance


def a_route(host: str, prefix: str) -> ForwardRoute:
    """Build a route named by its prefix."""
    shares = (UpstreamShare("app"),)
    return ForwardRoute(prefix, host, prefix, RepeatKind.IDEMPOTENT, 1.0, 0.1, shares)


def a_configuration(*routes: ForwardRoute) -> ForwardConfiguration:
    """Build a configuration with one account."""
    account = ForwardAccount("acme", (key_digest("k1"), key_digest("k2")))
    return ForwardConfiguration(1, 1, routes, (), (account,))


class ConfigurationTest(unittest.TestCase):
    def test_longest_prefix_wins(self) -> None:
        cfg = a_configuration(a_route("h", "/a/"), a_route("h", "/a/b/"))
        self.assertEqual(cfg.match("h", "/a/b/c").name, "/a/b/")
        self.assertEqual(cfg.match("H", "/a/bc").name, "/a/")
        self.assertEqual(cfg.match("h", "/a/b").name, "/a/")
        self.assertIsNone(cfg.match("h", "/a"))
        self.assertIsNone(cfg.match("other", "/a/b"))

    def test_parts_are_spread_over_all_stores_of_kv_cache(self) -> None:
        # Guards against placing all parts in one store, where they evict each other.
        names = ("s1", "s2", "s3")
        stores = tuple(ForwardUpstream(n, kv_cache_address=f"{n}:1") for n in names)
        cfg = ForwardConfiguration(1, 1, (), (ForwardUpstream("app"), *stores), ())
        swapped = ForwardConfiguration(2, 2, (), stores[::-1], ())
        counts = Counter()
        for number in range(300):
            store = cfg.kv_cache(f"part{number}")
            self.assertEqual(store, swapped.kv_cache(f"part{number}"))
            counts[store.name] += 1
        self.assertGreater(min(counts[name] for name in names), 70)
        self.assertIsNone(a_configuration().kv_cache("part1"))

    @given(
        st.lists(st.sampled_from(["/", "/a/", "/a/b/", "/b/"]), unique=True),
        st.text("/ab"),
    )
    def test_match_is_the_longest_of_all(self, prefixes: list[str], path: str) -> None:
        cfg = a_configuration(*(a_route("h", prefix) for prefix in prefixes))
        fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = cfg.match("h", path)
        expected = max(fitting, key=len) if fitting else None
        self.assertEqual(found.name if found else None, expected)

    def test_each_key_of_an_account_is_accepted(self) -> None:
        cfg = a_configuration()
        self.assertEqual(cfg.account_of("k2").name, "acme")
        self.assertIsNone(cfg.account_of("k3"))


class ArrivalBudgetTest(unittest.TestCase):
    def test_fleet_keeps_within_the_allowance(self) -> None:
        # All requests fail on all routers at once. The sum of the retries must stay
        # within the upstream's allowance, however the requests are distributed.
        terms = BudgetTerms(ratio=0.2, fixed=50.0, window_s=10.0)
        n_routers, n_requests, n_repeats = 4, 0, 0
        for router in range(n_routers):
            budget = FleetRetryBudget(terms, started_at=-60.0)
            for n in range(100 * router):
                budget.record_request(n * 0.01, n_routers)
                n_requests += 1
            n_repeats += self.spend(budget, 5.0, n_routers)
        self.assertLessEqual(n_repeats, 0.2 * n_requests + 50)
        self.assertGreater(n_repeats, 0.7 * (0.2 * n_requests + 50))

    @staticmethod
    def spend(budget: FleetRetryBudget, now: float, n_routers: int) -> int:
        """Take all there is, which arrives at once; return the number of retries."""
        charges = [budget.take(now, n_routers) for _ in range(1000)]
        taken = [charge for charge in charges if charge is not None]
        for charge in taken:
            charge.settle(now)
        return len(taken)

    def test_restarted_router_does_not_spend_the_fixed_part_again(self) -> None:
        """Guard against spending the fixed part again after a router's restart."""
        terms = BudgetTerms(ratio=0.2, fixed=50.0, window_s=10.0)
        n_repeats = 0
        for _ in range(4):
            n_repeats += self.spend(FleetRetryBudget(terms, started_at=-60.0), 0.0, 4)
            # Right after its start a router knows no other.
            restarted = FleetRetryBudget(terms, started_at=2.0, n_routers=4)
            n_repeats += self.spend(restarted, 3.0, 1) + self.spend(restarted, 9.0, 4)
        self.assertLessEqual(n_repeats, 50)
        restarted = FleetRetryBudget(terms, started_at=2.0, n_routers=4)
        self.assertGreater(self.spend(restarted, 3.0, 4), 0)
        self.assertEqual(self.spend(restarted, 13.1, 4), 10)

    def test_budget_of_lost_routers_stays_spent(self) -> None:
        """Guard against routers spending again what lost routers have spent."""
        terms = BudgetTerms(ratio=0.2, fixed=50.0, window_s=10.0)
        budgets = [FleetRetryBudget(terms, started_at=-60.0) for _ in range(4)]
        n_repeats = sum(self.spend(budget, 0.0, 4) for budget in budgets[:3])
        budgets[3].record_request(0.0, 4)
        n_repeats += self.spend(budgets[3], 4.0, 1)
        self.assertLessEqual(n_repeats, 50)
        self.assertEqual(self.spend(budgets[3], 14.1, 1), 40)

    def test_window_slides(self) -> None:
        terms = BudgetTerms(ratio=0.0, fixed=2.0, window_s=10.0)
        budget = FleetRetryBudget(terms, started_at=-60.0)
        self.assertEqual(self.spend(budget, 0.0, 1), 1)
        self.assertEqual(self.spend(budget, 5.0, 1), 0)
        self.assertEqual(self.spend(budget, 10.1, 1), 1)

    def test_requests_count_in_each_window_around_a_retry(self) -> None:
        """Guards against requests that a window with the retry doesn't count."""
        rng = random.Random(1)
        for _ in range(50):
            surges = [rng.uniform(0, 20) for _ in range(3)]
            times = sorted(rng.choice(surges) + rng.random() for _ in range(200))
            windows, now = RequestWindows(10.0), rng.uniform(10, 22)
            times = [at for at in times if at <= now]
            for at in times:
                windows.record(at)
            windows.advance(now)
            for since in (rng.uniform(now - 10, now) for _ in range(50)):
                counts = [
                    sum(start <= at <= start + 10 for at in times)
                    for start in (since - 10, since - 5, since)
                ]
                self.assertLessEqual(windows.n_counted(), max(counts))

    def test_steady_requests_count_in_full(self) -> None:
        windows = RequestWindows(10.0)
        for n in range(300):
            windows.record(n * 0.1)
        self.assertGreaterEqual(windows.n_counted(), 97)

    def test_retry_counts_until_a_window_after_it_arrived(self) -> None:
        """Guards against a second window's retries beside those still on their way."""
        terms = BudgetTerms(ratio=0.0, fixed=2.0, window_s=10.0)
        budget = FleetRetryBudget(terms, started_at=-60.0)
        request = RequestRetries(unanswered_s=10.0)
        request.unanswered(1.0, request.sent())
        request.charged(budget.take(1.0, 1))
        second = request.sent()
        self.assertEqual(self.spend(budget, 20.0, 1), 0)
        # The first attempt, sent until 1 s, may arrive as the second one until 11 s.
        request.answered(10.5, second)
        self.assertEqual(self.spend(budget, 20.9, 1), 0)
        self.assertEqual(self.spend(budget, 21.1, 1), 1)


class ServiceChoiceTest(unittest.TestCase):
    def test_reported_load_counts(self) -> None:
        # Load from other routers is visible only in the instance's own report.
        busy, idle = ServiceLoad(6), ServiceLoad(6)
        busy.record_report(InstanceLoadReport(6, 7, 6), 0.0)
        pairs = [(an_instance("a"), busy), (an_instance("b"), idle)]
        chosen = choose_service(pairs, "z", 0.002, 0.1, random.Random(1))
        self.assertEqual(chosen.instance, "b")

    def test_calls_spread_where_all_are_full(self) -> None:
        # Guards against all routers that meet at the instance with the shortest queue.
        pairs = [(an_instance(f"s{n}"), ServiceLoad(6)) for n in range(4)]
        for number, (_, load) in enumerate(pairs):
            report = InstanceLoadReport(6, 4 + number, 6, 1.0)
            load.record_report(report, 0.0)
        rng = random.Random(1)
        chosen = Counter(
            choose_service(pairs, "z", 0.002, 0.1, rng).instance for _ in range(400)
        )
        self.assertLess(max(chosen.values()), 250)
        self.assertEqual(chosen["s3"], 0)

    def test_slow_instance_gets_less(self) -> None:
        slow, fast = ServiceLoad(6), ServiceLoad(6)
        for _ in range(30):
            slow.answered(0.2, 0.0)
            fast.answered(0.02, 0.0)
        pairs = [(an_instance("a"), slow), (an_instance("b"), fast)]
        chosen = choose_service(pairs, "z", 0.002, 0.0, random.Random(1))
        self.assertEqual(chosen.instance, "b")

    def test_own_zone_breaks_ties(self) -> None:
        pairs = [
            (an_instance("a", zone="y"), ServiceLoad(6)),
            (an_instance("b", zone="z"), ServiceLoad(6)),
        ]
        for seed in range(10):
            chosen = choose_service(pairs, "z", 0.002, 0.0, random.Random(seed))
            self.assertEqual(chosen.instance, "b")


class ForwardedMessageTest(unittest.TestCase):
    def test_decoded_message_can_be_encoded_again(self) -> None:
        # Guards against a failure to encode a decoded message: fields left out of the
        # frame are missing in it.
        updates = (WeightsAnnouncement("e1", 1, "m", 2, EnginePhase.LOADING, 7),)
        for message in (WeightsUpdate(updates), WeightsUpdate(), EngineUpdate()):
            frame = encode(message)
            self.assertEqual(encode(decode(frame)), frame)
