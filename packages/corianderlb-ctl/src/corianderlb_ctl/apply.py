"""``corianderctl apply``: submit an edit of the catalogue, idempotently."""

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
"""Default timeout of ``--wait``, in seconds."""


@dataclass(frozen=True)
class ApplyResult:
    """An accepted change and the routers that have it in force."""

    version: int
    edit_id: str
    differences: tuple[str, ...]
    in_force_on: tuple[str, ...] = ()
    lagging: tuple[str, ...] = ()


class Apply(Command):
    """Submit an edit based on the version that the operator reviewed."""

    name: ClassVar[str] = "apply"
    summary: ClassVar[str] = "put an edit of the catalogue in force"
    example: ClassVar[str] = (
        'corianderctl apply catalogue.yaml --author ann --reason "new customer" --wait'
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the file, the author and reason, and the options of the edit."""
        parser.add_argument(
            "file",
            type=Path,
            nargs="?",
            help="catalogue file with the entries to add or replace",
        )
        parser.add_argument("--author", required=True, help="author of the edit")
        parser.add_argument(
            "--reason", required=True, help="reason, recorded in the audit trail"
        )
        parser.add_argument(
            "--owner", default="", help="owner responsible for the edit"
        )
        parser.add_argument(
            "--remove", action="append", default=[], metavar="KIND/NAME"
        )
        parser.add_argument(
            "--whole",
            action="store_true",
            help="the file is the whole catalogue: remove entries that it lacks",
        )
        parser.add_argument(
            "--base",
            type=int,
            metavar="VERSION",
            help="version the edit is based on; by default the file's, else the newest",
        )
        parser.add_argument(
            "--edit-id",
            default="",
            help="id of an edit to retry after an unknown outcome",
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
        """Submit the edit; with ``--wait``, wait until it is in force."""
        arguments = context.arguments
        editor = CatalogueEditor(context.store)
        edit = await _build_edit(arguments, editor)
        change = await editor.accept(edit, repeated=bool(arguments.edit_id))
        notes = [f"accepted as version {change.version} (edit {change.edit_id})"]
        notes += [f"  {item}" for item in diff_change(change)]
        if arguments.wait is None:
            return Report(_result(change), notes=tuple(notes))
        return await _wait_and_report(context, change, notes)


async def _build_edit(arguments: argparse.Namespace, editor: CatalogueEditor) -> Edit:
    """Return the edit that the command line describes."""
    if arguments.file is None and not arguments.remove:
        raise CommandError(
            "nothing to apply: give a file, --remove, or both", ExitCode.USAGE
        )
    if arguments.whole and arguments.file is None:
        raise CommandError("--whole requires a file", ExitCode.USAGE)
    new_content = CatalogueFile(())
    if arguments.file is not None:
        new_content = read_catalogue_file(arguments.file)
    base = await _read_base(arguments.base, new_content.version, editor)
    edit = Edit(
        edit_id=arguments.edit_id or uuid.uuid4().hex,
        base_version=base.version,
        author=arguments.author,
        reason=arguments.reason,
        owner=arguments.owner,
        put=new_content.entries,
        removed=tuple(map(key_from_str, arguments.remove)),
    )
    return (
        build_edit_from_entries(edit, base, new_content.entries)
        if arguments.whole
        else edit
    )


async def _read_base(
    requested: int | None, in_file: int | None, editor: CatalogueEditor
) -> Catalogue:
    version = in_file if requested is None else requested
    return await (editor.newest() if version is None else editor.at(version))


def _result(change: Change) -> ApplyResult:
    lines = tuple(map(str, diff_change(change)))
    return ApplyResult(change.version, change.edit_id, lines)


async def _wait_and_report(
    context: Context, change: Change, notes: list[str]
) -> Report:
    """Wait for the change to be in force and report the routers that lag."""
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
