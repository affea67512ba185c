"""``corianderctl check``: validate a settings or catalogue file offline."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from corianderlb_core.catalogue import Catalogue, key_of
from corianderlb_core.catalogue_check import check_catalogue
from corianderlb_core.settings_file import load_settings

from .catalogue_file import read_catalogue_file
from .command import Command, CommandError, Context, Report
from .exit_code import ExitCode


@dataclass(frozen=True)
class CheckResult:
    """Result of a check; a file without faults is valid."""

    path: str
    n_entries: int = 0
    faults: tuple[str, ...] = ()


class Check(Command):
    """Validate a file offline and report all faults; writes nothing."""

    name: ClassVar[str] = "check"
    summary: ClassVar[str] = "check a settings or a catalogue file, offline"
    example: ClassVar[str] = "corianderctl check --catalogue catalogue.yaml"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the options for the file, which exclude each other."""
        group = parser.add_mutually_exclusive_group(required=True)
        group.add_argument("--settings", type=Path, metavar="FILE")
        group.add_argument("--catalogue", type=Path, metavar="FILE")

    async def run(self, context: Context) -> Report:
        """Validate the given file."""
        arguments = context.arguments
        if arguments.settings:
            load_settings(arguments.settings)
            return _report_valid(CheckResult(str(arguments.settings)))
        return _check_catalogue(arguments.catalogue)


def _check_catalogue(path: Path) -> Report:
    entries = read_catalogue_file(path).entries
    catalogue = Catalogue(entries={key_of(entry): entry for entry in entries})
    faults = tuple(map(str, check_catalogue(catalogue)))
    if faults:
        text = "\n".join(f"{path}: {fault}" for fault in faults)
        raise CommandError(text, ExitCode.INVALID)
    return _report_valid(CheckResult(str(path), len(entries)))


def _report_valid(result: CheckResult) -> Report:
    counted = f", {result.n_entries} entries" if result.n_entries else ""
    return Report(result, notes=(f"{result.path}: good{counted}",))
