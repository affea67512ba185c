"""``corianderctl diff``: what applying a file would change."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from corianderlb_core.catalogue import Catalogue, key_of
from corianderlb_core.edit import Edit, EntryDifference, build_edit_from_entries
from corianderlb_router.catalogue_editor import CatalogueEditor

from .catalogue_file import read_catalogue_file
from .command import Command, Context, Report
from .exit_code import ExitCode


@dataclass(frozen=True)
class DiffResult:
    """Hold the differences between the accepted catalogue and a file."""

    version: int
    differences: tuple[str, ...]


class Diff(Command):
    """Compare a catalogue file with the newest accepted version."""

    name: ClassVar[str] = "diff"
    summary: ClassVar[str] = "show what applying a file would change"
    example: ClassVar[str] = "corianderctl diff catalogue.yaml"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Take the file."""
        parser.add_argument("file", type=Path)

    async def run(self, context: Context) -> Report:
        """Compare; the exit code tells whether anything differs."""
        wanted = read_catalogue_file(context.arguments.file).entries
        base = await CatalogueEditor(context.store).newest()
        towards = build_edit_from_entries(
            Edit("diff", base.version, "", ""), base, wanted
        )
        lines = tuple(map(str, differences(towards, base)))
        notes = lines or (f"no difference from version {base.version}",)
        code = ExitCode.DIFFERENT if lines else ExitCode.OK
        return Report(DiffResult(base.version, lines), notes=notes, exit_code=code)


def differences(edit: Edit, base: Catalogue) -> list[EntryDifference]:
    """Return what an edit does to its base, entry by entry."""
    found = [
        EntryDifference(key_of(entry), base.entries.get(key_of(entry)), entry)
        for entry in edit.put
    ]
    found += [EntryDifference(key, base.entries.get(key), None) for key in edit.removed]
    return found
