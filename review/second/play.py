"""Run a case as a program, with the exit codes of a review."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

LONGEST_S = 110.0
"""Longest time of a play, below the 120 s that a script may run."""

Case = Callable[[Record, bool], Awaitable[list[str]]]
"""Plays with a record, and with or without trouble; returns what broke the rule."""


async def play(case: Case, record: Record, has_trouble: bool) -> list[str]:
    """Play a case within its time; end what it has started if asked to terminate."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(case(record, has_trouble), LONGEST_S)


def main(case: Case, folder: Path) -> None:
    """Play a case, and exit with its result."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.line("trouble" if has_trouble else "no trouble")
    try:
        broken = asyncio.run(play(case, record, has_trouble))
    except (Exception, asyncio.CancelledError):
        record.line("could not run:", traceback.format_exc())
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    for text in broken:
        record.line("BROKEN", text)
    result = f"rule broken {len(broken)} times" if broken else "rule held"
    record.line(result)
    sys.stdout.write(f"{result}\n")
    sys.exit(BROKEN if broken else HELD)
