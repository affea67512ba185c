"""A TCP proxy between two processes that cuts, freezes, delays and drops.

Faults are set by ``POST /debug/fault`` on its control port. Each concerns bytes and
connections alone; the proxy knows no protocol.
"""

from __future__ import annotations

import dataclasses
import errno
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final

import trio

from ._asgi import Call, StandIn, serve_app

CHUNK_BYTES: Final = 65536

CONNECT_TIMEOUT_S: Final = 2.0
"""Longest wait for the target to accept."""


@dataclass(frozen=True)
class ProxyFaults:
    """Say what the proxy does to connections now."""

    refuse: bool = False
    """Listen no more, so that new connections are refused."""
    delay_s: float = 0.0
    """Delay of each chunk, both ways."""
    drop_replies: int = 0
    """Connections still to be closed in place of their next reply; -1 for all."""
    cut_now: bool = False
    """Close all open connections; falls back to false by itself."""
    freeze_now: bool = False
    """Let all open connections go silent for good; new ones work."""
    blackhole: bool = False
    """Let new connections open and carry nothing."""


class _Link:
    """One connection through the proxy."""

    def __init__(self, client: trio.SocketStream, server: trio.SocketStream) -> None:
        self.client = client
        self.server = server
        self.frozen = False
        self.scope = trio.CancelScope()


class FaultProxy(StandIn):
    """Forward connections to a target, or fail to in the way that was asked for."""

    def __init__(self, target: str) -> None:
        self.faults = ProxyFaults()
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self._links: set[_Link] = set()
        self._calls: Counter[str] = Counter()
        self._listen_host = ""
        self._listen_port = 0
        self._listening = trio.CancelScope()
        self._opened = trio.Event()

    def counters(self) -> dict[str, Any]:
        """Return how many connections were opened, cut, frozen and dropped."""
        return {"calls": dict(self._calls), "open": len(self._links)}

    async def _route(self, call: Call) -> None:
        await super()._route(call)
        if self.faults.cut_now:
            self._cut_all()
        if self.faults.freeze_now:
            self._freeze_all()
        self._clear_momentary()
        if self.faults.refuse:
            self._listening.cancel()

    async def handle(self, call: Call) -> None:
        """Answer the health path of the control port."""
        await call.answer(200, {})

    def _clear_momentary(self) -> None:
        self.faults = dataclasses.replace(self.faults, cut_now=False, freeze_now=False)

    def _cut_all(self) -> None:
        for link in self._links:
            self._calls["cut"] += 1
            link.scope.cancel()

    def _freeze_all(self) -> None:
        for link in self._links:
            self._calls["frozen"] += 1
            link.frozen = True

    async def run(self, host: str, port: int, control_port: int) -> None:
        """Forward connections until SIGTERM; print both ports."""
        self._listen_host = host
        self._listen_port = port
        await serve_app(self, host, control_port, name="control")

    async def extra_addresses(self) -> dict[str, str]:
        """Return where the proxy forwards from, once it listens."""
        await self._opened.wait()
        return {"http": f"{self._listen_host}:{self._listen_port}"}

    async def background(self) -> None:
        """Forward connections, reopening the same port after a refusal."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._serve_once(nursery)
                while self.faults.refuse:
                    await trio.sleep(0.01)

    async def _serve_once(self, nursery: trio.Nursery) -> None:
        listeners = await _open(self._listen_host, self._listen_port)
        self._listen_port = listeners[0].socket.getsockname()[1]
        self._opened.set()
        with trio.CancelScope() as self._listening:
            await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)

    async def _serve(self, client: trio.SocketStream) -> None:
        self._calls["opened"] += 1
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                server = await trio.open_tcp_stream(self._host, self._port)
        except (OSError, trio.TooSlowError):
            await client.aclose()
            return
        link = _Link(client, server)
        link.frozen = self.faults.blackhole
        self._links.add(link)
        async with client, server:
            with link.scope:
                await self._forward(link)
        self._links.discard(link)

    async def _forward(self, link: _Link) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, link, link.client, link.server)
            nursery.start_soon(self._pump, link, link.server, link.client)

    async def _pump(
        self, link: _Link, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await self._pass(link, sink, data)
            await self._pass(link, sink, b"")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if not link.frozen:
            link.scope.cancel()

    async def _pass(self, link: _Link, sink: trio.SocketStream, data: bytes) -> None:
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if link.frozen:
            # Neither end hears of the other again, not even of its close.
            await trio.sleep_forever()
        if data and sink is link.client and self._drops_reply():
            link.scope.cancel()
        elif data:
            await sink.send_all(data)

    def _drops_reply(self) -> bool:
        left = self.faults.drop_replies
        if left == 0:
            return False
        if left > 0:
            self.faults = dataclasses.replace(self.faults, drop_replies=left - 1)
        self._calls["dropped"] += 1
        return True


async def _open(host: str, port: int) -> list[trio.SocketListener]:
    while True:
        try:
            return await trio.open_tcp_listeners(port, host=host)
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
            await trio.sleep(0.05)
