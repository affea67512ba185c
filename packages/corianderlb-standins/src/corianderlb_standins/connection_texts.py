"""Builders of bytes that a connection to a router may bring and no client should send.

For example ``bad_texts()["h2c settings without padding"]`` offers a change to HTTP/2
whose settings cannot be decoded.
"""

from __future__ import annotations

import base64
import gzip
import random
from collections.abc import Iterable, Iterator

HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

SETTINGS_FRAME = bytes.fromhex("000000040000000000")
"""Empty settings of HTTP/2, which follow the preface."""


def h2c_upgrade(settings: bytes) -> bytes:
    """Build a request that offers a change to HTTP/2."""
    return (
        b"GET / HTTP/1.1\r\nhost: r\r\nconnection: Upgrade, HTTP2-Settings\r\n"
        b"upgrade: h2c\r\nhttp2-settings: " + settings + b"\r\n\r\n"
    )


def window_out_of_range() -> bytes:
    """Build well-formed settings of HTTP/2 with an initial window that is too large."""
    return base64.urlsafe_b64encode((4).to_bytes(2, "big") + b"\xff" * 4)


def priority_of_itself() -> bytes:
    """Build an HTTP/2 stream that depends on itself."""
    head = bytes.fromhex("000005020000000001")
    return HTTP2_PREFACE + SETTINGS_FRAME + head + (1).to_bytes(4, "big") + b"\x10"


def websocket_upgrade() -> bytes:
    """Build a request that offers a change to a websocket."""
    return (
        b"GET / HTTP/1.1\r\nhost: r\r\nconnection: Upgrade\r\nupgrade: websocket\r\n"
        b"sec-websocket-version: 13\r\n"
        b"sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
    )


def bad_texts() -> dict[str, bytes]:
    """Return texts by name, each for one write."""
    plain = b"GET /other HTTP/1.1\r\nhost: r\r\n\r\n"
    return {
        "plain request": plain,
        "plain request and bytes": plain + b"bytes",
        "h2c settings without padding": h2c_upgrade(b"AAA"),
        "h2c settings out of range": h2c_upgrade(window_out_of_range()),
        "h2 stream that depends on itself": priority_of_itself(),
        "websocket and no frame": websocket_upgrade() + b"\xff" * 40,
        "no text": bytes(range(256)),
    }


def random_text(rng: random.Random) -> bytes:
    """Build a text from up to three of ``bad_texts``, changed and cut at random."""
    texts = list(bad_texts().values())
    text = bytearray(b"".join(rng.choices(texts, k=rng.randint(1, 3))))
    for _ in range(rng.randint(0, 4)):
        text[rng.randrange(len(text))] = rng.randrange(256)
    return bytes(text[: rng.randint(1, len(text))])


def bad_answers() -> dict[str, bytes]:
    """Return answers by name that no HTTP client can read to their end."""
    head = b"HTTP/1.1 200 OK\r\n"
    encoded = head + b"content-length: 4\r\ncontent-encoding: "
    return {
        "nothing": b"",
        "no text": bytes(range(256)),
        "cut body": head + b"content-length: 5\r\n\r\nab",
        "chunk without a size": head + b"transfer-encoding: chunked\r\n\r\nzz\r\nab",
        "two lengths": head + b"content-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "body that is not gzip": encoded + b"gzip\r\n\r\nabcd",
        "body that is not deflated": encoded + b"deflate\r\n\r\n\xff\xff\xff\xff",
    }


def cookie_answer(cookie: bytes) -> bytes:
    """Build an empty answer that sets a cookie."""
    return (
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nset-cookie: " + cookie + b"\r\n\r\n"
    )


def framed_answers(body: bytes, *headers: bytes) -> dict[str, bytes]:
    """Return whole answers with a body, by how they delimit it."""
    head = b"\r\n".join([b"HTTP/1.1 200 OK", *headers, b""])
    half = len(body) // 2
    chunks = [
        b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:])
    ]
    return {
        "length": head + b"content-length: %d\r\n\r\n" % len(body) + body,
        "chunks": b"".join(
            [head, b"transfer-encoding: chunked\r\n\r\n", *chunks, b"0\r\n\r\n"]
        ),
        "close": head + b"connection: close\r\n\r\n" + body,
    }


def cut_answers(body: bytes, *headers: bytes) -> Iterator[tuple[str, bytes, bool]]:
    """Yield answers that are cut after each of their bytes, closed and reset.

    Each comes with a name and whether its connection is reset.
    """
    for name, answer in framed_answers(body, *headers).items():
        for n_sent in range(len(answer) + 1):
            for resets in (False, True):
                ending = "reset" if resets else "closed"
                yield f"{name}, {n_sent}, {ending}", answer[:n_sent], resets


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
        for place, line in (
            ("in front", b"%cX-Bad: v"),
            ("within", b"X%cBad: v"),
            ("before the colon", b"X-Bad%c: v"),
        ):
            lines[f"byte {code:#04x} {place}"] = line % code
    return lines


def bad_field_answers(body: bytes, *headers: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield answers with a bad line, by name: its place, the line and the framing.

    It stands before, between or after the good fields.
    """
    for name, line in bad_field_lines().items():
        for place, fields in (
            ("first", (line, *headers)),
            ("between", (*headers, line)),
        ):
            for framing, answer in framed_answers(body, *fields).items():
                yield f"{place}, {name}, {framing}", answer
        for framing, answer in framed_answers(body, *headers).items():
            head, end, rest = answer.partition(b"\r\n\r\n")
            yield f"last, {name}, {framing}", head + b"\r\n" + line + end + rest


def bad_status_lines() -> dict[str, bytes]:
    """Return lines by name that are no status line of a response, without line end."""
    statuses = (
        *("000", "001", "099", "600", "999"),
        *("2", "20", "0200", "2000", "abc", "2x0", "+20", "-20", "2 0", "\u0662"),
        "101",
    )
    lines = {status: f"HTTP/1.1 {status} OK".encode() for status in statuses}
    for name, line in {
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
    }.items():
        lines[name] = line
    return lines


def bad_framings(body: bytes, *headers: bytes) -> dict[str, bytes]:
    """Return answers by name that don't delimit their body as they should."""
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    length, chunked = b"content-length: %d" % len(body), b"transfer-encoding: chunked"
    lengths = {
        "length and chunks": (length, chunked),
        "two lengths": (length, b"content-length: %d" % (len(body) - 1)),
        "length with a sign": (b"content-length: +%d" % len(body),),
        "negative length": (b"content-length: -1",),
        "empty length": (b"content-length:",),
        "length that is no number": (b"content-length: 0x1",),
    }
    codings = {
        name: (b"transfer-encoding: %b" % value,)
        for name, value in {
            "unknown coding": b"gzip",
            "coding after chunks": b"chunked, gzip",
            "chunks twice": b"chunked, chunked",
            "identity": b"identity",
        }.items()
    }
    bodies = {
        "chunk line with a bare line feed": chunk.replace(b"\r\n", b"\n", 1),
        "negative chunk": b"-1\r\n",
        "no last chunk": chunk,
        "last chunk without its end": chunk + b"0\r\n",
    }
    for name, trailer in bad_field_lines().items():
        bodies[f"trailers, {name}"] = chunk + b"0\r\n" + trailer + b"\r\n\r\n"
    head = b"\r\n".join([b"HTTP/1.1 200 OK", *headers, b""])
    answers = {
        name: b"\r\n".join([head + lines[0], *lines[1:], b"", body])
        for name, lines in lengths.items()
    }
    for name, lines in codings.items():
        answers[name] = head + lines[0] + b"\r\n\r\n" + chunk + b"0\r\n\r\n"
    for name, data in bodies.items():
        answers[name] = head + chunked + b"\r\n\r\n" + data
    both = answers["length and chunks"]
    answers["length and chunks"] = both[: -len(body)] + chunk + b"0\r\n\r\n"
    answers["chunks in HTTP/1.0"] = answers["no last chunk"].replace(
        b"HTTP/1.1", b"HTTP/1.0", 1
    ) + (b"0\r\n\r\n")
    return answers


def malformed_answers(body: bytes, *headers: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield answers by name that are none, of any kind."""
    yield from bad_field_answers(body, *headers)
    for name, line in bad_status_lines().items():
        for framing, answer in framed_answers(body, *headers).items():
            answer = line + answer.removeprefix(b"HTTP/1.1 200 OK")
            yield f"status, {name}, {framing}", answer
    for name, answer in bad_framings(body, *headers).items():
        yield f"framing, {name}", answer


def endless_answers() -> dict[str, tuple[bytes, bytes]]:
    """Return the start of answers by name, each with bytes that go on without end."""
    piece = b"x" * 50_000
    start = b"HTTP/1.1 200 OK\r\n"
    return {
        "chunks": (
            start + b"transfer-encoding: chunked\r\n\r\n",
            b"%x\r\n%b\r\n" % (len(piece), piece),
        ),
        "a long body": (start + b"content-length: 1000000000000\r\n\r\n", piece),
        "one long chunk": (
            start + b"transfer-encoding: chunked\r\n\r\n10000000000\r\n",
            piece,
        ),
    }


def encoded_answer(body: bytes) -> bytes:
    """Build an answer with a compressed body."""
    body = gzip.compress(body)
    head = b"HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: %d\r\n\r\n"
    return head % len(body) + body
