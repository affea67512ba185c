"""``corianderctl codes``: the table of result codes."""

from __future__ import annotations

import argparse
from typing import ClassVar

from corianderlb_core.result_table import ResultRow, result_rows, to_markdown

from .command import Command, CommandError, Context, Report, Table
from .exit_code import ExitCode


class Codes(Command):
    """Print what each result code means and what to do about it."""

    name: ClassVar[str] = "codes"
    summary: ClassVar[str] = "print the table of result codes"
    example: ClassVar[str] = "corianderctl codes 300"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the optional code; all codes by default."""
        parser.add_argument("code", type=int, nargs="?")
        parser.add_argument("--markdown", action="store_true")

    async def run(self, context: Context) -> Report:
        """Look up the requested codes."""
        requested = context.arguments.code
        rows = [
            row for row in result_rows() if requested is None or row.code == requested
        ]
        if not rows:
            raise CommandError(f"unknown result code: {requested}", ExitCode.NOT_FOUND)
        text = to_markdown(rows).rstrip() if context.arguments.markdown else ""
        return Report(rows, tables=(_table(rows),), text=text)


def _table(rows: list[ResultRow]) -> Table:
    columns = ("code", "name", "status", "ran", "repeat", "what to do")
    lines = tuple(
        (
            str(row.code),
            row.name,
            str(row.status),
            row.ran,
            "yes" if row.may_repeat else "no",
            row.advice,
        )
        for row in rows
    )
    return Table(columns, lines)
