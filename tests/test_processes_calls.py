"""A call that is not repeatable runs at most once across all routers."""

from __future__ import annotations

import httpx
import trio

from corianderlb_core.result import ResultCode
from corianderlb_standins.fleet import running_fleet, until
from corianderlb_standins.load_client import LoadClient
from fleet_case import FleetTestCase, small_plan

PATH = "sign-off/batches/1"
KEY = "sign-off-1"


class ProcessesCallsTest(FleetTestCase):
    def plan(self, **fields):
        """Return a plan with services and routers but no engines."""
        return small_plan(n_engines=0, n_services=2, n_routers=2, **fields)

    def code_of(self, response: httpx.Response) -> int:
        """Return the result code of an answer."""
        return int(response.headers["corianderlb-result-code"])

    async def test_four_routers_get_the_same_call_at_once(self) -> None:
        """A caller retries one call many times, through all routers at once.

        A second run would bill the buyer twice.
        """
        plan = small_plan(n_engines=0, n_services=2, n_routers=4)
        async with running_fleet(plan) as fleet:
            answers: list[httpx.Response] = []

            async def send(address: str) -> None:
                async with LoadClient(address) as client:
                    answers.append(await client.call("POST", PATH, {"a": 1}, KEY))

            async with trio.open_nursery() as nursery:
                for router in fleet.routers * 4:
                    nursery.start_soon(send, router.address)
            self.assertEqual(await self.count_runs(fleet), 1)
            receipts = {a.json()["receipt"] for a in answers if a.status_code == 200}
            self.assertEqual(len(receipts), 1)
            codes = {self.code_of(a) for a in answers if a.status_code != 200}
            self.assertLessEqual(codes, {int(ResultCode.CALL_IN_PROGRESS)})

    async def test_answer_of_the_service_is_lost(self) -> None:
        """The service runs the call, and its response is lost.

        A retry would run it twice, and reporting "not run" would be wrong.
        """
        plan = self.plan(proxied=frozenset({"service"}))
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as first,
            LoadClient(fleet.routers[1].address) as second,
        ):
            for service in fleet.services:
                await fleet.set_proxy_fault(service.name, drop_replies=-1)
            lost = await first.call("POST", PATH, {"a": 1}, KEY)
            for service in fleet.services:
                await fleet.set_proxy_fault(service.name, drop_replies=0)
            again = await second.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(self.code_of(lost), ResultCode.OUTCOME_UNKNOWN)
            self.assertEqual(self.code_of(again), ResultCode.OUTCOME_UNKNOWN)
            self.assertEqual(await self.count_runs(fleet), 1)

    async def test_pooled_connections_are_unresponsive(self) -> None:
        """Idle connections in the pool stall without being closed.

        A call sent on one of them would have an unknown outcome; it must run once.
        """
        plan = self.plan(proxied=frozenset({"service"}))
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            for _ in range(6):
                await client.call("GET", "status/kiln-7")
            n_before = await self.count_runs(fleet)
            for service in fleet.services:
                await fleet.set_proxy_fault(service.name, freeze_now=True)
            answer = await client.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(answer.status_code, 200, answer.text)
            self.assertEqual(await self.count_runs(fleet), n_before + 1)

    async def test_router_is_killed_during_the_call(self) -> None:
        """A router is killed while the service runs a call.

        The caller retries through another router, which knows of the first run only
        from the journal.
        """
        async with (
            running_fleet(self.plan()) as fleet,
            LoadClient(fleet.routers[0].address) as first,
            LoadClient(fleet.routers[1].address) as second,
        ):
            for service in fleet.services:
                await fleet.fault(service.name, slow_s=1.0)

            async def send() -> None:
                try:
                    await first.call("POST", PATH, {"a": 1}, KEY)
                except httpx.HTTPError:
                    return

            async def running() -> bool:
                return await self.count_runs(fleet) == 1

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await until(running)
                await fleet.routers[0].kill()
            again = await second.call("POST", PATH, {"a": 1}, KEY)
            unknown = {ResultCode.CALL_IN_PROGRESS, ResultCode.OUTCOME_UNKNOWN}
            self.assertIn(self.code_of(again), unknown)
            self.assertEqual(await self.count_runs(fleet), 1)

    async def test_store_is_down(self) -> None:
        """The platform service is down, so that no run can be recorded.

        A call that ran without a record could run twice, so it must be refused as not
        run, with a time to retry after.
        """
        async with (
            running_fleet(self.plan()) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            await fleet.fault("store", down="503")
            refused = await client.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(self.code_of(refused), ResultCode.STORE_UNAVAILABLE)
            self.assertEqual(refused.json()["error"]["ran"], "no")
            self.assertIn("retry-after", refused.headers)
            self.assertEqual(await self.count_runs(fleet), 0)
            status = await client.call("GET", "status/kiln-7")
            self.assertEqual(status.status_code, 200)
            await fleet.fault("store", down="")
            answer = await client.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(answer.status_code, 200, answer.text)
            self.assertEqual(await self.count_runs(fleet), 2)

    async def test_answer_of_the_store_is_lost(self) -> None:
        """The store records the call, and its response to the router is lost.

        The router must recognize its own record: the call would be blocked for good if
        it gave up, and reported as run elsewhere if it took the record for another's.
        """
        async with (
            running_fleet(self.plan()) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            for how in ("cut", "503"):
                await fleet.fault("store", lose_answers=1, lose_how=how)
                answer = await client.call("POST", PATH, {"a": 1}, f"{KEY}-{how}")
                self.assertEqual(answer.status_code, 200, answer.text)
            self.assertEqual(await self.count_runs(fleet), 2)

    async def test_service_refuses_before_running(self) -> None:
        """All services refuse a call before they run it, for a while.

        The refusal must report "not run", and a retry with the same key must run.
        """
        async with (
            running_fleet(self.plan()) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            for service in fleet.services:
                await fleet.fault(service.name, refuse=True)
            refused = await client.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(refused.json()["error"]["ran"], "no")
            self.assertEqual(await self.count_runs(fleet), 0)
            for service in fleet.services:
                await fleet.fault(service.name, refuse=False)
            answer = await client.call("POST", PATH, {"a": 1}, KEY)
            self.assertEqual(answer.status_code, 200, answer.text)
            self.assertEqual(await self.count_runs(fleet), 1)
