"""Test how routers spread requests over queues that they know from old reports."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from corianderlb_core.engine_choice import choose_engine
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.part_index import PartIndex
from corianderlb_core.prefill_estimate import PeerWork, PrefillEstimator
from corianderlb_core.queue_level import choose_below_level, queue_level
from corianderlb_core.reported_load import ReportedLoad
from forward_data import a_prompt, a_query, a_view
from room_model import ADVICE, CHECK, TOKENS_PER_S, Ask, Outcome, RoomModel

N_ENGINES = 20


def many_routers(load: float, unseen_s: float) -> Outcome:
    """Play 35 routers that each evaluate half of the engines by old reports."""
    asks = []
    for kind, share in ((CHECK, 0.7), (ADVICE, 0.3)):
        per_s = share * load * N_ENGINES * TOKENS_PER_S / kind.n_tokens
        asks.append(Ask("a", kind, lambda now, per_s=per_s: per_s))
    model = RoomModel(
        asks,
        is_fair=False,
        n_routers=35,
        speeds=(1.0,) * N_ENGINES,
        n_sampled=11,
        unseen_s=unseen_s,
        measure_from_s=1.5,
    )
    return model.run(4.0)


class QueueLevelTest(unittest.TestCase):
    def test_level_of_what_arrives(self) -> None:
        for times_s, unseen_s, level_s in (
            ([0.2], 0.1, 0.3),
            ([0.1, 0.5], 0.1, 0.3),
            ([0.1, 0.5], 0.3, 0.6),
            ([0.4, 0.4, 0.1], 0.0, 0.1),
        ):
            with self.subTest(times_s=times_s, unseen_s=unseen_s):
                self.assertAlmostEqual(queue_level(times_s, unseen_s), level_s)

    def test_shares_fill_the_queues_to_the_level(self) -> None:
        rng = random.Random(1)
        times_s = [0.0, 0.1, 0.5]
        n = Counter(choose_below_level(times_s, 0.1, rng) for _ in range(3000))
        self.assertEqual(n[2], 0)
        self.assertAlmostEqual(n[0] / 3000, 2 / 3, delta=0.03)

    def test_shortest_without_unseen_work(self) -> None:
        rng = random.Random(1)
        self.assertEqual(choose_below_level([0.3, 0.1, 0.2], 0.0, rng), 1)


class LevelChoiceTest(unittest.TestCase):
    def test_routers_do_not_meet_at_the_engine_that_seems_idle(self) -> None:
        """Guards against routers that all send to the engine reported as idle."""
        views = [a_view("idle"), *(a_view(f"e{n}", unread=4_000) for n in range(3))]
        query = a_query(a_prompt(own=2_000))
        chosen = {}
        for unseen_s in (0.0, 0.4):
            rng = random.Random(1)
            chosen[unseen_s] = Counter(
                choose_engine(
                    a_query(query.prompt, unseen_s=unseen_s), views, PartIndex(), rng
                ).view.instance.instance
                for _ in range(200)
            )
        self.assertEqual(chosen[0.0]["idle"], 200)
        self.assertLess(chosen[0.4]["idle"], 100)
        self.assertEqual(len(chosen[0.4]), 4)

    def test_engine_with_a_long_queue_gets_nothing(self) -> None:
        """Guards against requests that are spread over engines they'd wait at."""
        views = [a_view("busy", unread=40_000), a_view("a"), a_view("b")]
        query = a_query(a_prompt(), unseen_s=0.1)
        rng = random.Random(1)
        for _ in range(100):
            choice = choose_engine(query, views, PartIndex(), rng)
            self.assertNotEqual(choice.view.instance.instance, "busy")


class UrgentPlacesTest(unittest.TestCase):
    def test_less_urgent_requests_leave_places(self) -> None:
        """Guards against urgent requests that wait until a long run ends."""
        view = a_view("a", slots=16)
        for n in range(14):
            view.estimator.sent(str(n), 100, 0.0)
            view.estimator.first_token(str(n), 0.0)
        for leaves_places in (False, True):
            query = a_query(a_prompt(), leaves_places=leaves_places)
            choice = choose_engine(query, [view], PartIndex())
            self.assertEqual(choice.in_time, not leaves_places)


class ToldCountTest(unittest.TestCase):
    def test_count_of_the_engine_goes_before_what_routers_are_heard_of(self) -> None:
        """Guards against a full engine that seems empty to a router that hears few."""
        estimator = PrefillEstimator(16, reported=ReportedLoad(is_told=True))
        estimator.merge("r2", PeerWork(0.0, 2, 0.0, 1.0))
        estimator.reported.record(InstanceLoadReport(16, 12, 16), 1.0)
        self.assertEqual(estimator.n_reported_requests(1.1), 28)
        estimator.sent("later", 100, 1.2)
        self.assertEqual(estimator.n_reported_requests(1.3), 29)

    def test_old_count(self) -> None:
        """Guards against an engine that is left idle for a count that is old."""
        estimator = PrefillEstimator(16, reported=ReportedLoad(is_told=True))
        estimator.reported.record(InstanceLoadReport(16, 12, 16), 1.0)
        self.assertEqual(estimator.n_reported_requests(1.6), 0)


class FleetTest(unittest.TestCase):
    """35 routers, reports each 0.4 s, two kinds of request."""

    def test_routers_use_the_room_that_there_is(self) -> None:
        """Guards against lateness at few engines while the others are idle."""
        self.assertGreater(many_routers(0.9, 0.36).share(), 0.9)

    def test_shortest_queue_of_old_reports_wastes_room(self) -> None:
        """Shows that the load needs it: without it a third is not served in time."""
        self.assertLess(many_routers(0.9, 0.0).share(), 0.7)

    def test_beyond_the_room(self) -> None:
        """Guards against levels that send more where the room is full."""
        for load in (1.5, 3.0):
            levelled = many_routers(load, 0.4).tokens_in_time
            self.assertGreater(levelled, many_routers(load, 0.0).tokens_in_time)
