"""TCP proxy that injects connection faults between two processes.

Faults are set by ``POST /debug/fault`` on the control port. They act on bytes and
connections; the proxy does not parse any protocol.
"""

from __future__ import annotations

import dataclasses
import errno
import random
import socket
import struct
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final

import trio

from ._asgi import Call, StandIn, serve_app
from .socket_owner import owner_of

CHUNK_BYTES: Final = 65536

HANG: Final = "hang"
"""Open and new connections of cut clients forward nothing more."""

RESET: Final = "reset"
"""Open connections of cut clients are reset, and new ones too."""

RESET_NEW: Final = "reset_new"
"""Open connections of cut clients live on, and new ones are reset."""

HANG_RESET_NEW: Final = "hang_reset_new"
"""Open connections of cut clients forward nothing more, and new ones are reset."""

HOLD_CHECK_S: Final = 0.02
"""Time between two looks whether data that is held may go on."""

CONNECT_TIMEOUT_S: Final = 2.0
"""Timeout for connecting to the target."""


@dataclass(frozen=True)
class ProxyFaults:
    """Injected faults of the proxy."""

    refuse: bool = False
    """Stop listening, so that new connections are refused."""
    delay_s: float = 0.0
    """Delay of each chunk in both directions."""
    drop_replies: int = 0
    """Number of further replies to drop by closing the connection; -1 for all."""
    cut_now: bool = False
    """Close all open connections once; resets to false."""
    freeze_now: bool = False
    """Stop forwarding on all open connections for good; resets to false."""
    blackhole: bool = False
    """Accept new connections without forwarding any data."""
    cut_pids: tuple[int, ...] = ()
    """Clients, by process id, that are cut off from the target while others are not."""
    cut_how: str = HANG
    """What happens to the connections of ``cut_pids``."""
    holds_requests: bool = False
    """Keep what clients send, and their closes, until this is reset."""
    holds_replies: bool = False
    """Keep what the target sends, and its closes, until this is reset."""
    held_pids: tuple[int, ...] = ()
    """Clients, by process id, whose data is held; all if empty."""
    late_share: float = 0.0
    """Share of the chunks that are ``late_s`` late, as lost segments are."""
    late_s: float = 0.0
    follows_target: bool = False
    """Refuse connections while the target does, as a link without a proxy would."""


class _Connection:
    """Connection of a client through the proxy to the target."""

    def __init__(self, client: trio.SocketStream, server: trio.SocketStream) -> None:
        self.client = client
        self.server = server
        self.frozen = False
        self.scope = trio.CancelScope()


class FaultProxy(StandIn):
    """Forwards connections to a target, subject to the injected faults."""

    def __init__(self, target: str) -> None:
        self.faults = ProxyFaults()
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self._connections: set[_Connection] = set()
        self._calls: Counter[str] = Counter()
        self._rng = random.Random(target)
        self._listen_host = ""
        self._listen_port = 0
        self._listening = trio.CancelScope()
        self._opened = trio.Event()
        self._is_target_away = False

    def counters(self) -> dict[str, Any]:
        """Return the number of connections opened, cut, frozen, dropped and open."""
        return {"calls": dict(self._calls), "open": len(self._connections)}

    def apply_faults(self) -> None:
        """Cut or freeze the open connections, or stop listening."""
        if self.faults.cut_now:
            self._cut_all()
        if self.faults.freeze_now:
            self._freeze_all()
        self._cut_clients()
        self._clear_one_shot_faults()
        if self.faults.refuse:
            self._listening.cancel()

    async def handle(self, call: Call) -> None:
        """Answer any other call to the control port with 200."""
        await call.answer(200, {})

    def _clear_one_shot_faults(self) -> None:
        self.faults = dataclasses.replace(self.faults, cut_now=False, freeze_now=False)

    def _cut_all(self) -> None:
        for conn in self._connections:
            self._calls["cut"] += 1
            conn.scope.cancel()

    def _cut_clients(self) -> None:
        """Cut the open connections of clients that are cut off from now on."""
        how = self.faults.cut_how
        if not self.faults.cut_pids:
            return
        for conn in self._connections:
            if how == RESET_NEW or not self._is_cut(conn.client):
                continue
            if how == RESET:
                reset_when_closed(conn.client)
                conn.scope.cancel()
            else:
                conn.frozen = True

    def _is_cut(self, client: trio.SocketStream) -> bool:
        return self._is_of(client, self.faults.cut_pids)

    def _is_of(self, client: trio.SocketStream, pids: tuple[int, ...]) -> bool:
        """Return whether a connection is one of some client processes."""
        if not pids:
            return False
        try:
            port = client.socket.getpeername()[1]
        except OSError:
            return False
        return owner_of(port, self._listen_port, pids) is not None

    def _freeze_all(self) -> None:
        for conn in self._connections:
            self._calls["frozen"] += 1
            conn.frozen = True

    async def run(self, host: str, port: int, control_port: int) -> None:
        """Forward connections until SIGTERM or SIGINT; print both addresses."""
        self._listen_host = host
        self._listen_port = port
        await serve_app(self, host, control_port, name="control")

    async def extra_addresses(self) -> dict[str, str]:
        """Return the address of the proxy once it listens."""
        await self._opened.wait()
        return {"http": f"{self._listen_host}:{self._listen_port}"}

    async def background(self) -> None:
        """Forward connections; reopen the same port when ``refuse`` is reset."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._serve_once(nursery)
                while self.faults.refuse or await self._is_still_away():
                    await trio.sleep(0.01)

    async def _is_still_away(self) -> bool:
        """Return whether the target has refused a connection and still does."""
        if self._is_target_away:
            try:
                server = await trio.open_tcp_stream(self._host, self._port)
            except OSError:
                return True
            await server.aclose()
            self._is_target_away = False
        return False

    async def _serve_once(self, nursery: trio.Nursery) -> None:
        listeners = await _open_listeners(self._listen_host, self._listen_port)
        self._listen_port = listeners[0].socket.getsockname()[1]
        self._opened.set()
        with trio.CancelScope() as self._listening:
            await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)

    async def _serve(self, client: trio.SocketStream) -> None:
        self._calls["opened"] += 1
        is_cut = self._is_cut(client)
        if is_cut and self.faults.cut_how != HANG:
            self._calls["cut"] += 1
            reset_when_closed(client)
            await client.aclose()
            return
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                server = await trio.open_tcp_stream(self._host, self._port)
        except OSError:
            if self.faults.follows_target:
                self._is_target_away = True
                self._listening.cancel()
                reset_when_closed(client)
            await client.aclose()
            return
        except trio.TooSlowError:
            await client.aclose()
            return
        conn = _Connection(client, server)
        conn.frozen = self.faults.blackhole or is_cut
        self._connections.add(conn)
        async with client, server:
            with conn.scope:
                await self._forward(conn)
        self._connections.discard(conn)

    async def _forward(self, conn: _Connection) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, conn, conn.client, conn.server)
            nursery.start_soon(self._pump, conn, conn.server, conn.client)

    async def _pump(
        self, conn: _Connection, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await self._relay(conn, sink, data)
            await self._relay(conn, sink, b"")
        except trio.BrokenResourceError:
            # A reset of one side is one of the other, not an end in order.
            reset_when_closed(source)
            reset_when_closed(sink)
        except trio.ClosedResourceError:
            pass
        if not conn.frozen:
            conn.scope.cancel()

    async def _relay(
        self, conn: _Connection, sink: trio.SocketStream, data: bytes
    ) -> None:
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self._rng.random() < self.faults.late_share:
            await trio.sleep(self.faults.late_s)
        while self._is_held(conn, sink):
            await trio.sleep(HOLD_CHECK_S)
        if conn.frozen:
            # Both ends stay open: neither receives data or a close from the other.
            await trio.sleep_forever()
        if data and sink is conn.client and self._should_drop_reply():
            conn.scope.cancel()
        elif data:
            await sink.send_all(data)

    def _is_held(self, conn: _Connection, sink: trio.SocketStream) -> bool:
        """Return whether data for one side of a connection waits."""
        faults = self.faults
        is_reply = sink is conn.client
        if not (faults.holds_replies if is_reply else faults.holds_requests):
            return False
        return not faults.held_pids or self._is_of(conn.client, faults.held_pids)

    def _should_drop_reply(self) -> bool:
        n_left = self.faults.drop_replies
        if n_left == 0:
            return False
        if n_left > 0:
            self.faults = dataclasses.replace(self.faults, drop_replies=n_left - 1)
        self._calls["dropped"] += 1
        return True


def reset_when_closed(stream: trio.SocketStream) -> None:
    """Let the close of a connection reset it."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def _open_listeners(host: str, port: int) -> list[trio.SocketListener]:
    while True:
        try:
            return await trio.open_tcp_listeners(port, host=host)
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
            await trio.sleep(0.05)
