"""Orders to engines come from one holder at a time, in the order of their tokens."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from corianderlb_core.catalogue import Catalogue, Fencing
from corianderlb_core.change import apply_change
from corianderlb_core.codec import from_cbor
from corianderlb_core.identity import InstanceId, InstanceRecord, Role
from corianderlb_core.lease import LeaseRecord
from corianderlb_core.load import LoadReport
from corianderlb_core.order import EngineState
from corianderlb_core.order_record import Order
from corianderlb_router.engine_control import EngineControl, OrderReply
from corianderlb_router.interface import (
    CatalogueInForce,
    CatalogueSource,
    UpstreamInstance,
)
from corianderlb_router.order_controller import OrderController
from corianderlb_router.store import InstanceList
from corianderlb_router.upstream_directory import PlatformDirectory
from corianderlb_standins.builder import a_catalogue, a_change, a_model, an_upstream
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase

LOAD_S = 0.8
UPSTREAM = "ember-llm"


class ChangingCatalogue(CatalogueSource):
    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue

    def current(self) -> CatalogueInForce:
        return CatalogueInForce(self.catalogue, "", 0.0)


@dataclass
class FakeEngine:
    """Engine that accepts orders and optionally checks their fencing tokens."""

    checks: bool
    weights: dict[str, str]
    token: int = 0
    n_loading: int = 0
    taken: list[tuple[int, str]] = field(default_factory=list)

    def report(self) -> LoadReport:
        return LoadReport(
            epoch=1,
            weights=dict(self.weights),
            adapters={},
            fencing_token=self.token if self.checks else 0,
            loading=self.n_loading > 0,
        )


@dataclass
class FakeEngines(EngineControl):
    """In-memory engine control; a router's pause happens before the bytes are sent."""

    nursery: trio.Nursery
    engines: dict[str, FakeEngine]
    pause_s: dict[int, float] = field(default_factory=dict)
    """By token: pause of the router before the bytes of an order are sent."""
    flight_s: dict[int, float] = field(default_factory=dict)
    """By token: time that the bytes of an order are in transit."""
    most_loading: int = 0

    async def read(self, engine: UpstreamInstance) -> EngineState | None:
        await trio.sleep(0.001)
        report = self.engines[engine.instance].report()
        return EngineState(engine.instance, "", report)

    async def send_order(
        self, order: Order, address: str, token: int, send_before: float, send_s: float
    ) -> OrderReply:
        await trio.sleep(self.pause_s.pop(token, 0.0))
        if trio.current_time() >= send_before:
            return OrderReply.NOT_SENT
        engine = self.engines[order.instance]
        arrived = trio.Event()
        self.nursery.start_soon(self._arrive, engine, order, token, arrived)
        with trio.move_on_after(send_s):
            await arrived.wait()
            is_old = engine.checks and token < engine.token
            return OrderReply.REFUSED if is_old else OrderReply.TAKEN
        return OrderReply.IN_DOUBT

    async def _arrive(
        self, engine: FakeEngine, order: Order, token: int, arrived: trio.Event
    ) -> None:
        await trio.sleep(self.flight_s.get(token, 0.0))
        arrived.set()
        if engine.checks and token < engine.token:
            return
        engine.token = max(engine.token, token)
        engine.taken.append((token, order.version))
        engine.n_loading += 1
        loading = sum(one.n_loading for one in self.engines.values())
        self.most_loading = max(self.most_loading, loading)
        await trio.sleep(LOAD_S)
        engine.n_loading -= 1
        engine.weights[order.name] = order.version


class OrderTest(TrioTestCase):
    fencing = Fencing.IGNORED

    @asynccontextmanager
    async def running(
        self, upstreams: tuple[str, ...] = (UPSTREAM,)
    ) -> AsyncIterator[None]:
        self.store = FakeStore()
        entries = [an_upstream(name, fencing=self.fencing) for name in upstreams]
        models = [a_model(name) for name in upstreams]
        self.catalogue = ChangingCatalogue(a_catalogue(*entries, *models))
        names = [(f"{name}-{n}", name) for name in upstreams for n in range(3)]
        self.engines = {
            engine: FakeEngine(self.fencing is Fencing.CHECKED, {upstream: "w1"})
            for engine, upstream in names
        }
        self.directory = PlatformDirectory()
        self.directory.apply_instance_list(
            InstanceList(
                1,
                tuple(
                    InstanceRecord(
                        InstanceId(engine), Role.UPSTREAM, "z", "r", "", upstream=owner
                    )
                    for engine, owner in names
                ),
            )
        )
        async with trio.open_nursery() as nursery:
            self.hub = FakeHub(nursery)
            self.control = FakeEngines(nursery, self.engines)
            self.controllers = {
                name: self._make_controller(name) for name in ("r1", "r2")
            }
            nursery.start_soon(self._report)
            self.scopes = {name: trio.CancelScope() for name in self.controllers}
            for name in self.controllers:
                nursery.start_soon(self._run_controller, name)
            yield
            nursery.cancel_scope.cancel()

    def _make_controller(self, name: str) -> OrderController:
        return OrderController(
            self.store,
            InstanceId(name),
            1,
            self.catalogue,
            self.directory,
            self.hub.join(name),
            self.control,
            random.Random(4),
        )

    async def _run_controller(self, name: str) -> None:
        with self.scopes[name]:
            await self.controllers[name].run()

    async def _report(self) -> None:
        while True:
            for name, engine in self.engines.items():
                now = trio.current_time()
                self.directory.apply_report(InstanceId(name), engine.report(), now)
            await trio.sleep(0.5)

    def change_weights(self, version: str, *names: str) -> None:
        catalogue = self.catalogue.catalogue
        models = [a_model(name, weights_version=version) for name in names]
        change = a_change(catalogue.version + 1, *models)
        self.catalogue.catalogue = apply_change(catalogue, change)

    def primary(self) -> str:
        return next(
            n
            for n, controller in self.controllers.items()
            if controller.is_primary(UPSTREAM)
        )

    def lease(self, upstream: str = UPSTREAM) -> LeaseRecord:
        stored = self.store.objects[f"leases/orders/{upstream}"]
        return from_cbor(LeaseRecord, stored.value)

    async def until_loaded(self, version: str, timeout_s: float = 120.0) -> None:
        with trio.fail_after(timeout_s):
            while any(
                set(engine.weights.values()) != {version}
                for engine in self.engines.values()
            ):
                await trio.sleep(0.1)

    def assert_tokens_in_order(self) -> None:
        for engine in self.engines.values():
            tokens = [token for token, _ in engine.taken]
            self.assertEqual(tokens, sorted(tokens))

    async def test_change_of_weights_reaches_all_engines(self) -> None:
        async with self.running():
            await trio.sleep(5)
            self.assertEqual(sum(self.store.calls.values()), 0)
            self.change_weights("w2", UPSTREAM)
            await self.until_loaded("w2", 15.0)
            await trio.sleep(2)
            self.assertEqual(self.control.most_loading, 1)
            self.assertEqual([len(e.taken) for e in self.engines.values()], [1, 1, 1])
            self.assertEqual(self.lease().holder, "")
            self.assertEqual([o.state for o in self.lease().done], ["done"] * 3)

    async def test_at_most_two_concurrent_loads(self) -> None:
        """Guard against more than two concurrent loads, which slow each other down."""
        upstreams = ("ember-llm", "spec-reader", "grade-llm")
        async with self.running(upstreams):
            self.change_weights("w2", *upstreams)
            await self.until_loaded("w2")
            self.assertEqual(self.control.most_loading, 2)

    async def test_holder_is_paused_before_it_sends(self) -> None:
        """Guard against an order sent after a pause restoring old weights.

        The holder is paused between storing the intent and sending the order, while
        another router takes over and loads newer weights.
        """
        for pause_s in (7.0, 9.5, 12.0, 18.0, 25.0):
            with self.subTest(pause_s=pause_s):
                async with self.running():
                    self.control.pause_s = {1: pause_s}
                    self.control.flight_s = {1: 1.9}
                    self.change_weights("w2", UPSTREAM)
                    first = self.primary()
                    await trio.sleep(3)
                    self.hub.dead.add(first)
                    self.change_weights("w3", UPSTREAM)
                    await self.until_loaded("w3")
                    await trio.sleep(30)
                    self.assert_tokens_in_order()
                    await self.until_loaded("w3", 0.1)
                    if pause_s > 11:
                        self.assertGreaterEqual(self.lease().token, 2)

    async def test_holder_dies_with_an_order_in_flight(self) -> None:
        """Guard against a dead holder's late order undoing the next holder's order."""
        async with self.running():
            self.control.flight_s = {1: 14.0}
            self.change_weights("w2", UPSTREAM)
            first = self.primary()
            await trio.sleep(2.0)
            self.hub.dead.add(first)
            self.scopes[first].cancel()
            self.change_weights("w3", UPSTREAM)
            await self.until_loaded("w3")
            await trio.sleep(10)
            await self.until_loaded("w3", 0.1)
            self.assert_tokens_in_order()
            self.assertEqual(self.lease().token, 2)

    async def test_holder_with_an_older_catalogue(self) -> None:
        """Guard against a primary with a stale catalogue restoring old weights."""
        async with self.running():
            older = self.catalogue.catalogue
            self.change_weights("w2", UPSTREAM)
            await self.until_loaded("w2")
            await trio.sleep(2)
            self.catalogue.catalogue = older
            await trio.sleep(30)
            await self.until_loaded("w2", 0.1)
            self.assertEqual([len(e.taken) for e in self.engines.values()], [1, 1, 1])

    async def test_store_loses_answers(self) -> None:
        """Guard against giving up the lease when responses to writes are lost.

        Engines would keep old weights for minutes after an accepted change.
        """
        async with self.running():
            self.change_weights("w2", UPSTREAM)
            while not self.store.objects:
                await trio.sleep(0.1)
            for _ in range(20):
                self.store.faults.n_lost_answers = 1
                await trio.sleep(0.4)
            self.store.faults.n_lost_answers = 0
            await self.until_loaded("w2", 10.0)
            self.assertEqual(self.lease().token, 1)
            self.assertEqual([len(e.taken) for e in self.engines.values()], [1, 1, 1])

    async def test_load_in_progress_delays_orders(self) -> None:
        async with self.running():
            busy = next(iter(self.engines.values()))
            busy.n_loading = 1
            self.change_weights("w2", UPSTREAM)
            await trio.sleep(10)
            self.assertEqual(self.control.most_loading, 0)
            busy.n_loading = 0
            await self.until_loaded("w2", 15.0)

    async def test_store_is_down_while_orders_are_given(self) -> None:
        """Guard against sending orders while the store is down.

        The holder cannot know whether another router took over; it continues once the
        store is back.
        """
        async with self.running():
            self.change_weights("w2", UPSTREAM)
            await trio.sleep(2)
            self.store.faults.unavailable = True
            n_before = sum(len(engine.taken) for engine in self.engines.values())
            await trio.sleep(60)
            n_taken = sum(len(engine.taken) for engine in self.engines.values())
            self.assertLessEqual(n_taken - n_before, 1)
            self.store.faults.unavailable = False
            await self.until_loaded("w2")


class FencedOrderTest(OrderTest):
    fencing = Fencing.CHECKED
