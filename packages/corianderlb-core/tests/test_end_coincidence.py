"""Test that ends of one moment are told from ends that fall together by chance."""

from __future__ import annotations

import random
import unittest

from corianderlb_core.end_coincidence import (
    FALSE_POSITIVE_RATE,
    MAX_ALL_ENDS,
    MAX_ENDS,
    EndCoincidence,
)
from corianderlb_core.end_gossip import EndGossip, unpack
from end_fleet import EndFleet

KEY = ("e1", 1)


class EndCoincidenceTest(unittest.TestCase):
    def test_independent_ends_rarely_coincide(self) -> None:
        """Guards against whole answers that count as cut, in steps or begun at once."""
        for n_routers, n_open, step_s, n_begun in (
            (4, 4, 0.0, 1),
            (4, 40, 0.02, 1),
            (4, 40, 0.02, 10),
            (24, 10, 0.02, 1),
        ):
            with self.subTest(routers=n_routers, open=n_open, begun=n_begun):
                fleet = EndFleet(n_routers, 16, n_open, 4.0, step_s, n_begun)
                fleet.run(40.0)
                most = FALSE_POSITIVE_RATE * fleet.n_whole
                self.assertLessEqual(fleet.n_whole_found, most)

    def test_ends_of_one_moment_are_found(self) -> None:
        """Guards against parts of answers that an instance ended and lived on."""
        for n_routers, n_engines, n_open, mean_s, least in (
            (4, 200, 3, 20.0, 0.9),
            (24, 60, 3, 20.0, 0.9),
            (24, 8, 20, 8.0, 0.99),
            (24, 4, 160, 16.0, 0.99),
        ):
            with self.subTest(routers=n_routers, open=n_open):
                fleet = EndFleet(n_routers, n_engines, n_open, mean_s)
                fleet.run(24.0)
                fleet.count_anew()
                for engine in range(0, n_engines, 2):
                    fleet.reset(engine)
                fleet.run(26.0)
                self.assertGreater(fleet.n_cut, 0.9 * n_open * n_engines / 2)
                self.assertGreaterEqual(fleet.n_cut_found, least * fleet.n_cut)

    def test_ends_with_a_mark_do_not_coincide(self) -> None:
        for is_marked in (False, True):
            ends = EndCoincidence()
            ends.record(("e2", 1), 0.0, True, 1.0)
            for n in range(4):
                ends.record(KEY, 100.0, is_marked and n > 0, 20.0 + n)
            self.assertIs(ends.coincides(KEY, 100.0), not is_marked)

    def test_calls_of_one_burst(self) -> None:
        """Guards against short answers that count as cut since callers come at once."""
        ends = EndCoincidence()
        for n, took_s in enumerate((0.005, 0.05, 0.12, 0.19)):
            ends.record(KEY, 100.0 + 0.01 * n, False, took_s)
        self.assertFalse(ends.coincides(KEY, 100.0))

    def test_end_that_is_dated_before_its_beginning(self) -> None:
        """Guards against a router that ends since the kernel's clock is coarse."""
        gossip = EndGossip(EndCoincidence(), random.Random(1))
        gossip.record(KEY, 1.0, False, -0.004)
        (told,) = unpack(gossip.take(1.1))
        self.assertEqual(told.open_for_s, 0.0)

    def test_memory_is_bounded(self) -> None:
        """Guards against a router that keeps the ends of all that ever ran."""
        ends = EndCoincidence()
        for n in range(2 * MAX_ALL_ENDS):
            ends.record((f"e{n // (2 * MAX_ENDS)}", 1), n * 1e-6, False, 1.0)
        kept = [len(known.ends) for known in ends._ends.values()]
        self.assertLessEqual(sum(kept), MAX_ALL_ENDS)
        self.assertEqual(set(kept), {MAX_ENDS})
        ends.record(KEY, 100.0, False, 1.0)
        self.assertEqual(len(ends._ends), 1)
