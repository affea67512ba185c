"""Tests of answers that set a cookie."""

from __future__ import annotations

import trio

from corianderlb_router.connection import TcpConnector
from corianderlb_router.store_caller import StoreCall, StoreCaller
from corianderlb_router.upstream_client import ExchangeTimeouts, UpstreamClient
from corianderlb_standins.connection_texts import cookie_answer
from corianderlb_standins.loopback import RawHost
from corianderlb_standins.trio_case import RealTimeTestCase

COOKIES = (b"a=b", "a=\u00ef".encode("latin-1"))


class CookieTest(RealTimeTestCase):
    async def test_cookie_of_an_instance_is_not_sent(self) -> None:
        """Guards against a cookie that reaches other callers or fails all calls."""
        for cookie in COOKIES:
            with trio.fail_after(10):
                async with RawHost(cookie_answer(cookie)).running() as host:
                    client = UpstreamClient(TcpConnector())
                    timeouts = ExchangeTimeouts(1.0, 1.0)
                    for _ in range(2):
                        await client.get(host.address, "/", timeouts, fresh=True)
                    await client.close()
                self.assertNotIn(b"cookie", host.requests[1].lower())

    async def test_cookie_of_the_store_is_not_sent(self) -> None:
        """Guards against a cookie after which no call to the store succeeds."""
        for cookie in COOKIES:
            with trio.fail_after(10):
                async with RawHost(cookie_answer(cookie)).running() as host:
                    store = StoreCaller(f"http://{host.address}")
                    for _ in range(2):
                        await store.call(StoreCall.GET, "GET", "/")
                    await store.aclose()
                self.assertNotIn(b"cookie", host.requests[1].lower())
