"""Keep the latest decisions, so that each answer can be traced to owners and times."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Final

from corianderlb_core.catalogue import Catalogue, EntryKey, EntryKind
from corianderlb_core.identity import DecisionId, RequestId
from corianderlb_core.request import Candidate, Decision, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.status import (
    AttemptReport,
    CandidateReport,
    DecisionReport,
    EntryReference,
)

N_EARLY: Final = 200
"""Refusals kept of requests that were not understood or had no valid key."""


class DecisionLog:
    """Hold a bounded number of decisions; the oldest makes room for the newest."""

    def __init__(self, instance: str, capacity: int) -> None:
        self._instance = instance
        self._capacity = capacity
        self._reports: OrderedDict[DecisionId, DecisionReport] = OrderedDict()
        self._early: OrderedDict[DecisionId, DecisionReport] = OrderedDict()

    def id_for(self, request_id: RequestId) -> DecisionId:
        """Return the id of the one decision on a request."""
        return DecisionId(f"{self._instance}-{request_id}")

    def refused_early(
        self, request_id: RequestId, path: str, version: int, code: ResultCode
    ) -> None:
        """Keep a refusal that came before anything was known of the request.

        They have a place of their own: anybody can send requests without a key, and
        must not push out the decisions on those of client accounts.
        """
        decision_id = self.id_for(request_id)
        self._early[decision_id] = DecisionReport(
            decision_id=decision_id,
            request_id=request_id,
            account="",
            target=path,
            service_class="",
            catalogue_version=version,
            policy="",
            at=datetime.now(UTC).isoformat(),
            code=int(code),
        )
        if len(self._early) > N_EARLY:
            self._early.popitem(last=False)

    def begin(self, facts: RequestFacts, catalogue: Catalogue) -> DecisionId:
        """Keep a request with the entries that whatever is decided rests on.

        Refusals and replayed answers are decisions too: an auditor asks for their
        grounds as much as for an instance that was chosen.
        """
        decision_id = self.id_for(facts.request_id)
        self._reports[decision_id] = DecisionReport(
            decision_id=decision_id,
            request_id=facts.request_id,
            account=facts.account,
            target=facts.target,
            service_class=facts.service_class.value,
            catalogue_version=catalogue.version,
            policy="",
            at=datetime.now(UTC).isoformat(),
            rested_on=tuple(_references(facts, catalogue)),
        )
        if len(self._reports) > self._capacity:
            self._reports.popitem(last=False)
        return decision_id

    def placed(self, decision_id: DecisionId, decision: Decision) -> None:
        """Note the candidates; those of a retry take the place of the first ones."""
        report = self._reports.get(decision_id)
        if report is not None:
            self._reports[decision_id] = dataclasses.replace(
                report,
                policy=decision.policy,
                candidates=tuple(_candidate(found) for found in decision.candidates),
            )

    def add_attempt(self, decision_id: DecisionId, attempt: AttemptReport) -> None:
        """Add an attempt that was made on a decision."""
        report = self._reports.get(decision_id)
        if report is not None:
            attempts = (*report.attempts, attempt)
            self._reports[decision_id] = dataclasses.replace(report, attempts=attempts)

    def finish(self, decision_id: DecisionId, code: ResultCode) -> None:
        """Note the code that the caller got."""
        report = self._reports.get(decision_id)
        if report is not None:
            self._reports[decision_id] = dataclasses.replace(report, code=int(code))

    def get(self, decision_id: DecisionId) -> DecisionReport | None:
        """Return a decision that is still kept, or None."""
        return self._reports.get(decision_id) or self._early.get(decision_id)


def _candidate(found: Candidate) -> CandidateReport:
    return CandidateReport(
        instance=found.incarnation.instance,
        epoch=found.incarnation.epoch,
        expected_hits=found.expected_hits,
        import_pieces=found.import_pieces,
        estimated_ttft_s=found.estimated_ttft_s,
        reason=found.reason,
    )


def _references(facts: RequestFacts, catalogue: Catalogue) -> Iterator[EntryReference]:
    """Return the entries that routing, limits and refusals of a request rest on."""
    keys = [
        EntryKey(EntryKind.ACCOUNT, facts.account),
        EntryKey(EntryKind.MODEL, facts.target),
        EntryKey(EntryKind.ADAPTER, facts.target),
        EntryKey(EntryKind.ROUTE, facts.target),
        EntryKey(EntryKind.UPSTREAM, facts.upstream),
    ]
    adapter = catalogue.adapter(facts.target)
    if adapter is not None:
        keys.append(EntryKey(EntryKind.MODEL, adapter.model))
    for key in keys:
        entry = catalogue.entries.get(key)
        if entry is not None:
            yield EntryReference(str(key), entry.owner, catalogue.changed_in[key])
