"""Transport of frames between routers over websockets."""

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
"""Timeout for opening a websocket."""

CLOSE_TIMEOUT_S: Final = 0.5
"""Timeout for the closing handshake."""

FRAME_OVERHEAD_BYTES: Final = 64
"""Upper bound of the bytes that a frame adds to its message."""

CLOSE_MESSAGE_TOO_BIG: Final = 1009
"""Websocket close code for a message above the size limit."""


class WebSocketTransport(PeerTransport):
    """Dial and accept websockets; port 0 lets the kernel choose a port.

    Library pings are off: the routers' heartbeats detect dead links, and use a clock
    that tests control.
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
                max_size=MAX_MESSAGE_BYTES + FRAME_OVERHEAD_BYTES,
            ) as websocket:
                yield _WebSocketLink(websocket)
        except (OSError, InvalidHandshake, InvalidURI) as exc:
            raise LinkClosedError(f"{address}: {exc!r}") from exc

    async def serve(
        self,
        handler: LinkHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled."""

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
            max_size=MAX_MESSAGE_BYTES + FRAME_OVERHEAD_BYTES,
        )


class _WebSocketLink(PeerLink):
    """Link over one websocket."""

    def __init__(self, websocket: Connection) -> None:
        self._websocket = websocket

    async def send(self, frame: bytes) -> None:
        try:
            await self._websocket.send(frame)
        except (ConnectionClosed, OSError, trio.BrokenResourceError) as exc:
            raise LinkClosedError(f"send failed: {exc!r}") from exc

    async def receive(self) -> bytes:
        try:
            frame = await self._websocket.recv(decode=False)
        except ConnectionClosed as exc:
            too_long = exc.sent is not None and exc.sent.code == CLOSE_MESSAGE_TOO_BIG
            if too_long and not exc.rcvd_then_sent:
                raise FrameRefusedError("frame exceeds the size limit") from exc
            raise LinkClosedError(f"receive failed: {exc!r}") from exc
        return bytes(frame)

    async def aclose(self) -> None:
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            await self._websocket.aclose()
