"""New weights reach the engines by orders, and nothing old is served after that."""

from __future__ import annotations

from corianderlb_core import header
from corianderlb_core.catalogue import Entry, EntryKind
from corianderlb_standins.fleet import Fleet, running_fleet, until
from corianderlb_standins.fleet_plan import MODEL, default_entries
from corianderlb_standins.load_client import LoadClient
from fleet_case import PROMPT, QUICK, FleetTestCase, small_plan

ORDERS = {"lease_s": 3.0, "margin_s": 0.5, "send_s": 1.0, "flight_s": 1.5}


def model_with(version: str) -> Entry:
    """Return the catalogue entry of the model at a weights version."""
    entries = default_entries(weights_version=version)
    return next(entry for entry in entries if entry.kind is EntryKind.MODEL)


class ProcessesWeightsTest(FleetTestCase):
    async def weights(self, fleet: Fleet) -> set[str]:
        """Return the weights versions that the engines hold."""
        found = set()
        for engine in fleet.engines:
            answer = await fleet.http.get(f"http://{engine.address}/control/load")
            found.add(answer.json()["weights"][MODEL])
        return found

    async def until_loaded(self, fleet: Fleet, version: str) -> None:
        """Return once all engines hold a version and nothing else."""

        async def loaded() -> bool:
            return await self.weights(fleet) == {version}

        await until(loaded, timeout_s=40.0)

    async def test_old_entries_are_not_used_after_the_change(self) -> None:
        """Operators put new weights in force while prompts are cached under the old.

        An answer that rests on the old entries would be wrong, and more than two loads
        at once would slow all of them down.
        """
        plan = small_plan(n_engines=4, router_settings={**QUICK, "orders": ORDERS})
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            await client.stream(PROMPT)
            warm = await client.stream(PROMPT)
            self.assertEqual(warm.cached_tokens, 4000)
            await fleet.apply(model_with("w2"), reason="new weights")
            await self.until_loaded(fleet, "w2")
            answer = await client.stream(PROMPT)
            self.assert_whole(answer)
            self.assertEqual(answer.cached_tokens, 0)
            self.assertEqual(answer.headers[header.CATALOGUE_VERSION], "2")
            store = await fleet.counters("store")
            self.assertEqual(store["calls"]["weights"], 4)
            self.assertLessEqual(store["max_weight_loads"], 2)

    async def test_holder_is_paused_past_its_lease(self) -> None:
        """The router that gives the orders is paused, and its lease lapses meanwhile.

        The engines do not check fencing tokens, so an order that it sends on waking
        would undo what the next holder ordered.
        """
        settings = {**QUICK, "orders": ORDERS}
        plan = small_plan(n_engines=3, n_routers=3, router_settings=settings)
        async with running_fleet(plan, 90.0) as fleet:
            await fleet.apply(model_with("w2"), reason="new weights")
            await self.until_loaded(fleet, "w2")
            holder = await self.holder(fleet)
            fleet.processes[holder].freeze()
            await fleet.apply(model_with("w3"), reason="newer weights", wait=False)
            await self.until_loaded(fleet, "w3")
            fleet.processes[holder].thaw()
            await fleet.until_ready(fleet.processes[holder])
            await self.until_loaded(fleet, "w3")
            for engine in fleet.engines:
                orders = (await fleet.counters(engine.name))["orders"]
                tokens = [order["fencing_token"] for order in orders]
                self.assertEqual(tokens, sorted(tokens))
                self.assertEqual([o["version"] for o in orders], ["w2", "w3"])
            store = await fleet.counters("store")
            self.assertLessEqual(store["max_weight_loads"], 2)

    async def holder(self, fleet: Fleet) -> str:
        """Return the router that gives the orders."""
        for router in fleet.routers:
            for lease in (await fleet.status(router))["leases"]:
                if lease["holder"] in fleet.processes:
                    return lease["holder"]
        self.fail("no router shows a lease")
