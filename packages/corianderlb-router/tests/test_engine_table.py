"""Engine choice by a router's own attempts and by updates from its peers."""

from __future__ import annotations

import random
from unittest import mock

import trio

from corianderlb_core.engine_choice import EngineQuery
from corianderlb_core.forwarding import Prompt, PromptPart
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import EngineUpdate
from corianderlb_router.engine_table import UNREACHED_BACKOFF_S, EngineTable
from corianderlb_router.health_table import HealthTable
from corianderlb_router.object_feed import FeedListing
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    INSTANCES,
    MODEL,
    TableDecoder,
    a_state,
    an_instance,
    send_permits,
)

ENGINES = ("e1", "e2", "e3")
PROMPT = Prompt(MODEL, (PromptPart("shared", 5000), PromptPart("own", 100)), 5100, 20)


class EngineTableTest(TrioTestCase):
    def make_table(self, name: str, hub: FakeHub) -> EngineTable:
        """Return the engine table of a router that knows three engines."""
        decoder = TableDecoder()
        state = a_state(decoder)
        listed = tuple(decoder.put(an_instance(x, "llm"), x) for x in ENGINES)
        state.apply_listing(INSTANCES, FeedListing(listed, 20))
        self.state = state
        rng = random.Random(1)
        self.health = HealthTable(rng)
        peers = hub.join(name)
        permits = send_permits(state, peers)
        return EngineTable(state, self.health, peers, permits, rng)

    def chosen(self, table: EngineTable) -> str:
        """Return the engine that the table chooses for a prompt."""
        return table.choose(self.query(), "llm", ()).view.instance.instance

    def query(self) -> EngineQuery:
        """Return a prompt to place now."""
        return EngineQuery(
            prompt=PROMPT,
            isolation_key="",
            objective_left_s=1.0,
            kv_capacity=200_000,
            zone="zone-a",
            now=trio.current_time(),
        )

    async def test_engine_reported_unreachable_by_peers(self) -> None:
        # Each router of a large fleet would otherwise lose time on several requests
        # before it avoids the unresponsive engine.
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            preferred = self.chosen(table)
            update = EngineUpdate(unreached=((preferred, 1),))
            await table.on_engine_update(InstanceId("r2"), update)
            self.assertEqual(self.chosen(table), preferred)
            await table.on_engine_update(InstanceId("r3"), update)
            self.assertNotEqual(self.chosen(table), preferred)
            await trio.sleep(UNREACHED_BACKOFF_S)
            self.assertEqual(self.chosen(table), preferred)

    async def test_single_unreachable_report_is_ignored(self) -> None:
        # A router that lost its connection to the engines must not turn the others away
        # from engines that serve them.
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            preferred = self.chosen(table)
            update = EngineUpdate(unreached=tuple((name, 1) for name in ENGINES))
            for _ in range(5):
                await table.on_engine_update(InstanceId("r2"), update)
            self.assertEqual(self.chosen(table), preferred)

    async def test_engine_that_responds_here_stays_in_use(self) -> None:
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            preferred = self.chosen(table)
            update = EngineUpdate(unreached=((preferred, 1),))
            for peer in ("r2", "r3"):
                await table.on_engine_update(InstanceId(peer), update)
            await trio.sleep(0.1)
            self.health.record_data((preferred, 1))
            self.assertEqual(self.chosen(table), preferred)

    async def test_choices_build_no_state_of_engines_that_did_not_change(self) -> None:
        """Guards against choices that cost as much as the fleet has engines."""
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            with mock.patch.object(table, "view", wraps=table.view) as view:
                for _ in range(200):
                    self.chosen(table)
                self.assertLessEqual(view.call_count, len(ENGINES))
                table.weights.learn(self.state.instance("e1"), MODEL, 3)
                self.chosen(table)
                views = table._views("llm", MODEL)
            self.assertEqual([view.weights_version for view in views], [3, 1, 1])

    async def test_known_parts_are_announced_once(self) -> None:
        """Guards against reports that grow with the requests and not with news."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            table, peer = self.make_table("r1", hub), self.make_table("r2", hub)
            n_announced = 0

            async def on_update(sender: InstanceId, update: EngineUpdate) -> None:
                nonlocal n_announced
                n_announced += len(update.parts)

            hub.networks["r2"].subscribe(EngineUpdate, on_update)
            nursery.start_soon(table.run)
            for number in range(50):
                choice = table.choose(self.query(), "llm", ())
                table.sent(f"q{number}", choice, ("shared",))
                await trio.sleep(0.05)
                table.first_token(f"q{number}", choice, ("shared",), False)
                table.ended(f"q{number}", choice, ("shared",), True)
            await trio.sleep(1)
            self.assertEqual(len(peer.index), 1)
            # Being prefilled and ready, once on each engine.
            self.assertLessEqual(n_announced, 2 * len(ENGINES))
            nursery.cancel_scope.cancel()

    async def test_unreachable_engine_is_announced_at_once(self) -> None:
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            received: list[EngineUpdate] = []

            async def receive(sender: InstanceId, update: EngineUpdate) -> None:
                received.append(update)

            hub.join("r2").subscribe(EngineUpdate, receive)
            table = self.make_table("r1", hub)
            nursery.start_soon(table.run)
            table.unreached(self.state.instance("e1"))
            await trio.sleep(0.1)
            self.assertEqual([update.unreached for update in received], [(("e1", 1),)])
            nursery.cancel_scope.cancel()
