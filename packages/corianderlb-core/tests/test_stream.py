from __future__ import annotations

import json
import unittest

from corianderlb_core.answer import assemble_answer, extract_usage
from corianderlb_core.stream import StreamAssembler, StreamFault


def an_event(index: int, attempt_id: str = "r.1", text: str = "") -> bytes:
    content = text or f"w{index} "
    return (
        f'id: {index}\ndata: {{"id":"{attempt_id}","choices":[{{"index":0,'
        f'"delta":{{"content":"{content}"}}}}]}}\n\n'
    ).encode()


def the_end(index: int) -> bytes:
    return f"id: {index}\ndata: [DONE]\n\n".encode()


def a_stream(n_events: int, attempt_id: str = "r.1") -> bytes:
    events = [an_event(index, attempt_id) for index in range(n_events)]
    return b"".join([*events, the_end(n_events)])


def an_assembler(attempt_id: str = "r.1") -> StreamAssembler:
    assembler = StreamAssembler("r")
    assembler.begin_attempt(attempt_id, 0)
    return assembler


class StreamAssemblerTest(unittest.TestCase):
    def test_any_cut_into_chunks_gives_the_same_events(self) -> None:
        stream = a_stream(4)
        for size in (1, 7, 64, len(stream)):
            assembler = an_assembler()
            out = b"".join(
                assembler.feed(stream[start : start + size])
                for start in range(0, len(stream), size)
            )
            self.assertEqual(out, a_stream(4, "r"))
            self.assertTrue(assembler.finished)
            self.assertIsNone(assembler.fault)

    def test_a_stream_without_its_very_last_byte_is_not_finished(self) -> None:
        """The upstream closes one byte short of the terminal event's end. A caller
        that got the rest would take an answer for whole that was never confirmed."""
        assembler = an_assembler()
        out = assembler.feed(a_stream(3)[:-1])
        self.assertFalse(assembler.finished)
        self.assertEqual(out, b"".join(an_event(n, "r") for n in range(3)))

    def test_a_skipped_or_repeated_event_ends_the_attempt(self) -> None:
        """An engine under memory pressure drops or repeats a token. A caller would
        read a sentence with a word missing or doubled, and nothing would say so."""
        for wrong in (2, 0):
            assembler = an_assembler()
            out = assembler.feed(an_event(0) + an_event(wrong) + an_event(1))
            self.assertEqual(out, an_event(0, "r"))
            self.assertIs(assembler.fault, StreamFault.OUT_OF_ORDER)

    def test_an_event_of_another_attempt_is_never_relayed(self) -> None:
        """Two answers cross in an upstream's connection handling. One caller would
        read the batch of another customer."""
        assembler = an_assembler()
        out = assembler.feed(an_event(0) + an_event(1, "q.1"))
        self.assertEqual(out, an_event(0, "r"))
        self.assertIs(assembler.fault, StreamFault.CROSSED)

    def test_a_resume_goes_on_with_the_next_event(self) -> None:
        assembler = an_assembler()
        out = assembler.feed(an_event(0) + an_event(1)[:9])
        assembler.begin_attempt("r.1", 1)
        out += assembler.feed(an_event(1) + the_end(2))
        self.assertEqual(out, a_stream(2, "r"))

    def test_a_run_elsewhere_continues_after_what_was_relayed(self) -> None:
        assembler = an_assembler()
        out = assembler.feed(an_event(0) + an_event(1))
        assembler.begin_attempt("r.2", 0)
        out += assembler.feed(a_stream(4, "r.2"))
        self.assertEqual(out, a_stream(4, "r"))

    def test_other_text_is_not_glued_to_what_was_relayed(self) -> None:
        """The engine that takes over answers with other words, say from another
        build. The caller would get the head of one answer and the tail of another."""
        assembler = an_assembler()
        assembler.feed(an_event(0) + an_event(1))
        assembler.begin_attempt("r.2", 0)
        other = an_event(0, "r.2") + an_event(1, "r.2", "else ") + an_event(2, "r.2")
        self.assertEqual(assembler.feed(other), b"")
        self.assertIs(assembler.fault, StreamFault.DIVERGED)

    def test_engines_that_stamp_their_events_can_go_on_elsewhere(self) -> None:
        """Engines write the time into each event. An answer that went on elsewhere
        after a crash ended as broken, since the first events seemed to differ."""

        def stamped(event: bytes, at: int) -> bytes:
            return event.replace(b'"choices"', b'"created":%d,"choices"' % at)

        assembler = an_assembler()
        assembler.feed(stamped(an_event(0) + an_event(1), 100))
        assembler.begin_attempt("r.2", 0)
        out = assembler.feed(stamped(a_stream(3, "r.2"), 107))
        self.assertIsNone(assembler.fault)
        self.assertTrue(assembler.finished)
        self.assertTrue(out.startswith(b"id: 2\n"))

    def test_an_endless_event_is_a_fault(self) -> None:
        assembler = an_assembler()
        assembler.feed(b"id: 0\ndata: " + b"x" * (1 << 21))
        self.assertIs(assembler.fault, StreamFault.MALFORMED)

    def test_an_event_spaced_in_another_way_is_taken(self) -> None:
        assembler = an_assembler()
        body = json.dumps({"id": "r.1", "usage": {"prompt_tokens": 3}})
        out = assembler.feed(f"id: 0\ndata: {body}\n\n".encode())
        self.assertEqual(
            out, b'id: 0\ndata: {"id":"r","usage":{"prompt_tokens":3}}\n\n'
        )
        self.assertEqual(extract_usage(assembler.last_event), {"prompt_tokens": 3})


class AnswerTest(unittest.TestCase):
    def test_the_events_make_up_one_whole_answer(self) -> None:
        answer = json.loads(assemble_answer(a_stream(3, "r")))
        message = answer["choices"][0]["message"]
        self.assertEqual(message, {"role": "assistant", "content": "w0 w1 w2 "})


if __name__ == "__main__":
    unittest.main()
