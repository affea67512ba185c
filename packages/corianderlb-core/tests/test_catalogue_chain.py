"""The catalogue chain applies each change once and in order."""

from __future__ import annotations

import random
import unittest

from corianderlb_core.catalogue_chain import (
    MAX_UNFOLDED_CHANGES,
    CatalogueChain,
    ChainError,
)
from corianderlb_core.catalogue_codec import catalogue_to_json, change_to_json
from corianderlb_core.change import Change, fold
from corianderlb_standins.builder import a_change, an_upstream


def build_log(n_changes: int) -> list[Change]:
    return [
        a_change(i + 1, an_upstream(f"u{i % 7}", owner=f"team-{i}"))
        for i in range(n_changes)
    ]


class ChainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = build_log(200)
        self.stored = [change_to_json(change) for change in self.log]
        self.chain = CatalogueChain()

    def test_old_and_repeated_changes_are_ignored(self) -> None:
        """A partitioned peer offers changes that are outdated here."""
        self.chain.take(self.stored[:9])
        self.assertEqual(self.chain.take(self.stored[:5]), 0)
        old = catalogue_to_json(fold(self.log[:5]))
        self.assertFalse(self.chain.apply_snapshot(old))
        self.assertEqual(self.chain.catalogue, fold(self.log[:9]))

    def test_gap_is_refused(self) -> None:
        """A skipped change may have removed an account."""
        self.chain.take(self.stored[:3])
        with self.assertRaises(ChainError):
            self.chain.take(self.stored[4:6])
        self.assertEqual(self.chain.version, 3)

    def test_invalid_bytes_are_refused(self) -> None:
        for data in (b"", b"[]", b'{"version": 1}', b"\xff"):
            with self.assertRaises(ChainError):
                self.chain.take([data])

    def test_any_order_of_offers_gives_the_same_catalogue(self) -> None:
        rng = random.Random(5)
        while self.chain.version < len(self.log):
            start = rng.randrange(len(self.log))
            before = self.chain.version
            try:
                self.chain.take(self.stored[start : start + 20])
            except ChainError:
                pass
            self.assertGreaterEqual(self.chain.version, before)
        self.assertEqual(self.chain.catalogue, fold(self.log))

    def test_offer_brings_any_peer_up_to_date(self) -> None:
        self.chain.take(self.stored)
        for after in (0, 1, 100, 150, 199, 200):
            peer = CatalogueChain()
            peer.take(self.stored[:after])
            while peer.version < self.chain.version:
                snapshot, changes = self.chain.offer(peer.version)
                if snapshot is not None:
                    peer.apply_snapshot(snapshot)
                peer.take(changes)
            self.assertEqual(peer.catalogue, self.chain.catalogue)

    def test_memory_is_bounded_and_snapshots_are_exact(self) -> None:
        for data in self.stored:
            self.chain.take([data])
            self.assertLessEqual(len(self.chain._changes), MAX_UNFOLDED_CHANGES)
        expected = catalogue_to_json(fold(self.log[:192]))
        self.assertEqual(self.chain.snapshot_at(192), expected)
        self.assertIsNone(self.chain.snapshot_at(32))
