"""Fold stored changes into a snapshot without losing unknown fields.

A snapshot limits how many changes a starting router reads. It is built from the plain
JSON of the changes: a router of an older release does not know newer fields, and a
snapshot of its typed entries would remove them from the catalogue.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from .codec import DecodeError, plain_from_json


def fold_stored(base: bytes | None, changes: Iterable[bytes]) -> bytes:
    """Return the snapshot after the changes, starting from ``base`` if there is one.

    The result depends only on the log, so all routers write the same bytes for a
    version. Raise ``DecodeError`` if a change is missing.
    """
    plain = plain_from_json(base) if base is not None else _EMPTY_SNAPSHOT
    try:
        version = int(plain["version"])
        entries = {_entry_key(item): item for item in plain["entries"]}
        for data in changes:
            change = plain_from_json(data)
            if change["version"] != version + 1:
                raise DecodeError(
                    f"change {version + 1} is missing; read the log again"
                )
            version += 1
            _apply_plain_change(entries, change)
    except (KeyError, TypeError, ValueError) as exc:
        raise DecodeError(f"stored change or snapshot: {exc!r}") from exc
    folded = {"version": version, "entries": list(entries.values())}
    return json.dumps(folded, separators=(",", ":")).encode()


_EMPTY_SNAPSHOT: dict[str, Any] = {"version": 0, "entries": []}


def _apply_plain_change(entries: dict[str, Any], change: dict[str, Any]) -> None:
    for name in change.get("removed", []):
        entries.pop(name, None)
    for item in change.get("put", []):
        entries[_entry_key(item)] = {"changed_in": change["version"], **item}


def _entry_key(item: dict[str, Any]) -> str:
    return f"{item['kind']}/{item['name']}"
