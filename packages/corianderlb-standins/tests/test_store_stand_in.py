"""Test the protocol and the injected faults of the store stand-in."""

from __future__ import annotations

import httpx
import trio

from corianderlb_core.codec import to_json
from corianderlb_core.identity import InstanceId, InstanceRecord, Role
from corianderlb_standins.store import Store
from corianderlb_standins.trio_case import TrioTestCase

KEY = "/objects/journal/1"
ABSENT = {"if-none-match": "*"}


def connect(store: Store) -> httpx.AsyncClient:
    """Return a client that calls the stand-in without a socket."""
    transport = httpx.ASGITransport(app=store, raise_app_exceptions=False)
    return httpx.AsyncClient(transport=transport, base_url="http://store")


class StoreStandInTest(TrioTestCase):
    async def test_updates_are_conditional(self) -> None:
        async with connect(Store()) as client:
            made = await client.put(KEY, content=b"a", headers=ABSENT)
            self.assertEqual(made.status_code, 201)
            again = await client.put(KEY, content=b"b", headers=ABSENT)
            self.assertEqual(again.status_code, 412)
            match = {"if-match": made.headers["etag"]}
            updated = await client.put(KEY, content=b"c", headers=match)
            self.assertEqual(updated.status_code, 200)
            stale = await client.put(KEY, content=b"d", headers=match)
            self.assertEqual(stale.status_code, 412)
            self.assertEqual((await client.get(KEY)).content, b"c")

    async def test_write_with_lost_answer_takes_effect(self) -> None:
        async with connect(Store()) as client:
            await client.post("/debug/fault", json={"lose_answers": 1})
            await client.post("/debug/fault", json={"lose_how": "503"})
            lost = await client.put(KEY, content=b"a", headers=ABSENT)
            self.assertEqual(lost.status_code, 503)
            self.assertEqual((await client.get(KEY)).content, b"a")
            calls = (await client.get("/debug/calls")).json()["calls"]
            self.assertEqual((calls["create"], calls["lost"]), (1, 1))

    async def test_watch_returns_after_the_first_change(self) -> None:
        store = Store()
        async with connect(store) as client, trio.open_nursery() as nursery:
            seen = []

            async def watch() -> None:
                url = "/watch?prefix=journal/&revision=0&timeout_s=60"
                seen.append((await client.get(url)).json())

            nursery.start_soon(watch)
            await trio.sleep(5.0)
            self.assertEqual(seen, [])
            await client.put(KEY, content=b"a", headers=ABSENT)
            await trio.sleep(0.1)
            self.assertEqual(seen, [{"keys": ["journal/1"], "revision": 1}])

    async def test_list_of_instances_lags(self) -> None:
        async with connect(Store()) as client:
            await client.post("/debug/fault", json={"instances_lag_s": 5.0})
            record = InstanceRecord(InstanceId("e"), Role.UPSTREAM, "z", "r", "a:1")
            await client.put("/instances/e", content=to_json(record))
            self.assertEqual((await client.get("/instances")).json()["instances"], [])
            await trio.sleep(6.0)
            found = (await client.get("/instances")).json()
            self.assertEqual(found["instances"][0]["instance"], "e")

    async def test_more_than_two_weight_loads_slow_down(self) -> None:
        store = Store()
        async with connect(store) as client:
            started = trio.current_time()
            await client.post("/weights/fetch")
            alone_s = trio.current_time() - started
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(client.post, "/weights/fetch")
            self.assertAlmostEqual(alone_s, 0.8, places=3)
            self.assertGreater(trio.current_time() - started, 1.5)
