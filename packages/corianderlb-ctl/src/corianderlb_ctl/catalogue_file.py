"""Read and write catalogue files: YAML with a list of entries.

A file has ``entries`` and optionally ``version``, the version it was exported from.
Each entry has a ``kind``, ``name`` and ``owner``; see ``docs/reference/catalogue.md``.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import yaml

from corianderlb_core.catalogue import Catalogue, Entry, EntryKey, EntryKind, key_of
from corianderlb_core.catalogue_codec import entry_from_plain, entry_to_plain
from corianderlb_core.codec import DecodeError

from .command import CommandError
from .exit_code import ExitCode

_FIELDS: Final = ("version", "entries")
"""Allowed top-level fields of a catalogue file."""


@dataclass(frozen=True)
class CatalogueFile:
    """Contents of a catalogue file."""

    entries: tuple[Entry, ...]
    version: int | None = None
    """Version that the file was exported from; None if absent."""


def read_catalogue_file(path: Path) -> CatalogueFile:
    """Read and validate a file; raise ``CommandError`` if it is invalid.

    All invalid entries are reported together, each with its index, so that a long file
    need not be corrected one error at a time.
    """
    plain = _load(path)
    unknown = [name for name in plain if name not in _FIELDS]
    if unknown:
        raise _invalid(path, f"{unknown[0]}: unknown field; use version and entries")
    items = plain.get("entries")
    if not isinstance(items, list):
        raise _invalid(path, "entries: expected a list of entries")
    version = plain.get("version")
    if version is not None and (type(version) is not int or version < 0):
        raise _invalid(path, f"version: {version!r}; expected a whole number >= 0")
    return CatalogueFile(_entries(path, items), version)


def render_catalogue(catalogue: Catalogue) -> str:
    """Return the whole catalogue as the text of a catalogue file."""
    entries = [
        entry_to_plain(entry) for kind in EntryKind for entry in catalogue.of_kind(kind)
    ]
    plain = {"version": catalogue.version, "entries": entries}
    return yaml.safe_dump(plain, sort_keys=False, allow_unicode=True)


def _entries(path: Path, items: list[Any]) -> tuple[Entry, ...]:
    entries: list[Entry] = []
    faults: list[str] = []
    seen: set[EntryKey] = set()
    for index, item in enumerate(items):
        try:
            entry = entry_from_plain(item)
        except DecodeError as exc:
            faults.append(f"entries[{index}] ({_label(item)}): {exc}")
            continue
        if key_of(entry) in seen:
            faults.append(
                f"entries[{index}]: {key_of(entry)} is defined more than once"
            )
        seen.add(key_of(entry))
        entries.append(entry)
    if faults:
        raise _invalid(path, "\n".join(faults))
    return tuple(entries)


def _label(item: Any) -> str:
    if not isinstance(item, dict):
        return "not a map"
    return f"{item.get('kind', '?')}/{item.get('name', '?')}"


def _load(path: Path) -> dict[str, Any]:
    try:
        plain = yaml.safe_load(path.read_text())
    except OSError as exc:
        raise _invalid(path, f"{exc.strerror}; give a readable file") from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        raise _invalid(path, f"not YAML: {' '.join(str(exc).split())}") from exc
    if not isinstance(plain, dict):
        raise _invalid(path, "expected a map with the field entries")
    return plain


def _invalid(path: Path, text: str) -> CommandError:
    return CommandError(f"{path}: {text}", ExitCode.INVALID)
