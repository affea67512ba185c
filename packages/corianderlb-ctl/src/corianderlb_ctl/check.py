"""``corianderctl check``: validate a settings or catalogue file offline."""

from __future__ import annotations

import argparse
import dataclasses
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from corianderlb_core.catalogue import Catalogue, Entry, key_of
from corianderlb_core.catalogue_check import check_catalogue
from corianderlb_core.catalogue_review import review_catalogue
from corianderlb_core.settings_file import load_settings

from .catalogue_file import read_catalogue_file
from .command import Command, CommandError, Context, Report
from .diff import compare_with_newest
from .exit_code import ExitCode


@dataclass(frozen=True)
class CheckResult:
    """Result of a check; a file without faults is valid."""

    path: str
    n_entries: int = 0
    faults: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    """Entries that can never match, and limits that contradict each other."""
    base_version: int | None = None
    """Accepted version that the file is compared with; None if it is not."""
    differences: tuple[str, ...] = ()


class Check(Command):
    """Validate a file before it is sent and report all faults; writes nothing."""

    name: ClassVar[str] = "check"
    summary: ClassVar[str] = "check a settings or a catalogue file before it is sent"
    example: ClassVar[str] = "corianderctl check --catalogue catalogue.yaml --compare"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the options for the file, which exclude each other."""
        group = parser.add_mutually_exclusive_group(required=True)
        group.add_argument("--settings", type=Path, metavar="FILE")
        group.add_argument("--catalogue", type=Path, metavar="FILE")
        parser.add_argument(
            "--compare",
            action="store_true",
            help="also show what differs from the newest accepted catalogue",
        )

    async def run(self, context: Context) -> Report:
        """Validate the given file."""
        arguments = context.arguments
        if arguments.settings:
            if arguments.compare:
                text = "--compare needs --catalogue: settings have no accepted version"
                raise CommandError(text, ExitCode.USAGE)
            load_settings(arguments.settings)
            return _report(CheckResult(str(arguments.settings)))
        path = arguments.catalogue
        entries = read_catalogue_file(path).entries
        result = _check_entries(path, entries)
        if arguments.compare:
            found = await compare_with_newest(context, entries)
            result = dataclasses.replace(
                result, base_version=found.version, differences=found.differences
            )
        return _report(result)


def _check_entries(path: Path, entries: tuple[Entry, ...]) -> CheckResult:
    catalogue = Catalogue(entries={key_of(entry): entry for entry in entries})
    faults = tuple(map(str, check_catalogue(catalogue)))
    if faults:
        text = "\n".join(f"{path}: {fault}" for fault in faults)
        raise CommandError(text, ExitCode.INVALID)
    warnings = tuple(map(str, review_catalogue(catalogue)))
    return CheckResult(str(path), len(entries), warnings=warnings)


def _report(result: CheckResult) -> Report:
    counted = f", {result.n_entries} entries" if result.n_entries else ""
    notes = [f"{result.path}: good{counted}"]
    notes += [f"{result.path}: warning: {warning}" for warning in result.warnings]
    if result.base_version is not None:
        n_changes = len(result.differences)
        notes.append(f"{n_changes} differences from version {result.base_version}")
        notes += result.differences
    return Report(result, notes=tuple(notes))
