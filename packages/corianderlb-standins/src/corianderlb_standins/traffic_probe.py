"""Slopes of the data path's cost: events, requests, streams and journal writes."""

from __future__ import annotations

from typing import Final

import trio

from .fleet import Fleet, running_fleet
from .fleet_plan import FleetPlan
from .fleet_probe import MB, Usage
from .load_client import LoadClient
from .slope import Point, Slope, fit_line

STREAM_SIZES: Final = (20, 40, 60)
"""Concurrent streams, each with the same number of events."""

N_TOKENS: Final = 250
"""Tokens per stream."""

REQUEST_SIZES: Final = (150, 300, 600)
"""Short requests, sent by ``N_SENDERS`` concurrent senders."""

N_SENDERS: Final = 20

CALL_SIZES: Final = (30, 60, 120)
"""Non-repeatable calls, sent by ``N_CALLERS`` callers over all routers."""

N_CALLERS: Final = 10

US_PER_S: Final = 1e6
"""Microseconds per second."""

_ENGINE_ARGUMENTS: Final = (
    "--prefill-s",
    "0.001",
    "--token-s",
    "0.02",
    "--slots",
    "60",
)


async def traffic_slopes() -> list[Slope]:
    """Return the costs of events, requests and streams in flight on one router."""
    plan = FleetPlan(
        n_engines=2, n_services=0, n_routers=1, engine_arguments=_ENGINE_ARGUMENTS
    )
    async with running_fleet(plan, 240.0) as fleet:
        await _measure_streams(fleet, STREAM_SIZES[0])
        idle_mb = Usage.of(fleet.routers[0].pid).memory_bytes / MB
        requests = [Point(n, await _measure_requests(fleet, n)) for n in REQUEST_SIZES]
        events, memory = [], [Point(0, idle_mb)]
        for n_streams in STREAM_SIZES:
            event_point, held_mb = await _measure_streams(fleet, n_streams)
            events.append(event_point)
            memory.append(Point(n_streams, held_mb))
    return [
        fit_line("relayed events", "events", "us", events),
        fit_line("short requests", "requests", "us", requests),
        fit_line("streams in flight", "streams", "MB", memory),
    ]


async def store_write_slope() -> Slope:
    """Return the slope of store writes by non-repeatable calls over four routers."""
    plan = FleetPlan(n_engines=1, n_services=2, n_routers=4)
    async with running_fleet(plan, 120.0) as fleet:
        points = [Point(n, await _measure_store_writes(fleet, n)) for n in CALL_SIZES]
    return fit_line("store writes of non-repeatable calls", "calls", "writes", points)


async def _measure_streams(fleet: Fleet, n_streams: int) -> tuple[Point, float]:
    """Return the events with their CPU time, and the memory halfway through."""
    router = fleet.routers[0]
    before = Usage.of(router.pid)
    n_events = 0
    held_mb = 0.0
    async with LoadClient(router.address) as client, trio.open_nursery() as nursery:

        async def stream(number: int) -> None:
            nonlocal n_events
            answer = await client.stream(f"stream {number}", N_TOKENS)
            n_events += len(answer.indices)

        for number in range(n_streams):
            nursery.start_soon(stream, number)
        await trio.sleep(N_TOKENS * 0.02 / 2)
        held_mb = Usage.of(router.pid).memory_bytes / MB
    used_s = Usage.of(router.pid).cpu_s - before.cpu_s
    return Point(n_events, used_s * US_PER_S), held_mb


async def _measure_requests(fleet: Fleet, n_requests: int) -> float:
    router = fleet.routers[0]
    before = Usage.of(router.pid)
    async with LoadClient(router.address) as client, trio.open_nursery() as nursery:

        async def send(count: int) -> None:
            for number in range(count):
                await client.stream(f"short {number}", 1)

        for _ in range(N_SENDERS):
            nursery.start_soon(send, n_requests // N_SENDERS)
    return (Usage.of(router.pid).cpu_s - before.cpu_s) * US_PER_S


async def _measure_store_writes(fleet: Fleet, n_calls: int) -> float:
    """Return the store writes that a number of calls caused."""
    before = await _count_store_writes(fleet)

    async def call(caller: int) -> None:
        router = fleet.routers[caller % len(fleet.routers)]
        async with LoadClient(router.address) as client:
            for number in range(n_calls // N_CALLERS):
                key = f"{n_calls}-{caller}-{number}"
                await client.call("POST", "sign-off/7", {}, key)

    async with trio.open_nursery() as nursery:
        for caller in range(N_CALLERS):
            nursery.start_soon(call, caller)
    return await _count_store_writes(fleet) - before


async def _count_store_writes(fleet: Fleet) -> float:
    total = 0.0
    for router in fleet.routers:
        counters = (await fleet.status(router))["counters"]
        names = ("store_calls.create", "store_calls.update")
        total += sum(
            counter["value"] for counter in counters if counter["name"] in names
        )
    return total
