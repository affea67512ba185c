"""Write periodic snapshots of the catalogue, which limit the changes read at a start.

A snapshot cannot revert a change: its key is its version, it is never overwritten, its
content is derived from the log alone, and readers apply all later changes to it.
"""

from __future__ import annotations

from typing import Final

from corianderlb_core.change import SNAPSHOT_PREFIX, snapshot_key

from .catalogue_log import CatalogueLog
from .store import ObjectStore, StoreConflictError

SNAPSHOT_EVERY: Final = 32
"""Number of versions between snapshots, and so of changes to read after one."""

N_KEPT: Final = 4
"""Number of newest snapshots that are kept."""

KEEP_EVERY: Final = 1024
"""Snapshots at multiples of this version are kept forever, to read old versions."""


class SnapshotWriter:
    """Creates due snapshots and deletes old ones."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._log = CatalogueLog(store)
        self._written = 0

    def due(self, version: int) -> int:
        """Return the version whose snapshot is due, or 0 if none is."""
        due = version - version % SNAPSHOT_EVERY
        return due if due > self._written else 0

    async def write(self, version: int, data: bytes) -> None:
        """Create a snapshot unless it exists, and delete old ones."""
        try:
            await self._store.create(snapshot_key(version), data)
        except StoreConflictError:
            pass
        self._written = version
        await self._delete_old()

    async def _delete_old(self) -> None:
        for key in (await self._log.snapshot_keys())[:-N_KEPT]:
            if int(key.removeprefix(SNAPSHOT_PREFIX)) % KEEP_EVERY == 0:
                continue
            found = await self._store.get(key)
            if found is not None:
                await self._store.delete(key, found.version)
