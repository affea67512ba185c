"""Run one forwarded request to its end, over as many attempts as it may take."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

import trio

from corianderlb_core.forwarding import RepeatKind
from corianderlb_core.health import Verdict
from corianderlb_core.identity import AttemptId, Incarnation, InstanceId
from corianderlb_core.part_index import Life
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode

from .caller import RequestRefusedError, refuse
from .connection import BrokenError, ConnectFailedError, SilentError, UpstreamError
from .forward_attempt import (
    ForwardAttempt,
    ForwardJob,
    NotRunError,
    ServerFailureError,
    WithdrawnError,
)
from .forward_caller import StreamCutError
from .forward_relay import WrongAnswerError
from .forward_target import NO_INSTANCE_S, NoPlace, Placement
from .in_flight import InFlightAttempt
from .run_mover import RunMovedError

HOLD_SHARE: Final = 0.12
"""Part of its objective for which a request waits here for an instance with room. A
refusal after it still leaves the caller time to come back; a longer wait would not."""

RETRY_SHARE: Final = 0.5
"""Part of the objective that another attempt gets at least."""

POLL_S: Final = 0.025
"""How often a waiting request looks again, besides at each change of the state."""

RETRY_AFTER_MIN_S: Final = 0.2
"""Least time that a refused caller is told to stay away: two words of the peers."""

RETRY_AFTER_SHARE: Final = 1 / 3
"""Largest part of the time that a caller has left which it is told to stay away."""

MAX_NOT_RUN: Final = 8
"""Refusals by instances that one request collects at most; each costs a way there."""

MAX_UNREACHED: Final = 6
"""Instances that one request finds unreachable until it is refused. Each refused
connection takes no time at all, and a request would else knock until its deadline."""

LIFE_CHECK_S: Final = 0.3
"""How long it may take to find out whether an instance still lives."""


@dataclass(frozen=True)
class AttemptNote:
    """Hold one attempt for the log line of its request."""

    instance: str
    outcome: str
    took_ms: int
    estimate_ms: int
    """Expected time to the first byte, when it was sent."""
    detail: str = ""
    wait_ms: int = 0
    """Expected wait in the engine's queue."""
    n_missing: int = 0
    """Tokens that the engine was expected to read."""
    weights: int = 0
    """Version of the weights that it was asked to have."""
    weights_age_ms: int | None = None
    """How long ago, as known when it was sent, a newer version was named."""
    began_ms: int | None = None
    """Time until the head of its answer; None when none came."""
    fetch_from: str = ""


class ForwardRun:
    """Hold the state of one request over its attempts."""

    def __init__(self, job: ForwardJob) -> None:
        self._job = job
        self._parts = job.parts
        self._route = job.route
        self._target = job.target
        self._relay = job.relay
        self._caller = job.caller
        self._deadline = job.deadline
        self._digest = job.digest
        self._avoid: set[Life] = set()
        self._n_arrivals = 0
        self._n_runs = 0
        self._n_not_run = 0
        self._n_unreached = 0
        self._last_failure: ServerFailureError | None = None
        self._ran_before = False
        """Whether an attempt that is over can have begun to run the request."""
        self._attempt_now: ForwardAttempt | None = None
        self._next_place: Placement | None = None
        """Where the memory of a run lies that was taken off its engine."""
        self.notes: list[AttemptNote] = []
        """One for each attempt, for the log."""

    @property
    def longest_pause_ms(self) -> int:
        """Longest pause between two pieces that the caller got."""
        return round(self._relay.longest_pause_s * 1000)

    @property
    def _may_run_again(self) -> bool:
        """Whether the kind of request allows a run after one that may have begun."""
        if self._route.kind is RepeatKind.STREAM:
            return self._route.may_resume
        return self._route.is_repeatable

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream can have begun to run the request."""
        now = self._attempt_now
        return self._ran_before or (now is not None and now.may_have_run)

    def may_abandon(self) -> bool:
        """Return whether nothing is lost when the caller leaves now.

        What may run once only has perhaps begun: cut off, nobody could tell whether
        it took effect, so it is left to end by itself.
        """
        return self._route.kind is not RepeatKind.AT_MOST_ONCE or not self.may_have_run

    async def run(self) -> None:
        """Answer the caller; raise ``RequestRefusedError`` if that is not possible."""
        try:
            await self._run()
        except RequestRefusedError:
            failure = self._last_failure
            if failure is None or self._caller.started:
                raise
            # An earlier attempt brought the upstream's own failure; that tells the
            # caller more than that no further instance was found.
            await self._pass_on(failure)

    async def _run(self) -> None:
        while True:
            placement, self._next_place = self._next_place, None
            if placement is None:
                placement = await self._place()
            try:
                await self._attempt(placement)
                return
            except UpstreamError as exc:
                failed = exc
            if await self._after(placement, failed):
                return

    # Placing.

    async def _place(self) -> Placement:
        """Return a place, waiting a little for one; refuse when there is none."""
        waits_until = trio.current_time() + HOLD_SHARE * self._route.objective_s
        while True:
            now = trio.current_time()
            found = self._target.choose(self._avoid, self._objective_left_s(now))
            if isinstance(found, Placement):
                return found
            if found.reason != "queue" and self._avoid:
                # Every instance failed once: one that did is better than none.
                self._avoid.clear()
                await trio.sleep(POLL_S)
                continue
            if now >= waits_until:
                raise self._no_place(found)
            changed = self._parts.state.changed
            with trio.move_on_after(POLL_S):
                await changed.wait()

    def _objective_left_s(self, now: float) -> float:
        """Return the time within which the next first byte should come.

        A stream that its caller has the beginning of goes on whatever the queues are:
        given up, all that was made of it is lost. After another failed attempt an
        answer that is a little late is still worth more to its caller than none.
        """
        objective_s = self._route.objective_s
        if self._caller.started:
            return math.inf
        left_s = self._caller.arrived_at + objective_s - now
        return max(left_s, RETRY_SHARE * objective_s if self.notes else 0.0)

    def _no_place(self, found: NoPlace) -> RequestRefusedError:
        if self.may_have_run:
            return refuse(ResultCode.UPSTREAM_FAILED, "No other instance has room.")
        code = (
            ResultCode.QUEUE_FULL if found.reason == "queue" else ResultCode.NO_UPSTREAM
        )
        detail = f"{found.reason}: {found.detail}" if found.detail else found.reason
        left_s = self._deadline - trio.current_time()
        wanted_s = self._parts.back_in(
            self._target.upstream,
            found.back_in_s,
            found.read_s,
            left_s * RETRY_AFTER_SHARE,
        )
        return refuse(code, detail, self._back_in(wanted_s))

    def _back_in(self, wanted_s: float) -> float:
        """Return when the caller should come back, within the time it has left."""
        left_s = self._deadline - trio.current_time()
        wanted_s = max(RETRY_AFTER_MIN_S, wanted_s)
        return max(0.01, min(wanted_s, left_s * RETRY_AFTER_SHARE))

    # One attempt.

    async def _attempt(self, placement: Placement) -> None:
        """Send the request once and relay its answer."""
        parts = self._parts
        instance = placement.instance
        if not parts.state.may_take_work(instance):
            raise NotRunError("it has just left", sent=False)
        self._n_arrivals += 1
        key = f"{self._job.req.request_id}.{self._n_arrivals}"
        started_at = trio.current_time()
        first_at: list[float] = []

        def on_data() -> None:
            parts.health.heard(instance.life)
            if not first_at:
                first_at.append(trio.current_time())
                seconds = first_at[0] - started_at
                self._target.first_byte(key, placement, seconds)

        attempt = ForwardAttempt(
            self._job, placement, not self._has_attempt_left(1), self._take_budget
        )
        self._attempt_now = attempt
        has_ended = False
        with self._in_flight(key, placement, first_at):
            try:
                await attempt.run(on_data)
                has_ended = True
            except UpstreamError:
                has_ended = True
                raise
            finally:
                if not has_ended:
                    # The caller left or its time is over, which reaches here by itself
                    # or in a group; the log shows who had the request last.
                    self._note(placement, "abandoned", started_at)
        parts.health.succeeded(instance.life)
        parts.quarantine.clear(self._digest)
        self._note(placement, "ok", started_at)

    @contextmanager
    def _in_flight(
        self, key: str, placement: Placement, first_at: list[float]
    ) -> Iterator[None]:
        """Count an attempt while it lasts."""
        parts = self._parts
        instance = placement.instance
        incarnation = Incarnation(InstanceId(instance.instance), instance.born_ms)
        flight = InFlightAttempt(AttemptId(key), incarnation, self._digest)
        parts.in_flight.begin(flight)
        parts.health.started(instance.life)
        self._target.sent(key, placement)
        try:
            yield
        finally:
            parts.in_flight.end(AttemptId(key))
            parts.health.ended(instance.life)
            self._target.ended(key, placement, was_read=bool(first_at))

    # After a failure.

    def _after_move(self, placement: Placement, exc: RunMovedError) -> None:
        """Go on with a run that was taken off its engine."""
        self._ran_before = True
        self._next_place = exc.placement
        self._note(placement, "moved" if exc.placement else "restarted", None)
        self._attempt_now = None
        if exc.placement is None:
            self._avoid.add(placement.instance.life)
            self._n_runs += 1

    def _has_attempt_left(self, n_more: int = 0) -> bool:
        return self._n_runs + n_more < self._route.max_attempts

    async def _after(self, placement: Placement, exc: UpstreamError) -> bool:
        """Decide what follows a failed attempt; return whether the caller is answered.

        False asks for another attempt.
        """
        if isinstance(exc, RunMovedError):
            self._after_move(placement, exc)
            return False
        self._avoid.add(placement.instance.life)
        self._judge(placement, exc)
        has_not_run = isinstance(exc, NotRunError)
        self._ran_before = self._n_runs > 0 if has_not_run else self.may_have_run
        self._attempt_now = None
        if placement.continue_from:
            # The copy of the memory was of no use: what follows is another run.
            self._n_runs += 1
        if isinstance(exc, NotRunError):
            self._n_not_run += 1
            self._pay_or_refuse(exc)
            return False
        if isinstance(exc, ConnectFailedError):
            self._n_unreached += 1
            if self._n_unreached > MAX_UNREACHED:
                self._refuse_not_taken(ResultCode.NO_UPSTREAM, exc)
            return False
        self._n_runs += 1
        if isinstance(exc, ServerFailureError):
            self._last_failure = exc
        if isinstance(exc, BrokenError) and not isinstance(exc, WrongAnswerError):
            await self._look_for_crash(placement)
        refusal = self._parts.quarantine.refusal(self._digest)
        may_repeat = self._may_run_again and self._has_attempt_left()
        if self._caller.started and self._relay.resume_after is None:
            may_repeat = False
        if refusal is None and may_repeat and self._take_budget():
            return False
        return await self._give_up(exc)

    def _pay_or_refuse(self, exc: UpstreamError) -> None:
        """Pay for going to another instance after one that did not run it."""
        if self._n_not_run > MAX_NOT_RUN or not self._take_budget():
            self._refuse_not_taken(ResultCode.UPSTREAM_REFUSED, exc)

    def _refuse_not_taken(self, code: ResultCode, exc: UpstreamError) -> None:
        """End a request that no instance took; ``code`` says that it has not run."""
        if self._caller.started:
            raise StreamCutError(f"no instance took the rest of the stream: {exc}")
        if self.may_have_run:
            raise refuse(ResultCode.UPSTREAM_FAILED, str(exc))
        raise refuse(code, str(exc), self._back_in(NO_INSTANCE_S))

    def _take_budget(self) -> bool:
        budget = self._parts.budget(self._target.upstream)
        return budget.take(trio.current_time(), self._parts.n_routers)

    async def _give_up(self, exc: UpstreamError) -> bool:
        """End a request that may have run."""
        if self._caller.started:
            raise StreamCutError(str(exc))
        if isinstance(exc, ServerFailureError):
            await self._pass_on(exc)
            return True
        is_silent = isinstance(exc, SilentError)
        code = ResultCode.UPSTREAM_TIMEOUT if is_silent else ResultCode.UPSTREAM_FAILED
        raise RequestRefusedError(Refusal(code, str(exc)))

    async def _pass_on(self, failure: ServerFailureError) -> None:
        """Give the caller the upstream's own failure."""
        self._caller.result = ResultCode.UPSTREAM_FAILED
        head = failure.head
        await self._caller.answer(head.status, list(head.headers), failure.body)

    def _judge(self, placement: Placement, exc: UpstreamError) -> None:
        """Tell the health board what an attempt showed."""
        health = self._parts.health
        life = placement.instance.life
        outcome = type(exc).__name__.removesuffix("Error").lower()
        if isinstance(exc, NotRunError | WithdrawnError):
            pass
        elif isinstance(exc, ServerFailureError):
            health.answered_badly(life)
        elif isinstance(exc, ConnectFailedError):
            verdict = Verdict.CONDEMNED if exc.refused else Verdict.FAILURE
            health.failed(life, verdict)
            self._target.unreached(placement)
        else:
            health.failed(life)
        self._note(placement, outcome, None, str(exc))

    async def _look_for_crash(self, placement: Placement) -> None:
        """Count a crash against the requests that were in flight on an instance."""
        parts = self._parts
        instance = placement.instance
        name = InstanceId(instance.instance)
        suspects = (*parts.in_flight.suspects(name), self._digest)
        try:
            conn = await parts.transport.pool.take(
                instance.address, fresh=True, connect_s=LIFE_CHECK_S
            )
        except ConnectFailedError as exc:
            if exc.refused:
                parts.quarantine.report_crash(name, instance.born_ms, suspects)
            return
        await conn.close()

    def _note(
        self,
        placement: Placement,
        outcome: str,
        started_at: float | None,
        detail: str = "",
    ) -> None:
        took_s = trio.current_time() - (started_at or self._caller.arrived_at)
        note = AttemptNote(
            placement.instance.instance,
            outcome,
            round(took_s * 1000),
            round(placement.estimate_s * 1000),
            detail,
        )
        choice = placement.choice
        if choice is not None:
            note = dataclasses.replace(
                note,
                wait_ms=round(choice.wait_s * 1000),
                n_missing=choice.n_missing,
                weights=choice.view.weights_version,
                fetch_from=choice.fetch_from,
            )
        attempt = self._attempt_now
        if attempt is not None and attempt.sent_at is not None:
            age_s = attempt.sent_at - (choice.view.replaced_at if choice else math.inf)
            note = dataclasses.replace(
                note,
                weights_age_ms=round(age_s * 1000) if math.isfinite(age_s) else None,
                began_ms=attempt.began_ms,
            )
        self.notes.append(note)
        self._parts.metrics.attempt_ended(outcome, len(self.notes) > 1)
