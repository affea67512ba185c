"""``corianderctl settings``: print the reference of the router settings."""

from __future__ import annotations

import argparse
from typing import ClassVar

from corianderlb_core.settings_table import SettingRow, setting_rows, to_markdown

from .command import Command, Context, Report, Table


class Settings(Command):
    """Print each setting with its type, range, default and meaning."""

    name: ClassVar[str] = "settings"
    summary: ClassVar[str] = "print the reference of a router's settings"
    example: ClassVar[str] = "corianderctl settings listen"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the optional prefix of the settings' paths."""
        parser.add_argument("prefix", nargs="?", default="")
        parser.add_argument("--markdown", action="store_true")

    async def run(self, context: Context) -> Report:
        """List the fields of the settings classes."""
        prefix = context.arguments.prefix
        rows = [row for row in setting_rows() if row.path.startswith(prefix)]
        text = to_markdown(rows).rstrip() if context.arguments.markdown else ""
        return Report(rows, tables=(_table(rows),), text=text)


def _table(rows: list[SettingRow]) -> Table:
    lines = tuple(
        (row.path, row.type, row.allowed, row.default, row.meaning) for row in rows
    )
    return Table(("field", "type", "allowed", "default", "meaning"), lines)
