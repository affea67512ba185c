"""Measure a router's CPU time per relayed event and per request."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final

import trio

from .fleet import Fleet, running_fleet
from .fleet_plan import FleetPlan
from .load_client import LoadClient

N_STREAMS: Final = 60
"""Concurrent streams."""

N_TOKENS: Final = 200
"""Tokens per stream."""

N_SHORT_REQUESTS: Final = 600
"""Requests of one token, to separate the cost per request from that per event."""

UTIME_FIELD: Final = 13
"""Index of ``utime`` in ``/proc/PID/stat``, counted from zero."""


async def run_relay_cost() -> int:
    """Measure and print the costs; return the exit code."""
    arguments = ("--prefill-s", "0.001", "--token-s", "0.02", "--slots", "60")
    plan = FleetPlan(n_engines=2, n_services=0, n_routers=1, engine_arguments=arguments)
    async with running_fleet(plan, 120.0) as fleet:
        await _measure_streams(fleet, "warm-up", 1)
        per_request_us = await _measure_short_requests(fleet)
        for number in range(3):
            await _measure_streams(fleet, f"run {number + 1}", 3, per_request_us)
    return 0


async def _measure_streams(
    fleet: Fleet, name: str, rounds: int, per_request_us: float = 0.0
) -> None:
    cpu_before_s, started = cpu_seconds(fleet.routers[0].pid), trio.current_time()
    n_events = 0
    async with LoadClient(fleet.routers[0].address) as client:

        async def stream(number: int) -> None:
            nonlocal n_events
            answer = await client.stream(f"stream {number}", N_TOKENS)
            n_events += len(answer.indices)

        for _ in range(rounds):
            async with trio.open_nursery() as nursery:
                for number in range(N_STREAMS):
                    nursery.start_soon(stream, number)
    elapsed_s = trio.current_time() - started
    cpu_us = (cpu_seconds(fleet.routers[0].pid) - cpu_before_s) * 1e6
    net_us = cpu_us - per_request_us * N_STREAMS * rounds
    print(
        f"{name}: {n_events} events in {elapsed_s:.1f} s, {n_events / elapsed_s:.0f} "
        f"per second; router {cpu_us / n_events:.0f} us per event, "
        f"{net_us / n_events:.0f} without the cost of the requests",
        flush=True,
    )


async def _measure_short_requests(fleet: Fleet) -> float:
    """Return the CPU time of a request with one token, in microseconds."""
    cpu_before_s = cpu_seconds(fleet.routers[0].pid)
    async with LoadClient(fleet.routers[0].address) as client:

        async def send() -> None:
            for number in range(N_SHORT_REQUESTS // 20):
                await client.stream(f"short {number}", 1)

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(send)
    cost_us = (
        (cpu_seconds(fleet.routers[0].pid) - cpu_before_s) / N_SHORT_REQUESTS * 1e6
    )
    print(
        f"{N_SHORT_REQUESTS} short requests: {cost_us / 1000:.2f} ms each", flush=True
    )
    return cost_us


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # fields[0] is the state, which has index 2 in the whole line.
    user, system = fields[UTIME_FIELD - 2], fields[UTIME_FIELD - 1]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
