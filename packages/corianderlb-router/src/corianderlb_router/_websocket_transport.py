"""Transport of frames between routers over websockets.

The protocol is the library's; the reading and writing of the socket stands here. A link
then costs one task that reads, and all frames that are due leave in one write. Frames
of whole messages, which are nearly all, are taken apart and made here too: the library
spends several times as long on each. It gets all others, and decides what is an error.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from typing import Final

import trio
from websockets.client import ClientProtocol
from websockets.exceptions import (
    InvalidHandshake,
    InvalidState,
    InvalidURI,
    PayloadTooBig,
)
from websockets.frames import Frame, Opcode, apply_mask
from websockets.http11 import Request
from websockets.protocol import Protocol, Side, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from corianderlb_core.message import MAX_MESSAGE_BYTES

from ._handshake import MAX_HANDSHAKE_BYTES
from .connection_guard import ConnectionGuard
from .peer_link import (
    FrameRefusedError,
    LinkClosedError,
    LinkHandler,
    PeerLink,
    PeerTransport,
)

OPEN_TIMEOUT_S: Final = 3.0
"""Timeout for opening a websocket."""

CLOSE_TIMEOUT_S: Final = 0.1
"""Timeout for the closing handshake. A router that stops waits for it after its callers
are cut, and a peer may be frozen."""

MAX_FRAME_BYTES: Final = MAX_MESSAGE_BYTES + 64
"""Limit of a frame: the longest message and an upper bound of what a link adds."""

MAX_FIRST_BYTES: Final = MAX_HANDSHAKE_BYTES + 64
"""Limit of a frame of a peer that has not proved to hold the peer key."""

MAX_OPENING: Final = 256
"""Most accepted connections whose opening handshake is not complete; others are closed.

Bounds their memory: each may hold ``MAX_HEAD_BYTES``.
"""

READ_BYTES: Final = 1 << 16
"""Most bytes taken from a socket at once."""

MAX_HEAD_BYTES: Final = 1 << 14
"""Length from which the library gets an opening handshake before it is complete."""

_WHOLE_MESSAGE: Final = 0x80 | Opcode.BINARY
"""First byte of a frame with a whole message."""


class WebSocketTransport(PeerTransport):
    """Dial and accept websockets; port 0 lets the kernel choose a port.

    Pings are not sent: the routers' heartbeats detect dead links, and use a clock that
    tests control.
    """

    def __init__(
        self, host: str, port: int, guard: ConnectionGuard | None = None
    ) -> None:
        self._host = host
        self._port = port
        self._guard = guard or ConnectionGuard()
        self._n_opening = 0

    @asynccontextmanager
    async def dial(self, address: str) -> AsyncIterator[PeerLink]:
        """Open a link to ``host:port``."""
        try:
            with trio.fail_after(OPEN_TIMEOUT_S):
                uri = parse_uri(f"ws://{address}/")
                stream = await trio.open_tcp_stream(uri.host, uri.port)
                websocket = _WebSocketLink(
                    stream, ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
                )
                await websocket.open_as_client()
        except (
            OSError,
            # For a host or port that is none, which a registration may name.
            ValueError,
            InvalidHandshake,
            InvalidURI,
            trio.TooSlowError,
        ) as exc:
            raise LinkClosedError(f"{address!r}: {exc!r}") from exc
        try:
            yield websocket
        finally:
            await websocket.aclose()

    async def serve(
        self,
        handler: LinkHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled; a link that fails ends no other."""

        async def handle(stream: trio.SocketStream) -> None:
            try:
                host, port = stream.socket.getpeername()[:2]
                with self._guard.confine("peers", f"{host}:{port}"):
                    await self._serve_link(stream, handler)
            except OSError:
                # The peer has left meanwhile.
                pass
            finally:
                stream.socket.close()

        listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        host, port = listeners[0].socket.getsockname()[:2]
        task_status.started(f"{host}:{port}")
        await trio.serve_listeners(handle, listeners)

    async def _serve_link(
        self, stream: trio.SocketStream, handler: LinkHandler
    ) -> None:
        if self._n_opening >= MAX_OPENING:
            return
        websocket = _WebSocketLink(stream, ServerProtocol(max_size=MAX_FIRST_BYTES))
        self._n_opening += 1
        try:
            with trio.fail_after(OPEN_TIMEOUT_S):
                await websocket.open_as_server()
        except (LinkClosedError, InvalidHandshake, trio.TooSlowError):
            return
        finally:
            self._n_opening -= 1
        try:
            await handler(websocket)
        finally:
            await websocket.aclose()


class _WebSocketLink(PeerLink):
    """Link over one websocket."""

    def __init__(self, stream: trio.SocketStream, protocol: Protocol) -> None:
        self._stream = stream
        self._protocol = protocol
        self._send_lock = trio.StrictFIFOLock()
        self._received: deque[bytes] = deque()
        self._fragments: list[bytes] = []
        self._unwritten = b""
        """What ``send_now`` could not write."""
        self._unparsed = b""
        """What was read and is no complete frame yet."""
        self._has_head = False
        """Whether the head of the opening handshake was received."""
        self._is_server = protocol.side is Side.SERVER
        self._max_bytes = MAX_FIRST_BYTES if self._is_server else MAX_FRAME_BYTES

    async def open_as_client(self) -> None:
        """Run the opening handshake of the side that dialled."""
        protocol = self._protocol
        assert isinstance(protocol, ClientProtocol)
        try:
            protocol.send_request(protocol.connect())
            await self._flush()
            while protocol.state is State.CONNECTING and not protocol.handshake_exc:
                await self._read()
        except BaseException:
            await trio.aclose_forcefully(self._stream)
            raise
        if protocol.handshake_exc is not None:
            await trio.aclose_forcefully(self._stream)
            raise protocol.handshake_exc

    async def open_as_server(self) -> None:
        """Run the opening handshake of the side that accepted."""
        protocol = self._protocol
        assert isinstance(protocol, ServerProtocol)
        req: Request | None = None
        while req is None:
            if protocol.handshake_exc is not None:
                raise protocol.handshake_exc
            await self._read_bytes()
            req = next(iter(protocol.events_received()), None)
        protocol.send_response(protocol.accept(req))
        await self._flush()
        if protocol.handshake_exc is not None:
            raise protocol.handshake_exc
        self._take_messages()

    def accept_long_frames(self) -> None:
        self._max_bytes = self._protocol.max_message_size = MAX_FRAME_BYTES

    async def send(self, frame: bytes) -> None:
        await self.send_all((frame,))

    async def send_all(self, frames: Sequence[bytes]) -> None:
        try:
            for frame in frames:
                self._protocol.send_binary(frame)
        except InvalidState as exc:
            raise LinkClosedError(f"send failed: {exc!r}") from exc
        await self._flush()

    @property
    def can_send_now(self) -> bool:
        return not (
            self._unwritten
            or self._protocol.writes
            or self._send_lock.locked()
            or self._protocol.state is not State.OPEN
        )

    def send_now(self, frames: Sequence[bytes]) -> None:
        payload = b"".join([self._framed(frame) for frame in frames])
        try:
            n_written = os.write(self._stream.socket.fileno(), payload)
        except BlockingIOError:
            n_written = 0
        except OSError as exc:
            raise LinkClosedError(f"send failed: {exc!r}") from exc
        self._unwritten = payload[n_written:]

    async def receive(self) -> bytes:
        while not self._received:
            if self._protocol.state is not State.OPEN:
                raise LinkClosedError("receive failed: the websocket was closed")
            await self._read()
        return self._received.popleft()

    async def aclose(self) -> None:
        """Close the websocket, and wait a short time until the peer does so too."""
        with trio.CancelScope(shield=True), trio.move_on_after(CLOSE_TIMEOUT_S):
            try:
                if self._protocol.state is State.OPEN:
                    self._protocol.send_close()
                await self._flush()
                while self._protocol.state is not State.CLOSED:
                    await self._read_bytes()
                    # The side that accepted the link is the first to end the stream.
                    await self._flush()
            except LinkClosedError:
                pass
        await trio.aclose_forcefully(self._stream)

    async def abort(self) -> None:
        await trio.aclose_forcefully(self._stream)

    async def _read(self) -> None:
        """Read what has arrived and take the messages out of it."""
        await self._read_bytes()
        self._take_events()
        if isinstance(self._protocol.parser_exc, PayloadTooBig):
            # Before any await: a concurrent send would fail first and hide the reason.
            raise FrameRefusedError("frame exceeds the size limit")
        if self._protocol.writes:
            # An answer to a close; messages that came before it are still delivered.
            with suppress(LinkClosedError):
                await self._flush()

    async def _read_bytes(self) -> None:
        try:
            # One task step and one read for what has arrived: ``receive_some`` first
            # tries to read, which fails for most messages.
            await trio.lowlevel.wait_readable(self._stream.socket)
            data = os.read(self._stream.socket.fileno(), READ_BYTES)
        except BlockingIOError:
            return
        except (
            OSError,
            # For a socket that was closed before.
            ValueError,
            trio.BusyResourceError,
            trio.ClosedResourceError,
        ) as exc:
            self._protocol.receive_eof()
            raise LinkClosedError(f"receive failed: {exc!r}") from exc
        if data:
            self._unparsed += data
            self._parse()
        else:
            self._protocol.receive_eof()

    def _parse(self) -> None:
        """Take the handshake or the messages out of what has arrived."""
        if not self._has_head:
            head, end, rest = self._unparsed.partition(b"\r\n\r\n")
            if not end and len(head) < MAX_HEAD_BYTES:
                return
            self._has_head = True
            self._unparsed = rest
            self._protocol.receive_data(head + end)
            if self._is_server:
                # What follows is read once the handshake is answered.
                return
        self._take_messages()

    def _take_messages(self) -> None:
        """Take the complete frames out of what has arrived."""
        data, at = self._unparsed, 0
        while self._protocol.state is State.OPEN:
            start, end = _frame_bounds(data, at)
            is_too_long = end - start > self._max_bytes
            if end > len(data) and not is_too_long:
                break
            is_masked = data[at + 1] >= 0x80
            if (
                data[at] == _WHOLE_MESSAGE
                and is_masked == self._is_server
                and not is_too_long
                and not self._fragments
            ):
                payload = data[start:end]
                if is_masked:
                    payload = apply_mask(payload, data[start - 4 : start])
                self._received.append(payload)
            else:
                self._protocol.receive_data(data[at:end])
                self._take_events()
            at = end
        self._unparsed = data[at:]
        if self._unparsed and self._protocol.state is not State.OPEN:
            self._protocol.receive_data(self._unparsed)
            self._unparsed = b""

    def _take_events(self) -> None:
        for event in self._protocol.events_received():
            if isinstance(event, Frame):
                self._add_frame(event)

    def _framed(self, message: bytes) -> bytes:
        """Return a message as one frame."""
        length = len(message)
        mask_bit = 0 if self._is_server else 0x80
        if length < 126:
            head = bytes((_WHOLE_MESSAGE, mask_bit | length))
        elif length < 1 << 16:
            head = bytes((_WHOLE_MESSAGE, mask_bit | 126)) + length.to_bytes(2)
        else:
            head = bytes((_WHOLE_MESSAGE, mask_bit | 127)) + length.to_bytes(8)
        if self._is_server:
            return head + message
        mask = os.urandom(4)
        return head + mask + apply_mask(message, mask)

    def _add_frame(self, frame: Frame) -> None:
        if frame.opcode not in (Opcode.TEXT, Opcode.BINARY, Opcode.CONT):
            return
        self._fragments.append(bytes(frame.data))
        if frame.fin:
            self._received.append(b"".join(self._fragments))
            self._fragments.clear()

    async def _flush(self) -> None:
        """Send what the protocol has to send."""
        try:
            async with self._send_lock:
                data = self._protocol.data_to_send()
                payload = self._unwritten + b"".join(data)
                if payload:
                    self._unwritten = b""
                    await self._stream.send_all(payload)
                if b"" in data:
                    await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise LinkClosedError(f"send failed: {exc!r}") from exc


def _frame_bounds(data: bytes, at: int) -> tuple[int, int]:
    """Return where the payload of a frame starts and ends; its header may be partial.

    The end is beyond the data then.
    """
    if len(data) < at + 2:
        return at + 2, len(data) + 1
    length = data[at + 1] & 0x7F
    start = at + 2
    if length >= 126:
        n_bytes = 2 if length == 126 else 8
        if len(data) < start + n_bytes:
            return start, len(data) + 1
        length = int.from_bytes(data[start : start + n_bytes])
        start += n_bytes
    if data[at + 1] >= 0x80:
        start += 4
    return start, start + length
