"""Split a stream of server-sent events into events and parse their ids."""

from __future__ import annotations

import re
from typing import Final

from corianderlb_core.data_class import dataclass

MAX_EVENT_BYTES: Final = 1 << 20
"""Longest event; bounds memory use for a stream without event boundaries."""

MAX_ID_DIGITS: Final = 18
"""Longest id of an event, so that it fits in 64 bits."""

_EVENT_END: Final = re.compile(rb"\n\r?\n")
_EVENT_ID: Final = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?=\n|$)")

_N_PARTIAL_END: Final = 2
"""Most bytes of an unfinished event that can belong to its end."""


class EventTooLongError(ValueError):
    """Raised when an event exceeds ``MAX_EVENT_BYTES``, or its id ``MAX_ID_DIGITS``."""


@dataclass(frozen=True)
class Event:
    """One event, including the blank line that ends it."""

    data: bytes
    number: int | None
    """Its id, or None if it has none."""


class EventSplitter:
    """Incremental splitter: accepts bytes and returns complete events.

    Each byte is copied and searched a constant number of times, however the bytes are
    divided into chunks.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        """The bytes of an unfinished event, which contain no end of one."""

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes; return the events that they complete."""
        partial = self._partial
        buffer: bytes | bytearray = data
        search_from = 0
        if partial:
            search_from = max(0, len(partial) - _N_PARTIAL_END)
            partial += data
            buffer = partial
        events = []
        start = 0
        for found in _EVENT_END.finditer(buffer, search_from):
            events.append(_event(bytes(buffer[start : found.end()])))
            start = found.end()
        if buffer is partial:
            del partial[:start]
        else:
            partial += data[start:]
        if len(partial) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    def clear(self) -> None:
        """Drop the incomplete event."""
        self._partial.clear()

    @property
    def n_partial(self) -> int:
        """Bytes of the incomplete event that is buffered."""
        return len(self._partial)

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)


def _event(data: bytes) -> Event:
    found = _EVENT_ID.search(data)
    if found is None:
        return Event(data, None)
    if found.end(1) - found.start(1) > MAX_ID_DIGITS:
        raise EventTooLongError(f"an id is longer than {MAX_ID_DIGITS} digits")
    return Event(data, int(found[1]))
