"""Decide whether and when to retry a failed attempt.

Each kind of call has a policy class. Two limits apply to all of them: retry budgets
for each upstream and client account, which keep retries a small fraction of the
traffic during an outage, and the caller's deadline.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from enum import Enum
from typing import ClassVar, Final

from .data_class import dataclass
from .result import ResultCode

BASE_DELAY_S: Final = 0.05
"""Maximum backoff before the first retry; doubles with each further retry."""

MAX_DELAY_S: Final = 2.0
"""Maximum backoff before any retry; the upstream's Retry-After is added to it."""

RETRY_AFTER_S: Final = 1.0
"""Retry-After for the caller when the upstream sent none."""


class FailureKind(Enum):
    """Kind of failure of an attempt, as the retry policies distinguish it."""

    NOT_SENT = "not sent"
    """No byte of the request can have reached an upstream."""
    REFUSED = "refused"
    """The upstream refused the request before running it."""
    BROKEN = "broken"
    """The connection closed before the response was complete."""
    CRASHED = "crashed"
    """The upstream instance crashed while the request ran on it."""
    SILENT = "silent"
    """The connection made no progress within the stall timeout."""
    WRONG = "wrong"
    """The response is malformed or belongs to another attempt or weights version."""
    FAILED = "failed"
    """The upstream responded with an error."""


@dataclass(frozen=True)
class AttemptFailure:
    """Failure of one attempt."""

    kind: FailureKind
    detail: str
    retry_after_s: float = 0.0
    """Retry-After of the upstream; 0 if it sent none."""

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have started the request."""
        return self.kind not in (FailureKind.NOT_SENT, FailureKind.REFUSED)


@dataclass(frozen=True)
class Retry:
    """Decision to retry after a delay."""

    delay_s: float


@dataclass(frozen=True)
class GiveUp:
    """Decision to end the request, with a code that states whether it may have run."""

    code: ResultCode
    retry_after_s: float


class RetryPolicy(ABC):
    """Retry rules for one kind of call; override ``allows``."""

    max_attempts: ClassVar[int] = 4
    """Attempts of one request, including the first."""

    @abstractmethod
    def allows(self, failure: AttemptFailure) -> bool:
        """Return whether a retry after this failure is safe."""

    def final_code(self, failure: AttemptFailure, may_have_run: bool) -> ResultCode:
        """Return the code for the caller after the last failure."""
        if not may_have_run:
            return ResultCode.UPSTREAM_REFUSED
        if failure.kind is FailureKind.SILENT:
            return ResultCode.UPSTREAM_TIMEOUT
        return ResultCode.UPSTREAM_FAILED


class CompletionRetry(RetryPolicy):
    """Allow every retry: output depends only on the prompt and can be resumed."""

    def allows(self, failure: AttemptFailure) -> bool:
        """Return True."""
        return True


class RepeatableCallRetry(RetryPolicy):
    """Allow retries of calls that the catalogue marks as repeatable."""

    max_attempts = 3

    def allows(self, failure: AttemptFailure) -> bool:
        """Return whether a retry can help, which it cannot after a service error."""
        return failure.kind is not FailureKind.FAILED


class NonRepeatableCallRetry(RetryPolicy):
    """Allow a retry only while no upstream can have started the call.

    A call that runs twice may bill a buyer twice. After the first byte is sent, the
    outcome is the upstream's response, or unknown.
    """

    max_attempts = 3

    def allows(self, failure: AttemptFailure) -> bool:
        """Return whether the failure proves that the call did not run."""
        return not failure.may_have_run

    def final_code(self, failure: AttemptFailure, may_have_run: bool) -> ResultCode:
        """Return the code for the caller after the last failure."""
        if may_have_run:
            return ResultCode.OUTCOME_UNKNOWN
        return ResultCode.UPSTREAM_REFUSED


class RetryBudget:
    """Limit retries to a fraction of first attempts, plus a small reserve.

    Without it, retries multiply the load on an overloaded upstream and keep it from
    recovering.
    """

    RATIO: ClassVar[float] = 0.2
    """Retries added for each first attempt."""

    RESERVE: ClassVar[float] = 10.0
    """Initial and maximum number of retries in the budget."""

    REFILL_PER_S: ClassVar[float] = 0.5
    """Retries added per second, so that the budget of an idle upstream recovers."""

    def __init__(self, now: float) -> None:
        self._tokens = self.RESERVE
        self._refilled_at = now

    def record_first_attempt(self, now: float) -> None:
        """Add the share of a retry for one first attempt."""
        self._refill(now)
        self._tokens = min(self.RESERVE, self._tokens + self.RATIO)

    @property
    def has_retry(self) -> bool:
        """Whether a retry is left."""
        return self._tokens >= 1

    def refill_until(self, now: float) -> None:
        """Add the retries for the time since the last refill."""
        self._refill(now)

    def take(self) -> None:
        """Take one retry from the budget."""
        self._tokens -= 1

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * self.REFILL_PER_S
        self._tokens = min(self.RESERVE, self._tokens + max(0.0, earned))
        self._refilled_at = max(self._refilled_at, now)


class RetryBudgets:
    """Retry budgets of the upstreams and client accounts of one router."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, names: tuple[str, ...], now: float) -> None:
        """Record a first attempt in each named budget."""
        for name in names:
            self._budget(name, now).record_first_attempt(now)

    def take(self, names: tuple[str, ...], now: float) -> bool:
        """Take a retry from all named budgets, or from none if one is exhausted."""
        budgets = [self._budget(name, now) for name in names]
        for budget in budgets:
            budget.refill_until(now)
        if not all(budget.has_retry for budget in budgets):
            return False
        for budget in budgets:
            budget.take()
        return True

    def _budget(self, name: str, now: float) -> RetryBudget:
        if name not in self._budgets:
            self._budgets[name] = RetryBudget(now)
        return self._budgets[name]


class RequestRetries:
    """Retry state of one request.

    Each retry is taken from the budgets in ``budget_names``. Call ``after`` once for
    each failed attempt.
    """

    def __init__(
        self,
        policy: RetryPolicy,
        budgets: RetryBudgets,
        budget_names: tuple[str, ...],
        deadline: float,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._budgets = budgets
        self._budget_names = budget_names
        self._deadline = deadline
        self._rng = rng
        self._n_failed = 0
        self.may_have_run = False
        """Whether any attempt so far may have run."""

    def after(
        self, failure: AttemptFailure, now: float, made_progress: bool = False
    ) -> Retry | GiveUp:
        """Decide whether to retry after a failed attempt.

        An attempt that made progress resets the number of failed attempts, so a long
        stream may be resumed any number of times.
        """
        self.may_have_run = self.may_have_run or failure.may_have_run
        self._n_failed = 1 if made_progress else self._n_failed + 1
        if not self._policy.allows(failure):
            return self._give_up(failure)
        if self._n_failed >= self._policy.max_attempts:
            return self._give_up(failure)
        delay_s = self._delay(failure)
        if now + delay_s >= self._deadline:
            return self._give_up(failure)
        if not self._budgets.take(self._budget_names, now):
            return self._budget_spent(failure)
        return Retry(delay_s)

    def code_if_given_up(self, failure: AttemptFailure) -> ResultCode:
        """Return the code for the caller if the request ends after this failure."""
        return self._policy.final_code(failure, self.may_have_run)

    def _delay(self, failure: AttemptFailure) -> float:
        """Return a backoff with full jitter, on top of the upstream's Retry-After."""
        max_delay_s = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (self._n_failed - 1))
        return failure.retry_after_s + self._rng.uniform(0.0, max_delay_s)

    def _give_up(self, failure: AttemptFailure) -> GiveUp:
        code = self.code_if_given_up(failure)
        return GiveUp(code, failure.retry_after_s or RETRY_AFTER_S)

    def _budget_spent(self, failure: AttemptFailure) -> GiveUp:
        if not self.may_have_run:
            return self._give_up(failure)
        return GiveUp(ResultCode.RETRY_BUDGET_SPENT, RETRY_AFTER_S)
