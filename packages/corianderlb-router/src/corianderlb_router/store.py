"""The platform's object service as the router uses it.

Whoever writes must be able to tell three outcomes apart: it took effect, it did not,
and nobody knows. ``StoreUnknownError`` is the third; its handler reads the object back
and looks for the id it wrote.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceRecord
from corianderlb_core.result import ResultCode


class StoreError(CorianderError):
    """Be the base of what can go wrong with a call to the store."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """Signal that the call surely had no effect: no connection, or a clean refusal.

    A failed read is one as well, since a read has no effect.
    """

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        """Seconds that the store asked to wait, if it did."""


class StoreRefusedError(StoreError):
    """Signal a call that the store will never take, such as a value above 1 MB."""

    code = ResultCode.INTERNAL


class StoreUnknownError(StoreError):
    """Signal that a write may or may not have taken effect; read it back."""


class StoreConflictError(StoreError):
    """Signal that the condition of an update did not hold; nothing was written."""

    code = ResultCode.STORE_CONFLICT


@dataclass(frozen=True)
class StoredObject:
    """Hold one object as it was read."""

    key: str
    value: bytes
    version: str
    """Opaque; a conditional update names it."""
    revision: int = 0
    """A revision of the store no newer than the read, where a watch may start."""


@dataclass(frozen=True)
class WatchResult:
    """Hold what a watch saw."""

    keys: tuple[str, ...]
    """Keys under the prefix that changed; empty when the watch timed out."""
    revision: int
    """Where the next watch starts."""


@dataclass(frozen=True)
class InstanceList:
    """Hold the platform's list of instances, which lags reality."""

    revision: int
    """Grows with each change; an older list never replaces a newer one."""
    instances: tuple[InstanceRecord, ...]


class ObjectStore(ABC):
    """Read and write objects in the platform's service; each call is counted there."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None when there is none."""

    @abstractmethod
    async def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the keys under a prefix that sort after ``after``, in order."""

    async def read_all(self, prefix: str) -> Sequence[StoredObject]:
        """Return the objects under a prefix; a store whose lists hold values needs
        one call for all of them."""
        found = [await self.get(key) for key in await self.list(prefix)]
        return [stored for stored in found if stored is not None]

    @abstractmethod
    async def create(self, key: str, value: bytes) -> str:
        """Make the object and return its version; conflict when it exists."""

    @abstractmethod
    async def update(self, key: str, value: bytes, version: str) -> str:
        """Replace the object if it still has that version; return the new version."""

    @abstractmethod
    async def delete(self, key: str, version: str) -> None:
        """Take the object away if it still has that version."""

    @abstractmethod
    async def watch(self, prefix: str, revision: int, timeout_s: float) -> WatchResult:
        """Wait until a key under the prefix changes after a revision."""

    @abstractmethod
    async def instances(self) -> InstanceList:
        """Return the platform's list of instances."""
