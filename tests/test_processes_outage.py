"""Routers keep serving while the platform service is down or slow."""

from __future__ import annotations

import trio

from corianderlb_standins.fleet import Fleet, running_fleet, until
from corianderlb_standins.fleet_plan import default_entries
from corianderlb_standins.load_client import LoadClient
from fleet_case import PROMPT, FleetTestCase, small_plan


class ProcessesOutageTest(FleetTestCase):
    async def version_of(self, fleet: Fleet, name: str) -> int:
        """Return the catalogue version that a router has in force."""
        return (await fleet.status(fleet.processes[name]))["catalogue_version"]

    async def test_requests_go_on_while_the_store_is_down(self) -> None:
        """The platform service is down for longer than its callers' timeout.

        All state that prompts need is in memory, so they must still be served.
        """
        plan = small_plan(n_routers=2, proxied=frozenset({"store"}))
        async with running_fleet(plan) as fleet:
            await fleet.set_proxy_fault("store", refuse=True, cut_now=True)
            await trio.sleep(3.0)
            for router in fleet.routers:
                async with LoadClient(router.address) as client:
                    self.assert_complete(await client.stream(PROMPT))

    async def test_all_routers_restart_while_the_store_is_slow(self) -> None:
        """All routers restart together while the platform service is slow.

        A start must need few calls, and no router may serve an older version.
        """
        plan = small_plan(n_routers=4)
        async with running_fleet(plan) as fleet:
            await fleet.apply(*default_entries(import_s_per_piece=0.03))
            await fleet.fault("store", slow_s=0.5)
            for router in fleet.routers:
                router.kill_now()
            before = (await fleet.counters("store"))["calls"]["all"]
            async with trio.open_nursery() as nursery:
                for router in fleet.routers:
                    nursery.start_soon(fleet.restart, router.name)
            await fleet.wait_ready()
            after = (await fleet.counters("store"))["calls"]["all"]
            for router in fleet.routers:
                self.assertEqual(await self.version_of(fleet, router.name), 2)
                async with LoadClient(router.address) as client:
                    self.assert_complete(await client.stream(PROMPT))
            self.assertLessEqual(after - before, 20 * len(fleet.routers))

    async def test_change_spreads_after_the_store_fails(self) -> None:
        """An edit is accepted, and the store fails once one router has read it.

        That router must forward the change to the others.
        """
        plan = small_plan(n_routers=4, proxied=frozenset({"store"}))
        async with running_fleet(plan) as fleet:
            await fleet.apply(*default_entries(import_s_per_piece=0.03), wait=False)

            async def any_router_has_it() -> bool:
                found = [await self.version_of(fleet, r.name) for r in fleet.routers]
                return 2 in found

            await until(any_router_has_it)
            await fleet.set_proxy_fault("store", refuse=True, cut_now=True)

            async def all_routers_have_it() -> bool:
                found = [await self.version_of(fleet, r.name) for r in fleet.routers]
                return found == [2, 2, 2, 2]

            await until(all_routers_have_it, timeout_s=13.0)

    async def test_concurrent_edits_conflict(self) -> None:
        """Two operators submit edits based on the same version at the same time.

        One must be accepted and the other get a conflict that shows both differences;
        otherwise one edit would be lost silently.
        """
        async with running_fleet(small_plan()) as fleet:
            results: dict[str, str] = {}
            text = (fleet.folder / "catalogue.yaml").read_text()

            async def edit(author: str, weight: str) -> None:
                path = fleet.folder / f"{author}.yaml"
                path.write_text(text.replace("weight: 4.0", f"weight: {weight}"))
                words = ["apply", str(path), "--author", author, "--reason", "race"]
                words += ["--base", "1", "--owner", author]
                results[author] = await fleet.ctl(*words, check=False)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(edit, "ann", "5.0")
                nursery.start_soon(edit, "bob", "6.0")
            accepted = [
                name for name in results if "accepted as version 2" in results[name]
            ]
            self.assertEqual(len(accepted), 1, results)
            self.assertIn(accepted[0], await fleet.ctl("history", "--after", "1"))
            entry = await fleet.ctl("get", "account/northwest-charcoal", "--file")
            self.assertIn("5.0" if accepted == ["ann"] else "6.0", entry)
            conflict = next(
                text for name, text in results.items() if name not in accepted
            )
            self.assertIn("5.0", conflict)
            self.assertIn("6.0", conflict)
