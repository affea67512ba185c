"""Engine choice by a router's own attempts and by updates from its peers."""

from __future__ import annotations

import dataclasses
import random
from dataclasses import replace
from unittest import mock

import trio

from corianderlb_core.engine_choice import EngineQuery
from corianderlb_core.forwarding import Prompt, PromptPart
from corianderlb_core.identity import InstanceId
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.message import CrashReport, EngineUpdate, EngineWork
from corianderlb_core.part_gossip import HeldPart, engine_digest, pack
from corianderlb_core.part_index import part_key
from corianderlb_core.weights_rollout import EnginePhase
from corianderlb_router.engine_table import UNREACHED_BACKOFF_S, EngineTable
from corianderlb_router.fleet_memory import FleetMemory
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
    def make_table(self, name: str, hub: FakeHub, **fields: bool) -> EngineTable:
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
        return EngineTable(state, self.health, peers, permits, rng, **fields)

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

    async def test_choice_rests_on_all_reports_that_have_arrived(self) -> None:
        """Guards against reports that count from when they are merged, or never."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            table, other = self.make_table("r1", hub), self.make_table("r2", hub)
            other._peers.broadcast(EngineUpdate((EngineWork("e1", 1, 9_000, 3),)))
            await trio.sleep(0.05)
            arrived_by = trio.current_time()
            await trio.sleep(0.3)
            self.assertEqual(table._engines, {})
            self.chosen(table)
            estimator = table.view(self.state.instance("e1"), MODEL).estimator
            self.assertLessEqual(estimator.peers["r2"].at, arrived_by)

    async def test_report_that_cannot_be_merged_is_dropped_alone(self) -> None:
        """Guards against requests that fail for what a peer reported."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            table, other = self.make_table("r1", hub), self.make_table("r2", hub)
            for work in (EngineWork("e1", 1, 10**400, 3), EngineWork("e2", 1, 9, 3)):
                other._peers.broadcast(EngineUpdate((work,)))
            await trio.sleep(0.05)
            self.chosen(table)
            estimator = table.view(self.state.instance("e2"), MODEL).estimator
            self.assertEqual(list(estimator.peers), ["r2"])

    async def test_reports_are_merged_without_a_choice(self) -> None:
        """Guards against reports that pile up at a router without requests."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            table, other = self.make_table("r1", hub), self.make_table("r2", hub)
            for _ in range(30):
                other._peers.broadcast(EngineUpdate((EngineWork("e1", 1, 9_000, 3),)))
                await trio.sleep(0.025)
                self.assertLessEqual(len(table._unmerged), 5)
            nursery.start_soon(table.run)
            await trio.sleep(1)
            self.assertEqual(table._unmerged, [])
            nursery.cancel_scope.cancel()

    async def test_engine_that_a_peer_found_crashed(self) -> None:
        """Guards against routers that each lose requests at a crashed engine."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            table = self.make_table("r1", hub, avoid_crashed=True)
            preferred = self.chosen(table)
            other = CrashReport(f"{preferred}@2", ())
            await table.on_crash_report(InstanceId("r2"), other)
            self.assertEqual(self.chosen(table), preferred)
            report = CrashReport(f"{preferred}@1", ())
            await table.on_crash_report(InstanceId("r2"), report)
            self.assertNotEqual(self.chosen(table), preferred)
            self.assertNotIn((preferred, 1), table.usable("llm").rates)
            await trio.sleep(UNREACHED_BACKOFF_S)
            self.assertEqual(self.chosen(table), preferred)

    async def test_engine_that_answers_after_a_report_of_its_crash(self) -> None:
        """Guards against an engine that is left idle for a report that is wrong."""
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery), avoid_crashed=True)
            preferred = self.chosen(table)
            report = CrashReport(f"{preferred}@1", ())
            await table.on_crash_report(InstanceId("r2"), report)
            await trio.sleep(0.01)
            self.health.record_data((preferred, 1))
            self.assertEqual(self.chosen(table), preferred)

    async def test_queues_are_kept_level(self) -> None:
        """Guards against a setting that has no effect on the choice of an engine."""
        async with trio.open_nursery() as nursery:
            chosen = {}
            for level_queues in (False, True):
                table = self.make_table(
                    "r1", FakeHub(nursery), level_queues=level_queues
                )
                for _ in range(5):
                    work = EngineWork("e1", 1, 0, 0, n_read_tokens=100_000)
                    update = EngineUpdate((work,))
                    await table.on_engine_update(InstanceId("r2"), update)
                chosen[level_queues] = {self.chosen(table) for _ in range(50)}
            self.assertEqual(len(chosen[False]), 1)
            self.assertEqual(len(chosen[True]), 3)

    async def test_counts_that_engines_report_are_told_to_peers(self) -> None:
        """Guards against a full engine that seems empty to those it didn't answer."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            for level_queues in (False, True):
                told, hears = (
                    self.make_table(
                        f"{name}{level_queues}", hub, level_queues=level_queues
                    )
                    for name in ("r1", "r2")
                )
                now = trio.current_time()
                report = InstanceLoadReport(16, 12, 16)
                told.record_report(self.state.instance("e1"), report)
                speeds = told.speeds.announcement(now)
                self.assertEqual(speeds is not None, level_queues)
                update = EngineUpdate(speeds=speeds)
                await hears.on_engine_update(InstanceId("r1"), update)
                hears.merge_reports()
                n_busy = hears.reported(("e1", 1)).n_busy(now)
                self.assertEqual(n_busy, 28 if level_queues else None)

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

    async def test_engines_without_memory_take_nothing(self) -> None:
        """Guards against engines that crash from what other routers have sent."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            table = self.make_table("r1", hub)
            hub.join("r2")
            table.memory = FleetMemory(table._peers)
            work = [EngineWork(name, 1, 0, 30, 0, 110_000) for name in ENGINES]
            self.assertTrue(table.choose(self.query(), "llm", ()).has_room)
            await table.on_engine_update(InstanceId("r2"), EngineUpdate(tuple(work)))
            choice = table.choose(self.query(), "llm", ())
            # Both routers own a half of the reserve, of 35,000 tokens each.
            self.assertTrue(choice.has_room)
            for number in range(7 * len(ENGINES)):
                choice = table.choose(self.query(), "llm", ())
                table.sent(f"{number}", choice, ())
            self.assertFalse(table.choose(self.query(), "llm", ()).has_room)
            self.assertTrue(table.memory.n_full)
            table.memory = None
            self.assertTrue(table.choose(self.query(), "llm", ()).has_room)

    async def test_engines_that_can_not_be_used_have_no_room(self) -> None:
        """Guards against work that is admitted for engines that are down or load."""
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            self.assertEqual(set(table.usable("llm").rates.values()), {1.0})
            n_places = table.usable("llm").n_places
            update = EngineUpdate(unreached=(("e1", 1),))
            for peer in ("r2", "r3"):
                await table.on_engine_update(InstanceId(peer), update)
            table.weights.set_phase(self.state.instance("e2"), EnginePhase.LOADING)
            usable = table.usable("llm")
            self.assertEqual([key[0] for key in usable.rates], ["e3"])
            self.assertEqual(usable.n_places, n_places / 3)
            await trio.sleep(UNREACHED_BACKOFF_S)
            self.assertIn(("e1", 1), table.usable("llm").rates)

    async def test_engine_that_refuses_as_full_can_be_used(self) -> None:
        """Guards against a room that shrinks since engines are full."""
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            table.refused(self.state.instance("e1"))
            self.assertEqual(len(table.usable("llm").rates), 3)

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

    async def test_news_of_a_part_reaches_peers_and_their_links(self) -> None:
        """Guards against a part that is read again by a router without a link."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            table, peer = self.make_table("r1", hub), self.make_table("r2", hub)
            query = dataclasses.replace(self.query(), reads_once=True)
            choice = table.choose(query, "llm", ())
            table.sent("q", choice, ("shared",))
            table.first_token("q", choice, ("shared",), False)
            update = EngineUpdate(held_parts=pack(table.part_gossip.take()))
            gone = HeldPart(part_key(choice.scope, "shared"), engine_digest(("e9", 1)))
            unknown = EngineUpdate(held_parts=pack([gone]) + b"cut")
            with mock.patch.object(peer._peers, "reach", return_value=0.25):
                peer._rng.random = lambda: 0.0
                for _ in range(3):
                    await peer.on_engine_update(InstanceId("r1"), unknown)
                    await peer.on_engine_update(InstanceId("r1"), update)
                peer.merge_reports()
            held = peer.index.coverage(
                choice.scope,
                [("shared", 5000)],
                choice.view.instance.incarnation_key,
                200_000,
            )
            self.assertEqual(held.n_held, 5000)
            self.assertEqual(len(peer.part_gossip.take()), 1)

    async def test_engine_without_permits_is_a_source_unless_it_may_be_down(
        self,
    ) -> None:
        """Guards against parts read again, and against fetches from a dead engine."""
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            query = dataclasses.replace(self.query(), reads_once=True)
            holder = self.state.instance("e1")
            parts = [PromptPart("shared", 5000)]
            table.part_gossip.record_read(
                query.scope(1), parts, holder.incarnation_key, True
            )

            def may_send(instance) -> bool:
                return instance.instance != "e1"

            with mock.patch.object(table._permits, "may_send", may_send):
                self.assertEqual(
                    table.choose(query, "llm", ()).fetch_from, holder.address
                )
                table.unreached(holder)
                self.assertNotEqual(
                    table.choose(query, "llm", ()).fetch_from, holder.address
                )

    async def test_engines_that_have_loaded_are_used_instead_of_outdated_ones(
        self,
    ) -> None:
        """Guards against answers on old weights since new ones are to be spared."""
        async with trio.open_nursery() as nursery:
            table = self.make_table("r1", FakeHub(nursery))
            self.chosen(table)
            report = InstanceLoadReport(1, 0, 64, 1.0)
            table.paces.reported(self.state.instance("e1"), report)
            table.weights.learn(self.state.instance("e1"), MODEL, 2)
            self.assertTrue(table.paces.is_paced(self.state.instance("e1")))
            views = table._views("llm", MODEL)

            def spared(replaced_ago_s: float) -> frozenset:
                now = trio.current_time()
                old_at = now - replaced_ago_s
                dated = [
                    view
                    if view.weights_version == 2
                    else dataclasses.replace(view, replaced_at=old_at)
                    for view in views
                ]
                return table._with_turns(self.query(), dated, "llm").primary_only

            self.assertEqual(spared(0.2), frozenset({("e1", 1)}))
            self.assertEqual(spared(1.0), frozenset())

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

    async def observe(
        self, table: EngineTable, report: InstanceLoadReport | None
    ) -> None:
        """Serve prompts at all engines, the first of which takes twice as long."""
        for number in range(30):
            choice = table.choose(self.query(), "llm", ())
            for name in ENGINES:
                instance = self.state.instance(name)
                view = table.view(instance, MODEL)
                table.sent(f"{number}", replace(choice, view=view), ())
            await trio.sleep(0.1)
            for name in reversed(ENGINES):
                if name == "e1":
                    await trio.sleep(0.07)
                instance = self.state.instance(name)
                view = table.view(instance, MODEL)
                if report is not None:
                    table.record_report(instance, report)
                chosen = replace(choice, view=view)
                table.first_token(f"{number}", chosen, (), False)
                table.ended(f"{number}", chosen, (), True)

    async def test_router_learns_speeds_and_slowdowns_from_its_peers(self) -> None:
        """Guards against routers that know only the engines that they have used."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            peer = self.make_table("r2", hub)
            table = self.make_table("r1", hub)
            nursery.start_soon(table.run)
            await self.observe(table, InstanceLoadReport(1, 0, 64, 1.7))
            self.chosen(peer)
            found = peer.tokens_per_s()
            self.assertGreater(found["e2"], 1.5 * found["e1"])
            self.assertAlmostEqual(peer.slowdowns()["e3"], 1.7)
            # Those who come back after a refusal are spaced by what all can do.
            choice = peer.choose(self.query(), "llm", ())
            spacing_s = choice.n_missing / sum(found.values())
            self.assertAlmostEqual(peer.spacing_s(choice, "llm"), spacing_s)
            # A router that starts now, all others as they are.
            started = self.make_table("r3", hub)
            self.chosen(started)
            self.assertEqual(started.tokens_per_s(), {})
            await self.observe(table, InstanceLoadReport(1, 0, 64, 1.7))
            found = started.tokens_per_s()
            self.assertGreater(found["e2"], 1.5 * found["e1"])
            nursery.cancel_scope.cancel()

    async def test_engines_that_report_three_figures_are_served_as_before(self) -> None:
        for report in (None, InstanceLoadReport(1, 0, 64)):
            async with trio.open_nursery() as nursery:
                hub = FakeHub(nursery)
                received: list[EngineUpdate] = []

                async def receive(
                    sender: InstanceId,
                    update: EngineUpdate,
                    received: list[EngineUpdate] = received,
                ) -> None:
                    received.append(update)

                hub.join("r2").subscribe(EngineUpdate, receive)
                table = self.make_table("r1", hub)
                nursery.start_soon(table.run)
                await self.observe(table, report)
                self.assertTrue(received)
                self.assertEqual({update.speeds for update in received}, {None})
                self.assertEqual(table.tokens_per_s(), {})
                nursery.cancel_scope.cancel()
