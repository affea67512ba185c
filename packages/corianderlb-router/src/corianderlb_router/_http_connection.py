"""One connection of the HTTP server.

The protocol is the library's; the reading and writing of the socket stands here.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Final

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.worker_context import TrioSingleTask, WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

READ_BYTES: Final = 1 << 16
"""Most bytes taken from a socket at once."""


class Http1State(h11.Connection):
    """Protocol state of a connection that offers nothing but HTTP/1.

    A server may ignore ``Upgrade``; the request is then answered over HTTP/1.
    """

    def next_event(self) -> Any:
        """Return the next event; an unsupported version is a protocol error."""
        event = super().next_event()
        if not isinstance(event, h11.Request):
            return event
        if not event.http_version.startswith(b"1."):
            version = event.http_version.decode()
            raise h11.RemoteProtocolError(
                f"HTTP/{version} is not supported, only HTTP/1",
                error_status_hint=HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            )
        headers = [header for header in event.headers if header[0] != b"upgrade"]
        if len(headers) == len(event.headers):
            return event
        return h11.Request(
            method=event.method,
            target=event.target,
            headers=headers,
            http_version=event.http_version,
        )


class HttpConnection:
    """Serves the requests of one connection until either side closes it.

    ``caller`` is the remote address of the stream.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        caller: tuple[Any, ...],
        config: Config,
        context: WorkerContext,
        write_timeout_s: float,
    ) -> None:
        self._stream = stream
        self._caller = caller
        self._config = config
        self._context = context
        self._write_timeout_s = write_timeout_s
        self._send_lock = trio.Lock()
        self._idle_task = TrioSingleTask()
        self._tasks: TaskGroup
        self._protocol: H11Protocol

    async def run(self, app: AppWrapper) -> None:
        """Serve requests; any exception may be raised for what the caller sends."""
        sock = self._stream.socket
        try:
            async with TaskGroup() as tasks:
                self._tasks = tasks
                self._protocol = H11Protocol(
                    app,
                    self._config,
                    self._context,
                    tasks,
                    ConnectionState({}),
                    False,
                    parse_socket_addr(sock.family, self._caller),
                    parse_socket_addr(sock.family, sock.getsockname()),
                    self._handle_event,
                )
                self._protocol.connection = Http1State(
                    h11.SERVER,
                    max_incomplete_event_size=self._config.h11_max_incomplete_size,
                )
                await self._idle_task.restart(tasks, self._close_when_idle)
                await self._read()
        finally:
            self.close()

    def close(self) -> None:
        """Close the socket, which ends a write that waits for the caller to read."""
        self._stream.socket.close()

    async def _read(self) -> None:
        while True:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
            await self._protocol.handle(RawData(bytes(data)))
            if not data:
                break
        await self._protocol.handle(Closed())

    async def _handle_event(self, event: Event) -> None:
        """Act on an event of the protocol."""
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            self.close()
            await self._protocol.handle(Closed())
        elif isinstance(event, Updated):
            if event.idle:
                await self._idle_task.restart(self._tasks, self._close_when_idle)
            else:
                await self._idle_task.stop()

    async def _write(self, data: bytes) -> None:
        """Write data whole, or close the connection.

        The protocol has counted the data as sent, so a cancellation ends neither the
        wait for the lock nor the write; ``close`` and the timeout do.
        """
        deadline = trio.current_time() + self._write_timeout_s
        with trio.CancelScope(shield=True, deadline=deadline) as scope:
            async with self._send_lock:
                try:
                    await self._stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    await self._protocol.handle(Closed())
        if scope.cancelled_caught:
            self.close()
            await self._protocol.handle(Closed())

    async def _close_when_idle(self) -> None:
        """Close after the keep-alive timeout, or once the server stops listening."""
        with trio.move_on_after(self._config.keep_alive_timeout):
            await self._context.terminated.wait()
        with trio.CancelScope(shield=True):
            await self._protocol.handle(Closed())
            self.close()
