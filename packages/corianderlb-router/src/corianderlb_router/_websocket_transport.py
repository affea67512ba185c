"""Carry frames between routers over websockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import trio
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidURI
from websockets.trio.client import connect
from websockets.trio.connection import Connection
from websockets.trio.server import ServerConnection, serve

from corianderlb_core.message import MAX_MESSAGE_BYTES

from .peer_link import (
    FrameRefusedError,
    LinkClosedError,
    LinkHandler,
    PeerLink,
    PeerTransport,
)

OPEN_TIMEOUT_S: Final = 3.0
"""Longest wait for a websocket to open, in seconds."""

CLOSE_TIMEOUT_S: Final = 0.5
"""Longest wait for a peer's part of the closing, in seconds."""

SEAL_BYTES: Final = 64
"""Bytes of a frame beside its message."""

TOO_LONG: Final = 1009
"""The websocket close code for a message above the limit."""


class WebSocketTransport(PeerTransport):
    """Open and take websockets on one host and port; port 0 lets the kernel pick.

    The pings of the library stay off: the routers' own heartbeats do their work, and
    stand on a clock that tests can move.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port

    @asynccontextmanager
    async def dial(self, address: str) -> AsyncIterator[PeerLink]:
        """Open a link to ``host:port``."""
        try:
            async with connect(
                f"ws://{address}/",
                compression=None,
                proxy=None,
                open_timeout=OPEN_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                ping_interval=None,
                max_size=MAX_MESSAGE_BYTES + SEAL_BYTES,
            ) as websocket:
                yield _WebSocketLink(websocket)
        except (OSError, InvalidHandshake, InvalidURI) as exc:
            raise LinkClosedError(f"{address}: {exc!r}") from exc

    async def serve(
        self,
        handler: LinkHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take links until cancelled."""

        async def handle(websocket: ServerConnection) -> None:
            await handler(_WebSocketLink(websocket))

        listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        host, port = listeners[0].socket.getsockname()[:2]
        task_status.started(f"{host}:{port}")
        await serve(
            handle,
            listeners=listeners,
            compression=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES + SEAL_BYTES,
        )


class _WebSocketLink(PeerLink):
    """Carry frames over one websocket."""

    def __init__(self, websocket: Connection) -> None:
        self._websocket = websocket

    async def send(self, frame: bytes) -> None:
        try:
            await self._websocket.send(frame)
        except (ConnectionClosed, OSError, trio.BrokenResourceError) as exc:
            raise LinkClosedError(f"sending: {exc!r}") from exc

    async def receive(self) -> bytes:
        try:
            frame = await self._websocket.recv(decode=False)
        except ConnectionClosed as exc:
            too_long = exc.sent is not None and exc.sent.code == TOO_LONG
            if too_long and not exc.rcvd_then_sent:
                raise FrameRefusedError("frame above the limit") from exc
            raise LinkClosedError(f"receiving: {exc!r}") from exc
        return bytes(frame)

    async def aclose(self) -> None:
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            await self._websocket.aclose()
