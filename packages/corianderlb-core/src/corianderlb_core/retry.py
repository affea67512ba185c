"""Decide whether and when a failed attempt is followed by another.

Each kind of call has one policy class. Two bounds hold for all of them: budgets for
each upstream and each client account, which keep retries a small part of the traffic
when everything fails at once, and the caller's deadline, which no retry outlives.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, Final

from .result import ResultCode

BASE_DELAY_S: Final = 0.05
"""Longest wait before the first retry; it doubles with each further one."""

MAX_DELAY_S: Final = 2.0
"""Longest wait before any retry, unless the upstream asked for a longer one."""

RETRY_AFTER_S: Final = 1.0
"""What a caller is told when the upstreams gave no time of their own."""


class FailureKind(Enum):
    """Tell how an attempt failed, as far as repeating it depends on it."""

    NOT_SENT = "not sent"
    """No byte of the attempt can have reached an upstream."""
    REFUSED = "refused"
    """The upstream declined before running."""
    BROKEN = "broken"
    """The connection ended before the answer was whole."""
    CRASHED = "crashed"
    """The upstream instance died while the request ran on it."""
    SILENT = "silent"
    """The connection made no progress for the time allowed."""
    WRONG = "wrong"
    """The answer belongs to another attempt, to other weights, or makes no sense."""
    FAILED = "failed"
    """The upstream answered with an error of its own."""


@dataclass(frozen=True)
class AttemptFailure:
    """Hold how one attempt failed."""

    kind: FailureKind
    detail: str
    retry_after_s: float = 0.0
    """What the upstream asked for; 0 when it named nothing."""

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream can have started the request."""
        return self.kind not in (FailureKind.NOT_SENT, FailureKind.REFUSED)


@dataclass(frozen=True)
class Retry:
    """Try again after a wait."""

    delay_s: float


@dataclass(frozen=True)
class GiveUp:
    """End the request with a result that is true about whether it ran."""

    code: ResultCode
    retry_after_s: float


class RetryPolicy(ABC):
    """Say what one kind of call allows; override ``allows``."""

    max_attempts: ClassVar[int] = 4
    """Attempts of one request, the first included."""

    @abstractmethod
    def allows(self, failure: AttemptFailure) -> bool:
        """Return whether a further attempt after this failure is safe."""

    def given_up(self, failure: AttemptFailure, may_have_run: bool) -> ResultCode:
        """Return the code for the caller after the last failure."""
        if not may_have_run:
            return ResultCode.UPSTREAM_REFUSED
        if failure.kind is FailureKind.SILENT:
            return ResultCode.UPSTREAM_TIMEOUT
        return ResultCode.UPSTREAM_FAILED


class CompletionRetry(RetryPolicy):
    """Allow every retry: output is a function of the prompt and can be continued."""

    def allows(self, failure: AttemptFailure) -> bool:
        """Return True."""
        return True


class RepeatableCallRetry(RetryPolicy):
    """Allow retries of calls that the catalogue marks as repeatable."""

    max_attempts = 3

    def allows(self, failure: AttemptFailure) -> bool:
        """Return whether trying again can help: an error of the service stays one."""
        return failure.kind is not FailureKind.FAILED


class NonRepeatableCallRetry(RetryPolicy):
    """Allow another attempt only while no upstream can have started the call.

    A sign-off that is sent twice bills a buyer twice, so after the first byte the
    outcome is what the upstream says, or unknown.
    """

    max_attempts = 3

    def allows(self, failure: AttemptFailure) -> bool:
        """Return whether the failure proves that nothing ran."""
        return not failure.may_have_run

    def given_up(self, failure: AttemptFailure, may_have_run: bool) -> ResultCode:
        """Return the code for the caller after the last failure."""
        if may_have_run:
            return ResultCode.OUTCOME_UNKNOWN
        return ResultCode.UPSTREAM_REFUSED


class RetryBudget:
    """Let retries be a share of first attempts, and a few more when there are none.

    Without it a fleet of routers answers an overloaded upstream with a multiple of
    the load that overloaded it, and the upstream cannot recover.
    """

    RATIO: ClassVar[float] = 0.2
    """Retries earned by a first attempt."""

    RESERVE: ClassVar[float] = 10.0
    """Retries that are there from the start, and the most that is saved up."""

    REFILL_PER_S: ClassVar[float] = 0.5
    """Retries earned by time, so that a quiet upstream is not stuck at none."""

    def __init__(self, now: float) -> None:
        self._tokens = self.RESERVE
        self._at = now

    def record_first_attempt(self, now: float) -> None:
        """Earn part of a retry."""
        self._refill(now)
        self._tokens = min(self.RESERVE, self._tokens + self.RATIO)

    @property
    def has_retry(self) -> bool:
        """Whether a retry is left."""
        return self._tokens >= 1

    def refill_until(self, now: float) -> None:
        """Earn what the time since the last call is worth."""
        self._refill(now)

    def take(self) -> None:
        """Pay for one retry."""
        self._tokens -= 1

    def _refill(self, now: float) -> None:
        earned = (now - self._at) * self.REFILL_PER_S
        self._tokens = min(self.RESERVE, self._tokens + max(0.0, earned))
        self._at = max(self._at, now)


class RetryBudgets:
    """Hold the budgets of all upstreams and accounts of one router."""

    def __init__(self) -> None:
        self._budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, names: tuple[str, ...], now: float) -> None:
        """Earn part of a retry in each named budget."""
        for name in names:
            self._budget(name, now).record_first_attempt(now)

    def take(self, names: tuple[str, ...], now: float) -> bool:
        """Pay for a retry from all named budgets, or from none of them."""
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


class RetryRun:
    """Follow one request over its attempts.

    ``budget_names`` are the budgets that each retry is paid from. ``after`` is asked
    once per failed attempt and returns what to do.
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
        self._names = budget_names
        self._deadline = deadline
        self._rng = rng
        self._n_failed = 0
        self.may_have_run = False
        """Whether any attempt so far can have run."""

    def after(
        self, failure: AttemptFailure, now: float, made_progress: bool = False
    ) -> Retry | GiveUp:
        """Return what follows a failed attempt.

        An attempt that made progress starts the count of attempts anew: a long stream
        may outlive several upstreams, as long as each carried it on.
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
        if not self._budgets.take(self._names, now):
            return self._budget_spent(failure)
        return Retry(delay_s)

    def code_if_given_up(self, failure: AttemptFailure) -> ResultCode:
        """Return the code for the caller if the request ended here."""
        return self._policy.given_up(failure, self.may_have_run)

    def _delay(self, failure: AttemptFailure) -> float:
        """Return a wait with full jitter, and never less than the upstream asked."""
        longest = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (self._n_failed - 1))
        return failure.retry_after_s + self._rng.uniform(0.0, longest)

    def _give_up(self, failure: AttemptFailure) -> GiveUp:
        code = self.code_if_given_up(failure)
        return GiveUp(code, failure.retry_after_s or RETRY_AFTER_S)

    def _budget_spent(self, failure: AttemptFailure) -> GiveUp:
        if not self.may_have_run:
            return self._give_up(failure)
        return GiveUp(ResultCode.RETRY_BUDGET_SPENT, RETRY_AFTER_S)
