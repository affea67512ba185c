"""Transport for httpx with connections to upstreams pooled by address.

Differs from the transport of httpx in three ways. It never sends a request twice. It
can retire all pooled connections to an address: if a middlebox has lost the state of
one connection, the others have likely been lost too. And it returns bytes that arrived
together as one chunk, at a lower cost per event.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import lru_cache
from typing import Final, TypeVar
from weakref import WeakSet

import httpx
import trio

from corianderlb_core.data_class import dataclass

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
"""Request extension: use a new connection instead of a pooled one."""

UNTIL_CLOSE: Final = "until_close"
"""Request extension: see ``OutgoingRequest.until_close``."""

SHOWS_END: Final = "shows_end"
"""Request extension: read a body without length too. Only for calls whose reader tells
a part of a body from the whole, as that of a JSON object does."""

SEND_BEFORE: Final = "send_before"
"""Request extension: time by the router's clock after which nothing may be sent."""

EXCHANGE: Final = "exchange"
"""Response extension: the ``Exchange``, for reading chunks without httpx overhead."""

MAX_IDLE: Final = 32
"""Most idle connections per address."""

MAX_IDLE_S: Final = 4.0
"""Longest idle time of a connection; common upstreams close after five seconds."""


class ConnectionPool:
    """Idle connections by address; all connections to an address can be retired."""

    def __init__(self, connector: Connector) -> None:
        self._connector = connector
        self._idle: dict[str, list[Connection]] = {}
        self._generation: dict[str, int] = {}
        self._opened: dict[str, WeakSet[Connection]] = {}
        """Connections that may still be open."""
        self._answered: dict[str, float] = {}
        """When the newest connection was opened on which a response has arrived."""

    async def take(self, address: str, fresh: bool, connect_s: float) -> Connection:
        """Return a usable idle connection, or a new one."""
        idle = self._idle.get(address, [])
        while idle and not fresh:
            conn = idle.pop()
            expired = trio.current_time() - conn.idle_since > MAX_IDLE_S
            if not expired and not conn.is_dropped:
                return conn
            await conn.close()
        return await self._open(address, connect_s)

    async def open_via(
        self, connector: Connector, address: str, connect_s: float
    ) -> Connection:
        """Return a new connection of another connector, which is not pooled later."""
        return await self._open(address, connect_s, connector, generation=-1)

    async def _open(
        self,
        address: str,
        connect_s: float,
        connector: Connector | None = None,
        generation: int | None = None,
    ) -> Connection:
        try:
            with trio.fail_after(connect_s):
                stream = await (connector or self._connector).connect(address)
        except trio.TooSlowError as exc:
            message = f"{address}: no connection within {connect_s} s"
            raise ConnectFailedError(message, refused=False) from exc
        except (OSError, ValueError, OverflowError) as exc:
            # The last two are raised for an invalid address or port.
            message = f"{address}: {exc}"
            raise ConnectFailedError(message, refused=True) from exc
        if generation is not None:
            return Connection(stream, address, generation)
        conn = Connection(stream, address, self._generation.get(address, 0))
        self._opened.setdefault(address, WeakSet()).add(conn)
        return conn

    def opened_before(self, address: str, at: float) -> list[Connection]:
        """Return the connections opened before a time that this side has not closed."""
        opened = self._opened.get(address, ())
        return [c for c in opened if c.opened_at < at and not c.is_closed]

    def record_answer(self, conn: Connection) -> None:
        """Record that a response has arrived on a connection."""
        newest = self.newest_answered(conn.address)
        self._answered[conn.address] = max(newest, conn.opened_at)

    def newest_answered(self, address: str) -> float:
        """Return when the newest connection with a response was opened, or -inf."""
        return self._answered.get(address, -math.inf)

    async def give_back(self, conn: Connection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        idle = self._idle.setdefault(conn.address, [])
        current = self._generation.get(conn.address, 0)
        if not conn.is_reusable or conn.generation != current or len(idle) >= MAX_IDLE:
            await conn.close()
            return
        conn.start_next_exchange()
        conn.idle_since = trio.current_time()
        idle.append(conn)

    async def retire(self, address: str) -> None:
        """Close the idle connections to an address, the others after their exchange."""
        self._generation[address] = self._generation.get(address, 0) + 1
        for conn in self._idle.pop(address, []):
            await conn.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            await self.retire(address)


class Exchange(httpx.AsyncByteStream):
    """Body of one response; closing it returns the connection to the pool."""

    def __init__(self, pool: ConnectionPool, conn: Connection, read_s: float) -> None:
        self._pool = pool
        self._conn = conn
        self._read_s = read_s
        self._closed = False
        self.shows_end = False
        """Whether the reader tells by the body itself whether it is whole."""

    @property
    def ends_by_close(self) -> bool:
        """Whether the body is delimited by connection close."""
        return self._conn.ends_by_close

    @property
    def framing(self) -> str:
        """What delimits the body: ``length``, ``chunks`` or ``close``."""
        return self._conn.framing

    @property
    def silent_s(self) -> float:
        """Time since anything arrived from the upstream, as far as it is known."""
        return self._conn.silent_s

    @property
    def content_length(self) -> int | None:
        """Length of the body; None if it is not known before its end."""
        return self._conn.content_length

    @property
    def receive_chunk(self) -> Callable[[], Awaitable[bytes]]:
        """The connection's read method; it has no timeout, so callers detect stalls."""
        if self._conn.ends_by_close:
            return self._conn.receive_raw
        return self._conn.receive_chunk

    async def __aiter__(self) -> AsyncIterator[bytes]:
        if self._conn.ends_by_close and not self.shows_end:
            # A broken connection can't be told from the end of the body.
            message = f"{self._conn.address}: response without length"
            raise BrokenError(message, sent=True)
        while chunk := await _with_timeout(
            self._read_s, self._conn, self.receive_chunk
        ):
            yield chunk

    async def aclose(self) -> None:
        """Release the connection; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        if self._conn.closes_at_once:
            await self._pool.give_back(self._conn)
            return
        with trio.CancelScope(shield=True):
            await self._pool.give_back(self._conn)


@dataclass(frozen=True)
class SendSettings:
    """How one request is sent."""

    connect_s: float
    write_s: float
    read_s: float = math.inf
    """Timeout of the head and of each chunk of the body."""
    is_fresh: bool = False
    """Whether to use a new connection instead of a pooled one."""
    connector: Connector | None = None
    """``Connector`` in place of the pool's; its connections carry one exchange."""
    send_before: float = math.inf
    """Time by the router's clock after which nothing may be sent."""
    on_send: Callable[[], None] = lambda: None
    """Called right before the first byte is sent."""


@dataclass(frozen=True)
class Answer:
    """Head of a response, and the exchange from which its body is read."""

    status: int
    headers: list[tuple[bytes, bytes]]
    exchange: Exchange


class UpstreamTransport(httpx.AsyncBaseTransport):
    """Transport that sends each request once, over a pooled or a new connection."""

    def __init__(self, connector: Connector) -> None:
        self.pool = ConnectionPool(connector)
        """The connection pool."""

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; return the response with its body as a stream."""
        timeout, extensions = request.extensions["timeout"], request.extensions
        cfg = SendSettings(
            timeout["connect"],
            timeout["write"],
            timeout["read"],
            bool(extensions.get(FRESH)),
            send_before=extensions.get(SEND_BEFORE, math.inf),
        )
        outgoing = OutgoingRequest(
            method=request.method.encode(),
            target=request.url.raw_path,
            headers=request.headers.raw,
            body=request.content,
            until_close=bool(extensions.get(UNTIL_CLOSE)),
        )
        answer = await self.send(request.url.netloc.decode(), outgoing, cfg)
        answer.exchange.shows_end = bool(extensions.get(SHOWS_END))
        return httpx.Response(
            answer.status,
            headers=answer.headers,
            stream=answer.exchange,
            extensions={EXCHANGE: answer.exchange},
        )

    async def send(
        self, address: str, request: OutgoingRequest, cfg: SendSettings
    ) -> Answer:
        """Send a request; return the head of its response and the exchange.

        The caller closes the exchange. Objects of httpx would cost as much as the rest.
        """
        try:
            _check_address(address)
        except httpx.InvalidURL as exc:
            raise ConnectFailedError(f"{address!r}: {exc}", refused=True) from exc
        if cfg.connector is None:
            conn = await self.pool.take(address, cfg.is_fresh, cfg.connect_s)
        else:
            conn = await self.pool.open_via(cfg.connector, address, cfg.connect_s)
        try:
            if trio.current_time() >= cfg.send_before:
                # The router may have been paused since the decision, and connecting
                # takes time. After the deadline another router may act, so the request
                # could run twice.
                message = f"{address}: send deadline passed"
                raise ConnectFailedError(message, refused=False)
            cfg.on_send()
            rest = conn.begin_request(request)
            if rest:
                await _with_timeout(cfg.write_s, conn, lambda: conn.send_rest(rest))
            head = await _with_timeout(cfg.read_s, conn, conn.receive_head)
            if cfg.connector is None:
                self.pool.record_answer(conn)
        except BaseException:
            with trio.CancelScope(shield=True):
                await conn.close()
            raise
        exchange = Exchange(self.pool, conn, cfg.read_s)
        return Answer(head.status_code, list(head.headers.raw_items()), exchange)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self.pool.close()


@lru_cache(maxsize=1024)
def _check_address(address: str) -> None:
    """Raise ``httpx.InvalidURL`` for an address that no URL can have."""
    httpx.URL(f"http://{address}/")


async def _with_timeout(
    limit_s: float, conn: Connection, step: Callable[[], Awaitable[T]]
) -> T:
    """Run one step of an exchange; raise ``SilentError`` on timeout."""
    if limit_s == math.inf:
        return await step()
    try:
        with trio.fail_after(limit_s):
            return await step()
    except trio.TooSlowError as exc:
        raise SilentError(
            f"{conn.address}: no progress within {limit_s} s", sent=True
        ) from exc
