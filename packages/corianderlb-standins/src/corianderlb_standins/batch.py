"""Simulate the continuous batching of an engine.

Prefill handles one job at a time, most urgent first, at a fixed time per uncached
piece. Each decoding step gives every running job one token.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

import trio

from .piece_cache import PieceCache


@dataclass(frozen=True)
class BatchCost:
    """Durations and number of slots of a simulated engine."""

    n_slots: int = 8
    prefill_s_per_piece: float = 0.1
    token_s: float = 0.02
    base_s: float = 0.005
    """Prefill time of a job whose pieces are all cached."""


@dataclass(eq=False)
class Job:
    """One attempt in the batch; counts its tokens, which the caller writes out."""

    attempt_id: str
    prompt: str
    keys: tuple[bytes, ...]
    n_tokens: int
    priority: int = 1
    n_generated: int = 0
    """Tokens generated so far."""
    n_hits: int = 0
    done: bool = False
    cancelled: bool = False
    prefilled: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    changed: trio.lowlevel.ParkingLot = field(default_factory=trio.lowlevel.ParkingLot)

    def cancel(self) -> None:
        """Stop prefill at once, or decoding at the next step."""
        self.cancelled = True
        self.scope.cancel()
        self.changed.unpark_all()


class Batch:
    """Runs jobs on a bounded number of slots."""

    def __init__(self, cost: BatchCost, cache: PieceCache) -> None:
        self.cost = cost
        self.cache = cache
        self.slow_factor = 1.0
        self.n_recomputed = 0
        """Pieces that were computed because they were not cached."""
        self.n_hit = 0
        self.n_looked_up = 0
        self._queue: list[tuple[int, int, Job]] = []
        self._n_submitted = 0
        self._running: list[Job] = []
        self._prefilling: Job | None = None
        self._work = trio.lowlevel.ParkingLot()
        self._decode = trio.lowlevel.ParkingLot()

    @property
    def n_running(self) -> int:
        """Jobs in a slot."""
        return len(self._running) + (self._prefilling is not None)

    @property
    def n_queued(self) -> int:
        """Jobs waiting for a slot."""
        return len(self._queue)

    @property
    def queued_prefill_s(self) -> float:
        """Prefill time of all queued jobs."""
        jobs = [item[2] for item in self._queue]
        return sum(
            self._prefill_s(job, self.cache.count_hits(job.keys)) for job in jobs
        )

    def submit(self, job: Job) -> None:
        """Queue a job."""
        self._n_submitted += 1
        heapq.heappush(self._queue, (job.priority, self._n_submitted, job))
        self._work.unpark_all()

    async def run(self) -> None:
        """Prefill and decode until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._prefill_jobs)
            nursery.start_soon(self._decode_jobs)

    async def _prefill_jobs(self) -> None:
        while True:
            if not self._queue or len(self._running) >= self.cost.n_slots:
                await self._work.park()
                continue
            job = heapq.heappop(self._queue)[2]
            if job.cancelled:
                continue
            self._prefilling = job
            with job.scope:
                await self._prefill(job)
            self._prefilling = None
            if not job.cancelled:
                self._running.append(job)
                self._decode.unpark_all()

    async def _prefill(self, job: Job) -> None:
        job.n_hits = self.cache.use(job.keys)
        await trio.sleep(self._prefill_s(job, job.n_hits) * self.slow_factor)
        self.n_recomputed += len(job.keys) - job.n_hits
        self.n_hit += job.n_hits
        self.n_looked_up += len(job.keys)
        self.cache.add(job.keys, trio.current_time())
        job.prefilled = True

    def _prefill_s(self, job: Job, n_hits: int) -> float:
        n_missing = len(job.keys) - n_hits
        return self.cost.base_s + n_missing * self.cost.prefill_s_per_piece

    async def _decode_jobs(self) -> None:
        while True:
            if not self._running:
                await self._decode.park()
            self._decode_step()
            self._work.unpark_all()
            await trio.sleep(self.cost.token_s * self.slow_factor)

    def _decode_step(self) -> None:
        """Give each running job one token and free the slots of finished jobs."""
        for job in self._running:
            job.n_generated += not job.cancelled
            job.done = job.n_generated >= job.n_tokens
            job.changed.unpark_all()
        self._running = [j for j in self._running if not (j.done or j.cancelled)]
