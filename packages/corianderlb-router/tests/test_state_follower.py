"""How a router keeps up with a store that is away, silent or forgetful."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import SharedObject, StateAnswer, StateObjects
from corianderlb_router.object_feed import (
    FeedChange,
    FeedChanges,
    FeedListing,
    HistoryGoneError,
    NamedWeights,
    ObjectFeed,
)
from corianderlb_router.serving_state import ServingState
from corianderlb_router.state_follower import StateFollower
from corianderlb_router.store import StoreUnavailableError
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    CONFIGURATION,
    INSTANCES,
    MODEL,
    WEIGHTS,
    TableDecoder,
    a_configuration,
    a_state,
    an_instance,
)


class MemoryStore:
    """Hold objects with revisions, shared by the feeds of several routers."""

    def __init__(self) -> None:
        self.revision = 1
        self.tables: dict[str, dict[str, SharedObject]] = {}
        self.history: list[tuple[str, FeedChange]] = []
        self.changed = trio.Event()

    def put(self, kind: str, name: str) -> SharedObject:
        """Write an object."""
        self.revision += 1
        stored = SharedObject(name, self.revision, b"")
        self.tables.setdefault(kind, {})[name] = stored
        self._tell(kind, FeedChange(stored, False))
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Take an object away."""
        self.revision += 1
        del self.tables[kind][name]
        gone = SharedObject(name, self.revision, b"")
        self._tell(kind, FeedChange(gone, True))

    def forget_history(self) -> None:
        """Drop what happened so far."""
        self.history.clear()
        self.oldest = self.revision

    oldest = 0

    def _tell(self, kind: str, change: FeedChange) -> None:
        self.history.append((kind, change))
        self.changed.set()
        self.changed = trio.Event()


class MemoryFeed(ObjectFeed):
    """Read a ``MemoryStore`` as one router does."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.is_away = False
        self.is_silent = False
        """Whether calls get no answer, as from a store that holds them back."""
        self.n_calls = 0
        self.held: trio.Event | None = None
        """Set when answers that were under way may arrive; None to hold none back."""
        self.on_its_way: Callable[[], None] | None = None
        """Called once while word that no weights were named is on its way."""
        self.holds_back_s = 0.0
        """Time for which news of weights are held back from this router alone."""

    async def list(self, kind: str) -> FeedListing:
        await self._reach()
        objects = tuple(self._store.tables.get(kind, {}).values())
        return FeedListing(objects, self._store.revision)

    async def watch(self, kind: str, revision: int, wait_s: float) -> FeedChanges:
        await self._reach()
        if revision < self._store.oldest:
            raise HistoryGoneError("gone")
        with trio.move_on_after(wait_s):
            while not (found := self._since(kind, revision)):
                await self._store.changed.wait()
            if kind == WEIGHTS and self.holds_back_s:
                with trio.CancelScope(shield=True):
                    await trio.sleep(self.holds_back_s)
                return FeedChanges(found, self._store.revision)
            await self._reach()
            return FeedChanges(found, self._store.revision)
        if self.is_silent:
            await trio.sleep_forever()
        told = FeedChanges(self._since(kind, revision), self._store.revision)
        if self.held is not None:
            await self.held.wait()
        if kind == WEIGHTS and self.on_its_way is not None:
            happen, self.on_its_way = self.on_its_way, None
            happen()
        return told

    def _since(self, kind: str, revision: int) -> tuple[FeedChange, ...]:
        return tuple(
            change
            for told_kind, change in self._store.history
            if told_kind == kind and change.object.revision > revision
        )

    async def _reach(self) -> None:
        self.n_calls += 1
        await trio.sleep(0.004)
        if self.is_silent:
            await trio.sleep_forever()
        if self.is_away:
            raise StoreUnavailableError("away")


class Router:
    """Hold one router's state, feed and follower."""

    def __init__(
        self,
        name: str,
        store: MemoryStore,
        hub: FakeHub,
        decoder: TableDecoder,
        feed: type[MemoryFeed] = MemoryFeed,
    ) -> None:
        self.feed = feed(store)
        self.state: ServingState = a_state(decoder)
        rng = random.Random(1)
        self.follower = StateFollower(self.feed, self.state, hub.join(name), rng)

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.state.configuration.version if self.state.configuration else 0


class StateFollowerTest(TrioTestCase):
    def publish(self, version: int) -> None:
        """Write a configuration to the store."""
        stored = self.store.put(CONFIGURATION, "main")
        cfg = a_configuration(version=version, revision=stored.revision)
        self.decoder.table["main", stored.revision] = cfg

    def enter(self, name: str) -> None:
        """Enter an instance in the store."""
        stored = self.store.put(INSTANCES, name)
        self.decoder.table[name, stored.revision] = an_instance(name, "app")

    def name_weights(self, version: int) -> None:
        """Name new weights in the store."""
        stored = self.store.put(WEIGHTS, MODEL)
        self.decoder.table[MODEL, stored.revision] = NamedWeights(MODEL, version)

    def start(self, nursery: trio.Nursery, n_routers: int) -> list[Router]:
        """Start routers over one store that holds version 1 and an instance."""
        self.store = MemoryStore()
        self.decoder = TableDecoder()
        self.publish(1)
        self.enter("s1")
        self.hub = FakeHub(nursery)
        return [self.start_router(nursery, f"r{n}") for n in range(n_routers)]

    def start_router(self, nursery: trio.Nursery, name: str) -> Router:
        """Start one more router, or one that was there under a new life."""
        router = Router(name, self.store, self.hub, self.decoder)
        nursery.start_soon(router.follower.run)
        return router

    async def test_change_is_in_force_at_once(self) -> None:
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(1)
            self.publish(2)
            await trio.sleep(0.1)
            self.assertEqual(router.version, 2)
            nursery.cancel_scope.cancel()

    async def test_router_turned_away_by_the_store_learns_from_a_peer(self) -> None:
        # The store refuses one router and serves the others and the operator, who
        # takes a key away. Callers of that router must not use the key on and on.
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            await trio.sleep(1)
            routers[0].feed.is_away = True
            await trio.sleep(4)
            self.publish(2)
            await trio.sleep(1.5)
            self.assertEqual([router.version for router in routers], [2, 2])
            nursery.cancel_scope.cancel()

    async def test_watch_that_the_store_holds_back(self) -> None:
        # The store takes a router's calls and never answers, while others are served.
        # The watch alone would show it only seconds later.
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            await trio.sleep(1)
            routers[0].feed.is_silent = True
            self.publish(2)
            await trio.sleep(2.5)
            self.assertEqual([router.version for router in routers], [2, 2])
            nursery.cancel_scope.cancel()

    async def test_start_while_the_store_is_away(self) -> None:
        # A router restarts while the store is down. It serves from what its peers know.
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            routers[1].feed.is_away = True
            await trio.sleep(3)
            self.assertTrue(routers[1].state.is_complete)
            nursery.cancel_scope.cancel()

    async def test_instance_that_leaves_in_a_gap_of_the_history(self) -> None:
        # The store drops its history and cuts the watches while an instance leaves.
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

    async def test_calls_of_a_calm_minute(self) -> None:
        # Each call is paid for. Before, watches of one second made 180 in a minute.
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(60)
            self.assertLessEqual(router.feed.n_calls, 70)
            nursery.cancel_scope.cancel()

    async def test_calls_of_a_large_fleet_whose_engines_load_weights(self) -> None:
        # Every engine's entry changes as it loads weights, and each change ends the
        # watch of every router. The store is paid by the call.
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

    async def test_restarted_router_learns_when_weights_were_replaced(self) -> None:
        """Guards against weights that seem freshly replaced to who has just started."""
        async with trio.open_nursery() as nursery:
            self.start(nursery, 2)
            self.name_weights(3)
            await trio.sleep(5)
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(7)
            router = self.start_router(nursery, "r1")
            await trio.sleep(0.5)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            replaced_at = router.state.replaced_at(MODEL, 3)
            self.assertAlmostEqual(replaced_at, named_at, delta=0.1)
            self.assertLessEqual(router.state.replaced_at(MODEL, 2), named_at - 5)
            nursery.cancel_scope.cancel()

    async def test_whole_fleet_restarts_during_a_roll(self) -> None:
        """Guards against old weights that seem young when no router knows better."""
        async with trio.open_nursery() as nursery:
            self.start(nursery, 0)
            self.name_weights(4)
            routers = [self.start_router(nursery, f"r{n}") for n in range(3)]
            await trio.sleep(3)
            for router in routers:
                self.assertEqual(router.state.newest_weights(MODEL), 4)
                self.assertEqual(router.state.replaced_at(MODEL, 3), -math.inf)
            nursery.cancel_scope.cancel()

    async def test_router_that_was_out_of_touch_as_weights_were_named(self) -> None:
        """Guards against an age that counts from the end of a freeze or an outage."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            self.name_weights(3)
            await trio.sleep(5)
            self.hub.cut.add("r1")
            routers[1].feed.is_away = True
            await trio.sleep(5)
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(6)
            routers[1].feed.is_away = False
            state = routers[1].state
            while state.newest_weights(MODEL) != 4:
                await trio.sleep(0.01)
            self.assertLessEqual(state.replaced_at(MODEL, 3), named_at)
            self.hub.cut.clear()
            await trio.sleep(2)
            replaced_at = state.replaced_at(MODEL, 3)
            self.assertAlmostEqual(replaced_at, named_at, delta=0.1)
            nursery.cancel_scope.cancel()

    async def test_naming_that_is_read_after_a_pause(self) -> None:
        """Guards against an age that counts from the end of a short freeze."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            self.name_weights(3)
            await trio.sleep(6.2)
            self.name_weights(4)
            named_at = trio.current_time()
            self.clock.jump(1.5)
            await trio.sleep(0.1)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at)
            nursery.cancel_scope.cancel()

    async def test_answer_that_waited_says_nothing_of_now(self) -> None:
        """Guards against "nothing newer" that is taken for news when it is old."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            self.name_weights(3)
            await trio.sleep(5)
            router.feed.held = trio.Event()
            await trio.sleep(4)
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(2)
            self.assertFalse(router.state.is_confirmed(1.5))
            router.feed.held.set()
            await trio.sleep(0.1)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at)
            nursery.cancel_scope.cancel()

    async def test_age_that_was_under_way_for_long(self) -> None:
        """Guards against a peer's word that makes weights younger by its delay."""
        async with trio.open_nursery() as nursery:
            self.start(nursery, 2)
            self.name_weights(3)
            await trio.sleep(5)
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(3)
            self.hub.delay_s = 2
            router = self.start_router(nursery, "r1")
            await trio.sleep(6)
            replaced_at = router.state.replaced_at(MODEL, 3)
            self.assertLessEqual(replaced_at, named_at + 0.1)
            self.assertGreater(replaced_at, named_at - 5)
            nursery.cancel_scope.cancel()

    async def test_confirmation_that_is_read_after_a_pause(self) -> None:
        """Guards against denials by a configuration that an old word confirmed."""
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

    async def test_weights_named_while_all_routers_stand_still(self) -> None:
        """Guards against an age that counts from the end of a freeze of all routers."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            self.name_weights(3)
            await trio.sleep(6.5)
            self.name_weights(4)
            named_at = trio.current_time()
            self.clock.jump(2.2)
            await trio.sleep(3)
            for router in routers:
                self.assertEqual(router.state.newest_weights(MODEL), 4)
                self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at)
            nursery.cancel_scope.cancel()

    async def test_weights_named_after_an_answer_that_a_freeze_held_up(self) -> None:
        """Guards against the same where a watch without news ended in the freeze."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            self.name_weights(3)
            await trio.sleep(1)
            named_at: list[float] = []

            def freeze() -> None:
                self.clock.jump(0.5)
                self.name_weights(4)
                named_at.append(trio.current_time())
                self.clock.jump(1.2)

            router.feed.on_its_way = freeze
            await trio.sleep(6)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at[0])
            nursery.cancel_scope.cancel()

    async def test_age_that_waited_for_a_frozen_router(self) -> None:
        """Guards against a peer's word that counts from the end of a freeze."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 2)
            await trio.sleep(1)
            self.name_weights(3)
            await trio.sleep(5)
            routers[1].feed.is_silent = True
            await trio.sleep(4)
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(0.005)
            told = routers[0].state.named_ages()
            self.assertEqual([word.version for word in told], [3, 4])
            self.clock.jump(2.0)
            answer = StateAnswer(1, (), named=told)
            await routers[1].follower.on_state_answer(InstanceId("r0"), answer)
            replaced_at = routers[1].state.replaced_at(MODEL, 3)
            self.assertFalse(named_at + 0.1 < replaced_at < math.inf)
            nursery.cancel_scope.cancel()

    async def test_stall_before_a_naming_that_is_seen(self) -> None:
        """Guards against old weights that nobody may use after a stall of routers."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            self.name_weights(3)
            await trio.sleep(6.2)
            self.clock.jump(0.5)
            await trio.sleep(1.5)
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(0.1)
            replaced_at = router.state.replaced_at(MODEL, 3)
            self.assertAlmostEqual(replaced_at, named_at, delta=0.1)
            nursery.cancel_scope.cancel()

    async def test_naming_that_was_held_back_from_a_router(self) -> None:
        """Guards against an age that counts from a watch that was answered late."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(1)
            self.name_weights(3)
            await trio.sleep(1)
            router.feed.holds_back_s = 5.0
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(6)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at)
            nursery.cancel_scope.cancel()

    async def test_naming_that_a_peers_table_shows(self) -> None:
        """Guards against an age that counts from when a peer's objects came."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(1)
            self.name_weights(3)
            await trio.sleep(1)
            router.feed.is_silent = True
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(5)
            stored = self.store.tables[WEIGHTS][MODEL]
            told = StateObjects(WEIGHTS, stored.revision, (stored,))
            await router.follower.on_state_objects("r9", told)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at)
            nursery.cancel_scope.cancel()

    async def test_router_of_a_large_fleet_that_is_linked_late(self) -> None:
        """Guards against seconds without older weights after a restart."""
        async with trio.open_nursery() as nursery:
            self.start(nursery, 14)
            await trio.sleep(1)
            self.name_weights(3)
            await trio.sleep(5)
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(6)
            self.hub.cut.add("r14")
            router = self.start_router(nursery, "r14")
            await trio.sleep(1.5)
            self.assertEqual(router.state.replaced_at(MODEL, 3), -math.inf)
            self.hub.cut.clear()
            await trio.sleep(0.3)
            replaced_at = router.state.replaced_at(MODEL, 3)
            self.assertAlmostEqual(replaced_at, named_at, delta=0.1)
            nursery.cancel_scope.cancel()

    async def test_ages_that_all_know_cost_no_message(self) -> None:
        """Guards against answers to offers whose sender lacks nothing."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, 3)
            await trio.sleep(5)
            n_before = self.hub.n_messages
            await trio.sleep(20)
            n_usual = self.hub.n_messages - n_before
            self.name_weights(3)
            await trio.sleep(2)
            n_before = self.hub.n_messages
            await trio.sleep(20)
            self.assertEqual(len(routers[0].state.named_ages()), 1)
            self.assertLess(self.hub.n_messages - n_before, 1.1 * n_usual)
            nursery.cancel_scope.cancel()

    async def test_questions_while_much_changes_and_the_store_is_away(self) -> None:
        """Guards against an answer of each peer to each of many offers."""
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
                    told = FeedChanges((FeedChange(stored, False),), 100 + number)
                    router.state.apply_changes(INSTANCES, told)
                await trio.sleep(0.2)
            n_pairs = 14 * 13
            n_offers, n_questions = 55 * n_pairs, 10 / (0.8 * 3.0) * n_pairs
            self.assertLess(self.hub.n_messages - n_before, n_offers + 2 * n_questions)
            nursery.cancel_scope.cancel()
