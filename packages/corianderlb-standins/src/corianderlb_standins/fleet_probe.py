"""Slopes of the cost of an idle fleet, by routers and by upstream instances.

A fleet is started at each size and measured after it has settled. As no caller sends
requests, the routers' entire cost is that of control.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import trio

from .fleet import Fleet, running_fleet
from .fleet_plan import FleetPlan
from .relay_cost import cpu_seconds
from .slope import Point, Slope, fit_line

STARTUP_SETTLE_S: Final = 20.0
"""Delay before measuring, so that the cost of joining is not included."""

WITHOUT_LOAD_VECTORS: Final = {"placement": {"gossip_min_s": 3600.0}}
"""Router settings that disable load vectors. They have their own byte budget and row on
the capacity page and must not count as the cost of membership."""

RESTART_SETTLE_S: Final = 6.0
"""Delay before all routers of a fleet are restarted."""

MEASURE_S: Final = 10.0
"""Duration of a measurement."""

FLEET_TIMEOUT_S: Final = 120.0
"""Maximum lifetime of one fleet."""

ROUTER_SIZES: Final = (12, 24, 48)
"""Routers of the fleets with two engines; enough to reach the full number of links."""

UPSTREAM_SIZES: Final = (2, 8, 24)
"""Engines of the fleets with two routers."""

RESTART_SIZES: Final = (4, 8, 16)
"""Routers that are restarted at the same time."""

MB: Final = 1 << 20


@dataclass(frozen=True)
class Usage:
    """CPU time and memory used by a process."""

    cpu_s: float
    memory_bytes: float

    @classmethod
    def of(cls, pid: int) -> Usage:
        """Read the usage of a running process from ``/proc``."""
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return cls(cpu_seconds(pid), float(pages * os.sysconf("SC_PAGE_SIZE")))


@dataclass(frozen=True)
class IdleCost:
    """Cost of an idle router, averaged over the fleet unless noted."""

    core_share: float
    memory_mb: float
    peer_bytes_per_s: float
    """Bytes sent to other routers."""
    store_calls_per_s: float
    """Total of all routers."""


async def idle_slopes() -> list[Slope]:
    """Return the slopes of an idle router's costs."""
    by_routers = [
        await _measure_idle(
            FleetPlan(
                n_engines=2,
                n_services=1,
                n_routers=n,
                router_settings=WITHOUT_LOAD_VECTORS,
            )
        )
        for n in ROUTER_SIZES
    ]
    by_upstreams = [
        await _measure_idle(FleetPlan(n_engines=n, n_services=1, n_routers=2))
        for n in UPSTREAM_SIZES
    ]
    return [
        *_fit_slopes("by routers", "routers", ROUTER_SIZES, by_routers),
        *_fit_slopes(
            "by upstreams", "upstream instances", UPSTREAM_SIZES, by_upstreams
        ),
    ]


async def restart_slope() -> Slope:
    """Return the slope of store calls when all routers start at the same time."""
    points = [Point(n, await _restart_store_calls(n)) for n in RESTART_SIZES]
    return fit_line("store calls of a herd start", "routers", "calls", points)


def _fit_slopes(
    name: str, x_unit: str, sizes: tuple[int, ...], costs: list[IdleCost]
) -> list[Slope]:
    """Return one slope for each field of ``IdleCost``."""
    columns: list[tuple[str, str, Callable[[IdleCost], float]]] = [
        ("idle core share", "% of a core", lambda cost: cost.core_share * 100),
        ("idle memory", "MB", lambda cost: cost.memory_mb),
        ("idle peer bytes", "bytes/s", lambda cost: cost.peer_bytes_per_s),
        ("idle store calls", "calls/s of all", lambda cost: cost.store_calls_per_s),
    ]
    return [
        fit_line(
            f"{cost_name} {name}",
            x_unit,
            y_unit,
            [Point(n, value_of(cost)) for n, cost in zip(sizes, costs, strict=True)],
        )
        for cost_name, y_unit, value_of in columns
    ]


async def _measure_idle(plan: FleetPlan) -> IdleCost:
    async with running_fleet(plan, FLEET_TIMEOUT_S) as fleet:
        await trio.sleep(STARTUP_SETTLE_S)
        before = await _read_totals(fleet)
        await trio.sleep(MEASURE_S)
        after = await _read_totals(fleet)
    n_routers = plan.n_routers
    return IdleCost(
        (after.cpu_s - before.cpu_s) / MEASURE_S / n_routers,
        after.memory_bytes / n_routers / MB,
        (after.peer_bytes - before.peer_bytes) / MEASURE_S / n_routers,
        (after.store_calls - before.store_calls) / MEASURE_S,
    )


@dataclass(frozen=True)
class _Totals:
    """Totals over all routers of a fleet."""

    cpu_s: float
    memory_bytes: float
    peer_bytes: float
    store_calls: float


async def _read_totals(fleet: Fleet) -> _Totals:
    usages = [Usage.of(router.pid) for router in fleet.routers]
    statuses = [await fleet.status(router) for router in fleet.routers]
    return _Totals(
        sum(usage.cpu_s for usage in usages),
        sum(usage.memory_bytes for usage in usages),
        sum(_sum_counters(status, "peers.bytes_out") for status in statuses),
        sum(_sum_counters(status, "store_calls.") for status in statuses),
    )


def _sum_counters(status: dict[str, Any], prefix: str) -> float:
    """Return the sum of the counters whose names start with a prefix."""
    counters = status["counters"]
    return sum(
        counter["value"] for counter in counters if counter["name"].startswith(prefix)
    )


async def _restart_store_calls(n_routers: int) -> float:
    """Restart all routers and return their store calls until all are ready."""
    plan = FleetPlan(n_engines=1, n_services=1, n_routers=n_routers)
    async with running_fleet(plan, FLEET_TIMEOUT_S) as fleet:
        await trio.sleep(RESTART_SETTLE_S)
        for router in fleet.routers:
            await router.kill()
        async with trio.open_nursery() as nursery:
            for router in fleet.routers:
                nursery.start_soon(fleet.restart, router.name)
        await fleet.wait_ready()
        statuses = [await fleet.status(router) for router in fleet.routers]
        return sum(_sum_counters(status, "store_calls.") for status in statuses)
