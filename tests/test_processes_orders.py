"""Engines load the weights of the catalogue, ordered by one lease holder at a time."""

from __future__ import annotations

from typing import Any, Final

import trio

from corianderlb_standins.builder import a_model
from corianderlb_standins.fleet import Fleet, running_fleet, until
from corianderlb_standins.fleet_plan import MODEL
from corianderlb_standins.load_client import LoadClient
from fleet_case import PROMPT, FleetTestCase, small_plan

ORDERS: Final = {
    "orders": {"lease_s": 3.0, "margin_s": 0.5, "send_s": 1.0, "flight_s": 1.5}
}
"""Router settings with short leases, for a fast takeover."""


class ProcessesOrdersTest(FleetTestCase):
    async def change_weights(self, fleet: Fleet, version: str) -> None:
        """Apply a new weights version and wait until it is in force."""
        model = a_model(MODEL, weights_version=version, prefill_s_per_piece=0.02)
        await fleet.apply(model, reason=f"weights {version}")

    async def orders(self, fleet: Fleet) -> dict[str, list[dict[str, Any]]]:
        """Return the orders that each engine executed, oldest first."""
        return {e.name: (await fleet.counters(e.name))["orders"] for e in fleet.engines}

    async def until_loaded(self, fleet: Fleet, version: str) -> None:
        """Wait until the last order of each engine is for a version."""

        async def loaded() -> bool:
            taken = (await self.orders(fleet)).values()
            return all(orders and orders[-1]["version"] == version for orders in taken)

        await until(loaded, 40.0)

    async def holder(self, fleet: Fleet) -> str:
        """Return the router that holds the lease, if any."""
        for router in fleet.routers:
            for lease in (await fleet.status(router))["leases"]:
                if lease["remaining_s"] > 0:
                    return lease["holder"]
        return ""

    def assert_ascending_tokens(self, orders: dict[str, list[dict[str, Any]]]) -> None:
        for taken in orders.values():
            tokens = [order["fencing_token"] for order in taken]
            self.assertEqual(tokens, sorted(tokens))

    async def test_old_weights_are_not_used_after_a_change(self) -> None:
        """The weights version changes while prompts are cached under the old one.

        Answers from the old weights or their cache would be wrong but look valid.
        """
        plan = small_plan(n_engines=2, n_routers=2, router_settings=ORDERS)
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            await client.stream(PROMPT)
            warm = await client.stream(PROMPT)
            self.assertGreater(warm.cached_tokens, 0)
            await self.change_weights(fleet, "w2")
            with trio.fail_after(30):
                while (answer := await client.stream(PROMPT)).status != 200:
                    await trio.sleep(0.2)
            self.assertTrue(any((await self.orders(fleet)).values()))
            self.assertEqual(answer.cached_tokens, 0)
            await self.until_loaded(fleet, "w2")
            orders = await self.orders(fleet)
            self.assertEqual([len(taken) for taken in orders.values()], [1, 1])

    async def test_lease_holder_is_paused_past_its_lease(self) -> None:
        """The lease holder is paused and resumes after another router took over.

        The engines do not check fencing tokens, so the old holder must notice the
        lost lease before its next order, or engines would load old weights.
        """
        plan = small_plan(n_engines=4, n_routers=3, router_settings=ORDERS)
        async with running_fleet(plan, timeout_s=90.0) as fleet:
            await self.change_weights(fleet, "w2")

            async def some_orders_sent() -> bool:
                taken = (await self.orders(fleet)).values()
                return bool(any(taken) and await self.holder(fleet))

            await until(some_orders_sent)
            paused = fleet.processes[await self.holder(fleet)]
            paused.freeze()
            other = next(router for router in fleet.routers if router is not paused)
            await self.change_weights_without_wait(fleet, other, "w3")
            await self.until_loaded(fleet, "w3")
            n_orders = sum(map(len, (await self.orders(fleet)).values()))
            paused.thaw()
            await trio.sleep(4)
            orders = await self.orders(fleet)
            self.assert_ascending_tokens(orders)
            self.assertEqual(sum(map(len, orders.values())), n_orders)
            self.assertEqual({t[-1]["version"] for t in orders.values()}, {"w3"})

    async def change_weights_without_wait(
        self, fleet: Fleet, router: Any, version: str
    ) -> None:
        """Apply a new weights version; wait for the given router only."""
        model = a_model(MODEL, weights_version=version, prefill_s_per_piece=0.02)
        await fleet.apply(model, reason=f"weights {version}", wait=False)

        async def in_force() -> bool:
            return (await fleet.status(router))["catalogue_version"] >= 3

        await until(in_force)
