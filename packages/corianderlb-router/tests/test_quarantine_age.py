"""How long a router that starts again refuses what crashed upstreams before."""

from __future__ import annotations

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.quarantine import HOLD_S
from corianderlb_router.fleet_quarantine import FleetQuarantine
from corianderlb_standins.trio_case import TrioTestCase
from test_peer_network import Fleet

POISON = b"digest"


class QuarantineAgeTest(TrioTestCase):
    async def refused_after(
        self, hold_s: float, convicted_for_s: float
    ) -> tuple[bool, bool]:
        """Return whether a peer and a router that has just started refuse a request.

        It was convicted so many seconds ago.
        """
        fleet = Fleet(3)
        held = {n: FleetQuarantine(fleet.networks[n], hold_s) for n in fleet.networks}
        async with fleet.running() as nursery:
            await trio.sleep(3)
            for name in ("e1", "e2"):
                held["r00"].report_crash(InstanceId(name), 1, (POISON,))
            await trio.sleep(convicted_for_s)
            fleet.scopes["r01"].cancel()
            await trio.sleep(1)
            reborn = fleet.network(fleet.records[1], epoch=2)
            fleet.networks["r01"] = reborn
            held["r01"] = FleetQuarantine(reborn, hold_s)
            nursery.start_soon(fleet.run_one, "r01")
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
            return tuple(
                held[name].refusal(POISON) is not None for name in ("r02", "r01")
            )

    async def test_restart_soon_after_a_conviction(self) -> None:
        """Guard against a restart that lets the request in again."""
        self.assertEqual(await self.refused_after(60.0, 10.0), (True, True))

    async def test_restart_long_after_a_conviction(self) -> None:
        """Guard against words of a crash that are dropped before the hold is over."""
        self.assertEqual(await self.refused_after(HOLD_S, 300.0), (True, True))

    async def test_restart_after_the_hold_is_over(self) -> None:
        """Guard against a hold that begins anew with each router that starts."""
        self.assertEqual(await self.refused_after(60.0, 90.0), (False, False))
