"""Test ordering of membership updates, suspicions and the choice of links."""

from __future__ import annotations

import copy
import random
import unittest
from functools import partial
from unittest import mock

from corianderlb_core.identity import (
    InstanceId,
    InstanceRecord,
    Presence,
    Role,
)
from corianderlb_core.membership import (
    MAX_ROUTERS,
    Membership,
    MergeResult,
    _KnownRouter,
)
from corianderlb_core.message import MemberState, Suspicion
from corianderlb_core.overlay import choose_links


def a_member(name: str = "r2", epoch: int = 1, heartbeat: int = 1, **fields):
    defaults = {"presence": Presence.LIVE, "zone": "z1", "region": "pnw"}
    places = {"address": "a", "peer_address": "p", "catalogue_version": 0}
    return MemberState(
        InstanceId(name), epoch, heartbeat, **{**defaults, **places, **fields}
    )


def a_record(name: str = "r2", presence: Presence = Presence.LIVE) -> InstanceRecord:
    return InstanceRecord(
        InstanceId(name), Role.ROUTER, "z1", "pnw", "a", presence, peer_address="p"
    )


def names(membership: Membership) -> list[str]:
    return [state.instance for state in membership.members()]


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.membership = Membership(a_member("r1"), suspect_after_s=5.0)

    def presence(self, name: str = "r2") -> Presence:
        found = {state.instance: state for state in self.membership.members()}
        return found[InstanceId(name)].presence

    def test_names_without_end(self) -> None:
        """Guards against a peer whose announcements fill the memory."""
        for number in range(2 * MAX_ROUTERS):
            self.membership.merge(a_member(f"n{number}"), 0.0)
        self.assertEqual(self.membership.n_members, MAX_ROUTERS + 1)
        newer = a_member("n0", heartbeat=2, presence=Presence.LEAVING)
        self.assertIs(self.membership.merge(newer, 0.0), MergeResult.CHANGED)
        self.assertIs(self.presence("n0"), Presence.LEAVING)

    def test_older_incarnation_never_replaces_newer(self) -> None:
        self.membership.merge(a_member(epoch=2), 0.0)
        late = a_member(epoch=1, heartbeat=99)
        self.assertIs(self.membership.merge(late, 1.0), MergeResult.IGNORED)
        self.assertEqual(self.membership.state_of(InstanceId("r2")).epoch, 2)

    def test_kept_counts_follow_every_change(self) -> None:
        """Guards against counts of routers that outlive what they were made from."""
        for seed in range(20):
            rng, member = random.Random(seed), Membership(a_member("r1"))
            for step in range(200):
                name, now = InstanceId(f"r{rng.randrange(2, 9)}"), step / 2
                known = member.state_of(name)
                beat = known.heartbeat if known else 0
                changes = [
                    partial(member.merge, a_member(name, 1, beat + 1), now),
                    partial(member.merge_suspicion, Suspicion(name, 1, beat), now),
                    partial(member.merge_list, step, [a_record(name)]),
                    partial(member.record_reachable, name),
                    partial(member.record_unreachable, name, now),
                    partial(member.update_suspicions, now),
                ]
                rng.choice(changes)()
                counted = copy.deepcopy(member)
                counted._set_changed()
                self.assertEqual(member.n_reachable, counted.n_reachable)
                self.assertEqual(member.n_lost, counted.n_lost)
                self.assertEqual(member.lost(), counted.lost())

    def test_counts_are_kept_while_nothing_changes(self) -> None:
        """Guards against a walk over all routers for each count, several a message."""
        for number in range(2, 60):
            self.membership.merge(a_member(f"r{number}"), 0.0)
        self.assertEqual(self.membership.n_reachable, 58)
        with mock.patch.object(_KnownRouter, "is_member", mock.PropertyMock()) as asked:
            for _ in range(100):
                self.assertEqual(self.membership.n_reachable, 58)
        asked.assert_not_called()

    def test_leaving_is_final_for_an_incarnation(self) -> None:
        """Guards against new work for a leaving router after a stale LIVE state."""
        leaving = a_member(heartbeat=5, presence=Presence.LEAVING)
        self.membership.merge(leaving, 0.0)
        for heartbeat in (4, 6):
            self.membership.merge(a_member(heartbeat=heartbeat), 1.0)
            self.assertIs(self.presence(), Presence.LEAVING)
        self.membership.merge(a_member(epoch=2), 2.0)
        self.assertIs(self.presence(), Presence.LIVE)

    def test_late_leaving_announcement_is_merged(self) -> None:
        self.membership.merge(a_member(heartbeat=9), 0.0)
        late = a_member(heartbeat=5, presence=Presence.LEAVING)
        self.assertIs(self.membership.merge(late, 1.0), MergeResult.CHANGED)
        self.assertIs(self.presence(), Presence.LEAVING)

    def test_older_list_never_replaces_newer(self) -> None:
        """Guards against a stale list that revives a leaving router."""
        self.membership.merge(a_member(), 0.0)
        self.membership.merge_list(7, [a_record(presence=Presence.LEAVING)])
        self.assertFalse(self.membership.merge_list(6, [a_record()]))
        self.assertIs(self.presence(), Presence.LEAVING)

    def test_routers_known_only_from_the_list_are_only_candidates(self) -> None:
        self.membership.merge_list(1, [a_record("r9")])
        self.assertEqual(names(self.membership), ["r1"])
        self.assertEqual([s.instance for s in self.membership.candidates()], ["r9"])

    def test_unreachable_router_of_the_list_is_no_candidate(self) -> None:
        """Guards against a stopped router in the list that displaces a working link."""
        self.membership.merge_list(1, [a_record("r9")])
        self.membership.record_unreachable(InstanceId("r9"), 0.0)
        for second in range(6):
            self.membership.update_suspicions(float(second))
        self.assertEqual(self.membership.candidates(), ())
        self.assertEqual([s.instance for s in self.membership.lost()], ["r9"])
        self.assertEqual(self.membership.full_state()[1], [])

    def test_unreachable_router_is_suspected_until_a_newer_heartbeat(self) -> None:
        self.membership.merge(a_member(heartbeat=3), 0.0)
        self.membership.record_unreachable(InstanceId("r2"), 0.0)
        for second in range(5):
            self.membership.update_suspicions(float(second))
        self.assertEqual(names(self.membership), ["r1", "r2"])
        self.membership.update_suspicions(5.0)
        self.assertEqual(names(self.membership), ["r1"])
        _, suspected = self.membership.take_announcements(random.Random(1))
        self.assertEqual(suspected, [Suspicion(InstanceId("r2"), 1, 3)])
        self.membership.merge(a_member(heartbeat=3), 6.0)
        self.assertEqual(names(self.membership), ["r1"])
        self.membership.merge(a_member(heartbeat=4), 6.0)
        self.assertEqual(names(self.membership), ["r1", "r2"])

    def test_suspected_router_refutes_the_suspicion(self) -> None:
        self.membership.merge_suspicion(Suspicion(InstanceId("r1"), 1, 40), 0.0)
        states, _ = self.membership.take_announcements(random.Random(1))
        self.assertEqual((states[0].instance, states[0].heartbeat), ("r1", 41))

    def test_restart_with_a_clock_that_went_back_is_detected(self) -> None:
        """Guards against a router whose announcements all peers silently ignore."""
        self.assertIsNone(self.membership.newer_own_epoch)
        self.membership.merge(a_member("r1", epoch=9), 0.0)
        self.assertEqual(self.membership.newer_own_epoch, 9)

    def test_paused_router_suspects_no_other(self) -> None:
        """Guards against a suspended process that suspects all other routers."""
        for name in ("r2", "r3"):
            self.membership.merge(a_member(name), 0.0)
            self.membership.record_unreachable(InstanceId(name), 0.5)
        self.assertTrue(self.membership.update_suspicions(1.0))
        self.assertFalse(self.membership.update_suspicions(61.0))
        self.membership.update_suspicions(62.0)
        self.assertEqual(names(self.membership), ["r1", "r2", "r3"])


class OverlayTest(unittest.TestCase):
    def test_overlay_is_connected_and_spans_zones(self) -> None:
        members = [a_member(f"r{i:03d}", zone=f"z{i % 6}") for i in range(410)]
        links: dict[str, set[str]] = {member.instance: set() for member in members}
        for own in members:
            others = [member for member in members if member is not own]
            for name in choose_links(own, others, 6):
                links[own.instance].add(name)
                links[name].add(own.instance)
        reached = {"r000"}
        hops = 0
        while len(reached) < len(members):
            reached |= {name for member in reached for name in links[member]}
            hops += 1
            self.assertLess(hops, 10)
        mean = sum(map(len, links.values())) / len(links)
        self.assertLess(mean, 6.5)
        zones = {member.instance: member.zone for member in members}
        for name, peers in links.items():
            self.assertGreater(len({zones[peer] for peer in peers}), 1, name)

    def test_few_routers_link_to_all(self) -> None:
        others = [a_member(name) for name in ("r2", "r3", "r4")]
        self.assertEqual(choose_links(a_member("r1"), others, 6), ["r2", "r3", "r4"])
