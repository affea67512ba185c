"""Builders for tests of answers without a mark of their end."""

from __future__ import annotations

import math

import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_router.connection import ConnectFailedError
from corianderlb_router.path_watch import InstanceProbe
from corianderlb_router.transport import ConnectionPool

REFUSED = "refused"
SILENT = "silent"
UNREACHABLE = "unreachable"
OPEN = "open"
DROPPED = "dropped"
"""What becomes of a connection."""


class ScriptedConnection:
    """Connection that stays open, or is dropped by the other side."""

    shows_close = True

    def __init__(self, is_dropped: bool) -> None:
        self.is_dropped = is_dropped
        self.is_closed = False
        self.has_answered = False
        self.opened_at = trio.current_time()
        self.idle_since = 0.0

    @property
    def has_closed(self) -> bool:
        """Whether either side has closed it."""
        return self.is_dropped or self.is_closed

    async def close(self) -> None:
        """Close the connection."""
        self.is_closed = True


class ScriptedPool(ConnectionPool):
    """Opens connections as scripted; the last outcome repeats."""

    def __init__(self, *script: str, takes_s: float = 0.001) -> None:
        self.script = list(script)
        self.takes_s = takes_s
        self.opened: list[ScriptedConnection] = []
        self.n_asked = 0

    async def take(
        self, address: str, fresh: bool, connect_s: float
    ) -> ScriptedConnection:
        """Return a new connection, or raise ``ConnectFailedError``."""
        self.n_asked += 1
        outcome = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if outcome == SILENT:
            await trio.sleep(connect_s)
            raise ConnectFailedError("no connection in time", refused=False)
        await trio.sleep(self.takes_s)
        if outcome in (REFUSED, UNREACHABLE):
            cause = ConnectionRefusedError if outcome == REFUSED else OSError
            raise ConnectFailedError(outcome, refused=True) from cause()
        self.opened.append(ScriptedConnection(outcome == DROPPED))
        return self.opened[-1]

    def newest_answered(self, address: str) -> float:
        """Return that no request was answered."""
        return -math.inf

    def opened_before(self, address: str, at: float) -> list[ScriptedConnection]:
        """Return the connections opened before a time that this side has not closed."""
        return [c for c in self.opened if c.opened_at < at and not c.is_closed]


class StartProbe(InstanceProbe):
    """Tells the same start of each instance, after some time."""

    def __init__(
        self,
        born_ms: int,
        takes_s: float = 0.002,
        tells: bool = True,
        responds: bool = True,
    ) -> None:
        self.start_ms = born_ms
        self.responds = responds
        self.takes_s = takes_s
        self.tells = tells
        self.n_asked = 0

    async def answers(self, instance: ForwardInstance) -> bool:
        """Return whether an instance answers."""
        return self.responds

    async def born_ms(self, instance: ForwardInstance) -> int:
        """Return the start of the process that answers."""
        self.n_asked += 1
        await trio.sleep(self.takes_s)
        return self.start_ms

    def tells_start(self, instance: ForwardInstance) -> bool:
        """Return whether instances tell their start at all."""
        return self.tells
