"""Measure how long an accepted change takes until it is in force on every router."""

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
"""Edits with the store healthy."""

N_FAILING: Final = 10
"""Edits right after whose acceptance the store answers nobody for a while."""

OUTAGE_S: Final = 4.0
"""Length of that outage, in seconds."""


@dataclass(frozen=True)
class InForceTimes:
    """Hold seconds from acceptance until the last router had each change."""

    healthy: tuple[float, ...]
    failing: tuple[float, ...]
    n_during_outage: int
    """Changes that were in force everywhere before the store came back."""


async def measure_in_force(seed: int, n_routers: int = 4) -> InForceTimes:
    """Edit the catalogue of a running fleet and read back when it came into force."""
    rng = random.Random(seed)
    plan = FleetPlan(n_engines=0, n_services=0, n_routers=n_routers)
    async with running_fleet(plan, timeout_s=180.0) as fleet:
        store = HttpObjectStore(f"http://{fleet.store.address}")
        editor = CatalogueEditor(store)
        healthy = [
            await _time_edit(fleet, editor, rng, outage_s=0.0) for _ in range(N_HEALTHY)
        ]
        failing = [
            await _time_edit(fleet, editor, rng, outage_s=OUTAGE_S)
            for _ in range(N_FAILING)
        ]
        await store.aclose()
    n_during = sum(lasted < OUTAGE_S for lasted in failing)
    return InForceTimes(tuple(healthy), tuple(failing), n_during)


async def run_in_force(seed: int) -> int:
    """Measure, print, and return the exit code."""
    times = await measure_in_force(seed)
    _print("store healthy", times.healthy)
    _print(f"store down for {OUTAGE_S:g} s right after acceptance", times.failing)
    print(f"  of these in force everywhere during the outage: {times.n_during_outage}")
    return 0


def _print(name: str, seconds: tuple[float, ...]) -> None:
    print(
        f"{name}: n {len(seconds)}, p50 {statistics.median(seconds):.3f} s, "
        f"max {max(seconds):.3f} s"
    )


async def _time_edit(
    fleet: Fleet, editor: CatalogueEditor, rng: random.Random, outage_s: float
) -> float:
    """Return seconds from one acceptance until the last router had the change."""
    await trio.sleep(rng.uniform(0.1, 1.0))
    base = (await editor.newest()).version
    put = (an_account("probe", weight=rng.uniform(1, 2)),)
    await editor.accept(Edit(f"probe-{base}", base, "probe", "measure", put))
    accepted_at = time.time()
    if outage_s:
        await fleet.fault("store", down="503")
        await trio.sleep(outage_s)
        await fleet.fault("store", down="")
    return await _last_since(fleet, base + 1) - accepted_at


async def _last_since(fleet: Fleet, version: int) -> float:
    """Return when the last router put a version in force, by the routers' word."""
    last = 0.0
    for router in fleet.routers:
        status = await fleet.status(router)
        while status["catalogue_version"] != version:
            await trio.sleep(0.02)
            status = await fleet.status(router)
        since = datetime.fromisoformat(status["in_force_since"])
        last = max(last, since.timestamp())
    return last
