"""Age of serving state that reached a router late."""

from __future__ import annotations

import trio

from corianderlb_router.forward_dispatcher import UNCONFIRMED_S
from corianderlb_router.object_feed import FeedChanges
from corianderlb_router.store import StoreUnavailableError
from forward_builders import (
    INSTANCES,
)
from state_builders import MemoryFeed, Router, StateCase

INSTANCE_NAMES = ("s1", "s2")
"""Instances listed in the store."""

WATCH_GRACE_S = 1.5
"""Seconds after its wait until a watch without an answer fails."""


class AnswerLosingFeed(MemoryFeed):
    """Loses the answers of watches that are open when the store becomes silent."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> FeedChanges:
        with trio.move_on_after(wait_s + WATCH_GRACE_S):
            update = await super().watch(kind, revision, wait_s)
            if not self.is_silent:
                return update
            await trio.sleep_forever()
        raise StoreUnavailableError("no answer")


class StateAgeTest(StateCase):
    @staticmethod
    def names(router: Router) -> set[str]:
        """Return the instances that accept requests."""
        return {found.instance for found in router.state.instances("app")}

    async def test_outage_detected_late(self) -> None:
        """Guards against an outage dated only from the failure of a call."""
        async with trio.open_nursery() as nursery:
            self.start(nursery, 0, INSTANCE_NAMES)
            router = self.start_router(nursery, "r0", AnswerLosingFeed)
            await trio.sleep(1)
            router.feed.is_silent = True
            for name in INSTANCE_NAMES:
                self.store.remove(INSTANCES, name)
            while not router.state.is_store_lost:
                await trio.sleep(0.01)
            router.feed.is_silent = False
            await trio.sleep(0.5)
            self.assertEqual(self.names(router), {"s1", "s2"})
            nursery.cancel_scope.cancel()

    async def test_restarted_peer_does_not_share_list_without_expired_entries(
        self,
    ) -> None:
        """Guards against a restarted peer that treats expired entries as removed."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1, INSTANCE_NAMES)
            await trio.sleep(1)
            router.feed.is_away = True
            await trio.sleep(5)
            # Both entries expired, and one instance has written its own again.
            for name in INSTANCE_NAMES:
                self.store.remove(INSTANCES, name)
            self.enter("s2")
            self.start_router(nursery, "r1")
            await trio.sleep(1.5)
            self.assertEqual(self.names(router), {"s1", "s2"})
            nursery.cancel_scope.cancel()

    async def test_disconnected_peer_does_not_confirm(self) -> None:
        """Guards against a stale configuration that counts as fresh after a restart."""
        async with trio.open_nursery() as nursery:
            (peer,) = self.start(nursery, 1, INSTANCE_NAMES)
            await trio.sleep(1)
            peer.feed.is_away = True
            await trio.sleep(20)
            router = self.start_router(nursery, "r1")
            router.feed.is_away = True
            await trio.sleep(3)
            self.assertEqual(router.version, 1)
            self.assertFalse(router.state.is_confirmed(UNCONFIRMED_S))
            nursery.cancel_scope.cancel()

    async def test_delayed_peer_answer_does_not_confirm(self) -> None:
        """Guards against a delayed answer that confirms a replaced configuration."""
        async with trio.open_nursery() as nursery:
            router, _ = self.start(nursery, 2, INSTANCE_NAMES)
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
