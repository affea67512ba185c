"""A value that one task waits for and another sets."""

from __future__ import annotations

from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Future(Generic[T]):
    """Carry one value from an actor to the task that asked for it."""

    def __init__(self) -> None:
        self._done = trio.Event()
        self._value: T | None = None
        self.withdrawn = False
        """True once nobody waits any more."""

    @property
    def is_set(self) -> bool:
        """Whether the value is there."""
        return self._done.is_set()

    def set(self, value: T) -> None:
        """Give the value; the first one stays."""
        if not self._done.is_set():
            self._value = value
            self._done.set()

    async def wait(self) -> T:
        """Return the value once it is there; withdraw when cancelled before."""
        try:
            await self._done.wait()
        except trio.Cancelled:
            # Without a look at the event, a value set in the same moment would be
            # lost, and the actor would believe that somebody got it.
            self.withdrawn = not self._done.is_set()
            if self.withdrawn:
                raise
        return self._value  # type: ignore[return-value]
