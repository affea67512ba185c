"""Tests of what a router's registration tells of its earlier starts."""

from __future__ import annotations

import math
import random

import trio

from corianderlb_core.identity import InstanceId, Role
from corianderlb_router.router_registration import RouterEntry, RouterRegistration
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase


async def registered(store: FakeStore, started_ms: int) -> float:
    """Start a router; return how long ago it says that it started before."""
    entry = RouterEntry(
        InstanceId("r1"), Role.ROUTER, "z", "r", "", started_ms=started_ms
    )
    registration = RouterRegistration(store, random.Random(1))
    with trio.move_on_after(5):
        await registration.keep(entry, lambda listed: None)
    return registration.ran_before_s


class RouterRegistrationTest(TrioTestCase):
    async def test_time_since_the_previous_start(self) -> None:
        store = FakeStore()
        self.assertEqual(await registered(store, 100_000), math.inf)
        self.assertEqual(await registered(store, 101_500), 1.5)
        # A clock that went back.
        self.assertEqual(await registered(store, 100_000), 0.0)

    async def test_previous_start_is_unknown_without_the_store(self) -> None:
        """Guards against taking a store that is away for a first start."""
        store = FakeStore()
        store.faults.unavailable = True
        self.assertEqual(await registered(store, 100_000), 0.0)
        store.faults.unavailable = False
        store.faults.n_lost_answers = 1
        self.assertEqual(await registered(store, 200_000), 0.0)
        store.faults.n_lost_answers = 1
        self.assertEqual(await registered(store, 203_000), 3.0)
