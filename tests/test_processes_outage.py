"""The platform's service is down or slow, and the routers go on."""

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
        """The platform's service goes down for longer than its callers' patience.

        Prompts need nothing from it that is not in memory, so no caller may notice.
        """
        plan = small_plan(n_routers=2, proxied=frozenset({"store"}))
        async with running_fleet(plan) as fleet:
            await fleet.proxy_fault("store", refuse=True, cut_now=True)
            await trio.sleep(3.0)
            for router in fleet.routers:
                async with LoadClient(router.address) as client:
                    self.assert_whole(await client.stream(PROMPT))

    async def test_all_routers_restart_while_the_store_is_slow(self) -> None:
        """All routers restart together, and the platform's service answers slowly.

        A start must not need many calls, and no router may serve an older version.
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
                    self.assert_whole(await client.stream(PROMPT))
            self.assertLessEqual(after - before, 20 * len(fleet.routers))

    async def test_one_router_alone_reaches_the_store_after_a_change(self) -> None:
        """An edit is accepted, and the store fails right after for all who ask.

        The routers that have it have to pass it on; none may go back after that.
        """
        plan = small_plan(n_routers=4, proxied=frozenset({"store"}))
        async with running_fleet(plan) as fleet:
            await fleet.apply(*default_entries(import_s_per_piece=0.03), wait=False)

            async def somebody_has_it() -> bool:
                found = [await self.version_of(fleet, r.name) for r in fleet.routers]
                return 2 in found

            await until(somebody_has_it)
            await fleet.proxy_fault("store", refuse=True, cut_now=True)

            async def all_have_it() -> bool:
                found = [await self.version_of(fleet, r.name) for r in fleet.routers]
                return found == [2, 2, 2, 2]

            await until(all_have_it, timeout_s=13.0)

    async def test_operators_race(self) -> None:
        """Two operators edit from the same version at the same moment.

        Merging in silence would lose one edit; one has to win and the other to learn
        what came first.
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
            won = [name for name in results if "accepted as version 2" in results[name]]
            self.assertEqual(len(won), 1, results)
            self.assertIn(won[0], await fleet.ctl("history", "--after", "1"))
            entry = await fleet.ctl("get", "account/northwest-charcoal", "--file")
            self.assertIn("5.0" if won == ["ann"] else "6.0", entry)
            lost = next(text for name, text in results.items() if name not in won)
            self.assertIn("5.0", lost)
            self.assertIn("6.0", lost)
