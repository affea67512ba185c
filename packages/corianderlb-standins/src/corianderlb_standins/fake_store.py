"""A store in memory for tests, with the faults that the platform's service has."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from corianderlb_core.identity import InstanceRecord
from corianderlb_router.store import (
    InstanceList,
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreUnavailableError,
    StoreUnknownError,
    WatchResult,
)


@dataclass
class StoreFaults:
    """Say what goes wrong with the next calls; a test sets the fields."""

    unavailable: bool = False
    """Every call is refused without effect."""
    delay_s: float = 0.0
    """Every call waits this long before it takes effect."""
    n_lost_answers: int = 0
    """So many writes take effect, and their answers are lost."""
    n_lost_requests: int = 0
    """So many writes have no effect, and nobody knows."""
    n_late_writes: int = 0
    """So many writes seem lost, and are tried again ``late_s`` afterwards."""
    late_s: float = 1.0
    n_conflicts: int = 0
    """So many writes conflict, as if another writer had been first."""


@dataclass
class FakeStore(ObjectStore):
    """Keep objects in memory; several routers of one test share an instance.

    For example ``store.faults.n_lost_answers = 1`` lets the next write take effect
    and raises ``StoreUnknownError`` to its caller.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: Counter[str] = field(default_factory=Counter)
    """Calls by name, refused ones too."""
    longest: int = 0
    """Bytes of the longest value that was written."""
    before_write: Callable[[str], Awaitable[None]] | None = None
    """Runs before each write takes effect, with its key."""
    objects: dict[str, StoredObject] = field(default_factory=dict)
    records: tuple[InstanceRecord, ...] = ()
    """The list of instances; set it with ``set_instances``."""
    nursery: trio.Nursery | None = None
    """Runs late writes; needed for that fault alone."""

    def __post_init__(self) -> None:
        self._revision = 0
        self._list_revision = 0
        self._changed_at: dict[str, int] = {}
        self._changed = trio.Event()

    def set_instances(self, *records: InstanceRecord) -> None:
        """Replace the platform's list of instances."""
        self.records = records
        self._list_revision += 1

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None."""
        await self._enter("get")
        return self.objects.get(key)

    async def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the keys under a prefix after a key."""
        await self._enter("list")
        found = [key for key in self.objects if key.startswith(prefix) and key > after]
        return sorted(found)[:limit]

    async def create(self, key: str, value: bytes) -> str:
        """Make the object; conflict when it exists."""
        await self._enter("create")
        return await self._write(key, lambda: self._create(key, value))

    async def update(self, key: str, value: bytes, version: str) -> str:
        """Replace the object of that version."""
        await self._enter("update")
        return await self._write(key, lambda: self._update(key, value, version))

    async def delete(self, key: str, version: str) -> None:
        """Take away the object of that version."""
        await self._enter("delete")
        await self._write(key, lambda: self._delete(key, version))

    async def watch(self, prefix: str, revision: int, timeout_s: float) -> WatchResult:
        """Wait for a change under the prefix."""
        await self._enter("watch")
        with trio.move_on_after(timeout_s):
            while not (keys := self._keys_after(prefix, revision)):
                await self._changed.wait()
            return WatchResult(keys, self._revision)
        return WatchResult((), max(revision, self._revision))

    async def instances(self) -> InstanceList:
        """Return the list of instances."""
        await self._enter("instances")
        return InstanceList(self._list_revision, self.records)

    async def _enter(self, name: str) -> None:
        self.calls[name] += 1
        if self.faults.unavailable:
            await trio.lowlevel.checkpoint()
            raise StoreUnavailableError("the fake store is set to be unavailable")
        await trio.sleep(self.faults.delay_s)

    async def _write(self, key: str, effect: Callable[[], str]) -> str:
        if self.before_write is not None:
            await self.before_write(key)
        faults = self.faults
        if faults.n_conflicts:
            faults.n_conflicts -= 1
            raise StoreConflictError(f"{key}: injected conflict")
        if faults.n_lost_requests:
            faults.n_lost_requests -= 1
            raise StoreUnknownError(f"{key}: request lost")
        if faults.n_late_writes and self.nursery is not None:
            faults.n_late_writes -= 1
            self.nursery.start_soon(self._write_late, effect)
            raise StoreUnknownError(f"{key}: no answer in time")
        version = effect()
        if faults.n_lost_answers:
            faults.n_lost_answers -= 1
            raise StoreUnknownError(f"{key}: answer lost")
        return version

    async def _write_late(self, effect: Callable[[], str]) -> None:
        await trio.sleep(self.faults.late_s)
        try:
            effect()
        except StoreConflictError:
            return

    def _create(self, key: str, value: bytes) -> str:
        if key in self.objects:
            raise StoreConflictError(f"{key} exists")
        return self._put(key, value)

    def _update(self, key: str, value: bytes, version: str) -> str:
        self._check(key, version)
        return self._put(key, value)

    def _delete(self, key: str, version: str) -> str:
        self._check(key, version)
        del self.objects[key]
        self._note(key)
        return ""

    def _check(self, key: str, version: str) -> None:
        held = self.objects.get(key)
        if held is None or held.version != version:
            raise StoreConflictError(f"{key} is not at version {version}")

    def _put(self, key: str, value: bytes) -> str:
        self._note(key)
        self.longest = max(self.longest, len(value))
        version = str(self._revision)
        self.objects[key] = StoredObject(key, value, version, self._revision)
        return version

    def _note(self, key: str) -> None:
        self._revision += 1
        self._changed_at[key] = self._revision
        self._changed.set()
        self._changed = trio.Event()

    def _keys_after(self, prefix: str, revision: int) -> tuple[str, ...]:
        return tuple(
            sorted(
                key
                for key, changed_at in self._changed_at.items()
                if changed_at > revision and key.startswith(prefix)
            )
        )
