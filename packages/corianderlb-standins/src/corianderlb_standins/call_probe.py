"""Probes of the cost of admission, grants and journal writes.

The journal probe counts writes to an in-memory store with a fixed latency. It does not
measure the speed of the platform's store.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from typing import ClassVar, Final

import trio

from corianderlb_core.catalogue import Catalogue, Limits
from corianderlb_core.grant import GrantTerms, PrimaryLedger
from corianderlb_core.identity import AccountId, InstanceId
from corianderlb_core.message import GrantRequest, decode, encode
from corianderlb_core.settings import JournalSettings
from corianderlb_router.call_journal import StoreCallJournal
from corianderlb_router.interface import (
    BegunCall,
    CallAnswer,
    CatalogueInForce,
    CatalogueSource,
    Slot,
)
from corianderlb_router.limiter import Limiter
from corianderlb_router.upstream_directory import PlatformDirectory

from .builder import a_catalogue, an_account, some_facts
from .fake_network import FakeHub
from .fake_store import FakeStore
from .slope import Probe

ROUNDS: Final = 5
"""Number of rounds; the fastest is reported."""

N_CALLS: Final = 2000
"""Admissions per round."""

US_PER_S: Final = 1e6
"""Microseconds per second."""

STORE_DELAY_S: Final = 0.005
"""Latency of the in-memory store."""

N_ROUTERS: Final = 4
"""Routers that write to the journal concurrently."""

UNREACHED_LIMITS: Final = Limits(
    requests_per_s=1e6, concurrent=100_000, tokens_per_s=1e9
)
"""Limits that are enforced but never reached."""


class _FixedCatalogue(CatalogueSource):
    def __init__(self, catalogue: Catalogue) -> None:
        self._in_force = CatalogueInForce(catalogue, "", 0.0)

    def current(self) -> CatalogueInForce:
        return self._in_force


class AdmissionProbe(Probe):
    """CPU time of one admission and release, with limits for each account."""

    name: ClassVar[str] = "admission decision"
    x_unit: ClassVar[str] = "client accounts"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (8, 220)

    async def measure(self, size: int) -> float:
        """Return the CPU time of one admission in microseconds."""
        accounts = [
            an_account(f"account-{n}", limits=UNREACHED_LIMITS) for n in range(size)
        ]
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            limiter = Limiter(
                InstanceId("r1"),
                _FixedCatalogue(a_catalogue(*accounts)),
                PlatformDirectory(),
                hub.join("r1"),
            )
            nursery.start_soon(limiter.run)
            names = [AccountId(account.name) for account in accounts]
            best = min(
                [await self._measure_round(limiter, names) for _ in range(ROUNDS)]
            )
            nursery.cancel_scope.cancel()
        return best

    async def _measure_round(self, limiter: Limiter, names: list[AccountId]) -> float:
        deadline = trio.current_time() + 60.0
        requests = [
            some_facts(account=names[n % len(names)], deadline=deadline)
            for n in range(N_CALLS)
        ]
        for facts in requests[: len(names)]:
            await self._admit(limiter, facts)
        started = time.process_time()
        for facts in requests:
            await self._admit(limiter, facts)
        return (time.process_time() - started) / N_CALLS * US_PER_S

    async def _admit(self, limiter: Limiter, facts: object) -> None:
        slot = await limiter.admit(facts)  # type: ignore[arg-type]
        if isinstance(slot, Slot):
            slot.release(0)


class GrantProbe(Probe):
    """CPU time of one grant on an entry's primary router, messages included."""

    name: ClassVar[str] = "grant by an account's home"
    x_unit: ClassVar[str] = "asking routers"
    y_unit: ClassVar[str] = "us"
    sizes: ClassVar[tuple[int, ...]] = (4, 100, 410)

    async def measure(self, size: int) -> float:
        """Return the CPU time of one grant in microseconds."""
        ledger = PrimaryLedger(UNREACHED_LIMITS, GrantTerms(), 0.0)
        requests = [
            GrantRequest(
                "account/northwest-charcoal", InstanceId(f"r{n}"), 10.0, 1e4, 8, 4
            )
            for n in range(size)
        ]
        frames = [encode(request) for request in requests]
        best = float("inf")
        for _ in range(ROUNDS):
            started = time.process_time()
            for frame in frames:
                encode(ledger.grant(decode(frame), 0.0))  # type: ignore[arg-type]
            best = min(best, time.process_time() - started)
        return best / size * US_PER_S


class JournalWritesProbe(Probe):
    """Store writes per call, by the number of concurrent calls."""

    name: ClassVar[str] = "journal writes for a call"
    x_unit: ClassVar[str] = "calls at once, over 4 routers"
    y_unit: ClassVar[str] = "writes"
    sizes: ClassVar[tuple[int, ...]] = (1, 10, 100)

    async def measure(self, size: int) -> float:
        """Return the writes per call, conflicts included."""
        store = FakeStore()
        store.faults.delay_s = STORE_DELAY_S
        journals = [
            StoreCallJournal(
                store, InstanceId(f"r{n}"), 1, JournalSettings(), rng=random.Random(n)
            )
            for n in range(N_ROUTERS)
        ]
        n_calls = max(20, size * 3)
        async with trio.open_nursery() as nursery:
            for journal in journals:
                nursery.start_soon(journal.run)
            keys = iter(range(n_calls))
            async with trio.open_nursery() as callers:
                for n in range(size):
                    journal = journals[n % N_ROUTERS]
                    callers.start_soon(self._call, journal, keys)
            nursery.cancel_scope.cancel()
        return (store.calls["create"] + store.calls["update"]) / n_calls

    async def _call(self, journal: StoreCallJournal, keys: Iterator[int]) -> None:
        for key in keys:
            facts = some_facts(deadline=trio.current_time() + 30.0)
            call = await journal.begin(facts, f"key-{key}")
            assert isinstance(call, BegunCall)
            await journal.finish(call, CallAnswer(201, (), b"booked"))


CALL_PROBES: Final[tuple[Probe, ...]] = (
    AdmissionProbe(),
    GrantProbe(),
    JournalWritesProbe(),
)
"""All probes of this module; they run within this process."""
