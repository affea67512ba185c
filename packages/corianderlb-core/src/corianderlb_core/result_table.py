"""Render the table of result codes for the docs and ``corianderctl codes``."""

from __future__ import annotations

from .data_class import dataclass
from .result import RESULT_INFO, ResultCode


@dataclass(frozen=True)
class ResultRow:
    """One row of the table of result codes."""

    code: int
    name: str
    status: int
    ran: str
    may_repeat: bool
    advice: str


def result_rows() -> list[ResultRow]:
    """Return one row per code, ordered by number."""
    return [_row(code) for code in sorted(ResultCode)]


def to_markdown(rows: list[ResultRow]) -> str:
    """Format the rows as the Markdown table in ``docs/RESULT-CODES.md``."""
    lines = [
        "| code | name | HTTP status | ran? | may be repeated | what to do |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        repeat = "yes" if row.may_repeat else "no"
        lines.append(
            f"| {row.code} | {row.name} | {row.status} | {row.ran} "
            f"| {repeat} | {row.advice} |"
        )
    return "\n".join(lines) + "\n"


def _row(code: ResultCode) -> ResultRow:
    info = RESULT_INFO[code]
    return ResultRow(
        int(code), code.name, info.status, info.ran.value, info.may_repeat, info.advice
    )
