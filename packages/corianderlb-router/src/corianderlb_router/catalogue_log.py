"""Read the catalogue's log in the platform's store.

The log consists of one object ``changes/N`` for each accepted change, and of periodic
snapshots, after which a reader needs only the later changes.
"""

from __future__ import annotations

from typing import Final

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.catalogue_codec import catalogue_from_json, change_from_json
from corianderlb_core.change import (
    CHANGE_PREFIX,
    SNAPSHOT_PREFIX,
    Change,
    apply_change,
    change_key,
)
from corianderlb_core.codec import DecodeError
from corianderlb_core.data_class import dataclass
from corianderlb_core.error import CorianderError
from corianderlb_core.result import ResultCode

from .store import ObjectStore, StoredObject

LIST_LIMIT: Final = 1000
"""Number of keys requested in one call."""


class CatalogueLogError(CorianderError):
    """The log in the store is incomplete or cannot be decoded."""

    code = ResultCode.INTERNAL


class VersionNotFoundError(CorianderError):
    """The requested catalogue version has not been accepted yet."""

    code = ResultCode.NOT_FOUND


@dataclass(frozen=True)
class StoredChange:
    """A decoded change and its encoded form in the store."""

    change: Change
    data: bytes
    revision: int = 0
    """Revision from which a watch returns the next change."""


@dataclass(frozen=True)
class StoredSnapshot:
    """A decoded snapshot and its encoded form in the store."""

    catalogue: Catalogue
    data: bytes


class CatalogueLog:
    """Reads changes and snapshots; each method documents its number of calls."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def change(self, version: int) -> StoredChange | None:
        """Return the change that created a version, or None; one call."""
        found = await self._store.get(change_key(version))
        return None if found is None else _read_change(found, version)

    async def changes_after(
        self, version: int, limit: int = LIST_LIMIT
    ) -> list[StoredChange]:
        """Return the next changes in order; one call plus one per change."""
        keys = await self._store.list(CHANGE_PREFIX, change_key(version), limit)
        found = []
        for key in keys:
            version += 1
            if key != change_key(version):
                raise CatalogueLogError(
                    f"the log has {key} but not {change_key(version)}; changes are "
                    "never deleted: restore it in the store"
                )
            stored = await self.change(version)
            if stored is None:
                break
            found.append(stored)
        return found

    async def snapshot_keys(self) -> list[str]:
        """Return the keys of the snapshots, oldest first; one call per 1000 keys."""
        keys = await self._store.list(SNAPSHOT_PREFIX, limit=LIST_LIMIT)
        n_new = len(keys)
        while n_new == LIST_LIMIT:
            more = await self._store.list(SNAPSHOT_PREFIX, keys[-1], LIST_LIMIT)
            keys += more
            n_new = len(more)
        return keys

    async def newest_snapshot(self) -> StoredSnapshot | None:
        """Return the newest snapshot, or None; one or two calls."""
        keys = await self.snapshot_keys()
        found = await self._store.get(keys[-1]) if keys else None
        return None if found is None else _read_snapshot(found)

    async def newest(self) -> Catalogue:
        """Return the newest catalogue; calls for two lists and for each object."""
        snapshot = await self.newest_snapshot()
        catalogue = snapshot.catalogue if snapshot else Catalogue()
        while found := await self.changes_after(catalogue.version):
            for stored in found:
                catalogue = apply_change(catalogue, stored.change)
        return catalogue

    async def at(self, version: int) -> Catalogue:
        """Return the catalogue at a version, built on the closest earlier snapshot."""
        keys = await self.snapshot_keys()
        fitting = [key for key in keys if _version_in(key) <= version]
        found = await self._store.get(fitting[-1]) if fitting else None
        catalogue = _read_snapshot(found).catalogue if found else Catalogue()
        while catalogue.version < version:
            missing = version - catalogue.version
            stored = await self.changes_after(catalogue.version, missing)
            if not stored:
                raise VersionNotFoundError(
                    f"there is no version {version} yet; the newest is "
                    f"{catalogue.version}"
                )
            for item in stored:
                catalogue = apply_change(catalogue, item.change)
        return catalogue


def _read_change(found: StoredObject, version: int) -> StoredChange:
    try:
        change = change_from_json(found.value)
    except DecodeError as exc:
        raise CatalogueLogError(
            f"{found.key}: {exc}; a newer release may have written it: update this one"
        ) from exc
    if change.version != version:
        raise CatalogueLogError(f"{found.key} holds version {change.version}")
    return StoredChange(change, found.value, found.revision)


def _read_snapshot(found: StoredObject) -> StoredSnapshot:
    try:
        catalogue = catalogue_from_json(found.value)
    except DecodeError as exc:
        raise CatalogueLogError(f"{found.key}: {exc}") from exc
    if catalogue.version != _version_in(found.key):
        raise CatalogueLogError(f"{found.key} holds version {catalogue.version}")
    return StoredSnapshot(catalogue, found.value)


def _version_in(key: str) -> int:
    return int(key.removeprefix(SNAPSHOT_PREFIX))
