"""An answer that arrives as the time budget ends ends the router."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from fleet import CONTACT_S, Fleet, play, served_share  # noqa: E402
from standins import repeat_until  # noqa: E402

MAX_CLOSED = 3
"""Channels that LOST lets machines in touch close without an answer."""

N_CLIENTS = 40
"""Clients of each router."""

BUDGET_S = 1.5
HANG_SHARE = 0.9
WAVE_S = 13.0
N_WAVES = 5


async def ask(fleet: Fleet, seconds: float) -> None:
    """Let the clients of each router send requests over kept channels."""
    until = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for router in range(len(fleet.routers)):
            for _ in range(N_CLIENTS):
                client = fleet.client(router)

                async def step(client=client) -> None:
                    await client.send("/sign/1", BUDGET_S)

                group.create_task(repeat_until(until, 0.02, step))


async def hang_in_waves(fleet: Fleet) -> None:
    """Let the runners of the application hang, with short pauses."""
    for _ in range(N_WAVES):
        for runner in fleet.runners.values():
            runner.hang_share = 0.0 if runner.is_engine else HANG_SHARE
        await asyncio.sleep(WAVE_S)
        for runner in fleet.runners.values():
            runner.hang_share = 0.0
        await asyncio.sleep(1.0)


async def scenario(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether LOST was kept."""
    await asyncio.sleep(CONTACT_S)
    await ask(fleet, 2)
    fleet.note(f"served before: {served_share(fleet.results):.3f}")
    async with asyncio.TaskGroup() as group:
        if has_trouble:
            fleet.note("the runners of the application hang on some requests")
            group.create_task(hang_in_waves(fleet))
        group.create_task(ask(fleet, N_WAVES * (WAVE_S + 1)))
    ran = {run.request_id for run in fleet.runs}
    closed = [
        result
        for result in fleet.results
        if result.is_kept
        and result.is_closed
        and not result.status
        and result.request_id in ran
    ]
    fleet.note(f"kept channels closed without an answer: {len(closed)}")
    n_ends = [len(router.own_ends) for router in fleet.routers]
    fleet.note(f"ends of their own, by router: {n_ends}")
    held = len(closed) <= MAX_CLOSED
    fleet.note(f"LOST {'held' if held else 'BROKEN'}")
    return held


play(CASE, scenario)
