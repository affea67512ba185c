"""``corianderctl diff``: show what applying a file would change."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from corianderlb_core.catalogue import Catalogue, Entry, key_of
from corianderlb_core.edit import Edit, EntryDifference, build_edit_from_entries
from corianderlb_router.catalogue_editor import CatalogueEditor

from .catalogue_file import read_catalogue_file
from .command import Command, Context, Report
from .exit_code import ExitCode


@dataclass(frozen=True)
class DiffResult:
    """Differences between the newest accepted catalogue and a file."""

    version: int
    differences: tuple[str, ...]


class Diff(Command):
    """Compare a catalogue file with the newest accepted version."""

    name: ClassVar[str] = "diff"
    summary: ClassVar[str] = "show what applying a file would change"
    example: ClassVar[str] = "corianderctl diff catalogue.yaml"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the file argument."""
        parser.add_argument("file", type=Path)

    async def run(self, context: Context) -> Report:
        """Compare the two; the exit code shows whether they differ."""
        new_entries = read_catalogue_file(context.arguments.file).entries
        result = await compare_with_newest(context, new_entries)
        lines = result.differences
        notes = lines or (f"no difference from version {result.version}",)
        code = ExitCode.DIFFERENT if lines else ExitCode.OK
        return Report(result, notes=notes, exit_code=code)


async def compare_with_newest(
    context: Context, new_entries: tuple[Entry, ...]
) -> DiffResult:
    """Return what the newest accepted catalogue lacks to hold just these entries."""
    base = await CatalogueEditor(context.store).newest()
    edit = build_edit_from_entries(
        Edit("diff", base.version, "", ""), base, new_entries
    )
    return DiffResult(base.version, tuple(map(str, differences(edit, base))))


def differences(edit: Edit, base: Catalogue) -> list[EntryDifference]:
    """Return the changes that an edit makes to its base, by entry."""
    found = [
        EntryDifference(key_of(entry), base.entries.get(key_of(entry)), entry)
        for entry in edit.put
    ]
    found += [EntryDifference(key, base.entries.get(key), None) for key in edit.removed]
    return found
