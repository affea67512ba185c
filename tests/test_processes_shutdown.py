"""A terminated router completes its requests; a second signal ends it at once."""

from __future__ import annotations

import httpx
import trio

from corianderlb_standins.fleet import running_fleet
from corianderlb_standins.load_client import LoadClient, StreamAnswer
from fleet_case import PROMPT, FleetTestCase, small_plan

SLOW = ("--prefill-s", "0.01", "--token-s", "0.02")


class ProcessesShutdownTest(FleetTestCase):
    async def test_termination_under_load_cuts_nothing(self) -> None:
        """A router is terminated while streams run and the balancer still uses it.

        Closing the port at once would refuse new requests until the balancer notices,
        and an early exit would cut the streams.
        """
        plan = small_plan(engine_arguments=SLOW, n_services=1)
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            router = fleet.routers[0]
            answers: list[StreamAnswer] = []
            calls: list[httpx.Response] = []
            await fleet.fault("service-1", slow_s=0.8)

            async def stream() -> None:
                answers.append(await client.stream(PROMPT, 60))

            async def sign_off() -> None:
                calls.append(await client.call("POST", "sign-off/1", {}, "key-1"))

            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(stream)
                nursery.start_soon(sign_off)
                await trio.sleep(0.4)
                router.terminate()
                await trio.sleep(0.1)
                ready = await fleet.http.get(f"http://{router.address}/ready")
                for _ in range(4):
                    nursery.start_soon(stream)
            with trio.fail_after(20):
                exit_code = await router.wait()
            self.assertEqual(ready.status_code, 503)
            self.assertEqual(exit_code, 0)
            self.assertEqual(len(answers), 12)
            for answer in answers:
                self.assert_complete(answer, answers[0].text)
            self.assertEqual(calls[0].status_code, 200)

    async def test_readiness_check_that_comes_with_the_signal(self) -> None:
        """Guards against a router that counts as ready after its SIGTERM."""
        async with running_fleet(small_plan()) as fleet:
            router = fleet.routers[0]
            statuses = []

            async def check_readiness() -> None:
                answer = await fleet.http.get(f"http://{router.address}/ready")
                statuses.append(answer.status_code)

            await check_readiness()
            router.freeze()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(check_readiness)
                await trio.sleep(0.2)
                router.terminate()
                router.thaw()
            self.assertEqual(statuses, [200, 503])

    async def test_second_signal_ends_at_once(self) -> None:
        """An operator sends a second signal to a router that is draining.

        It must exit at once and log the requests that it cut.
        """
        plan = small_plan(engine_arguments=("--token-s", "0.1"))
        async with (
            running_fleet(plan) as fleet,
            LoadClient(fleet.routers[0].address) as client,
        ):
            router = fleet.routers[0]
            answers: list[StreamAnswer] = []

            async def stream() -> None:
                answers.append(await client.stream(PROMPT, 200))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                await trio.sleep(0.5)
                router.terminate()
                await trio.sleep(0.2)
                router.terminate()
                with trio.fail_after(5):
                    await router.wait()
            self.assertFalse(answers[0].complete)
            request_id = answers[0].headers["corianderlb-request-id"]
            cut = [line for line in router.log_tail().splitlines() if "cut" in line]
            self.assertIn(request_id, "".join(cut))
