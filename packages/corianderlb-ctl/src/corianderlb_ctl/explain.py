"""``corianderctl explain``: show a routing decision and its audit trail."""

from __future__ import annotations

import argparse
import contextlib
from dataclasses import dataclass
from typing import ClassVar

from corianderlb_core.change import Change
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceRecord
from corianderlb_core.result import RESULT_INFO, ResultCode
from corianderlb_core.status import DecisionReport, EntryReference
from corianderlb_router.catalogue_log import CatalogueLog
from corianderlb_router.store import StoreError

from .command import Command, CommandError, Context, Report, Table
from .exit_code import ExitCode
from .router_list import list_routers


@dataclass(frozen=True)
class EntryTrace:
    """An entry that a decision used, and the change that last wrote it."""

    entry: str
    owner: str
    changed_in: int
    author: str = ""
    accepted_at: str = ""
    reason: str = ""


@dataclass(frozen=True)
class Explanation:
    """A decision and the audit trail of the entries it used."""

    decision: DecisionReport
    trace: tuple[EntryTrace, ...]


class Explain(Command):
    """Show the candidates, attempts, entries, owners and times of a decision."""

    name: ClassVar[str] = "explain"
    summary: ClassVar[str] = "explain one decision of a router"
    example: ClassVar[str] = "corianderctl explain router-1-18f2-42"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the decision id, which responses carry in a header."""
        parser.add_argument("decision_id")

    async def run(self, context: Context) -> Report:
        """Fetch the decision from its router and its changes from the store."""
        decision = await _fetch_decision(context, context.arguments.decision_id)
        log = CatalogueLog(context.store)
        trace = tuple([await _trace_entry(log, item) for item in decision.rested_on])
        return _report(Explanation(decision, trace))


async def _fetch_decision(context: Context, decision_id: str) -> DecisionReport:
    """Query the routers in turn; decisions are lost when their router ends."""
    problems = []
    for record in _by_likelihood(await list_routers(context), decision_id):
        try:
            return await context.routers.decision(record, decision_id)
        except CorianderError as exc:
            problems.append(str(exc))
    raise CommandError(
        f"decision {decision_id} not found on any router; routers keep only recent "
        "decisions\n" + "\n".join(problems),
        ExitCode.NOT_FOUND,
    )


def _by_likelihood(
    routers: list[InstanceRecord], decision_id: str
) -> list[InstanceRecord]:
    """Return the routers, first the one whose name is a prefix of the id."""
    return sorted(routers, key=lambda item: not decision_id.startswith(item.instance))


async def _trace_entry(log: CatalogueLog, item: EntryReference) -> EntryTrace:
    stored = None
    # The decision is still useful without its audit trail while the store is down.
    with contextlib.suppress(StoreError):
        stored = await log.change(item.changed_in) if item.changed_in else None
    if stored is None:
        return EntryTrace(item.entry, item.owner, item.changed_in)
    change: Change = stored.change
    return EntryTrace(
        item.entry,
        item.owner,
        item.changed_in,
        change.author,
        change.accepted_at,
        change.reason,
    )


def _report(explanation: Explanation) -> Report:
    decision = explanation.decision
    code = ResultCode(decision.code)
    headline = (
        f"{decision.at}: {decision.account} asked for {decision.target} "
        f"({decision.service_class}), request {decision.request_id}",
        f"decided by policy {decision.policy} under version "
        f"{decision.catalogue_version}; result {int(code)} {code.name} "
        f"(ran: {RESULT_INFO[code].ran.value})",
    )
    tables = (_candidates(decision), _attempts(decision), _trace_table(explanation))
    return Report(explanation, tables=tables, headline=headline)


def _candidates(decision: DecisionReport) -> Table:
    rows = tuple(
        (
            item.instance,
            str(item.epoch),
            str(item.expected_hits),
            str(item.import_pieces),
            f"{item.estimated_ttft_s:.3f}",
            item.reason,
        )
        for item in decision.candidates
    )
    columns = ("instance", "epoch", "hits", "imports", "estimated s", "why")
    return Table(columns, rows, "Candidates, best first")


def _attempts(decision: DecisionReport) -> Table:
    rows = tuple(
        (
            item.attempt_id,
            f"{item.instance}@{item.epoch}",
            ResultCode(item.code).name,
            f"{item.started_after_s:.3f}",
            f"{item.lasted_s:.3f}",
        )
        for item in decision.attempts
    )
    return Table(
        ("attempt", "sent to", "result", "after s", "took s"), rows, "Attempts"
    )


def _trace_table(explanation: Explanation) -> Table:
    rows = tuple(
        (
            item.entry,
            item.owner,
            str(item.changed_in),
            item.author,
            item.accepted_at,
            item.reason,
        )
        for item in explanation.trace
    )
    columns = ("entry", "owner", "changed in", "by", "at", "reason")
    return Table(columns, rows, "Entries it rested on")
