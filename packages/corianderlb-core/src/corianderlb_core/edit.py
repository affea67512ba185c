"""Edits: what an operator wants changed, against the version they looked at.

An ``Edit`` becomes a ``Change`` with the difference it makes. Two edits of the same
version race; the later one is told of both differences and is never merged silently.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .catalogue import Catalogue, Entry, EntryKey, key_of
from .catalogue_check import require_valid
from .change import Change, apply_change
from .codec import to_plain
from .error import CorianderError
from .result import ResultCode


class EditError(CorianderError):
    """Signal an edit that makes no sense as it stands."""

    code = ResultCode.CATALOGUE_INVALID


@dataclass(frozen=True)
class Edit:
    """Hold what one operator wants changed, and why."""

    edit_id: str
    """Unique to the edit; sending the same edit again never applies it twice."""
    base_version: int
    """The version that the operator looked at."""
    author: str
    reason: str
    put: tuple[Entry, ...] = ()
    removed: tuple[EntryKey, ...] = ()
    owner: str = ""
    """Who answers for the edit; empty for the owners of the entries it touches."""


@dataclass(frozen=True)
class FieldDifference:
    """Hold one field of an entry before and after, as plain values."""

    field: str
    before: object
    after: object

    def __str__(self) -> str:
        return f"{self.field}: {self.before!r} -> {self.after!r}"


@dataclass(frozen=True)
class EntryDifference:
    """Hold one entry before and after; None where there is none."""

    key: EntryKey
    before: Entry | None
    after: Entry | None

    @property
    def fields(self) -> tuple[FieldDifference, ...]:
        """The fields that differ, nested ones by their path."""
        before = _flat(self.before)
        after = _flat(self.after)
        names = sorted(before.keys() | after.keys())
        return tuple(
            FieldDifference(name, before.get(name), after.get(name))
            for name in names
            if before.get(name) != after.get(name)
        )

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.key}"
        if self.after is None:
            return f"- {self.key}"
        return f"~ {self.key}: " + "; ".join(map(str, self.fields))


@dataclass(frozen=True)
class Conflict:
    """Show an edit that came second beside the changes that came first."""

    mine: Change
    theirs: tuple[Change, ...]
    """What was accepted since the version that the edit was based on."""

    @property
    def shared(self) -> tuple[EntryKey, ...]:
        """Entries that both sides touch."""
        taken = {key for change in self.theirs for key in touched(change)}
        return tuple(key for key in touched(self.mine) if key in taken)

    def __str__(self) -> str:
        lines = [f"yours, based on version {self.mine.base_version}:"]
        lines += [f"  {item}" for item in difference_of(self.mine)]
        for change in self.theirs:
            lines.append(
                f"accepted first as version {change.version} by {change.author} "
                f"at {change.accepted_at} ({change.reason}):"
            )
            lines += [f"  {item}" for item in difference_of(change)]
        names = ", ".join(map(str, self.shared)) or "none"
        return "\n".join([*lines, f"entries that both touch: {names}"])


def change_of(edit: Edit, base: Catalogue, accepted_at: str) -> Change:
    """Return the change that an edit makes to its base version.

    Raise ``EditError`` for an edit that changes nothing or removes what is not there,
    and ``CatalogueInvalidError`` with all faults of the catalogue it would make.
    """
    if edit.base_version != base.version:
        raise EditError(
            f"the edit is based on version {edit.base_version}, not on {base.version}; "
            "read the catalogue again"
        )
    for name in ("edit_id", "author", "reason"):
        if not getattr(edit, name).strip():
            raise EditError(f"{name}: empty; an edit names who wants it and why")
    put = _changing(edit, base)
    keys = [*map(key_of, put), *edit.removed]
    if not keys:
        raise EditError("the edit changes nothing; version stays as it is")
    if len(set(keys)) != len(keys):
        raise EditError("the edit names an entry twice; put or remove each one once")
    change = Change(
        version=base.version + 1,
        edit_id=edit.edit_id,
        author=edit.author,
        owner=edit.owner or _owners(put, edit.removed, base),
        reason=edit.reason,
        accepted_at=accepted_at,
        put=put,
        removed=edit.removed,
        previous=tuple(base.entries[key] for key in keys if key in base.entries),
    )
    require_valid(apply_change(base, change))
    return change


def edit_towards(edit: Edit, base: Catalogue, wanted: Iterable[Entry]) -> Edit:
    """Return the edit with the puts and removals that lead to the wanted entries.

    For example, entries from a file that lack ``route/old`` give an edit that removes
    that route; entries that are equal already are left out.
    """
    entries = {key_of(entry): entry for entry in wanted}
    put = tuple(
        entry for key, entry in entries.items() if base.entries.get(key) != entry
    )
    removed = tuple(key for key in base.entries if key not in entries)
    return dataclasses.replace(
        edit, base_version=base.version, put=put, removed=removed
    )


def difference_of(change: Change) -> tuple[EntryDifference, ...]:
    """Return what a change does, entry by entry, from its own record alone."""
    before = {key_of(entry): entry for entry in change.previous}
    after = {key_of(entry): entry for entry in change.put}
    return tuple(
        EntryDifference(key, before.get(key), after.get(key)) for key in touched(change)
    )


def touched(change: Change) -> tuple[EntryKey, ...]:
    """Return the entries that a change puts or removes."""
    return (*map(key_of, change.put), *change.removed)


def same_edit(one: Change, other: Change) -> bool:
    """Tell whether two changes come from the same edit.

    The time is left out: an edit that is sent again carries a later one.
    """
    return dataclasses.replace(one, accepted_at="") == dataclasses.replace(
        other, accepted_at=""
    )


def _changing(edit: Edit, base: Catalogue) -> tuple[Entry, ...]:
    """Return the puts that change something; check that removals can be done."""
    for key in edit.removed:
        if key not in base.entries:
            raise EditError(f"{key}: not in version {base.version}; leave it out")
    return tuple(
        entry for entry in edit.put if base.entries.get(key_of(entry)) != entry
    )


def _owners(
    put: tuple[Entry, ...], removed: tuple[EntryKey, ...], base: Catalogue
) -> str:
    owners = {entry.owner for entry in put}
    owners |= {base.entries[key].owner for key in removed}
    return ", ".join(sorted(owners))


def _flat(entry: Entry | None) -> dict[str, object]:
    """Return the fields of an entry with nested ones by their path."""
    if entry is None:
        return {}
    flat: dict[str, object] = {}
    for name, value in to_plain(entry).items():
        if isinstance(value, Mapping):
            flat |= {f"{name}.{inner}": item for inner, item in value.items()}
        else:
            flat[name] = value
    return flat
