"""Routers join by few links, prove a key, and find each other again."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from corianderlb_core.identity import InstanceId, InstanceRecord, Presence, Role
from corianderlb_core.message import CrashReport, MemberState, UpstreamLeaving, encode
from corianderlb_core.settings import PeerSettings
from corianderlb_router._handshake import PeerIdentity, introduce
from corianderlb_router._websocket_transport import WebSocketTransport
from corianderlb_router.peer_link import LinkClosedError
from corianderlb_router.peer_network import OverlayNetwork
from corianderlb_router.store import InstanceList
from corianderlb_standins.memory_transport import MemoryFabric
from corianderlb_standins.trio_case import RealTimeTestCase, TrioTestCase

KEY = b"k" * 32
REGIONS = ("pnw", "trondelag")


class Fleet:
    """Run routers of one test; each knows the others from the platform's list."""

    def __init__(
        self, n_routers: int, n_zones: int = 3, listed: bool = True, **tuning: float
    ) -> None:
        self.cfg = PeerSettings("unused", **tuning)
        self.listed = listed
        self.fabric = MemoryFabric()
        self.scopes: dict[str, trio.CancelScope] = {}
        self.records = [self.record(f"r{i:02d}", i, n_zones) for i in range(n_routers)]
        self.networks = {
            record.instance: self.network(record, epoch=1) for record in self.records
        }

    def record(self, name: str, i: int, n_zones: int) -> InstanceRecord:
        zone = i % n_zones
        return InstanceRecord(
            InstanceId(name),
            Role.ROUTER,
            zone=f"z{zone}",
            region=REGIONS[zone % 2],
            address=f"http-{name}",
            peer_address=name,
        )

    def network(
        self, record: InstanceRecord, epoch: int, key: bytes = KEY
    ) -> OverlayNetwork:
        own = MemberState(
            instance=record.instance,
            epoch=epoch,
            heartbeat=0,
            presence=Presence.LIVE,
            zone=record.zone,
            region=record.region,
            address=record.address,
            peer_address=record.peer_address,
            catalogue_version=0,
        )
        transport = self.fabric.transport(record.peer_address)
        rng = random.Random(f"{record.instance}{epoch}")
        made = OverlayNetwork(own, key, transport, self.cfg, rng)
        if self.listed:
            made.take_list(InstanceList(1, tuple(self.records)))
        return made

    async def run_one(self, name: str) -> None:
        with trio.CancelScope() as self.scopes[name]:
            await self.networks[name].run()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[trio.Nursery]:
        async with trio.open_nursery() as nursery:
            for name in self.networks:
                nursery.start_soon(self.run_one, name)
            yield nursery
            nursery.cancel_scope.cancel()

    def members_of(self, name: str) -> list[str]:
        return [state.instance for state in self.networks[name].members()]

    def assert_all_know(self, case: TrioTestCase, names: list[str]) -> None:
        for name in names:
            case.assertEqual(self.members_of(name), names, name)


class PeerNetworkTest(TrioTestCase):
    async def test_four_routers_find_each_other(self) -> None:
        fleet = Fleet(4)
        async with fleet.running():
            await trio.sleep(3)
            fleet.assert_all_know(self, sorted(fleet.networks))
            counters = [network.counters for network in fleet.networks.values()]
            for network in fleet.networks.values():
                self.assertEqual(len(network.linked()), 3)
            n_in = sum(count.n_bytes_in for count in counters)
            n_out = sum(count.n_bytes_out for count in counters)
            self.assertEqual(n_in, n_out)

    async def test_many_routers_keep_few_links(self) -> None:
        fleet = Fleet(24)
        async with fleet.running():
            await trio.sleep(15)
            fleet.assert_all_know(self, sorted(fleet.networks))
            links = [len(network.linked()) for network in fleet.networks.values()]
            self.assertLessEqual(sum(links) / len(links), 6.5)
            self.assertLess(max(links), 14)

    async def test_news_reaches_all(self) -> None:
        """An upstream instance leaves and one router of many hears of it.

        One hop reaches about six of them; the others would go on sending it new work,
        unless those who hear of it pass it on.
        """
        fleet = Fleet(24)
        heard: list[str] = []
        for name, network in fleet.networks.items():

            async def merge(sender: InstanceId, message: object, name=name) -> None:
                if name not in heard:
                    heard.append(name)
                    fleet.networks[name].broadcast(message)

            network.subscribe(UpstreamLeaving, merge)
        async with fleet.running():
            await trio.sleep(15)
            fleet.networks["r00"].broadcast(UpstreamLeaving(InstanceId("e1"), 7))
            await trio.sleep(1)
        self.assertEqual(sorted(heard), sorted(fleet.networks))

    async def test_news_in_a_full_mesh_cost_few_messages(self) -> None:
        # Every router has a link to every other. Had each of them told all others what
        # one told them all, a word would take 22 times as many messages, and routers
        # would have no time left for requests.
        fleet = Fleet(24, n_peers=32)
        heard = {"r00"}
        for name, network in fleet.networks.items():

            async def merge(sender: InstanceId, message: object, name=name) -> None:
                if name not in heard:
                    heard.add(name)
                    fleet.networks[name].forward_update(message)

            network.subscribe(UpstreamLeaving, merge)
        async with fleet.running():
            await trio.sleep(15)
            links = [len(network.linked()) for network in fleet.networks.values()]
            self.assertEqual(set(links), {23})
            before = sum(n.counters.n_messages_in for n in fleet.networks.values())
            fleet.networks["r00"].broadcast(UpstreamLeaving(InstanceId("u1"), 1))
            await trio.sleep(0.3)
            after = sum(n.counters.n_messages_in for n in fleet.networks.values())
            self.assertEqual(heard, set(fleet.networks))
            # Heartbeats of that time are among them.
            self.assertLessEqual(after - before, 23 + 4 * 23 + 24 * 23)

    async def test_news_of_late_reaches_a_new_link(self) -> None:
        """A router starts just after a crash was broadcast.

        Without word of it, the request that crashes engines gets one more try there.
        """
        fleet = Fleet(2)
        heard = []

        async def merge(sender: InstanceId, message: object) -> None:
            heard.append(message)

        fleet.networks["r01"].subscribe(CrashReport, merge)
        report = CrashReport("e1@7", (b"digest",))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run_one, "r00")
            await trio.sleep(1)
            fleet.networks["r00"].broadcast(report)
            nursery.start_soon(fleet.run_one, "r01")
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        self.assertEqual(heard, [report])

    async def test_stranger_cannot_join(self) -> None:
        """Someone on the network dials a router without the peer key."""
        fleet = Fleet(2)
        stranger = fleet.record("evil", 0, 1)
        fleet.networks["evil"] = fleet.network(stranger, 1, key=b"x" * 32)
        async with fleet.running():
            await trio.sleep(10)
            self.assertEqual(fleet.members_of("r00"), ["r00", "r01"])
            self.assertEqual(fleet.members_of("evil"), ["evil"])
            self.assertGreater(fleet.networks["r00"].counters.n_strangers, 0)

    async def test_silent_link_is_replaced(self) -> None:
        """A path between two routers loses track of their open connection.

        Sends still succeed, so without a timeout on silence the two would count each
        other as linked for good, and neither would hear of a new catalogue.
        """
        fleet = Fleet(2)
        async with fleet.running():
            await trio.sleep(3)
            for link in fleet.fabric.links:
                link.silent = True
            await trio.sleep(12)
            counters = fleet.networks["r00"].counters
            self.assertGreaterEqual(counters.n_links_silent, 1)
            self.assertEqual(fleet.networks["r00"].linked(), ("r01",))
            await trio.sleep(10)
            fleet.assert_all_know(self, ["r00", "r01"])

    async def test_malformed_frame_closes_the_link(self) -> None:
        """A router of a broken build sends bytes that are no message.

        They are dropped and counted, and the link is closed, so that nothing of what
        follows is misread.
        """
        fleet = Fleet(1)
        own = PeerIdentity(InstanceId("broken"), 1, "z0", "pnw")
        async with fleet.running():
            await trio.sleep(1)
            async with fleet.fabric.transport("broken").dial("r00") as link:
                sealed = await introduce(link, own, KEY)
                await sealed.receive()
                await sealed.send(b"\xff\xff")
                with self.assertRaises(LinkClosedError):
                    while True:
                        await sealed.receive()
            self.assertEqual(fleet.networks["r00"].counters.n_refused, 1)

    async def test_forged_frame_closes_the_link(self) -> None:
        """Someone between two routers adds a frame to their proved link."""
        fleet = Fleet(2)
        async with fleet.running():
            await trio.sleep(3)
            before = sum(n.counters.n_refused for n in fleet.networks.values())
            forged = encode(UpstreamLeaving(InstanceId("e1"), 7))
            link = next(link for link in fleet.fabric.links if link.is_open)
            await link.send(b"t" * 16 + forged)
            await trio.sleep(1)
            after = sum(n.counters.n_refused for n in fleet.networks.values())
            self.assertEqual(after - before, 1)

    async def test_crashed_router_is_missed_by_all(self) -> None:
        """A router of many dies without a word; its duties must move on."""
        fleet = Fleet(16)
        async with fleet.running():
            await trio.sleep(15)
            fleet.scopes["r05"].cancel()
            await trio.sleep(15)
            rest = sorted(set(fleet.networks) - {"r05"})
            fleet.assert_all_know(self, rest)

    async def test_restarted_router_is_a_new_life(self) -> None:
        fleet = Fleet(4)
        async with fleet.running() as nursery:
            await trio.sleep(5)
            fleet.scopes["r01"].cancel()
            await trio.sleep(0.1)
            fleet.networks["r01"] = fleet.network(fleet.records[1], epoch=2)
            nursery.start_soon(fleet.run_one, "r01")
            await trio.sleep(8)
            fleet.assert_all_know(self, sorted(fleet.networks))
            found = {s.instance: s.epoch for s in fleet.networks["r00"].members()}
            self.assertEqual(found["r01"], 2)

    async def test_start_without_the_list_finds_peers_by_seeds(self) -> None:
        """A replaced router starts while the platform cannot be asked for the list.

        It knows nobody, and those who run do not know its new address.
        """
        fleet = Fleet(4)
        newcomer = fleet.record("r99", 0, 1)
        fleet.listed, fleet.cfg = False, PeerSettings("unused", seeds=("r02", "gone"))
        fleet.networks["r99"] = fleet.network(newcomer, 1)
        async with fleet.running():
            await trio.sleep(6)
            fleet.assert_all_know(self, sorted(fleet.networks))

    async def test_leaving_router_is_told_and_stays_listed(self) -> None:
        fleet = Fleet(12)
        async with fleet.running():
            await trio.sleep(12)
            fleet.networks["r03"].announce_leaving()
            await trio.sleep(1)
            for network in fleet.networks.values():
                found = {s.instance: s.presence for s in network.members()}
                self.assertIs(found["r03"], Presence.LEAVING)

    async def test_regions_that_lost_each_other_for_an_hour(self) -> None:
        """All links between two regions are gone for an hour, then work again.

        Each region takes the other for dead. Without a try now and then at those taken
        for dead, the two would never find each other again.
        """
        fleet = Fleet(4, n_zones=4, heartbeat_s=4.0, silent_after_s=15.0)
        region = {record.peer_address: record.region for record in fleet.records}
        async with fleet.running():
            await trio.sleep(10)
            fleet.fabric.passes = lambda a, b: region[a] == region[b]
            await trio.sleep(3600)
            for name in REGIONS:
                here = [r.instance for r in fleet.records if r.region == name]
                fleet.assert_all_know(self, here)
            fleet.fabric.passes = lambda a, b: True
            await trio.sleep(60)
            fleet.assert_all_know(self, sorted(fleet.networks))


class WebSocketTest(RealTimeTestCase):
    async def test_link_over_websockets(self) -> None:
        fleet = Fleet(2, listed=False)
        heard = trio.Event()

        async def merge(sender: InstanceId, message: object) -> None:
            heard.set()

        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                networks = list(fleet.networks.values())
                records = []
                for network, record in zip(networks, fleet.records, strict=True):
                    network._transport = WebSocketTransport("127.0.0.1", 0)
                    address = await nursery.start(network.run)
                    records.append(
                        InstanceRecord(
                            record.instance,
                            Role.ROUTER,
                            record.zone,
                            record.region,
                            record.address,
                            peer_address=address,
                        )
                    )
                networks[1].subscribe(UpstreamLeaving, merge)
                for network in networks:
                    network.take_list(InstanceList(2, tuple(records)))
                while not networks[0].linked():
                    await trio.sleep(0.05)
                networks[0].broadcast(UpstreamLeaving(InstanceId("e1"), 7))
                await heard.wait()
                self.assertGreater(networks[1].counters.n_bytes_in, 0)
                nursery.cancel_scope.cancel()

    async def test_oversize_frame_is_refused(self) -> None:
        """A peer sends a frame above the limit; it must not fill the memory."""
        fleet = Fleet(1)
        network = fleet.networks["r00"]
        network._transport = transport = WebSocketTransport("127.0.0.1", 0)
        own = PeerIdentity(InstanceId("broken"), 1, "z0", "pnw")
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(network.run)
                async with transport.dial(address) as link:
                    sealed = await introduce(link, own, KEY)
                    await sealed.send(b"x" * (2 << 20))
                    with self.assertRaises(LinkClosedError):
                        while True:
                            await sealed.receive()
                while not network.counters.n_refused:
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
