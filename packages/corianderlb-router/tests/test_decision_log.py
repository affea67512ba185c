"""Test that the decision log covers placements, refusals and replays."""

from __future__ import annotations

from corianderlb_core import header
from corianderlb_core.identity import DecisionId
from corianderlb_core.result import ResultCode
from corianderlb_core.status import DecisionReport
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakeCaller, FakeInstance, FakeRouter, with_router


def report_of(router: FakeRouter, caller: FakeCaller) -> DecisionReport:
    """Return the decision of an answer."""
    decision_id = DecisionId(caller.answer_headers[header.DECISION_ID])
    report = router.parts.decisions.get(decision_id)
    assert report is not None, "the decision of the answer is not in the log"
    return report


class DecisionLogTest(TrioTestCase):
    async def test_a_placement_names_entries_owners_and_versions(self) -> None:
        async def check(router: FakeRouter) -> None:
            report = report_of(router, await router.ask())
            rested = {
                (ref.entry, ref.owner, ref.changed_in) for ref in report.rested_on
            }
            self.assertIn(("model/ember-llm", "model-team", 1), rested)
            self.assertIn(("account/northwest-charcoal", "account-team", 1), rested)
            self.assertEqual(report.code, ResultCode.OK)
            self.assertEqual(len(report.attempts), 1)

        await with_router(check, FakeInstance("e0"))

    async def test_a_refusal_is_a_decision_too(self) -> None:
        """Guards against refusals without a decision, which cannot be audited."""

        async def check(router: FakeRouter) -> None:
            caller = await router.ask()
            self.assertEqual(caller.error["code"], ResultCode.NO_UPSTREAM)
            report = report_of(router, caller)
            self.assertEqual(report.code, ResultCode.NO_UPSTREAM)
            self.assertEqual(report.candidates, ())
            self.assertTrue(report.rested_on)

        await with_router(check)

    async def test_a_refusal_before_the_account_is_known(self) -> None:
        """Guards against untraceable refusals of unknown callers, and against these
        evicting the decisions of client accounts."""

        async def check(router: FakeRouter) -> None:
            served = report_of(router, await router.ask())
            for _ in range(300):
                caller = await router.ask(FakeCaller(authorization="Bearer wrong"))
            report = report_of(router, caller)
            self.assertEqual(report.code, ResultCode.BAD_CREDENTIALS)
            self.assertEqual(report.target, "/v1/completions")
            kept = router.parts.decisions.get(DecisionId(served.decision_id))
            self.assertEqual(kept, served)

        await with_router(check, FakeInstance("e0"))

    async def test_a_replayed_answer_is_a_decision_too(self) -> None:
        async def check(router: FakeRouter) -> None:
            for _ in range(2):
                call = FakeCaller("/services/sign-off/7", b"{}", idempotency_key="k")
                caller = await router.ask(call)
            report = report_of(router, caller)
            self.assertEqual(report.attempts, ())
            self.assertEqual(report.code, ResultCode.OK)

        await with_router(check, FakeInstance("s0"))
