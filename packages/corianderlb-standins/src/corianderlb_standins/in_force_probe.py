"""Measure the time from a change's acceptance until all routers have it in force."""

from __future__ import annotations

import random
import statistics
import time
from dataclasses import dataclass
from datetime import datetime
from typing import Final

import trio

from corianderlb_core.edit import Edit
from corianderlb_router.catalogue_editor import CatalogueEditor
from corianderlb_router.http_store import HttpObjectStore

from .builder import an_account
from .fleet import Fleet, running_fleet
from .fleet_plan import FleetPlan

N_HEALTHY: Final = 40
"""Edits with a healthy store."""

N_WITH_OUTAGE: Final = 10
"""Edits with a store outage right after their acceptance."""

OUTAGE_S: Final = 4.0
"""Duration of each outage."""


@dataclass(frozen=True)
class InForceTimes:
    """Seconds from the acceptance of each change until it was in force everywhere."""

    healthy: tuple[float, ...]
    with_outage: tuple[float, ...]
    n_during_outage: int
    """Changes in force on all routers before the store recovered."""


async def measure_in_force(seed: int, n_routers: int = 4) -> InForceTimes:
    """Edit the catalogue of a running fleet and time each change until in force."""
    rng = random.Random(seed)
    plan = FleetPlan(n_engines=0, n_services=0, n_routers=n_routers)
    async with running_fleet(plan, timeout_s=180.0) as fleet:
        store = HttpObjectStore(f"http://{fleet.store.address}")
        editor = CatalogueEditor(store)
        healthy = [
            await _time_edit(fleet, editor, rng, outage_s=0.0) for _ in range(N_HEALTHY)
        ]
        with_outage = [
            await _time_edit(fleet, editor, rng, outage_s=OUTAGE_S)
            for _ in range(N_WITH_OUTAGE)
        ]
        await store.aclose()
    n_during = sum(elapsed_s < OUTAGE_S for elapsed_s in with_outage)
    return InForceTimes(tuple(healthy), tuple(with_outage), n_during)


async def run_in_force(seed: int) -> int:
    """Measure and print the times; return the exit code."""
    times = await measure_in_force(seed)
    _print_times("store healthy", times.healthy)
    _print_times(
        f"store down for {OUTAGE_S:g} s right after acceptance", times.with_outage
    )
    print(f"  of these in force everywhere during the outage: {times.n_during_outage}")
    return 0


def _print_times(name: str, seconds: tuple[float, ...]) -> None:
    print(
        f"{name}: n {len(seconds)}, p50 {statistics.median(seconds):.3f} s, "
        f"max {max(seconds):.3f} s"
    )


async def _time_edit(
    fleet: Fleet, editor: CatalogueEditor, rng: random.Random, outage_s: float
) -> float:
    """Accept one edit; return the seconds until all routers have it in force."""
    await trio.sleep(rng.uniform(0.1, 1.0))
    base = (await editor.newest()).version
    entries = (an_account("probe", weight=rng.uniform(1, 2)),)
    await editor.accept(Edit(f"probe-{base}", base, "probe", "measure", entries))
    accepted_at = time.time()
    if outage_s:
        await fleet.fault("store", down="503")
        await trio.sleep(outage_s)
        await fleet.fault("store", down="")
    return await _last_in_force_at(fleet, base + 1) - accepted_at


async def _last_in_force_at(fleet: Fleet, version: int) -> float:
    """Return when the last router put a version in force, as the routers report it."""
    last = 0.0
    for router in fleet.routers:
        status = await fleet.status(router)
        while status["catalogue_version"] != version:
            await trio.sleep(0.02)
            status = await fleet.status(router)
        in_force_at = datetime.fromisoformat(status["in_force_since"])
        last = max(last, in_force_at.timestamp())
    return last
