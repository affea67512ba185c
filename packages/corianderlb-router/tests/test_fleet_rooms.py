"""Test the admission of prompts by fair shares, with routers that hear each other."""

from __future__ import annotations

from collections import Counter

import trio

from corianderlb_core.forwarding import ForwardAccount
from corianderlb_core.message import RoomState, RoomUpdate
from corianderlb_core.usage_cap import UsageCap, UsageUnit
from corianderlb_router.fleet_rooms import room_weights
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import ForwardRouter, Upstream, a_fleet, a_stream, an_instance

TOKENS_PER_S = 40_000.0
N_TOKENS = 1_700
KEYS = {"acme": "key", "walled": "key-w"}


def an_engine() -> Upstream:
    """Build an engine that prefills one prompt after the other."""
    reading = trio.Semaphore(1)

    async def read(stream: trio.abc.Stream) -> None:
        async with reading:
            await trio.sleep((N_TOKENS + 300) / TOKENS_PER_S)
        await stream.send_all(a_stream(1, 1))

    return Upstream([read])


class Callers:
    """Callers of two accounts; counts answers in time by account."""

    def __init__(self, routers: list[ForwardRouter]) -> None:
        self.routers = routers
        self.asked: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.late: Counter[str] = Counter()
        self.retry_after_s: list[float] = []
        self.held_s: list[float] = []

    async def ask(self, account: str, n: int, counts: bool) -> None:
        """Send one request."""
        start = trio.current_time()
        router = self.routers[n % len(self.routers)]
        caller = await router.ask(
            "/quick/7",
            x_id=f"{account}{n}",
            x_key=KEYS[account],
            x_prompt=f"{account}{n}:{N_TOKENS}",
        )
        took_s = trio.current_time() - start
        if not counts:
            return
        self.asked[account] += 1
        if caller.status == 200:
            (self.in_time if took_s <= 1.0 else self.late)[account] += 1
        else:
            self.held_s.append(took_s)
            self.retry_after_s.append(float(caller.answer_headers["retry-after"]))

    async def play(self, per_s: dict[str, float], seconds: float) -> None:
        """Send requests at even rates; those of the first half don't count."""
        async with trio.open_nursery() as nursery:
            for account, rate in per_s.items():
                nursery.start_soon(self._play, nursery, account, rate, seconds)

    async def _play(
        self, nursery: trio.Nursery, account: str, per_s: float, seconds: float
    ) -> None:
        for n in range(int(per_s * seconds)):
            counts = n > per_s * seconds / 2
            nursery.start_soon(self.ask, account, n, counts)
            await trio.sleep(1 / per_s)


class FleetRoomsTest(TrioTestCase):
    async def play(self, is_fair: bool, seconds: float = 12.0) -> Callers:
        """Play accounts that ask for 0.4 and 3 times of what one engine can do."""
        async with (
            a_fleet(2, e1=an_engine()) as routers,
            trio.open_nursery() as nursery,
        ):
            for router in routers:
                router.list_instances(an_instance("e1", "llm", slots=8), revision=21)
                if is_fair:
                    router.share_room(nursery)
            callers = Callers(routers)
            await callers.play({"acme": 60.0, "walled": 8.0}, seconds)
            nursery.cancel_scope.cancel()
        return callers

    async def test_small_account_is_served_beside_a_large_one(self) -> None:
        """Guards against a large account that takes the room of a small one."""
        callers = await self.play(is_fair=True)
        share = {name: callers.in_time[name] / callers.asked[name] for name in KEYS}
        self.assertGreater(share["walled"], 0.95)
        per_s = callers.in_time.total() / 6.0
        self.assertGreater(per_s, 0.75 * TOKENS_PER_S / (N_TOKENS + 300))
        self.assertLess(callers.late.total(), 0.1 * callers.in_time.total())

    async def test_refused_callers_hear_at_once_when_to_return(self) -> None:
        """Guards against callers that are held, and all told to return together."""
        callers = await self.play(is_fair=True, seconds=6.0)
        self.assertLess(max(callers.held_s), 0.2)
        self.assertGreater(len({round(s, 2) for s in callers.retry_after_s}), 3)

    async def test_without_the_setting_nothing_is_held_back(self) -> None:
        """Guards against a change for deployments that don't set it."""
        async with a_fleet(2, e1=an_engine()) as routers:
            update = RoomUpdate((RoomState("llm", 1, True, 0, 0, 0, 0),))
            for _ in range(3):
                await routers[0].rooms.on_room_update("r1", update)
            caller = await routers[0].ask("/quick/7", x_prompt="own:9000")
            self.assertEqual(caller.status, 200)
            self.assertFalse(routers[0].rooms.is_rated("llm"))

    def test_weights_follow_caps(self) -> None:
        caps = (UsageCap(100, 1, UsageUnit.TOKENS), UsageCap(300, 1, UsageUnit.TOKENS))
        accounts = (
            ForwardAccount("a", (), cap=caps[0]),
            ForwardAccount("b", (), cap=caps[1]),
            ForwardAccount("c", ()),
        )
        self.assertEqual(room_weights(accounts), {"a": 0.5, "b": 1.5})
