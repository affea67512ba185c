"""Connections to upstreams as a transport of httpx, pooled by address.

The transport is our own for three reasons. It never sends a request twice. It retires
all pooled connections to an address at once, since when one connection has gone silent
the others opened before it have likely been forgotten by the same box in between. And
it hands out what arrived in one piece, at a fraction of the usual cost an event.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final, TypeVar

import httpx
import trio

from .connection import (
    BrokenError,
    ConnectFailedError,
    Connection,
    Connector,
    OutgoingRequest,
    SilentError,
)

T = TypeVar("T")

FRESH: Final = "fresh"
"""Request extension: open a connection for this request alone."""

UNTIL_CLOSE: Final = "until_close"
"""Request extension: ask for a body that ends by the close; see the connection."""

SEND_BEFORE: Final = "send_before"
"""Request extension: the router's clock after which no byte may be sent."""

TARGET: Final = "target"
"""Request extension: the request target, byte for byte. A URL would be normalised on
its way through the client, and the upstream would run another path than was asked."""

EXCHANGE: Final = "exchange"
"""Response extension: the ``Exchange``, for reading chunks without httpx's layers."""

MAX_IDLE: Final = 32
"""Idle connections kept to one address."""

IDLE_S: Final = 4.0
"""How long an idle connection is kept; common upstreams close after five seconds."""


class ConnectionPool:
    """Keep idle connections by address; an address can be retired as a whole."""

    def __init__(self, connector: Connector) -> None:
        self._connector = connector
        self._idle: dict[str, list[Connection]] = {}
        self._generation: dict[str, int] = {}

    async def take(self, address: str, fresh: bool, connect_s: float) -> Connection:
        """Return a connection that looks alive, or a new one."""
        idle = self._idle.get(address, [])
        while idle and not fresh:
            conn = idle.pop()
            expired = trio.current_time() - conn.idle_since > IDLE_S
            if not expired and not conn.is_dropped:
                return conn
            await conn.close()
        return await self._open(address, connect_s)

    async def _open(self, address: str, connect_s: float) -> Connection:
        try:
            with trio.fail_after(connect_s):
                stream = await self._connector.connect(address)
        except trio.TooSlowError as exc:
            message = f"{address}: no connection within {connect_s} s"
            raise ConnectFailedError(message, refused=False) from exc
        except (OSError, ValueError) as exc:
            message = f"{address}: {exc}"
            raise ConnectFailedError(message, refused=True) from exc
        return Connection(stream, address, self._generation.get(address, 0))

    async def give_back(self, conn: Connection) -> None:
        """Keep a connection for reuse, or close it."""
        idle = self._idle.setdefault(conn.address, [])
        current = self._generation.get(conn.address, 0)
        if not conn.is_reusable or conn.generation != current or len(idle) >= MAX_IDLE:
            await conn.close()
            return
        conn.start_next_exchange()
        conn.idle_since = trio.current_time()
        idle.append(conn)

    async def retire(self, address: str) -> None:
        """Close the idle connections and take none of the open ones back."""
        self._generation[address] = self._generation.get(address, 0) + 1
        for conn in self._idle.pop(address, []):
            await conn.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            await self.retire(address)


class Exchange(httpx.AsyncByteStream):
    """Read one answer; closing it gives the connection back or closes it."""

    def __init__(self, pool: ConnectionPool, conn: Connection, read_s: float) -> None:
        self._pool = pool
        self._conn = conn
        self._read_s = read_s
        self._closed = False

    @property
    def receive_chunk(self) -> Callable[[], Awaitable[bytes]]:
        """The connection's own method: whoever calls it watches for stalls itself."""
        if self._conn.ends_by_close:
            return self._conn.receive_raw
        return self._conn.receive_chunk

    async def __aiter__(self) -> AsyncIterator[bytes]:
        if self._conn.ends_by_close:
            # A cut would look like the end, and half an answer like the whole.
            message = f"{self._conn.address}: an answer without its length"
            raise BrokenError(message, sent=True)
        while chunk := await _within(
            self._read_s, self._conn, self._conn.receive_chunk
        ):
            yield chunk

    async def aclose(self) -> None:
        """Let go of the connection; a second call does nothing."""
        if self._closed:
            return
        self._closed = True
        with trio.CancelScope(shield=True):
            await self._pool.give_back(self._conn)


class UpstreamTransport(httpx.AsyncBaseTransport):
    """Send each request once, over a pooled or a fresh connection."""

    def __init__(self, connector: Connector) -> None:
        self.pool = ConnectionPool(connector)
        """The pool, for retiring an address."""

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Return the answer's head; its body is read from the stream."""
        timeout = request.extensions["timeout"]
        address = request.url.netloc.decode()
        fresh = bool(request.extensions.get(FRESH))
        conn = await self.pool.take(address, fresh, timeout["connect"])
        try:
            _check_time(request, address)
            await _within(timeout["write"], conn, lambda: _send(conn, request))
            head = await _within(timeout["read"], conn, conn.receive_head)
        except BaseException:
            with trio.CancelScope(shield=True):
                await conn.close()
            raise
        exchange = Exchange(self.pool, conn, timeout["read"])
        return httpx.Response(
            head.status_code,
            headers=list(head.headers.raw_items()),
            stream=exchange,
            extensions={EXCHANGE: exchange},
        )

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self.pool.close()


def _check_time(request: httpx.Request, address: str) -> None:
    """Refuse to send what may not be sent any more.

    A router can be paused between the decision and the first byte, and connecting
    takes time too; whoever set the limit may have let somebody else act since.
    """
    limit = request.extensions.get(SEND_BEFORE, math.inf)
    if trio.current_time() >= limit:
        raise ConnectFailedError(f"{address}: too late to send", refused=False)


async def _send(conn: Connection, request: httpx.Request) -> None:
    outgoing = OutgoingRequest(
        method=request.method.encode(),
        target=request.extensions.get(TARGET, request.url.raw_path),
        headers=request.headers.raw,
        body=request.content,
        until_close=bool(request.extensions.get(UNTIL_CLOSE)),
    )
    await conn.send_request(outgoing)


async def _within(
    limit_s: float, conn: Connection, step: Callable[[], Awaitable[T]]
) -> T:
    """Run one step of an exchange; raise ``SilentError`` when it takes too long."""
    try:
        with trio.fail_after(limit_s):
            return await step()
    except trio.TooSlowError as exc:
        raise SilentError(f"{conn.address}: silent for {limit_s} s", sent=True) from exc
