"""Test that a fleet learns which engines read which prompt parts."""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterable

from corianderlb_core.forwarding import EngineTraits, PromptPart
from corianderlb_core.part_gossip import (
    MAX_WAITING_ITEMS,
    HeldPart,
    PartGossip,
    engine_digest,
    pack,
    unpack,
)
from corianderlb_core.part_index import PartIndex, part_key
from corianderlb_core.reading_once import applies, is_worth_saving
from forward_data import a_prompt
from part_fleet import DIGESTS, ENGINES, PART, PartFleet

KEY = part_key("m.1.", PART[0])


def a_read(fleet: PartFleet, router: int = 0) -> None:
    """Let one router have the part read at the first engine."""
    fleet.routers[router].gossip.record_read(
        "m.1.", [PromptPart(*PART)], ENGINES[0].incarnation_key, True
    )


def n_again(
    n_routers: int,
    told: bool,
    seeds: Iterable[int] = range(8),
    delay_s: float = 0.0,
    loss: float = 0.0,
) -> int:
    """Return the tokens that some fleets prefill again, asked each 1.4 s for a part."""
    fleets = [PartFleet(n_routers, 16, delay_s, loss, told, seed) for seed in seeds]
    return sum(fleet.play(8.0, 0.7) for fleet in fleets)


class PartGossipTest(unittest.TestCase):
    def test_part_of_a_new_version_is_read_again_half_as_often(self) -> None:
        told, untold = n_again(63, True), n_again(63, False)
        self.assertLessEqual(told, 0.5 * untold)

    def test_part_is_read_again_half_as_often_where_half_are_linked(self) -> None:
        fleets = range(32)
        told, untold = n_again(35, True, fleets), n_again(35, False, fleets)
        self.assertLessEqual(told, 0.5 * untold)

    def test_reports_that_are_lost_or_late_cost_no_more_than_silence(self) -> None:
        """Guards against announcements that harm when they are old or incomplete."""
        for delay_s, loss in ((1.0, 0.0), (0.0, 0.3)):
            with self.subTest(delay_s=delay_s, loss=loss):
                told = n_again(63, True, delay_s=delay_s, loss=loss)
                untold = n_again(63, False, delay_s=delay_s, loss=loss)
                self.assertLessEqual(told, untold)

    def test_announcement_outlives_its_router(self) -> None:
        """Guards against a holder that is forgotten with one router."""
        fleet = PartFleet(63)
        a_read(fleet)
        fleet.tell(0.0)
        fleet.routers.pop(0)
        for step in range(1, 5):
            fleet.tell(step * fleet.interval_s)
        self.assertGreaterEqual(fleet.n_aware(KEY), 60)

    def test_halves_of_a_fleet_apart_read_once_each(self) -> None:
        """Guards against a part that is read at each router of a fleet in parts."""
        fleet = PartFleet(62)
        fleet.part_in_two()
        a_read(fleet)
        for step in range(5):
            fleet.tell(step * fleet.interval_s)
        self.assertGreaterEqual(fleet.n_aware(KEY), 29)
        self.assertLessEqual(fleet.n_aware(KEY), 31)

    def test_engine_that_ended_holds_nothing(self) -> None:
        """Guards against late announcements that revive a crashed engine."""
        fleet = PartFleet(35)
        a_read(fleet)
        fleet.tell(0.0)
        ended = ENGINES[0].incarnation_key
        for router in fleet.routers:
            router.index.forget(ended)
        late = pack([HeldPart(KEY, engine_digest(ended))])
        alive = {
            digest: incarnation
            for digest, incarnation in DIGESTS.items()
            if incarnation != ended
        }
        fleet.routers[5].gossip.hear(late, alive, 1.0)
        self.assertEqual(fleet.n_aware(KEY), 0)

    def test_part_is_told_few_times(self) -> None:
        """Guards against announcements that circulate for ever."""
        fleet = PartFleet(63)
        a_read(fleet)
        for step in range(20):
            fleet.tell(step * fleet.interval_s)
        n_bytes = len(pack([HeldPart(KEY, 1)]))
        self.assertLess(fleet.n_bytes, 0.5 * len(fleet.routers) * 16 * n_bytes)
        self.assertFalse(any(len(router.gossip) for router in fleet.routers))

    def test_item_that_others_pass_on_is_dropped(self) -> None:
        """Guards against routers that each tell what all have heard already."""
        for n_routers in (35, 63):
            n_heard = n_aware = 0
            for seed in range(20):
                fleet = PartFleet(n_routers, seed=seed)
                a_read(fleet)
                for step in range(6):
                    for router in fleet.rng.sample(fleet.routers, n_routers):
                        fleet.tell(step * fleet.interval_s, [router])
                n_heard += fleet.n_bytes // len(pack([HeldPart(KEY, 1)]))
                n_aware += fleet.n_aware(KEY)
            with self.subTest(n_routers=n_routers):
                self.assertLess(n_heard, 3.5 * 20 * n_routers)
                self.assertGreater(n_aware, 0.97 * 20 * n_routers)

    def test_item_heard_later_again_is_recorded(self) -> None:
        """Guards against parts that count as evicted although they are in use."""
        index = PartIndex()
        queue = PartGossip(index, random.Random(1))
        key = ENGINES[0].incarnation_key
        packed = pack([HeldPart(KEY, engine_digest(key))])
        for _ in range(4):
            queue.hear(packed, DIGESTS, 0.0)
            index.count_prefilled(key, 100.0)
            queue.take()
        held = index.coverage("m.1.", [PART], key, 1_000)
        self.assertEqual(held.n_since_use, 200.0)

    def test_items_survive_packing(self) -> None:
        items = [HeldPart(KEY, 7, False, True, True), HeldPart(0, 2**32 - 1)]
        self.assertEqual(unpack(pack(items)), items)
        self.assertEqual(unpack(pack(items) + b"rest"), items)

    def test_ready_part_replaces_the_same_one_in_prefill(self) -> None:
        queue = PartGossip(PartIndex(), random.Random(1))
        for is_ready in (False, True):
            queue.record_read("s", [PromptPart(*PART)], ("e", 1), is_ready)
        self.assertEqual([item.is_ready for item in queue.take()], [True])

    def test_small_part_is_passed_on_if_prompts_begin_with_it(self) -> None:
        """Guards against a root that each router has read, since it is small."""
        queue = PartGossip(PartIndex(), random.Random(1))
        parts = [PromptPart("root", 200), PromptPart("leaf", 200)]
        queue.record_read("s", parts, ("e", 1), True)
        self.assertEqual([item.pass_on for item in queue.take()], [True, False])

    def test_save_of_a_small_part_reaches_all_routers(self) -> None:
        """Guards against a stored leaf that most routers have read again."""
        fleet = PartFleet(63)
        parts = [PromptPart("root", 600), PromptPart("leaf", 200)]
        for engine in ENGINES[:4]:
            is_saved = engine is ENGINES[3]
            incarnation = engine.incarnation_key
            gossip = fleet.routers[0].gossip
            gossip.record_read("s", parts, incarnation, True, is_saved)
            for step in range(5):
                fleet.tell(step * fleet.interval_s)
        indexes = [router.index for router in fleet.routers]
        n_aware = sum(index.is_saved("s", ["root", "leaf"], True) for index in indexes)
        self.assertGreaterEqual(n_aware, 60)

    def test_waiting_items_are_bounded(self) -> None:
        """Guards against memory that grows while no update is sent."""
        queue = PartGossip(PartIndex(), random.Random(1))
        for n in range(MAX_WAITING_ITEMS + 10):
            queue.record_read("s", [PromptPart(str(n), 300)], ("e", 1), True)
        self.assertEqual(len(queue), MAX_WAITING_ITEMS)


class ReadingOnceTest(unittest.TestCase):
    def test_only_fast_links_that_are_configured(self) -> None:
        for transfer_s, expected in ((0.0, False), (0.4e-6, True), (1.1e-6, False)):
            with self.subTest(transfer_s=transfer_s):
                traits = EngineTraits(16, 1000, transfer_s_per_token=transfer_s)
                self.assertEqual(applies(traits), expected)

    def test_prompts_with_a_large_shared_part_are_saved_once(self) -> None:
        self.assertTrue(is_worth_saving(a_prompt(PART, own=9_999), False))
        self.assertFalse(is_worth_saving(a_prompt(PART, own=10_001), False))
        self.assertFalse(is_worth_saving(a_prompt(PART, own=4_000), True))


if __name__ == "__main__":
    unittest.main()
