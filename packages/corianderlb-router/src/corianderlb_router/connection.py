"""One HTTP/1.1 connection to an upstream instance, over a trio stream.

The errors state whether any byte of a request may have been sent, which decides whether
it can be reported as "not run" and retried. The connection itself never retries.
"""

from __future__ import annotations

import errno
import fcntl
import os
import select
import socket
import struct
import termios
from abc import ABC, abstractmethod
from contextlib import suppress
from http import HTTPStatus
from typing import Final

import h11
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.error import CorianderError
from corianderlb_core.result import ResultCode

from ._chunked_body import ChunkedBody, ChunkError
from ._response_head import HeadCheck, HeadError

RECEIVE_BYTES: Final = 65536
"""Most bytes read from a socket at once; bounds the memory per slow caller."""

_NO_TRAILING_DATA: Final = (b"", b"\r\n")
"""Trailing data of the parser when no further body bytes are buffered."""

_VERSION_1_1: Final = b" HTTP/1.1\r\n"
_VERSION_1_0: Final = b" HTTP/1.0\r\n"

_FRAMING_HEADERS: Final = frozenset({b"transfer-encoding", b"content-length"})
"""Headers that delimit a body."""

_LAST_RECEIVED: Final = struct.Struct("56xI")
"""Part of the kernel's ``tcp_info``: the milliseconds since the last acknowledgement,
which each segment of an established connection carries."""

_TCP_CLOSE: Final = b"\x07"
"""First byte of the kernel's ``tcp_info``, the state, of a connection that was reset or
timed out."""

_COUNT: Final = struct.Struct("i")

DELIVERY_CHECK_S: Final = 0.01
"""Interval at which is looked whether the remote kernel has all that was sent."""

_COMPLETE_STATES: Final = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
"""Parser states after a complete response; in the last two the upstream also closes."""

BODILESS_STATUSES: Final = (204, 304)
"""Statuses whose responses have no body."""

MAX_HEAD_BYTES: Final = 65536
"""Longest head of a response."""


class UpstreamError(CorianderError):
    """Base class of errors between the router and an upstream."""

    code = ResultCode.UPSTREAM_FAILED

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent
        """False only when no byte of the request can have reached the upstream."""


class ConnectFailedError(UpstreamError):
    """Raised when no connection could be opened, so nothing was sent."""

    def __init__(self, message: str, refused: bool) -> None:
        super().__init__(message, sent=False)
        self.refused = refused
        """Whether the attempt failed with an error instead of timing out."""


class BrokenError(UpstreamError):
    """Raised when the connection fails before the response is complete."""


class SilentError(UpstreamError):
    """Raised when a connection makes no progress within its timeout."""

    code = ResultCode.UPSTREAM_TIMEOUT


class Connector(ABC):
    """Opens streams to upstream instances; tests substitute memory streams."""

    @abstractmethod
    async def connect(self, address: str) -> trio.abc.Stream:
        """Return an open stream; raise ``OSError`` on failure."""


class TcpConnector(Connector):
    """Opens TCP connections to ``address:port``, where the address is an IP address."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Return a connected socket stream with Nagle's algorithm disabled."""
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        raw = socket.socket(family, socket.SOCK_STREAM)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = SocketStream(raw)
        try:
            await stream.connect(host.strip("[]"), int(port))
        except BaseException:
            stream.close()
            raise
        return stream


class SocketStream(trio.abc.Stream):
    """Socket stream that waits for readability before it reads.

    For both sides of a connection. Events, and requests of a connection that is kept
    open, arrive one by one, so a first read almost always blocks.
    Trio's own stream attempts that read and yields once more after the wait, which
    doubles the cost per chunk. Connects and writes are tried first, as those to a near
    host almost never block.
    """

    def __init__(self, raw: socket.socket) -> None:
        raw.setblocking(False)
        self._raw = raw
        self._is_closed = False
        self._has_ended_writes = False

    async def connect(self, host: str, port: int) -> None:
        """Connect to an IP address and port."""
        try:
            socket.inet_pton(self._raw.family, host)
        except OSError:
            # A name is looked up in a thread.
            await trio.socket.from_stdlib_socket(self._raw).connect((host, port))
            return
        code = self._raw.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(self._raw)
            code = self._raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            # Whoever tries again at once lets other tasks run.
            await trio.lowlevel.checkpoint()
            raise OSError(code, os.strerror(code))

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the available bytes, at least one; empty at end of stream.

        A connection that has failed has no end of stream, whoever was told of that.
        """
        try:
            while True:
                await trio.lowlevel.wait_readable(self._raw)
                try:
                    data = self._raw.recv(max_bytes or RECEIVE_BYTES)
                    break
                except BlockingIOError:
                    continue
        except trio.ClosedResourceError:
            raise
        except OSError as exc:
            raise trio.BrokenResourceError(str(exc)) from exc
        if not data and self.has_failed:
            raise trio.BrokenResourceError("the connection has failed")
        return data

    @property
    def has_failed(self) -> bool:
        """Whether the connection was reset or has timed out.

        The kernel reports an error once, to whichever of a read and a write comes next,
        and none to a read after the end of the remote side. Its state stays.
        """
        if self._is_closed or self._has_ended_writes:
            # A connection that both sides have ended has the same state.
            return False
        try:
            state = self._raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return False
        return state == _TCP_CLOSE

    async def wait_until_delivered(self) -> None:
        """Wait until the remote kernel has all that was sent.

        Raise ``trio.BrokenResourceError`` if the connection fails before.
        """
        while self.has_undelivered and not self.has_failed:
            await trio.sleep(DELIVERY_CHECK_S)
        if self.has_failed:
            raise trio.BrokenResourceError("the connection failed before all was taken")

    async def wait_readable(self) -> None:
        """Wait until a read returns bytes, the end of the stream or an error."""
        await trio.lowlevel.wait_readable(self._raw)

    def receive_at_once(self) -> bytes:
        """Return the bytes that have arrived; raise ``OSError`` if there are none."""
        return self._raw.recv(RECEIVE_BYTES)

    @property
    def has_arrived(self) -> bool:
        """Whether bytes have arrived that were not read."""
        try:
            return bool(self._raw.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    @property
    def has_ended(self) -> bool:
        """Whether the remote side has ended or reset it, and all bytes were read."""
        try:
            return not self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send_at_once(self, data: bytes | memoryview) -> memoryview:
        """Send what can be sent without waiting; return the rest."""
        if self._is_closed:
            raise trio.ClosedResourceError("the stream was closed")
        rest = memoryview(data)
        try:
            return rest[self._raw.send(rest) :]
        except BlockingIOError:
            return rest
        except OSError as exc:
            raise trio.BrokenResourceError(str(exc)) from exc

    async def send_all(self, data: bytes | memoryview) -> None:
        """Send all bytes."""
        if self._is_closed:
            raise trio.ClosedResourceError("the stream was closed")
        rest = memoryview(data)
        try:
            while rest:
                try:
                    rest = rest[self._raw.send(rest) :]
                except BlockingIOError:
                    await trio.lowlevel.wait_writable(self._raw)
        except OSError as exc:
            raise trio.BrokenResourceError(str(exc)) from exc

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until some bytes can be sent."""
        if self._is_closed:
            raise trio.ClosedResourceError("the stream was closed")
        await trio.lowlevel.wait_writable(self._raw)

    def set_reset_on_close(self, resets: bool) -> None:
        """Set whether the end of the connection is a reset, also that by the kernel.

        A reset discards what the remote side has not acknowledged.
        """
        linger = struct.pack("ii", resets, 0)
        self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def end_writes(self) -> None:
        """Tell the remote side that nothing follows; bytes may still be read."""
        self._has_ended_writes = True
        with suppress(OSError):
            self._raw.shutdown(socket.SHUT_WR)

    @property
    def has_undelivered(self) -> bool:
        """Whether the kernel of the remote side lacks any of what was sent."""
        try:
            n_bytes = fcntl.ioctl(self._raw, termios.TIOCOUTQ, bytes(_COUNT.size))
        except OSError:
            return False
        return bool(_COUNT.unpack(n_bytes)[0])

    def close(self) -> None:
        """Close the socket; who waits for it is told."""
        if not self._is_closed:
            self._is_closed = True
            trio.lowlevel.notify_closing(self._raw)
            self._raw.close()

    async def aclose(self) -> None:
        """Close the socket."""
        self.close()
        await trio.lowlevel.checkpoint()

    @property
    def is_closed(self) -> bool:
        """Whether this side has closed it."""
        return self._is_closed

    @property
    def silent_s(self) -> float:
        """Time since the kernel last received anything from the remote side.

        After the end of the stream, the time since then at least.
        """
        try:
            info = self._raw.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_RECEIVED.size
            )
        except OSError:
            return 0.0
        return _LAST_RECEIVED.unpack(info)[0] / 1000

    @property
    def local_address(self) -> tuple[str, int]:
        """Address and port of this side."""
        host, port, *_ = self._raw.getsockname()
        return host, port

    @property
    def has_closed(self) -> bool:
        """Whether either side has closed or reset it, whatever is left to read."""
        if self._is_closed:
            return True
        poll = select.poll()
        poll.register(self._raw.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    @property
    def is_readable(self) -> bool:
        """Whether a read would return bytes or end of stream without blocking."""
        poll = select.poll()
        poll.register(self._raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))


@dataclass(frozen=True)
class OutgoingRequest:
    """Request as sent over a connection."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    until_close: bool = False
    """Request a body delimited by connection close, as in HTTP/1.0, which is cheaper to
    read than chunks. Only for bodies that show by themselves whether they are complete,
    since a broken connection looks the same as the end."""


class Connection:
    """Pooled connection that carries one exchange at a time."""

    __slots__ = (
        "_body",
        "_h11",
        "_head",
        "_is_cut",
        "_is_head",
        "_needs_body",
        "_raw_rest",
        "_stream",
        "_unsent",
        "__weakref__",
        "address",
        "content_length",
        "ends_by_close",
        "generation",
        "has_answered",
        "idle_since",
        "opened_at",
    )

    def __init__(self, stream: trio.abc.Stream, address: str, generation: int) -> None:
        self._stream = stream
        self._h11 = _new_parser()
        self._head = HeadCheck()
        self.address = address
        self.generation = generation
        """The pool's generation when opened; older ones are not reused."""
        self.opened_at = trio.current_time()
        self.idle_since = 0.0
        self.has_answered = False
        """Whether the head of a response has arrived on it."""
        self.ends_by_close = False
        """Whether the response body is delimited by connection close."""
        self.content_length: int | None = None
        """Length of the response body; None if it is not known before its end."""
        self._raw_rest = b""
        self._needs_body = False
        """Whether the response is a success without length whose body has not begun."""
        self._body: ChunkedBody | None = None
        """Body of the response, if it arrives in chunks."""
        self._is_head = False
        self._unsent: bytes | memoryview = b""
        """Rest of a request that the upstream began to answer before it was sent."""
        self._is_cut = False
        """Whether the upstream took no more of the request."""

    async def send_request(self, request: OutgoingRequest) -> None:
        """Send a request in one write."""
        await self.send_rest(self.begin_request(request))

    def begin_request(self, request: OutgoingRequest) -> bytes | memoryview:
        """Send what can be sent of a request without waiting; return the rest."""
        try:
            data = self._encode(request)
        except h11.LocalProtocolError as exc:
            message = f"{self.address}: the request cannot be encoded: {exc}"
            raise BrokenError(message, sent=False) from exc
        if not isinstance(self._stream, SocketStream):
            return data
        try:
            return self._stream.send_at_once(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise BrokenError(
                f"{self.address}: connection closed during send", sent=True
            ) from exc

    async def send_rest(self, rest: bytes | memoryview) -> None:
        """Send the rest of a request that has begun, unless it is answered before.

        What is left then is sent while the answer is read: an upstream may answer
        before it has read a long body, and read on or close.
        """
        if not rest:
            return
        if isinstance(self._stream, SocketStream):
            self._unsent = rest
            await self._send_until_answered(self._stream)
            return
        try:
            await self._stream.send_all(rest)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise BrokenError(
                f"{self.address}: connection closed during send", sent=True
            ) from exc

    async def _send_until_answered(self, stream: SocketStream) -> None:
        async with trio.open_nursery() as nursery:

            async def wait_for_answer() -> None:
                with suppress(OSError, trio.ClosedResourceError):
                    await stream.wait_readable()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_for_answer)
            try:
                await self._send_unsent(stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # An answer may have arrived before; the next read tells.
                self._unsent, self._is_cut = b"", True
            nursery.cancel_scope.cancel()

    async def _send_unsent(self, stream: SocketStream) -> None:
        while self._unsent:
            await stream.wait_send_all_might_not_block()
            self._unsent = stream.send_at_once(self._unsent)

    def _encode(self, request: OutgoingRequest) -> bytes:
        self._is_head = request.method == b"HEAD"
        event = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        head = self._h11.send(event) or b""
        if request.until_close:
            head = head.replace(_VERSION_1_1, _VERSION_1_0, 1)
        parts = [head]
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    async def receive_head(self) -> h11.Response:
        """Return the head of the response, skipping informational ones."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.has_answered = True
                self._record_framing(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenError(f"{self.address}: closed before response", sent=True)

    def _record_framing(self, head: h11.Response) -> None:
        names = self._head.fields.keys()
        has_body = not self._is_head and head.status_code not in BODILESS_STATUSES
        self.ends_by_close = has_body and not names & _FRAMING_HEADERS
        self.content_length = None
        if self.ends_by_close:
            self._needs_body = head.status_code < HTTPStatus.MULTIPLE_CHOICES
            self._raw_rest = self._h11.trailing_data[0]
        elif has_body and b"transfer-encoding" in names:
            # The parser of the head supports no other one than chunked.
            self._body = ChunkedBody(self._h11.trailing_data[0])
        elif has_body:
            self.content_length = int(dict(head.headers)[b"content-length"])

    async def receive_raw(self) -> bytes:
        """Return body bytes as they arrive, empty at the end of the connection.

        For bodies delimited by connection close; bypasses the parser, which is not
        needed for them. A success that ends right after its head is broken: the head
        may have been cut before the line that delimits the body. So is an answer whose
        upstream does not take the whole request.
        """
        data, self._raw_rest = self._raw_rest, b""
        if not data:
            data = await self._receive_some()
        if not data:
            await self._finish_request()
        if self._needs_body:
            if not data:
                message = f"{self.address}: closed right after the head"
                raise BrokenError(message, sent=True)
            self._needs_body = False
        return data

    async def _finish_request(self) -> None:
        """Send what is left of the request; raise ``BrokenError`` if it isn't taken.

        An upstream may end its side early and read on. One that has closed looks the
        same until more of the request arrives, which draws a reset.
        """
        if not isinstance(self._stream, SocketStream):
            return
        try:
            await self._send_unsent(self._stream)
            await self._stream.wait_until_delivered()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            message = f"{self.address}: closed before it took the request"
            raise BrokenError(message, sent=True) from exc

    async def receive_chunk(self) -> bytes:
        """Return the available body bytes, at least one; empty at the end of the body.

        Bytes that arrived together are returned as one chunk, so that the caller needs
        one write for them.
        """
        if self._body is not None:
            return await self._receive_decoded(self._body)
        event = await self._next_event()
        if type(event) is not h11.Data:
            return b""
        chunk = bytes(event.data)
        while self._h11.trailing_data[0] not in _NO_TRAILING_DATA:
            event = self._parse()
            if type(event) is not h11.Data:
                break
            chunk += event.data
        return chunk

    async def _receive_decoded(self, body: ChunkedBody) -> bytes:
        while True:
            try:
                data = body.take()
            except ChunkError as exc:
                raise BrokenError(f"{self.address}: {exc}", sent=True) from exc
            if data or body.is_complete:
                return data
            received = await self._receive_some()
            if not received:
                raise BrokenError(f"{self.address}: closed mid-response", sent=True)
            body.add(received)

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._parse()
            if event is h11.NEED_DATA:
                await self._receive()
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise BrokenError(f"{self.address}: closed mid-response", sent=True)
            else:
                return event

    def _parse(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        if self._h11.their_state in _COMPLETE_STATES:
            return h11.EndOfMessage()
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as exc:
            raise BrokenError(f"{self.address}: {exc}", sent=True) from exc

    async def _receive(self) -> None:
        data = await self._receive_some()
        try:
            self._head.add(data)
        except HeadError as exc:
            raise BrokenError(f"{self.address}: {exc}", sent=True) from exc
        self._h11.receive_data(data)

    async def _receive_some(self) -> bytes:
        if self._unsent and isinstance(self._stream, SocketStream):
            await self._send_until_answered(self._stream)
        try:
            return await self._stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise BrokenError(f"{self.address}: connection reset", sent=True) from exc

    @property
    def silent_s(self) -> float:
        """Time since anything arrived from the upstream, as far as it is known."""
        return silent_s_of(self._stream)

    @property
    def framing(self) -> str:
        """What delimits the response body: ``length``, ``chunks`` or ``close``."""
        if self.ends_by_close:
            return "close"
        return "chunks" if self._body is not None else "length"

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is complete and the connection stays open."""
        if self._unsent or self._is_cut:
            return False
        if self._body is not None:
            is_whole = self._body.is_complete and not self._body.rest
            # Both sides' headers decide whether our state is done or has to close.
            return is_whole and self._h11.our_state is h11.DONE
        states = (self._h11.our_state, self._h11.their_state)
        return states == (h11.DONE, h11.DONE) and not self._h11.trailing_data[0]

    def start_next_exchange(self) -> None:
        """Reset the parser for the next exchange after a complete one."""
        self._head = HeadCheck()
        if self._body is None:
            self._h11.start_next_cycle()
        else:
            self._h11, self._body = _new_parser(), None

    @property
    def is_dropped(self) -> bool:
        """Whether the upstream closed or sent unsolicited data while idle."""
        return isinstance(self._stream, SocketStream) and self._stream.is_readable

    @property
    def shows_close(self) -> bool:
        """Whether a close by the other side is known before it is read."""
        return isinstance(self._stream, SocketStream)

    @property
    def has_closed(self) -> bool:
        """Whether either side has closed or reset it, or nothing tells."""
        return not isinstance(self._stream, SocketStream) or self._stream.has_closed

    @property
    def is_closed(self) -> bool:
        """Whether this side has closed it, as far as that is known."""
        return isinstance(self._stream, SocketStream) and self._stream.is_closed

    @property
    def closes_at_once(self) -> bool:
        """Whether ``close`` never waits."""
        return isinstance(self._stream, SocketStream)

    async def close(self) -> None:
        """Close the socket without waiting for the upstream."""
        if isinstance(self._stream, SocketStream):
            self._stream.close()
        else:
            await trio.aclose_forcefully(self._stream)


def silent_s_of(stream: trio.abc.Stream) -> float:
    """Return the time since anything arrived from the remote side, if it is known."""
    return stream.silent_s if isinstance(stream, SocketStream) else 0.0


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
