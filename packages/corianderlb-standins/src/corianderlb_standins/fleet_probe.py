"""Slopes of an idle fleet of separate processes, by routers and by upstream instances.

A fleet is started at each size, left to settle and watched for a while. What the
routers spend meanwhile is all control: no caller sends anything.
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
from .slope import Point, Slope, fit

SETTLE_S: Final = 20.0
"""Seconds between the start of a fleet and the watch; joining costs more."""

NO_VECTORS: Final = {"placement": {"gossip_min_s": 3600.0}}
"""Settings of the fleets for the costs by routers. Load vectors have a byte budget and
a row of their own, and so must not count as the cost of membership."""

HERD_SETTLE_S: Final = 6.0
"""Seconds for which a fleet runs before all of its routers restart."""

WATCH_S: Final = 10.0
"""Seconds for which a fleet is watched."""

START_LIMIT_S: Final = 120.0
"""Longest time for one fleet."""

ROUTER_SIZES: Final = (12, 24, 48)
"""Routers of the fleets with two engines: enough that links are as many as ever."""

UPSTREAM_SIZES: Final = (2, 8, 24)
"""Engines of the fleets with two routers."""

HERD_SIZES: Final = (4, 8, 16)
"""Routers that are restarted together."""

MB: Final = 1 << 20


@dataclass(frozen=True)
class Usage:
    """Hold what one process used up to now."""

    cpu_s: float
    memory_bytes: float

    @classmethod
    def of(cls, pid: int) -> Usage:
        """Read the usage of a running process from the kernel's tables."""
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return cls(cpu_seconds(pid), float(pages * os.sysconf("SC_PAGE_SIZE")))


@dataclass(frozen=True)
class IdleCost:
    """Hold what an idle router spends, as the mean over the fleet's routers."""

    core_share: float
    memory_mb: float
    peer_bytes_per_s: float
    """Sent to other routers."""
    store_calls_per_s: float
    """Of all routers together."""


async def idle_slopes() -> list[Slope]:
    """Return the slopes of an idle router's costs."""
    by_routers = [
        await _idle(
            FleetPlan(
                n_engines=2, n_services=1, n_routers=n, router_settings=NO_VECTORS
            )
        )
        for n in ROUTER_SIZES
    ]
    by_upstreams = [
        await _idle(FleetPlan(n_engines=n, n_services=1, n_routers=2))
        for n in UPSTREAM_SIZES
    ]
    return [
        *_slopes("by routers", "routers", ROUTER_SIZES, by_routers),
        *_slopes("by upstreams", "upstream instances", UPSTREAM_SIZES, by_upstreams),
    ]


async def herd_slope() -> Slope:
    """Return the store calls of a fleet whose routers all start together."""
    points = [Point(n, await _herd_calls(n)) for n in HERD_SIZES]
    return fit("store calls of a herd start", "routers", "calls", points)


def _slopes(
    name: str, x_unit: str, sizes: tuple[int, ...], costs: list[IdleCost]
) -> list[Slope]:
    """Return one slope for each part of the cost."""
    readers: list[tuple[str, str, Callable[[IdleCost], float]]] = [
        ("idle core share", "% of a core", lambda cost: cost.core_share * 100),
        ("idle memory", "MB", lambda cost: cost.memory_mb),
        ("idle peer bytes", "bytes/s", lambda cost: cost.peer_bytes_per_s),
        ("idle store calls", "calls/s of all", lambda cost: cost.store_calls_per_s),
    ]
    return [
        fit(
            f"{what} {name}",
            x_unit,
            y_unit,
            [Point(n, read(cost)) for n, cost in zip(sizes, costs, strict=True)],
        )
        for what, y_unit, read in readers
    ]


async def _idle(plan: FleetPlan) -> IdleCost:
    async with running_fleet(plan, START_LIMIT_S) as fleet:
        await trio.sleep(SETTLE_S)
        before = await _take(fleet)
        await trio.sleep(WATCH_S)
        after = await _take(fleet)
    n_routers = plan.n_routers
    return IdleCost(
        (after.cpu_s - before.cpu_s) / WATCH_S / n_routers,
        after.memory_bytes / n_routers / MB,
        (after.peer_bytes - before.peer_bytes) / WATCH_S / n_routers,
        (after.store_calls - before.store_calls) / WATCH_S,
    )


@dataclass(frozen=True)
class _Totals:
    """Hold sums over all routers of a fleet."""

    cpu_s: float
    memory_bytes: float
    peer_bytes: float
    store_calls: float


async def _take(fleet: Fleet) -> _Totals:
    usages = [Usage.of(router.pid) for router in fleet.routers]
    statuses = [await fleet.status(router) for router in fleet.routers]
    return _Totals(
        sum(usage.cpu_s for usage in usages),
        sum(usage.memory_bytes for usage in usages),
        sum(_counter(status, "peers.bytes_out") for status in statuses),
        sum(_counter(status, "store_calls.") for status in statuses),
    )


def _counter(status: dict[str, Any], prefix: str) -> float:
    """Return the sum of the counters whose name starts with a prefix."""
    counters = status["counters"]
    return sum(c["value"] for c in counters if c["name"].startswith(prefix))


async def _herd_calls(n_routers: int) -> float:
    """Return the store calls from a restart of all routers until all are ready."""
    plan = FleetPlan(n_engines=1, n_services=1, n_routers=n_routers)
    async with running_fleet(plan, START_LIMIT_S) as fleet:
        await trio.sleep(HERD_SETTLE_S)
        for router in fleet.routers:
            await router.kill()
        async with trio.open_nursery() as nursery:
            for router in fleet.routers:
                nursery.start_soon(fleet.restart, router.name)
        await fleet.wait_ready()
        statuses = [await fleet.status(router) for router in fleet.routers]
        return sum(_counter(status, "store_calls.") for status in statuses)
