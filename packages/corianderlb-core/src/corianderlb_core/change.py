"""Catalogue changes; the stored change is also the audit record of its edit.

Change N is the object ``changes/N`` of the platform's store, written by
create-if-absent. The state at version N is the fold of changes 1 to N, so a change is
never partly applied and a writer with an older state cannot revert one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from .catalogue import Catalogue, Entry, EntryKey, key_of
from .data_class import dataclass
from .error import CorianderError
from .result import ResultCode

CHANGE_KEY_WIDTH: Final = 12
"""Digits of the version in a store key, zero-padded so that keys sort by version."""

CHANGE_PREFIX: Final = "changes/"
"""Prefix of the store keys of changes."""

SNAPSHOT_PREFIX: Final = "snapshots/"
"""Prefix of the store keys of snapshots, which limit the changes to replay."""


class ChangeOrderError(CorianderError):
    """A change whose version does not follow that of the catalogue."""

    code = ResultCode.EDIT_CONFLICT


@dataclass(frozen=True)
class Change:
    """An accepted edit: author, time, reason, base version and difference."""

    version: int
    """The catalogue version that results from this change."""
    edit_id: str
    """Set by the editor, which can read the change back if the response is lost."""
    author: str
    """Who requested the edit."""
    owner: str
    """Who is responsible: the owners of the entries, or the approver."""
    reason: str
    accepted_at: str
    """Time of the edit, ISO 8601 in UTC, from the editor's clock."""
    put: tuple[Entry, ...] = ()
    """Added and replaced entries, after the change."""
    removed: tuple[EntryKey, ...] = ()
    """Keys of the entries that the change removes."""
    previous: tuple[Entry, ...] = ()
    """The same entries before the change, so that the record shows the difference."""

    @property
    def base_version(self) -> int:
        """The version that the edit was based on."""
        return self.version - 1


def change_key(version: int) -> str:
    """Return the store key of a change.

    For example, ``change_key(7)`` is ``"changes/000000000007"``.
    """
    return f"{CHANGE_PREFIX}{version:0{CHANGE_KEY_WIDTH}d}"


def snapshot_key(version: int) -> str:
    """Return the store key of the snapshot at a version."""
    return f"{SNAPSHOT_PREFIX}{version:0{CHANGE_KEY_WIDTH}d}"


def apply_change(catalogue: Catalogue, change: Change) -> Catalogue:
    """Return the catalogue after the change.

    Raise ``ChangeOrderError`` unless the change is the next version: applied out of
    order, it could restore entries that a skipped change removed.
    """
    if change.version != catalogue.version + 1:
        raise ChangeOrderError(
            f"change {change.version} does not follow version {catalogue.version}; "
            "fetch the missing changes first"
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
    """Return the catalogue after applying the changes in order."""
    catalogue = base or Catalogue()
    for change in changes:
        catalogue = apply_change(catalogue, change)
    return catalogue
