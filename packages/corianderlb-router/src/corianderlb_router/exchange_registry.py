"""Know the exchanges with callers that are not over, to finish or to cut them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from .caller import CallerExchange


@dataclass(eq=False)
class OpenExchange:
    """Hold one exchange and the means to cut it."""

    caller: CallerExchange
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    was_cut: bool = False
    """True when the router ended it before it was over."""


class ExchangeRegistry:
    """Hold the open exchanges."""

    def __init__(self) -> None:
        self._open: set[OpenExchange] = set()
        self._emptied = trio.Event()
        self.closing = False
        """True from the start of a drain on: each answer then asks its caller to
        close, since a kept connection would go on bringing requests here, past the
        balancer, and the router would never be empty."""
        self.takes_streams = True
        """False once the rest of a drain may be too short for a stream: one that began
        late would be cut by the end of the process."""

    @contextmanager
    def exchange(self, caller: CallerExchange) -> Iterator[OpenExchange]:
        """Keep an exchange in the registry; ``cut`` cancels what runs inside."""
        entry = OpenExchange(caller)
        caller.closing = self.closing
        self._open.add(entry)
        try:
            with entry.scope:
                yield entry
        finally:
            self._open.discard(entry)
            if not self._open:
                self._emptied.set()
                self._emptied = trio.Event()

    def __len__(self) -> int:
        return len(self._open)

    async def wait_empty(self) -> None:
        """Return when no exchange is open."""
        while self._open:
            await self._emptied.wait()

    def cut(self) -> tuple[str, ...]:
        """End all exchanges now; return the request ids that were cut."""
        cut = tuple(self._open)
        for entry in cut:
            entry.was_cut = True
            entry.scope.cancel()
        return tuple(entry.caller.request_id for entry in cut)
