"""Tests of the instance list while the platform's store is down."""

from __future__ import annotations

import random

import trio

from corianderlb_core.identity import InstanceId, InstanceRecord, Role
from corianderlb_core.message import InstancesListed, InstancesRequest
from corianderlb_router.instance_list import InstanceListReader
from corianderlb_router.interface import PeerNetwork
from corianderlb_router.store import InstanceList, StoreUnavailableError
from corianderlb_standins.trio_case import TrioTestCase

ENGINE = InstanceRecord(
    InstanceId("engine-1"), Role.UPSTREAM, "pnw-a", "pnw", "127.0.0.1:1"
)


class FakeStore:
    """Store that returns a list, or is down without one."""

    def __init__(self, listed: InstanceList | None) -> None:
        self.listed = listed

    async def instances(self) -> InstanceList:
        if self.listed is None:
            raise StoreUnavailableError("down")
        return self.listed


class FakePeers(PeerNetwork):
    """Peer network of two readers; messages are handled at the next checkpoint."""

    def __init__(self, name: str, nursery: trio.Nursery) -> None:
        self.name = name
        self.other: FakePeers | None = None
        self.handlers = {}
        self.nursery = nursery

    def subscribe(self, cls, handler):
        self.handlers[cls] = handler

    def send(self, peer, message):
        return self.broadcast(message) > 0

    def broadcast(self, message):
        if self.other is None:
            return 0
        handler = self.other.handlers[type(message)]
        self.nursery.start_soon(handler, InstanceId(self.name), message)
        return 1

    def members(self):
        return []


def make(store: FakeStore, peers: FakePeers) -> tuple[InstanceListReader, list]:
    applied: list[InstanceList] = []
    reader = InstanceListReader(store, [applied.append], peers, random.Random(1))
    return reader, applied


class InstanceListTest(TrioTestCase):
    async def test_peer_sends_the_list_while_the_store_is_down(self) -> None:
        """A router starts during an outage of the store.

        Without a list from its peers it would refuse every request.
        """
        async with trio.open_nursery() as nursery:
            peers = [FakePeers(name, nursery) for name in ("a", "b")]
            old, _ = make(FakeStore(InstanceList(7, (ENGINE,))), peers[0])
            new, applied = make(FakeStore(None), peers[1])
            nursery.start_soon(old.run)
            nursery.start_soon(new.run)
            await trio.sleep(1.0)
            self.assertFalse(new.has_list)
            peers[0].other, peers[1].other = peers[1], peers[0]
            await trio.sleep(1.0)
            self.assertTrue(new.has_list)
            self.assertEqual(applied[-1], InstanceList(7, (ENGINE,)))
            nursery.cancel_scope.cancel()

    async def test_older_list_of_a_peer_is_ignored(self) -> None:
        """The outdated list of a partitioned peer must not bring back instances."""
        async with trio.open_nursery() as nursery:
            reader, applied = make(
                FakeStore(InstanceList(7, (ENGINE,))), FakePeers("a", nursery)
            )
            await reader.poll()
            await reader.on_instances_listed("b", InstancesListed(6, ()))
            self.assertEqual([listed.revision for listed in applied], [7])

    async def test_peer_is_answered_only_with_a_newer_list(self) -> None:
        """Routers query their peers repeatedly while the store is down.

        Sending the same long list each time would saturate the links.
        """
        async with trio.open_nursery() as nursery:
            peers = [FakePeers(name, nursery) for name in ("a", "b")]
            peers[0].other = peers[1]
            _, applied = make(FakeStore(None), peers[1])
            reader, _ = make(FakeStore(InstanceList(7, (ENGINE,))), peers[0])
            await reader.poll()
            await reader.on_instances_request("b", InstancesRequest(7))
            await trio.sleep(0.1)
            self.assertEqual(applied, [])
            await reader.on_instances_request("b", InstancesRequest(6))
            await trio.sleep(0.1)
            self.assertEqual(len(applied), 1)
