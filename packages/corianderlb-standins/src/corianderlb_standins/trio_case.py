"""Run ``async`` test methods under trio, on a clock that tests pause and advance."""

from __future__ import annotations

import functools
import inspect
import unittest
from collections.abc import Callable
from typing import Any

import trio
import trio.testing


class TrioTestCase(unittest.TestCase):
    """Let test methods be coroutines on trio's mock clock.

    The clock stands still while any task can run and jumps to the next timeout when
    all are waiting, so that a test of a ten second timeout takes no time at all.
    """

    autojump: float = 0.0
    """Real seconds of idleness before the clock jumps; infinity to jump by hand."""

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        for name, method in list(vars(cls).items()):
            if name.startswith("test") and inspect.iscoroutinefunction(method):
                setattr(cls, name, _under_trio(method))

    clock: trio.testing.MockClock
    """The clock of the running test; ``jump`` moves it by hand."""


class RealTimeTestCase(TrioTestCase):
    """Let test methods be coroutines on the real clock, for separate processes."""


def _under_trio(method: Callable[..., Any]) -> Callable[..., None]:
    @functools.wraps(method)
    def run(self: TrioTestCase) -> None:
        if isinstance(self, RealTimeTestCase):
            trio.run(method, self)
            return
        self.clock = trio.testing.MockClock(autojump_threshold=self.autojump)
        trio.run(method, self, clock=self.clock)

    return run
