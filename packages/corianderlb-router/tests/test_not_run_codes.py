"""Tests that the router's own interface says "not run" only of what has not run."""

from __future__ import annotations

from typing import Final

import trio

from corianderlb_core.result import NOT_RUN_STATUSES, ResultCode
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller, FakeInstance, FakeRouter, Fault, with_router

COMPLETION: Final = "/v1/completions"
SIGN_OFF: Final = "/services/sign-off/batch/7"
STATUS: Final = "/services/status/kiln"

HOSTS: Final = {COMPLETION: "e0", SIGN_OFF: "s0", STATUS: "s0"}
"""Instance that serves each path."""


def a_caller(path: str) -> FakeCaller:
    """Build a request on a path."""
    if path == COMPLETION:
        return FakeCaller(path)
    return FakeCaller(path, b'{"batch":7}', idempotency_key="k1")


class CutRequestTest(TrioTestCase):
    async def cut(self, path: str, host: FakeInstance) -> FakeCaller:
        """Cut a request that has had 30 ms; return its caller."""
        caller = a_caller(path)

        async def check(router: FakeRouter) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.ask, caller)
                await trio.sleep(0.03)
                router.exchanges.cut()

        await with_router(check, host)
        return caller

    async def test_request_that_was_sent(self) -> None:
        """Guards against a shutdown whose 503 has callers send what may have run."""
        for path, name in HOSTS.items():
            with self.subTest(path):
                caller = await self.cut(path, FakeInstance(name, frozen=True))
                self.assertEqual(caller.status, 502)
                self.assertEqual(caller.error["code"], ResultCode.CUT_BY_SHUTDOWN)
                self.assertEqual(caller.error["ran"], "unknown")

    async def test_request_that_was_not_sent(self) -> None:
        """Guards against an unknown outcome of what no instance has got."""
        for path, name in HOSTS.items():
            with self.subTest(path):
                caller = await self.cut(path, FakeInstance(name, alive=False))
                self.assertEqual(caller.status, 503)
                self.assertEqual(caller.error["code"], ResultCode.DRAINING)
                self.assertEqual(caller.error["ran"], "no")
                self.assertIn("retry-after", caller.answer_headers)


class FailedCallTest(TrioTestCase):
    async def ask(self, path: str, fault: Fault) -> tuple[FakeCaller, FakeRouter]:
        """Send a call to a service that fails in a way; return its caller."""
        caller, routers = a_caller(path), []
        service = FakeInstance("s0", faults=[fault])

        async def check(router: FakeRouter) -> None:
            routers.append(router)
            await router.ask(caller)
            self.assertEqual(len(service.received), 1)

        await with_router(check, service)
        return caller, routers[0]

    async def test_service_that_fails_after_a_run(self) -> None:
        """Guards against a service's own 503 that says of a run that there was none."""
        for status in sorted(NOT_RUN_STATUSES):
            with self.subTest(status=status):
                caller, router = await self.ask(SIGN_OFF, Fault(status=status))
                self.assertEqual(caller.status, 502)
                self.assertEqual(caller.error["code"], ResultCode.OUTCOME_UNKNOWN)
                self.assertEqual(caller.error["ran"], "unknown")
                self.assertEqual(router.journal.abandoned, [True])

    async def test_other_answers_are_passed_on(self) -> None:
        cases = [(SIGN_OFF, status) for status in (200, 404, 409, 500, 502)]
        cases += [(STATUS, status) for status in sorted(NOT_RUN_STATUSES)]
        for path, status in cases:
            with self.subTest(path, status=status):
                caller, router = await self.ask(path, Fault(status=status))
                self.assertEqual((caller.status, caller.answer), (status, b'{"ok":1}'))
                self.assertEqual(router.journal.abandoned, [])
