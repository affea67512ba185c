"""Limits of a client account hold across all routers."""

from __future__ import annotations

import httpx
import trio

from corianderlb_core.catalogue import Limits
from corianderlb_core.result import ResultCode
from corianderlb_standins.builder import an_account
from corianderlb_standins.fleet import running_fleet, until
from corianderlb_standins.load_client import LoadClient
from fleet_case import FleetTestCase, small_plan

ACCOUNT = "elm-street"
RATE = 10.0
N_ROUNDS = 60


class ProcessesLimitsTest(FleetTestCase):
    async def test_account_floods_all_routers(self) -> None:
        """One account exceeds its limit, evenly through all routers.

        If each router granted the whole limit, the account would get four times its
        limit.
        """
        plan = small_plan(n_engines=0, n_services=1, n_routers=4)
        async with running_fleet(plan) as fleet:
            account = an_account(ACCOUNT, limits=Limits(requests_per_s=RATE))
            await fleet.apply(account, reason="limit")

            async def all_peers_known() -> bool:
                states = [await fleet.status(router) for router in fleet.routers]
                return all(len(state["members"]) == 4 for state in states)

            await until(all_peers_known)
            answers: list[httpx.Response] = []
            started_at = trio.current_time()

            async def send(address: str) -> None:
                async with LoadClient(address) as client:
                    for _ in range(N_ROUNDS):
                        answer = await client.call(
                            "GET", "status/kiln-7", account=ACCOUNT
                        )
                        answers.append(answer)
                        await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                for router in fleet.routers:
                    nursery.start_soon(send, router.address)
            lasted_s = trio.current_time() - started_at
            n_ran = sum(answer.status_code == 200 for answer in answers)
            # Tolerance: all routers but the primary may use their fallback share, plus
            # a burst of one second and one request for each router.
            self.assertLessEqual(n_ran, RATE * lasted_s * 1.75 + RATE + 4)
            self.assertGreaterEqual(n_ran, RATE)
            self.assertEqual(n_ran, await self.count_runs(fleet))
            refused = [answer for answer in answers if answer.status_code != 200]
            self.assertGreater(len(refused), 0)
            for answer in refused:
                self.assertEqual(
                    int(answer.headers["corianderlb-result-code"]),
                    ResultCode.RATE_LIMITED,
                )
                self.assertIn("retry-after", answer.headers)
                self.assertEqual(answer.json()["error"]["ran"], "no")
