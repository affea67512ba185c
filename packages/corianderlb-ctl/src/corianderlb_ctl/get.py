"""``corianderctl get``: print the accepted catalogue or some of its entries."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import Any, ClassVar

from corianderlb_core.catalogue import Catalogue, EntryKey
from corianderlb_core.catalogue_codec import entry_to_plain, key_from_str
from corianderlb_router.catalogue_editor import CatalogueEditor

from .catalogue_file import render_catalogue
from .command import Command, CommandError, Context, Report, Table
from .exit_code import ExitCode


@dataclass(frozen=True)
class CatalogueView:
    """Entries as plain maps, and the catalogue version they come from."""

    version: int
    entries: tuple[dict[str, Any], ...]


class Get(Command):
    """Print entries; ``--file`` prints a file to edit and apply."""

    name: ClassVar[str] = "get"
    summary: ClassVar[str] = "print the catalogue or one entry"
    example: ClassVar[str] = "corianderctl get --file > catalogue.yaml"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the entries, the version and the output format."""
        parser.add_argument(
            "entry", nargs="*", help="entries as kind/name; all by default"
        )
        parser.add_argument(
            "--at", type=int, metavar="VERSION", help="an earlier version"
        )
        parser.add_argument(
            "--file", action="store_true", help="print a whole catalogue file"
        )

    async def run(self, context: Context) -> Report:
        """Build the catalogue from the change log in the store."""
        arguments = context.arguments
        editor = CatalogueEditor(context.store)
        if arguments.at is None:
            catalogue = await editor.newest()
        else:
            catalogue = await editor.at(arguments.at)
        if arguments.file:
            return Report(_view(catalogue, []), text=render_catalogue(catalogue))
        requested = [_existing_key(catalogue, text) for text in arguments.entry]
        return Report(
            _view(catalogue, requested),
            tables=(_table(catalogue, requested),),
            notes=(f"version {catalogue.version}",),
        )


def _existing_key(catalogue: Catalogue, text: str) -> EntryKey:
    key = key_from_str(text)
    if key not in catalogue.entries:
        raise CommandError(
            f"{key}: not in version {catalogue.version}; list all entries with "
            "corianderctl get",
            ExitCode.NOT_FOUND,
        )
    return key


def _keys(catalogue: Catalogue, requested: list[EntryKey]) -> list[EntryKey]:
    return requested or sorted(catalogue.entries, key=str)


def _view(catalogue: Catalogue, requested: list[EntryKey]) -> CatalogueView:
    keys = _keys(catalogue, requested)
    entries = tuple(entry_to_plain(catalogue.entries[key]) for key in keys)
    return CatalogueView(catalogue.version, entries)


def _table(catalogue: Catalogue, requested: list[EntryKey]) -> Table:
    rows = []
    for key in _keys(catalogue, requested):
        entry = catalogue.entries[key]
        changed_in = str(catalogue.changed_in.get(key, ""))
        rows.append((str(key), entry.owner, entry.service_class.value, changed_in))
    return Table(("entry", "owner", "class", "changed in"), tuple(rows))
