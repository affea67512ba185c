"""Attempts of one request: instance choice, accounting and crash reports.

Shared by completions and service calls.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import field
from typing import Final

import trio

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.data_class import dataclass
from corianderlb_core.health import Verdict
from corianderlb_core.identity import AttemptId, InstanceId
from corianderlb_core.request import (
    AttemptOutcome,
    Candidate,
    Decision,
    Refusal,
    RequestFacts,
)
from corianderlb_core.result import ResultCode
from corianderlb_core.retry import (
    AttemptFailure,
    FailureKind,
    RequestRetries,
    RetryBudgets,
    RetryPolicy,
)
from corianderlb_core.settings import DataPathSettings
from corianderlb_core.status import AttemptReport

from .caller import CallerExchange, RequestRefusedError
from .connection import BrokenError, ConnectFailedError, SilentError, UpstreamError
from .decision_log import DecisionLog
from .health_tracker import HEALTH_PATH, HealthTracker
from .in_flight import InFlightAttempt, InFlightTable
from .interface import Placer, Quarantine, UpstreamDirectory, UpstreamInstance
from .kv_importer import KvImporter
from .metric import Metrics
from .stall_watch import StallWatch
from .upstream_client import (
    ExchangeTimeouts,
    RefusedError,
    UpstreamClient,
    WrongAnswerError,
    epoch_of,
)

NO_INSTANCE_WAIT_S: Final = 0.5
"""Delay before a retry while no instance of the upstream is usable; a retired
instance that answers probes becomes usable again within about this time."""

CRASH_REPORT_WAIT_S: Final = 0.2
"""Delay before a suspect runs again, so that other routers' reports of the same crash
arrive and all routers rank the same suspects."""

SUSPECT_INTERVAL_S: Final = 1.0
"""Interval between suspects that share one instance. Routers do not see each other's
attempts, so suspects of different routers are separated by time."""

LIVENESS_TIMEOUTS: Final = ExchangeTimeouts(connect_s=0.5, first_s=0.5)
"""Timeouts of the probe that checks whether an instance is still alive."""

RESERVED_POLL_S: Final = 0.05
"""How often a suspect polls whether its instance is free of other suspects."""

FAILURE_CODES: Final = {
    FailureKind.NOT_SENT: ResultCode.NO_UPSTREAM,
    FailureKind.REFUSED: ResultCode.UPSTREAM_REFUSED,
    FailureKind.SILENT: ResultCode.UPSTREAM_TIMEOUT,
}
"""Result codes of failed attempts; any other kind is ``UPSTREAM_FAILED``."""

VERDICTS: Final = {
    FailureKind.NOT_SENT: Verdict.FAILURE,
    FailureKind.BROKEN: Verdict.FAILURE,
    FailureKind.SILENT: Verdict.FAILURE,
    FailureKind.FAILED: Verdict.FAILURE,
    FailureKind.CRASHED: Verdict.CONDEMNED,
    FailureKind.WRONG: Verdict.CONDEMNED,
}
"""Health verdict for each kind of failure; a refusal does not affect health."""


@dataclass(frozen=True)
class DataPathParts:
    """Router components that completions and service calls use."""

    cfg: DataPathSettings
    directory: UpstreamDirectory
    placer: Placer
    importer: KvImporter
    quarantine: Quarantine
    health: HealthTracker
    in_flight: InFlightTable
    client: UpstreamClient
    decisions: DecisionLog
    budgets: RetryBudgets
    stalls: StallWatch
    rng: random.Random = field(default_factory=random.Random)
    metrics: Metrics = field(default_factory=Metrics)


@dataclass(frozen=True)
class Attempt:
    """One attempt of a request and the instance that it is sent to."""

    attempt_id: AttemptId
    candidate: Candidate
    upstream_instance: UpstreamInstance
    started_at: float


def failure_of(exc: UpstreamError) -> AttemptFailure:
    """Map an error of the upstream client to a failure for the retry policy."""
    if isinstance(exc, RefusedError):
        return AttemptFailure(FailureKind.REFUSED, str(exc), exc.retry_after_s)
    if isinstance(exc, ConnectFailedError):
        return AttemptFailure(FailureKind.NOT_SENT, str(exc))
    if isinstance(exc, SilentError):
        return AttemptFailure(FailureKind.SILENT, str(exc))
    if isinstance(exc, WrongAnswerError):
        return AttemptFailure(FailureKind.WRONG, str(exc))
    if isinstance(exc, BrokenError):
        return AttemptFailure(FailureKind.BROKEN, str(exc))
    return AttemptFailure(FailureKind.FAILED, str(exc))


class AttemptSeries:
    """Choose an instance for each attempt of a request and record its outcome."""

    def __init__(
        self,
        parts: DataPathParts,
        facts: RequestFacts,
        catalogue: Catalogue,
        caller: CallerExchange,
        policy: RetryPolicy,
    ) -> None:
        self._parts = parts
        self._facts = facts
        self._catalogue = catalogue
        self._caller = caller
        self._avoid: set[InstanceId] = set()
        self._n_attempts = 0
        self._rank: int | None = None
        names = (f"upstream/{facts.upstream}", f"account/{facts.account}")
        parts.budgets.record_first_attempt(names, trio.current_time())
        self.retries = RequestRetries(
            policy, parts.budgets, names, facts.deadline, parts.rng
        )
        """Decides whether and when a failed attempt is retried."""

    async def wait_after_crash(self) -> None:
        """Wait after a crash until this suspect may run again.

        All routers derive the instance and the start time from the suspect's rank, so
        that no two suspects share an instance, without coordination between routers.
        """
        await trio.sleep(CRASH_REPORT_WAIT_S)
        if not self._parts.quarantine.must_run_alone(self._facts):
            return
        known = self._parts.directory.instances(self._facts.upstream)
        n_usable = sum(found.usable for found in known)
        self._rank = self._parts.quarantine.rank(self._facts)
        await trio.sleep(SUSPECT_INTERVAL_S * (self._rank // max(1, n_usable)))

    async def next_attempt(self) -> Attempt | AttemptFailure:
        """Return the next attempt, or the failure to find an instance for it.

        Raise ``RequestRefusedError`` only before the first attempt. Afterwards the
        request may have run, and a refusal would claim that it did not.
        """
        while True:
            decision = self._place()
            if isinstance(decision, Refusal):
                return self._no_instance_failure(decision)
            candidate = self._pick_candidate(decision)
            if candidate is not None:
                break
            await trio.sleep(RESERVED_POLL_S)
        self._parts.decisions.placed(self._caller.decision_id, decision)
        found = self._find_instance(candidate)
        if found is None:
            return AttemptFailure(
                FailureKind.NOT_SENT, "the instance is no longer listed"
            )
        self._n_attempts += 1
        attempt_id = AttemptId(f"{self._facts.request_id}.{self._n_attempts}")
        return Attempt(attempt_id, candidate, found, trio.current_time())

    @contextmanager
    def in_flight(self, attempt: Attempt) -> Iterator[None]:
        """Keep an attempt in the in-flight table until its outcome is known."""
        is_exclusive = self._parts.quarantine.must_run_alone(self._facts)
        flight = InFlightAttempt(
            attempt.attempt_id,
            attempt.candidate.incarnation,
            self._facts.body_digest,
            is_exclusive,
        )
        self._caller.may_have_run = True
        self._parts.in_flight.begin(flight)
        self._parts.placer.attempt_started(self._facts, attempt.candidate)
        try:
            yield
        finally:
            self._parts.in_flight.end(attempt.attempt_id)

    def succeeded(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Record an attempt that succeeded."""
        self._parts.health.succeeded(outcome.incarnation)
        self._parts.quarantine.report_success(
            self._facts.request_id, self._facts.body_digest
        )
        self._record_attempt(attempt, outcome)

    def failed(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Record an attempt that failed."""
        may_have_run = self.retries.may_have_run or failure.may_have_run
        self._caller.may_have_run = may_have_run
        self._avoid.add(attempt.candidate.incarnation.instance)
        code = FAILURE_CODES.get(failure.kind, ResultCode.UPSTREAM_FAILED)
        verdict = VERDICTS.get(failure.kind)
        if verdict is not None:
            self._parts.health.failed(attempt.upstream_instance, verdict)
        incarnation = attempt.candidate.incarnation
        if failure.kind is FailureKind.REFUSED:
            self._parts.directory.record_rest(
                incarnation.instance, failure.retry_after_s
            )
        self._record_attempt(
            attempt, AttemptOutcome(incarnation, code, at=trio.current_time())
        )

    async def is_dead(self, attempt: Attempt) -> bool:
        """Return whether an instance crashed after its connection broke.

        A connection cut by the network looks the same to the attempt, but then a new
        connection still reaches the same incarnation.
        """
        address = attempt.upstream_instance.address
        try:
            response = await self._parts.client.get(
                address, HEALTH_PATH, LIVENESS_TIMEOUTS, fresh=True
            )
        except ConnectFailedError as exc:
            return exc.refused
        except BrokenError:
            return True
        except UpstreamError:
            return False
        known = attempt.candidate.incarnation.epoch
        return known != 0 and epoch_of(response) != known

    def crashed(self, attempt: Attempt, epoch: int) -> None:
        """Report a crash, with all requests in flight on the instance as suspects."""
        instance = attempt.candidate.incarnation.instance
        suspects = self._parts.in_flight.suspects(instance)
        self._parts.quarantine.report_crash(instance, epoch, suspects)

    def abandoned(self, attempt: Attempt) -> None:
        """Record an attempt that was abandoned for no fault of its upstream."""
        outcome = AttemptOutcome(
            attempt.candidate.incarnation,
            ResultCode.CUT_BY_SHUTDOWN,
            at=trio.current_time(),
        )
        self._record_attempt(attempt, outcome)

    def _place(self) -> Decision | Refusal:
        parts = self._parts
        found = parts.placer.place(self._facts, self._catalogue, self._avoid)
        if isinstance(found, Refusal) and self._avoid:
            # Every instance has failed once: allow them all again.
            self._avoid.clear()
            found = parts.placer.place(self._facts, self._catalogue)
        return found

    def _no_instance_failure(self, refusal: Refusal) -> AttemptFailure:
        if not self._n_attempts:
            raise RequestRefusedError(refusal)
        return AttemptFailure(FailureKind.NOT_SENT, refusal.detail, NO_INSTANCE_WAIT_S)

    def _pick_candidate(self, decision: Decision) -> Candidate | None:
        """Return the best candidate that may receive the request now.

        Return None when a suspect has to wait for its instance.
        """
        if self._parts.quarantine.must_run_alone(self._facts):
            return self._pick_for_suspect(decision)
        for candidate in decision.candidates:
            instance = candidate.incarnation.instance
            n_in_flight = self._parts.in_flight.n_on(instance)
            if self._parts.in_flight.is_reserved(instance):
                continue
            if self._parts.health.has_capacity(instance, n_in_flight):
                return candidate
        return decision.candidates[0]

    def _pick_for_suspect(self, decision: Decision) -> Candidate | None:
        """Return a suspect's instance, or None while another suspect runs there."""
        ordered = sorted(
            decision.candidates, key=lambda known: known.incarnation.instance
        )
        if self._rank is None:
            self._rank = self._parts.quarantine.rank(self._facts)
        candidate = ordered[self._rank % len(ordered)]
        if self._parts.in_flight.is_reserved(candidate.incarnation.instance):
            return None
        return candidate

    def _find_instance(self, candidate: Candidate) -> UpstreamInstance | None:
        wanted = candidate.incarnation.instance
        for known in self._parts.directory.instances(self._facts.upstream):
            if known.instance == wanted:
                return known
        return None

    def _record_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._parts.placer.attempt_ended(self._facts, outcome)
        self._parts.metrics.attempt_ended(outcome.code, is_retry=self._n_attempts > 1)
        computed = outcome.prompt_tokens - outcome.cached_tokens
        self._parts.metrics.prompt_served(outcome.cached_tokens, max(0, computed))
        report = AttemptReport(
            attempt_id=attempt.attempt_id,
            instance=outcome.incarnation.instance,
            epoch=outcome.incarnation.epoch,
            code=int(outcome.code),
            started_after_s=attempt.started_at - self._facts.arrived_at,
            lasted_s=trio.current_time() - attempt.started_at,
        )
        self._parts.decisions.add_attempt(self._caller.decision_id, report)
