"""Serve stand-ins over HTTP/1.1 with answers that may lack length and chunks.

Such an answer ends with its connection, so a process that ends while it answers ends
the answer too: the kernel closes the connection in order.
"""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import Any, Final
from urllib.parse import unquote

import h11
import trio

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Socket option value by which a close resets the connection."""

UNFRAMED: Final = "corianderlb.unframed"
"""Key of a message that starts an answer without length and chunks."""

RAW: Final = "corianderlb.raw"
"""Type of a message whose body goes onto the connection as it is."""

RECEIVE_BYTES: Final = 65536


async def serve_plainly(
    app: Any,
    host: str,
    port: int,
    listen_fd: int | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application; report ``host:port`` once the socket listens."""
    if listen_fd is None:
        listeners = await trio.open_tcp_listeners(port, host=host)
    else:
        sock = trio.socket.from_stdlib_socket(socket.socket(fileno=listen_fd))
        listeners = [trio.SocketListener(sock)]
    name = listeners[0].socket.getsockname()
    task_status.started(f"{name[0]}:{name[1]}")

    async def serve(stream: trio.SocketStream) -> None:
        conn = _Connection(app, stream)
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await conn.run()
        await trio.aclose_forcefully(stream)

    await trio.serve_listeners(serve, listeners)


class _Connection:
    """One connection, which is kept open between answers that show their end."""

    def __init__(self, app: Any, stream: trio.SocketStream) -> None:
        self._app = app
        self._stream = stream
        self._parser = h11.Connection(h11.SERVER)
        self._is_unframed = False
        self._is_complete = False
        self._must_close = False

    async def run(self) -> None:
        """Answer one request after the other."""
        while not self._must_close:
            self._is_complete = self._is_unframed = False
            if not await self._answer_next():
                return
            if self._is_unframed or self._parser.our_state is not h11.DONE:
                return
            self._parser.start_next_cycle()

    async def _answer_next(self) -> bool:
        """Answer a request; return False if the connection ends instead."""
        request = await self._next_event()
        if not isinstance(request, h11.Request):
            return False
        body = b""
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return False
        path, _, query = request.target.partition(b"?")
        scope = {
            "type": "http",
            "method": request.method.decode(),
            "path": unquote(path.decode()),
            "query_string": query,
            "headers": list(request.headers),
            "client": self._stream.socket.getpeername(),
        }
        is_read, closed = False, trio.Event()

        async def receive() -> dict[str, Any]:
            nonlocal is_read
            if not is_read:
                is_read = True
                return {"type": "http.request", "body": body, "more_body": False}
            await closed.wait()
            return {"type": "http.disconnect"}

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, closed)
            try:
                await self._app(scope, receive, self._send)
            except Exception:
                # As a server would: the answer is cut.
                self._stream.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            nursery.cancel_scope.cancel()
        return self._is_complete

    async def _watch(self, closed: trio.Event) -> None:
        """Set the event once the client has closed; it sends nothing meanwhile."""
        with suppress(trio.BrokenResourceError):
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if data:
                self._parser.receive_data(data)
                return
        self._must_close = True
        closed.set()

    async def _next_event(self) -> Any:
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            self._parser.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
        return event

    async def _send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            await self._stream.send_all(self._head(message))
            return
        data = message.get("body", b"")
        if message["type"] == RAW:
            await self._stream.send_all(data)
            return
        self._is_complete = not message.get("more_body", False)
        if self._is_unframed:
            parts = data
        else:
            parts = self._parser.send(h11.Data(data=data)) or b"" if data else b""
            if self._is_complete:
                parts += self._parser.send(h11.EndOfMessage()) or b""
        if parts:
            await self._stream.send_all(parts)

    def _head(self, message: dict[str, Any]) -> bytes:
        status, headers = message["status"], list(message["headers"])
        if not message.get(UNFRAMED):
            event = h11.Response(status_code=status, headers=headers)
            return self._parser.send(event) or b""
        self._is_unframed = True
        lines = [b"HTTP/1.1 %d OK" % status]
        for name, value in headers:
            if name.lower() != b"content-length":
                lines.append(name + b": " + value)
        return b"\r\n".join([*lines, b"", b""])
