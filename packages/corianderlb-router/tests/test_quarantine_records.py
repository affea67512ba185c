"""Tests of quarantined requests that outlast all routers."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import SuspectPart
from corianderlb_router.fleet_quarantine import FleetQuarantine
from corianderlb_router.quarantine_records import QuarantineRecords
from corianderlb_router.store import StoredObject
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase
from data_path_fakes import FakePeers

BAD, GOOD, PART = b"bad", b"good", b"part"
HOLD_S = 60.0


@asynccontextmanager
async def a_started_router(
    store: FakeStore, name: str = "r1"
) -> AsyncIterator[FleetQuarantine]:
    """Run a router that knows nothing but what the store holds."""
    quarantine = FleetQuarantine(FakePeers(name, []), HOLD_S)
    records = QuarantineRecords(
        store, InstanceId(name), quarantine, random.Random(1), trio.current_time
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(records.run)
        await trio.sleep(1.0)
        yield quarantine
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()


async def crash_until_refused(quarantine: FleetQuarantine) -> None:
    """Let a request and a prompt part crash instances until both are refused."""
    for epoch in range(1, 5):
        suspects = (BAD, GOOD) if epoch == 1 else (BAD,)
        part = SuspectPart(PART, 1, 0, 1)
        quarantine.report_crash(InstanceId("e1"), epoch, suspects, (part,))
        await trio.sleep(0.5)


class QuarantineRecordTest(TrioTestCase):
    def assert_refused(self, quarantine: FleetQuarantine) -> None:
        """Assert that the request and the part are refused, and nothing else."""
        self.assertIsNotNone(quarantine.refusal(BAD))
        self.assertIsNotNone(quarantine.part_refusal((PART,)))
        self.assertIsNone(quarantine.refusal(GOOD))

    async def test_all_routers_restart(self) -> None:
        """Guards against crashes again after all that knew their cause are gone."""
        store = FakeStore()
        async with a_started_router(store, "r1") as first:
            await crash_until_refused(first)
        for name in ("r1", "r2"):
            async with a_started_router(store, name) as restarted:
                self.assert_refused(restarted)
        await trio.sleep(HOLD_S)
        async with a_started_router(store) as late:
            self.assertIsNone(late.refusal(BAD))

    async def test_one_crash_after_the_quarantine_is_enough(self) -> None:
        """Guards against a restart that makes a known suspect an unknown one."""
        store = FakeStore()
        async with a_started_router(store) as first:
            await crash_until_refused(first)
        async with a_started_router(store) as restarted:
            await trio.sleep(HOLD_S)
            self.assertIsNone(restarted.refusal(BAD))
            restarted.report_crash(InstanceId("e2"), 1, (BAD,))
            self.assertIsNotNone(restarted.refusal(BAD))

    async def test_store_is_away_at_the_start(self) -> None:
        """Guards against a router that never learns what it missed at its start."""
        store = FakeStore()
        async with a_started_router(store) as first:
            await crash_until_refused(first)
        store.faults.unavailable = True
        async with a_started_router(store, "r2") as restarted:
            self.assertIsNone(restarted.refusal(BAD))
            store.faults.unavailable = False
            await trio.sleep(2.0)
            self.assert_refused(restarted)

    async def test_record_that_cannot_be_read(self) -> None:
        """Guards against one odd record that hides the others."""
        store = FakeStore()
        async with a_started_router(store) as first:
            await crash_until_refused(first)
        store.objects["quarantine/odd"] = StoredObject("quarantine/odd", b"\xff", "1")
        async with a_started_router(store, "r2") as restarted:
            self.assert_refused(restarted)

    async def test_second_quarantine_of_a_request_is_recorded(self) -> None:
        """Guards against a record that still has the end of the first quarantine."""
        store = FakeStore()
        async with a_started_router(store) as first:
            await crash_until_refused(first)
            await trio.sleep(HOLD_S)
            self.assertIsNone(first.refusal(BAD))
            first.report_crash(InstanceId("e2"), 1, (BAD,))
        async with a_started_router(store, "r2") as restarted:
            self.assertIsNotNone(restarted.refusal(BAD))
