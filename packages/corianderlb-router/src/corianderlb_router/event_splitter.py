"""Split a stream of server-sent events into events and parse their ids."""

from __future__ import annotations

import re
from typing import Final

from corianderlb_core.data_class import dataclass

MAX_EVENT_BYTES: Final = 1 << 20
"""Longest event; bounds memory use for a stream without event boundaries."""

_EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
_EVENT_ID: Final = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?=\n|$)")


class EventTooLongError(ValueError):
    """Raised when an event exceeds ``MAX_EVENT_BYTES``."""


@dataclass(frozen=True)
class Event:
    """One event, including the blank line that ends it."""

    data: bytes
    number: int | None
    """Its id, or None if it has none."""


class EventSplitter:
    """Incremental splitter: accepts bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes; return the events that they complete."""
        self._buffer += data
        events = []
        start = 0
        for found in _EVENT_END.finditer(self._buffer):
            raw = self._buffer[start : found.end()]
            number = _EVENT_ID.search(raw)
            events.append(Event(raw, int(number.group(1)) if number else None))
            start = found.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)
