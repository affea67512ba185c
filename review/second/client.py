"""Client that reads one answer as fast or as slowly as it is told."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

SEGMENT_BYTES = 1400
"""Largest segment, as on Ethernet; that of loopback makes buffers of megabytes."""

_EVENT = re.compile(rb"id: ?(\d+)\r?\n")


@dataclass
class Answer:
    """What a client got."""

    status: int = 0
    """0 if the connection ended before a head."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def events(self) -> list[int]:
        """Numbers of the events in the body."""
        return [int(found) for found in _EVENT.findall(self.body)]


async def no_pause() -> None:
    """Read on at once."""


async def request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
    receive_bytes: int = 0,
    read_bytes: int = 16384,
    before_read: Callable[[], Awaitable[None]] = no_pause,
) -> Answer:
    """Send a request on a new connection; await ``before_read`` before each read."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    loop = asyncio.get_running_loop()
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, (host, int(port)))
            sized = {**headers, "Content-Length": str(len(body))}
            lines = "".join(f"{name}: {value}\r\n" for name, value in sized.items())
            head = f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
            await loop.sock_sendall(sock, head + body)
            await _read(sock, answer, read_bytes, before_read)
    except (OSError, TimeoutError):
        pass
    finally:
        sock.close()
    return answer


async def _read(
    sock: socket.socket,
    answer: Answer,
    read_bytes: int,
    before_read: Callable[[], Awaitable[None]],
) -> None:
    loop = asyncio.get_running_loop()
    raw = b""
    while b"\r\n\r\n" not in raw:
        data = await loop.sock_recv(sock, 4096)
        if not data:
            return
        raw += data
    head, _, raw = raw.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    answer.headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
    answer.status = int(first.split(" ")[1])
    is_chunked = answer.headers.get("transfer-encoding") == "chunked"
    n_bytes = int(answer.headers.get("content-length", -1))
    while True:
        if is_chunked:
            answer.body, answer.is_whole = _decode(raw)
        else:
            answer.body, answer.is_whole = raw, len(raw) == n_bytes
        if answer.is_whole:
            return
        await before_read()
        data = await loop.sock_recv(sock, read_bytes)
        if not data:
            answer.is_whole = not is_chunked and n_bytes < 0
            return
        raw += data


def _decode(raw: bytes) -> tuple[bytes, bool]:
    """Return the body of the chunks that have arrived, and whether it is whole."""
    parts, place = [], 0
    while (end := raw.find(b"\r\n", place)) >= 0:
        n_bytes = int(raw[place:end], 16)
        if not n_bytes:
            return b"".join(parts), raw[end:].startswith(b"\r\n\r\n")
        part = raw[end + 2 : end + 2 + n_bytes]
        parts.append(part)
        place = end + 4 + n_bytes
        if len(part) < n_bytes:
            break
    return b"".join(parts), False
