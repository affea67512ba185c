from __future__ import annotations

import unittest

from corianderlb_core.quarantine import DEFAULT_QUARANTINE_S, MAX_SUSPECTS, SuspectTable


class SuspectTableTest(unittest.TestCase):
    def test_crash_reported_by_several_routers_counts_once(self) -> None:
        table = SuspectTable()
        for _ in range(3):
            table.record_crash("e0@1", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", 0.0), 0.0)
        self.assertTrue(table.is_suspect(b"a", 0.0))
        table.record_crash("e1@1", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", 0.0), DEFAULT_QUARANTINE_S)

    def test_crash_reported_with_and_without_epoch_counts_once(self) -> None:
        """Guards against a quarantine of harmless requests after a single crash."""
        table = SuspectTable()
        table.record_crash("e0@0", [b"a"], 0.0)
        table.record_crash("e0@17", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", 0.0), 0.0)

    def test_success_clears_a_suspect_but_not_a_quarantined_request(self) -> None:
        table = SuspectTable()
        table.record_crash("e0@1", [b"a", b"b"], 0.0)
        self.assertTrue(table.record_success(b"b", 0.0))
        table.record_crash("e1@1", [b"a"], 0.0)
        self.assertFalse(table.record_success(b"a", 0.0))
        self.assertGreater(table.refused_for(b"a", 1.0), 0.0)

    def test_one_crash_after_the_quarantine_renews_it(self) -> None:
        table = SuspectTable()
        table.record_crash("e0@1", [b"a"], 0.0)
        table.record_crash("e1@1", [b"a"], 0.0)
        self.assertEqual(table.refused_for(b"a", DEFAULT_QUARANTINE_S + 1), 0.0)
        self.assertTrue(table.is_suspect(b"a", DEFAULT_QUARANTINE_S + 1))
        table.record_crash("e2@1", [b"a"], DEFAULT_QUARANTINE_S + 2)
        self.assertGreater(table.refused_for(b"a", DEFAULT_QUARANTINE_S + 2), 0.0)

    def test_late_report_does_not_restore_a_cleared_suspect(self) -> None:
        """Guards against reports that circulate between the routers forever."""
        table = SuspectTable()
        table.record_crash("e0@1", [b"a"], 0.0)
        table.record_success(b"a", 0.0)
        self.assertEqual(table.record_crash("e0@1", [b"a"], 0.0), ())
        self.assertFalse(table.is_suspect(b"a", 0.0))

    def test_table_size_is_bounded(self) -> None:
        table = SuspectTable()
        digests = [n.to_bytes(4, "big") for n in range(MAX_SUSPECTS + 50)]
        table.record_crash("e0@1", digests, 0.0)
        self.assertEqual(len(table.entries(0.0)), MAX_SUSPECTS)


if __name__ == "__main__":
    unittest.main()
