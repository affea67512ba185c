"""Tests of the records of streams that a fleet writes while several versions serve."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterator

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.stream_origin import stream_key
from corianderlb_router.store import StoreUnavailableError
from corianderlb_router.stream_origins import StreamOrigins
from corianderlb_router.stream_records import StreamRecords
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import ForwardRouter, UpstreamNetwork, a_router_in
from test_stream_origins import list_versions

N_ROUTERS = 63
"""A large fleet, whose routers may write seldom."""

LENGTH_S = 12.0
"""Time for which the routers begin streams."""


class RecordedFleet:
    """Routers that record their streams, until all of them are killed at once."""

    def __init__(self, streams_per_s: float, seed: int) -> None:
        self.store = FakeStore()
        self.n_writes: Counter[int] = Counter()
        """Writes in each second."""
        self.first_events: dict[bytes, float] = {}
        self.fails_from = math.inf
        """From then on, the next write of each router fails."""
        self._failed: set[str] = set()
        self.store.before_write = self._count
        self._streams_per_s = streams_per_s
        self._rng = random.Random(seed)

    async def _count(self, key: str) -> None:
        self.n_writes[int(trio.current_time())] += 1
        if trio.current_time() >= self.fails_from and key not in self._failed:
            self._failed.add(key)
            raise StoreUnavailableError("the next write of each router fails")

    async def run(self) -> None:
        """Begin streams at all routers; return when these are killed."""
        async with trio.open_nursery() as nursery:
            network = UpstreamNetwork(nursery, {})
            fleet = []
            for number in range(N_ROUTERS):
                router = a_router_in(network, name=f"r{number}")
                list_versions(router, e1="v1", e2="v2")
                records = StreamRecords(
                    self.store,
                    InstanceId(f"r{number}"),
                    lambda: N_ROUTERS,
                    self._rng,
                )
                origins = StreamOrigins(router.state, router.peers, records=records)
                nursery.start_soon(origins.run)
                fleet.append((router, origins))
            for number, gap_s in enumerate(self._gaps()):
                await trio.sleep(gap_s)
                self._begin(stream_key("acme", f"s{number}"), *self._rng.choice(fleet))
            nursery.cancel_scope.cancel()

    def _gaps(self) -> Iterator[float]:
        at = 0.0
        while at < LENGTH_S:
            gap_s = self._rng.expovariate(self._streams_per_s)
            at += gap_s
            yield gap_s

    def _begin(self, key: bytes, router: ForwardRouter, origins: StreamOrigins) -> None:
        engine = self._rng.choice(list(router.state.all_instances()))
        route = next(r for r in router.state.configuration.routes if r.may_resume)
        origins.began(key, engine, route)
        origins.first_event(key)
        self.first_events[key] = trio.current_time()

    async def share_found(self, oldest_s: float, newest_s: float) -> float:
        """Return the share of the streams of some age that a new router finds."""
        now = trio.current_time()
        reader = StreamRecords(self.store, InstanceId("new"), lambda: 1, self._rng)
        found = [
            await reader.find(key) is not None or reader.find_unsettled(key) is not None
            for key, began_at in self.first_events.items()
            if now - oldest_s < began_at <= now - newest_s
        ]
        return sum(found) / len(found)


class FleetKilledTest(TrioTestCase):
    async def test_failed_write_is_repeated(self) -> None:
        """Guards against a stream that waits for the next one after a failed write."""
        fleet = RecordedFleet(streams_per_s=10.0, seed=1)
        fleet.fails_from = LENGTH_S - 1.5
        await fleet.run()
        self.assertGreater(await fleet.share_found(1.5, 0.5), 0.9)

    async def test_streams_of_the_last_seconds_are_recorded(self) -> None:
        """Guards against streams that are refused since a large fleet records late."""
        shares = []
        for seed in range(3):
            fleet = RecordedFleet(streams_per_s=36.0, seed=seed)
            await fleet.run()
            shares.append(await fleet.share_found(2.5, 0.1))
            self.assertLess(sum(fleet.n_writes.values()) / LENGTH_S, 60)
        self.assertGreater(sum(shares) / len(shares), 0.9, shares)

    async def test_busy_fleet_spares_the_store(self) -> None:
        """Guards against a write for each stream, which no store bears."""
        fleet = RecordedFleet(streams_per_s=600.0, seed=1)
        await fleet.run()
        self.assertLess(sum(fleet.n_writes.values()) / LENGTH_S, 90)
        self.assertLess(max(fleet.n_writes.values()), 200)
        self.assertGreater(await fleet.share_found(5.0, 2.5), 0.99)
