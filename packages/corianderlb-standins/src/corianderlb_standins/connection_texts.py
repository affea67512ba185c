"""Builders of bytes that a connection to a router may bring and no client should send.

For example ``bad_texts()["h2c settings without padding"]`` offers a change to HTTP/2
whose settings cannot be decoded.
"""

from __future__ import annotations

import base64
import gzip
import random
from collections.abc import Iterator

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
