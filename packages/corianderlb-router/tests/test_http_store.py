"""The store client tells apart: took effect, did not, and nobody knows."""

from __future__ import annotations

from collections.abc import Callable

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

Answer = Callable[[httpx.Request], httpx.Response]


def a_store(answer: Answer) -> HttpObjectStore:
    transport = httpx.MockTransport(answer)
    return HttpObjectStore("http://store", transport=transport)


def failing(exc: Exception) -> Answer:
    def answer(_: httpx.Request) -> httpx.Response:
        raise exc

    return answer


class HttpStoreTest(TrioTestCase):
    async def test_lost_answer_of_a_write_is_unknown(self) -> None:
        """The store wrote the object, then the connection broke before the answer.

        Taking that for "not written" would apply an operator's edit twice.
        """
        lost = [
            failing(httpx.ReadTimeout("silent")),
            failing(httpx.ReadError("reset")),
            failing(httpx.WriteError("reset")),
            failing(httpx.RemoteProtocolError("closed")),
            lambda _: httpx.Response(500),
            lambda _: httpx.Response(204),
        ]
        for answer in lost:
            with self.assertRaises(StoreUnknownError):
                await a_store(answer).create("changes/1", b"x")
            with self.assertRaises(StoreUnknownError):
                await a_store(answer).update("changes/1", b"x", "v")
            with self.assertRaises(StoreUnavailableError):
                await a_store(answer).get("changes/1")

    async def test_write_that_never_left_is_unavailable(self) -> None:
        """No connection came about, or the store turned the call away under load.

        A caller may then truly be told "not run".
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

    async def test_condition_and_quoting_are_sent(self) -> None:
        seen: list[httpx.Request] = []

        def answer(req: httpx.Request) -> httpx.Response:
            seen.append(req)
            return httpx.Response(200, headers={"etag": '"v2"', "x-revision": "7"})

        store = a_store(answer)
        self.assertEqual(await store.update("a/b ?#%", b"x", "v1"), "v2")
        self.assertEqual(seen[0].url.raw_path, b"/objects/a/b%20%3F%23%25")
        self.assertEqual(seen[0].headers["if-match"], '"v1"')
        found = await store.get("a")
        self.assertEqual((found.version, found.revision), ("v2", 7))
        self.assertEqual(store.n_calls, {StoreCall.UPDATE: 1, StoreCall.GET: 1})

    async def test_silent_connection_retires_the_pool(self) -> None:
        """A kept connection went silent while new ones work.

        Without giving up its fellows, every later call waits out its timeout too.
        """
        store = a_store(failing(httpx.ReadTimeout("silent")))
        with self.assertRaises(StoreUnavailableError):
            await store.get("k")
        self.assertEqual(store.n_pools_retired, 1)

    async def test_watch_on_a_silent_pool_is_begun_anew(self) -> None:
        """All kept connections went silent; a watch on one waits for nothing.

        Another call finds it out first. Until the watch has run out, the router would
        not hear of a new catalogue.
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
