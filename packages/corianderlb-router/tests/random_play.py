"""Instances, callers and faults that are drawn from a seed."""

from __future__ import annotations

import random
from collections import Counter
from typing import Final

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.result import NOT_RUN_STATUSES
from data_path_fakes import FakeCaller
from detour_builders import CutRouter, a_cut_router
from forward_builders import (
    ForwardRouter,
    Upstream,
    a_stream,
    an_answer,
    an_instance,
    unsealed,
)

HOSTS: Final = ("e1", "e2", "e3", "s1", "s2", "s3")
ROUTES: Final = ("book", "quick", "read", "long")
ONCE: Final = ("book", "quick")
"""Routes whose requests may run once."""

N_CALLERS, N_EACH = 4, 6
"""Callers of one play, and requests of each."""

FAILED_STATUSES: Final = (400, 408, 421, 429, 500, 503, 504)


class RandomHost(Upstream):
    """Instance that runs requests or refuses them, and answers each at random."""

    def __init__(self, name: str, rng: random.Random) -> None:
        super().__init__([self.answer])
        self.runs: list[str] = []
        """Ids of the requests that it has run."""
        self._name = name
        self._rng = rng

    async def answer(self, stream: trio.abc.Stream) -> None:
        """Answer the request that was read last."""
        rng, headers = self._rng, self.requests[-1]
        if rng.random() < 0.3:
            await stream.send_all(self._refusal())
            return
        self.runs.append(headers["x-id"])
        await trio.sleep(rng.choice((0.0, 0.01, 0.3, 3.0)))
        kind = rng.choice(("good", "good", "failed", "failed", "cut", "closed", "mute"))
        if kind == "mute":
            await trio.sleep_forever()
        data = self._good() if kind in ("good", "cut") else b""
        if kind == "failed":
            data = self._failure()
        await stream.send_all(data[: len(data) // 2] if kind == "cut" else data)
        if kind in ("cut", "closed"):
            await stream.aclose()

    def _good(self) -> bytes:
        return a_stream(1, 3) if self._name.startswith("e") else an_answer()

    def _failure(self) -> bytes:
        rng = self._rng
        headers = {"x_instance": self._name} if rng.random() < 0.5 else {}
        if rng.random() < 0.5:
            headers["retry_after"] = "0.2"
        answer = an_answer(b"failed", rng.choice(FAILED_STATUSES), **headers)
        return unsealed(answer) if rng.random() < 0.3 else answer

    def _refusal(self) -> bytes:
        if self._rng.random() < 0.1:
            return an_answer(b"", 421, x_instance="x9")
        status = self._rng.choice(sorted(NOT_RUN_STATUSES))
        return an_answer(b"", status, x_not_run="1")


class RandomPlay:
    """Callers, faults of paths and a shutdown, all drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.hosts = {
            name: RandomHost(name, random.Random(f"{seed}.{name}")) for name in HOSTS
        }
        self.answers: dict[str, FakeCaller] = {}
        self.routes: dict[str, str] = {}

    async def run(self) -> None:
        budget = BudgetTerms(ratio=0.5, fixed=self._rng.choice((0.0, 3.0, 50.0)))
        async with a_cut_router(budget, **self.hosts) as cut:
            cut.direct.is_cut = False
            async with trio.open_nursery() as nursery:
                for number in range(N_CALLERS):
                    nursery.start_soon(self._call, cut.router, number)
                await self._disturb(cut)

    async def _call(self, router: ForwardRouter, number: int) -> None:
        rng = random.Random(self._rng.random())
        for call in range(N_EACH):
            request_id = f"q{number}.{call}"
            route = self.routes[request_id] = rng.choice(ROUTES)
            caller = self.answers[request_id] = router.a_caller(
                f"/{route}/7",
                x_id=request_id,
                x_prompt=f"a:100,{request_id}:50",
                x_deadline_s=str(rng.choice((0.3, 1.5, 5.0))),
            )
            await router.serve(caller)
            await trio.sleep(rng.uniform(0.0, 0.3))

    async def _disturb(self, cut: CutRouter) -> None:
        """Cut paths and take instances out for a time, and cut requests at the end."""
        rng = self._rng
        for _ in range(rng.randint(0, 3)):
            await trio.sleep(rng.uniform(0.0, 1.0))
            cut.direct.is_cut, cut.direct.hangs = rng.random() < 0.5, rng.random() < 0.5
            names = rng.sample(HOSTS, rng.randint(3, len(HOSTS)))
            listed = [
                an_instance(name, "llm" if name.startswith("e") else "app")
                for name in names
            ]
            cut.router.list_instances(*listed, revision=30 + len(self.answers))
        if rng.random() < 0.5:
            await trio.sleep(rng.uniform(0.0, 2.0))
            cut.router.exchanges.cut()

    def faults(self) -> list[str]:
        """Return what callers were told wrongly, and what ran more than once."""
        runs = Counter(run for host in self.hosts.values() for run in host.runs)
        found = []
        for request_id, caller in self.answers.items():
            if self.routes[request_id] not in ONCE:
                continue
            if runs[request_id] > 1:
                found.append(f"{request_id} has run {runs[request_id]} times")
            if runs[request_id] and caller.status in NOT_RUN_STATUSES:
                found.append(f"{request_id} has run and got {caller.status}")
        return found
