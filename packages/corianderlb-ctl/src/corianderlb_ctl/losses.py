"""``corianderctl losses``: count late and failed requests in the routers' logs.

It reads the lines that routers log at the end of each request, and counts by route,
second and reason the requests that were not answered in time.
"""

from __future__ import annotations

import argparse
import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any, ClassVar, Final

from .command import Command, CommandError, Context, Report, Table
from .exit_code import ExitCode
from .trace import REQUEST_LINE, LogLine, read_lines


class Reason(Enum):
    """Outcome of a request, or the reason for its loss."""

    IN_TIME = "in time"
    LATE_FIRST_EVENT = "late: first event"
    LATE_PAUSE = "late: pause"
    LATE_MOVE = "late: pause of a move"
    REFUSED_QUEUE = "refused: queue"
    REFUSED_WITHHELD = "refused: instances take no more"
    REFUSED_NO_ENGINE = "refused: no engine"
    REFUSED_CAP = "refused: over the account's cap"
    REFUSED_OTHER = "refused: other"
    BROKEN = "broken by an upstream"
    UNRESPONSIVE = "silent upstream"
    FAILED = "failed by an upstream"
    DEADLINE_EXCEEDED = "its time was over"
    CALLER_LEFT = "its caller left"


MAX_BARS: Final = 600
"""Maximum number of bars in a plot; longer logs get several seconds per bar."""

_OUTCOMES: Final = {
    "broken": Reason.BROKEN,
    "wronganswer": Reason.BROKEN,
    "silent": Reason.UNRESPONSIVE,
    "serverfailure": Reason.FAILED,
    "abandoned": Reason.DEADLINE_EXCEEDED,
}
"""Reason by the outcome of a failed request's last attempt."""


@dataclass(frozen=True)
class CountedRequest:
    """A request as counted in the report."""

    begun_at: float
    """Unix seconds, by its router's clock."""
    route: str
    reason: Reason
    first_ms: float | None
    """Time to the first byte of the answer, in milliseconds."""
    estimate_ms: float | None
    """Estimate of ``first_ms``; only for requests with a single attempt."""


class Losses(Command):
    """Report late and failed requests by route, second and reason."""

    name: ClassVar[str] = "losses"
    summary: ClassVar[str] = "say where requests were lost, by the routers' logs"
    example: ClassVar[str] = "corianderctl losses --logs router-*.log --plot lost.svg"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the log files, the route and the file for the plot."""
        parser.add_argument(
            "--logs", type=Path, nargs="+", required=True, help="files with log lines"
        )
        parser.add_argument("--route", default="", help="count only this route")
        parser.add_argument(
            "--plot", type=Path, metavar="FILE", help="plot the requests by second"
        )

    async def run(self, context: Context) -> Report:
        """Read the log files, write the plot if requested, and report."""
        arguments = context.arguments
        lines = (line for path in arguments.logs for line in read_lines(path))
        requests = [
            req for req in counted_requests(lines) if arguments.route in ("", req.route)
        ]
        if not requests:
            raise CommandError(
                "no request of a route in these files; give files with log lines, and "
                "a route that the configuration defines",
                ExitCode.NOT_FOUND,
            )
        if arguments.plot:
            write_plot(requests, arguments.plot)
        return report(requests)


def counted_requests(lines: Iterable[LogLine]) -> list[CountedRequest]:
    """Return the requests on known routes that the lines describe."""
    return [
        _counted_request(line)
        for line in lines
        if line.kind == REQUEST_LINE
        and line.fields.get("route")
        and math.isfinite(line.at)
    ]


def _counted_request(line: LogLine) -> CountedRequest:
    fields = line.fields
    logged = fields.get("attempts")
    attempts = (
        [a for a in logged if isinstance(a, dict)] if isinstance(logged, list) else []
    )
    estimate = _number(attempts[0].get("estimate_ms")) if len(attempts) == 1 else None
    return CountedRequest(
        begun_at=line.at - (_number(fields.get("took_ms")) or 0.0) / 1000,
        route=str(fields["route"]),
        reason=_reason(fields, attempts),
        first_ms=_number(fields.get("first_ms")),
        estimate_ms=estimate,
    )


def _number(value: Any) -> float | None:
    """Return a value of a log line if it is a finite number, else None."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) else None


def _reason(fields: dict[str, Any], attempts: Sequence[dict[str, Any]]) -> Reason:
    result = fields.get("result")
    outcomes = [str(attempt.get("outcome")) for attempt in attempts]
    if result == "OK":
        return _lateness(fields, outcomes)
    if result == "CALLER_GONE":
        return Reason.CALLER_LEFT
    if result == "QUEUE_FULL":
        is_withheld = str(fields.get("detail")).startswith("withheld")
        return Reason.REFUSED_WITHHELD if is_withheld else Reason.REFUSED_QUEUE
    if result == "NO_UPSTREAM":
        return Reason.REFUSED_NO_ENGINE
    if result == "RATE_LIMITED":
        return Reason.REFUSED_CAP
    is_forwarded = result == "UPSTREAM_FAILED"
    if not is_forwarded and fields.get("status") in (401, 404, 429, 503):
        return Reason.REFUSED_OTHER
    return _OUTCOMES.get(outcomes[-1] if outcomes else "", Reason.DEADLINE_EXCEEDED)


def _lateness(fields: dict[str, Any], outcomes: Sequence[str]) -> Reason:
    """Return how an answer was late; without an objective it never is."""
    first = _number(fields.get("first_ms"))
    objective = _number(fields.get("objective_ms"))
    if first is not None and objective is not None and first > objective:
        return Reason.LATE_FIRST_EVENT
    pause = _number(fields.get("longest_pause_ms"))
    pause_objective = _number(fields.get("pause_objective_ms"))
    if pause is None or pause_objective is None or pause <= pause_objective:
        return Reason.IN_TIME
    moved = {"moved", "restarted"} & set(outcomes)
    return Reason.LATE_MOVE if moved else Reason.LATE_PAUSE


def report(requests: Sequence[CountedRequest]) -> Report:
    """Build the report: tables by route, by second and of the estimates."""
    n_in_time = sum(req.reason is Reason.IN_TIME for req in requests)
    headline = (
        f"{len(requests)} requests as their routers saw them, {n_in_time} in time; one "
        "that came back counts again",
    )
    tables = (_by_route(requests), _by_second(requests), _estimates(requests))
    return Report(tuple(requests), tables=tables, headline=headline)


def _by_route(requests: Sequence[CountedRequest]) -> Table:
    counts = Counter((req.route, req.reason) for req in requests)
    totals = Counter(req.route for req in requests)
    rows = tuple(
        (route, reason.value, str(counts[route, reason]), f"{share:.1%}")
        for route in sorted(totals)
        for reason in Reason
        if (share := counts[route, reason] / totals[route])
    )
    return Table(("route", "what", "requests", "of its route"), rows, "By route")


def _by_second(requests: Sequence[CountedRequest]) -> Table:
    start = min(req.begun_at for req in requests)
    counts = Counter((int(req.begun_at - start), req.reason) for req in requests)
    seconds = sorted({second for second, _ in counts})
    rows = tuple(
        (
            str(second),
            str(sum(counts[second, reason] for reason in Reason)),
            ", ".join(
                f"{reason.value} {counts[second, reason]}"
                for reason in Reason
                if reason is not Reason.IN_TIME and counts[second, reason]
            ),
        )
        for second in seconds
    )
    return Table(("second", "requests", "lost"), rows, "By second of their beginning")


def _estimates(requests: Sequence[CountedRequest]) -> Table:
    """Return quantiles of the time to the first byte relative to its estimate."""
    ratios: dict[str, list[float]] = {}
    for req in requests:
        if req.first_ms is not None and req.estimate_ms:
            ratios.setdefault(req.route, []).append(req.first_ms / req.estimate_ms)
    rows = tuple(
        (
            route,
            str(len(found)),
            *(f"{_quantile(found, q):.2f}" for q in (0.1, 0.5, 0.9)),
        )
        for route, found in sorted(ratios.items())
    )
    columns = ("route", "answers", "p10", "p50", "p90")
    return Table(columns, rows, "First byte against the estimate")


def _quantile(values: Sequence[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def write_plot(requests: Sequence[CountedRequest], path: Path) -> None:
    """Plot the requests by second and reason; the file suffix selects the format."""
    try:
        import matplotlib
    except ImportError as exc:
        raise CommandError(
            "--plot requires matplotlib; install it or omit --plot", ExitCode.USAGE
        ) from exc
    matplotlib.use("Agg")
    from matplotlib import pyplot

    start = min(req.begun_at for req in requests)
    begun = {
        reason: [req.begun_at - start for req in requests if req.reason is reason]
        for reason in Reason
    }
    shown = [reason for reason in Reason if begun[reason]]
    n_seconds = int(max(req.begun_at for req in requests) - start) + 1
    figure, axes = pyplot.subplots(figsize=(10, 4.5), layout="constrained")
    axes.hist(
        [begun[reason] for reason in shown],
        bins=min(n_seconds, MAX_BARS),
        stacked=True,
        label=[reason.value for reason in shown],
    )
    axes.set_xlabel("second of a request's beginning")
    axes.set_ylabel("requests")
    axes.legend(fontsize="small")
    try:
        figure.savefig(path)
    except (OSError, ValueError) as exc:
        raise CommandError(f"{path}: {exc}", ExitCode.USAGE) from exc
    finally:
        pyplot.close(figure)
