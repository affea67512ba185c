"""Check of the heads of responses as they were received (RFC 9112, sections 2 to 6).

Parsers are lenient: they join a line that begins with a blank to the field before it,
and take a bare LF for the end of a line or of the head. Fields would then be passed on
that the upstream has not sent as such, or come as the body.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import Final

MAX_INFORMATIONAL: Final = 100
"""Most informational heads before that of a response. A read brings thousands of them,
which take longer than other callers should wait."""

FIELD_LINE: Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00\r\n]*"
"""Pattern of a field without its line end. Other control bytes in a value may be kept
(RFC 9110, section 5.5)."""

_STATUS_LINE: Final = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?"
)
"""Pattern of a status line without its line end. A status outside 100 to 599 is invalid
(RFC 9110, section 15)."""

_FIELD_LINE: Final = re.compile(FIELD_LINE)
_END: Final = re.compile(rb"\n\r?\n")
"""What parsers take for the end of a head."""

_MAX_SHOWN: Final = 80
"""Most bytes of a line that a message shows."""


class HeadError(ValueError):
    """Raised for a head that is malformed."""


class HeadCheck:
    """Checks the head of one response, and the informational ones before it.

    For example::

        check = HeadCheck()
        check.add(b"HTTP/1.1 200 OK\\r\\nx-model: m\\r\\n")  # b""
        check.add(b"content-length: 4\\r\\n\\r\\nbo")  # b"bo"
        check.add(b"dy")  # b"dy", which is not looked at

    The parser that gets the same bytes bounds the length of a head.
    """

    def __init__(self) -> None:
        self.status = 0
        """Status of the response; 0 until its head is complete."""
        self.fields: dict[bytes, bytes] = {}
        """Fields of that head by their names in lower case, the last of each name."""
        self._received = bytearray()
        """What has arrived and is no complete head yet."""
        self._n_heads = 0

    def add(self, data: bytes) -> bytes:
        """Return what received bytes hold of the body.

        Raise ``HeadError`` for a malformed head.
        """
        if self.status:
            return data
        received = self._received
        # The end may have begun with the last two bytes before.
        start = max(0, len(received) - 2)
        received += data
        while found := _END.search(received, start):
            status, fields = _read(bytes(received[: found.end()]))
            del received[: found.end()]
            if status >= HTTPStatus.OK:
                self.status, self.fields = status, fields
                body = bytes(received)
                received.clear()
                return body
            self._n_heads += 1
            if self._n_heads > MAX_INFORMATIONAL:
                raise HeadError(f"more than {MAX_INFORMATIONAL} informational heads")
            start = 0
        return b""


def _read(head: bytes) -> tuple[int, dict[bytes, bytes]]:
    """Return the status and the fields of a head; raise ``HeadError``."""
    # One kind of line end: a bare LF among CRLFs is a byte of a name or a value.
    line_end = b"\r\n" if head.endswith(b"\r\n\r\n") else b"\n"
    first, *lines = head[: -2 * len(line_end)].split(line_end)
    found = _STATUS_LINE.fullmatch(first)
    if found is None:
        shown = first[:_MAX_SHOWN]
        raise HeadError(f"{shown!r} is no status line of HTTP/1, status 100 to 599")
    minor_version, status = found.groups()
    fields: dict[bytes, bytes] = {}
    for line in lines:
        if not _FIELD_LINE.fullmatch(line):
            raise HeadError(f"{line[:_MAX_SHOWN]!r} is no field of a head")
        name, _, value = line.partition(b":")
        fields[name.lower()] = value.strip()
    if b"transfer-encoding" in fields:
        # Either may be from a sender that knows nothing of the other (RFC 9112, 6).
        if b"content-length" in fields:
            raise HeadError("a transfer-encoding beside a content-length")
        if minor_version == b"0":
            raise HeadError("a transfer-encoding in HTTP/1.0")
    return int(status), fields
