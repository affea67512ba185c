"""Tests of calls to a store whose answers the HTTP library does not take."""

from __future__ import annotations

from contextlib import suppress

import trio

from corianderlb_router.http_store import HttpObjectStore
from corianderlb_router.store import StoreUnavailableError, StoreUnknownError
from corianderlb_router.store_caller import StoreCall, StoreCaller
from corianderlb_standins.connection_texts import (
    bad_answers,
    cut_answers,
    framed_answers,
)
from corianderlb_standins.loopback import KeptHost, RawHost
from corianderlb_standins.malformed_answers import malformed_answers
from corianderlb_standins.trio_case import RealTimeTestCase

OBJECT_FIELDS = (b'etag: "4"', b"x-revision: 4")
"""Fields of an answer with an object."""


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

    async def test_object_that_is_cut(self) -> None:
        """Guards against a part of an object that is taken for all of it."""
        for name, answer, resets in cut_answers(b"value", *OBJECT_FIELDS):
            value = b"value"
            with trio.fail_after(10):
                async with RawHost(answer, resets).running() as host:
                    store = HttpObjectStore(f"http://{host.address}")
                    with suppress(StoreUnavailableError):
                        value = (await store.get("k")).value
                    await store.aclose()
            with self.subTest(name):
                self.assertEqual(value, b"value")

    async def test_object_in_a_malformed_answer(self) -> None:
        """Guards against a value or a version that the store has not sent as such."""
        for name, answer in malformed_answers(b"value", *OBJECT_FIELDS):
            with trio.fail_after(10):
                async with RawHost(answer).running() as host:
                    store = HttpObjectStore(f"http://{host.address}")
                    with self.subTest(name), self.assertRaises(StoreUnavailableError):
                        await store.get("k")
                    await store.aclose()

    async def test_bytes_after_an_answer(self) -> None:
        """Guards against what follows an answer being read as the next one."""
        stale = framed_answers(b"stale", *OBJECT_FIELDS)["length"]
        for name, answer in framed_answers(b"value", *OBJECT_FIELDS).items():
            for more in (b"", stale, b"\r\n"):
                async with KeptHost(answer + more).running() as host:
                    store = HttpObjectStore(f"http://{host.address}", 0.5)
                    values = []
                    with suppress(StoreUnavailableError):
                        for _ in range(3):
                            values.append((await store.get("k")).value)
                    await store.aclose()
                with self.subTest(name, more=more):
                    # A body without length doesn't end on a connection that stays open.
                    n_whole = 0 if name == "close" else 3
                    self.assertEqual(values, [b"value"] * n_whole)
