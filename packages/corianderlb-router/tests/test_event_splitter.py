"""Test splitting a stream into events."""

from __future__ import annotations

import re
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from corianderlb_router.event_splitter import EventSplitter, EventTooLongError

END = re.compile(rb"\r?\n\r?\n")

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"


def split_whole(stream: bytes) -> list[bytes]:
    """Split a whole stream; what follows the last event comes last."""
    places = [0, *(found.end() for found in END.finditer(stream)), len(stream)]
    return [stream[a:b] for a, b in zip(places, places[1:], strict=False)]


def seconds_to_split(n_bytes: int) -> float:
    """Return the processor time for an event that arrives in small chunks."""
    splitter, began_at = EventSplitter(), time.process_time()
    for _ in range(n_bytes // 64):
        splitter.feed(b"x" * 64)
    return time.process_time() - began_at


class EventSplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(1, len(STREAM)), max_size=6))
    def test_any_cut_gives_the_same_events(self, cuts: list[int]) -> None:
        splitter = EventSplitter()
        events = []
        places = [0, *sorted(cuts), len(STREAM)]
        for start, end in zip(places, places[1:], strict=False):
            events += splitter.feed(STREAM[start:end])
        self.assertEqual([event.number for event in events], [1, 2, None])
        self.assertEqual(b"".join(event.data for event in events), STREAM)
        self.assertFalse(splitter.has_partial_event)

    def test_part_of_an_event_is_held_back(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a"), [])
        self.assertTrue(splitter.has_partial_event)

    def test_event_without_an_end_does_not_fill_the_memory(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(EventTooLongError):
            for _ in range(40):
                splitter.feed(b"x" * 65536)

    @given(
        st.lists(st.sampled_from([b"\n", b"\r", b"\r\n", b"a", b"id: 7"])),
        st.lists(st.integers(0, 60), max_size=12),
    )
    def test_any_separators_and_cuts(self, parts: list[bytes], cuts: list[int]) -> None:
        stream = b"".join(parts)
        splitter, found = EventSplitter(), []
        places = [0, *sorted(cuts), len(stream)]
        for start, end in zip(places, places[1:], strict=False):
            found += [event.data for event in splitter.feed(stream[start:end])]
        *events, rest = split_whole(stream)
        self.assertEqual(found, events)
        self.assertEqual(splitter.n_partial, len(rest))

    def test_time_grows_with_the_bytes_alone(self) -> None:
        """Guards against an event without an end that blocks the router."""
        small = min(seconds_to_split(1 << 16) for _ in range(5))
        large = min(seconds_to_split(1 << 18) for _ in range(3))
        self.assertLess(large, 4 * 2 * small)

    def test_id_of_absurd_length(self) -> None:
        """Guards against an id that the interpreter refuses to read as a number."""
        with self.assertRaises(EventTooLongError):
            EventSplitter().feed(b"id: " + b"1" * 5000 + b"\n\n")
