"""One connection of the HTTP server: HTTP/1 between a socket and an application.

A connection has one task. It reads a head, runs the application for it, and reads on;
while an application runs, the socket is read by whoever waits for the request.
"""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from email.utils import formatdate
from http import HTTPStatus
from typing import Any, Final, TypeAlias
from urllib.parse import unquote

import h11
import trio

from corianderlb_core.data_class import dataclass

from .connection import BODILESS_STATUSES, SocketStream

WRITE_BYTES: Final = 1 << 16
"""Most bytes written at once; the write timeout applies to each such piece."""

MAX_REQUESTS: Final = 1000
"""Requests after which a connection is closed."""

MAX_UNREAD_PIECES: Final = 16
"""Most pieces read of a body that the application has not asked for."""

MAX_UNREAD_CHUNKS: Final = 1000
"""Most chunks skipped of a body that the application has not asked for."""

LEFT_AFTER_S: Final = 0.3
"""Time after the end of a caller's side from which its request is not sent any more."""

LINGER_S: Final = 2.0
"""Longest time for which a connection is kept for what its caller has not read."""

N_CHUNKS_A_STEP: Final = 32
"""Chunks of a body after which other tasks run; a chunk can be as short as a byte."""

CONNECTION: Final = "corianderlb.connection"
"""Key of the connection in the scope of its requests."""

MORE_FOLLOWS: Final = "corianderlb.more_follows"
"""Key of a message that begins an answer: whether to write it with the next message,
which follows at once."""

ENDS_BY_CLOSE: Final = "corianderlb.ends_by_close"
"""Key of a message that begins an answer: whether nothing but the end of the connection
may delimit its body."""

Application: TypeAlias = Callable[[dict[str, Any], Any, Any], Awaitable[None]]

_CHUNKED: Final = b"\r\ntransfer-encoding: chunked\r\n"
"""Header of an answer whose body is sent in chunks."""

_SIZED: Final = b"\r\ncontent-length:"
"""Begin of the header of an answer whose length is known."""

_NO_ANSWER: Final = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
"""Answer in place of one that ended before its head was written."""

_DISCONNECT: Final = {"type": "http.disconnect"}
_UNREAD_STATES: Final = (h11.SEND_BODY, h11.ERROR)
"""States of the remote side in which a body, or what is no HTTP, may follow."""

_ANSWERABLE: Final = (h11.IDLE, h11.SEND_RESPONSE)

log = logging.getLogger(__name__)


class UnexpectedMessageError(Exception):
    """Raised for a message that an application may not send now."""


@dataclass
class ConnectionSettings:
    """Settings of the connections of one server."""

    max_head_bytes: int
    """Longest request head; a longer one is answered with 431."""
    keep_alive_s: float
    """Longest idle time of a connection; applies from its next request on."""
    write_timeout_s: float
    """Longest time that a caller may not read a piece of what is written to it."""
    sends_date: bool
    """Whether answers have a ``date`` header."""
    is_stopping: bool = False
    """Whether connections close instead of waiting for another request."""


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
        return event


class HttpConnection:
    """Serves the requests of one connection until either side closes it.

    ``caller`` is the remote address of ``sock``, which was accepted.
    """

    def __init__(
        self, sock: socket.socket, caller: tuple[Any, ...], cfg: ConnectionSettings
    ) -> None:
        self._stream = SocketStream(sock)
        self._caller = caller
        self._cfg = cfg
        self.on_progress: Callable[[], None] = lambda: None
        """Called when the remote side has taken a piece of what is written to it."""
        self.has_timed_out = False
        """Whether it was closed since the remote side did not read."""
        self.is_idle = True
        """Whether no request is being served."""
        self._state = Http1State(
            h11.SERVER, max_incomplete_event_size=cfg.max_head_bytes
        )
        self._n_requests = 0
        # Of the request that is being served.
        self._method = b""
        self._n_body_bytes: int | None = 0
        """Length of its body; None if that is not known before its end."""
        self._status: int | None = None
        self._is_chunked = False
        """Whether the body of the answer is sent in chunks."""
        self._ends_by_close = False
        """Whether nothing but the end of the connection delimits the answer."""
        self._is_complete = False
        """Whether the whole answer was sent."""
        self._is_read = False
        """Whether the whole request was read."""
        self._is_gone = False
        """Whether the remote side has left or broken the protocol."""
        self._failure: Exception | None = None
        """Error of the library while the request was read."""
        self._n_events = 0
        """Events of the protocol that were taken while requests were read."""
        self._held = b""
        """Head that waits for the first part of its answer."""

    async def run(self, app: Application) -> None:
        """Serve requests; any exception may be raised for what the caller sends."""
        try:
            while not self._cfg.is_stopping or self._stream.has_arrived:
                request = await self._next_request()
                if request is None:
                    break
                self.is_idle = False
                await self._serve(app, request)
                if not self._may_go_on():
                    break
                self.is_idle = True
            await self._linger()
        finally:
            self.close()

    async def _linger(self) -> None:
        """Wait until a close loses nothing of the last answer.

        Closed with unread bytes, a connection is reset, and the kernel drops what it
        has not delivered. The rest of a body is read, as its caller may read no answer
        before it has sent all; a request that follows is not.
        """
        if self._stream.is_closed or self._ends_by_close:
            return
        is_body_due = self._state.their_state in _UNREAD_STATES
        if not is_body_due and not self._stream.has_arrived:
            return
        self._stream.end_writes()
        with trio.move_on_after(LINGER_S):
            while is_body_due and await self._receive():
                pass
            await self._stream.wait_until_delivered()

    def close_if_idle(self) -> None:
        """Close the socket unless a request is served or has begun to arrive."""
        if self.is_idle and not self._stream.has_arrived:
            self.close()

    def close(self) -> None:
        """Close the socket, which ends a write that waits for the caller to read."""
        self._stream.close()

    # The request.

    async def _next_request(self) -> h11.Request | None:
        """Return the next request; None if none comes any more, or none in time."""
        if not self._n_requests:
            self._feed_arrived()
        event = await self._next_head()
        if event is not h11.NEED_DATA:
            return event
        with trio.move_on_after(self._cfg.keep_alive_s):
            while event is h11.NEED_DATA:
                data = await self._receive()
                if data is None:
                    return None
                self._feed(data)
                event = await self._next_head()
                if event is h11.NEED_DATA and self._cfg.is_stopping:
                    return None
            return event
        return None

    async def _next_head(self) -> Any:
        """Return a request, that more data is needed, or None for any other event."""
        try:
            event = self._state.next_event()
        except h11.RemoteProtocolError as exc:
            await self._fail(exc)
            return None
        is_known = event is h11.NEED_DATA or isinstance(event, h11.Request)
        return event if is_known else None

    def _feed_arrived(self) -> None:
        """Pass on what has arrived, which is mostly the first request."""
        with suppress(OSError, ValueError):
            self._feed(self._stream.receive_at_once())

    async def _serve(self, app: Application, request: h11.Request) -> None:
        """Serve one request; its application may close the connection."""
        self._n_requests += 1
        self._method, self._status, self._held = request.method, None, b""
        self._is_complete = self._is_read = self._is_gone = False
        self._n_body_bytes, self._is_chunked = _n_body_bytes(request), False
        try:
            await app(self._scope(request), self._receive_message, self._send_message)
        except Exception:
            log.exception("Error in the application")
        if self._failure is not None:
            raise self._failure
        if self._status is None and not self._is_gone:
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            await self._respond(500, headers)
            await self._write(self._encode(h11.EndOfMessage()))
        elif self._held:
            self._delimit_by_close(False)
            await self._write(_NO_ANSWER)

    def _scope(self, request: h11.Request) -> dict[str, Any]:
        path, _, query = request.target.partition(b"?")
        return {
            "type": "http",
            "http_version": request.http_version.decode(),
            "asgi": {"spec_version": "2.1", "version": "3.0"},
            "method": request.method.decode("ascii").upper(),
            "scheme": "http",
            "path": unquote(path.decode("ascii")),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": [item for item in request.headers if item[0] != b"upgrade"],
            "client": self._caller[:2],
            "server": self._stream.local_address,
            "state": {},
            "extensions": {},
            CONNECTION: self,
        }

    async def _receive_message(self) -> dict[str, Any]:
        """Return the next part of the request, or that the caller has left.

        An error of the library is a failure of the connection, not of the application,
        for which its caller has left.
        """
        try:
            return await self._next_message()
        except Exception as exc:
            self._failure, self._is_gone = exc, True
            return _DISCONNECT

    async def _next_message(self) -> dict[str, Any]:
        while not (self._is_read or self._is_gone or self._is_complete):
            self._n_events += 1
            if self._n_events % N_CHUNKS_A_STEP == 0:
                await trio.lowlevel.checkpoint()
            if self._state.they_are_waiting_for_100_continue:
                await self._write(self._encode(self._informational()))
            try:
                event = self._state.next_event()
            except h11.RemoteProtocolError as exc:
                await self._fail(exc)
                break
            if isinstance(event, h11.Data):
                body = bytes(event.data)
                return {"type": "http.request", "body": body, "more_body": True}
            if isinstance(event, h11.EndOfMessage):
                self._is_read = True
                return {"type": "http.request", "body": b"", "more_body": False}
            if event is not h11.NEED_DATA:
                self._is_gone = True
                break
            await self._read_more()
        while not (self._is_gone or self._is_complete):
            if self._state.trailing_data[0]:
                # The next request has begun to arrive, and is read after this one.
                await trio.sleep_forever()
            await self._read_more()
        return _DISCONNECT

    async def _read_more(self) -> None:
        data = await self._receive()
        if data is None:
            self._is_gone = True
        else:
            self._feed(data)
            self._is_gone = not data

    def _feed(self, data: bytes) -> None:
        """Pass bytes to the protocol; empty ones are the end of the stream."""
        self._state.receive_data(data)

    @property
    def has_whole_request(self) -> bool:
        """Whether all of the request has arrived, so that reading it takes no wait."""
        n_unread = self._n_body_bytes
        return n_unread is not None and len(self._state.trailing_data[0]) >= n_unread

    def look_for_end(self) -> bool:
        """Return whether the caller left a while ago, as far as the kernel knows.

        One that has only ended its own side can't be told from one that has left, and
        is answered if this process looks in time.
        """
        stream = self._stream
        if stream.has_ended and stream.silent_s >= LEFT_AFTER_S:
            self._is_gone = True
        return self._is_gone

    async def _receive(self) -> bytes | None:
        """Return bytes, empty at the end of the stream; None if it is broken."""
        try:
            return await self._stream.receive_some()
        except (ValueError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The socket may be closed by another task.
            return None

    def _may_go_on(self) -> bool:
        """Return whether another request may follow, and prepare for it."""
        if self._is_gone or self._stream.is_closed or not self._is_complete:
            return False
        try:
            self._skip_unread()
            if (self._state.our_state, self._state.their_state) != (h11.DONE, h11.DONE):
                return False
            self._state.start_next_cycle()
        except h11.ProtocolError:
            return False
        return True

    def _skip_unread(self) -> None:
        """Drop what has arrived of a body that the application did not ask for.

        Closed with unread bytes, a connection is reset, and the caller may lose its
        answer.
        """
        n_left = MAX_UNREAD_CHUNKS
        for _ in range(MAX_UNREAD_PIECES):
            event = h11.NEED_DATA
            while self._state.their_state is h11.SEND_BODY and n_left:
                event = self._state.next_event()
                if event is h11.NEED_DATA:
                    break
                n_left -= 1
            if event is not h11.NEED_DATA or self._state.their_state is h11.DONE:
                return
            try:
                self._feed(self._stream.receive_at_once())
            except OSError:
                return

    # The answer.

    async def _send_message(self, message: dict[str, Any]) -> None:
        """Write a part of the answer; dropped if the caller has left."""
        kind = message["type"]
        if kind == "http.response.start" and self._status is None:
            self._status = int(message["status"])
            headers = [
                (bytes(name).strip(), bytes(value).strip())
                for name, value in message.get("headers", ())
            ]
            if message.get(ENDS_BY_CLOSE):
                # The protocol then delimits the body as for a caller of HTTP/1.0.
                self._state.their_http_version = b"1.0"
            await self._respond(self._status, headers, bool(message.get(MORE_FOLLOWS)))
        elif (
            kind == "http.response.body"
            and self._status is not None
            and not self._is_complete
        ):
            parts = [self._take_held(), self._encode_part(message.get("body", b""))]
            if not message.get("more_body", False):
                parts.append(self._encode(h11.EndOfMessage()))
            if len(parts[1]) <= WRITE_BYTES:
                parts = [b"".join(parts)]
            for part in parts:
                # A large one is not copied, since it is held until its caller has it.
                await self._write(part)
            self._is_complete = not message.get("more_body", False)
            if self._is_complete and self._failure is None:
                self._delimit_by_close(False)
        else:
            raise UnexpectedMessageError(f"{kind} after status {self._status}")

    async def send_part(self, data: bytes) -> None:
        """Write a part of the body that others follow; dropped as by a message."""
        if self._status is None or self._is_complete:
            raise UnexpectedMessageError(f"a part of the body, status {self._status}")
        data = self._take_held() + self._encode_part(data)
        if data:
            await self._write(data)

    def _encode_part(self, body: bytes) -> bytes:
        if not body or self._has_no_body:
            return b""
        if self._is_chunked:
            # What the library would write, at a fraction of the cost.
            return b"%x\r\n%b\r\n" % (len(body), body)
        return self._encode(h11.Data(data=bytes(body)))

    @property
    def _has_no_body(self) -> bool:
        return self._method == b"HEAD" or self._status in BODILESS_STATUSES

    async def _respond(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        more_follows: bool = False,
    ) -> None:
        headers = [*headers, *self._common_headers()]
        if self._n_requests > MAX_REQUESTS:
            headers.append((b"connection", b"close"))
        data = self._encode(h11.Response(status_code=status, headers=headers))
        head = data.lower()
        self._is_chunked = _CHUNKED in head
        is_delimited = self._is_chunked or _SIZED in head or self._has_no_body
        self._delimit_by_close(not is_delimited)
        if more_follows:
            self._held = data
        else:
            await self._write(data)

    def _delimit_by_close(self, ends_by_close: bool) -> None:
        """Note that the end of the connection delimits the answer, or no longer.

        Until such an answer is complete, any end of the connection is a reset, that by
        the end of the process too. An ordinary one would be the end of the answer.
        """
        if ends_by_close != self._ends_by_close and not self._stream.is_closed:
            self._ends_by_close = ends_by_close
            self._stream.set_reset_on_close(ends_by_close)

    async def _fail(self, exc: h11.RemoteProtocolError) -> None:
        """Answer what is not HTTP, unless an answer has begun, and close."""
        self._is_gone = True
        if self._state.our_state in _ANSWERABLE:
            headers = [(b"content-length", b"0"), (b"connection", b"close")]
            await self._respond(exc.error_status_hint, headers)
            self._status = exc.error_status_hint
            await self._write(self._encode(h11.EndOfMessage()))
            self._stream.end_writes()
        else:
            self.close()

    def _common_headers(self) -> list[tuple[bytes, bytes]]:
        if not self._cfg.sends_date:
            return []
        return [(b"date", formatdate(usegmt=True).encode())]

    def _informational(self) -> h11.InformationalResponse:
        return h11.InformationalResponse(
            status_code=100, headers=self._common_headers()
        )

    def _encode(self, event: Any) -> bytes:
        """Return the bytes of an event; none once the caller broke the protocol."""
        try:
            return self._state.send(event) or b""
        except h11.LocalProtocolError:
            if self._state.their_state is not h11.ERROR:
                raise
            return b""

    def _take_held(self) -> bytes:
        held, self._held = self._held, b""
        return held

    async def _write(self, data: bytes) -> None:
        """Write data whole, or close the connection.

        The protocol has counted the data as sent, so a cancellation does not end the
        write; ``close`` and the timeout do. The timeout is for each piece: whoever
        reads slowly still reads.
        """
        if self._stream.is_closed or self._failure is not None or not data:
            return
        try:
            if len(data) <= WRITE_BYTES:
                rest = self._stream.send_at_once(data)
                if rest:
                    await self._write_piece(rest)
            else:
                pieces = memoryview(data)
                for start in range(0, len(data), WRITE_BYTES):
                    await self._write_piece(pieces[start : start + WRITE_BYTES])
                    self.on_progress()
        except trio.TooSlowError:
            self.has_timed_out = True
            self._leave()
        except (
            OSError,
            ValueError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            self._leave()

    async def _write_piece(self, data: memoryview) -> None:
        deadline = trio.current_time() + self._cfg.write_timeout_s
        with trio.CancelScope(shield=True, deadline=deadline) as scope:
            while data:
                await self._stream.wait_send_all_might_not_block()
                data = self._stream.send_at_once(data)
        if scope.cancelled_caught:
            raise trio.TooSlowError

    def _leave(self) -> None:
        self._is_gone = True
        self.close()


def _n_body_bytes(request: h11.Request) -> int | None:
    """Return the length of a body; None if it is not known before its end."""
    n_bytes = 0
    for name, value in request.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            # The library accepts digits alone.
            n_bytes = int(value)
    return n_bytes
