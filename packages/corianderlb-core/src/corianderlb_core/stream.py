"""Check a stream of server-sent events and put it together over several attempts.

An engine can crash, a connection can be cut and an answer can arrive on the wrong
connection. What a caller receives is complete and in order all the same: each event
must carry the next index and the id of the attempt, and only the terminal event ends
a stream. The work per event is a few comparisons of bytes, since one node relays
thousands of events a second; an event is parsed as JSON only when it is not written
in the usual way.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Final

import msgspec
import xxhash

EVENT_END: Final = b"\n\n"
"""What ends an event."""

TERMINAL: Final = b"[DONE]\n\n"
"""The data of the terminal event."""

MAX_EVENT_BYTES: Final = 1 << 20
"""Longest event; more without an end is a fault, so that memory stays bounded."""

_USAGE: Final = b',"usage"'

_CREATED: Final = re.compile(rb'"created":\s*\d+,?')
"""When an engine made an event; it says nothing about the answer."""


class StreamFault(Enum):
    """Name what is wrong with the events of an attempt."""

    OUT_OF_ORDER = "an event was skipped or repeated"
    CROSSED = "an event belongs to another attempt"
    MALFORMED = "an event has neither index nor data"
    DIVERGED = "the attempt repeats other text than was relayed before"
    TRAILING = "something follows the terminal event"


class StreamAssembler:
    """Turn the raw chunks of one request's attempts into one verified stream.

    ``begin_attempt`` starts each attempt; ``feed`` takes chunks as they arrive and
    returns the verified events to relay, with the public id in place of the
    attempt's. An attempt that starts at index 0 while events were relayed before is a
    run elsewhere: its events are compared with what was relayed and dropped up to the
    first that is missing. For example::

        assembler = StreamAssembler("req-1")
        assembler.begin_attempt("req-1.1", 0)
        out = assembler.feed(b'id: 0\\ndata: {"id":"req-1.1"}\\n\\n')

    After the upstream closed, ``finished`` tells whether the terminal event came.
    """

    __slots__ = (
        "_attempt_id",
        "_buffer",
        "_digest",
        "_index",
        "_own",
        "_public",
        "_replay",
        "fault",
        "finished",
        "last_event",
        "n_relayed",
    )

    def __init__(self, public_id: str) -> None:
        self._public = b'{"id":"%s"' % public_id.encode()
        self._digest = xxhash.xxh3_64()
        self._replay: xxhash.xxh3_64 | None = None
        self._buffer = b""
        self._attempt_id = ""
        self._own = b""
        self._index = 0
        self.n_relayed = 0
        """Events handed on so far, which is the index of the next one."""
        self.finished = False
        """True once the whole terminal event came."""
        self.fault: StreamFault | None = None
        """What is wrong with this attempt; nothing of it is handed on after."""
        self.last_event = b""
        """The last event before the terminal one; it holds the usage."""

    def begin_attempt(self, attempt_id: str, first_index: int) -> None:
        """Expect the events of an attempt from ``first_index`` on."""
        self._attempt_id = attempt_id
        self._own = b'{"id":"%s"' % attempt_id.encode()
        self._index = first_index
        self._buffer = b""
        self.fault = None
        self._replay = xxhash.xxh3_64() if first_index < self.n_relayed else None

    def feed(self, chunk: bytes) -> bytes:
        """Return the verified new events in a chunk; look at ``fault`` after it."""
        if self._buffer:
            chunk = self._buffer + chunk
            self._buffer = b""
        if chunk.find(EVENT_END) == len(chunk) - len(EVENT_END) >= 0:
            return self._take(chunk)
        events = chunk.split(EVENT_END)
        self._buffer = events.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.fault = StreamFault.MALFORMED
            return b""
        if self.finished and self._buffer:
            self.fault = StreamFault.TRAILING
        return b"".join([self._take(event + EVENT_END) for event in events])

    def _take(self, event: bytes) -> bytes:
        if self.fault is not None:
            return b""
        if self.finished:
            self.fault = StreamFault.TRAILING
            return b""
        index = self._index
        head = b"id: %d\ndata: " % index
        if not event.startswith(head):
            self.fault = _explain(event)
            return b""
        body = event[len(head) :]
        if body == TERMINAL:
            return self._end(index, event)
        if body.startswith(self._own):
            rest = body[len(self._own) :]
        else:
            rest = self._reencode(body)
            if not rest:
                return b""
        self._index = index + 1
        if index < self.n_relayed:
            self._compare(index, rest)
            return b""
        self._digest.update(_comparable(rest))
        self.n_relayed = index + 1
        self.last_event = event
        return head + self._public + rest

    def _end(self, index: int, event: bytes) -> bytes:
        if index < self.n_relayed:
            self.fault = StreamFault.DIVERGED
            return b""
        self.finished = True
        self.n_relayed = index + 1
        return event

    def _reencode(self, body: bytes) -> bytes:
        """Return an event that is spaced or ordered another way, after its id.

        Engines write tokens one way and the event with the usage another; the few
        that differ are worth being parsed. Empty when the event is not this
        attempt's.
        """
        try:
            plain = msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.fault = StreamFault.MALFORMED
            return b""
        if not isinstance(plain, dict) or plain.pop("id", None) != self._attempt_id:
            self.fault = StreamFault.CROSSED
            return b""
        return b"," + msgspec.json.encode(plain)[1:] + EVENT_END

    def _compare(self, index: int, rest: bytes) -> None:
        """Compare a repeated event with what was relayed before.

        Two engines give the same text for the same prompt and weights. If one does
        not, the caller would get two halves of different answers; the digests differ
        then, and nothing of the second answer is handed on.
        """
        assert self._replay is not None
        self._replay.update(_comparable(rest))
        if index + 1 < self.n_relayed:
            return
        if self._replay.intdigest() != self._digest.intdigest():
            self.fault = StreamFault.DIVERGED


def _comparable(rest: bytes) -> bytes:
    """Return the part of an event that two engines must agree on.

    Usage and the time of making differ between two runs of the same prompt. Were they
    compared, no answer could go on elsewhere after a crash.
    """
    text = rest.partition(_USAGE)[0]
    return _CREATED.sub(b"", text) if b'"created"' in text else text


def _explain(event: bytes) -> StreamFault:
    """Tell an event with another index from bytes that are no event."""
    if event.startswith(b"id: ") and b"\ndata: " in event:
        return StreamFault.OUT_OF_ORDER
    return StreamFault.MALFORMED
