"""Builders of streams whose events name the run that wrote them, and their check."""

from __future__ import annotations

import re
from typing import Final

from forward_builders import STREAM_END, STREAM_HEAD, chunk

_EVENT: Final = re.compile(rb"id: (\d+)\ndata: (\w+) (\d+) after (\d+)\n\n")


def a_run_event(number: int, run: str, turn: int, after: int = 0) -> bytes:
    """Build the n-th event of a run that was asked to go on after another event."""
    return b"id: %d\ndata: %s %d after %d\n\n" % (number, run.encode(), turn, after)


def a_run(
    run: str, *numbers: int, after: int | None = None, ends: bool = True
) -> bytes:
    """Build the stream of a run; by default it begins where it was asked to."""
    asked = numbers[0] - 1 if after is None else after
    events = b"".join(
        chunk(a_run_event(number, run, turn, asked))
        for turn, number in enumerate(numbers, 1)
    )
    return STREAM_HEAD + events + (STREAM_END if ends else b"")


def runs_of(answer: bytes) -> list[tuple[str, int, int]]:
    """Return the runs of an answer in order: name, first and last event."""
    runs: list[tuple[str, int, int]] = []
    for number, name, *_ in _read_events(answer):
        if runs and runs[-1][0] == name:
            runs[-1] = (name, runs[-1][1], number)
        else:
            runs.append((name, number, number))
    return runs


def order_faults(answer: bytes, last: int = 0) -> list[str]:
    """Return what is wrong with the order of an answer to a caller that has ``last``.

    Another run may follow only where it was asked to go on after the last event.
    """
    faults = []
    name, turns = "", 0
    for number, run, turn, after in _read_events(answer):
        if number != last + 1:
            faults.append(f"event {number} of {run} follows {last}")
        if run != name and after != last:
            faults.append(f"{run}, asked to go on after {after}, follows {last}")
        if turn != (turns + 1 if run == name else 1):
            faults.append(f"event {turn} of {run} follows {turns} of {name}")
        name, turns, last = run, turn, number
    return faults


def _read_events(answer: bytes) -> list[tuple[int, str, int, int]]:
    if _EVENT.sub(b"", answer):
        raise ValueError(f"the answer holds more than events: {answer!r}")
    return [
        (int(number), run.decode(), int(turn), int(after))
        for number, run, turn, after in _EVENT.findall(answer)
    ]
