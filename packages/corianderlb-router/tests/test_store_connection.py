"""Tests of calls to a store whose answers the HTTP library does not take."""

from __future__ import annotations

import trio

from corianderlb_router.store import StoreUnavailableError, StoreUnknownError
from corianderlb_router.store_caller import StoreCall, StoreCaller
from corianderlb_standins.connection_texts import bad_answers
from corianderlb_standins.loopback import RawHost
from corianderlb_standins.trio_case import RealTimeTestCase


class StoreConnectionTest(RealTimeTestCase):
    async def test_answer_that_cannot_be_read(self) -> None:
        """Guards against an answer of the store that ends the router."""
        for name, answer in bad_answers().items():
            with trio.fail_after(10):
                async with RawHost(answer).running() as host:
                    store = StoreCaller(f"http://{host.address}")
                    with self.subTest(name), self.assertRaises(StoreUnavailableError):
                        await store.call(StoreCall.GET, "GET", "/")
                    with self.subTest(name), self.assertRaises(StoreUnknownError):
                        await store.call(StoreCall.UPDATE, "PUT", "/")
                    await store.aclose()
