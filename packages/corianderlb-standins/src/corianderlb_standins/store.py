"""In-memory stand-in for the platform's object service.

It implements ``docs/reference/store-protocol.md``. It also serves as the weight store
that engines load from, which slows down when many engines load at once.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final

import trio

from corianderlb_core.codec import from_plain, to_plain
from corianderlb_core.identity import InstanceRecord

from ._asgi import Call, StandIn

MAX_VALUE_BYTES: Final = 1_000_000
"""Maximum size of an object."""

BASE_LOAD_S: Final = 0.8
"""Time of a weight load while at most ``MAX_FULL_SPEED_LOADS`` are in progress."""

MAX_FULL_SPEED_LOADS: Final = 2
"""Number of concurrent loads above which each load slows down."""

OBJECTS: Final = "/objects/"
INSTANCES: Final = "/instances"


@dataclass(frozen=True)
class StoreFaults:
    """Injected faults of the store."""

    down: str = ""
    """Empty, ``503``, or ``cut`` to close connections without an answer."""
    slow_s: float = 0.0
    """Delay before each call takes effect."""
    lose_answers: int = 0
    """Number of further writes that take effect but whose answer is lost."""
    lose_how: str = "cut"
    """What replaces a lost answer: ``cut`` (close), ``hang`` (no answer) or ``503``."""
    rate_per_s: float = 0.0
    """Calls per second above which calls get 429; 0 for no limit."""
    instances_lag_s: float = 0.0
    """Age of the list of instances that is returned."""


@dataclass(frozen=True)
class _Object:
    value: bytes
    version: int

    @property
    def etag(self) -> str:
        return f'"{self.version}"'


@dataclass(frozen=True)
class _InstanceListVersion:
    at: float
    revision: int
    records: dict[str, InstanceRecord]


class Store(StandIn):
    """Store of versioned objects with watches and a delayed list of instances."""

    def __init__(self, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self._objects: dict[str, _Object] = {}
        self._revision = 0
        self._changes: list[tuple[int, str]] = []
        self._changed = trio.lowlevel.ParkingLot()
        self._list_versions = [_InstanceListVersion(0.0, 0, {})]
        self._calls: Counter[str] = Counter()
        self._tokens = 1.0
        self._refilled_at = 0.0
        self._n_weight_loads = 0
        self._max_weight_loads = 0

    def counters(self) -> dict[str, Any]:
        """Return calls by kind, and the maximum number of concurrent weight loads."""
        return {"calls": dict(self._calls), "max_weight_loads": self._max_weight_loads}

    async def handle(self, call: Call) -> None:
        """Answer one call of the store protocol."""
        if call.path == "/health":
            await call.answer(200, {})
            return
        if call.path == "/weights/fetch":
            await self._fetch_weights(call)
            return
        if call.path.startswith(f"{INSTANCES}/"):
            # The platform itself makes this call, so faults do not apply.
            await self._set_instance(call)
            return
        if await self._answer_fault(call):
            return
        if call.path == INSTANCES:
            await self._list_instances(call)
        elif call.path == "/objects":
            await self._list_objects(call)
        elif call.path == "/watch":
            await self._watch(call)
        elif call.path.startswith(OBJECTS):
            await self._object(call, call.path.removeprefix(OBJECTS))
        else:
            await call.answer(404, {"error": "no such path"})

    async def _answer_fault(self, call: Call) -> bool:
        """Answer or cut a call that a fault concerns; return True if answered."""
        self._calls["all"] += 1
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        if self.faults.down == "cut":
            self._calls["down"] += 1
            await call.cut()
        if self.faults.down:
            self._calls["down"] += 1
            await call.answer(503, {"error": "down"})
            return True
        if self.faults.rate_per_s and not self._take_token():
            self._calls["limited"] += 1
            await call.answer(429, {"error": "slow down"}, {"retry-after": "1"})
            return True
        return False

    def _take_token(self) -> bool:
        now = trio.current_time()
        rate = self.faults.rate_per_s
        gained = (now - self._refilled_at) * rate
        self._tokens = min(rate, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def _object(self, call: Call, key: str) -> None:
        if call.method == "GET":
            await self._get(call, key)
        elif call.method == "PUT":
            await self._put(call, key)
        elif call.method == "DELETE":
            await self._delete(call, key)
        else:
            await call.answer(405, {"error": "use GET, PUT or DELETE"})

    async def _get(self, call: Call, key: str) -> None:
        self._calls["get"] += 1
        found = self._objects.get(key)
        headers = {"x-revision": str(self._revision)}
        if found is None:
            await call.answer(404, {"error": "no such object"}, headers)
            return
        await call.answer(200, found.value, {"etag": found.etag, **headers})

    async def _put(self, call: Call, key: str) -> None:
        found = self._objects.get(key)
        is_create = call.headers.get("if-none-match") == "*"
        self._calls["create" if is_create else "update"] += 1
        if len(call.body) > MAX_VALUE_BYTES:
            await call.answer(413, {"error": f"at most {MAX_VALUE_BYTES} bytes"})
            return
        if not is_create and "if-match" not in call.headers:
            await call.answer(400, {"error": "give If-None-Match: * or If-Match"})
            return
        if is_create != (found is None) or not _matches(call, found):
            await call.answer(412, {"error": "condition does not hold"})
            return
        version = self._record_change(key)
        self._objects[key] = _Object(call.body, version)
        await self._answer_write(call, 201 if is_create else 200, version)

    async def _delete(self, call: Call, key: str) -> None:
        self._calls["delete"] += 1
        found = self._objects.get(key)
        if found is None or not _matches(call, found):
            await call.answer(412, {"error": "condition does not hold"})
            return
        del self._objects[key]
        await self._answer_write(call, 204, self._record_change(key))

    async def _answer_write(self, call: Call, status: int, version: int) -> None:
        """Answer a write that took effect, unless a fault drops the answer."""
        if self.faults.lose_answers > 0:
            await self._drop_answer(call)
            return
        await call.answer(status, b"", {"etag": f'"{version}"'})

    async def _drop_answer(self, call: Call) -> None:
        left = self.faults.lose_answers - 1
        how = self.faults.lose_how
        self.faults = dataclasses.replace(self.faults, lose_answers=left)
        self._calls["lost"] += 1
        if how == "hang":
            await call.disconnected()
        elif how == "503":
            await call.answer(503, {"error": "gone wrong"})
        else:
            await call.cut()

    def _record_change(self, key: str) -> int:
        self._revision += 1
        self._changes.append((self._revision, key))
        self._changed.unpark_all()
        return self._revision

    async def _list_objects(self, call: Call) -> None:
        self._calls["list"] += 1
        prefix = call.query.get("prefix", "")
        after = call.query.get("after", "")
        limit = int(call.query.get("limit", "1000"))
        keys = sorted(k for k in self._objects if k.startswith(prefix) and k > after)
        await call.answer(200, {"keys": keys[:limit], "revision": self._revision})

    async def _watch(self, call: Call) -> None:
        self._calls["watch"] += 1
        prefix = call.query.get("prefix", "")
        since = int(call.query.get("revision", "0"))
        keys: list[str] = []
        with trio.move_on_after(float(call.query.get("timeout_s", "30"))):
            while not (keys := self._changed_since(prefix, since)):
                await self._changed.park()
        if self.faults.down:
            await call.answer(503, {"error": "down"})
            return
        await call.answer(200, {"keys": keys, "revision": self._revision})

    def _changed_since(self, prefix: str, revision: int) -> list[str]:
        newer = (key for at, key in self._changes if at > revision)
        return sorted({key for key in newer if key.startswith(prefix)})

    async def _list_instances(self, call: Call) -> None:
        self._calls["instances"] += 1
        horizon = trio.current_time() - self.faults.instances_lag_s
        visible = [
            item for item in self._list_versions if item.at <= horizon
        ] or self._list_versions[:1]
        records = [to_plain(record) for record in visible[-1].records.values()]
        await call.answer(200, {"revision": visible[-1].revision, "instances": records})

    async def _set_instance(self, call: Call) -> None:
        name = call.path.removeprefix(f"{INSTANCES}/")
        newest = self._list_versions[-1]
        records = dict(newest.records)
        if call.method == "DELETE":
            records.pop(name, None)
        else:
            records[name] = from_plain(InstanceRecord, call.plain())
        now = trio.current_time()
        self._list_versions.append(
            _InstanceListVersion(now, newest.revision + 1, records)
        )
        await call.answer(200, {})

    async def _fetch_weights(self, call: Call) -> None:
        self._calls["weights"] += 1
        self._n_weight_loads += 1
        self._max_weight_loads = max(self._max_weight_loads, self._n_weight_loads)
        try:
            left = BASE_LOAD_S
            while left > 0:
                step = min(left, 0.05)
                await trio.sleep(
                    step * max(1.0, self._n_weight_loads / MAX_FULL_SPEED_LOADS)
                )
                left -= step
        finally:
            self._n_weight_loads -= 1
        await call.answer(200, {})


def _matches(call: Call, found: _Object | None) -> bool:
    expected_etag = call.headers.get("if-match")
    return expected_etag is None or (found is not None and found.etag == expected_etag)
