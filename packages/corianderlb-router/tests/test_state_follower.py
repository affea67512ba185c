"""Following a store that is unavailable, silent or has dropped its history."""

from __future__ import annotations

import random

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import (
    StateAnswer,
    StateChanges,
    StateObjects,
    StateOffer,
)
from corianderlb_router.object_feed import (
    FeedChange,
    FeedChanges,
    FeedListing,
)
from corianderlb_router.state_follower import N_INSTANCE_WATCHERS, WATCH_S
from corianderlb_router.store import StoreUnavailableError
from forward_builders import (
    CONFIGURATION,
    INSTANCES,
    an_instance,
)
from state_builders import MemoryFeed, Router, StateCase


class StateFollowerTest(StateCase):
    @staticmethod
    def record_messages(routers: list[Router], cls: type) -> list[object]:
        """Return a list to which each message of a class is added on receipt."""
        received: list[object] = []

        async def on_message(sender: InstanceId, message: object) -> None:
            received.append(message)

        for router in routers:
            router.follower._peers.subscribe(cls, on_message)
        return received

    async def test_change_is_in_force_at_once(self) -> None:
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(1)
            self.publish(2)
            await trio.sleep(0.1)
            self.assertEqual(router.version, 2)
            nursery.cancel_scope.cancel()

    async def test_router_turned_away_by_the_store_learns_from_a_peer(self) -> None:
        """Guards against a revoked key that works on a router without the store."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            await trio.sleep(1)
            routers[0].feed.is_away = True
            await trio.sleep(4)
            self.publish(2)
            await trio.sleep(1.5)
            self.assertEqual([router.version for router in routers], [2, 2])
            nursery.cancel_scope.cancel()

    async def test_watch_without_answer(self) -> None:
        """Guards against a long delay when the store ignores one router's watch."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            await trio.sleep(1)
            routers[0].feed.is_silent = True
            self.publish(2)
            await trio.sleep(2.5)
            self.assertEqual([router.version for router in routers], [2, 2])
            nursery.cancel_scope.cancel()

    async def test_start_while_the_store_is_away(self) -> None:
        """Guards against a restarted router that cannot serve without the store."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            routers[1].feed.is_away = True
            await trio.sleep(3)
            self.assertTrue(routers[1].state.is_complete)
            nursery.cancel_scope.cancel()

    async def test_instance_removed_in_history_gap(self) -> None:
        """Guards against an instance that stays after its removal event was lost."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            self.enter("s2")
            await trio.sleep(1)
            router.feed.is_away = True
            await trio.sleep(3.1)
            self.store.remove(INSTANCES, "s1")
            self.store.forget_history()
            router.feed.is_away = False
            await trio.sleep(4)
            names = [found.instance for found in router.state.instances("app")]
            self.assertEqual(names, ["s2"])
            nursery.cancel_scope.cancel()

    async def test_store_calls_without_changes(self) -> None:
        """Guards against a high rate of billed calls while nothing changes."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(60)
            self.assertLessEqual(router.feed.n_calls, 70)
            nursery.cancel_scope.cancel()

    async def test_store_calls_of_large_fleet_during_weights_load(self) -> None:
        """Guards against one billed call per router and change of an engine's entry."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 31)
            await trio.sleep(1)
            n_before = routers[0].feed.n_calls
            for number in range(100):
                self.enter(f"e{number}")
                await trio.sleep(0.05)
            self.assertLessEqual(routers[0].feed.n_calls - n_before, 40)
            await trio.sleep(0.3)
            self.assertEqual(len(routers[0].state.instances("app")), 101)
            nursery.cancel_scope.cancel()

    async def test_store_calls_of_changing_instances_do_not_grow_with_the_fleet(
        self,
    ) -> None:
        """Guards against a billed call per router for each series of changes."""
        n_calls = {}
        for n_routers in (20, 60):
            async with trio.open_nursery() as nursery:
                routers = self.start(nursery, n_routers)
                await trio.sleep(1)
                n_before = sum(router.feed.n_calls for router in routers)
                for number in range(200):
                    self.enter(f"e{number}")
                    await trio.sleep(0.05)
                n_after = sum(router.feed.n_calls for router in routers)
                n_calls[n_routers] = n_after - n_before
                await trio.sleep(1)
                for router in routers:
                    self.assertEqual(len(router.state.instances("app")), 201)
                nursery.cancel_scope.cancel()
        # In ten seconds a further router may watch two kinds and look at the third.
        self.assertLessEqual(n_calls[60] - n_calls[20], 40 * 3)

    async def test_store_calls_without_changes_do_not_grow_with_the_fleet(self) -> None:
        """Guards against idle fleets that use up the calls of the store."""
        n_calls = {}
        for n_routers in (40, 80):
            async with trio.open_nursery() as nursery:
                routers = self.start(nursery, n_routers)
                await trio.sleep(5)
                n_before = sum(router.feed.n_calls for router in routers)
                await trio.sleep(75)
                n_after = sum(router.feed.n_calls for router in routers)
                n_calls[n_routers] = n_after - n_before
                nursery.cancel_scope.cancel()
        self.assertLessEqual(n_calls[80], 1.2 * n_calls[40])

    async def test_store_calls_while_the_store_is_away(self) -> None:
        """Guards against a fleet whose calls to a store that is away cost the most."""
        for n_routers, most in ((3, 25.0), (60, 16.0)):
            async with trio.open_nursery() as nursery:
                routers = self.start(nursery, n_routers)
                await trio.sleep(5)
                for router in routers:
                    router.feed.is_away = True
                self.enter("e1")
                # Each watch ends with an error now or within its time.
                await trio.sleep(20)
                n_before = sum(router.feed.n_calls for router in routers)
                await trio.sleep(10)
                n_after = sum(router.feed.n_calls for router in routers)
                self.assertLessEqual((n_after - n_before) / n_routers, most)
                self.publish(2)
                for router in routers:
                    router.feed.is_away = False
                await trio.sleep(1)
                self.assertEqual({router.version for router in routers}, {2})
                await trio.sleep(1.5)
                self.assertFalse(any(r.state.is_store_lost for r in routers))
                for router in routers:
                    self.assertIsNotNone(router.state.instance("e1"))
                nursery.cancel_scope.cancel()

    async def test_kind_whose_calls_alone_fail_holds_up_no_other(self) -> None:
        """Guards against kinds that wait for the store while it answers."""

        class Feed(MemoryFeed):
            async def list(self, kind: str) -> FeedListing:
                if kind == CONFIGURATION and self.is_broken:
                    raise StoreUnavailableError("this kind alone")
                return await super().list(kind)

            is_broken = True

        async with trio.open_nursery() as nursery:
            self.start(nursery, 0)
            router = self.start_router(nursery, "r0", Feed)
            await trio.sleep(1)
            self.assertIsNotNone(router.state.instance("s1"))
            self.enter("s2")
            await trio.sleep(0.1)
            self.assertIsNotNone(router.state.instance("s2"))
            router.feed.is_broken = False
            await trio.sleep(1)
            self.assertEqual(router.version, 1)
            nursery.cancel_scope.cancel()

    async def test_offers_do_not_grow_with_the_changes_of_instances(self) -> None:
        """Guards against an offer over each link for changes that are announced."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 14)
            await trio.sleep(3)
            offers = self.record_messages(routers, StateOffer)
            for number in range(60):
                self.enter(f"e{number}")
                await trio.sleep(0.1)
            # Six seconds with an offer each 2.4 s at least, over all links.
            self.assertLessEqual(len(offers), 3 * 14 * 13)
            nursery.cancel_scope.cancel()

    async def test_state_stays_confirmed_after_a_change(self) -> None:
        """Guards against watches of all routers that end together from a change on."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 30)
            await trio.sleep(5)
            self.publish(2)
            n_unconfirmed = 0
            for _ in range(60):
                await trio.sleep(0.5)
                n_unconfirmed += sum(
                    not router.state.is_confirmed(WATCH_S + 1.5) for router in routers
                )
            self.assertLessEqual(n_unconfirmed, 0.01 * 60 * len(routers))
            nursery.cancel_scope.cancel()

    async def test_only_peers_that_can_confirm_answer(self) -> None:
        """Guards against answers of all peers to each offer of a quiet fleet."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 30)
            await trio.sleep(5)
            self.name_weights(2)
            await trio.sleep(15)
            offers = self.record_messages(routers, StateOffer)
            answers = self.record_messages(routers, StateAnswer)
            await trio.sleep(20)
            self.assertTrue(answers)
            self.assertTrue(all(answer.is_confirmed for answer in answers))
            self.assertFalse(any(answer.named for answer in answers))
            self.assertLess(len(answers), len(offers) / 2)
            nursery.cancel_scope.cancel()

    async def test_changes_after_a_quiet_time_need_no_whole_tables(self) -> None:
        """Guards against tables sent to every router after each empty answer."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 30)
            await trio.sleep(3)
            tables = self.record_messages(routers, StateObjects)
            for number in range(5):
                # Other kinds move the store's revision on while watches end empty.
                for version in range(16):
                    self.publish(16 * number + version)
                    await trio.sleep(1)
                self.enter(f"e{number}")
            await trio.sleep(1)
            for router in routers:
                self.assertEqual(len(router.state.instances("app")), 6)
            self.assertEqual(len(tables), 0)
            nursery.cancel_scope.cancel()

    def start_large(
        self, nursery: trio.Nursery
    ) -> tuple[list[Router], list[Router], list[Router]]:
        """Start 40 routers; return all, the watchers of instances and the others."""
        routers = self.start(nursery, 40)
        for number, router in enumerate(routers):
            router.follower._rng = random.Random(number)
        watchers = [r for r in routers if r.follower._watches_instances()]
        self.assertEqual(len(watchers), N_INSTANCE_WATCHERS)
        return routers, watchers, [r for r in routers if r not in watchers]

    def assert_n_instances(self, routers: list[Router], n_instances: int) -> None:
        found = {len(router.state.instances("app")) for router in routers}
        self.assertEqual(found, {n_instances})

    async def test_change_while_the_watchers_reach_no_store(self) -> None:
        """Guards against instances that all miss when the watchers are cut off."""
        async with trio.open_nursery() as nursery:
            routers, watchers, _ = self.start_large(nursery)
            await trio.sleep(1)
            for router in watchers:
                router.feed.is_silent = True
            await trio.sleep(15)
            self.enter("s2")
            await trio.sleep(4)
            self.assert_n_instances(routers, 2)
            nursery.cancel_scope.cancel()

    async def test_change_while_the_watchers_are_in_another_partition(self) -> None:
        """Guards against a zone that hears nothing while links between zones fail."""
        async with trio.open_nursery() as nursery:
            routers, watchers, others = self.start_large(nursery)
            apart = {router.follower._peers.own for router in others[:20]}
            await trio.sleep(5)
            self.hub.passes = lambda a, b: (a in apart) == (b in apart)
            self.enter("s2")
            await trio.sleep(4)
            self.assert_n_instances(routers, 2)
            nursery.cancel_scope.cancel()

    async def test_change_after_all_watchers_died_at_once(self) -> None:
        """Guards against a fleet that waits for watchers that are gone."""
        async with trio.open_nursery() as nursery:
            _, watchers, others = self.start_large(nursery)
            await trio.sleep(5)
            for router in watchers:
                router.feed.is_silent = True
                self.hub.dead.add(router.follower._peers.own)
            for number in range(10):
                self.enter(f"e{number}")
                await trio.sleep(0.2)
            await trio.sleep(2)
            self.assert_n_instances(others, 11)
            nursery.cancel_scope.cancel()

    async def test_changes_during_a_start_of_the_whole_fleet(self) -> None:
        """Guards against routers that miss what changes while all read their lists."""
        async with trio.open_nursery() as nursery:
            routers, _, _ = self.start_large(nursery)
            for number in range(40):
                self.enter(f"e{number}")
                await trio.sleep(0.01)
            await trio.sleep(3)
            self.assert_n_instances(routers, 41)
            nursery.cancel_scope.cancel()

    async def test_router_that_missed_changes_requests_all_instances(self) -> None:
        """Guards against changes that are applied without those before them."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 14)
            await trio.sleep(3)
            late = next(r for r in routers if not r.follower._watches_instances())
            peer = next(r for r in routers if r is not late)
            name = late.follower._peers.own
            self.hub.cut.add(name)
            self.enter("s2")
            await trio.sleep(0.1)
            self.hub.cut.discard(name)
            self.enter("s3")
            await trio.sleep(1)
            self.assertEqual(len(late.state.instances("app")), 3)
            self.assertEqual(
                late.state.tables[INSTANCES].objects,
                peer.state.tables[INSTANCES].objects,
            )
            nursery.cancel_scope.cancel()

    async def test_removal_by_a_peer_after_an_outage_of_the_store(self) -> None:
        """Guards against live instances that vanish since their entries expired."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(1)
            router.feed.is_away = True
            await trio.sleep(5)
            router.feed.is_away = False
            await trio.sleep(0.8)
            revision = router.state.tables[INSTANCES].revision
            changes = StateChanges(INSTANCES, revision, revision + 1, (), ("s1",))
            await router.follower.on_state_changes(InstanceId("r9"), changes)
            self.assertEqual(len(router.state.instances("app")), 1)
            nursery.cancel_scope.cancel()

    async def test_confirmation_read_after_pause(self) -> None:
        """Guards against refusals based on an outdated confirmation."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            await trio.sleep(1)
            routers[1].feed.is_away = True
            await trio.sleep(5)
            self.assertTrue(routers[1].state.is_confirmed(4.0))
            revision = routers[0].state.tables[CONFIGURATION].changed_at
            self.hub.cut.add("r1")
            self.clock.jump(6)
            for ask in range(1, 20):
                answer = StateAnswer(ask, ((CONFIGURATION, revision),), True)
                await routers[1].follower.on_state_answer(InstanceId("r0"), answer)
            self.assertFalse(routers[1].state.is_confirmed(4.0))
            nursery.cancel_scope.cancel()

    async def test_peer_queries_during_many_changes_and_store_outage(self) -> None:
        """Guards against answers of all peers to every offer in a series of changes."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 14)
            await trio.sleep(1)
            for router in routers:
                router.feed.is_away = True
            await trio.sleep(8)
            n_before = self.hub.n_messages
            for number in range(50):
                for router in routers:
                    stored = self.decoder.put(
                        an_instance(f"s{number}", "app"), f"s{number}", 100 + number
                    )
                    update = FeedChanges((FeedChange(stored, False),), 100 + number)
                    router.state.apply_changes(INSTANCES, update)
                await trio.sleep(0.2)
            n_pairs = 14 * 13
            n_offers, n_queries = 55 * n_pairs, 10 / (0.8 * 3.0) * n_pairs
            self.assertLess(self.hub.n_messages - n_before, n_offers + 2 * n_queries)
            nursery.cancel_scope.cancel()
