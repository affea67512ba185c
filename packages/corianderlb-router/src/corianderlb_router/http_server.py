"""HTTP server of one ASGI application on one address."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

import eliot
import trio

from corianderlb_core.data_class import dataclass

from ._http_connection import ConnectionSettings, HttpConnection
from ._lifespan import Lifespan
from .connection_guard import ConnectionGuard

BACKLOG: Final = 1024
"""Connections that may wait until they are accepted."""

UNSENT_BYTES: Final = 1 << 14
"""Most bytes that the kernel holds unsent before a connection counts as not writable,
so that what waits for a slow caller waits here."""

MAX_ACCEPTED: Final = 256
"""Most connections accepted in one pass of the event loop, so that the tasks of those
that are served get their turn."""

EXHAUSTED_ERRNOS: Final = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS}
)
"""Errors of ``accept`` that end once other connections are closed."""

EXHAUSTED_PAUSE_S: Final = 0.1

SHED_LOG_INTERVAL_S: Final = 1.0
"""Shortest time between two log lines about connections that were closed unread."""


@dataclass(frozen=True)
class HttpServerSettings:
    """Settings of one HTTP server."""

    name: str
    """Name in the log and the metrics."""
    address: str
    """``host:port`` to listen on; port 0 lets the kernel choose a port."""
    max_head_bytes: int
    """Longest request head; a longer one is answered with 431."""
    keep_alive_s: float = 5.0
    """Longest idle time of a connection."""
    write_timeout_s: float = 10.0
    """Longest time that a caller may not read what is written to it."""
    sends_date: bool = False
    """Whether answers have a ``date`` header."""


class HttpServer:
    """Serves an application; the failure of a connection closes that connection alone.

    For example ``await HttpServer(app, cfg, guard).run(stop.wait)``.
    """

    def __init__(
        self,
        app: Any,
        cfg: HttpServerSettings,
        guard: ConnectionGuard,
        is_overloaded: Callable[[], bool] = lambda: False,
    ) -> None:
        """Serve ``app``; while ``is_overloaded``, close new connections unread."""
        self._app = app
        self._is_overloaded = is_overloaded
        self.n_shed = 0
        """Connections that were closed unread."""
        self._n_shed_logged = 0
        self._shed_logged_at = float("-inf")
        self._name = cfg.name
        self._address = cfg.address
        self._guard = guard
        self._open: set[HttpConnection] = set()
        self._cfg = ConnectionSettings(
            cfg.max_head_bytes, cfg.keep_alive_s, cfg.write_timeout_s, cfg.sends_date
        )

    @property
    def keep_alive_s(self) -> float:
        """Longest idle time of a connection; applies from its next request on."""
        return self._cfg.keep_alive_s

    @keep_alive_s.setter
    def keep_alive_s(self, seconds: float) -> None:
        self._cfg.keep_alive_s = seconds

    async def run(
        self,
        until: Callable[[], Awaitable[None]],
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until ``until`` returns, then serve the open connections to their end.

        Starts with the bound ``host:port``; raises ``OSError`` if it cannot be bound.
        """
        lifespan = Lifespan(self._app)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lifespan.run)
            await lifespan.start()
            nursery.start_soon(self._close_all_when_cancelled)
            await self._serve(until, task_status)
            await lifespan.stop()
            nursery.cancel_scope.cancel()

    async def _serve(
        self, until: Callable[[], Awaitable[None]], task_status: trio.TaskStatus[str]
    ) -> None:
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                sock = _listen(self._address)
                task_status.started(_text(sock.getsockname()))
                accepting.start_soon(self._accept, sock, connections)
                await until()
                accepting.cancel_scope.cancel()
            self._cfg.is_stopping = True
            for conn in self._open:
                conn.close_if_idle()

    async def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        """Accept connections until cancelled, then close the listener.

        All that wait are accepted in one pass. One each pass would leave them waiting
        unseen in the kernel while passes are long.
        """
        with listener:
            while True:
                await trio.lowlevel.wait_readable(listener)
                try:
                    self._accept_waiting(listener, nursery)
                except OSError as exc:
                    if exc.errno not in EXHAUSTED_ERRNOS:
                        raise
                    eliot.log_message(
                        message_type="server:exhausted",
                        server=self._name,
                        detail=str(exc),
                    )
                    await trio.sleep(EXHAUSTED_PAUSE_S)

    def _accept_waiting(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        for _ in range(MAX_ACCEPTED):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                break
            except ConnectionError:
                # The caller has left meanwhile.
                continue
            if self._is_overloaded():
                sock.close()
                self.n_shed += 1
            else:
                nursery.start_soon(self._serve_connection, sock)
        self._log_shed()

    def _log_shed(self) -> None:
        n_new, now = self.n_shed - self._n_shed_logged, trio.current_time()
        if not n_new or now - self._shed_logged_at < SHED_LOG_INTERVAL_S:
            return
        self._n_shed_logged, self._shed_logged_at = self.n_shed, now
        eliot.log_message(
            message_type="server:shed", server=self._name, n_connections=n_new
        )

    async def _serve_connection(self, accepted: socket.socket) -> None:
        try:
            caller = accepted.getpeername()
        except OSError:
            # The caller has left meanwhile.
            accepted.close()
            return
        conn = HttpConnection(accepted, caller, self._cfg)
        self._open.add(conn)
        try:
            with self._guard.confine(self._name, _text(caller)):
                await conn.run(self._app)
        finally:
            self._open.discard(conn)

    async def _close_all_when_cancelled(self) -> None:
        """Close the open connections, whose writes a cancellation does not end."""
        try:
            await trio.sleep_forever()
        finally:
            for conn in self._open:
                conn.close()


def _listen(address: str) -> socket.socket:
    """Return a socket that listens on ``host:port``, with options for all accepted."""
    host, _, port = address.replace("[", "").replace("]", "").rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock


def _text(address: tuple[Any, ...]) -> str:
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
