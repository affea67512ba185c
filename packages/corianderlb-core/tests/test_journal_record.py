"""What a journal's records allow, as operations are folded over them."""

from __future__ import annotations

import unittest

from corianderlb_core.identity import AccountId, AttemptId, InstanceId
from corianderlb_core.journal import (
    Abandon,
    Begin,
    CallRecord,
    CallState,
    Finish,
    ShardState,
    StoredAnswer,
    Verdict,
    call_key,
    split_for_seal,
)

KEY = call_key(AccountId("shop"), "k1")
ANSWER = StoredAnswer(200, (), b"booked")


def a_record(attempt: str = "a1", begun_at: float = 100.0) -> CallRecord:
    return CallRecord(KEY, b"d", AttemptId(attempt), InstanceId("r1"), 1, begun_at)


class JournalRecordTest(unittest.TestCase):
    def test_operations_may_be_applied_twice(self) -> None:
        state = ShardState()
        for operation in (
            Begin(a_record()),
            Finish(KEY, AttemptId("a1"), ANSWER),
            Abandon(KEY, AttemptId("a1"), ran=True),
        ):
            state.apply(operation)
            once = dict(state.records)
            state.apply(operation)
            self.assertEqual(state.records, once)
        self.assertEqual(state.records[KEY].answer, ANSWER)

    def test_other_attempt_cannot_end_the_call(self) -> None:
        state = ShardState()
        state.apply(Begin(a_record()))
        state.apply(Finish(KEY, AttemptId("a2"), ANSWER))
        state.apply(Abandon(KEY, AttemptId("a2"), ran=False))
        self.assertEqual(state.records[KEY].state, CallState.BEGUN)

    def test_late_answer_of_a_sealed_call_in_doubt(self) -> None:
        """A router sleeps for an hour in the middle of a call, and then wakes.

        Its record was sealed as unknown meanwhile. The answer it brings must reach
        the next repeat, which otherwise hears "unknown" until the record expires.
        """
        sealing = split_for_seal([a_record(begun_at=10.0)], {}, begun_before=50.0)
        self.assertEqual(sealing.kept, ())
        state = ShardState({}, {record.key: record for record in sealing.settled})
        repeat = Begin(a_record("a2"))
        self.assertEqual(state.apply(repeat), Verdict.UNKNOWN)
        state.apply(Finish(KEY, AttemptId("a1"), ANSWER))
        self.assertEqual(state.apply(repeat), Verdict.EARLIER)

    def test_running_call_stays_in_the_head(self) -> None:
        sealing = split_for_seal([a_record()], {}, begun_before=50.0)
        self.assertEqual(sealing.kept, (a_record(),))

    def test_call_that_never_ran_hides_a_sealed_record(self) -> None:
        state = ShardState()
        state.apply(Begin(a_record()))
        state.apply(Abandon(KEY, AttemptId("a1"), ran=False))
        held = list(state.records.values())
        self.assertEqual(split_for_seal(held, {}, 50.0).settled, ())
        older = {KEY: a_record()}
        self.assertEqual(split_for_seal(held, older, 50.0).settled, tuple(held))
