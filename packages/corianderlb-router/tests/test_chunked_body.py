"""Tests of the decoder of chunked bodies, beside the parser that it stands in for."""

from __future__ import annotations

import time
import unittest

import h11

from corianderlb_router._chunked_body import ChunkedBody, ChunkError
from corianderlb_standins.malformed_answers import NO_NAME_BYTES, bad_field_lines

BODY = (
    b"5\r\nhello\r\n00a;note=1\r\n\r\n0\r\n\r\nab\r\r\n1\r\n!\r\n"
    b"0\r\nx-trailer: 1\r\n\r\n"
)
"""Chunks whose bytes look like lines, an extension and a trailer."""

MALFORMED = (
    b"hello\r\n",
    b"5\nhello\r\n0\r\n\r\n",
    b"5\r\nhello5\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhello\r\n-1\r\n",
    b"5\r\nhello\r\n\r\n\r\n",
    b"11112222333344445\r\n",
)


def decoded(*segments: bytes) -> bytes:
    """Return the body that arrives in these segments."""
    body = ChunkedBody(b"")
    content = b""
    for segment in segments:
        body.add(segment)
        content += body.take()
    assert body.is_complete
    return content


def seconds_to_take(start: bytes, n_bytes: int) -> float:
    """Return the processor time for a line that arrives byte by byte after a start."""
    body, began_at = ChunkedBody(start), time.process_time()
    for _ in range(n_bytes):
        body.take()
        body.add(b"1")
    return time.process_time() - began_at


class ChunkedBodyTest(unittest.TestCase):
    def test_body_is_that_of_the_parser_wherever_it_is_split(self) -> None:
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        parser.receive_data(head + BODY)
        content = b""
        while type(event := parser.next_event()) is not h11.EndOfMessage:
            content += getattr(event, "data", b"")
        for place in range(len(BODY) + 1):
            self.assertEqual(decoded(BODY[:place], BODY[place:]), content)
        self.assertEqual(decoded(*(bytes([byte]) for byte in BODY)), content)

    def test_bytes_after_the_end_are_left(self) -> None:
        body = ChunkedBody(BODY + b"HTTP/1.1")
        body.take()
        self.assertEqual((body.is_complete, body.rest), (True, b"HTTP/1.1"))

    def test_malformed_bodies_are_refused(self) -> None:
        """Guards against chunks that are taken for the body."""
        for text in MALFORMED:
            body = ChunkedBody(text)
            with self.assertRaises(ChunkError, msg=text):
                body.take()

    def test_lines_that_arrive_byte_by_byte(self) -> None:
        """Guards against lines and trailers that block the router."""
        for start in (b"5;", b"0\r\n"):
            small = min(seconds_to_take(start, 1 << 11) for _ in range(5))
            large = min(seconds_to_take(start, 1 << 13) for _ in range(3))
            self.assertLess(large, 4 * 2 * small)

    def test_trailer_is_malformed(self) -> None:
        lines = bad_field_lines(NO_NAME_BYTES)
        lines["line end within the value"] = b"x: a\rb\n"
        for name, line in lines.items():
            body = ChunkedBody(b"0\r\n" + line + b"\r\n\r\n")
            with self.subTest(name), self.assertRaises(ChunkError):
                body.take()

    def test_last_line_is_a_bare_line_feed(self) -> None:
        """Guards against an end that leaves bytes of the trailers for the next head."""
        body = ChunkedBody(b"0\r\n\n")
        with self.assertRaises(ChunkError):
            body.take()

    def test_many_trailers_are_refused(self) -> None:
        body = ChunkedBody(b"0\r\n")
        with self.assertRaises(ChunkError):
            for _ in range(20_000):
                body.add(b"x: a\r\n")
                body.take()

    def test_endless_line_is_refused(self) -> None:
        """Guards against memory that an upstream can fill."""
        body = ChunkedBody(b"5\r\nhello\r\n0\r\nx: " + b"a" * 70_000)
        with self.assertRaises(ChunkError):
            body.take()
