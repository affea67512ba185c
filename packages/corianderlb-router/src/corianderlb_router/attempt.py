"""What the runs of completions and of service calls have in common."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

import trio

from corianderlb_core.catalogue import Catalogue
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
    RetryBudgets,
    RetryPolicy,
    RetryRun,
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
    Patience,
    RefusedError,
    UpstreamClient,
    WrongAnswerError,
    epoch_of,
)

NO_INSTANCE_WAIT_S: Final = 0.5
"""Wait of a request that had attempts, while no instance of its upstream is usable;
a retired instance that answers is back within about this time."""

SETTLE_S: Final = 0.2
"""Wait of a suspect before it runs again, in which the other routers' reports of the
same crash arrive and all suspects are known everywhere."""

WAVE_S: Final = 1.0
"""Wait between two suspects for whom there is only one instance. Suspects of different
routers do not see each other's attempts; the time keeps them apart."""

LIFE_PATIENCE: Final = Patience(connect_s=0.5, first_s=0.5)
"""How long it may take to find out whether an instance still lives."""

RESERVED_POLL_S: Final = 0.05
"""How often a suspect looks whether its instance is free of other suspects."""

FAILURE_CODES: Final = {
    FailureKind.NOT_SENT: ResultCode.NO_UPSTREAM,
    FailureKind.REFUSED: ResultCode.UPSTREAM_REFUSED,
    FailureKind.SILENT: ResultCode.UPSTREAM_TIMEOUT,
}
"""Codes of failed attempts; any other failure is ``UPSTREAM_FAILED``."""

VERDICTS: Final = {
    FailureKind.NOT_SENT: Verdict.FAILURE,
    FailureKind.BROKEN: Verdict.FAILURE,
    FailureKind.SILENT: Verdict.FAILURE,
    FailureKind.FAILED: Verdict.FAILURE,
    FailureKind.CRASHED: Verdict.CONDEMNED,
    FailureKind.WRONG: Verdict.CONDEMNED,
}
"""What a failure shows about the instance; a refusal shows nothing."""


@dataclass(frozen=True)
class Parts:
    """Hold the router's parts that a run works with."""

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
    """Hold one attempt's id and the instance it goes to."""

    attempt_id: AttemptId
    candidate: Candidate
    upstream_instance: UpstreamInstance
    started_at: float


def failure_of(exc: UpstreamError) -> AttemptFailure:
    """Return how retries see an error of the upstream client."""
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
    """Choose instances for the attempts of one request and account for each."""

    def __init__(
        self,
        parts: Parts,
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
        self.retries = RetryRun(policy, parts.budgets, names, facts.deadline, parts.rng)
        """What follows a failed attempt."""

    async def settle(self) -> None:
        """Wait after a crash until this suspect may run again.

        Its rank among all suspects gives it an instance and a turn, by the same rule
        on all routers, so that no two suspects share an instance though their routers
        do not ask each other.
        """
        await trio.sleep(SETTLE_S)
        if not self._parts.quarantine.must_run_apart(self._facts):
            return
        known = self._parts.directory.instances(self._facts.upstream)
        n_usable = sum(found.usable for found in known)
        self._rank = self._parts.quarantine.rank(self._facts)
        await trio.sleep(WAVE_S * (self._rank // max(1, n_usable)))

    async def next_attempt(self) -> Attempt | AttemptFailure:
        """Return the next attempt, or the failure to find an instance for it.

        Raise ``RequestRefusedError`` when not even the first attempt finds one. After
        an attempt the request may have run, so that refusal would not be true.
        """
        while True:
            decision = self._place()
            if isinstance(decision, Refusal):
                return self._without_instance(decision)
            candidate = self._pick(decision)
            if candidate is not None:
                break
            await trio.sleep(RESERVED_POLL_S)
        self._parts.decisions.placed(self._caller.decision_id, decision)
        found = self._find(candidate)
        if found is None:
            return AttemptFailure(FailureKind.NOT_SENT, "the instance has just left")
        self._n_attempts += 1
        attempt_id = AttemptId(f"{self._facts.request_id}.{self._n_attempts}")
        return Attempt(attempt_id, candidate, found, trio.current_time())

    @contextmanager
    def in_flight(self, attempt: Attempt) -> Iterator[None]:
        """Keep an attempt in the table while it runs and until its end is known."""
        apart = self._parts.quarantine.must_run_apart(self._facts)
        flight = InFlightAttempt(
            attempt.attempt_id,
            attempt.candidate.incarnation,
            self._facts.body_digest,
            apart,
        )
        self._parts.in_flight.begin(flight)
        self._parts.placer.attempt_started(self._facts, attempt.candidate)
        try:
            yield
        finally:
            self._parts.in_flight.end(attempt.attempt_id)

    def succeeded(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Account for an attempt that ended well."""
        self._parts.health.succeeded(outcome.incarnation)
        self._parts.quarantine.report_success(
            self._facts.request_id, self._facts.body_digest
        )
        self._ended(attempt, outcome)

    def failed(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Account for an attempt that failed."""
        self._avoid.add(attempt.candidate.incarnation.instance)
        code = FAILURE_CODES.get(failure.kind, ResultCode.UPSTREAM_FAILED)
        verdict = VERDICTS.get(failure.kind)
        if verdict is not None:
            self._parts.health.failed(attempt.upstream_instance, verdict)
        incarnation = attempt.candidate.incarnation
        self._ended(attempt, AttemptOutcome(incarnation, code, at=trio.current_time()))

    async def is_dead(self, attempt: Attempt) -> bool:
        """Find out whether an instance that broke off has died.

        A cut on the way looks the same to the attempt, but then the next connection
        finds the same life of the instance still there.
        """
        address = attempt.upstream_instance.address
        try:
            response = await self._parts.client.get(
                address, HEALTH_PATH, LIFE_PATIENCE, fresh=True
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
        """Report that the instance died under its attempts."""
        instance = attempt.candidate.incarnation.instance
        suspects = self._parts.in_flight.suspects(instance)
        self._parts.quarantine.report_crash(instance, epoch, suspects)

    def dropped(self, attempt: Attempt) -> None:
        """Account for an attempt that was given up without its upstream's doing."""
        outcome = AttemptOutcome(
            attempt.candidate.incarnation,
            ResultCode.CUT_BY_SHUTDOWN,
            at=trio.current_time(),
        )
        self._ended(attempt, outcome)

    def _place(self) -> Decision | Refusal:
        parts = self._parts
        found = parts.placer.place(self._facts, self._catalogue, self._avoid)
        if isinstance(found, Refusal) and self._avoid:
            # Every instance failed once: one that did is better than none.
            self._avoid.clear()
            found = parts.placer.place(self._facts, self._catalogue)
        return found

    def _without_instance(self, refusal: Refusal) -> AttemptFailure:
        if not self._n_attempts:
            raise RequestRefusedError(refusal)
        return AttemptFailure(FailureKind.NOT_SENT, refusal.detail, NO_INSTANCE_WAIT_S)

    def _pick(self, decision: Decision) -> Candidate | None:
        """Return the best candidate that may take the request now.

        None tells a suspect to wait for its instance.
        """
        if self._parts.quarantine.must_run_apart(self._facts):
            return self._pick_apart(decision)
        for candidate in decision.candidates:
            instance = candidate.incarnation.instance
            n_in_flight = self._parts.in_flight.n_on(instance)
            if self._parts.in_flight.is_reserved(instance):
                continue
            if self._parts.health.has_room(instance, n_in_flight):
                return candidate
        return decision.candidates[0]

    def _pick_apart(self, decision: Decision) -> Candidate | None:
        """Return the instance of a suspect, or None while another suspect has it."""
        ordered = sorted(
            decision.candidates, key=lambda known: known.incarnation.instance
        )
        if self._rank is None:
            self._rank = self._parts.quarantine.rank(self._facts)
        candidate = ordered[self._rank % len(ordered)]
        if self._parts.in_flight.is_reserved(candidate.incarnation.instance):
            return None
        return candidate

    def _find(self, candidate: Candidate) -> UpstreamInstance | None:
        wanted = candidate.incarnation.instance
        for known in self._parts.directory.instances(self._facts.upstream):
            if known.instance == wanted:
                return known
        return None

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
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
