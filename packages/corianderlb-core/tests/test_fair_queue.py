"""Test the order of the fair queue, its bounded waits, and the gate's refusals."""

from __future__ import annotations

import random
import unittest

from corianderlb_core.admission import Gate, GateTerms
from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.fair_queue import FairQueue
from corianderlb_core.identity import AccountId
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode
from corianderlb_standins.builder import some_facts

LARGE = AccountId("large")
SMALL = AccountId("small")
URGENT, STANDARD, DEFERRABLE = ServiceClass


def a_queue() -> FairQueue[str]:
    return FairQueue({STANDARD: 2.0, DEFERRABLE: 10.0}, overdue_every=4)


class FairQueueTest(unittest.TestCase):
    def test_large_account_does_not_starve_a_small_one(self) -> None:
        """Guards against a small account that waits behind another's backlog."""
        queue = a_queue()
        for n in range(1000):
            queue.push(f"large {n}", LARGE, STANDARD, 0.0)
        for n in range(2):
            queue.push(f"small {n}", SMALL, STANDARD, 0.0)
        first = [queue.pop(0.0).account for _ in range(4)]
        self.assertEqual(first.count(SMALL), 2)

    def test_turns_follow_weights(self) -> None:
        queue = a_queue()
        for n in range(300):
            queue.push(str(n), LARGE, STANDARD, 0.0, weight=3.0)
            queue.push(str(n), SMALL, STANDARD, 0.0, weight=1.0)
        first = [queue.pop(0.0).account for _ in range(100)]
        self.assertAlmostEqual(first.count(LARGE), 75, delta=1)

    def test_urgent_goes_first(self) -> None:
        queue = a_queue()
        for service_class in (DEFERRABLE, STANDARD, URGENT):
            queue.push(service_class.value, SMALL, service_class, 0.0)
        order = [queue.pop(1.0).item for _ in range(3)]
        self.assertEqual(order, ["urgent", "standard", "deferrable"])

    def test_deferrable_requests_are_not_starved(self) -> None:
        """Guards against unbounded waits while more urgent classes are overloaded."""
        queue = a_queue()
        waits = []
        for turn in range(2000):
            now = turn * 0.1
            queue.push("check", LARGE, URGENT, now)
            queue.push("check", LARGE, STANDARD, now)
            if turn % 100 == 0:
                queue.push("review", SMALL, DEFERRABLE, now)
            ticket = queue.pop(now)
            if ticket.item == "review":
                waits.append(now - ticket.queued_at)
        self.assertGreater(len(waits), 15)
        # Two classes may be overdue, and no request of its class is ahead.
        self.assertLessEqual(max(waits), 10.0 + 4 * 2 * 0.1)

    def test_removed_ticket_is_not_served(self) -> None:
        rng = random.Random(3)
        queue = a_queue()
        tickets = [queue.push(str(n), LARGE, STANDARD, 0.0) for n in range(50)]
        gone = rng.sample(tickets, 20)
        for ticket in gone * 2:
            queue.remove(ticket)
        served = [queue.pop(0.0) for _ in range(len(queue))]
        self.assertEqual(len(served), 30)
        self.assertFalse(set(map(id, served)) & set(map(id, gone)))
        self.assertIsNone(queue.pop(0.0))


class GateTest(unittest.TestCase):
    def a_full_gate(self, n_waiting: int = 0) -> Gate[str]:
        gate: Gate[str] = Gate(2, GateTerms(max_waiting=10), hold_s=1.0)
        for n in range(2 + n_waiting):
            gate.offer(str(n), some_facts(), 1.0, 0.0, 0.0)
            gate.admit_queued(0.0)
        return gate

    def test_unreachable_deadline_is_refused_on_arrival(self) -> None:
        gate = self.a_full_gate(n_waiting=4)
        late = some_facts(deadline=1.0)
        refusal = gate.offer("late", late, 1.0, 0.5, 0.0)
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.code, ResultCode.DEADLINE_UNREACHABLE)
        self.assertEqual(len(gate.queue), 4)
        # Five turns at two slots a second take 2.5 s, and the request itself 0.5 s.
        self.assertAlmostEqual(refusal.retry_after_s, 2.5)

    def test_request_is_accepted_after_retry_after(self) -> None:
        """Guards against a second refusal of a caller that respects Retry-After."""
        gate = self.a_full_gate(n_waiting=8)
        refusal = gate.offer("x", some_facts(deadline=2.0), 1.0, 0.5, 0.0)
        assert isinstance(refusal, Refusal)
        for step in range(int(refusal.retry_after_s * 2)):
            gate.release(1.0)
            gate.admit_queued(step / 2)
        back = refusal.retry_after_s
        again = some_facts(deadline=back + 2.0)
        self.assertNotIsInstance(gate.offer("x", again, 1.0, 0.5, back), Refusal)

    def test_queue_length_is_bounded(self) -> None:
        gate = self.a_full_gate(n_waiting=10)
        refusal = gate.offer("x", some_facts(), 1.0, 0.0, 0.0)
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.code, ResultCode.QUEUE_FULL)
        self.assertEqual(len(gate.queue), 10)

    def test_urgent_request_is_not_refused_for_queued_deferrable_ones(self) -> None:
        gate: Gate[str] = Gate(2, GateTerms(max_waiting=100), hold_s=1.0)
        for n in range(42):
            gate.offer(str(n), some_facts(service_class=DEFERRABLE), 1.0, 0.0, 0.0)
            gate.admit_queued(0.0)
        check = some_facts(service_class=URGENT, deadline=1.0)
        self.assertNotIsInstance(gate.offer("check", check, 1.0, 0.1, 0.0), Refusal)
