"""Test case classes that run ``async`` test methods under trio."""

from __future__ import annotations

import functools
import inspect
import unittest
from collections.abc import Callable
from typing import Any

import trio
import trio.testing


class TrioTestCase(unittest.TestCase):
    """Test case whose ``async`` test methods run on trio's mock clock.

    The clock stands still while a task can run and jumps to the next timeout when all
    tasks wait, so that tests of long timeouts finish at once.
    """

    autojump: float = 0.0
    """Idle seconds before the clock jumps; infinity for manual ``clock.jump``."""

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        for name, method in list(vars(cls).items()):
            if name.startswith("test") and inspect.iscoroutinefunction(method):
                setattr(cls, name, _run_under_trio(method))

    clock: trio.testing.MockClock
    """Clock of the running test; ``jump`` advances it."""


class RealTimeTestCase(TrioTestCase):
    """Test case on the real clock, for tests that start processes."""


def _run_under_trio(method: Callable[..., Any]) -> Callable[..., None]:
    @functools.wraps(method)
    def run(self: TrioTestCase) -> None:
        if isinstance(self, RealTimeTestCase):
            trio.run(method, self)
            return
        self.clock = trio.testing.MockClock(autojump_threshold=self.autojump)
        trio.run(method, self, clock=self.clock)

    return run
