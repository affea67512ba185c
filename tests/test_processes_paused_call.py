"""A call whose router is paused runs once, and its answer is not lost."""

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
    async def test_router_resumes_after_its_call_became_unknown(self) -> None:
        """A router is paused while the service runs a call, and resumes later.

        Meanwhile another router reports the outcome as unknown. Once the first router
        resumes, a retry must get its answer, without a second run.
        """
        plan = small_plan(n_engines=0, n_services=1, n_routers=2)
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as first,
            LoadClient(fleet.routers[1].address) as second,
        ):
            answers: list[httpx.Response] = []
            # A long timeout, so that the pause does not make the call fail.
            route = a_route("sign-off", repeatable=False, timeout_s=60.0)
            await fleet.apply(route, reason="a slow service")
            await fleet.fault("service-1", slow_s=1.0)

            async def send() -> None:
                answers.append(await first.call("POST", PATH, {"a": 1}, KEY))

            async def running() -> bool:
                return await self.count_runs(fleet) == 1

            async def retry() -> int:
                answer = await second.call("POST", PATH, {"a": 1}, KEY)
                return int(answer.headers["corianderlb-result-code"])

            async def is_unknown() -> bool:
                return await retry() == ResultCode.OUTCOME_UNKNOWN

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await until(running)
                fleet.routers[0].freeze()
                self.assertIn(
                    await retry(),
                    (ResultCode.CALL_IN_PROGRESS, ResultCode.OUTCOME_UNKNOWN),
                )
                await until(is_unknown, 40.0)
                fleet.routers[0].thaw()

            async def is_answered() -> bool:
                return await retry() == ResultCode.OK

            await until(is_answered)
            again = await second.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(answers[0].status_code, 200, answers[0].text)
            self.assertEqual(again.json(), answers[0].json())
            self.assertEqual(await self.count_runs(fleet), 1)
