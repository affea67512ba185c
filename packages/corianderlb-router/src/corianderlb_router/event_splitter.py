"""Cut a stream of server-sent events into whole events, and read their numbers."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

MAX_EVENT_BYTES: Final = 1 << 20
"""Longest event; a stream without ends of events must not fill the memory."""

_END: Final = re.compile(rb"\r?\n\r?\n")
_NUMBER: Final = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?(?=\n|$)")


class EventTooLongError(ValueError):
    """Signal an event longer than any upstream sends."""


@dataclass(frozen=True)
class Event:
    """Hold one event with the blank line at its end."""

    data: bytes
    number: int | None
    """Its id, or None when it carries none."""


class EventSplitter:
    """Take bytes as they come and give out the events that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that end within the data."""
        self._rest += data
        events = []
        start = 0
        for found in _END.finditer(self._rest):
            raw = self._rest[start : found.end()]
            number = _NUMBER.search(raw)
            events.append(Event(raw, int(number.group(1)) if number else None))
            start = found.end()
        self._rest = self._rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def has_rest(self) -> bool:
        """Whether a part of an event is left."""
        return bool(self._rest)
