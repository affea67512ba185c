"""Small HTTP/1.1 server for stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote


@dataclass(frozen=True)
class Request:
    """One request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    """By names in lower case."""
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return unquote(self.target.partition("?")[0])

    @property
    def query(self) -> dict[str, str]:
        """Last value of each field of the query."""
        found = parse_qs(self.target.partition("?")[2])
        return {name: values[-1] for name, values in found.items()}


class Exchange:
    """Answer to one request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer
        self.is_done = False
        """Whether a whole answer was written, so that another request may follow."""

    async def send(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole answer with its length."""
        lines = {"Content-Length": str(len(body)), **(headers or {})}
        self._writer.write(_head(status, lines) + body)
        await self._writer.drain()
        self.is_done = True

    async def send_json(self, status: int, value: Any) -> None:
        """Send a whole answer with a JSON body."""
        body = json.dumps(value).encode()
        await self.send(status, body, {"Content-Type": "application/json"})

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer in chunks."""
        lines = {"Transfer-Encoding": "chunked", **headers}
        self._writer.write(_head(status, lines))
        await self._writer.drain()

    async def write(self, data: bytes) -> None:
        """Send one chunk."""
        self._writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._writer.drain()

    async def end(self) -> None:
        """Send the last chunk."""
        self._writer.write(b"0\r\n\r\n")
        await self._writer.drain()
        self.is_done = True

    async def closed(self) -> None:
        """Return once the other side has closed or reset the connection."""
        try:
            while await self._reader.read(4096):
                pass
        except OSError:
            pass

    def reset(self) -> None:
        """Reset the connection."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()


Handler = Callable[[Request, Exchange], Awaitable[None]]


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields of a head; raise ``EOFError`` at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def serve(handler: Handler, host: str = "127.0.0.1", port: int = 0):
    """Listen; return the server of asyncio."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                n_bytes = int(headers.get("content-length", 0))
                body = await reader.readexactly(n_bytes)
                exchange = Exchange(reader, writer)
                await handler(Request(method, target, headers, body), exchange)
                if not exchange.is_done:
                    break
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    return await asyncio.start_server(connected, host, port)


def address_of(server: asyncio.Server) -> str:
    """Return host and port that a server listens on."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
