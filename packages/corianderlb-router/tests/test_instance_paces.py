"""Paces of instances that start, by the platform's list, answers and peers' reports."""

from __future__ import annotations

import dataclasses
import random
import time

import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.message import EngineUpdate, InstancePaceReport
from corianderlb_router.engine_table import EngineTable
from corianderlb_router.health_table import HealthTable
from corianderlb_router.instance_paces import InstancePaces
from corianderlb_router.object_feed import FeedListing
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakePeers
from forward_builders import (
    INSTANCES,
    TableDecoder,
    Upstream,
    a_fleet,
    a_late_answer,
    a_state,
    an_answer,
    an_instance,
    send_permits,
)

SLOWDOWN = InstanceLoadReport(1, 0, 64, 1.0)
"""Report of an instance that says how long work takes at the moment."""

WALL_S = 1_000_000.0
OLD = int(1000 * (WALL_S - 3600))
"""Unix milliseconds of the start of instances that are long in use."""


class PacedRouter:
    """A router that knows two old engines, which report their slowdown."""

    def __init__(self, fleet: list[FakePeers], name: str = "r1") -> None:
        self.decoder = TableDecoder()
        self.state = a_state(self.decoder)
        self.peers = FakePeers(name, fleet)
        self.paces = InstancePaces(
            self.state, self.peers, random.Random(1), lambda: WALL_S
        )
        self.listed: list[ForwardInstance] = []
        self.revision = 20

    def start(self) -> None:
        """Hear of two old engines."""
        self.list(an_instance("e1", "llm", born_ms=OLD))
        self.list(an_instance("e2", "llm", born_ms=OLD))
        self.paces.reported(self.listed[0], SLOWDOWN)

    def list(self, instance: ForwardInstance) -> None:
        """Add an instance to the platform's list, or replace its entry."""
        self.revision += 1
        others = [item for item in self.listed if item.instance != instance.instance]
        self.listed = [*others, instance]
        stored = tuple(
            self.decoder.put(dataclasses.replace(item), item.instance, self.revision)
            for item in self.listed
        )
        self.state.apply_listing(INSTANCES, FeedListing(stored, self.revision))

    def allowed(self) -> list[str]:
        """Return the names of the engines that may be sent a request now."""
        known = self.state.instances("llm")
        waiting = self.paces.without_turn(known, lambda item: item, "llm")
        return sorted(item.instance for item in known if item not in waiting)


class InstancePacesTest(TrioTestCase):
    def a_router(self, n_routers: int = 10) -> PacedRouter:
        """Build one of several routers that has heard of two old engines."""
        fleet: list[FakePeers] = []
        for number in range(n_routers - 1):
            FakePeers(f"p{number}", fleet)
        router = PacedRouter(fleet)
        router.start()
        router.allowed()
        return router

    async def test_off_without_reports_of_slowdown(self) -> None:
        """Guards against a change for deployments that didn't ask for it."""
        router = PacedRouter([])
        router.list(an_instance("e1", "llm", born_ms=OLD))
        router.paces.reported(router.listed[0], InstanceLoadReport(1, 0, 64))
        router.allowed()
        router.list(an_instance("e2", "llm", born_ms=2))
        self.assertEqual(router.allowed(), ["e1", "e2"])
        self.assertEqual(len(router.paces), 0)

    async def test_new_instance_takes_turns_until_it_is_steady(self) -> None:
        router = self.a_router()
        self.assertEqual(router.allowed(), ["e1", "e2"])
        router.list(an_instance("e3", "llm", born_ms=2))
        self.assertEqual(router.allowed(), ["e1", "e2"])
        n_allowed = 0
        for number in range(60):
            await trio.sleep(0.1)
            if "e3" in router.allowed() and len(router.paces):
                n_allowed += 1
                key = f"q{number}"
                router.paces.sent(router.listed[-1], key, 0.03, 0.05, 1.0)
                router.paces.answered(router.listed[-1], key)
        self.assertGreater(n_allowed, 3)
        self.assertLess(n_allowed, 15)
        self.assertEqual(len(router.paces), 0)
        self.assertEqual(router.allowed(), ["e1", "e2", "e3"])

    async def test_router_that_starts_paces_only_recent_instances(self) -> None:
        """Guards against routers that, all restarted, hold back the whole fleet."""
        router = PacedRouter([])
        born_ms = int(1000 * (WALL_S - 0.5))
        router.list(an_instance("e1", "llm", born_ms=OLD))
        router.list(an_instance("e2", "llm", born_ms=born_ms))
        router.list(an_instance("e3", "llm", born_ms=born_ms + 3_600_000))
        router.allowed()
        self.assertEqual(len(router.paces), 0)
        router.paces.reported(router.listed[0], SLOWDOWN)
        self.assertEqual(len(router.paces), 1)

    async def test_engine_that_has_loaded_weights(self) -> None:
        """Guards against requests of all routers that meet at the first to be ready."""
        router = self.a_router()
        loaded = dataclasses.replace(router.listed[0], weights=(("m", 2),))
        router.list(loaded)
        self.assertEqual(router.allowed(), ["e2"])
        self.assertGreater(router.paces.slowest, 0.5)

    async def test_one_router_cut_off_from_an_instance(self) -> None:
        """Guards against a whole fleet held back by a router with a broken link."""
        router = self.a_router()
        for _ in range(3):
            router.paces.unreachable(router.listed[0], "p1")
        self.assertEqual(len(router.paces), 0)
        router.paces.unreachable(router.listed[0], "p2")
        self.assertEqual(len(router.paces), 1)
        await trio.sleep(2)
        before = router.paces.slowest
        for peer in ("p1", "p2", "p3"):
            router.paces.unreachable(router.listed[0], peer)
        self.assertLess(router.paces.slowest, before)

    async def test_reports_of_what_changed_alone(self) -> None:
        """Guards against bytes for instances to which nothing is sent."""
        router = self.a_router()
        instance = an_instance("e3", "llm", born_ms=2)
        router.list(instance)
        router.allowed()
        self.assertEqual(router.paces.reports(), ())
        router.paces.sent(instance, "q1", 0.03, 0.05, 1.0)
        router.paces.answered(instance, "q1")
        sent = [router.paces.reports() for _ in range(5)]
        self.assertEqual([len(reports) for reports in sent], [1, 1, 1, 0, 0])
        self.assertAlmostEqual(sent[0][0].answered_s, 0.05)

    async def test_peer_that_found_an_instance_slow(self) -> None:
        router = self.a_router()
        router.list(an_instance("e3", "llm", born_ms=2))
        router.allowed()
        await trio.sleep(1)
        before = router.paces.slowest
        report = InstancePaceReport("e3", 2, 1, 0.1, 0.1, 0.0)
        router.paces.merge(InstanceId("p1"), (report,))
        self.assertLess(router.paces.slowest, before)
        # One of an instance that is unknown, or long steady, changes nothing.
        unknown = InstancePaceReport("e9", 2, 1, 0.1, 0.1, 0.0)
        steady = InstancePaceReport("e1", OLD, 1, 0.1, 0.1, 0.0)
        router.paces.merge(InstanceId("p1"), (unknown, steady))
        self.assertEqual(len(router.paces), 1)

    async def test_entry_that_had_expired(self) -> None:
        """Guards against a whole fleet held back when the store is back."""
        router = self.a_router()
        listed, router.listed = router.listed, []
        router.list(an_instance("e9", "llm", born_ms=OLD))
        router.allowed()
        for instance in listed:
            router.list(instance)
        router.list(listed[0])
        self.assertEqual(router.allowed()[:2], ["e1", "e2"])

    async def test_instance_that_is_gone(self) -> None:
        router = self.a_router()
        router.list(an_instance("e3", "llm", born_ms=2))
        router.allowed()
        router.list(an_instance("e3", "llm", born_ms=3))
        router.allowed()
        self.assertEqual(len(router.paces), 1)

    async def test_table_tells_the_peers(self) -> None:
        fleet: list[FakePeers] = []
        received: list[EngineUpdate] = []

        async def receive(sender: InstanceId, update: EngineUpdate) -> None:
            received.append(update)

        FakePeers("r2", fleet).subscribe(EngineUpdate, receive)
        router = PacedRouter(fleet)
        permits = send_permits(router.state, router.peers)
        rng = random.Random(1)
        table = EngineTable(router.state, HealthTable(rng), router.peers, permits, rng)
        router.paces = table.paces
        router.start()
        router.allowed()
        instance = an_instance("e3", "llm", born_ms=2)
        router.list(instance)
        router.allowed()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(table.run)
            table.paces.sent(instance, "q1", 0.03, 0.05, 1.0)
            table.paces.answered(instance, "q1")
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        told = [report for update in received for report in update.paces]
        self.assertEqual([report.instance for report in told], ["e3"] * 3)

    async def test_choice_among_instances_costs_little(self) -> None:
        """Guards against a request that pays for all that is paced."""
        router = self.a_router(63)
        for number in range(30):
            router.list(an_instance(f"n{number}", "llm", born_ms=2))
            router.allowed()
        self.assertEqual(len(router.paces), 30)
        took_s = 0.0
        for _ in range(50):
            await trio.sleep(0.01)
            started = time.process_time()
            router.allowed()
            took_s += time.process_time() - started
        self.assertLess(took_s / 50, 0.002)

    async def test_calls_of_a_plain_service(self) -> None:
        """Guards against a service of which a new instance gets all calls at once."""
        async with a_fleet(
            4,
            a1=Upstream([a_late_answer(an_answer(), 0.03)]),
            a2=Upstream([a_late_answer(an_answer(), 0.03)]),
        ) as routers:
            for router in routers:
                instances = router.state.instances("app")
                router.engine_table.paces.reported(instances[0], SLOWDOWN)
                await router.ask("/read/x")
                router.list_instances(
                    *instances,
                    an_instance("a3", "app", born_ms=2),
                    revision=30,
                )
            router = routers[0]
            router.network.upstreams["a3"] = Upstream(
                [a_late_answer(an_answer(), 0.03)]
            )
            paces = router.engine_table.paces
            new = router.network.upstreams["a3"]
            for _ in range(30):
                caller = await router.ask("/read/x")
                self.assertEqual(caller.status, 200)
            self.assertLess(len(new.requests), 5)
            self.assertEqual(len(paces), 1)
            for _ in range(60):
                await trio.sleep(0.1)
                await router.ask("/read/x")
            self.assertEqual(len(paces), 0)
            self.assertGreater(len(new.requests), 5)
