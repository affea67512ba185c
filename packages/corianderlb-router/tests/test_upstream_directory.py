"""Test what the router takes for the live instances of the upstreams."""

from __future__ import annotations

import unittest

from corianderlb_core.identity import InstanceRecord, Presence, Role
from corianderlb_core.load import LoadReport
from corianderlb_core.message import UpstreamLeaving
from corianderlb_router.store import InstanceList
from corianderlb_router.upstream_directory import PlatformDirectory


def a_record(name: str, presence: Presence = Presence.LIVE) -> InstanceRecord:
    """Build a line of the platform's list for a runner of ember-llm."""
    return InstanceRecord(
        name, Role.UPSTREAM, "z1", "pnw", f"127.0.0.1:{name[1:]}", presence, "ember-llm"
    )


def a_list(revision: int, *records: InstanceRecord) -> InstanceList:
    """Build the platform's list."""
    return InstanceList(revision, records)


class TestUpstreamDirectory(unittest.TestCase):
    """Knowledge belongs to one life of an instance, and leaving is for good."""

    def setUp(self):
        self.told = []
        self.ended = []
        self.directory = PlatformDirectory(
            self.told.append, self.ended.append, clock=lambda: 10.0
        )
        self.directory.apply_instance_list(a_list(5, a_record("e1"), a_record("e2")))

    def usable(self) -> list[str]:
        """Return the names of the instances that may get new work."""
        found = self.directory.usable("ember-llm").instances
        return [load.incarnation.instance for load in found]

    def test_older_list_is_refused(self):
        """A lagging replica of the platform hands out a list from before a removal.

        If it were taken, requests would go to an instance that is gone.
        """
        self.directory.apply_instance_list(a_list(6, a_record("e2")))
        self.assertFalse(self.directory.apply_instance_list(a_list(5, a_record("e1"))))
        self.assertEqual(self.usable(), ["e2"])

    def test_leaving_life_is_not_revived_by_a_list(self):
        """An engine says that it leaves while the list, which lags, has it as live.

        New requests sent there would be cut when it goes.
        """
        self.directory.apply_report("e1", LoadReport(epoch=3, leaving=True), 9.5)
        self.directory.apply_instance_list(a_list(9, a_record("e1"), a_record("e2")))
        self.assertEqual(self.usable(), ["e2"])
        self.assertEqual(self.told, [UpstreamLeaving("e1", 3)])
        self.directory.observe_epoch("e1", 4)
        self.assertEqual(self.usable(), ["e1", "e2"])

    def test_new_life_drops_what_was_known(self):
        """An engine crashes and answers again, empty, under the same address.

        With the old report still in use it would get work for a queue and a cache
        that no longer exist.
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
        """The platform lists an engine as leaving, then an old copy as live again."""
        self.directory.observe_epoch("e1", 3)
        self.directory.apply_instance_list(a_list(6, a_record("e1", Presence.LEAVING)))
        self.directory.apply_instance_list(a_list(7, a_record("e1")))
        self.assertEqual(self.usable(), [])
