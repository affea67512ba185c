"""Test who gets room at engines, over all routers, when there is too little."""

from __future__ import annotations

import unittest

from corianderlb_core.fair_room import FairRoom, RoomRefusal, RoomReport
from corianderlb_core.room_rate import RoomFlow, RoomRate
from corianderlb_core.room_share import RoomKey, divide_room
from room_model import (
    ADVICE,
    CHECK,
    TOKENS_PER_S,
    Ask,
    Kind,
    Outage,
    Outcome,
    RoomModel,
    sick_thirds,
)

N_ENGINES = 10
CAPACITY = N_ENGINES * TOKENS_PER_S
SMALL, LARGE = RoomKey(0, "small"), RoomKey(0, "large")


def an_ask(account: str, kind: Kind, load: float, until_s: float = 1e9) -> Ask:
    """Build traffic of a multiple of the engines' capacity."""
    per_s = load * CAPACITY / kind.n_tokens
    return Ask(account, kind, lambda now: per_s if now < until_s else 0.0)


def two_accounts(**fields) -> Outcome:
    """Play two accounts of equal weight, of which one asks ten times as much."""
    asks = [an_ask("small", CHECK, 0.3), an_ask("large", CHECK, 3.0)]
    return RoomModel(asks, measure_from_s=3.0, **fields).run(8.0)


def mixed_load(load: float, is_fair: bool = True, **fields) -> tuple[float, Outcome]:
    """Play two kinds of eight accounts; return the goodput as a share of the room."""
    asks = []
    for n in range(8):
        asks.append(an_ask(f"a{n}", CHECK, 0.7 * load / 8))
        asks.append(an_ask(f"a{n}", ADVICE, 0.3 * load / 8))
    outcome = RoomModel(asks, is_fair, measure_from_s=3.0, **fields).run(8.0)
    return outcome.tokens_in_time / CAPACITY / 5.0, outcome


class FairShareTest(unittest.TestCase):
    """Two accounts of equal weight; the large one asks for three times the room."""

    def assert_fair(self, outcome: Outcome, least: float = 0.95) -> None:
        self.assertGreaterEqual(outcome.share("small"), least)
        used = outcome.tokens_in_time / CAPACITY / 5.0
        self.assertGreaterEqual(used, 0.78)
        self.assertLess(outcome.idle_refusals, 0.005 * outcome.refused.total())

    def test_small_account_gets_its_share(self) -> None:
        """Guards against a large account that takes the room of a small one."""
        self.assert_fair(two_accounts())

    def test_first_come_first_served_is_unfair(self) -> None:
        """Shows that the load needs shares: without them the small account loses."""
        self.assertLess(two_accounts(is_fair=False).share("small"), 0.5)

    def test_lost_reports(self) -> None:
        """Guards against shares that need every report."""
        self.assert_fair(two_accounts(lost_share=0.3))

    def test_routers_apart(self) -> None:
        """Guards against halves of a fleet that each use all of the room."""
        self.assert_fair(two_accounts(apart=lambda now, a, b: (a < 6) != (b < 6)))

    def test_killed_router(self) -> None:
        """Guards against shares that are lost with a router."""
        self.assert_fair(two_accounts(kills=[(4.0, 0)]))

    def test_all_routers_restart(self) -> None:
        """Guards against routers that know nothing and let everything through."""
        kills = [(3.5, n) for n in range(12)]
        outcome = two_accounts(kills=kills)
        self.assertGreaterEqual(outcome.share("small"), 0.8)

    def test_late_reports(self) -> None:
        """Guards against a collapse when reports are a second old."""
        outcome = two_accounts(report_delay_s=1.0)
        unfair = two_accounts(report_delay_s=1.0, is_fair=False)
        self.assertGreater(outcome.share("small"), 4 * unfair.share("small"))
        self.assertGreater(outcome.tokens_in_time, 1.4 * unfair.tokens_in_time)

    def test_small_account_while_reports_are_late(self) -> None:
        """Guards against a small account that pays for what the others don't know."""
        outcome = two_accounts(report_delay_s=1.0)
        self.assertGreaterEqual(outcome.share("small"), 0.95)

    def test_large_account_gets_what_others_leave(self) -> None:
        """Guards against room that is kept for an account that has stopped asking."""
        asks = [an_ask("small", CHECK, 0.5, until_s=3.0), an_ask("large", CHECK, 2.0)]
        outcome = RoomModel(asks, measure_from_s=4.0).run(8.0)
        self.assertGreater(outcome.tokens_in_time / CAPACITY / 4.0, 0.75)

    def test_configured_weight_that_changes_under_load(self) -> None:
        """Guards against weights that a configuration has taken away."""
        asks = [an_ask("small", CHECK, 2.0), an_ask("large", CHECK, 2.0)]

        def weights(now: float) -> dict[str, float]:
            return {"small": 1.0, "large": 3.0} if now < 4.0 else {}

        before = RoomModel(asks, measure_from_s=2.0, weights=weights).run(4.0)
        after = RoomModel(asks, measure_from_s=5.0, weights=weights).run(8.0)
        self.assertGreater(before.share("large"), 2.0 * before.share("small"))
        self.assertAlmostEqual(after.share("large"), after.share("small"), delta=0.06)


class OverloadTest(unittest.TestCase):
    """Eight accounts, urgent checks and large advice, beyond the room."""

    def test_goodput_beyond_the_room(self) -> None:
        """Guards against taking work that then is late."""
        best, _ = mixed_load(1.0)
        for load in (1.5, 2.0, 4.0):
            goodput, outcome = mixed_load(load)
            best = max(best, goodput)
            with self.subTest(load=load):
                self.assertGreaterEqual(goodput, 0.9 * best)
                served = outcome.share()
                self.assertGreater(outcome.share(kind="check"), 0.95 * served)
                self.assertGreater(outcome.share(kind="advice"), 0.3 * served)
                for n in range(8):
                    self.assertGreater(outcome.share(f"a{n}"), 0.7 * served)

    def test_nobody_waits_where_there_is_room(self) -> None:
        """Guards against refusals while the engines can take all."""
        _, outcome = mixed_load(0.7)
        self.assertGreater(outcome.share(), 0.97)

    def test_refusals_come_at_once(self) -> None:
        """Guards against callers that are held and then refused."""
        _, outcome = mixed_load(2.0)
        held_s = sorted(outcome.held_s)
        self.assertLess(held_s[len(held_s) // 2], 0.04)
        self.assertLess(held_s[-1], 0.12 * ADVICE.objective_s + 0.01)


class SickEnginesTest(unittest.TestCase):
    """The load of ``OverloadTest`` while a third of the engines is down by turns."""

    def test_goodput_while_a_third_is_sick(self) -> None:
        """Guards against answers of sick engines that bound the room of the others."""
        outages = sick_thirds(N_ENGINES, 8.0)
        played = {
            load: mixed_load(load, outages=outages) for load in (1.0, 1.5, 2.0, 4.0)
        }
        best = max(goodput for goodput, _ in played.values())
        for load, (goodput, outcome) in played.items():
            without, _ = mixed_load(load, is_fair=False, outages=outages)
            idle = outcome.idle_refusals
            with self.subTest(load=load):
                self.assertGreaterEqual(goodput, 0.9 * best)
                self.assertGreaterEqual(goodput, without)
                self.assertLess(idle, 0.005 * outcome.refused.total())

    def test_nobody_waits_where_the_others_have_room(self) -> None:
        """Guards against refusals while the engines that are up can take all."""
        outages = [Outage(n, 2.0 + n, 3.0 + n, 0.4) for n in range(6)]
        _, outcome = mixed_load(0.6, outages=outages)
        self.assertLess(outcome.refused.total(), 0.005 * outcome.asked.total())


class DivisionTest(unittest.TestCase):
    def test_small_asker_is_satisfied(self) -> None:
        parts = divide_room(10.0, {SMALL: 2.0, LARGE: 20.0}, {})
        self.assertEqual(parts[SMALL].entitled, 2.0)
        self.assertEqual(parts[LARGE].entitled, 8.0)
        self.assertEqual(parts[SMALL].bound, 5.0)

    def test_weights(self) -> None:
        parts = divide_room(9.0, {SMALL: 20.0, LARGE: 20.0}, {"large": 2.0})
        self.assertEqual((parts[SMALL].entitled, parts[LARGE].entitled), (3.0, 6.0))

    def test_urgent_first_but_nobody_starves(self) -> None:
        """Guards against an urgent kind that takes all of the room."""
        later = RoomKey(2, "small")
        parts = divide_room(10.0, {LARGE: 30.0, later: 10.0}, {})
        self.assertEqual(parts[later].entitled, 0.75 * 2.5)
        self.assertEqual(parts[LARGE].entitled, 10.0 - 0.75 * 2.5)

    def test_no_account_is_entitled_to_more_than_the_room(self) -> None:
        asked = {RoomKey(n % 3, f"a{n}"): 1.0 + n for n in range(20)}
        parts = divide_room(50.0, asked, {})
        self.assertAlmostEqual(sum(p.entitled for p in parts.values()), 50.0)


class RoomRateTest(unittest.TestCase):
    def test_late_answers_of_idle_engines_bound_nothing(self) -> None:
        """Guards against a sick engine that makes routers refuse beside idle ones."""
        rate = RoomRate()
        rate.update(RoomFlow(100.0, 50.0, 50.0, 10.0), 0.3, False, 0.2)
        self.assertEqual(rate.per_s, float("inf"))

    def test_capacity_is_found_again_after_an_outage(self) -> None:
        """Guards against a rate that stays low once all engines are back."""
        rate = RoomRate()
        rate.update(RoomFlow(1000.0, 500.0, 500.0, 900.0), 0.3, True, 0.2)
        for _ in range(50):
            rate.update(RoomFlow(0.0, 0.0, 500.0, 900.0), 0.3, True, 0.2)
        for _ in range(20):
            served = min(1000.0, rate.per_s)
            rate.update(RoomFlow(served, served, 0.0, 0.1 * served), 0.3, True, 0.2)
        self.assertGreater(rate.per_s, 600.0)

    def test_capacity_follows_the_engines_that_can_be_used(self) -> None:
        """Guards against work for engines that are gone, and refusals once back."""
        rate = RoomRate()
        full = RoomFlow(1000.0, 800.0, 200.0, 400.0)
        rate.update(full, 0.3, True, 0.2, 10.0)
        before = rate.capacity
        # What was served until then came from ten engines.
        rate.update(full, 0.3, True, 0.2, 7.0)
        self.assertAlmostEqual(rate.capacity, 0.7 * before)
        rate.update(RoomFlow(700.0, 700.0, 0.0, 100.0), 0.3, True, 0.2, 10.0)
        self.assertGreaterEqual(rate.capacity, before)


class AdmissionTest(unittest.TestCase):
    @staticmethod
    def a_room() -> FairRoom[str]:
        room: FairRoom[str] = FairRoom()
        report = RoomReport(1000.0, True, RoomFlow(), {})
        room.n_routers = 2
        room.merge("r2", report, 0.0)
        room.update({"e": 1.0}, 10.0, 10.0, 0.0)
        return room

    def test_caller_that_can_not_be_admitted_is_refused_at_once(self) -> None:
        room = self.a_room()
        answers = []
        for n in range(20):
            room.release(0.01 * n)
            answers.append(room.ask("x", LARGE, 500.0, 0.05, 0.01 * n))
        refused = [item for item in answers if isinstance(item, RoomRefusal)]
        self.assertGreater(len(refused), 10)
        self.assertGreater(refused[-1].wait_s, 0.05)

    def test_waiting_request_of_an_account_that_is_taken_away(self) -> None:
        """Guards against a request that waits for ever once its account is gone."""
        room = self.a_room()
        tickets = [room.ask("x", LARGE, 100.0, 9.0, 0.0) for _ in range(20)]
        room.weights = {}
        admitted = sum(len(room.release(0.1 * n)) for n in range(1, 100))
        queued = [t for t in tickets if not isinstance(t, RoomRefusal)]
        self.assertGreater(len(queued), 1)
        self.assertFalse(any(t.in_queue for t in queued))
        self.assertGreater(admitted, 0)

    def test_idle_engine_is_used_beyond_the_rate(self) -> None:
        """Guards against refusals for a rate that was found too low."""
        room = self.a_room()
        for n in range(100):
            room.sent("x", "e", 500.0, 0.25, 1.0)
            room.first_token("x", 0.01 * n)
            asked = room.ask("x", LARGE, 500.0, 0.05, 0.01 * n, lambda: True)
            self.assertNotIsInstance(asked, RoomRefusal)

    def test_idle_engine_is_not_used_while_own_requests_wait(self) -> None:
        """Guards against routers that all send to an engine that seems idle."""
        room = self.a_room()
        answers = []
        for n in range(100):
            asked = room.ask("x", LARGE, 500.0, 0.05, 0.0, lambda: True)
            answers.append(asked)
            if not isinstance(asked, RoomRefusal) and not asked.in_queue:
                room.sent(str(n), "e", 500.0, 0.25, 1.0)
        refused = [item for item in answers if isinstance(item, RoomRefusal)]
        self.assertGreater(len(refused), 80)

    def test_nothing_is_held_back_without_a_known_rate(self) -> None:
        room: FairRoom[str] = FairRoom()
        for n in range(100):
            ticket = room.ask("x", LARGE, 1e6, 0.0, 0.001 * n)
            self.assertNotIsInstance(ticket, RoomRefusal)
            self.assertFalse(ticket.in_queue)
