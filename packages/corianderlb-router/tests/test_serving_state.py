"""What a router believes, as the store and its peers tell it, late and out of order."""

from __future__ import annotations

import trio

from corianderlb_router.object_feed import (
    FeedChange,
    FeedChanges,
    FeedListing,
    NamedWeights,
)
from corianderlb_router.serving_state import LAPSE_S, ServingState
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

    def list_names(self, *names: str, revision: int) -> None:
        """Have the store list these instances."""
        stored = [self.put(name) for name in names]
        self.state.apply_listing(INSTANCES, FeedListing(tuple(stored), revision))

    def put(self, name: str, revision: int = 20, **fields):
        """Lay down the entry of an instance."""
        instance = an_instance(name, "app", **fields)
        return self.decoder.put(instance, name, revision)

    def names(self) -> set[str]:
        """Return the instances that may get work."""
        return {found.instance for found in self.state.instances("app")}

    async def test_older_configuration_is_dropped(self) -> None:
        # A peer that was cut off brings the configuration of before. Taken up, keys
        # that were revoked would work again.
        for revision in (11, 10):
            cfg = a_configuration(version=revision, revision=revision)
            stored = self.decoder.put(cfg, "main", revision)
            self.state.apply_listing(CONFIGURATION, FeedListing((stored,), revision))
        self.assertEqual(self.state.configuration.version, 11)
        self.assertFalse(self.state.apply_peer(CONFIGURATION, 10, ()))
        self.assertEqual(self.state.configuration.version, 11)

    async def test_instance_that_vanished_in_a_gap_of_the_history(self) -> None:
        # The store has dropped its history and an instance left meanwhile. No event
        # will ever tell of it; the list shows it by what is not there.
        self.list_names("s1", "s2", revision=30)
        self.list_names("s1", revision=40)
        self.assertEqual(self.names(), {"s1"})

    async def test_entries_that_lapsed_while_the_store_was_away(self) -> None:
        # The store comes back without the entries that were not renewed meanwhile.
        # Believed at once, no instance would be left to serve anybody.
        self.list_names("s1", "s2", revision=30)
        self.state.store_lost(trio.current_time())
        await trio.sleep(3)
        self.state.store_answered()
        self.list_names(revision=40)
        self.assertEqual(self.names(), {"s1", "s2"})
        await trio.sleep(LAPSE_S + 0.1)
        self.list_names("s2", revision=41)
        self.assertEqual(self.names(), {"s2"})

    async def test_removal_without_an_outage_counts_at_once(self) -> None:
        self.list_names("s1", "s2", revision=30)
        change = FeedChange(an_object("s1", 31), removed=True)
        self.state.apply_changes(INSTANCES, FeedChanges((change,), 31))
        self.assertEqual(self.names(), {"s2"})

    async def test_leaving_is_for_good(self) -> None:
        # An older entry, or a late one, still says that the instance is ready. New work
        # sent there would be cut when it ends.
        self.list_names("s1", revision=30)
        leaving = self.put("s1", 31, is_leaving=True)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(leaving, False),), 31)
        )
        ready = self.put("s1", 32)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(ready, False),), 32)
        )
        self.assertEqual(self.names(), set())

    async def test_same_name_starts_a_new_life(self) -> None:
        self.list_names("s1", revision=30)
        old = self.state.instance("s1")
        self.state.mark_leaving(old, "test")
        reborn = self.put("s1", 33, born_ms=2)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(reborn, False),), 33)
        )
        self.assertEqual(self.names(), {"s1"})
        self.assertFalse(self.state.may_take_work(old))

    async def test_entry_that_cannot_be_read_names_nobody(self) -> None:
        self.list_names("s1", "s2", revision=30)
        broken = an_object("s1", 31)
        self.state.apply_changes(
            INSTANCES, FeedChanges((FeedChange(broken, False),), 31)
        )
        self.assertEqual(self.names(), {"s2"})

    async def test_state_of_a_peer_replaces_older_state_alone(self) -> None:
        self.list_names("s1", revision=30)
        newer = [self.put("s2", 35)]
        self.assertTrue(self.state.apply_peer(INSTANCES, 35, newer))
        self.assertEqual(self.names(), {"s2"})
        self.assertFalse(self.state.apply_peer(INSTANCES, 34, [self.put("s1", 20)]))
        self.assertEqual(self.names(), {"s2"})

    async def test_weights_never_go_back(self) -> None:
        for revision, version in ((31, 3), (32, 2)):
            stored = self.decoder.put(NamedWeights("m", version), "m", revision)
            change = FeedChanges((FeedChange(stored, False),), revision)
            self.state.apply_changes(WEIGHTS, change)
        self.assertEqual(self.state.newest_weights("m"), 3)

    async def test_router_that_has_just_started_does_not_trust_old_weights(
        self,
    ) -> None:
        """Guards against answers on weights that may have been replaced long ago."""
        stored = self.decoder.put(NamedWeights("m", 4), "m", 31)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 31))
        self.assertEqual(self.state.replaced_at("m", 4), float("inf"))
        for version in (0, 2, 3):
            self.assertEqual(self.state.replaced_at("m", version), float("-inf"))

    async def test_ages_are_sought_for_what_has_just_become_known(self) -> None:
        """Guards against offers at every naming for an age that nobody knows."""
        stored = self.decoder.put(NamedWeights("m", 4), "m", 31)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 31))
        self.assertEqual(self.state.seeks_ages_for_s, 0.0)
        await trio.sleep(70)
        self.assertIsNone(self.state.seeks_ages_for_s)
        stored = self.decoder.put(NamedWeights("other", 2), "other", 32)
        change = FeedChanges((FeedChange(stored, False),), 32)
        self.state.apply_changes(WEIGHTS, change)
        self.assertIsNone(self.state.seeks_ages_for_s)

    async def test_age_of_weights_counts_from_the_first_newer_version(self) -> None:
        # Versions are named each three seconds. Counted from the newest one, an engine
        # that never loads would seem three seconds behind for ever.
        for revision, version in ((31, 1), (32, 2), (33, 3)):
            stored = self.decoder.put(NamedWeights("m", version), "m", revision)
            change = FeedChanges((FeedChange(stored, False),), revision)
            self.state.apply_changes(WEIGHTS, change)
            await trio.sleep(3)
        self.assertAlmostEqual(
            trio.current_time() - self.state.replaced_at("m", 1), 6.0
        )

    async def test_version_that_an_engine_shows_was_named(self) -> None:
        # A router was frozen as a version was named and missed it. Its engines have the
        # version; the one that is still behind must not pass for up to date.
        stored = self.decoder.put(NamedWeights("m", 2), "m", 31)
        self.state.apply_listing(WEIGHTS, FeedListing((stored,), 31))
        await trio.sleep(5)
        self.assertEqual(self.state.replaced_at("m", 2), float("inf"))
        read_at = trio.current_time() - 5
        self.state.saw_weights("m", 3)
        self.assertEqual(self.state.replaced_at("m", 2), read_at)
        self.assertEqual(self.state.newest_weights("m"), 3)
