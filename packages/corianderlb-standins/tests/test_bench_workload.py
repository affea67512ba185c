"""Tests of the benchmark's workload and of merged results."""

from __future__ import annotations

import unittest

from hdrh.histogram import HdrHistogram

from corianderlb_standins.bench import BenchPlan, merge_results, render_table
from corianderlb_standins.bench_cell import MAX_TTFT_US, CellPlan, CellResult
from corianderlb_standins.fleet_plan import SMALL_ACCOUNTS
from corianderlb_standins.workload import Scenario, draw_arrivals


def a_result(seed: int, ttft_us: int, n_hit: int) -> CellResult:
    """Return the results of a cell with one request."""
    histogram = HdrHistogram(1, MAX_TTFT_US, 3)
    histogram.record_value(ttft_us)
    encoded = histogram.encode().decode()
    return CellResult(
        CellPlan("default", "steady", seed),
        n_requests=1,
        pieces_asked=8,
        pieces_hit=n_hit,
        pieces_recomputed=8 - n_hit,
        ttft=dict.fromkeys(("urgent", "standard", "deferrable"), encoded),
    )


class BenchWorkloadTest(unittest.TestCase):
    def test_same_seed_gives_same_requests(self) -> None:
        first = draw_arrivals(Scenario.STEADY, 1, 32.0, 10.0, 4)
        self.assertEqual(first, draw_arrivals(Scenario.STEADY, 1, 32.0, 10.0, 4))
        self.assertNotEqual(first, draw_arrivals(Scenario.STEADY, 2, 32.0, 10.0, 4))
        self.assertAlmostEqual(len(first), 320, delta=80)

    def test_hot_shift_gives_a_small_account_half_of_the_traffic(self) -> None:
        arrivals = draw_arrivals(Scenario.HOT_SHIFT, 1, 100.0, 20.0, 4)
        second_half = [a for a in arrivals if a.at >= 10.0]
        hot = [a for a in second_half if a.account == SMALL_ACCOUNTS[-1]]
        self.assertAlmostEqual(len(hot) / len(second_half), 0.5, delta=0.1)

    def test_prompts_nest_and_fill_whole_pieces(self) -> None:
        arrivals = draw_arrivals(Scenario.STEADY, 1, 100.0, 10.0, 4)
        sample = arrivals[0]
        same_site = [
            a
            for a in arrivals
            if (a.account, a.site) == (sample.account, sample.site)
            and a.batch != sample.batch
        ]
        self.assertEqual(len(sample.prompt), 8 * 4000)
        self.assertEqual(sample.prompt[: 6 * 4000], same_site[0].prompt[: 6 * 4000])
        self.assertNotEqual(sample.prompt, same_site[0].prompt)

    def test_results_of_all_seeds_are_merged(self) -> None:
        plan = BenchPlan("out", scenarios=("steady",), policies=("default",))
        matching = [a_result(1, 1000, 8), a_result(2, 3000, 4)]
        rows = merge_results(matching, plan)
        self.assertEqual(len(rows), 1)
        self.assertEqual(rows[0].n_requests, 2)
        self.assertEqual(rows[0].hit_rate, 0.75)
        self.assertEqual(rows[0].pieces_recomputed, 4)
        self.assertAlmostEqual(rows[0].ttft_ms["urgent"][-1], 3.0, delta=0.01)
        self.assertIn("| steady | default | 2 | 0 | 0.750 | 4 |", render_table(rows))
