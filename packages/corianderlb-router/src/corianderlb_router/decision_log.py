"""Keep the latest decisions, so that each answer can be traced to owners and times."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from datetime import UTC, datetime

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.catalogue_codec import key_from_str
from corianderlb_core.identity import DecisionId
from corianderlb_core.request import Candidate, Decision, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.status import (
    AttemptReport,
    CandidateReport,
    DecisionReport,
    EntryReference,
)


class DecisionLog:
    """Hold a bounded number of decisions; the oldest makes room for the newest."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._reports: OrderedDict[DecisionId, DecisionReport] = OrderedDict()

    def record(
        self, decision: Decision, facts: RequestFacts, catalogue: Catalogue
    ) -> None:
        """Keep a decision with the entries it rested on."""
        self._reports[decision.decision_id] = DecisionReport(
            decision_id=decision.decision_id,
            request_id=decision.request_id,
            account=facts.account,
            target=facts.target,
            service_class=facts.service_class.value,
            catalogue_version=decision.catalogue_version,
            policy=decision.policy,
            at=datetime.now(UTC).isoformat(),
            candidates=tuple(_candidate(found) for found in decision.candidates),
            rested_on=tuple(_reference(name, catalogue) for name in decision.rested_on),
        )
        if len(self._reports) > self._capacity:
            self._reports.popitem(last=False)

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
        return self._reports.get(decision_id)


def _candidate(found: Candidate) -> CandidateReport:
    return CandidateReport(
        instance=found.incarnation.instance,
        epoch=found.incarnation.epoch,
        expected_hits=found.expected_hits,
        import_pieces=found.import_pieces,
        estimated_ttft_s=found.estimated_ttft_s,
        reason=found.reason,
    )


def _reference(name: str, catalogue: Catalogue) -> EntryReference:
    key = key_from_str(name)
    entry = catalogue.entries[key]
    return EntryReference(name, entry.owner, catalogue.changed_in[key])
