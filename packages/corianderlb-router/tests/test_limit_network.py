"""Tests of a limit over routers that are linked by the overlay network."""

from __future__ import annotations

import random

import trio

from corianderlb_router.instance_limits import InstanceLimits
from corianderlb_standins.trio_case import TrioTestCase
from forward_builders import TableDecoder, a_state, an_instance
from limit_builders import WINDOW_S, allowed
from test_peer_network import Fleet

ENGINE = an_instance("e1", "llm")
PER_S = 1.0
TRAFFIC_PER_S = 60.0


class LimitedFleet:
    """Routers with links, which send requests to one engine that names a limit."""

    def __init__(self, n_routers: int) -> None:
        self.fleet = Fleet(n_routers, n_zones=4, silent_after_s=2.5)
        self.limits = [
            InstanceLimits(a_state(TableDecoder()), network, 1)
            for network in self.fleet.networks.values()
        ]
        self.arrivals: list[float] = []
        self._rng = random.Random(1)

    async def send(self, for_s: float) -> None:
        """Let requests come at random routers, which send those that they may."""
        ends_at = trio.current_time() + for_s
        while trio.current_time() < ends_at:
            limits, now = self._rng.choice(self.limits), trio.current_time()
            if limits.charge(ENGINE):
                self.arrivals.append(now)
                limits.observe(ENGINE, PER_S, now)
            await trio.sleep(self._rng.expovariate(TRAFFIC_PER_S))

    def most_in_window(self) -> int:
        """Return the most requests that the engine got in a window."""
        return max(
            sum(start <= at < start + WINDOW_S for at in self.arrivals)
            for start in self.arrivals
        )


class LimitNetworkTest(TrioTestCase):
    async def play(self, n_routers: int) -> None:
        """Send traffic while the routers hear each other, by halves, and again."""
        limited = LimitedFleet(n_routers)
        fleet = limited.fleet
        region = {record.peer_address: record.region for record in fleet.records}
        async with fleet.running() as nursery:
            for limits in limited.limits:
                nursery.start_soon(limits.run)
            await trio.sleep(15)
            limited.limits[0].observe(ENGINE, PER_S, trio.current_time())
            await trio.sleep(0.5)
            await limited.send(16)
            self.assertGreaterEqual(len(limited.arrivals), 10)
            fleet.fabric.passes = lambda a, b: region[a] == region[b]
            await limited.send(12)
            fleet.fabric.passes = lambda a, b: True
            await limited.send(12)
        self.assertLessEqual(limited.most_in_window(), allowed(PER_S))

    async def test_four_routers_and_two_halves(self) -> None:
        """Guards against halves that each send what the whole fleet may."""
        await self.play(4)

    async def test_many_routers_with_few_links_and_two_halves(self) -> None:
        """Guards against announcements that reach only the linked routers in time."""
        await self.play(24)

    async def test_full_bucket_of_many_routers(self) -> None:
        """Guards against routers that all find a request saved at the same time."""
        limited = LimitedFleet(78)
        async with limited.fleet.running() as nursery:
            for limits in limited.limits:
                nursery.start_soon(limits.run)
            await trio.sleep(15)
            limited.limits[0].observe(ENGINE, PER_S, trio.current_time())
            await trio.sleep(10)
            await limited.send(8)
        self.assertGreaterEqual(len(limited.arrivals), 8)
        self.assertLessEqual(limited.most_in_window(), allowed(PER_S))
