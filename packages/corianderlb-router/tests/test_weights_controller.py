"""Weights orders: a single holder, two concurrent loads, and lost responses."""

from __future__ import annotations

import random

import trio
import trio.testing

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import WeightsAnnouncement, WeightsUpdate
from corianderlb_core.settings import OrderSettings
from corianderlb_core.weights_rollout import FINISH_TIMEOUT_S, EnginePhase
from corianderlb_router.engine_orders import (
    EngineOrders,
    EngineReport,
    OrderAnswer,
    WeightsOrder,
)
from corianderlb_router.engine_table import EngineTable
from corianderlb_router.health_table import HealthTable
from corianderlb_router.lease_coordinator import LeaseCoordinator
from corianderlb_router.lease_holder import LeaseHolder
from corianderlb_router.object_feed import FeedListing, NamedWeights
from corianderlb_router.store import StoredObject
from corianderlb_router.weights_controller import WeightsController
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.fake_store import FakeStore
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
    send_permits,
)
from test_lease_coordinator import CutStore

TERMS = OrderSettings(lease_s=3.5, margin_s=0.5, send_s=0.5, flight_s=3.5)


class FakeEngines(EngineOrders):
    """Engines that load weights in 0.8 s; some responses to orders get lost."""

    def __init__(self, nursery: trio.Nursery, *names: str) -> None:
        self._nursery = nursery
        self.versions = dict.fromkeys(names, 1)
        self.busy: set[str] = set()
        self.dead: set[str] = set()
        self.n_orders = dict.fromkeys(names, 0)
        self.tokens: list[int] = []
        self.holders: list[tuple[float, str]] = []
        self.n_max_loading = 0
        self.n_lost_answers = 0
        self.load_s = 0.8
        self.delays_s: list[float] = []
        """Delays of the next orders, which get no response."""
        self.ordered: list[str] = []
        """Engines by the time of their orders, also of those without effect."""

    async def report(self, engine: ForwardInstance) -> EngineReport | None:
        await trio.sleep(0.005)
        name = engine.instance
        if name in self.dead:
            return None
        version = {MODEL: self.versions[name]}
        return EngineReport(version, name in self.busy, self.n_orders[name])

    async def order(self, engine: ForwardInstance, order: WeightsOrder) -> OrderAnswer:
        await trio.sleep(0.005)
        name = engine.instance
        if self.tokens and order.token < max(self.tokens):
            return OrderAnswer.OUTDATED
        self.ordered.append(name)
        if self.delays_s:
            delay_s = self.delays_s.pop(0)
            self._nursery.start_soon(self._take_late, name, order, delay_s)
            await trio.sleep(0.5)
            return OrderAnswer.UNKNOWN
        if not self._take(name, order):
            return OrderAnswer.BUSY
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            await trio.sleep(0.5)
            return OrderAnswer.UNKNOWN
        return OrderAnswer.TAKEN

    async def _take_late(self, name: str, order: WeightsOrder, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self._take(name, order)

    def _take(self, name: str, order: WeightsOrder) -> bool:
        """Carry out an order; return False if it is refused."""
        if name in self.busy or order.expected not in (None, self.n_orders[name]):
            return False
        self.tokens.append(order.token)
        self.holders.append((trio.current_time(), order.holder))
        self.n_orders[name] += 1
        self._nursery.start_soon(self._load, name, order.version)
        return True

    async def _load(self, name: str, version: int) -> None:
        self.busy.add(name)
        self.n_max_loading = max(self.n_max_loading, len(self.busy - self.dead))
        await trio.sleep(self.load_s)
        self.busy.discard(name)
        if name not in self.dead:
            self.versions[name] = version


class CountingStore(FakeStore):
    """Store that counts reads."""

    def __init__(self) -> None:
        super().__init__()
        self.n_gets = 0

    async def get(self, key: str) -> StoredObject | None:
        self.n_gets += 1
        return await super().get(key)


class RouterHarness:
    """Weights controller of one router with its state."""

    def __init__(
        self,
        name: str,
        store,
        hub: FakeHub,
        engines: FakeEngines,
        must_await_earlier_orders: bool = False,
    ) -> None:
        self.decoder = TableDecoder()
        self.state = a_state(self.decoder)
        peers = hub.join(name)
        table = EngineTable(
            self.state,
            HealthTable(random.Random(1)),
            peers,
            send_permits(self.state, peers),
            random.Random(1),
        )
        self.table = table
        lease = LeaseHolder(store, "weights", InstanceId(name), 0, TERMS)
        self.reaches_store = True
        self.coordinator = LeaseCoordinator(
            lease,
            name,
            peers,
            random.Random(name),
            lambda: self.reaches_store,
            lambda: len(hub.networks) - len(hub.dead),
            must_await_earlier_orders=must_await_earlier_orders,
        )
        self.controller = WeightsController(
            self.coordinator, name, self.state, table, engines
        )
        cfg = self.decoder.put(a_configuration(), "main", 10)
        self.state.apply_listing(CONFIGURATION, FeedListing((cfg,), 10))
        listed = tuple(
            self.decoder.put(an_instance(found, "llm"), found)
            for found in engines.versions
        )
        self.state.apply_listing(INSTANCES, FeedListing(listed, 20))

    def start_run(self, name: str) -> None:
        """Start a run on an engine that does not complete."""
        view = self.table.view(self.state.instance(name), MODEL)
        view.estimator.sent("run", 100, trio.current_time(), 100)
        view.estimator.first_token("run", trio.current_time())

    def list_engine(self, name: str, version: int) -> None:
        """List an engine with newer weights in the store."""
        engine = an_instance(name, "llm", weights=((MODEL, version),))
        stored = self.decoder.put(engine, name, 20 + version)
        self.state.apply_listing(INSTANCES, FeedListing((stored,), 20 + version))

    def name_weights(self, version: int) -> None:
        """Name a weights version in the store."""
        stored = self.decoder.put(NamedWeights(MODEL, version), MODEL, 20 + version)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 20 + version))


class WeightsControllerTest(TrioTestCase):
    def start(
        self, nursery: trio.Nursery, n_routers: int = 1, n_engines: int = 5
    ) -> list[RouterHarness]:
        """Start routers over one store and some engines."""
        self.engines = FakeEngines(nursery, *(f"e{n}" for n in range(n_engines)))
        self.hub = FakeHub(nursery)
        self.store = store = CountingStore()
        routers = [
            RouterHarness(f"r{n}", store, self.hub, self.engines)
            for n in range(n_routers)
        ]
        self.scopes = []
        for router in routers:
            scope = trio.CancelScope()
            self.scopes.append(scope)
            nursery.start_soon(run_in_scope, scope, router.controller.run)
        return routers

    async def test_engines_load_two_at_a_time(self) -> None:
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery)
            await trio.sleep(1)
            router.name_weights(2)
            await trio.sleep(3.5)
            self.assertEqual(set(self.engines.versions.values()), {2})
            self.assertEqual(self.engines.n_max_loading, 2)
            self.assertEqual(len(self.engines.tokens), 5)
            nursery.cancel_scope.cancel()

    async def test_order_with_lost_response_is_not_repeated(self) -> None:
        # A repeated order would make the engine load twice and lose its cache.
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery)
            await trio.sleep(1)
            self.engines.n_lost_answers = 3
            router.name_weights(2)
            await trio.sleep(6)
            self.assertEqual(set(self.engines.versions.values()), {2})
            self.assertEqual(len(self.engines.tokens), 5)
            nursery.cancel_scope.cancel()

    async def test_orders_without_response_reach_every_engine(self) -> None:
        """Guards against engines that wait while others are emptied again in vain."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery)
            router.table.n_engines_needed = lambda upstream: 5
            for name in self.engines.versions:
                router.start_run(name)
            await trio.sleep(1.0)
            self.engines.delays_s = [60.0] * 100
            router.name_weights(2)
            await trio.sleep(10.0)
            self.assertEqual(set(self.engines.ordered), set(self.engines.versions))
            await trio.sleep(8.0)
            self.assertGreaterEqual(len(self.engines.ordered), 8)
            nursery.cancel_scope.cancel()

    async def test_late_order_for_older_weights_frees_its_slot(self) -> None:
        """Guards against waiting for a load that a late earlier order made void."""
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery, n_engines=1)
            await trio.sleep(1.0)
            self.engines.delays_s = [2.3, 30.0]
            router.name_weights(2)
            await trio.sleep(1.3)
            router.name_weights(3)
            await trio.sleep(4.5)
            self.assertEqual(self.engines.versions, {"e0": 3})
            self.assertEqual(len(self.engines.tokens), 2)
            nursery.cancel_scope.cancel()

    async def test_engine_that_dies_during_a_load_frees_its_slot(self) -> None:
        # The other engines must not wait until the dead ones' instance records expire.
        async with trio.open_nursery() as nursery:
            (router,) = self.start(nursery)
            await trio.sleep(1)
            router.name_weights(2)
            await trio.sleep(0.3)
            self.engines.dead |= set(self.engines.busy)
            self.assertEqual(len(self.engines.dead), 2)
            await trio.sleep(4)
            alive = set(self.engines.versions) - self.engines.dead
            self.assertEqual({self.engines.versions[name] for name in alive}, {2})
            nursery.cancel_scope.cancel()

    async def test_successor_waits_until_the_lease_expires(self) -> None:
        # The successor uses a greater fencing token and sends no order within a lease
        # of the holder's last one.
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, n_routers=2)
            await trio.sleep(6)
            for router in routers:
                router.name_weights(2)
            await trio.sleep(0.5)
            first_holder = self.engines.holders[0][1]
            self.scopes[int(first_holder[1])].cancel()
            self.hub.dead.add(first_holder)
            await trio.sleep(9)
            times = {holder: at for at, holder in reversed(self.engines.holders)}
            last_of_first = max(
                at for at, who in self.engines.holders if who == first_holder
            )
            (second,) = set(times) - {first_holder}
            self.assertGreaterEqual(times[second] - last_of_first, 3.0)
            self.assertEqual(set(self.engines.versions.values()), {2})
            self.assertEqual(self.engines.tokens, sorted(self.engines.tokens))
            nursery.cancel_scope.cancel()

    async def test_frozen_holder_with_open_connections(self) -> None:
        # The holder freezes with its connections open, so the other routers still see
        # it as live. Engines must not serve replaced weights for much longer than the
        # lease.
        for seed in range(6):
            async with trio.open_nursery() as nursery:
                routers = self.start(nursery, n_routers=3)
                await trio.sleep(20 + 0.7 * seed)
                holder = next(k for k in routers if k.controller.is_holder)
                self.scopes[routers.index(holder)].cancel()
                for router in routers:
                    router.name_weights(2)
                start = trio.current_time()
                while set(self.engines.versions.values()) != {2}:
                    await trio.sleep(0.05)
                # Includes three rounds of loads.
                self.assertLess(trio.current_time() - start, 9.0)
                nursery.cancel_scope.cancel()

    async def test_holder_releases_the_lease_on_shutdown(self) -> None:
        # In a rolling restart, successors that wait for the lease to expire would leave
        # the engines without orders most of the time.
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, n_routers=2)
            await trio.sleep(6)
            holder = next(k for k in routers if k.controller.is_holder)
            other = next(k for k in routers if k is not holder)
            await holder.controller.release()
            self.hub.dead.add("r0" if holder is routers[0] else "r1")
            await trio.sleep(2)
            self.assertTrue(other.controller.is_holder)
            nursery.cancel_scope.cancel()

    async def test_run_timeout_spans_all_holders(self) -> None:
        """Guard against each new holder restarting the timeout for an engine's runs."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, n_routers=3, n_engines=2)
            await trio.sleep(6)
            for router in routers:
                nursery.start_soon(router.table.weights.run)
                router.start_run("e1")
                router.name_weights(2)
            named_at = trio.current_time()
            for _ in range(2):
                await trio.sleep(FINISH_TIMEOUT_S / 2)
                self.assertFalse(self.engines.n_orders["e1"])
                holder = next(k for k in routers if k.controller.is_holder)
                await holder.controller.release()
                self.hub.dead.add(f"r{routers.index(holder)}")
            while not self.engines.n_orders["e1"]:
                await trio.sleep(0.05)
            self.assertLess(trio.current_time() - named_at, FINISH_TIMEOUT_S + 3.0)
            nursery.cancel_scope.cancel()

    async def test_load_that_waits_for_long_runs(self) -> None:
        """Guard against a load's announcement expiring while the load continues."""
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, n_routers=2, n_engines=2)
            await trio.sleep(6)
            self.engines.load_s = 9.0
            for router in routers:
                nursery.start_soon(router.table.weights.run)
                router.name_weights(2)
            while not self.engines.busy:
                await trio.sleep(0.05)
            name = min(self.engines.busy)
            for _ in range(85):
                await trio.sleep(0.1)
                for router in routers:
                    engine = router.state.instance(name)
                    phase = router.table.weights.phase(engine)
                    self.assertIs(phase, EnginePhase.LOADING)
            nursery.cancel_scope.cancel()

    async def test_router_that_reacquires_the_lease(self) -> None:
        """Guard against engine phases kept from an earlier holding of the lease."""
        async with trio.open_nursery() as nursery:
            self.engines = FakeEngines(nursery, "e0", "e1")
            hub, shared = FakeHub(nursery), FakeStore()
            stores = [CutStore(shared), CutStore(shared)]
            routers = [
                RouterHarness(f"r{n}", store, hub, self.engines)
                for n, store in enumerate(stores)
            ]
            for router in routers:
                nursery.start_soon(router.controller.run)
                nursery.start_soon(router.table.weights.run)
            await trio.sleep(6)
            for router in routers:
                router.start_run("e1")
                router.name_weights(2)
            await trio.sleep(2)
            first_holder = next(n for n in (0, 1) if routers[n].controller.is_holder)
            for n in (first_holder, 1 - first_holder):
                stores[n].is_cut = True
                while not routers[1 - n].controller.is_holder:
                    await trio.sleep(0.05)
                stores[n].is_cut = False
                if n == first_holder:
                    while self.engines.versions["e1"] < 2:
                        await trio.sleep(0.05)
                    await trio.sleep(1)
                    for router in routers:
                        router.name_weights(3)
            await trio.sleep(3)
            self.assertEqual(self.engines.versions, {"e0": 3, "e1": 2})
            self.assertEqual(self.engines.n_orders["e1"], 1)
            nursery.cancel_scope.cancel()

    async def test_standby_polling_is_bounded_in_a_large_fleet(self) -> None:
        # Store calls are billed, so their rate must not grow with the number of
        # routers.
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery, n_routers=30)
            await trio.sleep(10)
            for engine in list(self.engines.versions):
                self.engines.dead.add(engine)
            for router in routers:
                router.name_weights(2)
            await trio.sleep(5)
            n_before = self.store.n_gets
            await trio.sleep(20)
            self.assertLess(self.store.n_gets - n_before, 200)
            holder = next(k for k in routers if k.controller.is_holder)
            self.scopes[routers.index(holder)].cancel()
            self.hub.dead.add(f"r{routers.index(holder)}")
            await trio.sleep(6)
            live = [k for k in routers if k is not holder]
            self.assertEqual(sum(k.controller.is_holder for k in live), 1)
            nursery.cancel_scope.cancel()


class WeightsAnnouncementTest(TrioTestCase):
    async def test_reordered_announcements_on_two_engines(self) -> None:
        # Announcements arrive over several peers. Dropping an earlier one on another
        # engine would keep the router away from an engine that has finished its load.
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            router = RouterHarness(
                "r1", FakeStore(), hub, FakeEngines(nursery, "e1", "e2")
            )
            e1 = router.state.instance("e1")
            announcements = [
                WeightsAnnouncement("e1", 1, MODEL, 1, EnginePhase.LOADING, 10),
                WeightsAnnouncement("e2", 1, MODEL, 2, EnginePhase.SERVING, 12),
                WeightsAnnouncement("e1", 1, MODEL, 2, EnginePhase.SERVING, 11),
                WeightsAnnouncement("e1", 1, MODEL, 1, EnginePhase.LOADING, 10),
            ]
            for announcement in announcements:
                update = WeightsUpdate((announcement,))
                await router.table.weights.on_weights_update(InstanceId("r9"), update)
            self.assertIs(router.table.weights.phase(e1), EnginePhase.SERVING)
            self.assertEqual(router.table.view(e1, MODEL).weights_version, 2)

    async def test_repeated_announcement_after_expiry_moves_runs(self) -> None:
        # An announcement expires with its holder; the next holder repeats it. A run
        # that started in between must still move, or it delays the load.
        async with trio.open_nursery() as nursery:
            router = RouterHarness(
                "r1", FakeStore(), FakeHub(nursery), FakeEngines(nursery, "e1")
            )
            e1 = router.state.instance("e1")
            weights = router.table.weights
            weights.set_phase(e1, EnginePhase.EMPTYING)
            await trio.sleep(10)
            self.assertIs(weights.phase(e1), EnginePhase.SERVING)
            nursery.start_soon(weights.wait_until_draining, e1)
            await trio.sleep(1)
            weights.set_phase(e1, EnginePhase.EMPTYING)
            with trio.fail_after(1):
                await weights.wait_until_draining(e1)
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(nursery.child_tasks)

    async def test_stale_announcement_of_a_load(self) -> None:
        """Guard against a load announcement that arrives after the load has ended."""
        async with trio.open_nursery() as nursery:
            hub = FakeHub(nursery)
            router = RouterHarness("r1", FakeStore(), hub, FakeEngines(nursery, "e1"))
            announcement = WeightsAnnouncement(
                "e1", 1, MODEL, 1, EnginePhase.LOADING, 10
            )
            update = WeightsUpdate((announcement,))
            await router.table.weights.on_weights_update(InstanceId("r9"), update)
            e1 = router.state.instance("e1")
            self.assertIs(router.table.weights.phase(e1), EnginePhase.LOADING)
            router.list_engine("e1", 2)
            e1 = router.state.instance("e1")
            self.assertIs(router.table.weights.phase(e1), EnginePhase.SERVING)


async def run_in_scope(scope: trio.CancelScope, step) -> None:
    """Run a step until its scope is cancelled."""
    with scope:
        await step()
