"""What a router's knowledge is worth when it reached the router late."""

from __future__ import annotations

import trio

from corianderlb_router.forward_dispatcher import UNCONFIRMED_S
from corianderlb_router.object_feed import FeedChanges
from corianderlb_router.store import StoreUnavailableError
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    CONFIGURATION,
    INSTANCES,
    TableDecoder,
    a_configuration,
    an_instance,
)
from test_state_follower import MemoryFeed, MemoryStore, Router

WATCH_GRACE_S = 1.5
"""How long after its time an unanswered watch counts as lost."""


class DeafFeed(MemoryFeed):
    """Lose the answers of watches that wait while the store falls silent."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> FeedChanges:
        with trio.move_on_after(wait_s + WATCH_GRACE_S):
            told = await super().watch(kind, revision, wait_s)
            if not self.is_silent:
                return told
            await trio.sleep_forever()
        raise StoreUnavailableError("no answer")


class StateAgeTest(TrioTestCase):
    def start(self, nursery: trio.Nursery, n_routers: int) -> list[Router]:
        """Start routers over one store that holds version 1 and two instances."""
        self.nursery = nursery
        self.store = MemoryStore()
        self.decoder = TableDecoder()
        self.hub = FakeHub(nursery)
        self.publish(1)
        for name in ("s1", "s2"):
            self.enter(name)
        return [self.join(f"r{n}") for n in range(n_routers)]

    def join(self, name: str, feed: type[MemoryFeed] = MemoryFeed) -> Router:
        """Start one more router."""
        router = Router(name, self.store, self.hub, self.decoder, feed)
        self.nursery.start_soon(router.follower.run)
        return router

    def publish(self, version: int) -> None:
        """Write a configuration to the store."""
        stored = self.store.put(CONFIGURATION, "main")
        cfg = a_configuration(version=version, revision=stored.revision)
        self.decoder.table["main", stored.revision] = cfg

    def enter(self, name: str) -> None:
        """Enter an instance in the store."""
        stored = self.store.put(INSTANCES, name)
        self.decoder.table[name, stored.revision] = an_instance(name, "app")

    @staticmethod
    def names(router: Router) -> set[str]:
        """Return the instances that may get work."""
        return {found.instance for found in router.state.instances("app")}

    async def test_silence_of_the_store_that_shows_late(self) -> None:
        """Guard against an outage that counts from the failure of a call alone."""
        async with trio.open_nursery() as nursery:
            self.start(nursery, 0)
            router = self.join("r0", DeafFeed)
            await trio.sleep(1)
            router.feed.is_silent = True
            for name in ("s1", "s2"):
                self.store.remove(INSTANCES, name)
            while not router.state.is_store_lost:
                await trio.sleep(0.01)
            router.feed.is_silent = False
            await trio.sleep(0.5)
            self.assertEqual(self.names(router), {"s1", "s2"})
            nursery.cancel_scope.cancel()

    async def test_peer_that_has_just_started_knows_of_no_lapsed_entries(self) -> None:
        """Guard against lapsed entries that a restarted peer takes for gone."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(1)
            router.feed.is_away = True
            await trio.sleep(5)
            # Both entries lapsed, and one instance has already written its own again.
            for name in ("s1", "s2"):
                self.store.remove(INSTANCES, name)
            self.enter("s2")
            self.join("r1")
            await trio.sleep(1.5)
            self.assertEqual(self.names(router), {"s1", "s2"})
            nursery.cancel_scope.cancel()

    async def test_peer_that_is_cut_off_confirms_nothing(self) -> None:
        """Guard against an old configuration that counts as fresh after a restart."""
        async with trio.open_nursery() as nursery:
            (peer,) = self.start(nursery, 1)
            await trio.sleep(1)
            peer.feed.is_away = True
            await trio.sleep(20)
            router = self.join("r1")
            router.feed.is_away = True
            await trio.sleep(3)
            self.assertEqual(router.version, 1)
            self.assertFalse(router.state.is_confirmed(UNCONFIRMED_S))
            nursery.cancel_scope.cancel()

    async def test_word_of_a_peer_that_was_long_under_way(self) -> None:
        """Guard against words that lay in a buffer and confirm what has changed."""
        async with trio.open_nursery() as nursery:
            router, _ = self.start(nursery, 2)
            await trio.sleep(1)
            router.feed.is_away = True
            self.hub.delay_s = 3 * UNCONFIRMED_S
            await trio.sleep(2)
            self.publish(2)
            await trio.sleep(UNCONFIRMED_S)
            while router.version == 1:
                self.assertFalse(router.state.is_confirmed(UNCONFIRMED_S))
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
