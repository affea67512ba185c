"""Registry of open exchanges with callers, for draining and shutdown."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import field
from typing import Final

import trio

from corianderlb_core.data_class import dataclass

from .caller import CallerExchange

CUT_MARGIN_S: Final = 0.4
"""Margin before the end of the grace period at which open requests are aborted."""


@dataclass(eq=False)
class OpenExchange:
    """An open exchange and the scope that cancels it."""

    caller: CallerExchange
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_cancelled: bool = False
    """True when the router cancelled the exchange."""


class ExchangeRegistry:
    """Set of the open exchanges."""

    def __init__(self) -> None:
        self._open: set[OpenExchange] = set()
        self._emptied = trio.Event()
        self._terminated_at: float | None = None
        self.stopping_since: float | None = None
        """Time of the termination signal, by the router's clock; None before it."""
        self._closing = False
        self.last_opened_at = -math.inf
        """When the newest exchange was opened, by the router's clock."""
        self.cut_at = math.inf
        """When what is still open is going to be cut, by the router's clock; infinite
        before the termination signal."""

    @property
    def is_terminated(self) -> bool:
        """Whether a termination signal has arrived, which is handled later."""
        return self._terminated_at is not None

    def terminate(self) -> None:
        """Record the arrival of a termination signal; only the first one counts."""
        if self._terminated_at is None:
            self._terminated_at = trio.current_time()

    def begin_stop(self, grace_s: float) -> None:
        """Stop taking kept connections, and set when the rest is cut.

        The grace period began when the signal arrived. On a busy machine, the event
        loop may come to handle it only much later.
        """
        now = trio.current_time()
        since = now if self._terminated_at is None else self._terminated_at
        self.stopping_since, self.closing = since, True
        self.cut_at = since + grace_s - CUT_MARGIN_S

    @property
    def stopping_s(self) -> float:
        """Seconds since the termination signal; 0 before it."""
        since = self.stopping_since
        return trio.current_time() - since if since is not None else 0.0

    @property
    def closing(self) -> bool:
        """True while draining: answers then ask the caller to close the connection.

        Requests on kept-alive connections bypass the load balancer, so the drain would
        never complete. That holds for the open exchanges too: the connection closes
        after the answer, and a caller that is not told may send another request.
        """
        return self._closing

    @closing.setter
    def closing(self, closing: bool) -> None:
        self._closing = closing
        for entry in self._open:
            entry.caller.closing = closing

    @contextmanager
    def exchange(self, caller: CallerExchange) -> Iterator[OpenExchange]:
        """Register an exchange; ``cut`` cancels the body of the context."""
        with self.registered(caller) as entry, entry.scope:
            yield entry

    @contextmanager
    def registered(self, caller: CallerExchange) -> Iterator[OpenExchange]:
        """Register an exchange; ``cut`` cancels the scope of its entry alone.

        What follows that scope, such as the answer to a caller that was cut, is waited
        for like the rest.
        """
        entry = OpenExchange(caller)
        caller.closing = self.closing
        self.last_opened_at = caller.arrived_at
        self._open.add(entry)
        try:
            yield entry
        finally:
            self._open.discard(entry)
            if not self._open:
                self._emptied.set()
                self._emptied = trio.Event()

    def longest_wait_s(self, route: str) -> float:
        """Return for how long a request of a route was sent and has had no answer."""
        now, open_callers = trio.current_time(), [entry.caller for entry in self._open]
        waiting = (
            now - caller.arrived_at
            for caller in open_callers
            if caller.sent_route == route and not caller.started
        )
        return max(waiting, default=0.0)

    def __len__(self) -> int:
        return len(self._open)

    async def wait_until_empty(self) -> None:
        """Wait until no exchange is open."""
        while self._open:
            await self._emptied.wait()

    def cut(self) -> tuple[str, ...]:
        """Cancel all open exchanges; return their request ids."""
        cut = tuple(self._open)
        for entry in cut:
            entry.is_cancelled = True
            entry.scope.cancel()
        return tuple(entry.caller.request_id for entry in cut)
