"""How a router keeps up with a store that is away, silent or forgetful."""

from __future__ import annotations

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import StateAnswer
from corianderlb_router.object_feed import (
    FeedChange,
    FeedChanges,
)
from forward_builders import (
    CONFIGURATION,
    INSTANCES,
    an_instance,
)
from state_builders import StateCase


class StateFollowerTest(StateCase):
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
