"""Tests of load reads and load gossip between routers."""

from __future__ import annotations

import math
import random
from collections import Counter

import httpx
import trio

from corianderlb_core.codec import to_json
from corianderlb_core.identity import InstanceRecord, Presence, Role
from corianderlb_core.load import LoadReport
from corianderlb_core.load_vector import LoadSample, digest_names, pack, unpack
from corianderlb_core.message import LoadVector, MemberState, UpstreamLeaving
from corianderlb_core.placement_registry import make_policy
from corianderlb_core.settings import PlacementSettings
from corianderlb_router.interface import PeerNetwork
from corianderlb_router.load_gossip import LoadGossip
from corianderlb_router.store import InstanceList
from corianderlb_router.upstream_directory import PlatformDirectory
from corianderlb_router.upstream_reader import UpstreamReader
from corianderlb_standins.trio_case import TrioTestCase

CFG = PlacementSettings()

ODD_NUMBERS = (
    {"queued_prefill_s": math.inf},
    {"queued_prefill_s": math.nan},
    {"queued_prefill_s": 1e308},
    {"n_running": -5},
    {"n_queued": 10**400},
    {"epoch": 10**400},
    {"epoch": -3},
)


class FakePeers(PeerNetwork):
    """In-memory peer network that queues broadcasts for all other routers."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.handlers = {}
        self.waiting = []

    def subscribe(self, cls, handler):
        self.handlers[cls] = handler

    def send(self, peer, message):
        raise NotImplementedError

    def broadcast(self, message):
        others = [peers for peers in self.fleet.peers if peers is not self]
        for peers in others:
            peers.waiting.append((self.name, message))
        return len(others)

    def members(self):
        return self.fleet.members

    async def deliver(self):
        """Handle the queued messages."""
        waiting, self.waiting = self.waiting, []
        for sender, message in waiting:
            await self.handlers[type(message)](sender, message)


class FakeClient:
    """Client that answers load requests; instances without a report are down."""

    def __init__(self) -> None:
        self.reports = {}
        self.n_requests = Counter()

    async def get(self, address, path, timeouts):
        self.n_requests[address] += 1
        if address not in self.reports:
            raise httpx.ConnectError("down")
        return httpx.Response(200, content=to_json(self.reports[address]))


class Router:
    """The directory, reader and gossip of one router."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        rng = random.Random(name)
        self.peers = FakePeers(fleet, name)
        self.directory = PlatformDirectory(self.peers.broadcast)
        self.peers.subscribe(UpstreamLeaving, self.directory.on_upstream_leaving)
        self.reader = UpstreamReader(
            name, "pnw", self.directory, self.peers, fleet.client, CFG, rng
        )
        policy = make_policy(CFG, rng)
        self.gossip = LoadGossip("pnw", self.directory, self.peers, policy, CFG, rng)

    def report(self, instance: str) -> LoadReport | None:
        return self.directory.find(instance).report

    def usable(self) -> list[str]:
        found = self.directory.usable("ember-llm").instances
        return [load.incarnation.instance for load in found]


class Fleet:
    """Several routers that share the same upstream instances."""

    def __init__(self, n_routers: int, n_instances: int) -> None:
        self.client = FakeClient()
        self.peers = []
        self.members = []
        self.names = [f"e{i:03}" for i in range(n_instances)]
        names = [f"r{i}" for i in range(n_routers)]
        self.routers = [Router(self, name) for name in names]
        self.peers = [router.peers for router in self.routers]
        self.members = [
            MemberState(name, 1, 1, Presence.LIVE, "z1", "pnw", "", "", 0)
            for name in names
        ]
        for router in self.routers:
            self.list_instances(router, 1)

    def list_instances(self, router: Router, revision: int) -> None:
        records = [
            InstanceRecord(n, Role.UPSTREAM, "z1", "pnw", n, upstream="ember-llm")
            for n in self.names
        ]
        router.directory.apply_instance_list(InstanceList(revision, tuple(records)))

    async def read(self) -> None:
        """Have each router read its assigned instances once."""
        for router in self.routers:
            await router.reader.read(router.reader.assigned_instances())

    async def gossip(self) -> None:
        """Have each router send once, and deliver all messages that result."""
        for router in self.routers:
            router.gossip.send()
        while any(peers.waiting for peers in self.peers):
            for peers in self.peers:
                await peers.deliver()


class TestLoadSharing(TrioTestCase):
    """All routers learn the loads, although each reads only some instances."""

    async def test_each_instance_has_one_reader(self):
        """When a router fails, the others take over the reads of its instances."""
        fleet = Fleet(4, 20)
        await fleet.read()
        self.assertEqual(set(fleet.client.n_requests.values()), {1})
        self.assertEqual(len(fleet.client.n_requests), 20)
        del fleet.members[0], fleet.routers[0]
        fleet.client.n_requests.clear()
        await fleet.read()
        self.assertEqual(len(fleet.client.n_requests), 20)

    async def test_loads_reach_all_routers(self):
        """A load read by one router reaches the others, with its age."""
        fleet = Fleet(3, 5)
        for name in fleet.names:
            fleet.client.reports[name] = LoadReport(2, 3, 4, queued_prefill_s=0.7)
        await fleet.read()
        await fleet.gossip()
        for router in fleet.routers:
            report = router.report("e003")
            self.assertEqual(report.n_running + report.n_queued, 7)
            self.assertAlmostEqual(report.queued_prefill_s, 0.7, delta=0.03)

    async def test_forwarded_reports_keep_their_age(self):
        """Guard against forwarding making the load of an unresponsive engine newer."""
        for n_instances in (5, 150):
            fleet = Fleet(3, n_instances)
            for name in fleet.names:
                fleet.client.reports[name] = LoadReport(2, queued_prefill_s=0.2)
            read_at = trio.current_time()
            await fleet.read()
            for _ in range(60):
                await fleet.gossip()
                for router in fleet.routers:
                    found = router.directory.find("e001")
                    self.assertLessEqual(found.reported_at, read_at)
                await trio.sleep(0.47)

    async def test_load_of_another_incarnation_is_ignored(self):
        """Guard against a load vector from before a restart being applied after it."""
        fleet = Fleet(2, 1)
        router = fleet.routers[0]
        router.directory.observe_epoch("e000", 5)
        packed = pack([LoadSample(4, 9.0, 30, 0.1)])
        vector = LoadVector(digest_names(["e000"]), packed)
        await router.gossip.on_load_vector("r1", vector)
        self.assertIsNone(router.report("e000"))

    async def test_vector_over_another_list_is_ignored(self):
        """Guard against a vector's entries being applied to the wrong instances."""
        fleet = Fleet(2, 3)
        fleet.names[0] = "e009"
        fleet.list_instances(fleet.routers[0], 2)
        for name in fleet.names:
            fleet.client.reports[name] = LoadReport(2, n_running=int(name[1:]))
        await fleet.routers[0].reader.read(fleet.routers[0].reader.assigned_instances())
        await fleet.gossip()
        self.assertEqual(fleet.routers[1].gossip.n_unfit, 1)
        self.assertIsNone(fleet.routers[1].report("e001"))

    async def test_new_incarnation_is_announced_to_all_routers(self):
        """An engine restarts and one router sees the new epoch in an answer."""
        fleet = Fleet(3, 2)
        for router in fleet.routers:
            router.directory.observe_epoch("e001", 1)
        fleet.routers[0].directory.observe_epoch("e001", 2)
        await fleet.gossip()
        for router in fleet.routers:
            self.assertEqual(router.directory.find("e001").epoch, 2)

    async def test_leaving_instance_is_unusable_on_all_routers(self):
        """Guard against requests to a leaving engine that is still listed as live."""
        fleet = Fleet(3, 4)
        for name in fleet.names:
            fleet.client.reports[name] = LoadReport(2)
        await fleet.read()
        fleet.client.reports["e002"] = LoadReport(2, leaving=True)
        async with trio.open_nursery() as nursery:
            for router in fleet.routers:
                nursery.start_soon(router.reader.run)
            await trio.sleep(4.0)
            await fleet.gossip()
            nursery.cancel_scope.cancel()
        for router in fleet.routers:
            fleet.list_instances(router, 5)
            self.assertEqual(router.usable(), ["e000", "e001", "e003"])

    async def test_failed_read_does_not_retire_an_instance(self):
        """A failed load read leaves an instance usable and other reports unaffected."""
        fleet = Fleet(1, 2)
        fleet.client.reports["e000"] = LoadReport(2, n_running=1)
        await fleet.read()
        self.assertEqual(fleet.routers[0].reader.n_failures, 1)
        self.assertEqual(fleet.routers[0].report("e000").n_running, 1)
        self.assertEqual(fleet.routers[0].usable(), ["e000", "e001"])

    async def test_report_of_impossible_numbers(self):
        """Guards against a report that ends the router which tells its peers of it."""
        for odd in ODD_NUMBERS:
            fleet = Fleet(2, 2)
            for name in fleet.names:
                fleet.client.reports[name] = LoadReport(2, n_running=1)
            fleet.client.reports["e000"] = LoadReport(**{"epoch": 2, **odd})
            with self.subTest(odd):
                await fleet.read()
                await fleet.gossip()
                for router in fleet.routers:
                    self.assertEqual(router.usable(), ["e000", "e001"])
                    self.assertEqual(router.report("e001").n_running, 1)

    async def test_traffic_stays_within_the_byte_budget(self):
        """Gossip and reads stay within their budgets with 465 instances per region."""
        fleet = Fleet(7, 465)
        for name in fleet.names:
            fleet.client.reports[name] = LoadReport(2, 3, 4, 0.4)
        router = fleet.routers[0]
        await fleet.read()
        with trio.move_on_after(60):
            await router.gossip.run()
        self.assertLess(router.gossip.n_bytes / 60, 1.15 * CFG.gossip_budget)
        self.assertAlmostEqual(router.reader.interval_s(3), 1.8)


class TestLoadVector(TrioTestCase):
    """A load vector keeps waits and ages, and never makes a load look newer."""

    def test_round_trip(self):
        for n in (3, 200):
            samples = [LoadSample(5, 0.5, 0, 1.0), None, LoadSample(6, 0.0, 0, 9.0)]
            samples += [None] * (n - 3)
            found = unpack(pack(samples), n)
            self.assertAlmostEqual(found[0].wait_s, 0.5, delta=0.02)
            self.assertGreaterEqual(found[0].age_s, 1.0)
            self.assertIsNone(found[1])
            self.assertEqual(found[2].epoch_low_bits, 6)
            self.assertGreaterEqual(found[2].age_s, 9.0)
            self.assertIsNone(unpack(pack(samples) + b"x", n))
