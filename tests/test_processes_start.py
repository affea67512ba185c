"""A starting router serves at once or reports that it is not ready."""

from __future__ import annotations

from corianderlb_standins.fleet import Fleet, running_fleet
from corianderlb_standins.fleet_plan import default_entries
from corianderlb_standins.load_client import LoadClient
from fleet_case import PROMPT, FleetTestCase, small_plan


class ProcessesStartTest(FleetTestCase):
    async def version_of(self, fleet: Fleet, name: str) -> int:
        """Return the catalogue version that a router has in force."""
        return (await fleet.status(fleet.processes[name]))["catalogue_version"]

    async def test_router_starts_while_the_store_is_down(self) -> None:
        """A router is replaced during an outage of the platform service.

        It must fetch the catalogue from its peers and serve the version in force.
        """
        plan = small_plan(n_routers=3, proxied=frozenset({"store"}))
        async with running_fleet(plan) as fleet:
            await fleet.apply(*default_entries(import_s_per_piece=0.03))
            await fleet.set_proxy_fault("store", refuse=True, cut_now=True)
            router = fleet.routers[0]
            await router.kill()
            await fleet.restart(router.name)
            await fleet.wait_until_ready(router)
            self.assertEqual(await self.version_of(fleet, router.name), 2)
            async with LoadClient(router.address) as client:
                self.assert_complete(await client.stream(PROMPT))

    async def test_start_without_store_and_peers_waits(self) -> None:
        """The only router starts while the store is down.

        It must report that it is not ready instead of serving without a catalogue, and
        serve once the store is back.
        """
        plan = small_plan(proxied=frozenset({"store"}))
        async with running_fleet(plan) as fleet:
            await fleet.set_proxy_fault("store", refuse=True, cut_now=True)
            router = fleet.routers[0]
            await router.kill()
            await fleet.restart(router.name)
            async with LoadClient(router.address) as client:
                refused = await client.stream(PROMPT)
                self.assertEqual(refused.status, 503)
                self.assertEqual(refused.error["ran"], "no")
                await fleet.set_proxy_fault("store", refuse=False)
                await fleet.wait_until_ready(router)
                self.assert_complete(await client.stream(PROMPT))
