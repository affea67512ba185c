"""Tests of the outcomes of store calls: effect, no effect, or unknown."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from functools import partial
from unittest import mock

import httpx
import trio

from corianderlb_router.http_store import HttpObjectStore, StoreCall
from corianderlb_router.store import (
    StoreConflictError,
    StoreRefusedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from corianderlb_standins.trio_case import TrioTestCase

ODD_ANSWERS = (
    b"{}",
    b"[]",
    b"[" * 100_000,
    b'{"keys":3,"revision":3,"instances":3}',
    b'{"keys":null,"revision":null,"instances":null}',
    b'{"keys":[3],"revision":1e999,"instances":[3]}',
    b'{"keys":[[]],"revision":1%b,"instances":[]}' % (b"0" * 5000),
)

Answer = Callable[[httpx.Request], httpx.Response]


def a_store(answer: Answer) -> HttpObjectStore:
    transport = httpx.MockTransport(answer)
    return HttpObjectStore("http://store", transport=transport)


def failing(exc: Exception) -> Answer:
    def answer(_: httpx.Request) -> httpx.Response:
        raise exc

    return answer


class HttpStoreTest(TrioTestCase):
    def test_plain_store_loads_no_certificates(self) -> None:
        """Guards against a start that reads certificate authorities for nothing."""
        with mock.patch.object(ssl.SSLContext, "load_verify_locations") as load:
            HttpObjectStore("http://store")
            self.assertEqual(load.call_count, 0)
            HttpObjectStore("https://store")
            self.assertEqual(load.call_count, 1)

    async def test_lost_answer_of_a_write_is_unknown(self) -> None:
        """The connection broke after the store wrote the object.

        Treating this as not written would apply an operator's edit twice.
        """
        lost_answers = [
            failing(httpx.ReadTimeout("silent")),
            failing(httpx.ReadError("reset")),
            failing(httpx.WriteError("reset")),
            failing(httpx.RemoteProtocolError("closed")),
            lambda _: httpx.Response(500),
            lambda _: httpx.Response(204),
        ]
        for answer in lost_answers:
            with self.assertRaises(StoreUnknownError):
                await a_store(answer).create("changes/1", b"x")
            with self.assertRaises(StoreUnknownError):
                await a_store(answer).update("changes/1", b"x", "v")
            with self.assertRaises(StoreUnavailableError):
                await a_store(answer).get("changes/1")

    async def test_write_that_was_not_sent_is_unavailable(self) -> None:
        """Without a connection, or when throttled, a write had no effect.

        The caller may then be told that its call did not run.
        """
        unsent = [
            failing(httpx.ConnectError("refused")),
            failing(httpx.ConnectTimeout("slow")),
            failing(httpx.PoolTimeout("busy")),
            lambda _: httpx.Response(429, headers={"retry-after": "3"}),
        ]
        for answer in unsent:
            with self.assertRaises(StoreUnavailableError) as caught:
                await a_store(answer).create("changes/1", b"x")
        self.assertEqual(caught.exception.retry_after_s, 3.0)

    async def test_conflict_and_refusal(self) -> None:
        with self.assertRaises(StoreConflictError):
            await a_store(lambda _: httpx.Response(412)).create("k", b"")
        with self.assertRaises(StoreRefusedError):
            await a_store(lambda _: httpx.Response(413)).create("k", b"")
        self.assertIsNone(await a_store(lambda _: httpx.Response(404)).get("k"))

    async def test_answers_of_another_kind(self) -> None:
        """Guards against an odd answer that ends the task which follows the store."""
        for content in ODD_ANSWERS:
            store = a_store(lambda _, body=content: httpx.Response(200, content=body))
            for ask in (
                partial(store.list, "p"),
                partial(store.watch, "p", 1, 1.0),
                store.instances,
            ):
                with self.subTest(content), self.assertRaises(StoreUnavailableError):
                    await ask()
        for revision in ("abc", "-1", "1e5", "9" * 5000):
            headers = {"x-revision": revision}
            store = a_store(
                lambda _, sent=headers: httpx.Response(200, headers=sent, content=b"x")
            )
            with self.subTest(revision[:9]), self.assertRaises(StoreUnavailableError):
                await store.get("k")

    async def test_condition_and_quoting_are_sent(self) -> None:
        seen: list[httpx.Request] = []

        def answer(req: httpx.Request) -> httpx.Response:
            seen.append(req)
            headers = {"etag": '"v2"', "x-revision": "7"}
            return httpx.Response(200, headers=headers, content=b"x")

        store = a_store(answer)
        self.assertEqual(await store.update("a/b ?#%", b"x", "v1"), "v2")
        self.assertEqual(seen[0].url.raw_path, b"/objects/a/b%20%3F%23%25")
        self.assertEqual(seen[0].headers["if-match"], '"v1"')
        found = await store.get("a")
        got = (found.value, found.version, found.revision)
        self.assertEqual(got, (b"x", "v2", 7))
        self.assertEqual(store.n_calls, {StoreCall.UPDATE: 1, StoreCall.GET: 1})

    async def test_unresponsive_connection_retires_the_pool(self) -> None:
        """An idle connection is broken while new ones work.

        Unless the pool is replaced, each later call waits for its timeout as well.
        """
        store = a_store(failing(httpx.ReadTimeout("silent")))
        with self.assertRaises(StoreUnavailableError):
            await store.get("k")
        self.assertEqual(store.n_pools_retired, 1)

    async def test_watch_on_a_retired_pool_is_cancelled(self) -> None:
        """All idle connections are broken, which another call detects first.

        Until the watch on one timed out, the router would miss a new catalogue.
        """

        async def answer(req: httpx.Request) -> httpx.Response:
            if req.url.path == "/watch":
                await trio.sleep_forever()
            raise httpx.ReadTimeout("silent")

        store = HttpObjectStore("http://store", transport=httpx.MockTransport(answer))
        ended: list[float] = []

        async def watch() -> None:
            with self.assertRaises(StoreUnavailableError):
                await store.watch("changes/", 0, 60.0)
            ended.append(trio.current_time())

        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(1)
            with self.assertRaises(StoreUnavailableError):
                await store.get("k")
        self.assertLess(ended[0] - start, 2.0)
