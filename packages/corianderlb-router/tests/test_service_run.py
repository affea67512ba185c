from __future__ import annotations

import unittest

import trio

from corianderlb_core import header
from corianderlb_core.result import ResultCode
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller, FakeInstance, FakeRouter, Fault, with_router

SIGN_OFF = "/services/sign-off/batch/7"
STATUS = "/services/status/kiln"


def a_sign_off(key: str = "k1") -> FakeCaller:
    """Build a non-repeatable call."""
    return FakeCaller(SIGN_OFF, b'{"batch":7}', idempotency_key=key)


class ServiceRunTest(TrioTestCase):
    async def test_a_repeat_gets_the_first_answer(self) -> None:
        service = FakeInstance("s0")

        async def check(router: FakeRouter) -> None:
            first = await router.ask(a_sign_off())
            second = await router.ask(a_sign_off())
            self.assertEqual(first.answer, second.answer)
            self.assertEqual(second.answer_headers[header.REPLAYED], "true")
            self.assertEqual(len(service.received), 1)

        await with_router(check, service)

    async def test_a_sign_off_is_not_sent_again_after_its_first_byte(self) -> None:
        """A service runs a call and its answer is lost with the connection. Guards
        against running the call twice."""
        for how in ("close", "hang", "crash"):
            services = [FakeInstance(f"s{n}", faults=[Fault(how=how)]) for n in "01"]

            async def check(router: FakeRouter, services=services) -> None:
                caller = await router.ask(a_sign_off())
                self.assertEqual(caller.error["code"], ResultCode.OUTCOME_UNKNOWN)
                self.assertEqual(caller.error["ran"], "unknown")
                self.assertEqual(sum(len(found.received) for found in services), 1)
                self.assertEqual(router.journal.abandoned, [True])

            await with_router(check, *services)

    async def test_a_sign_off_uses_a_new_connection(self) -> None:
        """A pooled connection may be dead without notice. Guards against losing a
        non-repeatable call on it, with an unknown outcome."""
        service = FakeInstance("s0")

        async def check(router: FakeRouter) -> None:
            await router.ask(FakeCaller(STATUS, b"{}"))
            await router.ask(FakeCaller(STATUS, b"{}"))
            self.assertEqual(service.n_connections, 1)
            await router.ask(a_sign_off())
            self.assertEqual(service.n_connections, 2)

        await with_router(check, service)

    async def test_an_unsent_call_is_retried_on_another_instance(self) -> None:
        services = [FakeInstance("s0", alive=False), FakeInstance("s1")]

        async def check(router: FakeRouter) -> None:
            for n in range(2):
                caller = await router.ask(a_sign_off(f"k{n}"))
                self.assertEqual(caller.status, 200)
            self.assertEqual(len(services[1].received), 2)

        await with_router(check, *services)

    async def test_not_run_is_reported_when_no_byte_was_sent(self) -> None:
        async def check(router: FakeRouter) -> None:
            caller = await router.ask(a_sign_off())
            self.assertEqual(caller.error["ran"], "no")
            self.assertEqual(router.journal.abandoned, [False])

        await with_router(check, FakeInstance("s0", alive=False))

    async def test_a_paused_router_does_not_send_too_late(self) -> None:
        """The router pauses between the journal record and the first byte. By the time
        it resumes, another router may have settled the call."""
        service = FakeInstance("s0")

        async def check(router: FakeRouter) -> None:
            router.journal.send_before = trio.current_time()
            caller = await router.ask(a_sign_off())
            self.assertEqual(caller.error["ran"], "no")
            self.assertEqual(service.received, [])

        await with_router(check, service)

    async def test_a_disconnected_caller_does_not_cancel_a_sign_off(self) -> None:
        """Guards against cancelling a call, which leaves its outcome unknown."""
        service = FakeInstance("s0")

        async def check(router: FakeRouter) -> None:
            caller = a_sign_off()
            caller.gone.set()
            await router.ask(caller)
            self.assertEqual(router.journal.answers["k1"].status, 200)

        await with_router(check, service)

    async def test_a_status_read_is_retried_on_another_instance(self) -> None:
        services = [FakeInstance(f"s{n}", faults=[Fault(how="close")]) for n in "01"]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask(FakeCaller(STATUS, b"{}"))
            self.assertEqual(caller.status, 200)

        await with_router(check, *services, FakeInstance("s2"))

    async def test_an_answer_without_a_length_is_not_forwarded(self) -> None:
        """A service closes the connection after an answer without a length. Guards
        against forwarding a truncated answer as complete."""
        services = [FakeInstance(f"s{n}", faults=[Fault(how="unsized")]) for n in "01"]

        async def check(router: FakeRouter) -> None:
            caller = await router.ask(FakeCaller(STATUS, b"{}"))
            self.assertEqual(caller.answer, b'{"ok":1}')

        await with_router(check, *services, FakeInstance("s2"))

    async def test_a_call_without_a_key_does_not_start(self) -> None:
        service = FakeInstance("s0")

        async def check(router: FakeRouter) -> None:
            caller = await router.ask(FakeCaller(SIGN_OFF, b"{}"))
            code = ResultCode.IDEMPOTENCY_KEY_MISSING
            self.assertEqual(caller.error["code"], code)
            self.assertEqual(service.received, [])

        await with_router(check, service)


if __name__ == "__main__":
    unittest.main()
