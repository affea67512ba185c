"""Updates of the serving state that arrive late or out of order."""

from __future__ import annotations

import trio

from corianderlb_router.object_feed import (
    FeedChange,
    FeedChanges,
    FeedListing,
    NamedWeights,
)
from corianderlb_router.serving_state import EXPIRY_GRACE_S, ServingState
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import (
    CONFIGURATION,
    INSTANCES,
    WEIGHTS,
    TableDecoder,
    a_configuration,
    a_state,
    an_instance,
    an_object,
)


class ServingStateTest(TrioTestCase):
    def setUp(self) -> None:
        self.decoder = TableDecoder()
        self.state: ServingState = a_state(self.decoder)

    def list_instances(self, *names: str, revision: int) -> None:
        """Apply a listing of the store with these instances."""
        stored = [self.put(name) for name in names]
        self.state.apply_listing(INSTANCES, FeedListing(tuple(stored), revision))

    def put(self, name: str, revision: int = 20, **fields):
        """Return the stored entry of an instance, known to the decoder."""
        instance = an_instance(name, "app", **fields)
        return self.decoder.put(instance, name, revision)

    def names(self) -> set[str]:
        """Return the instances that accept requests."""
        return {found.instance for found in self.state.instances("app")}

    async def test_older_configuration_is_dropped(self) -> None:
        """Guards against revoked keys that work again after an outdated update."""
        for revision in (11, 10):
            cfg = a_configuration(version=revision, revision=revision)
            stored = self.decoder.put(cfg, "main", revision)
            self.state.apply_listing(CONFIGURATION, FeedListing((stored,), revision))
        self.assertEqual(self.state.configuration.version, 11)
        self.assertFalse(self.state.apply_peer(CONFIGURATION, 10, ()))
        self.assertEqual(self.state.configuration.version, 11)

    async def test_instance_removed_during_history_gap(self) -> None:
        """Guards against an instance that stays after its removal event was lost."""
        self.list_instances("s1", "s2", revision=30)
        self.list_instances("s1", revision=40)
        self.assertEqual(self.names(), {"s1"})

    async def test_entries_expired_during_store_outage(self) -> None:
        """Guards against losing all instances when entries expire in an outage."""
        self.list_instances("s1", "s2", revision=30)
        self.state.record_store_loss(trio.current_time())
        await trio.sleep(3)
        self.state.record_store_answer()
        self.list_instances(revision=40)
        self.assertEqual(self.names(), {"s1", "s2"})
        await trio.sleep(EXPIRY_GRACE_S + 0.1)
        self.list_instances("s2", revision=41)
        self.assertEqual(self.names(), {"s2"})

    async def test_removal_without_outage_applies_at_once(self) -> None:
        self.list_instances("s1", "s2", revision=30)
        change = FeedChange(an_object("s1", 31), removed=True)
        self.state.apply_changes(INSTANCES, FeedChanges((change,), 31))
        self.assertEqual(self.names(), {"s2"})

    async def test_leaving_instance_stays_leaving(self) -> None:
        """Guards against new requests to a leaving instance after a late entry."""
        self.list_instances("s1", revision=30)
        leaving = self.put("s1", 31, is_leaving=True)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(leaving, False),), 31)
        )
        ready = self.put("s1", 32)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(ready, False),), 32)
        )
        self.assertEqual(self.names(), set())

    async def test_restarted_instance_gets_requests(self) -> None:
        self.list_instances("s1", revision=30)
        old = self.state.instance("s1")
        self.state.mark_leaving(old, "test")
        restarted = self.put("s1", 33, born_ms=2)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(restarted, False),), 33)
        )
        self.assertEqual(self.names(), {"s1"})
        self.assertFalse(self.state.accepts_requests(old))

    async def test_undecodable_entry_removes_instance(self) -> None:
        self.list_instances("s1", "s2", revision=30)
        broken = an_object("s1", 31)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(broken, False),), 31)
        )
        self.assertEqual(self.names(), {"s2"})

    async def test_peer_state_replaces_only_older_state(self) -> None:
        self.list_instances("s1", revision=30)
        newer = [self.put("s2", 35)]
        self.assertTrue(self.state.apply_peer(INSTANCES, 35, newer))
        self.assertEqual(self.names(), {"s2"})
        self.assertFalse(self.state.apply_peer(INSTANCES, 34, [self.put("s1", 20)]))
        self.assertEqual(self.names(), {"s2"})

    async def test_weights_version_never_decreases(self) -> None:
        for revision, version in ((31, 3), (32, 2)):
            stored = self.decoder.put(NamedWeights("m", version), "m", revision)
            change = FeedChanges((FeedChange(stored, False),), revision)
            self.state.apply_changes(WEIGHTS, change)
        self.assertEqual(self.state.newest_weights("m"), 3)

    async def test_started_router_treats_older_weights_as_stale(
        self,
    ) -> None:
        """Guards against answers on weights that may have been replaced long ago."""
        stored = self.decoder.put(NamedWeights("m", 4), "m", 31)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 31))
        self.assertEqual(self.state.replaced_at("m", 4), float("inf"))
        for version in (0, 2, 3):
            self.assertEqual(self.state.replaced_at("m", version), float("-inf"))

    async def test_ages_are_queried_only_after_new_version(self) -> None:
        """Guards against endless queries for an age that no router knows."""
        stored = self.decoder.put(NamedWeights("m", 4), "m", 31)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 31))
        self.assertEqual(self.state.ages_unknown_for_s, 0.0)
        await trio.sleep(70)
        self.assertIsNone(self.state.ages_unknown_for_s)
        stored = self.decoder.put(NamedWeights("other", 2), "other", 32)
        change = FeedChanges((FeedChange(stored, False),), 32)
        self.state.apply_changes(WEIGHTS, change)
        self.assertIsNone(self.state.ages_unknown_for_s)

    async def test_age_of_weights_counts_from_the_first_newer_version(self) -> None:
        """Guards against an age that restarts with each newer version."""
        for revision, version in ((31, 1), (32, 2), (33, 3)):
            stored = self.decoder.put(NamedWeights("m", version), "m", revision)
            change = FeedChanges((FeedChange(stored, False),), revision)
            self.state.apply_changes(WEIGHTS, change)
            await trio.sleep(3)
        self.assertAlmostEqual(
            trio.current_time() - self.state.replaced_at("m", 1), 6.0
        )

    async def test_version_reported_by_engine_counts_as_named(self) -> None:
        """Guards against outdated engines that count as current after a pause."""
        stored = self.decoder.put(NamedWeights("m", 2), "m", 31)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 31))
        await trio.sleep(5)
        self.assertEqual(self.state.replaced_at("m", 2), float("inf"))
        read_at = trio.current_time() - 5
        self.state.record_engine_weights("m", 3)
        self.assertEqual(self.state.replaced_at("m", 2), read_at)
        self.assertEqual(self.state.newest_weights("m"), 3)
