"""Tests of the directory of upstream instances."""

from __future__ import annotations

import unittest

from corianderlb_core.identity import InstanceRecord, Presence, Role
from corianderlb_core.load import LoadReport
from corianderlb_core.message import UpstreamLeaving
from corianderlb_router.store import InstanceList
from corianderlb_router.upstream_directory import PlatformDirectory


def a_record(name: str, presence: Presence = Presence.LIVE) -> InstanceRecord:
    """Build an instance record of the upstream ember-llm."""
    return InstanceRecord(
        name, Role.UPSTREAM, "z1", "pnw", f"127.0.0.1:{name[1:]}", presence, "ember-llm"
    )


def a_list(revision: int, *records: InstanceRecord) -> InstanceList:
    """Build an instance list of the platform."""
    return InstanceList(revision, records)


class TestUpstreamDirectory(unittest.TestCase):
    """State belongs to one incarnation, and a leaving one stays unusable."""

    def setUp(self):
        self.now = 10.0
        self.announced = []
        self.ended = []
        self.directory = PlatformDirectory(
            self.announced.append, self.ended.append, clock=lambda: self.now
        )
        self.directory.apply_instance_list(a_list(5, a_record("e1"), a_record("e2")))

    def usable(self) -> list[str]:
        """Return the names of the usable instances."""
        found = self.directory.usable("ember-llm").instances
        return [load.incarnation.instance for load in found]

    def test_older_list_is_refused(self):
        """A list from a lagging replica must not bring back a removed instance."""
        self.directory.apply_instance_list(a_list(6, a_record("e2")))
        self.assertFalse(self.directory.apply_instance_list(a_list(5, a_record("e1"))))
        self.assertEqual(self.usable(), ["e2"])

    def test_leaving_incarnation_stays_leaving(self):
        """An engine reports that it is leaving while the list still has it as live.

        Requests sent there would be aborted when it stops.
        """
        self.directory.apply_report("e1", LoadReport(epoch=3, leaving=True), 9.5)
        self.directory.apply_instance_list(a_list(9, a_record("e1"), a_record("e2")))
        self.assertEqual(self.usable(), ["e2"])
        self.assertEqual(self.announced, [UpstreamLeaving("e1", 3)])
        self.directory.observe_epoch("e1", 4)
        self.assertEqual(self.usable(), ["e1", "e2"])

    def test_new_incarnation_discards_old_state(self):
        """An engine restarts with an empty cache under the same address.

        The old report describes a queue and a cache that no longer exist.
        """
        self.directory.apply_report("e1", LoadReport(epoch=3, n_running=7), 9.5)
        old = self.directory.usable("ember-llm").by_name["e1"]
        self.directory.observe_epoch("e1", 4)
        self.assertIsNone(self.directory.find("e1").report)
        self.assertIn(old.incarnation, self.ended)
        self.directory.apply_report("e1", LoadReport(epoch=3, n_running=7), 9.9)
        self.assertIsNone(self.directory.find("e1").report)
        self.assertIsNone(self.directory.load_of(old.incarnation))

    def test_listed_as_leaving(self):
        """An incarnation listed as leaving stays unusable when listed as live again."""
        self.directory.observe_epoch("e1", 3)
        self.directory.apply_instance_list(a_list(6, a_record("e1", Presence.LEAVING)))
        self.directory.apply_instance_list(a_list(7, a_record("e1")))
        self.assertEqual(self.usable(), [])

    def test_resting_instance_is_not_usable_until_its_rest_ends(self):
        self.directory.record_rest("e1", 3.0)
        self.assertEqual(self.usable(), ["e2"])
        self.assertEqual(self.directory.rest_left_s("ember-llm"), 3.0)
        self.now = 12.9
        self.assertEqual(self.usable(), ["e2"])
        self.now = 13.0
        self.assertEqual(self.usable(), ["e1", "e2"])

    def test_rest_is_of_one_incarnation(self):
        self.directory.observe_epoch("e1", 3)
        self.directory.record_rest("e1", 3.0)
        self.directory.observe_epoch("e1", 4)
        self.assertEqual(self.usable(), ["e1", "e2"])
