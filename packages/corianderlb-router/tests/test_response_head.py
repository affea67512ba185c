"""Tests of the check of response heads."""

from __future__ import annotations

import unittest

from corianderlb_router._response_head import MAX_INFORMATIONAL, HeadCheck, HeadError
from corianderlb_standins.malformed_answers import (
    NO_NAME_BYTES,
    STATUS_LINE,
    bad_field_lines,
    bad_status_lines,
)
from cut_answers import INFORMATIONAL

GOOD_LINES = {
    "empty value": b"X-Good:",
    "no blank after the colon": b"X-Good:v",
    "blanks around the value": b"X-Good: \t v \t",
    "control byte in the value": b"X-Good: a\x01\x0b\x7fb",
    "byte above 127 in the value": b"X-Good: \xe9",
    "all bytes of a name": b"!#$%&'*+-.^_`|~09azAZ: v",
}
"""Lines by name that are a field."""

GOOD_STATUS_LINES = (
    b"HTTP/1.0 200 OK",
    b"HTTP/1.2 599 Odd",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 404 n\xe9 \tpas",
)


def a_head(*lines: bytes, end: bytes = b"\r\n") -> bytes:
    """Build a head with these lines among others."""
    return end.join([STATUS_LINE, b"x-seal: s", *lines, b"x-last: 1", b"", b""])


def is_accepted(*parts: bytes) -> bool:
    """Return whether a response that arrives in these parts passes the check."""
    check = HeadCheck()
    try:
        for part in parts:
            check.add(part)
    except HeadError:
        return False
    return True


class HeadCheckTest(unittest.TestCase):
    def test_line_that_is_no_field(self) -> None:
        for name, line in bad_field_lines(NO_NAME_BYTES).items():
            for before in (b"", INFORMATIONAL):
                with self.subTest(name, before=before):
                    self.assertFalse(is_accepted(before + a_head(line) + b"body"))
            with self.subTest(name, before="as an informational head"):
                hints = INFORMATIONAL.replace(b"link: </x>", line)
                self.assertFalse(is_accepted(hints + a_head()))

    def test_line_that_is_a_field(self) -> None:
        for name, line in GOOD_LINES.items():
            for end in (b"\r\n", b"\n"):
                with self.subTest(name, end=end):
                    self.assertTrue(is_accepted(a_head(line, end=end)))

    def test_line_that_is_no_status_line(self) -> None:
        """The parser refuses 101, which is a status but answers no request here."""
        for name, line in bad_status_lines().items():
            for before in (b"", INFORMATIONAL):
                with self.subTest(name, before=before):
                    head = a_head().replace(STATUS_LINE, line)
                    self.assertEqual(is_accepted(before + head), name == "101")

    def test_line_that_is_a_status_line(self) -> None:
        for line in GOOD_STATUS_LINES:
            with self.subTest(line):
                self.assertTrue(is_accepted(a_head().replace(STATUS_LINE, line)))

    def test_framing_that_can_be_read_in_two_ways(self) -> None:
        length, coding = b"Content-Length: 4", b"Transfer-Encoding: chunked"
        old = STATUS_LINE.replace(b"1.1", b"1.0")
        for lines, accepted in (
            ((length, coding), False),
            ((coding, length.lower()), False),
            ((coding,), True),
            ((length,), True),
        ):
            with self.subTest(lines):
                self.assertEqual(is_accepted(a_head(*lines)), accepted)
        for line, accepted in ((coding, False), (length, True)):
            head = a_head(line).replace(STATUS_LINE, old)
            with self.subTest("HTTP/1.0", line=line):
                self.assertEqual(is_accepted(head), accepted)

    def test_head_that_arrives_in_parts(self) -> None:
        good, bad = INFORMATIONAL + a_head(), INFORMATIONAL + a_head(b"X-Bad\n: v")
        for place in range(len(good) + 1):
            self.assertTrue(is_accepted(good[:place], good[place:]), place)
        for place in range(len(bad) + 1):
            self.assertFalse(is_accepted(bad[:place], bad[place:]), place)
        self.assertFalse(is_accepted(*(bytes([byte]) for byte in bad)))

    def test_body_is_not_looked_at(self) -> None:
        self.assertTrue(is_accepted(a_head() + b"X Bad: v\r\n\r\n", b"\n\n"))

    def test_bare_line_feeds_alone_end_lines(self) -> None:
        head = a_head(b"x: 1", end=b"\n")
        self.assertTrue(is_accepted(head))
        for place, byte in enumerate(head):
            if byte == ord("\n"):
                mixed = head[:place] + b"\r" + head[place:]
                with self.subTest(place=place):
                    self.assertFalse(is_accepted(mixed))

    def test_informational_heads_without_end(self) -> None:
        """Guards against heads whose check takes longer than callers should wait."""
        self.assertTrue(is_accepted(INFORMATIONAL * MAX_INFORMATIONAL + a_head()))
        self.assertFalse(is_accepted(INFORMATIONAL * (MAX_INFORMATIONAL + 1)))
