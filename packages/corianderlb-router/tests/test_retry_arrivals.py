"""Tests of the retries that reach an upstream in a window, over a fleet's routers."""

from __future__ import annotations

import os

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_standins.trio_case import TrioTestCase
from retry_fleet import CountedUpstream, RetryFleet, a_retry_day

TERMS = BudgetTerms(ratio=0.2, fixed=20.0, window_s=10.0)

SEEDS = (1, 2, 3, 13, 22, *range(100, 100 + int(os.environ.get("RETRY_DAYS", "0"))))
"""Seeds of the random days; more are started by hand."""


class RetryArrivalTest(TrioTestCase):
    def assert_within_allowance(self, fleet: RetryFleet, at_least: int = 1) -> None:
        """Assert that no window has too many repeats, and that there were some."""
        worst = fleet.arrivals.worst_window()
        if worst is not None:
            self.assertLessEqual(worst.n_repeats, worst.n_allowed, worst)
        self.assertGreaterEqual(len(fleet.arrivals.repeats_at), at_least)

    async def test_retries_wait_at_instances_that_stand_still(self) -> None:
        """Guards against retries of two windows that arrive in one."""
        start = trio.current_time()

        def stands_still(now: float) -> float:
            return start + 14 if start + 11 <= now < start + 14 else now

        erring = CountedUpstream(fails=lambda now: start + 11 <= now < start + 28)
        still = CountedUpstream(fails=erring.fails, resumes_at=stands_still)
        async with trio.open_nursery() as nursery:
            names = {"s1": erring, "s2": erring, "s3": still, "s4": still}
            fleet = RetryFleet(nursery, TERMS, 4, names)
            await fleet.send(32, per_s=50)
            nursery.cancel_scope.cancel()
        self.assert_within_allowance(fleet, 100)

    async def test_retries_follow_the_second_of_two_surges(self) -> None:
        """Guards against retries for requests that the rule's window lacks."""
        start = trio.current_time()
        erring = CountedUpstream(
            fails=lambda now: start + 18.9 <= now < start + 19.5,
        )
        async with trio.open_nursery() as nursery:
            fleet = RetryFleet(nursery, BudgetTerms(0.2, 4.0), 4, {"s1": erring})
            for per_s, seconds in ((10, 10.5), (400, 1), (10, 7), (400, 1), (10, 4)):
                await fleet.send(seconds, per_s)
            nursery.cancel_scope.cancel()
        self.assert_within_allowance(fleet, 50)

    async def start_again_and_again(self, is_store_away: bool) -> None:
        """Start all routers nine times within a window while all requests fail."""
        erring = CountedUpstream(fails=lambda now: True)
        async with trio.open_nursery() as nursery:
            fleet = RetryFleet(nursery, TERMS, 4, {"s1": erring})
            await fleet.send(11, per_s=4)
            fleet.store.faults.unavailable = is_store_away
            for _ in range(9):
                fleet.restart()
                await fleet.send(1.0, per_s=4)
            nursery.cancel_scope.cancel()
        self.assert_within_allowance(fleet, 10)

    async def test_all_routers_start_again_and_again(self) -> None:
        """Guards against a retry of each start, however many there are in a window."""
        await self.start_again_and_again(is_store_away=False)

    async def test_all_routers_start_while_the_store_is_away(self) -> None:
        """Guards against a retry at once by a router that can't know its last start."""
        await self.start_again_and_again(is_store_away=True)

    async def test_random_days_keep_the_allowance(self) -> None:
        """Guards against disruptions that together let too many retries through."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                async with trio.open_nursery() as nursery:
                    day = a_retry_day(seed, TERMS)
                    fleet = RetryFleet(nursery, TERMS, 5, day.upstreams)
                    await day.play(fleet)
                    nursery.cancel_scope.cancel()
                self.assert_within_allowance(fleet)
