"""Edits of the catalogue, based on the version that the operator read.

An accepted ``Edit`` becomes a ``Change``. Of two edits based on the same version the
second is refused with the differences of both; edits are never merged silently.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from .catalogue import Catalogue, Entry, EntryKey, key_of
from .catalogue_check import require_valid
from .change import Change, apply_change
from .codec import to_plain
from .data_class import dataclass
from .error import CorianderError
from .result import ResultCode


class EditError(CorianderError):
    """An invalid edit."""

    code = ResultCode.CATALOGUE_INVALID


@dataclass(frozen=True)
class Edit:
    """A change that an operator requests, and the reason."""

    edit_id: str
    """Unique to the edit; an edit that is sent again is not applied twice."""
    base_version: int
    """The version that the operator read."""
    author: str
    reason: str
    put: tuple[Entry, ...] = ()
    removed: tuple[EntryKey, ...] = ()
    owner: str = ""
    """Who is responsible; empty for the owners of the changed entries."""


@dataclass(frozen=True)
class FieldDifference:
    """Plain values of an entry's field before and after a change."""

    field: str
    before: object
    after: object

    def __str__(self) -> str:
        return f"{self.field}: {self.before!r} -> {self.after!r}"


@dataclass(frozen=True)
class EntryDifference:
    """An entry before and after a change; None where it does not exist."""

    key: EntryKey
    before: Entry | None
    after: Entry | None

    @property
    def fields(self) -> tuple[FieldDifference, ...]:
        """The fields that differ; nested fields are named by their path."""
        before = _flatten(self.before)
        after = _flatten(self.after)
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
    """A refused edit and the changes that were accepted before it."""

    mine: Change
    theirs: tuple[Change, ...]
    """Changes accepted after the edit's base version."""

    @property
    def shared(self) -> tuple[EntryKey, ...]:
        """Entries that both sides change."""
        accepted = {key for change in self.theirs for key in changed_keys(change)}
        return tuple(key for key in changed_keys(self.mine) if key in accepted)

    def __str__(self) -> str:
        lines = [f"yours, based on version {self.mine.base_version}:"]
        lines += [f"  {item}" for item in diff_change(self.mine)]
        for change in self.theirs:
            lines.append(
                f"accepted first as version {change.version} by {change.author} "
                f"at {change.accepted_at} ({change.reason}):"
            )
            lines += [f"  {item}" for item in diff_change(change)]
        names = ", ".join(map(str, self.shared)) or "none"
        return "\n".join([*lines, f"entries that both touch: {names}"])


def build_change(edit: Edit, base: Catalogue, accepted_at: str) -> Change:
    """Return the change that an edit makes to its base version.

    Raise ``EditError`` for an edit that changes nothing or removes an unknown entry,
    and ``CatalogueInvalidError`` with all faults of the resulting catalogue.
    """
    if edit.base_version != base.version:
        raise EditError(
            f"the edit is based on version {edit.base_version}, not on {base.version}; "
            "read the catalogue again"
        )
    for name in ("edit_id", "author", "reason"):
        if not getattr(edit, name).strip():
            raise EditError(
                f"{name}: empty; an edit must have an edit_id, author and reason"
            )
    put = _effective_puts(edit, base)
    keys = [*map(key_of, put), *edit.removed]
    if not keys:
        raise EditError("the edit changes nothing; no new version is created")
    if len(set(keys)) != len(keys):
        raise EditError(
            "the edit contains an entry twice; put or remove each entry once"
        )
    change = Change(
        version=base.version + 1,
        edit_id=edit.edit_id,
        author=edit.author,
        owner=edit.owner or _default_owner(put, edit.removed, base),
        reason=edit.reason,
        accepted_at=accepted_at,
        put=put,
        removed=edit.removed,
        previous=tuple(base.entries[key] for key in keys if key in base.entries),
    )
    require_valid(apply_change(base, change))
    return change


def build_edit_from_entries(
    edit: Edit, base: Catalogue, desired: Iterable[Entry]
) -> Edit:
    """Return the edit that turns the base catalogue into the desired entries.

    For example, if a file lacks ``route/old``, the edit removes that route; unchanged
    entries are left out.
    """
    entries = {key_of(entry): entry for entry in desired}
    put = tuple(
        entry for key, entry in entries.items() if base.entries.get(key) != entry
    )
    removed = tuple(key for key in base.entries if key not in entries)
    return dataclasses.replace(
        edit, base_version=base.version, put=put, removed=removed
    )


def diff_change(change: Change) -> tuple[EntryDifference, ...]:
    """Return the difference per entry, from the change's own record."""
    before = {key_of(entry): entry for entry in change.previous}
    after = {key_of(entry): entry for entry in change.put}
    return tuple(
        EntryDifference(key, before.get(key), after.get(key))
        for key in changed_keys(change)
    )


def changed_keys(change: Change) -> tuple[EntryKey, ...]:
    """Return the keys of the entries that a change puts or removes."""
    return (*map(key_of, change.put), *change.removed)


def is_same_edit(first: Change, second: Change) -> bool:
    """Return whether two changes come from the same edit.

    ``accepted_at`` is ignored, as an edit that is sent again has a later time.
    """
    return dataclasses.replace(first, accepted_at="") == dataclasses.replace(
        second, accepted_at=""
    )


def _effective_puts(edit: Edit, base: Catalogue) -> tuple[Entry, ...]:
    """Return the puts that differ from the base; check that removed entries exist."""
    for key in edit.removed:
        if key not in base.entries:
            raise EditError(f"{key}: not in version {base.version}; leave it out")
    return tuple(
        entry for entry in edit.put if base.entries.get(key_of(entry)) != entry
    )


def _default_owner(
    put: tuple[Entry, ...], removed: tuple[EntryKey, ...], base: Catalogue
) -> str:
    owners = {entry.owner for entry in put}
    owners |= {base.entries[key].owner for key in removed}
    return ", ".join(sorted(owners))


def _flatten(entry: Entry | None) -> dict[str, object]:
    """Return the fields of an entry; nested fields are named by their path."""
    if entry is None:
        return {}
    flat: dict[str, object] = {}
    for name, value in to_plain(entry).items():
        if isinstance(value, Mapping):
            flat |= {f"{name}.{inner}": item for inner, item in value.items()}
        else:
            flat[name] = value
    return flat
