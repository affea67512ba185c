"""Who gives orders when the holder is cut off from the store, dies or leaves."""

from __future__ import annotations

import random

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.settings import OrderSettings
from corianderlb_router.lease_duty import LeaseDuty
from corianderlb_router.lease_holder import LeaseHolder
from corianderlb_router.store import StoredObject, StoreUnavailableError
from corianderlb_standins.fake_network import FakeHub
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase

TERMS = OrderSettings(lease_s=3.5, margin_s=0.5, send_s=0.5, flight_s=3.5)

TURN_S = 3.0
"""Least time between the last order of one router and the first of another."""


class CutStore(FakeStore):
    """Be one router's way to the store, which can be cut."""

    def __init__(self, shared: FakeStore) -> None:
        super().__init__()
        self.shared = shared
        self.is_cut = False
        self.was_cut_at = -100.0
        """When a call last went unanswered."""
        self.n_calls = 0

    async def get(self, key: str) -> StoredObject | None:
        await self._pass()
        return await self.shared.get(key)

    async def create(self, key: str, value: bytes) -> str:
        await self._pass()
        return await self.shared.create(key, value)

    async def update(self, key: str, value: bytes, version: str) -> str:
        await self._pass()
        return await self.shared.update(key, value, version)

    async def _pass(self) -> None:
        self.n_calls += 1
        if self.is_cut:
            await trio.sleep(0.5)
            self.was_cut_at = trio.current_time()
            raise StoreUnavailableError("cut off")


class Router:
    """Hold one router's duty, and order as often as it may."""

    def __init__(self, name: str, hub: FakeHub, shared: FakeStore) -> None:
        self.name = name
        self.store = CutStore(shared)
        self.scope = trio.CancelScope()
        self.orders: list[float] = []
        self.gives_orders = True
        self.lease = LeaseHolder(self.store, "weights", InstanceId(name), 0, TERMS)
        self.duty = LeaseDuty(
            self.lease,
            name,
            hub.join(name),
            random.Random(name),
            lambda: trio.current_time() - self.store.was_cut_at >= 1.0,
            lambda: len(hub.networks),
            must_settle=True,
        )

    async def run(self) -> None:
        """Look after the lease, and give an order each tenth of a second."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.duty.run)
                while True:
                    if self.gives_orders and self.duty.may_act():
                        self.duty.acted()
                        self.orders.append(trio.current_time())
                    await trio.sleep(0.1)


class LeaseDutyTest(TrioTestCase):
    def start(self, nursery: trio.Nursery, n_routers: int = 4) -> list[Router]:
        """Start routers over one store."""
        self.hub = FakeHub(nursery)
        shared = FakeStore()
        self.routers = [Router(f"r{n}", self.hub, shared) for n in range(n_routers)]
        for router in self.routers:
            nursery.start_soon(router.run)
        return self.routers

    def holder(self) -> Router:
        """Return the router that may order now."""
        (found,) = (router for router in self.routers if router.duty.may_act())
        return found

    async def successor_of(self, first: Router) -> Router:
        """Wait for another router that may order, and check the pause between both."""
        while True:
            await trio.sleep(0.05)
            others = [r for r in self.routers if r is not first and r.orders]
            if others:
                break
        (second,) = others
        self.assertGreaterEqual(second.orders[0] - first.orders[-1], TURN_S)
        return second

    async def test_holder_cut_off_from_the_store_hands_over(self) -> None:
        # The holder loses the store and nothing else. Waiting for its lease to lapse
        # and for its last orders, engines would answer from replaced weights for nine
        # seconds. It stops, and a router that the store answers goes on.
        for seed in range(5):
            async with trio.open_nursery() as nursery:
                self.start(nursery)
                await trio.sleep(6 + 0.3 * seed)
                first = self.holder()
                cut_at = trio.current_time()
                first.store.is_cut = True
                second = await self.successor_of(first)
                self.assertLess(second.orders[0] - cut_at, 6.0)
                nursery.cancel_scope.cancel()

    async def test_holder_that_dies_is_followed_when_its_lease_lapses(self) -> None:
        # The holder's machine loses power. Nobody can hand anything over; the others
        # know from its renewals when the lease lapses and when its last order must
        # have arrived, and lose no further time on looks.
        for seed in range(5):
            async with trio.open_nursery() as nursery:
                self.start(nursery)
                await trio.sleep(6 + 0.3 * seed)
                first = self.holder()
                died_at = trio.current_time()
                first.scope.cancel()
                self.hub.dead.add(first.name)
                second = await self.successor_of(first)
                self.assertLess(second.orders[0] - died_at, 7.0)
                nursery.cancel_scope.cancel()

    async def test_store_that_nobody_reaches_costs_nobody_the_lease(self) -> None:
        # The store is away for two seconds. A holder that gave its lease up for that
        # would leave the engines without orders for longer than the store was away.
        async with trio.open_nursery() as nursery:
            routers = self.start(nursery)
            await trio.sleep(6)
            first = self.holder()
            for router in routers:
                router.store.is_cut = True
                router.store.was_cut_at = trio.current_time() + 2.0
            await trio.sleep(2)
            for router in routers:
                router.store.is_cut = False
            await trio.sleep(3)
            self.assertIs(self.holder(), first)
            nursery.cancel_scope.cancel()

    async def test_renewal_answered_after_a_handover_revives_nothing(self) -> None:
        # The holder hands over while its own renewal is still on its way, and the
        # store answers after all. Two routers would give orders at once.
        async with trio.open_nursery() as nursery:
            self.start(nursery)
            await trio.sleep(6)
            first = self.holder()
            first.store.is_cut = True
            while first.duty.may_act():
                await trio.sleep(0.02)
            first.store.is_cut = False
            second = await self.successor_of(first)
            await trio.sleep(5)
            self.assertIs(self.holder(), second)
            nursery.cancel_scope.cancel()

    async def test_leaving_holder_names_its_heir(self) -> None:
        # Routers restart one after the other. If each successor waited out a lease,
        # nobody would give orders for most of that time.
        async with trio.open_nursery() as nursery:
            self.start(nursery)
            await trio.sleep(6)
            first = self.holder()
            left_at = trio.current_time()
            await first.duty.release()
            self.hub.dead.add(first.name)
            second = await self.successor_of(first)
            self.assertLess(second.orders[0] - left_at, 4.0)
            nursery.cancel_scope.cancel()

    async def test_router_that_leaves_before_it_has_acted(self) -> None:
        # The holder is cut off from the store and all routers, and orders on as long as
        # it may. Its successor still waits for these orders as it is told to end, or
        # loses the store. Whoever follows has to wait for them as well, or two routers'
        # orders meet at an engine.
        for seed in range(6):
            async with trio.open_nursery() as nursery:
                self.start(nursery)
                await trio.sleep(6 + 0.3 * seed)
                first = self.holder()
                first.store.is_cut = True
                self.hub.cut.add(first.name)
                others = [r for r in self.routers if r is not first]
                while not any(r.duty.is_settling for r in others):
                    await trio.sleep(0.02)
                (second,) = (r for r in others if r.duty.is_settling)
                if seed % 2:
                    await second.duty.release()
                    self.hub.dead.add(second.name)
                else:
                    second.store.is_cut = True
                while not any(r.orders for r in others):
                    await trio.sleep(0.05)
                acted_at = min(r.orders[0] for r in others if r.orders)
                self.assertGreaterEqual(acted_at - first.orders[-1], TURN_S)
                nursery.cancel_scope.cancel()

    def restart(self, nursery: trio.Nursery, router: Router) -> Router:
        """Start a new life of a router on the same machine, which knows nothing."""
        router.scope.cancel()
        reborn = Router(router.name, self.hub, router.store.shared)
        self.routers[self.routers.index(router)] = reborn
        nursery.start_soon(reborn.run)
        return reborn

    async def settling_after_lost_holder(
        self, nursery: trio.Nursery
    ) -> tuple[Router, Router]:
        """Return a holder that was lost and the router that waits for its orders."""
        self.start(nursery)
        await trio.sleep(6)
        first = self.holder()
        first.store.is_cut = True
        self.hub.cut.add(first.name)
        others = [r for r in self.routers if r is not first]
        while not any(r.duty.is_settling for r in others):
            await trio.sleep(0.02)
        (second,) = (r for r in others if r.duty.is_settling)
        return first, second

    async def test_restarted_holder_hands_over_the_time_of_its_earlier_orders(
        self,
    ) -> None:
        """Guard against a restart that makes the last order look long ago."""
        async with trio.open_nursery() as nursery:
            self.start(nursery)
            await trio.sleep(6)
            first = self.holder()
            reborn = self.restart(nursery, first)
            reborn.gives_orders = False
            while not reborn.duty.token:
                await trio.sleep(0.02)
            await reborn.duty.release()
            self.hub.dead.add(reborn.name)
            await self.successor_of(first)
            nursery.cancel_scope.cancel()

    async def test_restart_of_a_holder_that_still_waits_for_earlier_orders(
        self,
    ) -> None:
        """Guard against a restart that ends the wait for another holder's orders."""
        async with trio.open_nursery() as nursery:
            first, second = await self.settling_after_lost_holder(nursery)
            reborn = self.restart(nursery, second)
            while not reborn.orders:
                await trio.sleep(0.02)
            self.assertFalse(second.orders)
            self.assertGreaterEqual(reborn.orders[0] - first.orders[-1], TURN_S)
            nursery.cancel_scope.cancel()

    async def test_lease_that_lapses_while_earlier_orders_are_waited_for(self) -> None:
        """Guard against a lease taken again that ends the wait for earlier orders."""
        async with trio.open_nursery() as nursery:
            first, second = await self.settling_after_lost_holder(nursery)
            second.duty.lose()
            while not second.orders:
                await trio.sleep(0.02)
            self.assertGreaterEqual(second.orders[0] - first.orders[-1], TURN_S)
            nursery.cancel_scope.cancel()

    async def test_standbys_that_hear_renewals_leave_the_store_alone(self) -> None:
        # Each look is a call to the store, which is paid by the call.
        async with trio.open_nursery() as nursery:
            self.start(nursery)
            await trio.sleep(10)
            holder = self.holder()
            before = {router.name: router.store.n_calls for router in self.routers}
            await trio.sleep(20)
            for router in self.routers:
                n_calls = router.store.n_calls - before[router.name]
                if router is holder:
                    self.assertLess(n_calls, 25)
                else:
                    self.assertEqual(n_calls, 0)
            nursery.cancel_scope.cancel()
