from __future__ import annotations

import json
import time
import unittest

from corianderlb_core.answer import assemble_answer, extract_usage
from corianderlb_core.stream import StreamAssembler, StreamFault


def an_event(index: int, attempt_id: str = "r.1", text: str = "") -> bytes:
    content = text or f"w{index} "
    return (
        f'id: {index}\ndata: {{"id":"{attempt_id}","choices":[{{"index":0,'
        f'"delta":{{"content":"{content}"}}}}]}}\n\n'
    ).encode()


def terminal_event(index: int) -> bytes:
    return f"id: {index}\ndata: [DONE]\n\n".encode()


def a_stream(n_events: int, attempt_id: str = "r.1") -> bytes:
    events = [an_event(index, attempt_id) for index in range(n_events)]
    return b"".join([*events, terminal_event(n_events)])


def an_assembler(attempt_id: str = "r.1") -> StreamAssembler:
    assembler = StreamAssembler("r")
    assembler.begin_attempt(attempt_id, 0)
    return assembler


class StreamAssemblerTest(unittest.TestCase):
    def test_chunk_boundaries_do_not_change_the_events(self) -> None:
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

    def test_stream_that_ends_at_any_byte(self) -> None:
        """Guards against a part that is whole since its connection ended in order."""
        stream = a_stream(2)
        for n_sent in range(len(stream)):
            assembler = an_assembler()
            out = assembler.feed(stream[:n_sent])
            self.assertFalse(assembler.finished, stream[:n_sent])
            self.assertTrue(a_stream(2, "r").startswith(out))

    def test_event_in_small_chunks(self) -> None:
        """Guards against an event without an end that blocks the router."""
        assembler, began_at = an_assembler(), time.process_time()
        for _ in range((1 << 20) // 64):
            self.assertEqual(assembler.feed(b"x" * 64), b"")
        self.assertIsNone(assembler.fault)
        self.assertEqual(assembler.feed(b"x"), b"")
        self.assertIs(assembler.fault, StreamFault.MALFORMED)
        self.assertLess(time.process_time() - began_at, 1.0)

    def test_a_stream_without_its_last_byte_is_not_finished(self) -> None:
        """The upstream closes within the terminal event: the answer is incomplete."""
        assembler = an_assembler()
        out = assembler.feed(a_stream(3)[:-1])
        self.assertFalse(assembler.finished)
        self.assertEqual(out, b"".join(an_event(n, "r") for n in range(3)))

    def test_a_skipped_or_repeated_event_ends_the_attempt(self) -> None:
        """An engine drops or repeats a token: the text must not be silently wrong."""
        for wrong in (2, 0):
            assembler = an_assembler()
            out = assembler.feed(an_event(0) + an_event(wrong) + an_event(1))
            self.assertEqual(out, an_event(0, "r"))
            self.assertIs(assembler.fault, StreamFault.OUT_OF_ORDER)

    def test_an_event_of_another_attempt_is_never_relayed(self) -> None:
        """An upstream mixes up connections: no caller may receive another's answer."""
        assembler = an_assembler()
        out = assembler.feed(an_event(0) + an_event(1, "q.1"))
        self.assertEqual(out, an_event(0, "r"))
        self.assertIs(assembler.fault, StreamFault.WRONG_ATTEMPT)

    def test_a_resume_continues_with_the_next_event(self) -> None:
        assembler = an_assembler()
        out = assembler.feed(an_event(0) + an_event(1)[:9])
        assembler.begin_attempt("r.1", 1)
        out += assembler.feed(an_event(1) + terminal_event(2))
        self.assertEqual(out, a_stream(2, "r"))

    def test_a_replay_on_another_engine_continues_after_relayed_events(self) -> None:
        assembler = an_assembler()
        out = assembler.feed(an_event(0) + an_event(1))
        assembler.begin_attempt("r.2", 0)
        out += assembler.feed(a_stream(4, "r.2"))
        self.assertEqual(out, a_stream(4, "r"))

    def test_diverging_text_is_not_appended_to_relayed_events(self) -> None:
        """The second engine generates different text: the answers must not be mixed."""
        assembler = an_assembler()
        assembler.feed(an_event(0) + an_event(1))
        assembler.begin_attempt("r.2", 0)
        other = an_event(0, "r.2") + an_event(1, "r.2", "else ") + an_event(2, "r.2")
        self.assertEqual(assembler.feed(other), b"")
        self.assertIs(assembler.fault, StreamFault.DIVERGED)

    def test_timestamps_do_not_prevent_a_replay(self) -> None:
        """Timestamps in events must not prevent continuing on another engine."""

        def stamped(event: bytes, at: int) -> bytes:
            return event.replace(b'"choices"', b'"created":%d,"choices"' % at)

        assembler = an_assembler()
        assembler.feed(stamped(an_event(0) + an_event(1), 100))
        assembler.begin_attempt("r.2", 0)
        out = assembler.feed(stamped(a_stream(3, "r.2"), 107))
        self.assertIsNone(assembler.fault)
        self.assertTrue(assembler.finished)
        self.assertTrue(out.startswith(b"id: 2\n"))

    def test_an_oversized_event_is_a_fault(self) -> None:
        assembler = an_assembler()
        assembler.feed(b"id: 0\ndata: " + b"x" * (1 << 21))
        self.assertIs(assembler.fault, StreamFault.MALFORMED)

    def test_an_event_in_another_json_layout_is_accepted(self) -> None:
        assembler = an_assembler()
        body = json.dumps({"id": "r.1", "usage": {"prompt_tokens": 3}})
        out = assembler.feed(f"id: 0\ndata: {body}\n\n".encode())
        self.assertEqual(
            out, b'id: 0\ndata: {"id":"r","usage":{"prompt_tokens":3}}\n\n'
        )
        self.assertEqual(extract_usage(assembler.last_event), {"prompt_tokens": 3})


class AnswerTest(unittest.TestCase):
    def test_events_are_merged_into_one_answer(self) -> None:
        answer = json.loads(assemble_answer(a_stream(3, "r")))
        message = answer["choices"][0]["message"]
        self.assertEqual(message, {"role": "assistant", "content": "w0 w1 w2 "})


if __name__ == "__main__":
    unittest.main()
