"""Base class of actors: a message queue, one task and a handler per message class.

The state of an ``Actor`` is accessed only by its own task, so it needs no lock, and its
failures surface in one task. Other tasks ``post`` small frozen messages to it. The
handler of ``ChangesArrived`` is ``on_changes_arrived``.
"""

from __future__ import annotations

import re
from functools import cache
from typing import Any, Final

import trio

from corianderlb_core.error import CorianderError

DEFAULT_QUEUE_SIZE: Final = 1024
"""Most queued messages; more are rejected and counted, which bounds memory."""


class UnhandledMessageError(CorianderError):
    """Raised for a message that the actor has no handler for."""


class Actor:
    """Handles messages one at a time in a single task.

    Subclasses define ``async def on_<message>(self, message)``, and may override
    ``started`` and ``stopped``. ``run`` returns after ``close`` or on cancellation.
    """

    def __init__(self, queue_size: int | float = DEFAULT_QUEUE_SIZE) -> None:
        self._send, self._receive = trio.open_memory_channel[Any](queue_size)
        self.n_dropped = 0
        """Messages rejected because the queue was full."""

    def post(self, message: Any) -> bool:
        """Queue a message; return False and count it if the queue is full."""
        try:
            self._send.send_nowait(message)
        except trio.WouldBlock:
            self.n_dropped += 1
            return False
        return True

    def close(self) -> None:
        """Close the queue; ``run`` returns once the queued messages are handled."""
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
        """Call the handler of a message."""
        handler = getattr(self, handler_name(type(message)), None)
        if handler is None:
            raise UnhandledMessageError(
                f"{type(self).__name__} has no handler {handler_name(type(message))}"
            )
        await handler(message)

    async def started(self) -> None:
        """Called before the first message."""

    async def stopped(self) -> None:
        """Called at the end, also on cancellation; release resources here."""


@cache
def handler_name(cls: type) -> str:
    """Return the name of the method that handles a message class.

    For example ``handler_name(CrashReport)`` is ``"on_crash_report"``.
    """
    return "on_" + re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", cls.__name__).lower()
