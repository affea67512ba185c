"""Tests of the health states of upstream instances."""

from __future__ import annotations

import unittest

import trio

from corianderlb_core.health import SUCCESSES_TO_PROVE
from corianderlb_core.identity import InstanceId
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeInstance, FakeRouter, Fault, with_router

E0 = InstanceId("e0")


async def until_state(router: FakeRouter, state: str) -> None:
    """Wait until the first engine has a health state."""
    with trio.fail_after(60):
        while router.health.state(E0) != state:
            await trio.sleep(0.05)


class HealthTrackerTest(TrioTestCase):
    async def test_a_dead_instance_gets_no_requests_until_a_probe_passes(self) -> None:
        """An instance is down while the platform's list still has it. Without health
        checks, each request placed there would fail first."""
        dead = FakeInstance("e0", alive=False)

        async def check(router: FakeRouter) -> None:
            while router.health.state(E0) != "retired":
                await router.ask()
            self.assertFalse(router.directory.find(E0).usable)
            dead.restart()
            await until_state(router, "proving")
            while router.health.state(E0) != "healthy":
                await router.ask()
            self.assertEqual(len(dead.received), SUCCESSES_TO_PROVE)

        await with_router(check, dead, FakeInstance("e1"))

    async def test_one_dropped_connection_retires_no_instance(self) -> None:
        engine = FakeInstance("e0", faults=[Fault(after=0, how="close")])

        async def check(router: FakeRouter) -> None:
            await router.ask()
            self.assertTrue(router.directory.find(E0).usable)

        await with_router(check, engine)

    async def test_an_answer_to_another_request_retires_at_once(self) -> None:
        """An answer belongs to another request, so later answers cannot be trusted
        until the instance has proved itself."""
        engine = FakeInstance("e0", faults=[Fault(answer_id="other")])

        async def check(router: FakeRouter) -> None:
            while not engine.received:
                await router.ask()
            self.assertIn(router.health.state(E0), ("retired", "proving"))

        await with_router(check, engine, FakeInstance("e1"))

    async def test_a_proving_instance_takes_one_request_at_a_time(self) -> None:
        """An instance that recovers may fail again. With its full load at once, that
        would affect as many callers as the first failure."""
        engine = FakeInstance("e0", alive=False, pause_s=0.2)
        other = FakeInstance("e1", pause_s=0.2)

        async def check(router: FakeRouter) -> None:
            while router.health.state(E0) != "retired":
                await router.ask()
            engine.restart()
            await until_state(router, "proving")
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(router.ask)
                await trio.sleep(0.1)
                self.assertEqual(router.in_flight.n_on(E0), 1)

        await with_router(check, engine, other)

    async def test_a_frozen_instance_is_retired_until_a_probe_passes(self) -> None:
        """The process is suspended but its port still accepts connections. Only a
        timeout detects this, and only an answer shows that it has recovered."""
        engine = FakeInstance("e0")
        engine.frozen = True

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["ran"], "unknown")
            self.assertEqual(router.health.state(E0), "retired")
            caller = await router.ask()
            self.assertEqual(caller.error["ran"], "no")
            engine.frozen = False
            await until_state(router, "proving")
            caller = await router.ask()
            self.assertEqual(caller.answer, caller.whole)

        await with_router(check, engine)


if __name__ == "__main__":
    unittest.main()
