"""``corianderctl status``: show the state of each router."""

from __future__ import annotations

import argparse
from typing import ClassVar

from corianderlb_core.codec import to_plain
from corianderlb_core.status import RouterStatus

from .command import Command, CommandError, Context, Report, Table
from .exit_code import ExitCode
from .in_force import RouterAnswer, query_routers, wait_in_force


class Status(Command):
    """Print one line per router; ``--instance`` shows one router in full."""

    name: ClassVar[str] = "status"
    summary: ClassVar[str] = "show what each instance has in force"
    example: ClassVar[str] = "corianderctl status --wait-for 12 --timeout 13"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the instance to show, the version to wait for and the timeout."""
        parser.add_argument("--instance", help="show one router in full")
        parser.add_argument(
            "--wait-for",
            type=int,
            metavar="VERSION",
            help="wait until all routers have this version in force",
        )
        parser.add_argument("--timeout", type=float, default=13.0, metavar="SECONDS")

    async def run(self, context: Context) -> Report:
        """Query the routers, after waiting for a version if requested."""
        arguments = context.arguments
        exit_code = ExitCode.OK
        if arguments.wait_for is not None:
            found = await wait_in_force(context, arguments.wait_for, arguments.timeout)
            exit_code = ExitCode.NOT_IN_FORCE if found.lagging else ExitCode.OK
        answers = await query_routers(context)
        if arguments.instance:
            return _report_one(answers, arguments.instance)
        value = [_plain(answer) for answer in answers]
        return Report(value, tables=(_overview(answers),), exit_code=exit_code)


def _plain(answer: RouterAnswer) -> dict[str, object]:
    if answer.status is None:
        return {"instance": answer.record.instance, "problem": answer.problem}
    return to_plain(answer.status)


def _overview(answers: list[RouterAnswer]) -> Table:
    columns = (
        "instance",
        "zone",
        "state",
        "version",
        "since",
        "confirmed s ago",
        "in flight",
        "note",
    )
    return Table(columns, tuple(map(_overview_row, answers)))


def _overview_row(answer: RouterAnswer) -> tuple[str, ...]:
    status = answer.status
    record = answer.record
    if status is None:
        unknown = ("?", "?", "", "", "")
        return (record.instance, record.zone, *unknown, answer.problem)
    return (
        record.instance,
        status.zone,
        status.state,
        str(status.catalogue_version),
        status.in_force_since,
        f"{status.confirmed_age_s:.1f}",
        str(status.n_in_flight),
        record.presence.value if record.presence.value != "live" else "",
    )


def _report_one(answers: list[RouterAnswer], name: str) -> Report:
    for answer in answers:
        if answer.record.instance != name:
            continue
        if answer.status is None:
            raise CommandError(answer.problem, ExitCode.UNAVAILABLE)
        tables = (_overview([answer]), *_details(answer.status))
        return Report(answer.status, tables=tables)
    raise CommandError(
        f"{name}: not a router in the platform's list; list routers with corianderctl "
        "status",
        ExitCode.NOT_FOUND,
    )


def _details(status: RouterStatus) -> tuple[Table, ...]:
    tables = (
        _upstreams(status),
        Table(
            ("instance", "zone", "presence", "version"),
            tuple(
                (item.instance, item.zone, item.presence, str(item.catalogue_version))
                for item in status.members
            ),
            "Routers",
        ),
        Table(
            ("lease", "holder", "fencing token", "remaining s"),
            tuple(
                (
                    item.name,
                    item.holder,
                    str(item.fencing_token),
                    f"{item.remaining_s:.1f}",
                )
                for item in status.leases
            ),
            "Leases",
        ),
        Table(
            ("request digest", "crashes", "remaining s"),
            tuple(
                (item.body_digest, str(item.n_crashes), f"{item.remaining_s:.0f}")
                for item in status.quarantine
            ),
            "Quarantine",
        ),
        Table(
            ("account", "running", "waiting", "refused"),
            tuple(
                (
                    item.account,
                    str(item.n_running),
                    str(item.n_waiting),
                    str(item.n_refused),
                )
                for item in status.accounts
            ),
            "Limits",
        ),
    )
    return tuple(table for table in tables if table.rows)


def _upstreams(status: RouterStatus) -> Table:
    rows = []
    for item in status.upstreams:
        report = item.report
        rows.append(
            (
                item.instance,
                item.upstream,
                item.zone,
                str(item.epoch),
                item.health or ("usable" if item.usable else "not usable"),
                str(report.n_running) if report else "?",
                str(report.n_queued) if report else "?",
                f"{item.report_age_s:.1f}",
            )
        )
    columns = (
        "instance",
        "upstream",
        "zone",
        "epoch",
        "health",
        "running",
        "queued",
        "age s",
    )
    return Table(columns, tuple(rows), "Upstreams")
