"""Test that invalid requests get a result code and message and do not run."""

from __future__ import annotations

from corianderlb_core.result import ResultCode
from corianderlb_core.settings import DataPathSettings
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller, FakeInstance, FakeRouter, with_router

CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
GOOD = b'{"model":"ember-llm","prompt":"hi"}'


class BadInputTest(TrioTestCase):
    async def refuse_all(self, cases: dict[ResultCode, FakeCaller]) -> None:
        engine, service = FakeInstance("e0"), FakeInstance("s0")

        async def check(router: FakeRouter) -> None:
            for code, caller in cases.items():
                await router.ask(caller)
                error = caller.error
                self.assertEqual(error["code"], code, caller.body[:60])
                self.assertEqual(error["ran"], "no")
                self.assertGreater(len(error["message"].split()), 4)
            self.assertEqual(engine.received + service.received, [])

        await with_router(check, engine, service)

    async def test_bodies(self) -> None:
        await self.refuse_all({ResultCode.BODY_NOT_JSON: FakeCaller(TEXT, b"{oops")})
        await self.refuse_all({ResultCode.BODY_NOT_JSON: FakeCaller(TEXT, b"[1]")})
        await self.refuse_all(
            {
                ResultCode.BODY_NOT_JSON: FakeCaller(TEXT, b"\xff\xfe"),
                ResultCode.UNKNOWN_MODEL: FakeCaller(
                    TEXT, b'{"model":"other","prompt":"hi"}'
                ),
                ResultCode.INVALID_REQUEST: FakeCaller(
                    TEXT, b'{"model":"ember-llm","prompt":7}'
                ),
            }
        )

    async def test_missing_parts(self) -> None:
        for path, body in (
            (TEXT, b'{"prompt":"hi"}'),
            (TEXT, b'{"model":"ember-llm"}'),
            (CHAT, b'{"model":"ember-llm","messages":[]}'),
            (CHAT, b'{"model":"ember-llm","messages":["hi"]}'),
            (TEXT, b'{"model":"ember-llm","prompt":"hi","stream":"yes"}'),
        ):
            await self.refuse_all({ResultCode.INVALID_REQUEST: FakeCaller(path, body)})

    async def test_headers(self) -> None:
        def a_caller(**headers: str) -> FakeCaller:
            return FakeCaller(TEXT, GOOD, **headers)

        await self.refuse_all(
            {
                ResultCode.BAD_CREDENTIALS: a_caller(authorization="Bearer wrong"),
                ResultCode.INVALID_DEADLINE: a_caller(corianderlb_deadline_ms="soon"),
                ResultCode.INVALID_REQUEST: a_caller(corianderlb_class="asap"),
                ResultCode.HEADERS_TOO_LARGE: a_caller(x_note="n" * 40_000),
            }
        )
        await self.refuse_all({ResultCode.BAD_CREDENTIALS: a_caller(authorization="")})
        for text in ("0", "-1", "9" * 30, "1.5", "²"):
            caller = a_caller(corianderlb_deadline_ms=text)
            await self.refuse_all({ResultCode.INVALID_DEADLINE: caller})

    async def test_routes(self) -> None:
        wrong_method = FakeCaller("/services/sign-off/7", b"{}", idempotency_key="k")
        wrong_method.method = "DELETE"
        await self.refuse_all(
            {
                ResultCode.UNKNOWN_ROUTE: FakeCaller("/services/other/7", b"{}"),
                ResultCode.IDEMPOTENCY_KEY_MISSING: FakeCaller(
                    "/services/sign-off/7", b"{}"
                ),
                ResultCode.METHOD_NOT_ALLOWED: wrong_method,
            }
        )

    async def test_body_above_the_limit(self) -> None:
        async def check(router: FakeRouter) -> None:
            limit = DataPathSettings().max_body_bytes
            caller = await router.ask(FakeCaller(TEXT, b" " * (limit + 1)))
            self.assertEqual(caller.error["code"], ResultCode.BODY_TOO_LARGE)
            self.assertEqual(caller.status, 413)

        await with_router(check, FakeInstance("e0"))

    async def test_deep_json(self) -> None:
        """Guards against deeply nested JSON exhausting the stack of the parser."""
        deep = b'{"model":' + b"[" * 100_000
        await self.refuse_all({ResultCode.BODY_NOT_JSON: FakeCaller(TEXT, deep)})
