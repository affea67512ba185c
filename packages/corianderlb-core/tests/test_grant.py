"""Test that the limits hold when grants are lost, delayed or duplicated."""

from __future__ import annotations

import unittest

from corianderlb_core.allowance import Allowance
from corianderlb_core.catalogue import Limits
from corianderlb_core.grant import GrantTerms, PrimaryLedger
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import GrantRequest
from corianderlb_core.result import ResultCode

TERMS = GrantTerms(valid_s=3.0, burst_s=1.0, answer_s=0.5)


def a_request(name: str, number: int = 1, **fields: float) -> GrantRequest:
    defaults = {"requests": 0.0, "tokens": 0.0, "concurrent": 0, "used_concurrent": 0}
    return GrantRequest(
        "account/shop", InstanceId(name), number=number, **{**defaults, **fields}
    )


class HomeLedgerTest(unittest.TestCase):
    def test_withdrawn_slots_stay_reserved_when_a_grant_is_lost(self) -> None:
        """Guards against exceeding the limit with slots that are still in use."""
        ledger = PrimaryLedger(Limits(concurrent=10), TERMS, 0.0)
        self.assertEqual(
            ledger.grant(a_request("r1", concurrent=10), 0.0).concurrent, 10
        )
        self.assertEqual(
            ledger.grant(a_request("r2", concurrent=10), 0.1).concurrent, 0
        )
        taken = ledger.grant(a_request("r1", 2, concurrent=10), 1.0)
        self.assertEqual(taken.concurrent, 5)
        second = ledger.grant(a_request("r2", 2, concurrent=10), 1.1)
        self.assertEqual(second.concurrent, 0)
        second = ledger.grant(a_request("r2", 3, concurrent=10), 3.1)
        self.assertEqual(second.concurrent, 5)

    def test_returned_slots_are_free_immediately(self) -> None:
        ledger = PrimaryLedger(Limits(concurrent=10), TERMS, 0.0)
        ledger.grant(a_request("r1", concurrent=10), 0.0)
        ledger.grant(a_request("r1", 2, concurrent=1, used_concurrent=1), 0.5)
        second = ledger.grant(a_request("r2", concurrent=9), 0.6)
        self.assertEqual(second.concurrent, 9)

    def test_running_requests_count_whatever_the_lease(self) -> None:
        ledger = PrimaryLedger(Limits(concurrent=10), TERMS, 0.0)
        ledger.grant(a_request("r1", concurrent=10, used_concurrent=8), 0.0)
        second = ledger.grant(a_request("r2", concurrent=10), 1.0)
        self.assertLessEqual(second.concurrent, 2)

    def test_first_requester_does_not_starve_the_others(self) -> None:
        ledger = PrimaryLedger(Limits(requests_per_s=100.0), TERMS, 0.0)
        ledger.grant(a_request("r1", requests=1), 0.0)
        first = ledger.grant(a_request("r2", requests=1000), 0.0)
        second = ledger.grant(a_request("r3", requests=1000), 0.0)
        self.assertGreater(second.requests, 20)
        self.assertLessEqual(first.requests + second.requests, 100)


class AllowanceTest(unittest.TestCase):
    def an_allowance(self) -> tuple[Allowance, PrimaryLedger]:
        limits = Limits(requests_per_s=10.0, concurrent=4)
        held = Allowance("account/shop", limits, TERMS, InstanceId("r1"))
        return held, PrimaryLedger(limits, TERMS, 0.0)

    def test_expired_grant_is_ignored(self) -> None:
        """Guards against slots that are used by two routers after a delayed grant."""
        held, ledger = self.an_allowance()
        held.reserve(0, 0.0)
        grant = ledger.grant(held.request(0.0), 0.0)
        held.take_grant(grant, 3.5)
        self.assertIsNotNone(held.reserve(0, 3.5))

    def test_duplicate_grant_is_ignored(self) -> None:
        held, ledger = self.an_allowance()
        held.reserve(0, 0.0)
        grant = ledger.grant(held.request(0.0), 0.0)
        held.take_grant(grant, 0.1)
        held.take_grant(grant, 0.1)
        self.assertIsNone(held.reserve(0, 0.1))
        self.assertEqual(held.reserve(0, 0.1), ResultCode.RATE_LIMITED)

    def test_even_shares_add_up_to_the_limit(self) -> None:
        routers = [InstanceId(f"r{n}") for n in range(4)]
        n_places = 0
        for router in routers:
            held = Allowance("account/shop", Limits(concurrent=6), TERMS, router)
            held.reserve(0, 0.0)
            held.request(0.0)
            held.check_primary(routers, 1.0)
            while held.reserve(0, 1.0) is None:
                n_places += 1
        self.assertEqual(n_places, 6)
