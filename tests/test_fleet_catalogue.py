"""The catalogue stays in force, and current, while processes and the store fail."""

from __future__ import annotations

import json
from typing import Any

import trio

from corianderlb_core import header
from corianderlb_core.edit import Edit
from corianderlb_core.result import ResultCode
from corianderlb_ctl.exit_code import ExitCode
from corianderlb_router.catalogue_editor import CatalogueEditor
from corianderlb_router.http_store import HttpObjectStore
from corianderlb_standins.builder import an_account
from corianderlb_standins.fleet import Fleet, running_fleet, until
from corianderlb_standins.fleet_plan import FleetPlan
from corianderlb_standins.process import Process
from corianderlb_standins.trio_case import RealTimeTestCase


def a_plan(n_routers: int = 4, **settings: Any) -> FleetPlan:
    return FleetPlan(
        n_engines=0, n_services=0, n_routers=n_routers, router_settings=settings
    )


async def versions(fleet: Fleet) -> set[int]:
    found = [await fleet.status(router) for router in fleet.routers]
    return {status["catalogue_version"] for status in found}


async def until_in_force(fleet: Fleet, version: int) -> None:
    async def in_force() -> bool:
        return await versions(fleet) == {version}

    await until(in_force)


async def linked(fleet: Fleet, router: Process) -> bool:
    return len((await fleet.status(router))["members"]) == len(fleet.routers)


async def edit_often(fleet: Fleet, n_edits: int) -> None:
    store = HttpObjectStore(fleet.store_url)
    editor = CatalogueEditor(store)
    for version in range(1, n_edits + 1):
        put = (an_account(f"extra-{version}"),)
        await editor.accept(Edit(f"edit-{version}", version, "ann", "why", put))
    await store.aclose()


class FleetCatalogueTest(RealTimeTestCase):
    async def test_herd_start(self) -> None:
        """All routers are killed and started together, as after a power cut.

        Callers wait until they serve; the store must not get a full read from each.
        """
        async with running_fleet(a_plan()) as fleet:
            await edit_often(fleet, 10)
            for router in fleet.routers:
                await router.kill()
            before = await fleet.counters("store")
            async with trio.open_nursery() as nursery:
                for router in fleet.routers:
                    nursery.start_soon(fleet.restart, router.name)
            await fleet.wait_ready()
            self.assertEqual(await versions(fleet), {11})
            after = await fleet.counters("store")
            full_reads = after["calls"]["list"] - before["calls"]["list"]
            # A full read lists snapshots, then changes until there are no more.
            self.assertLessEqual(full_reads, 2 * 3)

    async def test_restart_while_the_store_is_down(self) -> None:
        """A router is killed and comes back during an outage of the store.

        It must serve at once what the others have in force.
        """
        async with running_fleet(a_plan()) as fleet:
            await fleet.apply(an_account("extra"))
            await fleet.fault("store", down="cut")
            victim = fleet.routers[1]
            await victim.kill()
            await fleet.restart(victim.name)
            with trio.fail_after(10):
                await fleet.until_ready(victim)
            self.assertEqual(await versions(fleet), {2})

    async def test_store_fails_right_after_acceptance(self) -> None:
        """The store takes an edit, loses the answer, and goes away for a while."""
        async with running_fleet(a_plan()) as fleet:
            await fleet.fault("store", lose_answers=1)
            await fleet.apply(an_account("extra"), wait=False)
            await fleet.fault("store", down="503")
            await trio.sleep(2)
            await fleet.fault("store", down="")
            await until_in_force(fleet, 2)
            history = json.loads(await fleet.ctl("history", "--output", "json"))
            self.assertEqual(len(history), 2)

    async def test_connections_to_the_store_go_silent(self) -> None:
        """All open connections to the store go silent for good while new ones work.

        Every watch and every kept connection waits for nothing. The routers must give
        them up and hear of the next change within the 13 s that users were promised.
        """
        plan = FleetPlan(
            n_engines=0, n_services=0, n_routers=3, proxied=frozenset({"store"})
        )
        async with running_fleet(plan) as fleet:
            await trio.sleep(1)
            await fleet.proxy_fault("store", freeze_now=True)
            await edit_often(fleet, 1)
            with trio.fail_after(13):
                await until_in_force(fleet, 2)

    async def test_operators_race(self) -> None:
        """Three operators edit the version that they looked at, at the same moment."""
        async with running_fleet(a_plan(n_routers=2)) as fleet:
            codes: list[int] = []

            async def apply(number: int) -> None:
                path = fleet.folder / f"edit-{number}.yaml"
                name = f"extra-{number}"
                path.write_text(
                    f"entries: [{{kind: account, name: {name}, owner: team}}]\n"
                )
                words = ["apply", str(path), "--author", f"op-{number}"]
                words += ["--reason", "race", "--base", "1"]
                codes.append((await fleet.run_ctl(*words)).returncode)

            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(apply, number)
            conflict = ExitCode.CONFLICT
            self.assertEqual(sorted(codes), [ExitCode.OK, conflict, conflict])
            await until_in_force(fleet, 2)

    async def test_cut_off_router_refuses_and_comes_back(self) -> None:
        """A router loses the store and all its peers, but callers still reach it.

        It may have an old catalogue; it must say so instead of deciding by it.
        """
        settings = {"catalogue": {"stale_after_s": 3.0}}
        async with running_fleet(a_plan(3, **settings)) as fleet:
            alone, *others = fleet.routers
            await until(lambda: linked(fleet, alone))
            await fleet.fault("store", down="cut")
            for router in others:
                router.freeze()

            async def refuses() -> bool:
                answer = await fleet.http.post(
                    f"http://{alone.address}/v1/chat/completions", json={}
                )
                code = int(answer.headers[header.RESULT_CODE])
                return code == ResultCode.STALE_CONFIGURATION

            await until(refuses)
            answer = await fleet.http.get(f"http://{alone.address}/ready")
            self.assertEqual(answer.status_code, 503)
            for router in others:
                router.thaw()
            await fleet.wait_ready()

    async def test_frozen_router_does_not_wake_with_an_old_catalogue(self) -> None:
        """A router is paused for longer than changes take; others edit meanwhile.

        Its first answer after waking must not rest on what was in force before.
        """
        settings = {"catalogue": {"stale_after_s": 3.0}}
        async with running_fleet(a_plan(3, **settings)) as fleet:
            sleeper = fleet.routers[0]
            await until(lambda: linked(fleet, sleeper))
            sleeper.freeze()
            await fleet.apply(an_account("extra"), wait=False)
            await trio.sleep(3.5)
            answers: list[Any] = []

            async def ask() -> None:
                url = f"http://{sleeper.address}/v1/chat/completions"
                answers.append(await fleet.http.post(url, json={}))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.2)
                sleeper.thaw()
            (answer,) = answers
            code = int(answer.headers[header.RESULT_CODE])
            version = int(answer.headers[header.CATALOGUE_VERSION])
            if code != ResultCode.STALE_CONFIGURATION:
                self.assertEqual(version, 2)
            await until_in_force(fleet, 2)
