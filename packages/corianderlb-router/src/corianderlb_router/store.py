"""Interface of the platform's object store.

A write has three outcomes that callers must distinguish: it took effect, it did not, or
its outcome is unknown. For the last, ``StoreUnknownError``, the caller reads the object
back and checks for the id it wrote.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from corianderlb_core.data_class import dataclass
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceRecord
from corianderlb_core.result import ResultCode


class StoreError(CorianderError):
    """Base class of errors of store calls."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreUnavailableError(StoreError):
    """Raised for a call that had no effect: no connection, or throttled by the store.

    Also raised for a failed read, since a read has no effect.
    """

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        """Seconds to wait before a retry, if the store sent them."""


class StoreRefusedError(StoreError):
    """Raised for a call that the store rejects, such as a value above 1 MB."""

    code = ResultCode.INTERNAL


class StoreUnknownError(StoreError):
    """Raised for a write that may have taken effect; read the object back."""


class StoreConflictError(StoreError):
    """Raised when the condition of a write did not hold; nothing was written."""

    code = ResultCode.STORE_CONFLICT


@dataclass(frozen=True)
class StoredObject:
    """An object read from the store."""

    key: str
    value: bytes
    version: str
    """Opaque version for conditional writes."""
    revision: int = 0
    """A store revision no newer than the read, from which a watch may start."""


@dataclass(frozen=True)
class WatchResult:
    """Result of a watch."""

    keys: tuple[str, ...]
    """Keys under the prefix that changed; empty when the watch timed out."""
    revision: int
    """Revision from which the next watch starts."""


@dataclass(frozen=True)
class InstanceList:
    """The platform's list of instances, which lags behind their real state."""

    revision: int
    """Increases with each change; an older list never replaces a newer one."""
    instances: tuple[InstanceRecord, ...]


class ObjectStore(ABC):
    """Object store of the platform, which counts each call."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

    @abstractmethod
    async def list(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return the keys under a prefix that sort after ``after``, in order."""

    async def read_all(self, prefix: str) -> Sequence[StoredObject]:
        """Return the objects under a prefix.

        A store whose lists include values may override this with a single call.
        """
        found = [await self.get(key) for key in await self.list(prefix)]
        return [stored for stored in found if stored is not None]

    @abstractmethod
    async def create(self, key: str, value: bytes) -> str:
        """Create the object and return its version; conflict if it exists."""

    @abstractmethod
    async def update(self, key: str, value: bytes, version: str) -> str:
        """Replace the object if it still has that version; return the new version."""

    async def write(self, key: str, value: bytes, version: str | None) -> str:
        """Replace the object of a version, or create it if that is None.

        Return the new version.
        """
        if version is None:
            return await self.create(key, value)
        return await self.update(key, value, version)

    @abstractmethod
    async def delete(self, key: str, version: str) -> None:
        """Delete the object if it still has that version."""

    @abstractmethod
    async def watch(self, prefix: str, revision: int, timeout_s: float) -> WatchResult:
        """Wait until a key under the prefix changes after a revision."""

    @abstractmethod
    async def instances(self) -> InstanceList:
        """Return the platform's list of instances."""
