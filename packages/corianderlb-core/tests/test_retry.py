from __future__ import annotations

import random
import unittest

from corianderlb_core.result import RESULT_INFO, ResultCode, RunStatus
from corianderlb_core.retry import (
    MAX_DELAY_S,
    AttemptFailure,
    CompletionRetry,
    FailureKind,
    GiveUp,
    NonRepeatableCallRetry,
    RepeatableCallRetry,
    RequestRetries,
    Retry,
    RetryBudget,
    RetryBudgets,
    RetryPolicy,
)


def a_failure(kind: FailureKind = FailureKind.BROKEN, **fields: float):
    return AttemptFailure(kind, "test", **fields)


def a_run(
    policy: RetryPolicy | None = None,
    budgets: RetryBudgets | None = None,
    deadline: float = 100.0,
) -> RequestRetries:
    return RequestRetries(
        policy or CompletionRetry(),
        budgets or RetryBudgets(),
        ("upstream/u", "account/a"),
        deadline,
        random.Random(3),
    )


class RetryTest(unittest.TestCase):
    def test_outage_does_not_multiply_the_load(self) -> None:
        """Guards against retries that multiply the load during an outage."""
        budgets = RetryBudgets()
        n_retries = 0
        for _ in range(1000):
            names = ("upstream/u", "account/a")
            budgets.record_first_attempt(names, 0.0)
            run = a_run(budgets=budgets)
            while isinstance(run.after(a_failure(), 0.0), Retry):
                n_retries += 1
        self.assertLessEqual(n_retries, 1000 * RetryBudget.RATIO + RetryBudget.RESERVE)

    def test_exhausted_account_budget_does_not_affect_other_accounts(self) -> None:
        budgets = RetryBudgets()
        while budgets.take(("account/a",), 0.0):
            pass
        self.assertFalse(budgets.take(("upstream/u", "account/a"), 0.0))
        self.assertTrue(budgets.take(("upstream/u", "account/b"), 0.0))

    def test_delays_have_full_jitter_and_respect_retry_after(self) -> None:
        """Guards against a thundering herd after many requests fail at once."""
        waits = set()
        for seed in range(50):
            run = RequestRetries(
                CompletionRetry(), RetryBudgets(), ("u",), 100.0, random.Random(seed)
            )
            action = run.after(a_failure(retry_after_s=3.0), 0.0)
            self.assertGreaterEqual(action.delay_s, 3.0)
            self.assertLessEqual(action.delay_s, 3.0 + MAX_DELAY_S)
            waits.add(round(action.delay_s, 4))
        self.assertGreater(len(waits), 40)

    def test_no_retry_after_the_deadline(self) -> None:
        run = a_run(deadline=10.0)
        action = run.after(a_failure(retry_after_s=6.0), 5.0)
        self.assertIsInstance(action, GiveUp)

    def test_non_repeatable_call_is_not_retried_once_it_may_have_run(self) -> None:
        for kind in FailureKind:
            failure = a_failure(kind)
            action = a_run(NonRepeatableCallRetry()).after(failure, 0.0)
            self.assertEqual(isinstance(action, Retry), not failure.may_have_run)
            if isinstance(action, GiveUp):
                self.assertIs(action.code, ResultCode.OUTCOME_UNKNOWN)

    def test_not_run_is_reported_only_when_it_is_certain(self) -> None:
        for policy in (CompletionRetry, RepeatableCallRetry, NonRepeatableCallRetry):
            for kind in FailureKind:
                run = a_run(policy())
                action = run.after(a_failure(kind), 0.0)
                while isinstance(action, Retry):
                    action = run.after(a_failure(FailureKind.REFUSED), 0.0)
                reports_not_run = RESULT_INFO[action.code].ran is RunStatus.NO
                self.assertEqual(reports_not_run, not a_failure(kind).may_have_run)

    def test_stream_that_makes_progress_has_no_attempt_limit(self) -> None:
        run = a_run()
        for _ in range(8):
            self.assertIsInstance(run.after(a_failure(), 0.0, True), Retry)


if __name__ == "__main__":
    unittest.main()
