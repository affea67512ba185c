"""Catalogue changes: the write that accepts an edit is its audit record as well.

Change N is the object ``changes/N`` of the platform's store, made by create-if-absent.
The state at version N is the fold of changes 1 to N, so no accepted change can be
half there, and none can be reverted by an older writer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .catalogue import Catalogue, Entry, EntryKey, key_of
from .error import CorianderError
from .result import ResultCode

CHANGE_KEY_WIDTH: Final = 12
"""Digits in a change's store key, so that keys sort by version."""

CHANGE_PREFIX: Final = "changes/"
"""Where changes live in the store."""

SNAPSHOT_PREFIX: Final = "snapshots/"
"""Where folded catalogues live in the store; they bound the replay."""


class ChangeOrderError(CorianderError):
    """Signal a change that does not follow the catalogue it is applied to."""

    code = ResultCode.EDIT_CONFLICT


@dataclass(frozen=True)
class Change:
    """Record one accepted edit: who, when, why, on which base, and the difference."""

    version: int
    """The catalogue version that this change makes."""
    edit_id: str
    """Chosen by the editor, so that a lost answer can be settled by reading back."""
    author: str
    """Who asked for it."""
    owner: str
    """Who answers for it: the owner named in the entries, or the approver."""
    reason: str
    accepted_at: str
    """Time of the edit, ISO 8601 in UTC, from the editor's clock."""
    put: tuple[Entry, ...] = ()
    """Entries as they are after the change."""
    removed: tuple[EntryKey, ...] = ()
    """Entries that the change takes away."""
    previous: tuple[Entry, ...] = ()
    """Entries as they were before, so that the record shows the difference alone."""

    @property
    def base_version(self) -> int:
        """The version that the edit was based on."""
        return self.version - 1


def change_key(version: int) -> str:
    """Return the store key of a change.

    For example ``change_key(7)`` is ``"changes/000000000007"``.
    """
    return f"{CHANGE_PREFIX}{version:0{CHANGE_KEY_WIDTH}d}"


def snapshot_key(version: int) -> str:
    """Return the store key of the snapshot at a version."""
    return f"{SNAPSHOT_PREFIX}{version:0{CHANGE_KEY_WIDTH}d}"


def apply_change(catalogue: Catalogue, change: Change) -> Catalogue:
    """Return the catalogue after the change.

    Raise ``ChangeOrderError`` unless the change is the very next one: applying out of
    order would bring back entries that a change in between took away.
    """
    if change.version != catalogue.version + 1:
        raise ChangeOrderError(
            f"change {change.version} does not follow version {catalogue.version}; "
            "fetch the changes in between first"
        )
    entries = dict(catalogue.entries)
    changed_in = dict(catalogue.changed_in)
    for key in change.removed:
        entries.pop(key, None)
        changed_in.pop(key, None)
    for entry in change.put:
        entries[key_of(entry)] = entry
        changed_in[key_of(entry)] = change.version
    return Catalogue(change.version, entries, changed_in)


def fold(changes: Iterable[Change], base: Catalogue | None = None) -> Catalogue:
    """Return the catalogue after all changes, in their order."""
    catalogue = base or Catalogue()
    for change in changes:
        catalogue = apply_change(catalogue, change)
    return catalogue
