from __future__ import annotations

import unittest

from corianderlb_core.message import SuspectPart
from corianderlb_core.quarantine import (
    DEFAULT_QUARANTINE_S,
    MAX_HOLD_S,
    MAX_SUSPECTS,
    PART_CRASH_LIMIT,
    PART_SETTLE_S,
    PROBE_S,
    PROVEN_S,
    PartRequest,
    SuspectTable,
    part_digest,
    suspect_parts,
)


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

    def test_digest_with_a_complete_answer_is_no_suspect(self) -> None:
        """Guards against refusing sound requests whose bodies equal a bad one's."""
        table = SuspectTable()
        table.record_success(b"a", 0.0)
        for name in ("e0", "e1"):
            self.assertEqual(table.record_crash(f"{name}@1", [b"a"], 1.0), ())
        self.assertEqual(table.refused_for(b"a", 1.0), 0.0)
        for name in ("e0", "e1"):
            table.record_crash(f"{name}@2", [b"a"], PROVEN_S + 1.0)
        self.assertGreater(table.refused_for(b"a", PROVEN_S + 1.0), 0.0)


def a_part(digest: bytes, n_requests: int = 1, sent_ms: int = 100, depth: int = 0):
    """Build the evidence of one router against a part."""
    return SuspectPart(digest, n_requests, sent_ms, depth)


def crash(table: SuspectTable, n_crashes: int, *parts: SuspectPart, at: float = 0.0):
    """Record crashes, a second apart, with the same parts in flight at each.

    Return the time at which all reports have arrived.
    """
    for number in range(n_crashes):
        table.record_part_crash(f"e{number}@{at}", "r1", parts, at + number)
    return at + n_crashes - 1 + PART_SETTLE_S


class SuspectPartTest(unittest.TestCase):
    def test_part_at_every_crash_is_refused(self) -> None:
        table = SuspectTable(60.0)
        now = crash(table, PART_CRASH_LIMIT, a_part(b"bad"))
        self.assertGreater(table.parts_refused_for([b"other", b"bad"], now), 50.0)
        self.assertEqual(table.parts_refused_for([b"other"], now), 0.0)

    def test_fewer_crashes_refuse_nothing(self) -> None:
        table = SuspectTable()
        now = crash(table, PART_CRASH_LIMIT - 1, a_part(b"bad"))
        self.assertEqual(table.parts_refused_for([b"bad"], now), 0.0)

    def test_complete_answer_clears_a_part(self) -> None:
        """Guards against the first part of most prompts, which is at every crash."""
        table = SuspectTable()
        crash(table, PART_CRASH_LIMIT - 1, a_part(b"first"))
        self.assertTrue(table.clear(b"first", 3.0))
        now = crash(table, PART_CRASH_LIMIT - 1, a_part(b"first"), at=10.0)
        self.assertEqual(table.parts_refused_for([b"first"], now), 0.0)

    def test_part_with_the_fewest_requests_is_the_cause(self) -> None:
        """Guards against refusing the first part where no answer completes."""
        table = SuspectTable()
        parts = (a_part(b"first", n_requests=5), a_part(b"bad", depth=1))
        now = crash(table, PART_CRASH_LIMIT, *parts)
        self.assertEqual(table.parts_refused_for([b"first", b"sound"], now), 0.0)
        self.assertGreater(table.parts_refused_for([b"first", b"bad"], now), 0.0)
        self.assertEqual(table.parts_refused_for([b"first", b"sound"], now), 0.0)

    def test_reports_of_several_routers_are_one_crash(self) -> None:
        """Guards against a sound part whose routers each report the crash."""
        table = SuspectTable()
        for number in range(PART_CRASH_LIMIT):
            for router in ("r1", "r2"):
                first = a_part(b"first", n_requests=1)
                parts = (first, a_part(b"bad", depth=1)) if router == "r1" else (first,)
                crash_id = f"e{number}@1"
                table.record_part_crash(crash_id, router, parts, float(number))
        now = PART_CRASH_LIMIT - 1 + PART_SETTLE_S
        self.assertEqual(table.parts_refused_for([b"first"], now), 0.0)
        self.assertGreater(table.parts_refused_for([b"first", b"bad"], now), 0.0)

    def test_requests_of_all_reports_count(self) -> None:
        """Guards against blaming a part whose requests are spread over the routers."""
        table = SuspectTable()
        for number in range(PART_CRASH_LIMIT):
            for router in ("r1", "r2", "r3"):
                parts = (a_part(b"shared", depth=1), a_part(b"first", n_requests=2))
                if router == "r1":
                    parts = (*parts, a_part(b"bad"))
                table.record_part_crash(f"e{number}@1", router, parts, float(number))
        now = PART_CRASH_LIMIT - 1 + PART_SETTLE_S
        self.assertEqual(table.parts_refused_for([b"first", b"shared"], now), 0.0)
        self.assertGreater(table.parts_refused_for([b"first", b"bad"], now), 0.0)

    def test_the_deeper_of_two_parts_that_always_come_together(self) -> None:
        table = SuspectTable()
        parts = (a_part(b"first"), a_part(b"bad", depth=1))
        now = crash(table, PART_CRASH_LIMIT, *parts)
        self.assertEqual(table.parts_refused_for([b"first", b"sound"], now), 0.0)
        self.assertGreater(table.parts_refused_for([b"bad"], now), 0.0)

    def test_instances_that_end_together_are_one_event(self) -> None:
        """Guards against blaming a part for the loss of several instances at once."""
        table = SuspectTable()
        for number in range(8):
            at = 0.05 * number
            parts = (a_part(b"a", sent_ms=1000),)
            table.record_part_crash(f"e{number}@1", "r1", parts, at)
        self.assertEqual(table.parts_refused_for([b"a"], 2.0), 0.0)

    def test_quarantine_ends_with_a_probe(self) -> None:
        table = SuspectTable(60.0)
        now = crash(table, PART_CRASH_LIMIT, a_part(b"bad"))
        self.assertGreater(table.parts_refused_for([b"bad"], now), 0.0)
        self.assertFalse(table.begin_probe([b"bad"], now))
        later = now + 61.0
        self.assertEqual(table.parts_refused_for([b"bad"], later), 0.0)
        self.assertEqual(table.to_probe([b"bad", b"other"]), (b"bad",))
        self.assertTrue(table.begin_probe([b"bad"], later))
        self.assertFalse(table.begin_probe([b"bad"], later + 1.0))
        self.assertTrue(table.begin_probe([b"bad"], later + PROBE_S))
        table.clear(b"bad", later + 1.0)
        self.assertEqual(table.to_probe([b"bad"]), ())

    def test_probe_that_crashes_renews_the_quarantine(self) -> None:
        table = SuspectTable(60.0)
        now = crash(table, PART_CRASH_LIMIT, a_part(b"bad"))
        table.parts_refused_for([b"bad"], now)
        hold_s = 60.0
        for number in range(8):
            now += hold_s + 5.0
            self.assertEqual(table.parts_refused_for([b"bad"], now), 0.0)
            table.record_part_crash(f"x{number}@1", "r1", (a_part(b"bad"),), now)
            hold_s = min(2 * hold_s, MAX_HOLD_S)
            now += PART_SETTLE_S
            refused_s = table.parts_refused_for([b"bad"], now)
            self.assertAlmostEqual(refused_s, hold_s - PART_SETTLE_S, delta=0.1)

    def test_crashes_during_the_quarantine_do_not_prolong_it(self) -> None:
        """Guards against a part that is never probed again."""
        table = SuspectTable(60.0)
        now = crash(table, PART_CRASH_LIMIT, a_part(b"bad"))
        table.parts_refused_for([b"bad"], now)
        crash(table, 6, a_part(b"bad"), at=now + 0.1)
        self.assertEqual(table.parts_refused_for([b"bad"], now + 61.0), 0.0)

    def test_parts_share_the_bound_of_the_table(self) -> None:
        table = SuspectTable()
        parts = [a_part(n.to_bytes(4, "big")) for n in range(MAX_SUSPECTS + 50)]
        table.record_part_crash("e0@1", "r1", parts, 0.0)
        self.assertEqual(len(table.entries(0.0)), MAX_SUSPECTS)


class EvidenceTest(unittest.TestCase):
    def test_requests_that_have_run_for_a_while_are_no_evidence(self) -> None:
        """Guards against blaming long answers for the crash of their instance."""
        long_run = PartRequest((b"a", b"b"), sent_at=0.0, begun_at=1.0)
        just_begun = PartRequest((b"a", b"c"), sent_at=4.0, begun_at=4.8)
        waiting = PartRequest((b"a", b"c"), sent_at=4.5)
        found = suspect_parts([long_run, just_begun, waiting], 5.0)
        self.assertEqual(
            found,
            (a_part(b"a", 2, sent_ms=500), a_part(b"c", 2, sent_ms=500, depth=1)),
        )

    def test_parts_of_two_models_differ(self) -> None:
        self.assertNotEqual(part_digest("m", "a"), part_digest("n", "a"))
        self.assertNotEqual(part_digest("m", "na"), part_digest("mn", "a"))


if __name__ == "__main__":
    unittest.main()
