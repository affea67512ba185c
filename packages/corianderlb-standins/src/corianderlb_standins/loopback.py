"""HTTP client, hosts and ports for calls between the processes of one machine."""

from __future__ import annotations

import re
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from enum import Enum
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


def free_port() -> int:
    """Return a port that is reserved for about a minute.

    A closed connection leaves the port in TIME_WAIT: a server may bind to it with
    SO_REUSEADDR, but the kernel does not assign it to outgoing connections before the
    process starts or restarts.
    """
    with socket.socket() as server, socket.socket() as client:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client.connect(server.getsockname())
        accepted, _ = server.accept()
        accepted.close()
        return server.getsockname()[1]


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


class KeptHost(RawHost):
    """Host that answers all requests of a connection with the same bytes."""

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                self.requests.append(data)
                await stream.send_all(self._answer)
        await trio.aclose_forcefully(stream)


class EarlyEnding(Enum):
    """How a host ends a connection on which it has answered before its request."""

    RESET = "reset"
    RESET_READING = "reset while it reads"
    CLOSE = "close"
    """Close with the request unread, which the kernel turns into a reset."""
    CLOSE_READ = "close once the request is read"
    END_FIRST = "end its side, read the request, close"
    """The close in two steps of RFC 9112, section 9.6."""

    @property
    def takes_request(self) -> bool:
        """Whether the host reads the request to its end."""
        return self in (EarlyEnding.CLOSE_READ, EarlyEnding.END_FIRST)


class EarlyHost(RawHost):
    """Host that answers once it has the head of a request, and ends as scripted."""

    def __init__(
        self, answer: bytes, ending: EarlyEnding, pause_s: float = 0.0
    ) -> None:
        """Pause for a time between the answer and what follows."""
        resets = ending in (EarlyEnding.RESET, EarlyEnding.RESET_READING)
        super().__init__(answer, resets)
        self._ending = ending
        self._pause_s = pause_s

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            n_left = await self._read_head(stream)
            await stream.send_all(self._answer)
            if self._ending is EarlyEnding.END_FIRST:
                await stream.send_eof()
            await trio.sleep(self._pause_s)
            if self._ending.takes_request:
                await self._read(stream, n_left, 0.0)
            elif self._ending is EarlyEnding.RESET_READING:
                await self._read(stream, n_left // 8, 0.001)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, self._linger)
        await trio.aclose_forcefully(stream)

    async def _read_head(self, stream: trio.SocketStream) -> int:
        """Read a head, and little more; return how much of the body is left."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = await stream.receive_some(1024)
            if not part:
                raise trio.BrokenResourceError("closed without a request")
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        self.requests.append(head)
        length = re.search(rb"(?i)\r\ncontent-length: *([0-9]+)", head)
        return int(length[1]) - len(body) if length else 0

    @staticmethod
    async def _read(stream: trio.SocketStream, n_bytes: int, pause_s: float) -> None:
        while n_bytes > 0 and (data := await stream.receive_some(1 << 16)):
            n_bytes -= len(data)
            await trio.sleep(pause_s)


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
