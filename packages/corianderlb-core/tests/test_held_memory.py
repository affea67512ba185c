"""Bytes held for callers: some hold much or read slowly, others must not pay for it."""

from __future__ import annotations

import random
import unittest

from corianderlb_core.held_memory import INSTANCE_FACTOR, SLOW_AFTER_S, HeldMemory


class HeldMemoryTest(unittest.TestCase):
    def test_one_account_leaves_room_for_others(self) -> None:
        """Guards against uploads of one account that make a router refuse the rest."""
        memory = HeldMemory(48_000_000)
        greedy = [memory.open("greedy") for _ in range(100)]
        n_taken = sum(memory.grow(holding, 1_000_000) for holding in greedy)
        self.assertEqual(n_taken, 24)
        for number in range(200):
            small = memory.open(f"small-{number % 10}")
            self.assertTrue(memory.grow(small, 72_000))
        self.assertLessEqual(memory.n_bytes, memory.limit)

    def test_never_over_the_limit(self) -> None:
        rng, memory = random.Random(1), HeldMemory(10_000)
        held = []
        for _ in range(5000):
            holding = memory.open(rng.choice("abcdefgh"))
            if memory.grow(holding, rng.randrange(1, 3000)):
                held.append(holding)
            self.assertLessEqual(memory.n_bytes, memory.limit)
            if held and rng.random() < 0.5:
                done = held.pop(rng.randrange(len(held)))
                memory.close(done)
                memory.close(done)
        for holding in held:
            memory.close(holding)
        self.assertEqual(memory.n_bytes, 0)

    def test_slow_callers_of_the_same_account_are_cut(self) -> None:
        """Guards against callers that read, or others, cut for those that don't."""
        memory = HeldMemory(100)
        other = memory.open("other")
        memory.grow(other, 16)
        other.unread_since = 0.0
        slow, slower, reading = (memory.open("one") for _ in range(3))
        for holding, since in ((slow, 5.0), (slower, 3.0), (reading, 9.8)):
            self.assertTrue(memory.grow(holding, 13))
            holding.unread_since = since
        asking = memory.open("one")
        now = 9.8 + SLOW_AFTER_S / 2
        self.assertEqual(memory.slow_ones(asking, 2, now), [])
        self.assertEqual(memory.slow_ones(asking, 10, now), [slower])
        self.assertEqual(memory.slow_ones(asking, 25, now), [slower, slow])
        self.assertEqual(memory.slow_ones(asking, 99, now), [])
        self.assertFalse(memory.grow(asking, 10))
        memory.close(slower)
        self.assertTrue(memory.grow(asking, 10))

    def test_answers_of_failing_instances_leave_room_for_accounts(self) -> None:
        """Guards against an instance whose answers fill the room of all calls."""
        memory = HeldMemory(1_000_000)
        for name in ("one", "two"):
            arriving = [memory.open(name, INSTANCE_FACTOR) for _ in range(100)]
            while any(memory.grow(holding, 1000) for holding in arriving):
                pass
        self.assertLessEqual(memory.n_held("one"), 334_000)
        self.assertLessEqual(memory.n_bytes, 556_000)
        body = memory.open("account")
        self.assertTrue(memory.grow(body, 200_000))

    def test_room_of_a_holding(self) -> None:
        memory = HeldMemory(900)
        first = memory.open("one", INSTANCE_FACTOR)
        self.assertEqual(memory.n_room(first), 300)
        self.assertTrue(memory.grow(first, 300))
        self.assertEqual(memory.n_room(first), 0)
        self.assertFalse(memory.grow(first, 1))
        self.assertTrue(memory.grow(first, -100))
        self.assertTrue(memory.grow(memory.open("one", INSTANCE_FACTOR), 100))
        self.assertIs(memory.largest("one"), first)
        self.assertIsNone(memory.largest("two"))

    def test_no_limit(self) -> None:
        memory = HeldMemory()
        self.assertTrue(memory.grow(memory.open(""), 1 << 40))

    def test_closed_holding_takes_nothing(self) -> None:
        memory = HeldMemory(100)
        holding = memory.open("one")
        memory.close(holding)
        self.assertFalse(memory.grow(holding, 1))
        self.assertEqual(memory.n_bytes, 0)


if __name__ == "__main__":
    unittest.main()
