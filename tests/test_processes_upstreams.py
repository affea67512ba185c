"""Upstreams crash, restart with an empty cache, leave, or crash on a request."""

from __future__ import annotations

import trio

from corianderlb_core.result import ResultCode
from corianderlb_standins.fleet import Fleet, running_fleet
from corianderlb_standins.load_client import LoadClient, StreamAnswer, nested_prompt
from fleet_case import PROMPT, FleetTestCase, small_plan

SLOW = ("--prefill-s", "0.01", "--token-s", "0.02")


class ProcessesUpstreamsTest(FleetTestCase):
    async def test_engine_restarts_empty_at_its_address(self) -> None:
        """An engine restarts at the same address before its crash is detected.

        Its cache is empty: state of the old incarnation must not be used for the new
        one.
        """
        plan = small_plan(n_engines=1)
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            first = await client.stream(PROMPT)
            self.assert_complete(await client.stream(PROMPT), first.text)
            await fleet.engines[0].kill()
            await fleet.restart("engine-1")
            again = await client.stream(PROMPT)
            self.assert_complete(again, first.text)
            self.assertEqual(again.cached_tokens, 0)
            warm = await client.stream(PROMPT)
            self.assertEqual(warm.cached_tokens, 4000)

    async def test_leaving_engine_gets_no_new_work(self) -> None:
        """An engine reports that it is leaving while the platform still lists it.

        Requests sent there after a few seconds would be lost.
        """
        async with running_fleet(small_plan(n_engines=3, n_routers=2)) as fleet:
            await fleet.fault("engine-2", leaving=True)
            await trio.sleep(4.0)
            before = await self.n_attempts(fleet, "engine-2")
            for router in fleet.routers:
                async with LoadClient(router.address) as client:
                    for number in range(12):
                        prompt = nested_prompt("customer", f"site-{number}", "b")
                        self.assert_complete(await client.stream(prompt, 2))
            self.assertEqual(await self.n_attempts(fleet, "engine-2"), before)

    async def test_poison_request_crashes_two_engines_at_most(self) -> None:
        """One request crashes each engine that runs it, and its caller retries it.

        Without a crash count shared by all routers it would crash every engine, and
        unrelated requests would be lost or quarantined.
        """
        plan = small_plan(n_engines=5, n_routers=2, engine_arguments=SLOW)
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as first,
            LoadClient(fleet.routers[1].address) as second,
        ):
            for engine in fleet.engines:
                await fleet.fault(engine.name, crash_on="poison pill")
            unrelated: list[StreamAnswer] = []
            poisoned: list[StreamAnswer] = []

            async def stream(client: LoadClient, site: str) -> None:
                prompt = nested_prompt("customer", site, "b", (1, 1, 0))
                unrelated.append(await client.stream(prompt, 40))

            async def poison() -> None:
                for client in (first, second, first, second):
                    poisoned.append(await client.stream("poison pill"))
                    await trio.sleep(0.3)

            async with trio.open_nursery() as nursery:
                for number in range(10):
                    client = (first, second)[number % 2]
                    nursery.start_soon(stream, client, f"site-{number}")
                await trio.sleep(0.3)
                nursery.start_soon(poison)
            crashed = [e.name for e in fleet.engines if e.exit_code is not None]
            self.assertLessEqual(len(crashed), 2, crashed)
            for answer in unrelated:
                self.assert_complete(answer)
            self.assertEqual(poisoned[-1].error["code"], int(ResultCode.QUARANTINED))
            self.assertIn("retry-after", poisoned[-1].headers)

    async def test_caller_disconnect_cancels_the_run(self) -> None:
        """A caller disconnects in the middle of a long answer.

        The engine must cancel the run, or it would occupy a slot for no caller.
        """
        plan = small_plan(n_engines=1, engine_arguments=SLOW)
        async with running_fleet(plan) as fleet:
            with trio.move_on_after(0.6):
                async with LoadClient(fleet.routers[0].address) as client:
                    await client.stream(PROMPT, 1000)
            await trio.sleep(0.5)
            counted = await fleet.counters("engine-1")
            self.assertEqual(counted["running"], 0)
            self.assertEqual(counted["calls"]["cancelled"], 1)

    async def n_attempts(self, fleet: Fleet, name: str) -> int:
        """Return the number of attempts that an engine has received."""
        return sum((await fleet.counters(name))["attempts"].values())
