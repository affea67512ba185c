"""Tests of what is known of the software versions that began streams."""

from __future__ import annotations

import random
import unittest

from corianderlb_core import stream_origin
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.message import MemberState
from corianderlb_core.overlay import choose_links
from corianderlb_core.stream_origin import (
    UNKNOWN_VERSION,
    KnownOrigin,
    OriginTable,
    VersionHistory,
    stream_key,
)

N_KEEPERS = 8
"""As in ``corianderlb_router.stream_origins``, which this package does not import."""


def an_origin(key: bytes = b"k", **fields: object) -> KnownOrigin:
    """Build the origin of a stream that this router has begun on ``e1``."""
    defaults = {"upstream": "llm", "version": "v1", "expires_at": 10.0}
    own = {"incarnation": ("e1", 1_000), "began_ms": 5_000}
    return KnownOrigin(key, **{**defaults, **own, **fields})


class OriginTableTest(unittest.TestCase):
    def test_expired_stream_is_unknown(self) -> None:
        table = OriginTable()
        table.record(an_origin(), 0.0)
        self.assertIsNotNone(table.find(b"k", 9.9))
        self.assertIsNone(table.find(b"k", 10.0))

    def test_memory_is_bounded(self) -> None:
        table = OriginTable()
        for number in range(stream_origin.MAX_STREAMS + 10):
            table.record(an_origin(b"%d" % number), 0.0)
        self.assertEqual(len(table), stream_origin.MAX_STREAMS)
        self.assertIsNone(table.find(b"9", 0.0))
        table.record(an_origin(b"late", expires_at=30.0), 20.0)
        self.assertEqual(len(table), 1)

    def test_account_is_part_of_the_key(self) -> None:
        """Guards against a caller that takes up another account's stream."""
        self.assertNotEqual(stream_key("acme", "q1"), stream_key("other", "q1"))
        self.assertNotEqual(stream_key("a", "bq"), stream_key("ab", "q"))

    def test_streams_begun_after_a_restart_are_corrected(self) -> None:
        """Guards against the version of an entry that is older than the instance."""
        table = OriginTable()
        table.record(an_origin(b"before", began_ms=5_000), 0.0)
        table.record(an_origin(b"after", began_ms=8_100), 0.0)
        corrected = table.correct(("e1", 1_000), ("e1", 8_000), "v2", 0.0, 8_200)
        self.assertEqual([origin.key for origin in corrected], [b"after"])
        self.assertEqual(table.find(b"before", 0.0).version, "v1")
        self.assertEqual(table.find(b"after", 0.0).version, "v2")

    def test_entry_changes_its_version(self) -> None:
        """Guards against streams that keep the version of a mistaken entry."""
        table = OriginTable()
        table.record(an_origin(), 0.0)
        table.correct(("e1", 1_000), ("e1", 1_000), "v2", 0.0, 8_200)
        self.assertEqual(table.find(b"k", 0.0).version, "v2")

    def test_unknown_version_stays_unknown(self) -> None:
        """Guards against a version that a later entry gives to a doubtful stream."""
        for later in (("e1", 8_000), ("e1", 12_200)):
            table = OriginTable()
            table.record(an_origin(began_ms=11_900), 0.0)
            table.correct(("e1", 1_000), ("e1", 8_000), "v2", 0.0, 12_000)
            self.assertEqual(table.find(b"k", 0.0).version, UNKNOWN_VERSION)
            table.correct(("e1", 8_000), later, "v3", 0.0, 12_300)
            self.assertEqual(table.find(b"k", 0.0).version, UNKNOWN_VERSION)


class VersionHistoryTest(unittest.TestCase):
    def test_version_stays_known_after_its_last_instance(self) -> None:
        history = VersionHistory(0.0)
        history.observe({"v1"}, 0.0, 15.0)
        self.assertTrue(history.observe({"v1", "v2"}, 1.0, 15.0))
        history.observe({"v2"}, 2.0, 15.0)
        self.assertEqual(history.recent(10.0, 15.0), {"v1", "v2"})
        self.assertEqual(history.recent(17.1, 15.0), {"v2"})

    def test_version_before_the_mix(self) -> None:
        history = VersionHistory(0.0)
        history.observe({"v1"}, 0.0, 15.0)
        history.observe({"v1", "v2"}, 5.0, 15.0)
        self.assertEqual(history.sole_before_mix(6.0, 2.0), "v1")
        self.assertEqual(history.sole_before_mix(7.0, 2.0), "")
        history.observe({"v1", "v2", "v3"}, 8.0, 15.0)
        self.assertEqual(history.sole_before_mix(8.0, 2.0), "")

    def test_version_that_returns_after_long_joins_again(self) -> None:
        """Guards against streams that were not announced while one version served."""
        history = VersionHistory(0.0)
        history.observe({"v1"}, 0.0, 15.0)
        history.observe({"v1", "v2"}, 1.0, 15.0)
        history.observe({"v1"}, 2.0, 15.0)
        self.assertTrue(history.observe({"v1", "v2"}, 20.0, 15.0))

    def test_all_instances_gone_for_a_moment(self) -> None:
        history = VersionHistory(0.0)
        history.observe({"v1"}, 0.0, 15.0)
        history.observe((), 1.0, 15.0)
        self.assertFalse(history.observe({"v1"}, 2.0, 15.0))


class ReachTest(unittest.TestCase):
    def test_resumed_streams_are_known_in_a_large_fleet(self) -> None:
        """Guards against keepers that only a few of 78 routers can ask."""
        for n_routers, least in ((4, 1.0), (9, 1.0), (30, 0.95), (78, 0.75)):
            with self.subTest(n_routers=n_routers):
                self.assertGreaterEqual(known_share(n_routers), least)


def known_share(n_routers: int, n_tries: int = 4000) -> float:
    """Return how often a router is linked to a keeper of another one's stream."""
    rng = random.Random(7)
    members = [a_member(number) for number in range(n_routers)]
    links: dict[str, set[str]] = {member.instance: set() for member in members}
    for member in members:
        others = [other for other in members if other is not member]
        for peer in choose_links(member, others, 16):
            links[member.instance].add(peer)
            links[peer].add(member.instance)
    n_known = 0
    for _ in range(n_tries):
        began, resumed = rng.sample(sorted(links), 2)
        linked = sorted(links[began])
        keepers = set(rng.sample(linked, min(N_KEEPERS, len(linked))))
        n_known += resumed in keepers or bool(keepers & (links[resumed] - {began}))
    return n_known / n_tries


def a_member(number: int) -> MemberState:
    """Build a router of one of three availability zones."""
    return MemberState(
        instance=InstanceId(f"r{number}"),
        epoch=1,
        heartbeat=1,
        presence=Presence.LIVE,
        zone=f"zone-{number % 3}",
        region="pnw",
        address="",
        peer_address=f"10.0.0.{number}:1",
        catalogue_version=0,
    )
