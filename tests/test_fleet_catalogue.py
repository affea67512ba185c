"""Multi-process tests of the catalogue while routers and the store fail."""

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


async def versions_in_force(fleet: Fleet) -> set[int]:
    found = [await fleet.status(router) for router in fleet.routers]
    return {status["catalogue_version"] for status in found}


async def until_in_force(fleet: Fleet, version: int) -> None:
    async def in_force() -> bool:
        return await versions_in_force(fleet) == {version}

    await until(in_force)


async def sees_all_peers(fleet: Fleet, router: Process) -> bool:
    return len((await fleet.status(router))["members"]) == len(fleet.routers)


async def accept_edits(fleet: Fleet, n_edits: int) -> None:
    store = HttpObjectStore(fleet.store_url)
    editor = CatalogueEditor(store)
    for version in range(1, n_edits + 1):
        put = (an_account(f"extra-{version}"),)
        await editor.accept(Edit(f"edit-{version}", version, "ann", "why", put))
    await store.aclose()


class FleetCatalogueTest(RealTimeTestCase):
    async def test_simultaneous_start(self) -> None:
        """All routers are killed and restarted together, as after a power failure.

        Full reads by every router would overload the store.
        """
        async with running_fleet(a_plan()) as fleet:
            await accept_edits(fleet, 10)
            for router in fleet.routers:
                await router.kill()
            before = await fleet.counters("store")
            async with trio.open_nursery() as nursery:
                for router in fleet.routers:
                    nursery.start_soon(fleet.restart, router.name)
            await fleet.wait_ready()
            self.assertEqual(await versions_in_force(fleet), {11})
            after = await fleet.counters("store")
            full_reads = after["calls"]["list"] - before["calls"]["list"]
            # A full read lists snapshots, then changes until there are no more.
            self.assertLessEqual(full_reads, 2 * 3)

    async def test_restart_while_the_store_is_down(self) -> None:
        """A router is killed and restarted during an outage of the store.

        It must fetch the version in force from its peers and serve at once.
        """
        async with running_fleet(a_plan()) as fleet:
            await fleet.apply(an_account("extra"))
            await fleet.fault("store", down="cut")
            victim = fleet.routers[1]
            await victim.kill()
            await fleet.restart(victim.name)
            with trio.fail_after(10):
                await fleet.wait_until_ready(victim)
            self.assertEqual(await versions_in_force(fleet), {2})

    async def test_store_fails_right_after_acceptance(self) -> None:
        """The store accepts an edit, loses the response, and fails for a while."""
        async with running_fleet(a_plan()) as fleet:
            await fleet.fault("store", lose_answers=1)
            await fleet.apply(an_account("extra"), wait=False)
            await fleet.fault("store", down="503")
            await trio.sleep(2)
            await fleet.fault("store", down="")
            await until_in_force(fleet, 2)
            history = json.loads(await fleet.ctl("history", "--output", "json"))
            self.assertEqual(len(history), 2)

    async def test_store_connections_become_unresponsive(self) -> None:
        """All open connections to the store stall, while new ones work.

        The routers must time out their watches and pooled connections and have the
        next change in force within 13 s.
        """
        plan = FleetPlan(
            n_engines=0, n_services=0, n_routers=3, proxied=frozenset({"store"})
        )
        async with running_fleet(plan) as fleet:
            await trio.sleep(1)
            await fleet.set_proxy_fault("store", freeze_now=True)
            await accept_edits(fleet, 1)
            with trio.fail_after(13):
                await until_in_force(fleet, 2)

    async def test_concurrent_edits_conflict(self) -> None:
        """Three operators submit edits based on the same version at the same time."""
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

    async def test_isolated_router_refuses_and_recovers(self) -> None:
        """A router loses the store and all its peers, but callers still reach it.

        Its catalogue may be stale, so it must refuse requests.
        """
        settings = {"catalogue": {"stale_after_s": 3.0}}
        async with running_fleet(a_plan(3, **settings)) as fleet:
            isolated, *others = fleet.routers
            await until(lambda: sees_all_peers(fleet, isolated))
            await fleet.fault("store", down="cut")
            for router in others:
                router.freeze()

            async def refuses() -> bool:
                answer = await fleet.http.post(
                    f"http://{isolated.address}/v1/chat/completions", json={}
                )
                code = int(answer.headers[header.RESULT_CODE])
                return code == ResultCode.STALE_CONFIGURATION

            await until(refuses)
            answer = await fleet.http.get(f"http://{isolated.address}/ready")
            self.assertEqual(answer.status_code, 503)
            for router in others:
                router.thaw()
            await fleet.wait_ready()

    async def test_resumed_router_does_not_use_a_stale_catalogue(self) -> None:
        """A router is paused while a change comes into force on the others.

        Its first answer after it resumes must not be based on the old version.
        """
        settings = {"catalogue": {"stale_after_s": 3.0}}
        async with running_fleet(a_plan(3, **settings)) as fleet:
            paused = fleet.routers[0]
            await until(lambda: sees_all_peers(fleet, paused))
            paused.freeze()
            await fleet.apply(an_account("extra"), wait=False)
            await trio.sleep(3.5)
            answers: list[Any] = []

            async def send() -> None:
                url = f"http://{paused.address}/v1/chat/completions"
                answers.append(await fleet.http.post(url, json={}))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.2)
                paused.thaw()
            (answer,) = answers
            code = int(answer.headers[header.RESULT_CODE])
            version = int(answer.headers[header.CATALOGUE_VERSION])
            if code != ResultCode.STALE_CONFIGURATION:
                self.assertEqual(version, 2)
            await until_in_force(fleet, 2)
