"""``corianderctl trace``: show what the routers' logs record about a request.

It reads log files only and needs no running router.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar, Final

from .command import Command, CommandError, Context, Report, Table
from .exit_code import ExitCode

DEFAULT_BEFORE_S: Final = 5.0
"""Default of ``--before``, in seconds."""

REQUEST_LINE: Final = "request:ended"
"""Message type of the line that a router logs at the end of each request."""

_COMMON_FIELDS: Final = frozenset({"timestamp", "message_type", "node"})


@dataclass(frozen=True)
class LogLine:
    """One line of a router's log."""

    at: float
    """Unix seconds, by the router's clock."""
    node: str
    kind: str
    fields: dict[str, Any]


@dataclass(frozen=True)
class RequestTrace:
    """Log lines that concern one request."""

    requests: tuple[LogLine, ...]
    """Lines of the request, oldest first: one each time a caller sent it."""
    changes: tuple[LogLine, ...]
    """State changes of its routers shortly before and during the request."""


class Trace(Command):
    """Show a request's outcome, its attempts and its router's state changes."""

    name: ClassVar[str] = "trace"
    summary: ClassVar[str] = "trace a request through the routers' logs"
    example: ClassVar[str] = "corianderctl trace 9c41d07be2a35f68 --logs router-*.log"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the request id, the log files and the time window."""
        parser.add_argument("request_id")
        parser.add_argument(
            "--logs", type=Path, nargs="+", required=True, help="files with log lines"
        )
        parser.add_argument(
            "--before",
            type=float,
            default=DEFAULT_BEFORE_S,
            metavar="SECONDS",
            help=f"show state changes from this long before ({DEFAULT_BEFORE_S:g})",
        )

    async def run(self, context: Context) -> Report:
        """Read the log files and report on the request."""
        arguments = context.arguments
        lines = [line for path in arguments.logs for line in read_lines(path)]
        return _report(trace(lines, arguments.request_id, arguments.before))


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the log lines of a file, skipping all other lines."""
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as exc:
        raise CommandError(f"{path}: {exc.strerror}", ExitCode.NOT_FOUND) from exc
    for raw in text.splitlines():
        try:
            plain = json.loads(raw[raw.index("{") :])
            kind, at = str(plain["message_type"]), float(plain["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        fields = {k: v for k, v in plain.items() if k not in _COMMON_FIELDS}
        yield LogLine(at, str(plain.get("node", "")), kind, fields)


def trace(lines: list[LogLine], request_id: str, before_s: float) -> RequestTrace:
    """Return the lines of a request and the state changes around it."""
    requests = sorted(
        (
            line
            for line in lines
            if line.kind == REQUEST_LINE and line.fields.get("request") == request_id
        ),
        key=lambda line: line.at,
    )
    if not requests:
        raise CommandError(
            f"no line of request {request_id} in these files; routers may drop lines "
            "under load, and count them in log:left_out",
            ExitCode.NOT_FOUND,
        )
    changes = sorted(
        (
            line
            for line in lines
            if not line.kind.startswith("request:")
            and any(_is_near(line, request, before_s) for request in requests)
        ),
        key=lambda line: line.at,
    )
    return RequestTrace(tuple(requests), tuple(changes))


def _is_near(line: LogLine, request: LogLine, before_s: float) -> bool:
    started_at = request.at - float(request.fields.get("took_ms") or 0) / 1000
    return line.node == request.node and started_at - before_s <= line.at <= request.at


def _report(found: RequestTrace) -> Report:
    tables = []
    headline = []
    for line in found.requests:
        fields = line.fields
        headline.append(
            f"{line.node}: {fields.get('result')}, status {fields.get('status')}, "
            f"{fields.get('took_ms')} ms, route {fields.get('route') or '-'}, account "
            f"{fields.get('account') or '-'}, configuration "
            f"{fields.get('configuration')} of {fields.get('configuration_age_ms')} ms "
            f"{'confirmed' if fields.get('confirmed') else 'not confirmed'}; "
            f"{fields.get('detail') or 'no detail'}"
        )
        tables.append(_attempts(line))
    tables.append(_changes(found.changes, found.requests[0].at))
    return Report(found, tables=tuple(tables), headline=tuple(headline))


def _attempts(line: LogLine) -> Table:
    attempts = line.fields.get("attempts") or []
    columns = ("instance", "outcome", "took_ms", "estimate_ms", "wait_ms", "detail")
    rows = tuple(
        tuple(str(attempt.get(column, "")) for column in columns)
        for attempt in attempts
        if isinstance(attempt, dict)
    )
    return Table(columns, rows, f"Attempts by {line.node}")


def _changes(changes: tuple[LogLine, ...], at: float) -> Table:
    rows = tuple(
        (
            f"{line.at - at:+.3f}",
            line.kind,
            ", ".join(f"{name}={value}" for name, value in line.fields.items()),
        )
        for line in changes
    )
    return Table(("seconds", "change", "what"), rows, "What the router believed")
