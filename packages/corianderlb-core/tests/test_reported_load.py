"""Test what an instance reported of itself, with its age."""

from __future__ import annotations

import math
import unittest

from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.prefill_estimate import PrefillEstimator
from corianderlb_core.reported_load import (
    MAX_SLOWDOWN,
    REPORT_TTL_S,
    SLOWDOWN_DECAY_S,
    ReportedLoad,
)
from corianderlb_core.service_choice import ServiceLoad


def report_usual(load: ReportedLoad, slowdown: float = 1.0) -> None:
    """Record some reports from a machine at its usual."""
    for number in range(4):
        load.record(InstanceLoadReport(slowdown=slowdown), number - 9.0)


class ReportedLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = ReportedLoad()

    def test_numbers_expire(self) -> None:
        self.assertIsNone(self.load.n_busy(0.0))
        self.load.record(InstanceLoadReport(3, 2), 0.0)
        self.assertEqual(self.load.n_busy(0.1), 5)
        self.assertIsNone(self.load.n_busy(REPORT_TTL_S))

    def test_figure_that_is_missing_keeps_its_value_for_a_time(self) -> None:
        self.load.record(InstanceLoadReport(3, 2, slowdown=2.5), 0.0)
        self.load.record(InstanceLoadReport(n_waiting=7), 0.4)
        self.assertEqual(self.load.n_busy(0.4), 10)
        self.assertEqual(self.load.n_busy(REPORT_TTL_S), 7)
        self.assertGreater(self.load.slowdown(0.4), 1.5)

    def test_slowdown_decays_to_the_usual(self) -> None:
        self.assertEqual(self.load.slowdown(0.0), 1.0)
        report_usual(self.load)
        self.load.record(InstanceLoadReport(slowdown=2.5), 0.0)
        self.assertEqual(self.load.slowdown(0.0), 2.5)
        decayed = 1 + 1.5 / math.e
        self.assertAlmostEqual(self.load.slowdown(SLOWDOWN_DECAY_S), decayed)
        self.assertAlmostEqual(self.load.slowdown(30.0), 1.0)

    def test_machine_that_is_slower_than_others_at_its_usual(self) -> None:
        # Guards against taking what is lasting for a moment that passes.
        report_usual(self.load, 1.7)
        self.assertAlmostEqual(self.load.slowdown(30.0), 1.7)
        self.assertEqual(self.load.stretched_s(1.0, 0.0), 1.0)
        self.load.record(InstanceLoadReport(slowdown=4.25), 30.0)
        self.assertAlmostEqual(self.load.stretched_s(0.001, 30.0), 0.0025, places=4)
        self.assertAlmostEqual(self.load.slowdown(60.0), 1.7)

    def test_report_that_comes_late(self) -> None:
        # Guards against an old report that replaces a newer one.
        self.load.record(InstanceLoadReport(1, 1, slowdown=1.0), 1.0)
        self.load.record(InstanceLoadReport(9, 9, slowdown=9.0), 0.5)
        self.assertEqual((self.load.n_busy(1.0), self.load.slowdown(1.0)), (2, 1.0))

    def test_forged_slowdown_is_bounded(self) -> None:
        self.load.record(InstanceLoadReport(slowdown=1e15), 0.0)
        self.assertEqual(self.load.slowdown(0.0), MAX_SLOWDOWN)
        self.load.record(InstanceLoadReport(slowdown=1e-9), 1.0)
        self.assertGreaterEqual(self.load.stretched_s(5.0, 1.0), 0.0)

    def test_moment_of_slowness_stretches_short_work_most(self) -> None:
        # Guards against emptying an engine for a moment that ends before the work does.
        report_usual(self.load)
        self.load.record(InstanceLoadReport(slowdown=2.5), 0.0)
        self.assertAlmostEqual(self.load.stretched_s(0.001, 0.0), 0.0025, places=4)
        longest_s = SLOWDOWN_DECAY_S * math.log(2.5)
        self.assertLess(self.load.stretched_s(4.0, 0.0), 4.0 + longest_s)
        self.assertEqual(self.load.stretched_s(1e6, 1e6), 1e6)


class ReportUseTest(unittest.TestCase):
    def test_engine_that_reports_three_figures_is_estimated_as_before(self) -> None:
        before, after = PrefillEstimator(4), PrefillEstimator(4)
        after.reported.record(InstanceLoadReport(50, 50, 4), 0.0)
        self.assertEqual(before.wait_s(0.0), after.wait_s(0.0))

    def test_engine_that_reports_a_fourth_figure(self) -> None:
        engine = PrefillEstimator(4)
        engine.sent("a", 8_000, 0.0)
        report_usual(engine.reported)
        usual_s = engine.wait_s(0.0)
        engine.reported.record(InstanceLoadReport(1, 0, 4, 2.5), 0.0)
        self.assertGreater(engine.wait_s(0.0), 1.5 * usual_s)
        engine.reported.record(InstanceLoadReport(4, 4, 4, 1.0), 0.0)
        self.assertGreater(engine.wait_s(0.0), usual_s + 1.0)

    def test_service_that_is_slow_at_the_moment(self) -> None:
        slow, usual = ServiceLoad(6), ServiceLoad(6)
        report_usual(slow.reported)
        slow.record_report(InstanceLoadReport(1, 0, 6, 2.5), 0.0)
        usual.record_report(InstanceLoadReport(1, 0, 6), 0.0)
        self.assertGreater(slow.wait_s(0.1), 2 * usual.wait_s(0.1))
        self.assertAlmostEqual(slow.wait_s(9.0), usual.wait_s(9.0))
