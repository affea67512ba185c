"""Age of replaced weights at routers that did not see the replacement."""

from __future__ import annotations

import math

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import StateAnswer, StateObjects
from forward_builders import (
    MODEL,
    WEIGHTS,
)
from state_builders import StateCase


class WeightsAgeTest(StateCase):
    async def test_restarted_router_learns_when_weights_were_replaced(self) -> None:
        """Guard against a restarted router taking weights for freshly replaced."""
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
        """Guard against old weights counting as recent if no router knows their age."""
        async with trio.open_nursery() as nursery:
            self.start(nursery, 0)
            self.name_weights(4)
            routers = [self.start_router(nursery, f"r{n}") for n in range(3)]
            await trio.sleep(3)
            for router in routers:
                self.assertEqual(router.state.newest_weights(MODEL), 4)
                self.assertEqual(router.state.replaced_at(MODEL, 3), -math.inf)
            nursery.cancel_scope.cancel()

    async def test_router_disconnected_while_weights_were_named(self) -> None:
        """Guard against an age counted from the end of a freeze or an outage."""
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

    async def test_new_version_read_after_a_pause(self) -> None:
        """Guard against an age counted from the end of a short freeze."""
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

    async def test_delayed_response_does_not_confirm_the_state(self) -> None:
        """Guard against a stale "nothing newer" response counting as current."""
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

    async def test_age_message_that_was_delayed(self) -> None:
        """Guard against a peer's message reducing the age by its delay."""
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

    async def test_weights_named_while_all_routers_are_frozen(self) -> None:
        """Guard against an age counted from the end of a freeze of all routers."""
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

    async def test_weights_named_after_a_response_delayed_by_a_freeze(self) -> None:
        """Guard against the same if a watch without changes ended during the freeze."""
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

            router.feed.before_empty_answer = freeze
            await trio.sleep(6)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at[0])
            nursery.cancel_scope.cancel()

    async def test_age_message_received_after_a_freeze(self) -> None:
        """Guard against a peer's message counting from the end of a freeze."""
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
            told = routers[0].state.published_ages()
            self.assertEqual([word.version for word in told], [3, 4])
            self.clock.jump(2.0)
            answer = StateAnswer(1, (), named=told)
            await routers[1].follower.on_state_answer(InstanceId("r0"), answer)
            replaced_at = routers[1].state.replaced_at(MODEL, 3)
            self.assertFalse(named_at + 0.1 < replaced_at < math.inf)
            nursery.cancel_scope.cancel()

    async def test_stall_before_a_new_version_that_is_seen(self) -> None:
        """Guard against old weights becoming unusable after a stall of routers."""
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

    async def test_new_version_delivered_late(self) -> None:
        """Guard against an age counted from a watch that was answered late."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, 1)
            await trio.sleep(1)
            self.name_weights(3)
            await trio.sleep(1)
            router.feed.weights_delay_s = 5.0
            self.name_weights(4)
            named_at = trio.current_time()
            await trio.sleep(6)
            self.assertEqual(router.state.newest_weights(MODEL), 4)
            self.assertLessEqual(router.state.replaced_at(MODEL, 3), named_at)
            nursery.cancel_scope.cancel()

    async def test_new_version_learned_from_a_peer(self) -> None:
        """Guard against an age counted from the arrival of a peer's objects."""
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

    async def test_router_of_a_large_fleet_that_connects_late(self) -> None:
        """Guard against seconds without older weights after a restart."""
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

    async def test_known_ages_cause_no_messages(self) -> None:
        """Guard against answers to offers whose sender lacks nothing."""
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
            self.assertEqual(len(routers[0].state.published_ages()), 1)
            self.assertLess(self.hub.n_messages - n_before, 1.1 * n_usual)
            nursery.cancel_scope.cancel()
