"""Tests of how long a restarted router refuses a quarantined request."""

from __future__ import annotations

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.quarantine import DEFAULT_QUARANTINE_S
from corianderlb_router.fleet_quarantine import FleetQuarantine
from corianderlb_standins.trio_case import TrioTestCase
from test_peer_network import Fleet

POISON = b"digest"


class QuarantineAgeTest(TrioTestCase):
    async def refused_after(
        self, hold_s: float, quarantined_for_s: float
    ) -> tuple[bool, bool]:
        """Return whether a peer and a restarted router refuse a quarantined request.

        The router restarts ``quarantined_for_s`` seconds after the request's crashes.
        """
        fleet = Fleet(3)
        held = {n: FleetQuarantine(fleet.networks[n], hold_s) for n in fleet.networks}
        async with fleet.running() as nursery:
            await trio.sleep(3)
            for name in ("e1", "e2"):
                held["r00"].report_crash(InstanceId(name), 1, (POISON,))
            await trio.sleep(quarantined_for_s)
            fleet.scopes["r01"].cancel()
            await trio.sleep(1)
            new_network = fleet.network(fleet.records[1], epoch=2)
            fleet.networks["r01"] = new_network
            held["r01"] = FleetQuarantine(new_network, hold_s)
            nursery.start_soon(fleet.run_one, "r01")
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
            return tuple(
                held[name].refusal(POISON) is not None for name in ("r02", "r01")
            )

    async def test_restart_early_in_the_quarantine(self) -> None:
        """A restart must not end a quarantine."""
        self.assertEqual(await self.refused_after(60.0, 10.0), (True, True))

    async def test_restart_late_in_the_quarantine(self) -> None:
        """Crash reports must be kept for the whole quarantine."""
        self.assertEqual(
            await self.refused_after(DEFAULT_QUARANTINE_S, 300.0), (True, True)
        )

    async def test_restart_after_the_quarantine(self) -> None:
        """A restart must not extend a quarantine."""
        self.assertEqual(await self.refused_after(60.0, 90.0), (False, False))
