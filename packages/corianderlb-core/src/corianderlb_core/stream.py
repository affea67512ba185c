"""Verify a stream of server-sent events and assemble it from several attempts.

Engines crash, connections break and answers can arrive on the wrong connection. To
keep the caller's stream complete and in order, each event must carry the next index
and the id of the attempt, and only the terminal event ends a stream. For throughput,
events are checked by comparing bytes; an event is parsed as JSON only when it is not
in the engines' usual format.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import Final

import msgspec
import xxhash

EVENT_END: Final = b"\n\n"
"""Separator after each event."""

TERMINAL: Final = b"[DONE]\n\n"
"""The data of the terminal event."""

MAX_EVENT_BYTES: Final = 1 << 20
"""Longest unfinished event to buffer; exceeding it is a fault. Bounds memory use."""

_USAGE_FIELD: Final = b',"usage"'

_CREATED_FIELD: Final = re.compile(rb'"created":\s*\d+,?')
"""Timestamp of an event, which is not part of the answer."""


class StreamFault(Enum):
    """Reason why the events of an attempt are invalid."""

    OUT_OF_ORDER = "an event was skipped or repeated"
    WRONG_ATTEMPT = "an event belongs to another attempt"
    MALFORMED = "an event has neither index nor data"
    DIVERGED = "the attempt repeats other text than was relayed before"
    TRAILING = "something follows the terminal event"


class StreamAssembler:
    """Assembler of the raw chunks of one request's attempts into a verified stream.

    ``begin_attempt`` starts each attempt; ``feed`` accepts chunks as they arrive and
    returns the verified events to relay, with the attempt's id replaced by the public
    id. An attempt that starts at index 0 after events were relayed is a replay on
    another engine: its events are compared with the relayed ones and dropped up to the
    first new one. For example::

        assembler = StreamAssembler("req-1")
        assembler.begin_attempt("req-1.1", 0)
        out = assembler.feed(b'id: 0\\ndata: {"id":"req-1.1"}\\n\\n')

    Once the upstream has closed, ``finished`` is true if the stream was complete.
    """

    __slots__ = (
        "_attempt_id",
        "_buffer",
        "_digest",
        "_index",
        "_own_prefix",
        "_public_prefix",
        "_replay_digest",
        "fault",
        "finished",
        "last_event",
        "n_relayed",
    )

    def __init__(self, public_id: str) -> None:
        self._public_prefix = b'{"id":"%s"' % public_id.encode()
        self._digest = xxhash.xxh3_64()
        self._replay_digest: xxhash.xxh3_64 | None = None
        self._buffer = bytearray()
        self._attempt_id = ""
        self._own_prefix = b""
        self._index = 0
        self.n_relayed = 0
        """Events relayed so far, which is the index of the next one."""
        self.finished = False
        """Whether the complete terminal event was received."""
        self.fault: StreamFault | None = None
        """Fault of this attempt; no further events of the attempt are relayed."""
        self.last_event = b""
        """The last event before the terminal one; it contains the usage."""

    def begin_attempt(self, attempt_id: str, first_index: int) -> None:
        """Expect the events of an attempt from ``first_index`` on."""
        self._attempt_id = attempt_id
        self._own_prefix = b'{"id":"%s"' % attempt_id.encode()
        self._index = first_index
        self._buffer.clear()
        self.fault = None
        self._replay_digest = xxhash.xxh3_64() if first_index < self.n_relayed else None

    def feed(self, chunk: bytes) -> bytes:
        """Return the verified new events in a chunk; check ``fault`` afterwards."""
        buffer = self._buffer
        if buffer:
            # Each byte is searched once, however the bytes are divided into chunks.
            search_from = max(0, len(buffer) - len(EVENT_END) + 1)
            buffer += chunk
            if buffer.find(EVENT_END, search_from) < 0:
                if len(buffer) > MAX_EVENT_BYTES:
                    self.fault = StreamFault.MALFORMED
                return b""
            chunk = bytes(buffer)
            buffer.clear()
        if chunk.find(EVENT_END) == len(chunk) - len(EVENT_END) >= 0:
            return self._verify(chunk)
        events = chunk.split(EVENT_END)
        self._buffer += events.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.fault = StreamFault.MALFORMED
            return b""
        if self.finished and self._buffer:
            self.fault = StreamFault.TRAILING
        return b"".join([self._verify(event + EVENT_END) for event in events])

    def _verify(self, event: bytes) -> bytes:
        if self.fault is not None:
            return b""
        if self.finished:
            self.fault = StreamFault.TRAILING
            return b""
        index = self._index
        head = b"id: %d\ndata: " % index
        if not event.startswith(head):
            self.fault = _classify_fault(event)
            return b""
        body = event[len(head) :]
        if body == TERMINAL:
            return self._finish(index, event)
        if body.startswith(self._own_prefix):
            rest = body[len(self._own_prefix) :]
        else:
            rest = self._reencode(body)
            if not rest:
                return b""
        self._index = index + 1
        if index < self.n_relayed:
            self._check_replay(index, rest)
            return b""
        self._digest.update(_comparable_part(rest))
        self.n_relayed = index + 1
        self.last_event = event
        return head + self._public_prefix + rest

    def _finish(self, index: int, event: bytes) -> bytes:
        if index < self.n_relayed:
            self.fault = StreamFault.DIVERGED
            return b""
        self.finished = True
        self.n_relayed = index + 1
        return event

    def _reencode(self, body: bytes) -> bytes:
        """Return the part after the id of an event in another JSON layout.

        Engines format the event with the usage differently from token events, so
        spacing and field order vary. Sets ``fault`` and returns empty bytes when the
        event is invalid or belongs to another attempt.
        """
        try:
            plain = msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.fault = StreamFault.MALFORMED
            return b""
        if not isinstance(plain, dict) or plain.pop("id", None) != self._attempt_id:
            self.fault = StreamFault.WRONG_ATTEMPT
            return b""
        return b"," + msgspec.json.encode(plain)[1:] + EVENT_END

    def _check_replay(self, index: int, rest: bytes) -> None:
        """Compare replayed events with those already relayed.

        Engines are expected to generate the same text for the same prompt and weights.
        When the digests differ, the attempt is rejected: the caller would otherwise
        receive parts of two different answers.
        """
        assert self._replay_digest is not None
        self._replay_digest.update(_comparable_part(rest))
        if index + 1 < self.n_relayed:
            return
        if self._replay_digest.intdigest() != self._digest.intdigest():
            self.fault = StreamFault.DIVERGED


def _comparable_part(rest: bytes) -> bytes:
    """Return the part of an event that must be equal on two engines.

    Usage and timestamps differ between runs of the same prompt. Comparing them would
    make every continuation on another engine fail.
    """
    text = rest.partition(_USAGE_FIELD)[0]
    return _CREATED_FIELD.sub(b"", text) if b'"created"' in text else text


def _classify_fault(event: bytes) -> StreamFault:
    """Distinguish an event with the wrong index from malformed bytes."""
    if event.startswith(b"id: ") and b"\ndata: " in event:
        return StreamFault.OUT_OF_ORDER
    return StreamFault.MALFORMED
