"""HTTP client and host for calls between the processes of one machine."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import httpx
import trio


def loopback_client(**options: Any) -> httpx.AsyncClient:
    """Return a client for plain HTTP that opens without blocking the event loop.

    By default each client loads the certificates of all authorities. That takes about
    0.1 s, during which no other task of the process runs, so that calls which are timed
    meanwhile seem slow. The options are those of ``httpx.AsyncClient``::

        async with loopback_client(timeout=2.0) as http:
            await http.get("http://127.0.0.1:8080/healthz")
    """
    return httpx.AsyncClient(verify=False, trust_env=False, **options)


class RawHost:
    """Host that answers each request with the same bytes and ends the connection."""

    def __init__(self, answer: bytes, resets: bool = False) -> None:
        """Answer with ``answer``, and reset or close the connection after it."""
        self.address = ""
        """``host:port``, once it listens."""
        self.requests: list[bytes] = []
        """What was received first on each connection."""
        self._answer = answer
        self._linger = struct.pack("ii", resets, 0)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[RawHost]:
        """Listen while the context is open."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listeners[0].socket.getsockname()
            self.address = f"{host}:{port}"
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            yield self
            nursery.cancel_scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            self.requests.append(await stream.receive_some())
            await stream.send_all(self._answer)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, self._linger)
        await trio.aclose_forcefully(stream)


class EndlessHost(RawHost):
    """Host that follows the start of each answer with bytes without end."""

    def __init__(self, start: bytes, more: bytes, pause_s: float = 0.0) -> None:
        super().__init__(start)
        self.n_sent = 0
        """Bytes that were sent after the start."""
        self._more = more
        self._pause_s = pause_s

    async def _serve(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
        with suppress(trio.BrokenResourceError):
            self.requests.append(await stream.receive_some())
            await stream.send_all(self._answer)
            while True:
                await stream.send_all(self._more)
                self.n_sent += len(self._more)
                await trio.sleep(self._pause_s)
