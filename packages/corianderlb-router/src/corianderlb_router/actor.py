"""An object with a message queue, one task and a handler for each message.

A long-lived part of the router is an ``Actor``: its state is touched by its own task
alone, so no lock is needed and a failure has one place to show. Others ``post`` small
frozen messages to it. The handler of ``ChangesArrived`` is ``on_changes_arrived``.
"""

from __future__ import annotations

import re
from functools import cache
from typing import Any, Final

import trio

from corianderlb_core.error import CorianderError

DEFAULT_QUEUE_SIZE: Final = 1024
"""Messages that wait at most; more are refused and counted, so memory is bounded."""


class UnhandledMessageError(CorianderError):
    """Signal a message that the actor's class has no handler for."""


class Actor:
    """Own some state and handle messages about it, one at a time.

    Subclasses write ``async def on_<message>(self, message)``, and may override
    ``started`` and ``stopped``. ``run`` returns after ``close`` or by cancellation.
    """

    def __init__(self, queue_size: int | float = DEFAULT_QUEUE_SIZE) -> None:
        self._send, self._receive = trio.open_memory_channel[Any](queue_size)
        self.n_dropped = 0
        """Messages refused because the queue was full."""

    def post(self, message: Any) -> bool:
        """Queue a message; return False, and count it, when the queue is full."""
        try:
            self._send.send_nowait(message)
        except trio.WouldBlock:
            self.n_dropped += 1
            return False
        return True

    def close(self) -> None:
        """Let ``run`` return once the queued messages are handled."""
        self._send.close()

    async def run(self) -> None:
        """Handle messages until the actor is closed or cancelled."""
        await self.started()
        try:
            async for message in self._receive:
                await self.dispatch(message)
        finally:
            await self.stopped()

    async def dispatch(self, message: Any) -> None:
        """Pass one message to its handler."""
        handler = getattr(self, handler_name(type(message)), None)
        if handler is None:
            raise UnhandledMessageError(
                f"{type(self).__name__} has no {handler_name(type(message))}; add it"
            )
        await handler(message)

    async def started(self) -> None:
        """Prepare before the first message; override where needed."""

    async def stopped(self) -> None:
        """Release what the actor owns; runs under cancellation too."""


@cache
def handler_name(cls: type) -> str:
    """Return the name of the method that handles a message class.

    For example ``handler_name(CrashReport)`` is ``"on_crash_report"``.
    """
    return "on_" + re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", cls.__name__).lower()
