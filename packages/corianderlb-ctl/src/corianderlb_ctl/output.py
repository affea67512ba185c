"""Render a report as tables or as JSON."""

from __future__ import annotations

import json
from typing import Final

from tabulate import tabulate

from corianderlb_core.codec import to_plain

from .command import Report, Table

OUTPUTS: Final = ("table", "json")
"""Values of ``--output``."""


def render(report: Report, output: str) -> str:
    """Return the report as text in the given format."""
    if output == "json":
        return json.dumps(to_plain(report.value), indent=2, ensure_ascii=False)
    if report.text:
        return report.text
    tables = [_table_text(table) for table in report.tables]
    parts = ["\n".join(report.headline), *tables, "\n".join(report.notes)]
    return "\n\n".join(filter(None, parts))


def _table_text(table: Table) -> str:
    text = tabulate(table.rows, headers=table.columns, disable_numparse=True)
    return f"{table.title}\n{text}" if table.title else text
