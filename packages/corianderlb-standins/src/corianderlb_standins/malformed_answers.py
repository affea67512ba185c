"""Builders of answers that are none by RFC 9112, though a lenient parser reads them.

For example ``dict(malformed_answers(b"body"))["status, 000, length"]`` is an answer
with that status, whole but for it.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .connection_texts import framed_answers

STATUS_LINE = b"HTTP/1.1 200 OK"

NO_NAME_BYTES = (*range(33), 127, *range(128, 256), *b'"(),/;<=>?@[]{}\\')
"""Bytes that the name of a field never holds."""

FEW_NO_NAME_BYTES = (0, 1, 9, 10, 13, 32, 127, 233)
"""One of each kind of these bytes."""


def bad_field_lines(codes: Iterable[int] = FEW_NO_NAME_BYTES) -> dict[str, bytes]:
    """Return lines by name that are no field of a head, each without its line end.

    The bytes of ``codes`` stand in front of, within and after the name of one.
    """
    lines = {
        "line end behind": b"X-Bad: v\n",
        "line end between two fields": b"X-Bad: v\nX-Good: v",
        "continued by a blank line": b"X-Bad: v\r\n ",
        "no name": b": v",
        "no colon": b"X-Bad",
        "carriage return in the value": b"X-Bad: v\rw",
        "NUL in the value": b"X-Bad: v\0w",
    }
    for code in codes:
        lines[f"byte {code:#04x} in front"] = b"%cX-Bad: v" % code
        lines[f"byte {code:#04x} within"] = b"X%cBad: v" % code
        lines[f"byte {code:#04x} before the colon"] = b"X-Bad%c: v" % code
    return lines


def bad_status_lines() -> dict[str, bytes]:
    """Return lines by name that are no status line of a response, without line end."""
    statuses = ["000", "001", "099", "101", "600", "999"]
    statuses += ["2", "20", "0200", "2000", "abc", "2x0", "+20", "-20", "2 0", "\u0662"]
    return {
        **{status: f"HTTP/1.1 {status} OK".encode() for status in statuses},
        "no status": b"HTTP/1.1 OK",
        "blank in front": b" HTTP/1.1 200 OK",
        "two blanks": b"HTTP/1.1  200 OK",
        "tab": b"HTTP/1.1\t200 OK",
        "lower case": b"http/1.1 200 OK",
        "another protocol": b"ICY 200 OK",
        "HTTP/0.9": b"HTTP/0.9 200 OK",
        "HTTP/2.0": b"HTTP/2.0 200 OK",
        "version of one digit": b"HTTP/1 200 OK",
        "control byte in the reason": b"HTTP/1.1 200 O\x01K",
        "DEL in the reason": b"HTTP/1.1 200 O\x7fK",
        "line end in the reason": b"HTTP/1.1 200 O\nK",
    }


def bad_framings(body: bytes, *headers: bytes) -> dict[str, bytes]:
    """Return answers by name that don't delimit their body as they should."""
    length = b"content-length: %d" % len(body)
    coding = b"transfer-encoding: "
    chunk, end = b"%x\r\n%b\r\n" % (len(body), body), b"0\r\n\r\n"

    def answer(lines: tuple[bytes, ...], data: bytes) -> bytes:
        return b"\r\n".join([STATUS_LINE, *headers, *lines, b"", data])

    chunked = (coding + b"chunked",)
    whole = answer(chunked, chunk + end)
    trailers = {
        f"trailers, {name}": answer(chunked, chunk + b"0\r\n" + line + b"\r\n\r\n")
        for name, line in bad_field_lines().items()
    }
    return {
        "length and chunks": answer((length, *chunked), chunk + end),
        "chunks in HTTP/1.0": whole.replace(b"HTTP/1.1", b"HTTP/1.0", 1),
        "two lengths": answer((length, b"content-length: %d" % (len(body) - 1)), body),
        "length with a sign": answer((b"content-length: +%d" % len(body),), body),
        "negative length": answer((b"content-length: -1",), body),
        "empty length": answer((b"content-length:",), body),
        "length that is no number": answer((b"content-length: 0x1",), body),
        "unknown coding": answer((coding + b"gzip",), chunk + end),
        "coding after chunks": answer((coding + b"chunked, gzip",), chunk + end),
        "chunks twice": answer((coding + b"chunked, chunked",), chunk + end),
        "identity": answer((coding + b"identity",), chunk + end),
        "chunk line with a bare line feed": answer(
            chunked, chunk.replace(b"\r\n", b"\n", 1) + end
        ),
        "negative chunk": answer(chunked, b"-1\r\n"),
        "no last chunk": answer(chunked, chunk),
        "last chunk without its end": answer(chunked, chunk + b"0\r\n"),
        **trailers,
    }


def malformed_answers(body: bytes, *headers: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield answers of all these kinds, each with its name.

    A bad line of a head stands before, between or after the good ones.
    """
    for name, line in bad_field_lines().items():
        for framing, answer in framed_answers(body, line, *headers).items():
            yield f"first, {name}, {framing}", answer
        for framing, answer in framed_answers(body, *headers, line).items():
            yield f"between, {name}, {framing}", answer
        for framing, answer in framed_answers(body, *headers).items():
            head, end, rest = answer.partition(b"\r\n\r\n")
            yield f"last, {name}, {framing}", head + b"\r\n" + line + end + rest
    for name, line in bad_status_lines().items():
        for framing, answer in framed_answers(body, *headers).items():
            yield f"status, {name}, {framing}", answer.replace(STATUS_LINE, line, 1)
    for name, answer in bad_framings(body, *headers).items():
        yield f"framing, {name}", answer
