"""Tests of connections to instances through another router."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import TunnelAnswer, TunnelOutcome, TunnelRequest, encode
from corianderlb_router.answer_end import AnswerEnds
from corianderlb_router.connection import ConnectFailedError, Connector
from corianderlb_router.peer_tunnel import NoTunnelError, Tunnels, TunnelServer
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    ForwardRouter,
    Upstream,
    UpstreamNetwork,
    a_router_in,
    an_answer,
    an_instance,
    never_answer,
)
from test_peer_network import KEY, Fleet

REQUEST = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"


class PartNetwork(UpstreamNetwork):
    """Upstreams of one router; other addresses refuse its connections."""

    async def connect(self, address: str) -> trio.abc.Stream:
        if address.partition(":")[0] not in self.upstreams:
            raise ConnectionRefusedError(address)
        return await super().connect(address)


class ResetStream(trio.abc.Stream):
    """Connection that is reset after part of an answer."""

    def __init__(self) -> None:
        self._parts = [b"HTTP/1.1 200 OK\r\n\r\npart"]

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        if not self._parts:
            raise trio.BrokenResourceError("reset")
        return self._parts.pop()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


class ResettingNetwork(Connector):
    """Instances whose connections are all reset."""

    async def connect(self, address: str) -> trio.abc.Stream:
        return ResetStream()


class EarlyStream(ResetStream):
    """Connection of an instance that has answered and takes no request."""

    def __init__(self) -> None:
        super().__init__()
        self._parts = [an_answer(b"body")]

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        raise trio.BrokenResourceError("closed")

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.sleep(0.1)
        return await super().receive_some(max_bytes)


class EarlyNetwork(Connector):
    """Instances that answer before they have read a request, and close."""

    async def connect(self, address: str) -> trio.abc.Stream:
        return EarlyStream()


class TunnelFleet:
    """Linked routers, each before its own view of the same instances."""

    def __init__(self, nursery: trio.Nursery, fleet: Fleet) -> None:
        self.fleet = fleet
        self.routers: dict[str, ForwardRouter] = {}
        self.servers: dict[str, TunnelServer] = {}
        self.instances: dict[str, dict[str, Upstream]] = {}
        for name, network in self.fleet.networks.items():
            upstreams = self.instances[name] = {}
            router = a_router_in(PartNetwork(nursery, upstreams), name=name)
            self.routers[name] = router
            server = self.servers[name] = TunnelServer(
                router.state,
                router.parts.paths,
                router.permits,
                router.network,
                network.is_member,
            )
            network.serve_tunnel = server.serve

    def add(self, name: str, **upstreams: Upstream) -> None:
        """Let a router reach instances, and list them at all routers."""
        self.instances[name].update(upstreams)
        listed = [an_instance(instance, "app") for instance in upstreams]
        for router in self.routers.values():
            router.list_instances(*listed)

    def tunnels(self, name: str) -> Tunnels:
        """Return the tunnels that a router may open."""
        network = self.fleet.networks[name]
        zone = network.members()[0].zone
        own = next(s for s in network.members() if s.instance == name)
        return Tunnels(network, own.zone or zone, random.Random(1))


@asynccontextmanager
async def a_tunnel_fleet(
    n_routers: int = 2, n_zones: int = 3, kind: type[Fleet] = Fleet
) -> AsyncIterator[TunnelFleet]:
    """Run linked routers."""
    async with trio.open_nursery() as nursery:
        found = TunnelFleet(nursery, kind(n_routers, n_zones))
        async with found.fleet.running():
            await trio.sleep(3)
            yield found
        nursery.cancel_scope.cancel()


async def read_answer(stream: trio.abc.Stream) -> bytes:
    """Send a request and return the bytes of its answer, to the end."""
    await stream.send_all(REQUEST)
    found = b""
    while data := await stream.receive_some(65536):
        found += data
        if found.endswith(b"body"):
            break
    return found


class TunnelTest(TrioTestCase):
    async def test_peer_carries_the_bytes(self) -> None:
        async with a_tunnel_fleet() as found:
            s1 = Upstream([an_answer(b"body")])
            found.add("r01", s1=s1)
            stream = await found.tunnels("r00").open(an_instance("s1", "app"))
            self.assertEqual(stream.peer, "r01")
            self.assertTrue((await read_answer(stream)).endswith(b"body"))
            self.assertEqual(len(s1.requests), 1)
            await stream.aclose()
            with trio.fail_after(2):
                await found.servers["r01"].wait_until_empty()

    async def test_broken_connection_is_not_the_end_of_a_body(self) -> None:
        """Guards against an answer without length that is cut and looks complete."""
        async with a_tunnel_fleet() as found:
            found.add("r01", s1=Upstream([never_answer]))
            found.servers["r01"]._connector = ResettingNetwork()
            stream = await found.tunnels("r00").open(an_instance("s1", "app"))
            await stream.send_all(REQUEST)
            with self.assertRaises(trio.BrokenResourceError):
                while await stream.receive_some(65536):
                    pass
            await stream.aclose()

    async def test_end_of_a_process_is_not_the_end_of_a_body(self) -> None:
        """Guards against a part that another router passes on as the whole."""
        for is_ending in (False, True):
            s1 = Upstream([], closes=True)

            async def answer(
                stream: trio.abc.Stream,
                host: Upstream = s1,
                is_ending: bool = is_ending,
            ) -> None:
                await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\npart")
                host.alive = not is_ending

            s1.script = [answer]
            async with a_tunnel_fleet() as found:
                found.add("r01", s1=s1)
                pool = found.routers["r01"].parts.transport.pool
                found.servers["r01"]._ends = AnswerEnds(pool)
                stream = await found.tunnels("r00").open(an_instance("s1", "app"))
                self.assertTrue(stream.confirms_end)
                await stream.send_all(REQUEST)
                outcome = "ended"
                with self.subTest(is_ending=is_ending), trio.fail_after(2):
                    try:
                        while await stream.receive_some(65536):
                            pass
                    except trio.BrokenResourceError:
                        outcome = "broken"
                    self.assertEqual(outcome, "broken" if is_ending else "ended")
                await stream.aclose()

    async def test_older_router_does_not_confirm_ends(self) -> None:
        """Guards against an end that a router passes on without a question."""
        with mock.patch("corianderlb_router._handshake.LEVEL", 9):
            async with a_tunnel_fleet() as found:
                found.add("r01", s1=Upstream([an_answer(b"body")]))
                stream = await found.tunnels("r00").open(an_instance("s1", "app"))
                self.assertFalse(stream.confirms_end)
                await stream.aclose()

    async def test_answer_before_the_request_was_read(self) -> None:
        """Guards against an answer that is lost, so that its request may have run."""
        async with a_tunnel_fleet() as found:
            found.add("r01", s1=Upstream([b""]))
            found.servers["r01"]._connector = EarlyNetwork()
            stream = await found.tunnels("r00").open(an_instance("s1", "app"))
            self.assertTrue((await read_answer(stream)).endswith(b"body"))
            await stream.aclose()

    async def test_close_reaches_the_instance(self) -> None:
        """Guards against instances that work on for a caller that has left."""
        left = trio.Event()

        async def wait_for_close(stream: trio.abc.Stream) -> None:
            while await stream.receive_some(1024):
                pass
            left.set()

        async with a_tunnel_fleet() as found:
            found.add("r01", s1=Upstream([wait_for_close]))
            stream = await found.tunnels("r00").open(an_instance("s1", "app"))
            await stream.send_all(REQUEST)
            await trio.sleep(0.1)
            await stream.aclose()
            with trio.fail_after(2):
                await left.wait()

    async def test_peer_that_does_not_know_the_incarnation_refuses(self) -> None:
        """Guards against a request at another incarnation, or at any address."""
        async with a_tunnel_fleet() as found:
            found.add("r01", s1=Upstream([an_answer(b"body")]))
            for unknown in (
                an_instance("s9", "app"),
                an_instance("s1", "app", born_ms=9),
            ):
                with self.assertRaises(NoTunnelError):
                    await found.tunnels("r00").open(unknown)

    async def test_peer_that_is_cut_too_does_not_pass_the_request_on(self) -> None:
        """Guards against loops and second detours."""
        async with a_tunnel_fleet(3) as found:
            found.add("r02", s1=Upstream([an_answer(b"body")]))
            paths = found.routers["r01"].parts.paths
            for name in ("s1", "s2"):
                paths.failed(an_instance(name, "app"), trio.current_time(), "test")
            for _ in range(5):
                tunnels = found.tunnels("r00")
                stream = await tunnels.open(an_instance("s1", "app"))
                self.assertEqual(stream.peer, "r02")
                await stream.aclose()
            self.assertEqual(len(found.servers["r01"]._state.all_instances()), 1)
            with self.assertRaises(NoTunnelError):
                found.routers["r02"].state.mark_leaving(
                    an_instance("s1", "app"), "test"
                )
                await found.tunnels("r00").open(an_instance("s1", "app"))

    async def test_unreachable_instance_is_told_from_no_tunnel(self) -> None:
        """Guards against taking an instance that is down for a cut path."""
        async with a_tunnel_fleet(3) as found:
            found.add("r01")
            for router in found.routers.values():
                router.list_instances(an_instance("s1", "app"))
            with self.assertRaises(ConnectFailedError) as caught:
                await found.tunnels("r00").open(an_instance("s1", "app"))
            self.assertTrue(caught.exception.refused)

    async def test_leaving_router_opens_no_tunnel(self) -> None:
        """Guards against a tunnel that would be cut by the end of its router."""
        async with a_tunnel_fleet() as found:
            found.add("r01", s1=Upstream([an_answer(b"body")]))
            found.servers["r01"].is_leaving = True
            with self.assertRaises(NoTunnelError):
                await found.tunnels("r00").open(an_instance("s1", "app"))
            found.servers["r01"].is_leaving = False
            found.fleet.networks["r01"].announce_leaving()
            await trio.sleep(0.5)
            self.assertEqual(found.fleet.networks["r00"].tunnel_peers(), [])

    async def test_router_of_the_same_zone_is_asked_first(self) -> None:
        async with a_tunnel_fleet(7) as found:
            upstream = Upstream([an_answer(b"body")])
            for name in found.routers:
                found.add(name, s1=upstream)
            for _ in range(5):
                stream = await found.tunnels("r00").open(an_instance("s1", "app"))
                self.assertIn(stream.peer, ("r03", "r06"))
                await stream.aclose()

    async def test_frozen_peer_does_not_hold_up_the_others(self) -> None:
        """Guards against waiting for a peer whose process is stopped."""
        async with a_tunnel_fleet(4) as found:
            upstream = Upstream([an_answer(b"body")])
            for name in ("r01", "r02", "r03"):
                found.add(name, s1=upstream)
            found.fleet.fabric.passes = lambda source, target: (
                "r03"
                not in (
                    source,
                    target,
                )
            )
            started_at = trio.current_time()
            stream = await found.tunnels("r00").open(an_instance("s1", "app"))
            self.assertNotEqual(stream.peer, "r03")
            self.assertLess(trio.current_time() - started_at, 0.5)
            await stream.aclose()

    async def test_only_the_peers_key_opens_a_tunnel(self) -> None:
        """Guards against a router that serves as a proxy for anybody."""
        async with a_tunnel_fleet() as found:
            s1 = Upstream([an_answer(b"body")])
            found.add("r01", s1=s1)
            fleet = found.fleet
            stranger = fleet.network(fleet.record("x", 1, 3), 1, key=b"w" * len(KEY))
            peer = fleet.networks["r00"].tunnel_peers()[0]
            with self.assertRaises(Exception) as caught:
                async with stranger.dial_tunnel(peer) as link:
                    await link.send(encode(TunnelRequest("s1", 0)))
                    await link.receive()
            self.assertEqual(type(caught.exception).__name__, "LinkClosedError")
            self.assertEqual(s1.requests, [])

    async def test_end_of_the_router_that_asked_ends_its_tunnels(self) -> None:
        """Guards against tunnels of a machine that is lost without a close."""
        async with a_tunnel_fleet() as found:
            found.add("r01", s1=Upstream([never_answer]))
            stream = await found.tunnels("r00").open(an_instance("s1", "app"))
            await stream.send_all(REQUEST)
            await trio.sleep(0.1)
            found.fleet.fabric.passes = lambda source, target: False
            with trio.fail_after(20):
                await found.servers["r01"].wait_until_empty()
            await stream.aclose()

    async def test_outcome_travels_by_its_name(self) -> None:
        answer = TunnelAnswer(TunnelOutcome.CUT_OFF)
        self.assertIn(b"cut_off", encode(answer))
        self.assertEqual(InstanceId("r1"), "r1")
