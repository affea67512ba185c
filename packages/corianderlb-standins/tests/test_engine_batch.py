"""Test the simulated batch and the piece cache of the engine stand-in."""

from __future__ import annotations

import random

import trio

from corianderlb_standins.batch import Batch, BatchCost, Job
from corianderlb_standins.piece_cache import PieceCache
from corianderlb_standins.trio_case import TrioTestCase

KEYS = tuple(bytes([n]) * 16 for n in range(6))


def a_cache(capacity: int = 8, loss: float = 0.0) -> PieceCache:
    """Return an empty cache."""
    return PieceCache(capacity, loss, random.Random(1))


def a_job(name: str, n_keys: int = 2, priority: int = 1, n_tokens: int = 2) -> Job:
    """Return a job whose prompt has the first ``n_keys`` of ``KEYS``."""
    return Job(name, "", KEYS[:n_keys], n_tokens, priority)


class EngineBatchTest(TrioTestCase):
    async def test_only_uncached_pieces_take_prefill_time(self) -> None:
        batch = Batch(BatchCost(prefill_s_per_piece=1.0, base_s=0.0), a_cache())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(batch.run)
            took = []
            for name in ("cold", "warm"):
                job = a_job(name)
                started = trio.current_time()
                batch.submit(job)
                while not job.n_generated:
                    await job.changed.park()
                took.append(trio.current_time() - started)
            nursery.cancel_scope.cancel()
        self.assertAlmostEqual(took[0], 2.0, places=3)
        self.assertLess(took[1], 0.1)
        self.assertEqual((batch.n_recomputed, batch.n_hit), (2, 2))

    async def test_urgent_jobs_run_first(self) -> None:
        # The base cost makes the jobs end in different steps: the waiters of jobs that
        # end in the same step wake in any order.
        batch = Batch(BatchCost(prefill_s_per_piece=1.0, base_s=1.0), a_cache())
        jobs = [a_job("deferrable", 1, 2), a_job("first", 1, 1), a_job("urgent", 1, 0)]
        for job in jobs:
            batch.submit(job)
        done = []

        async def wait_until_done(job: Job) -> None:
            while not job.done:
                await job.changed.park()
            done.append(job.attempt_id)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(batch.run)
            async with trio.open_nursery() as waiters:
                for job in jobs:
                    waiters.start_soon(wait_until_done, job)
            nursery.cancel_scope.cancel()
        self.assertEqual(done, ["urgent", "first", "deferrable"])

    async def test_cancelled_job_frees_its_slot(self) -> None:
        batch = Batch(BatchCost(n_slots=1, token_s=0.1), a_cache())
        long, short = a_job("long", n_tokens=10**6), a_job("short")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(batch.run)
            batch.submit(long)
            await trio.sleep(1.0)
            batch.submit(short)
            await trio.sleep(1.0)
            self.assertEqual(short.n_generated, 0)
            long.cancel()
            await trio.sleep(1.0)
            self.assertTrue(short.done)
            nursery.cancel_scope.cancel()

    def test_eviction_starts_with_the_longest_prefix(self) -> None:
        cache = a_cache(capacity=3)
        cache.add(KEYS[:3], 0.0)
        cache.add(KEYS[4:5], 1.0)
        self.assertEqual(cache.count_hits(KEYS), 2)

    def test_lost_events_leave_gaps(self) -> None:
        cache = a_cache(capacity=1000, loss=0.5)
        cache.add([n.to_bytes(16, "big") for n in range(100)], 0.0)
        shown = cache.events_after(0, 0.0)["events"]
        self.assertLess(len(shown), 80)
        self.assertGreater(shown[-1]["seq"], len(shown))
