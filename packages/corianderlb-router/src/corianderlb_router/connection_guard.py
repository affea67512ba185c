"""Confinement of a failure to the connection that it occurred on.

All connections of a server share a nursery, where an exception of one task cancels all
others. Protocol libraries raise many kinds of errors for what a remote host may send,
so a server does not list them: it confines each connection instead.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Final

import eliot
import trio

PROCESS_FAULTS: Final = (MemoryError, SystemError, trio.TrioInternalError)
"""Exceptions that say nothing of the connection on which they are raised."""

MAX_DETAIL_CHARS: Final = 200
"""Most characters of an exception in the log, as it may quote a remote host."""


class ConnectionGuard:
    """Closes a connection that fails, counts it and logs it.

    A cancellation, an exit of the process and ``PROCESS_FAULTS`` pass. For example, a
    server's handler of one connection::

        with guard.confine("callers", "10.0.0.7:4711"):
            await conn.run()
    """

    def __init__(self) -> None:
        self.n_failed: Counter[str] = Counter()
        """Connections that failed, by server."""

    @contextmanager
    def confine(self, server: str, peer: str) -> Iterator[None]:
        """Suppress a failure of the body, which serves one connection.

        ``server`` names the server in the log and the metrics, ``peer`` is the remote
        address.
        """
        try:
            yield
        except* PROCESS_FAULTS:
            raise
        except* Exception as group:
            self.n_failed[server] += 1
            exc = _first_exception(group)
            eliot.log_message(
                message_type="connection:failed",
                server=server,
                peer=peer,
                error=type(exc).__name__,
                detail=str(exc)[:MAX_DETAIL_CHARS],
                raised_at=_place(exc.__traceback__),
            )


def _first_exception(group: BaseExceptionGroup) -> BaseException:
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def _place(traceback: TracebackType | None) -> str:
    """Return function and line at which an exception was raised."""
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f"{traceback.tb_frame.f_code.co_qualname}:{traceback.tb_lineno}"
