from __future__ import annotations

import unittest

from corianderlb_core.quarantine import HOLD_S, MAX_SUSPECTS, SuspectTable


class SuspectTableTest(unittest.TestCase):
    def test_a_crash_counts_once_however_many_report_it(self) -> None:
        table = SuspectTable()
        for _ in range(3):
            table.record_crash("e0@1", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", 0.0), 0.0)
        self.assertTrue(table.is_suspect(b"a", 0.0))
        table.record_crash("e1@1", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", 0.0), HOLD_S)

    def test_a_router_that_knew_no_epoch_does_not_make_two_crashes_of_one(self) -> None:
        """Two routers report the same crash, and one had not heard from the instance
        before. Its innocent requests would be refused as if they had crashed two."""
        table = SuspectTable()
        table.record_crash("e0@0", [b"a"], 0.0)
        table.record_crash("e0@17", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", 0.0), 0.0)

    def test_success_clears_a_suspect_but_not_a_convict(self) -> None:
        table = SuspectTable()
        table.record_crash("e0@1", [b"a", b"b"], 0.0)
        self.assertTrue(table.record_success(b"b", 0.0))
        table.record_crash("e1@1", [b"a"], 0.0)
        self.assertFalse(table.record_success(b"a", 0.0))
        self.assertGreater(table.refused_for(b"a", 1.0), 0.0)

    def test_after_the_hold_one_crash_convicts_again(self) -> None:
        table = SuspectTable()
        table.record_crash("e0@1", [b"a"], 0.0)
        table.record_crash("e1@1", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", HOLD_S + 1), 0.0)
        self.assertTrue(table.is_suspect(b"a", HOLD_S + 1))
        table.record_crash("e2@1", [b"a"], HOLD_S + 2)
        self.assertGreater(table.refused_for(b"a", HOLD_S + 2), 0.0)

    def test_a_late_report_does_not_revive_a_cleared_suspect(self) -> None:
        """Reports travel from router to router, and one can arrive after the suspect
        was cleared. Counted anew, it would send the two messages round for ever."""
        table = SuspectTable()
        table.record_crash("e0@1", [b"a"], 0.0)
        table.record_success(b"a", 0.0)
        self.assertEqual(table.record_crash("e0@1", [b"a"], 0.0), ())
        self.assertFalse(table.is_suspect(b"a", 0.0))

    def test_the_table_stays_bounded(self) -> None:
        table = SuspectTable()
        digests = [n.to_bytes(4, "big") for n in range(MAX_SUSPECTS + 50)]
        table.record_crash("e0@1", digests, 0.0)
        self.assertEqual(len(table.entries(0.0)), MAX_SUSPECTS)


if __name__ == "__main__":
    unittest.main()
