"""An object of the store that one router alone writes."""

from __future__ import annotations

from .store import ObjectStore, StoredObject, StoreError


class OwnObject:
    """Keeps the version of an object between writes.

    For example, ``await own.read()`` unless ``own.is_read``, then
    ``await own.write(b"")``. After a failed write the object has to be read again: the
    write may have taken effect, or one of an earlier incarnation.
    """

    def __init__(self, store: ObjectStore, key: str) -> None:
        self._store = store
        self._key = key
        self._version: str | None = None
        """Version that is known; None if there is no object."""
        self.is_read = False
        """Whether the version is that of the last read or write."""

    async def read(self) -> StoredObject | None:
        """Return the object, or None if there is none."""
        stored = await self._store.get(self._key)
        self._version = stored.version if stored else None
        self.is_read = True
        return stored

    async def write(self, value: bytes) -> None:
        """Create or replace the object."""
        try:
            self._version = await self._store.write(self._key, value, self._version)
        except StoreError:
            self.is_read = False
            raise
