"""A router that is stopped in the middle of a call neither doubles nor loses it."""

from __future__ import annotations

import httpx
import trio

from corianderlb_core.result import ResultCode
from corianderlb_standins.builder import a_route
from corianderlb_standins.fleet import running_fleet, until
from corianderlb_standins.load_client import LoadClient
from fleet_case import FleetTestCase, small_plan

PATH = "sign-off/batches/1"
KEY = "sign-off-1"


class ProcessesPausedCallTest(FleetTestCase):
    async def test_router_wakes_after_its_call_was_in_doubt(self) -> None:
        """A router is stopped while the service works on a sign-off, and wakes later.

        Meanwhile another router tells the caller that the outcome is not known. When
        the first one wakes, a repeat gets the first answer, and the buyer one bill.
        """
        plan = small_plan(n_engines=0, n_services=1, n_routers=2)
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as first,
            LoadClient(fleet.routers[1].address) as second,
        ):
            answers: list[httpx.Response] = []
            # The service may take its time, so that the pause alone is no failure.
            route = a_route("sign-off", repeatable=False, timeout_s=60.0)
            await fleet.apply(route, reason="a slow service")
            await fleet.fault("service-1", slow_s=1.0)

            async def send() -> None:
                answers.append(await first.call("POST", PATH, {"a": 1}, KEY))

            async def running() -> bool:
                return await self.count_runs(fleet) == 1

            async def repeat() -> int:
                answer = await second.call("POST", PATH, {"a": 1}, KEY)
                return int(answer.headers["corianderlb-result-code"])

            async def in_doubt() -> bool:
                return await repeat() == ResultCode.OUTCOME_UNKNOWN

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await until(running)
                fleet.routers[0].freeze()
                self.assertIn(
                    await repeat(),
                    (ResultCode.CALL_IN_PROGRESS, ResultCode.OUTCOME_UNKNOWN),
                )
                await until(in_doubt, 40.0)
                fleet.routers[0].thaw()

            async def settled() -> bool:
                return await repeat() == ResultCode.OK

            await until(settled)
            again = await second.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(answers[0].status_code, 200, answers[0].text)
            self.assertEqual(again.json(), answers[0].json())
            self.assertEqual(await self.count_runs(fleet), 1)
