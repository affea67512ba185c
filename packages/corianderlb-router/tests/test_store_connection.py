"""Tests of calls to a store whose answers the HTTP library does not take."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import trio

from corianderlb_router.store import StoreUnavailableError, StoreUnknownError
from corianderlb_router.store_caller import StoreCall, StoreCaller
from corianderlb_standins.connection_texts import bad_answers
from corianderlb_standins.trio_case import RealTimeTestCase


class StoreConnectionTest(RealTimeTestCase):
    @asynccontextmanager
    async def store(self, answer: bytes) -> AsyncIterator[StoreCaller]:
        """Return a caller of a store that answers each call with the same bytes."""

        async def serve(stream: trio.SocketStream) -> None:
            with suppress(trio.BrokenResourceError):
                await stream.receive_some()
                await stream.send_all(answer)
            await trio.aclose_forcefully(stream)

        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                caller = StoreCaller(f"http://127.0.0.1:{port}")
                yield caller
                await caller.aclose()
                nursery.cancel_scope.cancel()

    async def test_answer_that_cannot_be_read(self) -> None:
        """Guards against an answer of the store that ends the router."""
        for name, answer in bad_answers().items():
            async with self.store(answer) as store:
                with self.subTest(name), self.assertRaises(StoreUnavailableError):
                    await store.call(StoreCall.GET, "GET", "/")
                with self.subTest(name), self.assertRaises(StoreUnknownError):
                    await store.call(StoreCall.UPDATE, "PUT", "/")
