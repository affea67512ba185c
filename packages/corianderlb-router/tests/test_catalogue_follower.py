"""Changes are in force on all routers within seconds and are never reverted."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio

from corianderlb_core.edit import Edit
from corianderlb_core.identity import InstanceId, InstanceRecord, Presence, Role
from corianderlb_core.message import Heartbeat, MemberState
from corianderlb_core.settings import PeerSettings
from corianderlb_router.catalogue_editor import CatalogueEditor
from corianderlb_router.catalogue_follower import CatalogueFollower
from corianderlb_router.catalogue_reader import CatalogueReader
from corianderlb_router.peer_network import OverlayNetwork
from corianderlb_router.store import InstanceList, ObjectStore, StoreUnavailableError
from corianderlb_standins.builder import an_upstream
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.memory_transport import MemoryFabric
from corianderlb_standins.trio_case import TrioTestCase

IN_FORCE_S = 13.0
"""Longest seconds from acceptance until a change is in force on all routers."""


class BlockableStore(ObjectStore):
    """Forwards the calls of one router to a store while ``is_reachable()``."""

    def __init__(self, store: FakeStore, is_reachable: Callable[[], bool]) -> None:
        self.store = store
        self.is_reachable = is_reachable

    async def call_if_open(self, name: str, *args: Any) -> Any:
        if not self.is_reachable():
            self.store.calls[name] += 1
            await trio.sleep(0.01)
            raise StoreUnavailableError("blocked")
        return await getattr(self.store, name)(*args)

    async def get(self, key):
        return await self.call_if_open("get", key)

    async def list(self, prefix, after="", limit=1000):
        return await self.call_if_open("list", prefix, after, limit)

    async def create(self, key, value):
        return await self.call_if_open("create", key, value)

    async def update(self, key, value, version):
        return await self.call_if_open("update", key, value, version)

    async def delete(self, key, version):
        return await self.call_if_open("delete", key, version)

    async def watch(self, prefix, revision, timeout_s):
        return await self.call_if_open("watch", prefix, revision, timeout_s)

    async def instances(self):
        return await self.call_if_open("instances")


class Router:
    """The components of one router that follow the catalogue."""

    def __init__(self, fleet: Fleet, record: InstanceRecord, epoch: int) -> None:
        rng = random.Random(f"{record.instance}{epoch}")
        own = MemberState(
            instance=record.instance,
            epoch=epoch,
            heartbeat=0,
            presence=Presence.LIVE,
            zone=record.zone,
            region=record.region,
            address="",
            peer_address=record.peer_address,
            catalogue_version=0,
        )
        transport = fleet.fabric.transport(record.peer_address)
        cfg = PeerSettings("unused")
        self.peers = OverlayNetwork(own, b"k", transport, cfg, rng)
        self.follower = CatalogueFollower(self.peers)
        self.peers.version = lambda: (self.follower.version, "")
        self.store = BlockableStore(
            fleet.store, lambda: record.instance in fleet.reachable
        )
        self.reader = CatalogueReader(
            self.store, self.follower, self.peers, record.instance, record.zone, rng
        )
        self.scope = trio.CancelScope()
        self.versions: list[int] = []

    async def run(self, records: list[InstanceRecord]) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.peers.run)
                self.peers.merge_list(InstanceList(1, tuple(records)))
                nursery.start_soon(self.reader.run)
                while True:
                    await self.follower.wait_changed()
                    self.versions.append(self.follower.version)


class Fleet:
    """Routers that share one store and one network."""

    def __init__(self, n_routers: int) -> None:
        self.fabric = MemoryFabric()
        self.store = FakeStore()
        self.store.faults.delay_s = 0.005
        names = [InstanceId(f"r{i:02d}") for i in range(n_routers)]
        self.reachable = set(names)
        self.records = [
            InstanceRecord(
                name, Role.ROUTER, f"z{i % 3}", "pnw", "", peer_address=str(name)
            )
            for i, name in enumerate(names)
        ]
        self.routers: dict[str, Router] = {}
        self.nursery: trio.Nursery | None = None

    def start(self, *names: str, epoch: int = 1) -> None:
        for record in self.records:
            if record.instance in names or not names:
                router = Router(self, record, epoch)
                self.routers[record.instance] = router
                self.nursery.start_soon(router.run, self.records)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Fleet]:
        async with trio.open_nursery() as self.nursery:
            yield self
            self.nursery.cancel_scope.cancel()

    async def edit(self, version: int) -> None:
        name = f"u{version}"
        edit = Edit(name, version - 1, "ann", "why", (an_upstream(name),))
        await CatalogueEditor(self.store).accept(edit)

    def versions(self) -> set[int]:
        return {router.follower.version for router in self.routers.values()}

    async def seconds_until(self, version: int) -> float:
        start = trio.current_time()
        with trio.fail_after(60):
            while self.versions() != {version}:
                await trio.sleep(0.05)
        return trio.current_time() - start

    def disconnect(self, name: str) -> None:
        self.reachable.discard(name)
        self.fabric.passes = lambda a, b: name not in (a, b)


class FollowerTest(TrioTestCase):
    async def test_store_reachable_by_single_router(self) -> None:
        """Guards against 15 of 16 routers that keep an old catalogue."""
        async with Fleet(16).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            await trio.sleep(15)
            for version, name in enumerate(["r03", "r11", "r15"], start=2):
                fleet.reachable = {InstanceId(name)}
                await fleet.edit(version)
                self.assertLess(await fleet.seconds_until(version), IN_FORCE_S)

    async def test_store_fails_after_acceptance(self) -> None:
        """The store fails for all routers after one of them has read the change."""
        async with Fleet(4).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            await trio.sleep(5)
            await fleet.edit(2)
            while 2 not in fleet.versions():
                await trio.sleep(0.001)
            fleet.store.faults.unavailable = True
            self.assertLess(await fleet.seconds_until(2), 2.0)

    async def test_version_never_decreases(self) -> None:
        """Routers restart and lose their connections during a series of edits."""
        rng = random.Random(11)
        async with Fleet(5).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            for version in range(2, 30):
                await fleet.edit(version)
                name = f"r{rng.randrange(5):02d}"
                if rng.random() < 0.5:
                    fleet.routers[name].scope.cancel()
                    fleet.start(name, epoch=version)
                else:
                    fleet.disconnect(name)
                await trio.sleep(rng.uniform(0.1, 5))
                fleet.fabric.passes = lambda a, b: True
                fleet.reachable = {record.instance for record in fleet.records}
            self.assertLess(await fleet.seconds_until(29), IN_FORCE_S)
            for router in fleet.routers.values():
                self.assertEqual(router.versions, sorted(set(router.versions)))

    async def test_start_during_outage(self) -> None:
        """A router restarted during an outage gets the catalogue from its peers."""
        async with Fleet(4).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            fleet.store.faults.unavailable = True
            fleet.routers["r02"].scope.cancel()
            fleet.start("r02", epoch=2)
            self.assertLess(await fleet.seconds_until(1), 2.0)

    async def test_start_with_slow_store(self) -> None:
        async with Fleet(4).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            fleet.store.faults.delay_s = 30.0
            fleet.routers["r02"].scope.cancel()
            fleet.start("r02", epoch=2)
            self.assertLess(await fleet.seconds_until(1), 2.0)

    async def test_herd_start_reads_little(self) -> None:
        """Guards against a thundering herd of full reads when all routers start."""
        async with Fleet(16).running() as fleet:
            for version in range(1, 71):
                await fleet.edit(version)
            fleet.store.calls.clear()
            fleet.start()
            self.assertLess(await fleet.seconds_until(70), 2.0)
            n_full = sum(r.reader.counters.n_full_reads for r in fleet.routers.values())
            self.assertLessEqual(n_full, 2)

    async def test_start_without_store_and_peers_waits(self) -> None:
        async with Fleet(4).running() as fleet:
            await fleet.edit(1)
            fleet.disconnect("r02")
            fleet.start("r02")
            await trio.sleep(30)
            self.assertIsNone(fleet.routers["r02"].follower.current())
            fleet.reachable.add(InstanceId("r02"))
            self.assertLess(await fleet.seconds_until(1), 8.0)

    async def test_cut_off_router_refuses(self) -> None:
        """Guards against admitting removed accounts without store and peers."""
        async with Fleet(4).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            await trio.sleep(5)
            disconnected = fleet.routers["r02"].follower
            fleet.disconnect("r02")
            await fleet.edit(2)
            await trio.sleep(IN_FORCE_S)
            self.assertTrue(disconnected.is_stale())
            self.assertFalse(fleet.routers["r01"].follower.is_stale())
            await trio.sleep(700)
            self.assertTrue(disconnected.is_stale())
            fleet.fabric.passes = lambda a, b: True
            await fleet.seconds_until(2)
            self.assertFalse(disconnected.is_stale())

    async def test_heartbeat_from_before_pause_does_not_confirm(self) -> None:
        """Guards against confirmation by heartbeats that were buffered in a pause."""
        async with Fleet(2).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            await trio.sleep(5)
            peers = fleet.routers["r01"].peers
            resumed = fleet.routers["r01"].follower
            before = next(m for m in peers.members() if m.instance == "r01").heartbeat
            self.assertIsNotNone(peers.heartbeat_sent_at(before))
            fleet.disconnect("r01")
            await trio.sleep(IN_FORCE_S)
            self.assertTrue(resumed.is_stale())
            beat = Heartbeat(1000, catalogue_version=1, echo=before)
            await resumed.on_heartbeat(InstanceId("r00"), beat)
            self.assertTrue(resumed.is_stale())

    async def test_routers_stay_fresh_during_store_outage(self) -> None:
        """Guards against refusals by connected routers during a store outage."""
        async with Fleet(3).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            fleet.store.faults.unavailable = True
            for _ in range(60):
                await trio.sleep(10)
                for router in fleet.routers.values():
                    self.assertFalse(router.follower.is_stale())

    async def test_stale_catalogue_is_not_forwarded(self) -> None:
        """Guards against two disconnected routers that confirm an old catalogue.

        The starting router reaches only one peer, which is itself disconnected.
        """
        async with Fleet(4).running() as fleet:
            await fleet.edit(1)
            fleet.start("r00", "r01", "r03")
            await fleet.seconds_until(1)
            fleet.disconnect("r01")
            await fleet.edit(2)
            await trio.sleep(20)
            pair = ("r01", "r02")
            fleet.reachable.discard(InstanceId("r02"))
            fleet.fabric.passes = lambda a, b: (a in pair) == (b in pair)
            fleet.start("r02")
            await trio.sleep(30)
            self.assertIsNone(fleet.routers["r02"].follower.current())
            self.assertTrue(fleet.routers["r01"].follower.is_stale())

    async def test_snapshot_limits_reads_at_start(self) -> None:
        async with Fleet(3).running() as fleet:
            await fleet.edit(1)
            fleet.start()
            await fleet.seconds_until(1)
            for version in range(2, 171):
                await fleet.edit(version)
            await fleet.seconds_until(170)
            await trio.sleep(5)
            kept = [key for key in fleet.store.objects if key.startswith("snapshots/")]
            self.assertEqual(len(kept), 4)
            for router in fleet.routers.values():
                router.scope.cancel()
            await trio.sleep(1)
            fleet.store.calls.clear()
            fleet.start("r00", epoch=2)
            await trio.sleep(4)
            self.assertEqual(fleet.routers["r00"].follower.version, 170)
            self.assertLess(fleet.store.calls["get"], 32 + 3)
