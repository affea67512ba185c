"""Transport of httpx that checks responses as they arrive.

For calls to the store, which use the library's TLS and pool. Its parser is lenient in
the same way as that of ``connection``; see ``_response_head``. It also reads what
follows the end of a response as the next one.
"""

from __future__ import annotations

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore
import httpx

from ._chunked_body import ChunkedBody, ChunkError
from ._response_head import HeadCheck, HeadError
from .connection import BODILESS_STATUSES


class _ResponseCheck:
    """Checks one response, and tells whether more than it has arrived."""

    def __init__(self) -> None:
        self.has_more = False
        """Whether bytes have arrived after the end of the response."""
        self._head = HeadCheck()
        self._n_left: int | None = None
        """Bytes of the body that have not arrived, if its length is known."""
        self._chunks: ChunkedBody | None = None

    def add(self, data: bytes) -> None:
        """Add received bytes; raise ``HeadError`` or ``ChunkError``."""
        is_first = not self._head.status
        data = self._head.add(data)
        if is_first and self._head.status:
            self._read_framing()
        if self._chunks is not None:
            self._chunks.add(data)
            self._chunks.take()
            self.has_more = self._chunks.is_complete and bool(self._chunks.rest)
        elif self._n_left is not None:
            self.has_more |= len(data) > self._n_left
            self._n_left -= min(len(data), self._n_left)

    def _read_framing(self) -> None:
        fields = self._head.fields
        length = fields.get(b"content-length", b"")
        if self._head.status in BODILESS_STATUSES:
            self._n_left = 0
        elif b"transfer-encoding" in fields:
            self._chunks = ChunkedBody(b"")
        elif length.isdigit():
            self._n_left = int(length)


class _CheckedStream(httpcore.AsyncNetworkStream):
    """Connection whose responses are checked."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._response = _ResponseCheck()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, empty at the end."""
        data = await self._inner.read(max_bytes, timeout)
        try:
            self._response.add(data)
        except (HeadError, ChunkError) as exc:
            raise httpcore.RemoteProtocolError(str(exc)) from exc
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request, whose response is the next to be read."""
        self._response = _ResponseCheck()
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the encrypted connection."""
        inner = await self._inner.start_tls(ssl_context, server_hostname, timeout)
        return _CheckedStream(inner)

    def get_extra_info(self, info: str) -> Any:
        """Return what the library asks of a connection.

        It closes an idle one that is readable, since nothing is due there.
        """
        if info == "is_readable" and self._response.has_more:
            return True
        return self._inner.get_extra_info(info)


class _CheckedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose responses are checked."""

    def __init__(self) -> None:
        self._inner = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        inner = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _CheckedStream(inner)

    async def sleep(self, seconds: float) -> None:
        """Wait, between tries to connect."""
        await self._inner.sleep(seconds)


class CheckedTransport(httpx.AsyncHTTPTransport):
    """Transport that raises ``httpx.RemoteProtocolError`` for a malformed response.

    The options are those of ``httpx.AsyncHTTPTransport``, for example
    ``CheckedTransport(verify=False, trust_env=False)``.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # httpx has no option for the backend of its pool.
        self._pool._network_backend = _CheckedBackend()
