"""Write snapshots of the catalogue now and then, so that starts read few changes.

A snapshot cannot revert anything: its key is its version, it is only ever created, its
bytes follow from the log alone, and readers apply every later change on top of it.
"""

from __future__ import annotations

from typing import Final

from corianderlb_core.change import SNAPSHOT_PREFIX, snapshot_key

from .catalogue_log import CatalogueLog
from .store import ObjectStore, StoreConflictError

SNAPSHOT_EVERY: Final = 32
"""Versions from one snapshot to the next: at most as many changes to read after it."""

N_KEPT: Final = 4
"""Newest snapshots that stay."""

KEEP_EVERY: Final = 1024
"""A snapshot at a multiple of this stays for good, for reading old versions."""


class SnapshotWriter:
    """Create the snapshots that are due and take away those that served."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._log = CatalogueLog(store)
        self._written = 0

    def due(self, version: int) -> int:
        """Return the version to write a snapshot of, or 0 when none is due."""
        due = version - version % SNAPSHOT_EVERY
        return due if due > self._written else 0

    async def write(self, version: int, data: bytes) -> None:
        """Create a snapshot, unless it is there, and take away old ones."""
        try:
            await self._store.create(snapshot_key(version), data)
        except StoreConflictError:
            pass
        self._written = version
        await self._take_away_old()

    async def _take_away_old(self) -> None:
        for key in (await self._log.snapshot_keys())[:-N_KEPT]:
            if int(key.removeprefix(SNAPSHOT_PREFIX)) % KEEP_EVERY == 0:
                continue
            found = await self._store.get(key)
            if found is not None:
                await self._store.delete(key, found.version)
