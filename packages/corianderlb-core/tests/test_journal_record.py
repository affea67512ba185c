"""The journal allows each call to run at most once."""

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
    def test_operations_are_idempotent(self) -> None:
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

    def test_other_attempt_cannot_finish_the_call(self) -> None:
        state = ShardState()
        state.apply(Begin(a_record()))
        state.apply(Finish(KEY, AttemptId("a2"), ANSWER))
        state.apply(Abandon(KEY, AttemptId("a2"), ran=False))
        self.assertEqual(state.records[KEY].state, CallState.BEGUN)

    def test_late_answer_of_a_sealed_call_in_doubt(self) -> None:
        """A router is suspended in a call while its record is sealed as unknown.

        Its late answer must override the sealed record for the next repeat.
        """
        sealing = split_for_seal([a_record(begun_at=10.0)], {}, begun_before=50.0)
        self.assertEqual(sealing.kept, ())
        state = ShardState({}, {record.key: record for record in sealing.settled})
        repeat = Begin(a_record("a2"))
        self.assertEqual(state.apply(repeat), Verdict.UNKNOWN)
        state.apply(Finish(KEY, AttemptId("a1"), ANSWER))
        self.assertEqual(state.apply(repeat), Verdict.ALREADY_FINISHED)

    def test_call_in_progress_stays_in_the_head(self) -> None:
        sealing = split_for_seal([a_record()], {}, begun_before=50.0)
        self.assertEqual(sealing.kept, (a_record(),))

    def test_call_that_never_ran_overrides_a_sealed_record(self) -> None:
        state = ShardState()
        state.apply(Begin(a_record()))
        state.apply(Abandon(KEY, AttemptId("a1"), ran=False))
        records = list(state.records.values())
        self.assertEqual(split_for_seal(records, {}, 50.0).settled, ())
        older = {KEY: a_record()}
        self.assertEqual(split_for_seal(records, older, 50.0).settled, tuple(records))
