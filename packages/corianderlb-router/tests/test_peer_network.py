"""Tests of the overlay network: links, authentication and membership."""

from __future__ import annotations

import dataclasses
import hmac
import random
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from unittest import mock

import trio

from corianderlb_core.identity import InstanceId, InstanceRecord, Presence, Role
from corianderlb_core.message import (
    LEVEL,
    AnswerEndsUpdate,
    CrashReport,
    EngineUpdate,
    EngineWork,
    Heartbeat,
    MemberState,
    StateChanges,
    StateOffer,
    UpstreamLeaving,
    encode,
)
from corianderlb_core.settings import PeerSettings
from corianderlb_router._handshake import (
    TAG_BYTES,
    FrameTags,
    PeerIdentity,
    initiate,
)
from corianderlb_router._websocket_transport import WebSocketTransport
from corianderlb_router.end_announcements import INTERVAL_S, EndAnnouncements
from corianderlb_router.object_feed import FeedListing
from corianderlb_router.peer_link import LinkClosedError, PeerLink, PeerTransport
from corianderlb_router.peer_network import OverlayNetwork
from corianderlb_router.store import InstanceList
from corianderlb_standins.connection_texts import bad_texts
from corianderlb_standins.loopback import free_port
from corianderlb_standins.memory_transport import MemoryFabric
from corianderlb_standins.trio_case import RealTimeTestCase, TrioTestCase
from forward_builders import INSTANCES, TableDecoder, a_state, an_instance

KEY = b"k" * 32
REGIONS = ("pnw", "trondelag")


class Fleet:
    """Routers of one test, connected in memory and listed by the platform."""

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
        transport = self.transport(record.peer_address)
        rng = random.Random(f"{record.instance}{epoch}")
        made = OverlayNetwork(own, key, transport, self.cfg, rng)
        if self.listed:
            made.merge_list(InstanceList(1, tuple(self.records)))
        return made

    def transport(self, address: str) -> PeerTransport:
        """Return the transport of the router with an address."""
        return self.fabric.transport(address)

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

    def assert_all_members(self, case: TrioTestCase, names: list[str]) -> None:
        for name in names:
            case.assertEqual(self.members_of(name), names, name)


class LoopbackFleet(Fleet):
    """Routers that are connected by websockets over loopback."""

    def record(self, name: str, i: int, n_zones: int) -> InstanceRecord:
        record = super().record(name, i, n_zones)
        address = f"127.0.0.1:{free_port()}"
        return dataclasses.replace(record, peer_address=address)

    def transport(self, address: str) -> PeerTransport:
        host, _, port = address.rpartition(":")
        return WebSocketTransport(host, int(port))


@asynccontextmanager
async def a_link_to(
    accept: Callable[[PeerLink], Awaitable[None]],
) -> AsyncIterator[PeerLink]:
    """Dial a websocket whose other end is ``accept``; all ends within 20 s."""
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            transport = WebSocketTransport("127.0.0.1", 0)
            address = await nursery.start(transport.serve, accept)
            async with transport.dial(address) as link:
                yield link
            nursery.cancel_scope.cancel()


class StepCounter(trio.abc.Instrument):
    """Counts the steps of tasks by the name of their function."""

    def __init__(self) -> None:
        self.by_name: Counter[str] = Counter()

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.by_name[task.coro.__qualname__] += 1


class FrameTagsTest(unittest.TestCase):
    def test_tags_are_those_of_the_standard_library(self) -> None:
        """Guards against links that no router of another version can verify."""
        for n, message in enumerate((b"", b"x", b"x" * 1_000)):
            expected = hmac.digest(KEY, n.to_bytes(8) + message, "sha256")
            self.assertEqual(FrameTags(KEY).tag(n, message), expected[:TAG_BYTES])


class PeerNetworkTest(TrioTestCase):
    async def test_four_routers_find_each_other(self) -> None:
        fleet = Fleet(4)
        async with fleet.running():
            await trio.sleep(3)
            fleet.assert_all_members(self, sorted(fleet.networks))
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
            fleet.assert_all_members(self, sorted(fleet.networks))
            links = [len(network.linked()) for network in fleet.networks.values()]
            self.assertLessEqual(sum(links) / len(links), 6.5)
            self.assertLess(max(links), 14)

    async def test_a_change_of_membership_crosses_each_link_once(self) -> None:
        """Guards against announcements that are repeated over reliable links."""
        fleet = Fleet(24)
        n_received = 0

        async def on_heartbeat(sender: InstanceId, beat: Heartbeat) -> None:
            nonlocal n_received
            n_received += len(beat.suspected)

        for network in fleet.networks.values():
            network.subscribe(Heartbeat, on_heartbeat)
        async with fleet.running():
            await trio.sleep(15)
            fleet.scopes["r05"].cancel()
            await trio.sleep(8)
            others = sorted(set(fleet.networks) - {"r05"})
            fleet.assert_all_members(self, others)
            n_link_ends = sum(len(fleet.networks[name].linked()) for name in others)
        # Once over each link in each direction, and with the state of new links.
        self.assertLessEqual(n_received, 2 * n_link_ends)

    async def test_broadcast_takes_one_task_step(self) -> None:
        """Guards against a task step for each link and message: half of all steps."""
        fleet = Fleet(12, n_peers=16)
        steps = StepCounter()
        async with fleet.running():
            await trio.sleep(5)
            network = fleet.networks["r00"]
            self.assertEqual(len(network.linked()), 11)
            trio.lowlevel.add_instrument(steps)
            for number in range(20):
                network.broadcast(UpstreamLeaving(InstanceId("e1"), number))
                await trio.sleep(0.001)
            trio.lowlevel.remove_instrument(steps)
        n_writes = steps.by_name["OverlayNetwork._send_due"]
        self.assertLessEqual(n_writes, 25)
        self.assertEqual(steps.by_name["PeerConnection._write"], 0)

    async def test_link_that_fails_to_send_ends_alone(self) -> None:
        """Guards against an error of a protocol library that ends the router."""
        fleet = Fleet(3)
        async with fleet.running():
            await trio.sleep(5)
            network = fleet.networks["r00"]
            broken = network._links.get(InstanceId("r01"))
            error = RuntimeError("not of a kind that the transport knows")
            with mock.patch.object(broken, "send_due", side_effect=error):
                network.broadcast(UpstreamLeaving(InstanceId("e1"), 1))
                await trio.sleep(0.1)
            self.assertNotIn("r01", network.linked())
            await trio.sleep(10)
            self.assertEqual(len(network.linked()), 2)

    async def test_message_that_may_wait_leaves_with_another_one(self) -> None:
        """Guards against a write for each offer, and offers that never leave."""
        fleet = Fleet(4)
        received: list[float] = []

        async def on_offer(sender: InstanceId, offer: StateOffer) -> None:
            received.append(trio.current_time())

        fleet.networks["r01"].subscribe(StateOffer, on_offer)
        steps = StepCounter()
        async with fleet.running():
            await trio.sleep(5.6)
            network = fleet.networks["r00"]
            trio.lowlevel.add_instrument(steps)
            network.broadcast_later(StateOffer(()))
            await trio.sleep(0.1)
            trio.lowlevel.remove_instrument(steps)
            self.assertFalse(received)
            network.broadcast(UpstreamLeaving(InstanceId("e1"), 1))
            await trio.sleep(0.01)
            self.assertEqual(len(received), 1)
            network.broadcast_later(StateOffer(()))
            await trio.sleep(network._cfg.heartbeat_s)
            self.assertEqual(len(received), 2)
        self.assertEqual(steps.by_name["OverlayNetwork._send_due"], 0)

    async def test_starting_routers_do_not_keep_links_beyond_their_number(self) -> None:
        """Guards against links that are opened while few members are known."""
        fleet = Fleet(40, n_zones=5, n_peers=16, listed=False)
        for name, network in fleet.networks.items():
            seeds = ("r00", "r01") if name not in ("r00", "r01") else ("r02", "r03")
            network._cfg = dataclasses.replace(fleet.cfg, seeds=seeds)
        async with fleet.running():
            await trio.sleep(15)
            fleet.assert_all_members(self, sorted(fleet.networks))
            links = [len(network.linked()) for network in fleet.networks.values()]
        self.assertLessEqual(sum(links) / len(links), 16 + 1)

    async def test_older_routers_get_no_messages_that_they_do_not_know(self) -> None:
        """Guards against links that an older router closes during a rolling update."""
        fleet = Fleet(2)
        changes = StateChanges("kind", 1, 2)
        with mock.patch("corianderlb_router._handshake.LEVEL", 0):
            async with fleet.running():
                await trio.sleep(3)
                network = fleet.networks["r00"]
                self.assertEqual(network.linked(), ("r01",))
                self.assertEqual(network.broadcast(changes), 0)
                self.assertEqual(network.forward_update(changes), 0)
                self.assertFalse(network.send(InstanceId("r01"), changes))
                self.assertEqual(network.broadcast(UpstreamLeaving("e1", 7)), 1)

    async def test_older_and_newer_routers_read_the_same_report_of_engines(
        self,
    ) -> None:
        """Guards against reports that cost their field names, or that are not read."""
        work = tuple(EngineWork(f"e{n}", 1000, n, 3, 10, 400) for n in range(20))
        update = EngineUpdate(work, unreached=(("e2", 900),), held_parts=b"\x01" * 12)
        n_bytes = []
        for level in (6, LEVEL):
            fleet = Fleet(2)
            received: list[EngineUpdate] = []

            async def on_update(
                sender: InstanceId, message: EngineUpdate, received=received
            ) -> None:
                received.append(message)

            sender, receiver = fleet.networks["r00"], fleet.networks["r01"]
            receiver.subscribe(EngineUpdate, on_update)
            with mock.patch("corianderlb_router._handshake.LEVEL", level):
                async with fleet.running():
                    await trio.sleep(3)
                    n_before = sender.counters.n_bytes_out
                    sender.broadcast(update)
                    self.assertTrue(sender.send(InstanceId("r01"), update))
                    await trio.sleep(0.1)
                    n_bytes.append(sender.counters.n_bytes_out - n_before)
            self.assertEqual(received, [update, update])
        self.assertLess(n_bytes[1], n_bytes[0] / 2)

    async def test_ends_that_each_router_sees_one_of_are_found_together(self) -> None:
        """Guards against parts of answers that an instance ended, and lived on."""
        fleet, engine, decoder = Fleet(4), an_instance("e1", "llm"), TableDecoder()
        state = a_state(decoder)
        listing = FeedListing((decoder.put(engine, "e1"),), 20)
        state.apply_listing(INSTANCES, listing)
        received: list[AnswerEndsUpdate] = []

        async def on_update(sender: InstanceId, message: AnswerEndsUpdate) -> None:
            received.append(message)

        *networks, last = fleet.networks.values()
        last.subscribe(AnswerEndsUpdate, on_update)
        seen = [EndAnnouncements(state, x, random.Random(x.own)) for x in networks]
        async with fleet.running() as nursery:
            for announcements in seen:
                nursery.start_soon(announcements.run)
            await trio.sleep(3)
            for n_ends, is_marked, n_sent in (
                (1, False, 1),
                (3, True, 0),
                (3, False, 3),
            ):
                now = trio.current_time()
                for n, announcements in enumerate(seen[:n_ends]):
                    announcements.record_end(engine, now, is_marked, 20.0 + n)
                received.clear()
                await trio.sleep(INTERVAL_S + 0.1)
                found = {x.coincides(engine, now) for x in seen[:n_ends]}
                self.assertEqual(found, {n_ends == 3 and not is_marked})
                self.assertEqual(len(received), n_sent)
                await trio.sleep(3)

    async def test_closed_surplus_link_raises_no_suspicion(self) -> None:
        """Guards against a live router that is left out after a link was closed."""
        fleet = Fleet(2)
        async with fleet.running():
            await trio.sleep(3)
            for network in fleet.networks.values():
                network._link_choice.missing = lambda now: []
            (conn,) = fleet.networks["r00"]._links
            conn.close_surplus()
            await trio.sleep(20)
            self.assertEqual(fleet.networks["r01"].linked(), ())
            fleet.assert_all_members(self, sorted(fleet.networks))

    async def test_broadcast_reaches_all(self) -> None:
        """A broadcast that receivers repeat reaches routers beyond one hop.

        Otherwise the others would keep sending work to a leaving upstream instance.
        """
        fleet = Fleet(24)
        received: list[str] = []
        for name, network in fleet.networks.items():

            async def on_message(
                sender: InstanceId, message: object, name=name
            ) -> None:
                if name not in received:
                    received.append(name)
                    fleet.networks[name].broadcast(message)

            network.subscribe(UpstreamLeaving, on_message)
        async with fleet.running():
            await trio.sleep(15)
            fleet.networks["r00"].broadcast(UpstreamLeaving(InstanceId("e1"), 7))
            await trio.sleep(1)
        self.assertEqual(sorted(received), sorted(fleet.networks))

    async def test_forwarding_in_a_full_mesh_costs_few_messages(self) -> None:
        # In a full mesh, forwarding each update to all peers would make the number of
        # messages quadratic.
        fleet = Fleet(24, n_peers=32)
        received = {"r00"}
        for name, network in fleet.networks.items():

            async def on_message(
                sender: InstanceId, message: object, name=name
            ) -> None:
                if name not in received:
                    received.add(name)
                    fleet.networks[name].forward_update(message)

            network.subscribe(UpstreamLeaving, on_message)
        async with fleet.running():
            await trio.sleep(15)
            links = [len(network.linked()) for network in fleet.networks.values()]
            self.assertEqual(set(links), {23})
            before = sum(n.counters.n_messages_in for n in fleet.networks.values())
            fleet.networks["r00"].broadcast(UpstreamLeaving(InstanceId("u1"), 1))
            await trio.sleep(0.3)
            after = sum(n.counters.n_messages_in for n in fleet.networks.values())
            self.assertEqual(received, set(fleet.networks))
            # Includes the heartbeats sent meanwhile.
            self.assertLessEqual(after - before, 23 + 4 * 23 + 24 * 23)

    async def test_recent_broadcast_reaches_a_new_link(self) -> None:
        """A router that links after a crash report was broadcast receives it.

        Otherwise the request that crashes engines would be tried once more there.
        """
        fleet = Fleet(2)
        received = []

        async def on_message(sender: InstanceId, message: object) -> None:
            received.append(message)

        fleet.networks["r01"].subscribe(CrashReport, on_message)
        report = CrashReport("e1@7", (b"digest",))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run_one, "r00")
            await trio.sleep(1)
            fleet.networks["r00"].broadcast(report)
            nursery.start_soon(fleet.run_one, "r01")
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        self.assertEqual(received, [report])

    async def test_router_with_wrong_key_cannot_join(self) -> None:
        """A router without the right peer key is not admitted."""
        fleet = Fleet(2)
        record = fleet.record("evil", 0, 1)
        fleet.networks["evil"] = fleet.network(record, 1, key=b"x" * 32)
        async with fleet.running():
            await trio.sleep(10)
            self.assertEqual(fleet.members_of("r00"), ["r00", "r01"])
            self.assertEqual(fleet.members_of("evil"), ["evil"])
            self.assertGreater(fleet.networks["r00"].counters.n_strangers, 0)

    async def test_silent_link_is_replaced(self) -> None:
        """A link on which nothing arrives is closed and dialled again.

        Sends on it still succeed, so the routers would otherwise stay linked without
        receiving updates.
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
            fleet.assert_all_members(self, ["r00", "r01"])

    async def test_malformed_frame_closes_the_link(self) -> None:
        """A malformed frame closes the link, so that later ones aren't misread."""
        fleet = Fleet(1)
        own = PeerIdentity(InstanceId("broken"), 1, "z0", "pnw")
        async with fleet.running():
            await trio.sleep(1)
            async with fleet.fabric.transport("broken").dial("r00") as link:
                auth_link = await initiate(link, own, KEY)
                await auth_link.receive()
                await auth_link.send(b"\xff\xff")
                with self.assertRaises(LinkClosedError):
                    while True:
                        await auth_link.receive()
            self.assertEqual(fleet.networks["r00"].counters.n_refused, 1)

    async def test_forged_frame_closes_the_link(self) -> None:
        """A frame inserted by a third party is counted and refused."""
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

    async def test_crashed_router_is_removed_by_all(self) -> None:
        """All routers remove a crashed router from their members."""
        fleet = Fleet(16)
        async with fleet.running():
            await trio.sleep(15)
            fleet.scopes["r05"].cancel()
            await trio.sleep(15)
            rest = sorted(set(fleet.networks) - {"r05"})
            fleet.assert_all_members(self, rest)

    async def test_restarted_router_is_a_new_incarnation(self) -> None:
        fleet = Fleet(4)
        async with fleet.running() as nursery:
            await trio.sleep(5)
            fleet.scopes["r01"].cancel()
            await trio.sleep(0.1)
            fleet.networks["r01"] = fleet.network(fleet.records[1], epoch=2)
            nursery.start_soon(fleet.run_one, "r01")
            await trio.sleep(8)
            fleet.assert_all_members(self, sorted(fleet.networks))
            found = {s.instance: s.epoch for s in fleet.networks["r00"].members()}
            self.assertEqual(found["r01"], 2)

    async def test_start_without_the_list_finds_peers_by_seeds(self) -> None:
        """A router starts while the platform's list is unavailable.

        It knows no router, and the others do not know its address.
        """
        fleet = Fleet(4)
        new_router = fleet.record("r99", 0, 1)
        fleet.listed, fleet.cfg = False, PeerSettings("unused", seeds=("r02", "gone"))
        fleet.networks["r99"] = fleet.network(new_router, 1)
        async with fleet.running():
            await trio.sleep(6)
            fleet.assert_all_members(self, sorted(fleet.networks))

    async def test_leaving_router_is_announced_and_stays_listed(self) -> None:
        fleet = Fleet(12)
        async with fleet.running():
            await trio.sleep(12)
            fleet.networks["r03"].announce_leaving()
            await trio.sleep(1)
            for network in fleet.networks.values():
                found = {s.instance: s.presence for s in network.members()}
                self.assertIs(found["r03"], Presence.LEAVING)

    async def test_routers_beyond_a_partition_count_as_not_heard(self) -> None:
        """Guards against a half of the fleet that takes itself for the whole."""
        fleet = Fleet(8, n_zones=4, silent_after_s=2.5, suspect_after_s=2.5)
        region = {record.peer_address: record.region for record in fleet.records}
        network = fleet.networks["r00"]
        async with fleet.running():
            await trio.sleep(5)
            self.assertEqual(network.heard_share(1.6), 1.0)
            fleet.fabric.passes = lambda a, b: region[a] == region[b]
            for _ in range(20):
                await trio.sleep(2)
                self.assertLessEqual(network.heard_share(1.6), 4 / 7)
                self.assertEqual(network.n_running(), 8)
            self.assertEqual(network.heard_share(1.6), 3 / 7)
            fleet.fabric.passes = lambda a, b: False
            await trio.sleep(2)
            self.assertEqual(network.heard_share(1.6), 0.0)
            fleet.fabric.passes = lambda a, b: True
            await trio.sleep(60)
            self.assertEqual(network.heard_share(1.6), 1.0)

    async def test_stopped_routers_of_the_list_are_not_waited_for(self) -> None:
        """Guards against shares of caps for registrations that nobody removed."""
        fleet = Fleet(4, silent_after_s=2.5, suspect_after_s=2.5)
        del fleet.networks["r03"]
        async with fleet.running():
            await trio.sleep(20)
            network = fleet.networks["r00"]
            self.assertEqual((network.n_running(), network.heard_share(1.6)), (3, 1.0))

    async def test_routers_that_left_are_not_waited_for(self) -> None:
        fleet = Fleet(4, silent_after_s=2.5, suspect_after_s=2.5)
        async with fleet.running():
            await trio.sleep(3)
            fleet.networks["r03"].announce_leaving()
            await trio.sleep(2)
            fleet.scopes["r03"].cancel()
            await trio.sleep(8)
            network = fleet.networks["r00"]
            self.assertEqual((network.n_running(), network.heard_share(1.6)), (3, 1.0))

    async def test_regions_link_again_after_a_long_partition(self) -> None:
        """Two regions link again after a partition of an hour.

        Each suspects all routers of the other, so suspected routers must be retried.
        """
        fleet = Fleet(4, n_zones=4, heartbeat_s=4.0, silent_after_s=15.0)
        region = {record.peer_address: record.region for record in fleet.records}
        async with fleet.running():
            await trio.sleep(10)
            fleet.fabric.passes = lambda a, b: region[a] == region[b]
            await trio.sleep(3600)
            for name in REGIONS:
                here = [r.instance for r in fleet.records if r.region == name]
                fleet.assert_all_members(self, here)
            fleet.fabric.passes = lambda a, b: True
            await trio.sleep(60)
            fleet.assert_all_members(self, sorted(fleet.networks))


class WebSocketTest(RealTimeTestCase):
    async def test_link_over_websockets(self) -> None:
        fleet = Fleet(2, listed=False)
        received = trio.Event()

        async def on_message(sender: InstanceId, message: object) -> None:
            received.set()

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
                networks[1].subscribe(UpstreamLeaving, on_message)
                for network in networks:
                    network.merge_list(InstanceList(2, tuple(records)))
                while not networks[0].linked():
                    await trio.sleep(0.05)
                networks[0].broadcast(UpstreamLeaving(InstanceId("e1"), 7))
                await received.wait()
                self.assertGreater(networks[1].counters.n_bytes_in, 0)
                nursery.cancel_scope.cancel()

    async def test_dialled_host_that_is_no_router(self) -> None:
        """Guards against an answer to a dial that ends the router."""
        answers = [*bad_texts().values(), b"HTTP/1.1 101 \r\n\r\n", b""]

        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            with suppress(trio.BrokenResourceError):
                await stream.send_all(answers[0])
            await stream.aclose()

        fleet = Fleet(1)
        network = fleet.networks["r00"]
        network._transport = WebSocketTransport("127.0.0.1", 0)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                await nursery.start(network.run)
                while answers:
                    ended = await network._run_dialled_link(f"127.0.0.1:{port}")
                    self.assertFalse(ended)
                    answers.pop(0)
                nursery.cancel_scope.cancel()

    async def test_message_whose_handling_fails(self) -> None:
        """Guards against a peer whose message ends the routers that receive it."""

        async def fail(sender: InstanceId, message: object) -> None:
            raise KeyError("unknown")

        for sender, receiver in (("r00", "r01"), ("r01", "r00")):
            fleet = Fleet(2, listed=False)
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    records = []
                    for record in fleet.records:
                        network = fleet.networks[record.instance]
                        network._transport = WebSocketTransport(
                            "127.0.0.1", 0, network._guard
                        )
                        address = await nursery.start(network.run)
                        records.append(
                            dataclasses.replace(record, peer_address=address)
                        )
                    for network in fleet.networks.values():
                        network.merge_list(InstanceList(2, tuple(records)))
                    fleet.networks[receiver].subscribe(UpstreamLeaving, fail)
                    while not fleet.networks[sender].linked():
                        await trio.sleep(0.05)
                    message = UpstreamLeaving(InstanceId("e1"), 7)
                    fleet.networks[sender].broadcast(message)
                    guard = fleet.networks[receiver]._guard
                    while not guard.n_failed["peers"]:
                        await trio.sleep(0.05)
                    while fleet.networks[sender].linked():
                        await trio.sleep(0.05)
                    nursery.cancel_scope.cancel()

    async def test_dial_of_an_address_that_is_none(self) -> None:
        """Guards against a registration that ends every router."""
        transport = WebSocketTransport("127.0.0.1", 0)
        for address in (
            "127.0.0.1:99999",
            "127.0.0.1:-1",
            "127.0.0.1:\uff11",
            "[::1:80",
            "\ufffd:80",
            "..:80",
            "a" * 70 + ":80",
        ):
            with self.subTest(address), self.assertRaises(LinkClosedError):
                async with transport.dial(address):
                    pass

    async def test_oversize_frame_is_refused(self) -> None:
        """A frame above the size limit is refused, which bounds memory use."""
        fleet = Fleet(1)
        network = fleet.networks["r00"]
        network._transport = transport = WebSocketTransport("127.0.0.1", 0)
        own = PeerIdentity(InstanceId("broken"), 1, "z0", "pnw")
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(network.run)
                async with transport.dial(address) as link:
                    auth_link = await initiate(link, own, KEY)
                    await auth_link.send(b"x" * (2 << 20))
                    with self.assertRaises(LinkClosedError):
                        while True:
                            await auth_link.receive()
                while not network.counters.n_refused:
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

    async def test_peer_that_reads_late_receives_all_frames_in_order(self) -> None:
        """Guards against frames that are lost, or overtaken, by a partial write."""
        frames = [bytes([n]) * 50_000 for n in range(250)]
        received: list[bytes] = []
        may_read = trio.Event()

        async def accept(link: PeerLink) -> None:
            link.accept_long_frames()
            await may_read.wait()
            while len(received) < len(frames):
                received.append(await link.receive())

        async with a_link_to(accept) as link:
            left = list(frames)
            while link.can_send_now:
                link.send_now([left.pop(0), left.pop(0)])
            self.assertTrue(left)
            may_read.set()
            await link.send_all(left)
            while len(received) < len(frames):
                await trio.sleep(0.01)
            self.assertTrue(link.can_send_now)
        self.assertEqual(received, frames)

    async def test_link_to_a_silent_peer_is_closed_twice(self) -> None:
        """Guards against a request that fails as a link to a helping router ends."""

        async def accept(link: PeerLink) -> None:
            await trio.sleep_forever()

        async with a_link_to(accept) as link:
            # The peer does not answer the close.
            await link.aclose()

    async def test_link_that_ends_without_a_closing_handshake(self) -> None:
        """Guards against a reader that waits for, or spins on, a dead connection."""
        ends: list[str] = []
        for aborting in ("dialler", "acceptor"):

            async def end(link: PeerLink, name: str, aborting=aborting) -> None:
                if name == aborting:
                    await trio.aclose_forcefully(link._stream)
                    return
                with self.assertRaises(LinkClosedError):
                    await link.receive()
                ends.append(name)

            async def accept(link: PeerLink, end=end) -> None:
                await end(link, "acceptor")

            async with a_link_to(accept) as link:
                await end(link, "dialler")
                while not ends or ends[-1] == aborting:
                    await trio.sleep(0.01)
        self.assertEqual(ends, ["acceptor", "dialler"])
