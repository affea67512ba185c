"""A value that one task waits for and another sets."""

from __future__ import annotations

from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Future(Generic[T]):
    """Carry one value from an actor to the task that asked for it."""

    def __init__(self) -> None:
        self._done = trio.Event()
        self.value: T | None = None
        """The value, once it is set."""

    def set(self, value: T) -> None:
        """Give the value; the first one stays."""
        if not self._done.is_set():
            self.value = value
            self._done.set()

    async def wait(self) -> T:
        """Return the value once it is there."""
        await self._done.wait()
        return self.value  # type: ignore[return-value]
