"""Test rates that a fleet learns of its engines, also with reports lost or late."""

from __future__ import annotations

import random
import unittest

from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.instance_speed import InstanceSpeeds, record_told
from corianderlb_core.message import EngineUpdate, SpeedUpdate, decode, encode
from corianderlb_core.reported_load import ReportedLoad
from corianderlb_core.update_schedule import UpdateSchedule

FAST, SLOW = ("fast", 1), ("slow", 1)
UPSTREAMS = {FAST: "llm", SLOW: "llm"}


def observe(speeds: InstanceSpeeds, n_times: int, now: float) -> None:
    """Record prompts at engines of 60,000 and 30,000 tokens a second."""
    for _ in range(n_times):
        speeds.observe(FAST, "llm", 3_000, 0.05, now)
        speeds.observe(SLOW, "llm", 3_000, 0.1, now)


def merge(speeds: InstanceSpeeds, sender: str, update: SpeedUpdate, now: float) -> None:
    """Pass an announcement on as it arrives over the wire."""
    arrived = decode(encode(EngineUpdate(speeds=update)))
    speeds.merge(sender, arrived.speeds, UPSTREAMS, now)


class InstanceSpeedTest(unittest.TestCase):
    def assert_learned(self, speeds: InstanceSpeeds) -> None:
        """Check both rates to a tenth."""
        for key, rate in ((FAST, 60_000), (SLOW, 30_000)):
            found = speeds.tokens_per_s(key, "llm")
            self.assertAlmostEqual(found / rate, 1.0, delta=0.1)

    def test_rates_are_learned_over_the_fleet(self) -> None:
        # One prompt in 11 s from each of 63 routers: none learns the rates by itself.
        routers = [InstanceSpeeds(run) for run in range(63)]
        for number, speeds in enumerate(routers):
            observe(speeds, 1, number / 10)
            update = speeds.announcement(number / 10)
            for peer in routers:
                if peer is not speeds:
                    merge(peer, f"r{number}", update, number / 10)
        for speeds in routers:
            self.assert_learned(speeds)

    def test_router_that_has_just_started(self) -> None:
        # Guards against a restarted router that sends as much to slow engines.
        known, started = InstanceSpeeds(1), InstanceSpeeds(2)
        self.assertIsNone(started.tokens_per_s(FAST, "llm"))
        observe(known, 20, 0.0)
        known.announcement(0.0)
        known.observe(FAST, "llm", 3_000, 0.05, 0.5)
        merge(started, "r1", known.announcement(0.5), 0.5)
        self.assert_learned(started)

    def test_router_that_restarted_is_heard(self) -> None:
        # Guards against dropping its announcements until its count has caught up.
        peer, before, after = (InstanceSpeeds(run) for run in range(3))
        for number in range(5):
            observe(before, 1, number)
            merge(peer, "r1", before.announcement(number), number)
        observe(after, 20, 5.0)
        merge(peer, "r1", after.announcement(5.0), 5.0)
        self.assert_learned(peer)

    def test_announcements_are_lost_repeated_and_late(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            sender, peer = InstanceSpeeds(1), InstanceSpeeds(2)
            updates = []
            for number in range(40):
                observe(sender, 1, 0.1 * number)
                if rng.random() < 0.6:
                    updates.append(sender.announcement(0.1 * number))
            updates += rng.choices(updates, k=10)
            last = max(updates, key=lambda update: update.sent_ms)
            rng.shuffle(updates)
            for number, update in enumerate(updates):
                merge(peer, "r1", update, 4.0 + 0.05 * number)
            self.assert_learned(peer)
            merge(peer, "r1", last, 9.0)
            self.assert_learned(peer)

    def test_router_that_is_cut_off_keeps_what_it_knows(self) -> None:
        sender, peer = InstanceSpeeds(1), InstanceSpeeds(2)
        observe(sender, 60, 0.0)
        merge(peer, "r1", sender.announcement(0.0), 0.0)
        observe(peer, 1, 12.0)
        self.assert_learned(peer)

    def test_engine_that_turns_slow(self) -> None:
        speeds = InstanceSpeeds()
        observe(speeds, 60, 0.0)
        for tenth in range(300):
            speeds.observe(FAST, "llm", 3_000, 0.2, tenth / 10)
        self.assertLess(speeds.tokens_per_s(FAST, "llm"), 18_000)

    def test_outlier(self) -> None:
        # Guards against a prompt that waited for a load of weights.
        speeds = InstanceSpeeds()
        observe(speeds, 60, 0.0)
        speeds.observe(FAST, "llm", 3_000, 30.0, 0.0)
        self.assert_learned(speeds)

    def test_incarnation_that_is_not_listed(self) -> None:
        sender, peer = InstanceSpeeds(1), InstanceSpeeds(2)
        observe(sender, 1, 0.0)
        peer.merge("r1", sender.announcement(0.0), {}, 0.0)
        self.assertFalse(peer.is_in_use)

    def test_nothing_is_announced_without_news(self) -> None:
        speeds = InstanceSpeeds()
        self.assertIsNone(speeds.announcement(0.0))
        observe(speeds, 1, 0.0)
        self.assertIsNotNone(speeds.announcement(0.0))
        self.assertIsNone(speeds.announcement(0.1))

    def test_lateness_is_noticed(self) -> None:
        # Guards against an old slowdown that is taken for the present one.
        sender, peer = InstanceSpeeds(1), InstanceSpeeds(2)
        found = []
        for second, link_s in enumerate((0.01, 0.01, 1.01, 0.02)):
            observe(sender, 1, second)
            update, arrives_at = sender.announcement(second), 500 + second + link_s
            found.append(peer.merge("r1", update, UPSTREAMS, arrives_at))
        for late_s, expected in zip(found, (0, 0, 1, 0.01), strict=True):
            self.assertAlmostEqual(late_s, expected, delta=0.01)
        self.assertIsNone(peer.merge("r1", update, UPSTREAMS, 504.0))

    def test_report_of_an_engine_is_told_with_its_age(self) -> None:
        speeds, reported = InstanceSpeeds(), ReportedLoad()
        report = InstanceLoadReport(3, 1, 64, 2.5)
        speeds.record_report(FAST, "llm", report, 1.0)
        update = decode(encode(EngineUpdate(speeds=speeds.announcement(1.3)))).speeds
        record_told(reported, update.reports[0], 9.0)
        self.assertEqual(reported.n_busy(9.0), 4)
        self.assertIsNone(reported.n_busy(9.25))


class UpdateScheduleTest(unittest.TestCase):
    def test_requests_do_not_raise_the_mean_rate(self) -> None:
        # Guards against a message for each long prompt.
        schedule, now = UpdateSchedule(), 100.0
        for _ in range(100):
            now += schedule.earliest_s(0.5, now)
            schedule.sent(0.5, now)
        self.assertGreater(now, 100.0 + 98 * 0.5)

    def test_request_after_a_quiet_time_is_early(self) -> None:
        schedule = UpdateSchedule()
        schedule.sent(0.5, 100.0)
        self.assertAlmostEqual(schedule.earliest_s(0.5, 100.0), 0.25)
        self.assertAlmostEqual(schedule.latest_s(0.5, 100.0), 0.625)
