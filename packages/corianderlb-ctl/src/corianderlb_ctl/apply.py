"""``corianderctl apply``: have an edit of the catalogue accepted, once."""

from __future__ import annotations

import argparse
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar, Final

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.catalogue_codec import key_from_str
from corianderlb_core.change import Change
from corianderlb_core.edit import Edit, build_edit_from_entries, diff_change
from corianderlb_router.catalogue_editor import CatalogueEditor

from .catalogue_file import CatalogueFile, read_catalogue_file
from .command import Command, CommandError, Context, Report
from .exit_code import ExitCode
from .in_force import wait_in_force

DEFAULT_WAIT_S: Final = 13.0
"""Seconds within which an accepted change is in force everywhere."""


@dataclass(frozen=True)
class ApplyResult:
    """Hold what was accepted and who has it in force."""

    version: int
    edit_id: str
    differences: tuple[str, ...]
    in_force_on: tuple[str, ...] = ()
    lagging: tuple[str, ...] = ()


class Apply(Command):
    """Write an edit against the version that the operator looked at."""

    name: ClassVar[str] = "apply"
    summary: ClassVar[str] = "put an edit of the catalogue in force"
    example: ClassVar[str] = (
        'corianderctl apply catalogue.yaml --author ann --reason "new customer" --wait'
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Take the file, who and why, and how the edit is meant."""
        parser.add_argument("file", type=Path, nargs="?", help="entries to put")
        parser.add_argument("--author", required=True, help="who asks for the edit")
        parser.add_argument("--reason", required=True, help="why, for the audit trail")
        parser.add_argument("--owner", default="", help="who answers for the edit")
        parser.add_argument(
            "--remove", action="append", default=[], metavar="KIND/NAME"
        )
        parser.add_argument(
            "--whole",
            action="store_true",
            help="the file is the whole catalogue: remove what it does not name",
        )
        parser.add_argument(
            "--base",
            type=int,
            metavar="VERSION",
            help="the version you looked at; by default the file's, else the newest",
        )
        parser.add_argument(
            "--edit-id", default="", help="repeat an edit whose outcome is unknown"
        )
        parser.add_argument(
            "--wait",
            nargs="?",
            type=float,
            const=DEFAULT_WAIT_S,
            metavar="SECONDS",
            help="wait until all routers have it in force",
        )

    async def run(self, context: Context) -> Report:
        """Accept the edit, then wait for it where asked."""
        arguments = context.arguments
        editor = CatalogueEditor(context.store)
        edit = await _edit(arguments, editor)
        change = await editor.accept(edit, repeated=bool(arguments.edit_id))
        notes = [f"accepted as version {change.version} (edit {change.edit_id})"]
        notes += [f"  {item}" for item in diff_change(change)]
        if arguments.wait is None:
            return Report(_result(change), notes=tuple(notes))
        return await _waited(context, change, notes)


async def _edit(arguments: argparse.Namespace, editor: CatalogueEditor) -> Edit:
    """Return the edit that the command line asks for."""
    if arguments.file is None and not arguments.remove:
        raise CommandError("give a file, --remove, or both", ExitCode.USAGE)
    if arguments.whole and arguments.file is None:
        raise CommandError("--whole needs a file", ExitCode.USAGE)
    wanted = CatalogueFile(())
    if arguments.file is not None:
        wanted = read_catalogue_file(arguments.file)
    base = await _base(arguments.base, wanted.version, editor)
    edit = Edit(
        edit_id=arguments.edit_id or uuid.uuid4().hex,
        base_version=base.version,
        author=arguments.author,
        reason=arguments.reason,
        owner=arguments.owner,
        put=wanted.entries,
        removed=tuple(map(key_from_str, arguments.remove)),
    )
    return (
        build_edit_from_entries(edit, base, wanted.entries) if arguments.whole else edit
    )


async def _base(
    asked: int | None, in_file: int | None, editor: CatalogueEditor
) -> Catalogue:
    version = in_file if asked is None else asked
    return await (editor.newest() if version is None else editor.at(version))


def _result(change: Change) -> ApplyResult:
    lines = tuple(map(str, diff_change(change)))
    return ApplyResult(change.version, change.edit_id, lines)


async def _waited(context: Context, change: Change, notes: list[str]) -> Report:
    """Report once all routers have the change in force, or which ones lag."""
    found = await wait_in_force(context, change.version, context.arguments.wait)
    result = ApplyResult(
        change.version,
        change.edit_id,
        tuple(map(str, diff_change(change))),
        found.in_force_on,
        found.lagging,
    )
    notes.append(f"in force on: {', '.join(found.in_force_on) or 'none'}")
    if found.lagging:
        notes.append(f"not yet on: {', '.join(found.lagging)}")
    code = ExitCode.NOT_IN_FORCE if found.lagging else ExitCode.OK
    return Report(result, notes=tuple(notes), exit_code=code)
