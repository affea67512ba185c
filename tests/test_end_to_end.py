"""End-to-end tests: caller, router and upstream in separate processes."""

from __future__ import annotations

from corianderlb_core import header
from corianderlb_standins.fleet import running_fleet
from corianderlb_standins.fleet_plan import FleetPlan
from corianderlb_standins.load_client import LoadClient, nested_prompt
from corianderlb_standins.trio_case import RealTimeTestCase


class EndToEndTest(RealTimeTestCase):
    async def test_prompt_is_streamed_and_cached_and_call_is_repeated(self) -> None:
        plan = FleetPlan(n_engines=3, n_services=2, n_routers=2)
        prompt = nested_prompt("northwest-charcoal", "kiln-7", "batch-1")
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as first,
            LoadClient(fleet.routers[1].address) as second,
        ):
            cold = await first.stream(prompt)
            warm = await second.stream(prompt)
            self.assertEqual((cold.status, cold.complete), (200, True), cold)
            self.assertTrue(cold.is_in_order)
            self.assertEqual(cold.cached_tokens, 0)
            self.assertEqual(warm.cached_tokens, 4000)
            self.assertEqual(warm.text, cold.text)
            self.assertEqual(cold.headers[header.CATALOGUE_VERSION], "1")
            receipts = [
                (await client.call("POST", "sign-off/b-1", {"grade": "A"}, "key-1"))
                for client in (first, second)
            ]
            self.assertEqual(receipts[0].json(), receipts[1].json())
            runs = [
                (await fleet.counters(service.name))["total"]
                for service in fleet.services
            ]
            self.assertEqual(sum(runs), 1)

    async def test_other_account_does_not_share_the_cache(self) -> None:
        plan = FleetPlan(n_engines=1, n_services=0, n_routers=1)
        prompt = nested_prompt("northwest-charcoal", "kiln-7", "batch-1")
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            await client.stream(prompt)
            other = await client.stream(prompt, account="fir-valley")
            self.assertTrue(other.complete)
            self.assertEqual(other.cached_tokens, 0)
