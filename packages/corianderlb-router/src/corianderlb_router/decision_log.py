"""Log of recent decisions, to trace each answer to catalogue entries and owners."""

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

MAX_EARLY_REFUSALS: Final = 200
"""Capacity for refusals of requests that were invalid or had no valid key."""


class DecisionLog:
    """Bounded log of decisions; the oldest is evicted first."""

    def __init__(self, instance: str, capacity: int) -> None:
        self._instance = instance
        self._capacity = capacity
        self._reports: OrderedDict[DecisionId, DecisionReport] = OrderedDict()
        self._early_refusals: OrderedDict[DecisionId, DecisionReport] = OrderedDict()

    def id_for(self, request_id: RequestId) -> DecisionId:
        """Return the decision id of a request."""
        return DecisionId(f"{self._instance}-{request_id}")

    def record_early_refusal(
        self, request_id: RequestId, path: str, version: int, code: ResultCode
    ) -> None:
        """Record the refusal of a request that was not parsed or authenticated.

        Stored separately, so that unauthenticated requests cannot evict the decisions
        of client accounts.
        """
        decision_id = self.id_for(request_id)
        self._early_refusals[decision_id] = DecisionReport(
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
        if len(self._early_refusals) > MAX_EARLY_REFUSALS:
            self._early_refusals.popitem(last=False)

    def begin(self, facts: RequestFacts, catalogue: Catalogue) -> DecisionId:
        """Record a request with the catalogue entries that its decision is based on.

        Called for every valid request, so that refusals and replayed answers can be
        audited like placements.
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
        """Record the candidates; a retry replaces those of the earlier attempt."""
        report = self._reports.get(decision_id)
        if report is not None:
            self._reports[decision_id] = dataclasses.replace(
                report,
                policy=decision.policy,
                candidates=tuple(_candidate(found) for found in decision.candidates),
            )

    def add_attempt(self, decision_id: DecisionId, attempt: AttemptReport) -> None:
        """Add an attempt to a decision."""
        report = self._reports.get(decision_id)
        if report is not None:
            attempts = (*report.attempts, attempt)
            self._reports[decision_id] = dataclasses.replace(report, attempts=attempts)

    def finish(self, decision_id: DecisionId, code: ResultCode) -> None:
        """Record the result code sent to the caller."""
        report = self._reports.get(decision_id)
        if report is not None:
            self._reports[decision_id] = dataclasses.replace(report, code=int(code))

    def get(self, decision_id: DecisionId) -> DecisionReport | None:
        """Return a decision, or None if it is unknown or was evicted."""
        return self._reports.get(decision_id) or self._early_refusals.get(decision_id)


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
    """Yield the entries that determine routing, limits and refusals of a request."""
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
