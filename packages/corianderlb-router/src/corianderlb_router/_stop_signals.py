"""Reception of signals that something has to know of at once."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from types import FrameType
from typing import Any

import trio


@contextmanager
def receive_signals(
    *numbers: signal.Signals, at_once: Callable[[int], None]
) -> Iterator[AsyncIterator[int]]:
    """Receive signals like ``trio.open_signal_receiver``, and call ``at_once`` first.

    The receiver is told in a later pass of the event loop, after what arrived with the
    signal: for a process that stood still, that can be a readiness check. ``at_once``
    runs between two instructions of any task, so it should set a flag and no more.
    """
    with trio.open_signal_receiver(*numbers) as received:
        for number in numbers:
            queue = signal.getsignal(number)
            signal.signal(number, partial(_handle, at_once, queue))
        yield received


def _handle(
    at_once: Callable[[int], None], queue: Any, number: int, frame: FrameType | None
) -> None:
    at_once(number)
    queue(number, frame)
