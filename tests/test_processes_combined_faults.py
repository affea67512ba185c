"""Delivery guarantees hold when several components fail at once under load."""

from __future__ import annotations

import httpx
import trio

from corianderlb_core.result import ResultCode
from corianderlb_standins.fleet import Fleet, running_fleet
from corianderlb_standins.load_client import LoadClient, StreamAnswer, nested_prompt
from fleet_case import FleetTestCase, small_plan

SLOW = ("--prefill-s", "0.01", "--token-s", "0.02")
N_STREAMS = 24
N_CALLS = 12


class CombinedFaultsTest(FleetTestCase):
    async def test_engine_connections_store_and_router_fail_together(self) -> None:
        """An engine and a router are killed, connections stall, responses are lost.

        Streams of the remaining routers must be complete, and no call may run twice,
        however often its caller retries it.
        """
        plan = small_plan(
            n_engines=4,
            n_services=2,
            n_routers=3,
            engine_arguments=SLOW,
            proxied=frozenset({"engine", "service"}),
        )
        async with running_fleet(plan) as fleet:
            streams: dict[int, StreamAnswer] = {}
            calls: dict[str, httpx.Response] = {}
            async with trio.open_nursery() as nursery:
                for number in range(N_STREAMS):
                    nursery.start_soon(self.stream, fleet, number, streams)
                for number in range(N_CALLS):
                    nursery.start_soon(self.sign_off, fleet, f"key-{number}", calls)
                await trio.sleep(0.4)
                await fleet.engines[0].kill()
                await fleet.fault("store", lose_answers=3)
                await fleet.set_proxy_fault("engine-2", freeze_now=True)
                await fleet.set_proxy_fault("service-1", freeze_now=True)
                await fleet.routers[2].kill()
            for answer in streams.values():
                self.assert_complete(answer)
            self.assertEqual(len(streams), N_STREAMS)
            await self.check_calls(fleet, calls)

    async def stream(
        self, fleet: Fleet, number: int, streams: dict[int, StreamAnswer]
    ) -> None:
        """Stream through a router that is not killed."""
        prompt = nested_prompt("customer", f"site-{number % 6}", f"batch-{number}")
        async with LoadClient(fleet.routers[number % 2].address) as client:
            streams[number] = await client.stream(prompt, 60)

    async def sign_off(
        self, fleet: Fleet, key: str, calls: dict[str, httpx.Response]
    ) -> None:
        """Send a call to each router in turn until it succeeds."""
        for router in fleet.routers[::-1] * 3:
            try:
                async with LoadClient(router.address) as client:
                    calls[key] = await client.call("POST", "sign-off/1", {}, key)
            except httpx.HTTPError:
                continue
            if calls[key].status_code == 200:
                return
            await trio.sleep(0.3)

    async def check_calls(self, fleet: Fleet, calls: dict[str, httpx.Response]) -> None:
        """Check that each call ran once, or at most once if its outcome is unknown."""
        counted = [(await fleet.counters(s.name))["by_key"] for s in fleet.services]
        unknown = {ResultCode.OUTCOME_UNKNOWN, ResultCode.CALL_IN_PROGRESS}
        for number in range(N_CALLS):
            key = f"key-{number}"
            n_runs = sum(item.get(key, 0) for item in counted)
            code = int(calls[key].headers["corianderlb-result-code"])
            with self.subTest(key=key, code=code):
                self.assertLessEqual(n_runs, 1)
                if calls[key].status_code == 200:
                    self.assertEqual(n_runs, 1)
                else:
                    self.assertIn(code, unknown)
