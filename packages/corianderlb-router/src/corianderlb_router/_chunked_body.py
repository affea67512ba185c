"""Decoder of chunked bodies (RFC 9112, section 7.1).

The events of a stream mostly arrive one by one, each as a chunk of its own, and the
parser of the head would take several times as long for each.
"""

from __future__ import annotations

import re
from typing import Final

from ._response_head import FIELD_LINE

MAX_LINE_BYTES: Final = 65536
"""Longest line between two chunks, and most bytes of trailers."""

_FIRST: Final = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_NEXT: Final = re.compile(rb"\r\n([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
_BLANK: Final = b"\r\n"
_TRAILER: Final = re.compile(rb"(?:" + FIELD_LINE + rb")?\r\n")


class ChunkError(ValueError):
    """Raised for bytes that are no chunked body."""


class ChunkedBody:
    """Body that arrives in chunks.

    For example::

        body = ChunkedBody(b"5\\r\\nhello\\r\\n")
        body.take()  # b"hello"
        body.add(b"0\\r\\n\\r\\n")
        body.take()  # b""
        body.is_complete  # True
    """

    def __init__(self, received: bytes) -> None:
        self._buffer = received
        self._n_left = 0
        """Bytes of the current chunk that have not been taken."""
        self._line = _FIRST
        """Pattern of the line that comes next outside a chunk."""
        self._n_trailers = 0
        """Bytes of the trailers that were taken."""
        self.is_complete = False
        """Whether the whole body was taken."""

    @property
    def rest(self) -> bytes:
        """Bytes received that have not been taken."""
        return self._buffer

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def take(self) -> bytes:
        """Return the bytes of the body that have arrived; raise ``ChunkError``."""
        parts: list[bytes] = []
        buffer, place = self._buffer, 0
        while not self.is_complete:
            if self._n_left:
                part = buffer[place : place + self._n_left]
                if not part:
                    break
                parts.append(part)
                place += len(part)
                self._n_left -= len(part)
            if self._n_left or buffer.find(b"\n", place) < 0:
                break
            found = self._line.match(buffer, place)
            if found is None:
                break
            place = found.end()
            if self._line is _TRAILER:
                self.is_complete = found[0] == _BLANK
                self._n_trailers += len(found[0])
                continue
            self._n_left = int(found[1], 16)
            self._line = _NEXT if self._n_left else _TRAILER
        self._buffer = buffer[place:]
        if not self._n_left and not self.is_complete:
            self._check_line()
        return b"".join(parts)

    def _check_line(self) -> None:
        """Raise ``ChunkError`` if more bytes can't complete the line in the buffer."""
        if self._n_trailers + len(self._buffer) > MAX_LINE_BYTES:
            raise ChunkError("too many bytes between two chunks")
        n_end = 2 if self._line is _NEXT else 0
        if b"\n" in self._buffer[n_end:]:
            raise ChunkError(
                "the line before a chunk has no size, or a trailer is no field"
            )
