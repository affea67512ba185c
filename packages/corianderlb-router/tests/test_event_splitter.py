"""Test splitting a stream into events."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from corianderlb_router.event_splitter import EventSplitter, EventTooLongError

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"


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
