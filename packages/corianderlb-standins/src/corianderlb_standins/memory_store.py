"""The platform's object service in memory, for tests that need no processes.

It can be down, slow, lose answers after the write, or refuse calls, on request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

import trio

from corianderlb_core.identity import InstanceRecord
from corianderlb_router.http_store import StoreCall
from corianderlb_router.store import (
    InstanceList,
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreUnavailableError,
    StoreUnknownError,
    WatchResult,
)


class Fault(Enum):
    """Name what can go wrong with one call."""

    DOWN = "down"
    """Refused before any effect."""
    LOST_ANSWER = "lost answer"
    """It takes effect and the answer is lost."""
    LOST_CALL = "lost call"
    """It takes no effect and no answer comes."""


class MemoryObjectStore(ObjectStore):
    """Keep objects in memory; ``plan`` decides which call meets which fault."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.records: dict[str, InstanceRecord] = {}
        self.n_calls: Counter[StoreCall] = Counter()
        self.delay_s = 0.0
        """Seconds that each call takes."""
        self.plan: Callable[[StoreCall, str], Fault | None] = lambda kind, key: None
        """Asked before each call with its kind and key."""
        self._changed = trio.Event()

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None when there is none."""
        await self._enter(StoreCall.GET, key)
        return self.objects.get(key)

    async def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the keys under a prefix that sort after ``after``, in order."""
        await self._enter(StoreCall.LIST, prefix)
        found = [key for key in sorted(self.objects) if key.startswith(prefix)]
        return [key for key in found if key > after][:limit]

    async def create(self, key: str, value: bytes) -> str:
        """Make the object and return its version; conflict when it exists."""
        fault = await self._enter(StoreCall.CREATE, key)
        if key in self.objects and fault is None:
            raise StoreConflictError(f"{key} exists")
        return self._write(key, value, fault, key not in self.objects)

    async def update(self, key: str, value: bytes, version: str) -> str:
        """Replace the object if it still has that version; return the new version."""
        fault = await self._enter(StoreCall.UPDATE, key)
        holds = key in self.objects and self.objects[key].version == version
        if not holds and fault is None:
            raise StoreConflictError(f"{key} has another version")
        return self._write(key, value, fault, holds)

    async def delete(self, key: str, version: str) -> None:
        """Take the object away if it still has that version."""
        await self._enter(StoreCall.DELETE, key)
        if key not in self.objects or self.objects[key].version != version:
            raise StoreConflictError(f"{key} has another version")
        del self.objects[key]
        self._touch()

    async def watch(self, prefix: str, revision: int, timeout_s: float) -> WatchResult:
        """Wait until a key under the prefix changes after a revision."""
        await self._enter(StoreCall.WATCH, prefix)
        with trio.move_on_after(timeout_s):
            while not (keys := self._changed_keys(prefix, revision)):
                await self._changed.wait()
            return WatchResult(keys, self.revision)
        return WatchResult((), self.revision)

    async def instances(self) -> InstanceList:
        """Return the platform's list of instances."""
        await self._enter(StoreCall.INSTANCES, "")
        return InstanceList(self.revision, tuple(self.records.values()))

    def put_record(self, record: InstanceRecord) -> None:
        """Change the platform's list, as the platform does."""
        self.records[record.instance] = record
        self._touch()

    async def _enter(self, kind: StoreCall, key: str) -> Fault | None:
        """Count the call, let its time pass, and fail it where that is planned."""
        self.n_calls[kind] += 1
        await trio.sleep(self.delay_s)
        fault = self.plan(kind, key)
        writes = kind in (StoreCall.CREATE, StoreCall.UPDATE)
        if fault is Fault.DOWN or (fault is not None and not writes):
            raise StoreUnavailableError("planned fault")
        return fault

    def _write(self, key: str, value: bytes, fault: Fault | None, holds: bool) -> str:
        if fault is not Fault.LOST_CALL and holds:
            self._touch()
            version = f"v{self.revision}"
            self.objects[key] = StoredObject(key, value, version, self.revision)
        if fault is not None:
            raise StoreUnknownError("planned fault")
        return self.objects[key].version

    def _changed_keys(self, prefix: str, revision: int) -> tuple[str, ...]:
        return tuple(
            key
            for key, held in sorted(self.objects.items())
            if key.startswith(prefix) and held.revision > revision
        )

    def _touch(self) -> None:
        self.revision += 1
        self._changed.set()
        self._changed = trio.Event()
