"""Encode catalogue entries, changes and snapshots as JSON for the platform's store.

Entries are a tagged union: each is a map with its ``kind``. A change is stored once,
and routers forward the stored bytes unchanged.
"""

from __future__ import annotations

import dataclasses
import json
from typing import Any, Final

from .catalogue import ENTRY_TYPES, Catalogue, Entry, EntryKey, EntryKind, key_of
from .change import Change
from .codec import DecodeError, from_plain, plain_from_json, to_plain

KIND_FIELD: Final = "kind"
"""The field that selects the class of an entry."""

_ENTRY_LISTS: Final = ("put", "previous")


def entry_to_plain(entry: Entry) -> dict[str, Any]:
    """Return an entry as a map whose first field is its kind."""
    return {KIND_FIELD: entry.kind.value, **to_plain(entry)}


def entry_from_plain(plain: Any, strict: bool = True) -> Entry:
    """Return the entry decoded from a map.

    For example, ``{"kind": "upstream", "name": "yard-app", "owner": "yard-team",
    "upstream_kind": "service"}`` gives an ``Upstream``.
    """
    if not isinstance(plain, dict) or KIND_FIELD not in plain:
        raise DecodeError("an entry must be a map with the field 'kind'")
    body = {name: value for name, value in plain.items() if name != KIND_FIELD}
    return from_plain(ENTRY_TYPES[_parse_kind(plain[KIND_FIELD])], body, strict=strict)


def change_to_json(change: Change) -> bytes:
    """Return a change as the bytes to store."""
    plain = {
        field.name: getattr(change, field.name) for field in dataclasses.fields(change)
    }
    for name in _ENTRY_LISTS:
        plain[name] = [entry_to_plain(entry) for entry in plain[name]]
    plain["removed"] = [str(key) for key in change.removed]
    return json.dumps(plain, separators=(",", ":")).encode()


def change_from_json(data: bytes) -> Change:
    """Return the change decoded from stored bytes."""
    plain = plain_from_json(data)
    if not isinstance(plain, dict):
        raise DecodeError(f"a stored change must be a map, not {type(plain).__name__}")
    lists = {name: _entries_from_plain(plain.get(name, [])) for name in _ENTRY_LISTS}
    removed = tuple(key_from_str(text) for text in plain.get("removed", []))
    rest = {
        name: value
        for name, value in plain.items()
        if name not in (*_ENTRY_LISTS, "removed")
    }
    change = from_plain(Change, rest, strict=False)
    return dataclasses.replace(change, removed=removed, **lists)


def catalogue_to_json(catalogue: Catalogue) -> bytes:
    """Return a snapshot of the catalogue as the bytes to store."""
    plain = {
        "version": catalogue.version,
        "entries": [
            {"changed_in": catalogue.changed_in[key], **entry_to_plain(entry)}
            for key, entry in catalogue.entries.items()
        ],
    }
    return json.dumps(plain, separators=(",", ":")).encode()


def catalogue_from_json(data: bytes) -> Catalogue:
    """Return the catalogue decoded from a snapshot."""
    plain = plain_from_json(data)
    entries = {}
    changed_in = {}
    try:
        for item in plain["entries"]:
            version = int(item.pop("changed_in"))
            entry = entry_from_plain(item, strict=False)
            entries[key_of(entry)] = entry
            changed_in[key_of(entry)] = version
        return Catalogue(int(plain["version"]), entries, changed_in)
    except (KeyError, TypeError, AttributeError, ValueError) as exc:
        raise DecodeError(f"snapshot: {exc!r}; delete it to have it rebuilt") from exc


def key_from_str(text: str) -> EntryKey:
    """Parse the key of an entry, such as ``model/ember-llm``."""
    kind, slash, name = text.partition("/")
    if not slash or not name:
        raise DecodeError(f"{text!r}: an entry's key must have the form kind/name")
    return EntryKey(_parse_kind(kind), name)


def _entries_from_plain(plain: Any) -> tuple[Entry, ...]:
    return tuple(entry_from_plain(item, strict=False) for item in plain)


def _parse_kind(value: Any) -> EntryKind:
    try:
        return EntryKind(value)
    except ValueError as exc:
        allowed = ", ".join(kind.value for kind in EntryKind)
        raise DecodeError(f"kind: {value!r} is none of {allowed}") from exc
