"""An answer that arrives as the time budget ends ends the router."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from fleet import (  # noqa: E402
    CONTACT_S,
    Fleet,
    check_calm,
    closed_without_answer,
    play,
)
from standins import repeat_until  # noqa: E402

MAX_CLOSED = 3
"""Channels that LOST lets machines in touch close without an answer."""

N_CALLERS = 40
"""Clients of each router that send sign-offs to the application."""

N_READERS = 16
"""Clients of each router that read streams of the engines."""

BUDGET_S = 1.5
STREAM_BUDGET_S = 15.0
SLOW_SHARE = 0.9
WAVE_S = 10.0
N_WAVES = 3
ENGINES = ("e1", "e2", "e3", "e4")


async def ask(fleet: Fleet, seconds: float) -> None:
    """Let the clients of each router send requests over kept channels."""
    until = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        for router in range(len(fleet.routers)):
            for number in range(N_CALLERS + N_READERS):
                client = fleet.client(router)
                is_reader = number >= N_CALLERS

                async def step(client=client, is_reader=is_reader) -> None:
                    if is_reader:
                        await client.send("/sum/1", STREAM_BUDGET_S, n_events=5)
                    else:
                        await client.send("/sign/1", BUDGET_S)

                start_s = random.uniform(0.0, 1.0)
                group.create_task(repeat_until(until, 0.02, step, start_s))


async def slow_down_in_waves(fleet: Fleet) -> None:
    """Let the runners of the application turn slow, with short pauses."""
    for _ in range(N_WAVES):
        for runner in fleet.runners.values():
            runner.slow_share = 0.0 if runner.is_engine else SLOW_SHARE
        await asyncio.sleep(WAVE_S)
        for runner in fleet.runners.values():
            runner.slow_share = 0.0
        await asyncio.sleep(1.0)


async def scenario(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether LOST was kept."""
    await asyncio.sleep(CONTACT_S)
    await ask(fleet, 2)
    check_calm(fleet)
    async with asyncio.TaskGroup() as group:
        if has_trouble:
            fleet.note("the runners of the application turn slow")
            group.create_task(slow_down_in_waves(fleet))
        group.create_task(ask(fleet, N_WAVES * (WAVE_S + 1)))
    # The engines are sound all the while.
    closed = closed_without_answer(fleet, ENGINES)
    fleet.note(f"kept channels closed without an answer: {len(closed)}")
    n_ends = [len(router.own_ends) for router in fleet.routers]
    fleet.note(f"ends of their own, by router: {n_ends}")
    held = len(closed) <= MAX_CLOSED
    fleet.note(f"LOST {'held' if held else 'BROKEN'}")
    return held


play(CASE, scenario)
