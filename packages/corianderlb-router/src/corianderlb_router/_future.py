"""A value that one task waits for and another sets."""

from __future__ import annotations

from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Future(Generic[T]):
    """Result of a request to an actor, set once."""

    def __init__(self) -> None:
        self._done = trio.Event()
        self.value: T | None = None
        """The value, or None until it is set."""

    def set(self, value: T) -> None:
        """Set the value; later calls have no effect."""
        if not self._done.is_set():
            self.value = value
            self._done.set()

    async def wait(self) -> T:
        """Wait for the value and return it."""
        await self._done.wait()
        return self.value  # type: ignore[return-value]
