"""Builders of answers that end early, and what their caller may be given."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import trio

from forward_builders import Answer, an_event, chunk

BODY = an_event(1) + an_event(2)
"""Body of all answers: two events, for calls just bytes."""

HELD_OPEN_S = 0.3
"""Time for which a connection stays open after the last byte of a late end."""


class Ending(Enum):
    """How a connection ends after the last byte that is sent."""

    CLOSE = "close"
    LATE_CLOSE = "late close"
    RESET = "reset"


class Passed(Enum):
    """What a caller may be given."""

    FAILURE = "failure"
    """An error, or an answer that visibly ends early."""
    WHOLE = "whole"
    UNKNOWN = "unknown"
    """What came, without a length and without a final chunk of the router's own."""


@dataclass(frozen=True)
class AnswerShape:
    """One way to delimit the body of an answer."""

    name: str
    head: bytes
    body: bytes
    """The body as it is sent."""
    is_delimited: bool = True
    """Whether the head says how the body ends."""

    @property
    def data(self) -> bytes:
        """All bytes of the answer."""
        return self.head + self.body

    def received(self, n_sent: int) -> bytes:
        """Return what arrives of an undelimited body after ``n_sent`` bytes."""
        return self.body[: max(0, n_sent - len(self.head))]

    def passed(self, n_sent: int, ending: Ending, is_stream: bool) -> Passed:
        """Return what the caller may be given of the first ``n_sent`` bytes."""
        if self.is_delimited:
            return Passed.WHOLE if n_sent == len(self.data) else Passed.FAILURE
        received = self.received(n_sent)
        if not received or ending is Ending.RESET:
            return Passed.FAILURE
        if is_stream and not received.endswith(b"\n\n"):
            return Passed.FAILURE
        return Passed.UNKNOWN


def _head(*lines: bytes, version: bytes = b"1.1", end: bytes = b"\r\n") -> bytes:
    return end.join([b"HTTP/%b 200 OK" % version, *lines, b"", b""])


_SEAL = b"x-seal: s"
_LENGTH = b"content-length: %d" % len(BODY)
_CHUNKED = b"transfer-encoding: chunked"
_CHUNKS = b"".join(chunk(an_event(number)) for number in (1, 2))

SHAPES = (
    AnswerShape("length last", _head(_SEAL, _LENGTH), BODY),
    AnswerShape("length first", _head(_LENGTH, _SEAL), BODY),
    AnswerShape("bare line feeds", _head(_SEAL, _LENGTH, end=b"\n"), BODY),
    AnswerShape("chunks", _head(_SEAL, _CHUNKED), _CHUNKS + b"0\r\n\r\n"),
    AnswerShape("trailers", _head(_SEAL, _CHUNKED), _CHUNKS + b"0\r\nx-sum: 1\r\n\r\n"),
    AnswerShape("undelimited", _head(_SEAL, b"connection: close"), BODY, False),
    AnswerShape("HTTP/1.0", _head(_SEAL, version=b"1.0"), BODY, False),
)

INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"
"""Head that may precede that of the answer."""


@dataclass(frozen=True)
class CutAnswer:
    """The first bytes of an answer and the end of their connection."""

    shape: AnswerShape
    n_sent: int
    ending: Ending
    is_after_informational: bool = False

    def __str__(self) -> str:
        """Describe the case for the message of a failed test."""
        before = "103, " if self.is_after_informational else ""
        return f"{before}{self.shape.name}, {self.n_sent} bytes, {self.ending.value}"

    @property
    def answer(self) -> Answer:
        """Function that sends it."""
        before = INFORMATIONAL if self.is_after_informational else b""
        data = before + self.shape.data[: self.n_sent]
        held_s = HELD_OPEN_S if self.ending is Ending.LATE_CLOSE else 0.0

        async def answer(stream: trio.abc.Stream) -> None:
            await stream.send_all(data)
            await trio.sleep(held_s)
            await stream.aclose()

        return answer


def cuts_everywhere() -> Iterator[CutAnswer]:
    """Yield each shape cut after each of its bytes, closed and reset."""
    for shape in SHAPES:
        for n_sent in range(len(shape.data) + 1):
            for ending in (Ending.CLOSE, Ending.RESET):
                yield CutAnswer(shape, n_sent, ending)


def cuts_at_borders(is_after_informational: bool = False) -> Iterator[CutAnswer]:
    """Yield each shape cut around the end of its head, an event and its end."""
    for shape in SHAPES:
        n_head, n_all = len(shape.head), len(shape.data)
        n_event = shape.data.index(b"\n\n", n_head) + 2
        places = {0, 9, n_head - 1, n_head, n_head + 1, n_event, n_all - 1, n_all}
        for n_sent in sorted(places):
            for ending in Ending:
                yield CutAnswer(shape, n_sent, ending, is_after_informational)
