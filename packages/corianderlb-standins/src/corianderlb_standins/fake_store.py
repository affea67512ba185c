"""In-memory object store for tests, with the faults of the platform's service."""

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
    """Faults of the next calls; tests set the fields."""

    unavailable: bool = False
    """Every call fails without effect."""
    delay_s: float = 0.0
    """Delay before each call takes effect."""
    n_lost_answers: int = 0
    """Number of writes that take effect but whose answer is lost."""
    n_lost_requests: int = 0
    """Number of writes that are lost; the caller gets no answer."""
    n_late_writes: int = 0
    """Number of writes that get no answer and take effect ``late_s`` later."""
    late_s: float = 1.0
    n_conflicts: int = 0
    """Number of writes that fail with a conflict, as after another writer."""


@dataclass
class FakeStore(ObjectStore):
    """In-memory store that the routers of one test share.

    For example, after ``store.faults.n_lost_answers = 1`` the next write takes effect
    and raises ``StoreUnknownError``.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: Counter[str] = field(default_factory=Counter)
    """Calls by name, including refused calls."""
    longest: int = 0
    """Size in bytes of the longest value written."""
    before_write: Callable[[str], Awaitable[None]] | None = None
    """Called with the key before each write takes effect."""
    objects: dict[str, StoredObject] = field(default_factory=dict)
    records: tuple[InstanceRecord, ...] = ()
    """List of instances; set it with ``set_instances``."""
    nursery: trio.Nursery | None = None
    """Runs late writes; only needed for ``n_late_writes``."""

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
        await self._start_call("get")
        return self.objects.get(key)

    async def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the keys under a prefix after a key."""
        await self._start_call("list")
        found = [key for key in self.objects if key.startswith(prefix) and key > after]
        return sorted(found)[:limit]

    async def create(self, key: str, value: bytes) -> str:
        """Create the object; raise a conflict if it exists."""
        await self._start_call("create")
        return await self._write(key, lambda: self._create(key, value))

    async def update(self, key: str, value: bytes, version: str) -> str:
        """Replace the object if it has the given version."""
        await self._start_call("update")
        return await self._write(key, lambda: self._update(key, value, version))

    async def delete(self, key: str, version: str) -> None:
        """Delete the object if it has the given version."""
        await self._start_call("delete")
        await self._write(key, lambda: self._delete(key, version))

    async def watch(self, prefix: str, revision: int, timeout_s: float) -> WatchResult:
        """Wait for a change under a prefix, up to a timeout."""
        await self._start_call("watch")
        with trio.move_on_after(timeout_s):
            while not (keys := self._keys_after(prefix, revision)):
                await self._changed.wait()
            return WatchResult(keys, self._revision)
        return WatchResult((), max(revision, self._revision))

    async def instances(self) -> InstanceList:
        """Return the list of instances."""
        await self._start_call("instances")
        return InstanceList(self._list_revision, self.records)

    async def _start_call(self, name: str) -> None:
        self.calls[name] += 1
        if self.faults.unavailable:
            await trio.lowlevel.checkpoint()
            raise StoreUnavailableError("the unavailable fault is set")
        await trio.sleep(self.faults.delay_s)

    async def _write(self, key: str, apply: Callable[[], str]) -> str:
        if self.before_write is not None:
            await self.before_write(key)
        faults = self.faults
        if faults.n_conflicts:
            faults.n_conflicts -= 1
            raise StoreConflictError(f"{key}: conflict from a fault")
        if faults.n_lost_requests:
            faults.n_lost_requests -= 1
            raise StoreUnknownError(f"{key}: request lost by a fault")
        if faults.n_late_writes and self.nursery is not None:
            faults.n_late_writes -= 1
            self.nursery.start_soon(self._write_late, apply)
            raise StoreUnknownError(f"{key}: write delayed by a fault")
        version = apply()
        if faults.n_lost_answers:
            faults.n_lost_answers -= 1
            raise StoreUnknownError(f"{key}: answer lost by a fault")
        return version

    async def _write_late(self, apply: Callable[[], str]) -> None:
        await trio.sleep(self.faults.late_s)
        try:
            apply()
        except StoreConflictError:
            return

    def _create(self, key: str, value: bytes) -> str:
        if key in self.objects:
            raise StoreConflictError(f"{key} already exists")
        return self._put(key, value)

    def _update(self, key: str, value: bytes, version: str) -> str:
        self._check_version(key, version)
        return self._put(key, value)

    def _delete(self, key: str, version: str) -> str:
        self._check_version(key, version)
        del self.objects[key]
        self._record_change(key)
        return ""

    def _check_version(self, key: str, version: str) -> None:
        current = self.objects.get(key)
        if current is None or current.version != version:
            raise StoreConflictError(f"{key} is not at version {version}")

    def _put(self, key: str, value: bytes) -> str:
        self._record_change(key)
        self.longest = max(self.longest, len(value))
        version = str(self._revision)
        self.objects[key] = StoredObject(key, value, version, self._revision)
        return version

    def _record_change(self, key: str) -> None:
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
