"""Fold stored changes into a snapshot without losing what this version cannot read.

A snapshot bounds how many changes a starting router reads. It is worked out on the
plain JSON of the changes: a router of an older release does not know the newest fields,
and a snapshot of its typed entries would take them out of the catalogue for good.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from .codec import DecodeError, plain_from_json


def fold_stored(base: bytes | None, changes: Iterable[bytes]) -> bytes:
    """Return the snapshot after the changes, from an earlier snapshot or from nothing.

    The result depends on the log alone, so whoever makes the snapshot of a version
    makes the same bytes. Raise ``DecodeError`` when a change is missing in between.
    """
    plain = plain_from_json(base) if base is not None else _EMPTY
    try:
        version = int(plain["version"])
        entries = {_name(item): item for item in plain["entries"]}
        for data in changes:
            change = plain_from_json(data)
            if change["version"] != version + 1:
                raise DecodeError(f"no change {version + 1}; read the log again")
            version += 1
            _apply(entries, change)
    except (KeyError, TypeError, ValueError) as exc:
        raise DecodeError(f"stored change or snapshot: {exc!r}") from exc
    folded = {"version": version, "entries": list(entries.values())}
    return json.dumps(folded, separators=(",", ":")).encode()


_EMPTY: dict[str, Any] = {"version": 0, "entries": []}


def _apply(entries: dict[str, Any], change: dict[str, Any]) -> None:
    for name in change.get("removed", []):
        entries.pop(name, None)
    for item in change.get("put", []):
        entries[_name(item)] = {"changed_in": change["version"], **item}


def _name(item: dict[str, Any]) -> str:
    return f"{item['kind']}/{item['name']}"
