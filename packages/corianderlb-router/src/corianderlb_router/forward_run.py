"""Run one forwarded request to completion, with retries on other instances."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Any, Final

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.error import CorianderError
from corianderlb_core.fair_room import RoomRefusal
from corianderlb_core.fleet_retry_budget import RequestRetries
from corianderlb_core.forwarding import ForwardInstance, ForwardRoute, RepeatKind
from corianderlb_core.health import Verdict
from corianderlb_core.identity import AttemptId, Incarnation, InstanceId
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.quarantine import PartRequest, suspect_parts
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode

from .attempt_race import AttemptRace, Standby
from .caller import CallerGoneError, RequestRefusedError, refuse
from .connection import BrokenError, ConnectFailedError, SilentError, UpstreamError
from .fleet_rooms import RoomFullError
from .forward_attempt import (
    AttemptOwner,
    ForwardAttempt,
    ForwardJob,
    NotRunError,
    ServerFailureError,
    SupersededError,
    WithdrawnError,
)
from .forward_caller import CutReason, StreamCutError
from .forward_parts import POLL_S
from .forward_relay import (
    RESERVE_INTERVAL_S,
    AnswerTooLongError,
    NoRoomError,
    UnconfirmedEndError,
    UnknownEndError,
    WrongAnswerError,
)
from .forward_target import (
    NO_INSTANCE_RETRY_S,
    VERSION_GONE,
    WITHHELD,
    EngineTarget,
    NoPlacement,
    Placement,
)
from .in_flight import InFlightAttempt
from .run_mover import RunMovedError, Successor
from .silence_view import view_silence

MAX_WAIT_SHARE: Final = 0.12
"""Share of its objective for which a request waits for an instance with capacity. A
longer wait would leave a refused caller no time to retry."""

MIN_RETRY_SHARE: Final = 0.5
"""Least share of the objective that a retry gets."""

MIN_RETRY_AFTER_S: Final = 0.2
"""Lower bound for the retry-after time of a refusal."""

MAX_RETRY_AFTER_SHARE: Final = 1 / 3
"""Upper bound for the retry-after time, as a share of the time until the deadline."""

MAX_NOT_RUN: Final = 8
"""Maximum number of "not run" refusals by instances before a request is refused. The
rest of an answer that has begun is asked for less often from then on."""

MAX_UNREACHED: Final = 6
"""Maximum number of failed connections before a request is refused. Without it, a
request would reconnect in a tight loop until its deadline."""

VERSION_WAIT_S: Final = 3.0
"""How long a begun answer waits for an instance of its software version: as long as one
that crashed takes to come back."""

SILENT: Final = "silent"
"""Outcome of an attempt whose instance sent nothing for too long."""

STOOD_STILL: Final = "the instances may have changed while this router stood still"
"""Detail of an attempt that is not sent, as its instance may have restarted."""

UNBLAMED: Final = (
    NotRunError,
    WithdrawnError,
    SupersededError,
    UnconfirmedEndError,
    UnknownEndError,
    NoRoomError,
)
"""Ends of attempts that are no failure of their instance."""

LIVENESS_CHECK_TIMEOUT_S: Final = 0.3
"""Timeout of the connection that checks whether an instance still listens."""


@dataclass(frozen=True)
class AttemptRecord:
    """Outcome of one attempt, for the log line of its request."""

    instance: str
    outcome: str
    took_ms: int
    """Duration of a completed or abandoned attempt. For a failed or moved attempt, the
    time since the request arrived."""
    estimate_ms: int
    """Time to the first byte that was estimated at the time of sending."""
    detail: str = ""
    wait_ms: int = 0
    """Estimated wait in the engine's queue."""
    n_missing: int = 0
    """Estimated number of tokens to prefill."""
    weights: int = 0
    """Weights version that the attempt required."""
    weights_age_ms: int | None = None
    """Time from the announcement of a newer version until the attempt was sent."""
    began_ms: int | None = None
    """Time until the response head; None without one."""
    fetch_from: str = ""
    n_events: int = 0
    """Events of a stream that this attempt added to the answer."""
    resume_after: int | None = None
    """Number of the event after which it was asked to go on."""
    first_event: int | None = None
    """Number of the first event that its instance sent."""
    last_event: int | None = None
    """Number of the last event that its instance sent."""
    n_repeated: int = 0
    """Events that it was not asked for, since the caller had them."""
    framing: str = ""
    """What delimits the answer: ``length``, ``chunks`` or ``close``."""
    has_ended: bool = False
    """Whether the instance has ended its answer as the framing tells."""
    end: str = ""
    """What ended an answer that has no mark of its end: ``closed`` for its process,
    ``died`` or ``unknown``."""
    end_age_ms: int | None = None
    """Age of that end when it was passed on, or taken for a cut."""
    ended_leaving: bool = False
    """Whether its instance was known to be leaving then."""
    was_moving: bool = False
    """Whether the run was being moved then."""
    silent_ms: int | None = None
    """Time since the last bytes from the instance; None without any."""
    left_ms: int = 0
    """Time until the deadline of the request."""
    via: str = ""
    """The router that carried the connection; empty for a direct one."""
    software: str = ""
    """Software version of the instance, by its entry."""


class ForwardRun(AttemptOwner):
    """Run of one request, with its state across attempts."""

    def __init__(self, job: ForwardJob) -> None:
        self._job = job
        self._parts = job.parts
        self._route = job.route
        self._target = job.target
        self._target.deadline = job.deadline
        self._sent_answer = job.sent
        self._caller = job.caller
        self._deadline = job.deadline
        self._digest = job.digest
        self._part_digests = job.part_digests
        self._avoid: set[IncarnationKey] = set()
        self._n_attempts = 0
        self._retries = RequestRetries(job.parts.cfg.budget.window_s)
        self._n_runs = 0
        """Runs counted against the route's ``max_attempts``."""
        self._n_not_run = 0
        self._n_unreached = 0
        self._last_failure: ServerFailureError | None = None
        self._earlier_may_have_run = False
        """Whether an attempt that has ended may have run the request."""
        self._race = AttemptRace()
        self._announced: ForwardInstance | None = None
        """Instance that was last made known as the one to run the stream."""
        self._listening: IncarnationKey | None = None
        """Instance that still listens after it has broken an answer off."""
        self._n_tasks = 0
        """Tasks of the request that have not ended."""
        self._is_repeat_unused = False
        """Whether the account was charged for another run, and none was counted yet."""
        self._next_placement: Placement | None = None
        """Placement that is already chosen, which a silent call has reserved."""
        self.attempt_records: list[AttemptRecord] = []
        """One record per attempt, for the log."""

    @property
    def had_silence(self) -> bool:
        """Whether an attempt was given up because its instance was silent."""
        return any(record.outcome == SILENT for record in self.attempt_records)

    @property
    def longest_pause_ms(self) -> int:
        """Longest pause between two writes to the caller."""
        return round(self._sent_answer.longest_pause_s * 1000)

    def paused_beyond(self, route: ForwardRoute) -> bool:
        """Return whether a pause of the answer was longer than a route's objective."""
        return self._sent_answer.longest_pause_s > route.pause_objective_s

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have begun to run the request."""
        return self._earlier_may_have_run or self._race.may_have_run

    def may_abandon(self) -> bool:
        """Return whether the request may be cancelled when the caller disconnects.

        An at-most-once request that may have begun is left to complete: if it were
        cancelled, its outcome would be unknown.
        """
        return self._route.kind is not RepeatKind.AT_MOST_ONCE or not self.may_have_run

    async def run(self) -> None:
        """Answer the caller, or raise ``RequestRefusedError``."""
        self._n_tasks += 1
        try:
            await self._run()
        except RequestRefusedError:
            failure = self._last_failure
            if failure is None or self._caller.started:
                raise
            # The upstream's own error response is more informative than the refusal.
            await self._relay_failure(failure)
        finally:
            self._end_task()

    def _end_task(self) -> None:
        self._n_tasks -= 1
        if not self._n_tasks:
            self._retries.ended(trio.current_time())

    async def _run(self) -> None:
        while True:
            attempt, failed = await self._next_attempt()
            if failed is None:
                return
            if not isinstance(failed, UpstreamError):
                raise failed
            if await self._handle_failure(attempt, failed):
                return

    async def _next_attempt(self) -> tuple[ForwardAttempt, Exception | None]:
        """Run the next attempt to its end; return it with the error if it failed."""
        race = self._race
        if race.has_successor:
            standby = await race.take_over()
            return standby.attempt, standby.error
        placement, self._next_placement = self._next_placement, None
        if placement is None:
            placement = await self._choose_placement()
        race.lead = attempt = self._make_attempt(placement)
        try:
            await self._attempt(attempt)
        except UpstreamError as exc:
            return attempt, exc
        finally:
            race.lead = None
        return attempt, None

    def _make_attempt(self, placement: Placement) -> ForwardAttempt:
        self._n_attempts += 1
        attempt = ForwardAttempt(self._job, self, placement, self._n_attempts)
        attempt.relay.end_successor = self._end_successor
        return attempt

    async def _run_standby(self, standby: Standby) -> None:
        """Run an attempt that stands by, until it has ended or has answered."""
        attempt, error = standby.attempt, None
        upstream = self._target.upstream
        n_silent = 0 if standby.successor else 1
        self._parts.standbys[upstream] += n_silent
        try:
            await self._attempt(attempt)
        except CorianderError as exc:
            error = exc
        finally:
            self._parts.standbys[upstream] -= n_silent
            self._end_task()
        if not self._race.end(standby, error):
            return
        is_run = False
        if isinstance(error, UpstreamError):
            is_run = await self._account_for(attempt, error, goes_on=True)
        # A run that goes on from its copy is not charged to the account again.
        if not is_run and not attempt.placement.continue_from:
            self._is_repeat_unused = True

    # Placement.

    async def _choose_placement(self) -> Placement:
        """Return a placement, waiting briefly for one; refuse if there is none."""
        wait_s = MAX_WAIT_SHARE * self._route.objective_s
        if self._caller.started and self._target.is_bound:
            wait_s = max(wait_s, VERSION_WAIT_S)
        waits_until = trio.current_time() + wait_s
        await self._enter_room(wait_s)
        while True:
            now = trio.current_time()
            found = self._target.choose(self._avoid, self._objective_left_s(now))
            if isinstance(found, Placement):
                return found
            if found.reason != "queue" and self._avoid:
                # Every instance has failed once; try all of them again.
                self._avoid.clear()
                await trio.sleep(POLL_S)
                continue
            if found.reason == VERSION_GONE and not self._caller.started:
                raise self._no_placement_refusal(found)
            is_withheld = found.reason == WITHHELD
            ready_at = now + (found.retry_after_s if is_withheld else 0.0)
            may_wait = is_withheld and self._caller.started
            if ready_at >= (self._deadline if may_wait else waits_until):
                raise self._no_placement_refusal(found)
            changed, waiting = self._parts.state.changed, self._parts.waiting
            if is_withheld:
                # What instances have said costs little to look at.
                with trio.move_on_after(POLL_S):
                    await changed.wait()
                continue
            with waiting.waiting():
                looks_at = now + waiting.pause_s
                if now < waits_until:
                    # Evenly spaced: a last look soon after another finds little new.
                    left_s = waits_until - now
                    looks_at = now + left_s / max(1, round(left_s / waiting.pause_s))
                if waiting.pause_s > POLL_S:
                    # A change would wake all of them at once.
                    await trio.sleep_until(looks_at)
                else:
                    with trio.move_on_at(looks_at):
                        await changed.wait()

    async def _enter_room(self, limit_s: float) -> None:
        """Wait for the turn of a new request; refuse it if that is too far off."""
        target = self._target
        if not isinstance(target, EngineTarget) or self._n_attempts or target.is_bound:
            return
        try:
            await target.enter_room(limit_s)
        except RoomFullError as exc:
            raise self._room_refusal(target, exc.refusal, f"room: {exc}") from None

    def _room_refusal(
        self, target: EngineTarget, refusal: RoomRefusal, detail: str
    ) -> RequestRefusedError:
        most_s = (self._deadline - trio.current_time()) * MAX_RETRY_AFTER_SHARE
        delay_s = self._parts.room_retry_delay_s(
            target.upstream, target.room_key, refusal, most_s
        )
        return refuse(ResultCode.QUEUE_FULL, detail, self._retry_after_s(delay_s))

    def _objective_left_s(self, now: float, is_retry: bool = False) -> float:
        """Return the time left until the first byte of the next attempt is due.

        It is infinite for a stream that has already started, since giving up would
        waste what was generated. A retry gets a minimum, since a slightly late answer
        is better than a refusal.
        """
        objective_s = self._route.objective_s
        if self._caller.started:
            return math.inf
        if self._job.req.resume_after is not None:
            # Its caller has the first events already; the rest is of use until the end.
            return max(0.0, self._deadline - now)
        left_s = self._caller.arrived_at + objective_s - now
        is_retry = is_retry or bool(self.attempt_records)
        return max(left_s, MIN_RETRY_SHARE * objective_s if is_retry else 0.0)

    def _no_placement_refusal(self, found: NoPlacement) -> RequestRefusedError:
        if self.may_have_run:
            return refuse(ResultCode.UPSTREAM_FAILED, "No other instance has capacity.")
        if found.reason == VERSION_GONE:
            code = ResultCode.STREAM_VERSION_GONE
        elif found.reason in ("queue", WITHHELD):
            code = ResultCode.QUEUE_FULL
        else:
            code = ResultCode.NO_UPSTREAM
        detail = f"{found.reason}: {found.detail}" if found.detail else found.reason
        if found.reason == "queue" and isinstance(self._target, EngineTarget):
            refusal = self._target.turn_away()
            if refusal is not None:
                return self._room_refusal(self._target, refusal, detail)
        left_s = self._deadline - trio.current_time()
        estimate_s = self._parts.retry_delay_s(
            self._target.upstream,
            found.retry_after_s,
            found.spacing_s,
            left_s * MAX_RETRY_AFTER_SHARE,
        )
        return refuse(code, detail, self._retry_after_s(estimate_s))

    def _retry_after_s(self, estimate_s: float) -> float:
        """Clamp an estimated retry-after time to a share of the time left."""
        left_s = self._deadline - trio.current_time()
        estimate_s = max(MIN_RETRY_AFTER_S, estimate_s)
        return max(0.01, min(estimate_s, left_s * MAX_RETRY_AFTER_SHARE))

    # One attempt.

    async def _attempt(self, attempt: ForwardAttempt) -> None:
        """Send the request to one instance and relay its answer."""
        parts, placement = self._parts, attempt.placement
        instance = placement.instance
        if self._target.is_bound and not await parts.origins.make_current():
            raise NotRunError(STOOD_STILL, sent=False)
        if not parts.state.accepts_requests(instance):
            raise NotRunError("the instance is leaving", sent=False)
        if not self._target.may_run(instance):
            raise NotRunError("not the stream's software version", sent=False)
        self._check_quarantine()
        self._check_budget()
        if not parts.permits.take(instance):
            raise NotRunError("the instance takes no request now", sent=False)
        self._begin_stream(attempt)
        first_at: list[float] = []

        def on_data() -> None:
            parts.health.record_data(instance.incarnation_key)
            attempt.received_at = trio.current_time()
            if not first_at:
                first_at.append(attempt.received_at)
                parts.health.begun(instance.incarnation_key)
                parts.in_flight.begun(AttemptId(attempt.key), attempt.received_at)
                seconds = attempt.received_at - attempt.created_at
                self._target.first_byte(attempt.key, placement, seconds)

        has_ended = False
        with self._track_in_flight(attempt, first_at):
            try:
                await attempt.run(on_data)
                has_ended = True
            except UpstreamError as exc:
                has_ended = True
                if isinstance(exc, BrokenError) and not attempt.via:
                    # An instance that closes a connection reads nothing more from it.
                    self.record_answer(attempt, trio.current_time())
                raise
            finally:
                now = trio.current_time()
                self._retries.unanswered(now, attempt.retry_number)
                attempt.settle(turned_away=False)
                if not attempt.may_have_run:
                    parts.permits.give_back(instance)
                if not has_ended:
                    # Cancelled, because the caller left or the deadline passed, or
                    # failed otherwise: log which instance had the request.
                    self._earlier_may_have_run |= attempt.may_have_run
                    if attempt.given_up is None:
                        self._record_attempt(attempt, "abandoned", attempt.created_at)
        self._earlier_may_have_run = True
        parts.health.succeeded(instance.incarnation_key)
        parts.quarantine.clear(self._digest, self._part_digests)
        self._record_attempt(attempt, "ok", attempt.created_at)

    def _check_quarantine(self) -> None:
        """Refuse a request that was quarantined while it waited."""
        refusal = self._quarantine_refusal()
        if refusal is None:
            return
        if self._caller.started:
            raise StreamCutError(refusal.detail)
        if self.may_have_run:
            raise refuse(ResultCode.UPSTREAM_FAILED, refusal.detail)
        raise RequestRefusedError(refusal)

    def _begin_stream(self, attempt: ForwardAttempt) -> None:
        """Make known which software version is about to run the stream.

        Its first event binds it to that version; until then another one may run it.
        """
        target, origins = self._target, self._parts.origins
        if target.stream_key is None:
            return
        instance, relay = attempt.placement.instance, attempt.relay
        version = target.software_version
        if version is not None:
            # An event of another version, once sent, can't be taken back.
            relay.check_source = partial(self._check_source, instance, version)
            return
        relay.on_begin = partial(self._bind_stream, instance)
        self._announced = instance
        origins.began(target.stream_key, instance, self._route)

    def _bind_stream(self, instance: ForwardInstance) -> None:
        """Keep the stream at the version of the instance that wrote its first event."""
        key, origins = self._target.stream_key, self._parts.origins
        if key is not None and self._announced is not instance:
            # The other attempt was announced later, and may run another version.
            origins.began(key, instance, self._route)
        self._target.bind(instance.software_version)
        if key is not None:
            origins.first_event(key)

    def _check_source(self, instance: ForwardInstance, version: str) -> None:
        if self._parts.origins.has_changed(instance, version):
            detail = f"{instance.instance} restarted with another software version"
            raise BrokenError(detail, sent=True)

    @contextmanager
    def _track_in_flight(
        self, attempt: ForwardAttempt, first_at: list[float]
    ) -> Iterator[None]:
        """Track an attempt as in flight while the context is active."""
        parts, placement, key = self._parts, attempt.placement, attempt.key
        instance = placement.instance
        incarnation = Incarnation(InstanceId(instance.instance), instance.born_ms)
        sent_at = trio.current_time()
        tracked = InFlightAttempt(
            AttemptId(key),
            incarnation,
            self._digest,
            part_digests=self._part_digests,
            sent_at=sent_at,
        )
        parts.in_flight.begin(tracked)
        parts.health.started(instance.incarnation_key)
        self._target.sent(key, placement)

        def leave_place() -> None:
            begun_at = first_at[0] if first_at else None
            attempt.part_request = PartRequest(self._part_digests, sent_at, begun_at)
            parts.health.ended(instance.incarnation_key, has_begun=bool(first_at))
            self._target.ended(key, placement, has_first_token=bool(first_at))

        # Its place at the instance is free while its end is judged. It stays a suspect,
        # since the process may be found to have crashed.
        try:
            with ExitStack() as place:
                place.callback(leave_place)
                attempt.on_answer_end = place.close
                yield
        finally:
            parts.in_flight.end(AttemptId(key))

    # Failure handling.

    def _handle_move(self, attempt: ForwardAttempt, exc: RunMovedError) -> None:
        """Count a run that was interrupted, since another attempt goes on with it."""
        self._earlier_may_have_run = True
        self._record_attempt(attempt, "moved" if exc.is_copied else "restarted", None)
        if not exc.is_copied:
            self._avoid.add(attempt.placement.instance.incarnation_key)
            self._n_runs += 1

    def _has_attempt_left(self, n_more: int = 0) -> bool:
        return self._n_runs + n_more < self._route.max_attempts

    async def _handle_failure(
        self, attempt: ForwardAttempt, exc: UpstreamError
    ) -> bool:
        """Handle a failed attempt; return whether the caller has been answered.

        False requests another attempt.
        """
        if isinstance(exc, RunMovedError):
            self._handle_move(attempt, exc)
            return False
        await self._account_for(attempt, exc)
        if attempt.n_events and isinstance(exc, BrokenError):
            await self._confirm_version(attempt, exc)
        if self._race.has_successor or self._next_placement is not None:
            # Checked and charged when it was reserved.
            return False
        if isinstance(exc, NotRunError):
            if self._caller.started:
                await self._charge_rest()
            else:
                self._charge_or_refuse(exc)
            return False
        if isinstance(exc, ConnectFailedError):
            if self._n_unreached > MAX_UNREACHED:
                self._refuse_not_run(ResultCode.NO_UPSTREAM, exc)
            return False
        if isinstance(exc, WithdrawnError) and self._may_repeat():
            return await self._repeat_withdrawn(exc)
        if self._may_repeat() and self._charge_repeat():
            return False
        return await self._fail_request(exc)

    async def _confirm_version(self, attempt: ForwardAttempt, exc: BrokenError) -> None:
        """Cut a stream unless the version that has begun it is known.

        Its instance may have restarted with other software just before, so that its
        events are not those of the version in the entry. The process that answers now
        tells; one that has ended since is taken for that of the entry.
        """
        check, origins = self._parts.incarnations, self._parts.origins
        key, instance = self._target.stream_key, attempt.placement.instance
        if check is None or key is None or attempt.via:
            return
        was_checked = not isinstance(exc, WrongAnswerError)
        if was_checked and self._listening != instance.incarnation_key:
            return
        if not origins.has_begun(key, instance):
            return
        started_ms = await check.restarted_ms(instance)
        if started_ms and not await origins.confirm(key, instance, started_ms):
            detail = f"nothing tells which version {instance.instance} ran"
            raise StreamCutError(detail)

    async def _account_for(
        self, attempt: ForwardAttempt, exc: UpstreamError, goes_on: bool = False
    ) -> bool:
        """Count a failed attempt, and report what it tells of its instance.

        ``goes_on`` tells that the attempt that it stood by for goes on. Return whether
        it counts as a run.
        """
        placement = attempt.placement
        if attempt.given_up is None:
            self._report_health(attempt, exc)
        elif isinstance(attempt.given_up, SupersededError):
            # Counted when it was given up.
            return True
        self._avoid.add(placement.instance.incarnation_key)
        if not isinstance(exc, NotRunError):
            self._earlier_may_have_run |= attempt.may_have_run
        if placement.continue_from and not goes_on:
            # The copy could not be used, so the next attempt is another run.
            self._n_runs += 1
        if isinstance(exc, NotRunError):
            self._n_not_run += 1
            return False
        if isinstance(exc, ConnectFailedError):
            self._n_unreached += 1
            return False
        if isinstance(exc, WithdrawnError | UnconfirmedEndError):
            # An engine begins a request with its first token, so this was no run.
            return False
        self._n_runs += 1
        if isinstance(exc, ServerFailureError):
            self._last_failure = exc
        if isinstance(exc, BrokenError) and not isinstance(exc, WrongAnswerError):
            await self._check_for_crash(attempt)
        return True

    async def _repeat_withdrawn(self, exc: WithdrawnError) -> bool:
        """Charge another attempt in place of one that this router has ended itself."""
        if self._caller.started:
            await self._charge_rest()
            self._job.usage.repeat_always()
            return False
        return not self._charge_repeat() and await self._fail_request(exc)

    def _may_repeat(self, n_more: int = 0) -> bool:
        """Return whether another run may follow ``n_more`` that are not counted yet."""
        return (
            self._route.may_run_again
            and self._has_attempt_left(n_more)
            and self._sent_answer.may_resume
            and self._quarantine_refusal() is None
        )

    def _quarantine_refusal(self) -> Refusal | None:
        """Return a refusal if the request, or a part of its prompt, is quarantined."""
        quarantine = self._parts.quarantine
        return quarantine.refusal(self._digest) or quarantine.part_refusal(
            self._part_digests
        )

    # What its attempts ask.

    def claim(self, attempt: ForwardAttempt) -> None:
        """Have an attempt answer the caller, and end the other one."""
        loser = self._race.claim(attempt)
        if loser is None or loser.given_up is None:
            return
        self._report_health(loser, loser.given_up)
        self._earlier_may_have_run |= loser.may_have_run
        if isinstance(loser.given_up, SupersededError):
            # At once, since the winner may fail before the loser has ended.
            self._n_runs += 1

    def is_last(self, attempt: ForwardAttempt) -> bool:
        """Return whether no other attempt may follow this one."""
        lead = self._race.lead
        stands_by = lead is not None and lead is not attempt
        if stands_by and self._race.is_moving and attempt.placement.continue_from:
            # Both are one run, unless the lead fails.
            stands_by = False
        n_more = 1 + (self._n_runs_of(lead.placement) if stands_by else 0)
        return not self._has_attempt_left(n_more)

    def charge_move(self, attempt: ForwardAttempt) -> bool:
        """Charge the move of a run to another engine; return whether it may move."""
        may_move = self._sent_answer.may_resume and not self.is_last(attempt)
        return may_move and self._charge_budget()

    def may_move(self, attempt: ForwardAttempt) -> bool:
        """Return whether a run has begun to answer, and no other attempt is open."""
        has_begun = self._caller.started and self._sent_answer.may_resume
        is_alone = attempt is self._race.lead and self._race.standby is None
        goes_on = not attempt.relay.has_ended
        n_in_vain = max(
            self._n_not_run - MAX_NOT_RUN, self._n_unreached - MAX_UNREACHED
        )
        return has_begun and goes_on and is_alone and n_in_vain <= 0

    def open_move(self, placement: Placement) -> Successor:
        """Send an attempt, charged before, that continues a run from its copy."""
        successor = Successor()
        self._start_standby(placement, successor)
        return successor

    def open_restart(self, attempt: ForwardAttempt) -> Successor | None:
        """Choose, charge and send an attempt that prefills a run again elsewhere."""
        if not self._may_repeat(self._n_runs_of(attempt.placement)):
            return None
        own_key = attempt.placement.instance.incarnation_key
        for avoid in ({*self._avoid, own_key}, {own_key}):
            found = self._target.choose(avoid, math.inf)
            if isinstance(found, Placement):
                is_soon = found.estimate_s <= self._job.hold_s
                may_begin = is_soon and self._may_begin(found) and self._charge_repeat()
                return self.open_move(found) if may_begin else None
        return None

    def record_answer(self, attempt: ForwardAttempt, at: float) -> None:
        """Record that the head of an attempt's answer has arrived."""
        self._retries.answered(at, attempt.retry_number)

    def reserve_retry(self, attempt: ForwardAttempt) -> bool:
        """Reserve and charge another attempt; return False if none can follow.

        It stands by for a silent attempt that may still go on. Otherwise the silent one
        ends, only once this has returned True.
        """
        if self._next_placement is not None:
            # Reserved when the attempt went on at the same moment.
            return True
        if self._race.standby is not None or attempt is not self._race.lead:
            return False
        if self._n_unreached > MAX_UNREACHED:
            return False
        if not self._may_repeat(self._n_runs_of(attempt.placement)):
            return False
        placement = self._choose_other(attempt)
        if placement is None or not self._charge_repeat():
            return False
        if attempt.is_raced:
            self._start_standby(placement)
        else:
            self._next_placement = placement
        return True

    def _start_standby(
        self, placement: Placement, successor: Successor | None = None
    ) -> None:
        nursery = self._job.watch.nursery
        assert nursery is not None
        self._n_tasks += 1
        attempt = self._make_attempt(placement)
        lead = self._race.lead
        if successor is not None and lead is not None:
            attempt.relay.wait_to_lead = successor.begin
            # It goes on after what the caller has now.
            lead.relay.hold()
        nursery.start_soon(self._run_standby, self._race.open(attempt, successor))

    def _end_successor(self, is_complete: bool) -> bool:
        """End the attempt to which the run is being moved, unless it leads.

        Return whether the run goes on itself.
        """
        standby = self._race.standby
        if standby is None or standby.successor is None:
            return True
        attempt = standby.attempt
        if attempt.given_up is None:
            if standby.successor.has_begun and not is_complete:
                return False
            attempt.give_up(SupersededError, "the run went on where it was")
            assert attempt.given_up is not None
            self._report_health(attempt, attempt.given_up)
            self._earlier_may_have_run |= attempt.may_have_run
            self._avoid.add(attempt.placement.instance.incarnation_key)
            # Its first event may be on its way.
            self._n_runs += isinstance(attempt.given_up, SupersededError)
        return True

    def _may_begin(self, placement: Placement) -> bool:
        """Return whether an attempt can begin before the deadline."""
        begins_at = trio.current_time() + placement.estimate_s
        return begins_at < self._deadline and self._target.may_take(placement)

    @staticmethod
    def _n_runs_of(placement: Placement) -> int:
        """Return the runs that an attempt counts as once it has failed.

        One that continued from a copy counts as two.
        """
        return 2 if placement.continue_from else 1

    def _choose_other(self, attempt: ForwardAttempt) -> Placement | None:
        """Return a placement that can begin in place of a silent one, or None."""
        now = trio.current_time()
        objective_left_s = self._objective_left_s(now, is_retry=True)
        silent_key = attempt.placement.instance.incarnation_key
        choices: list[Collection[IncarnationKey]]
        if attempt.is_raced:
            upstream, silent_s = self._target.upstream, attempt.silent_s
            view = view_silence(self._parts, upstream, attempt.placement.instance)
            if not view.may_replace(self._parts.standbys[upstream], silent_s):
                return None
            unfit = {silent_key, *view.unfit(silent_s)}
            choices = [
                {*self._avoid, *unfit, *view.unknown},
                {*self._avoid, *unfit},
                unfit,
            ]
        else:
            # A call can hang on an instance that answers the next one.
            choices = [{*self._avoid, silent_key}, {silent_key}, set()]
        for avoid in choices:
            found = self._target.choose(avoid, objective_left_s)
            if isinstance(found, Placement):
                return found if self._may_begin(found) else None
        return None

    async def _charge_rest(self) -> None:
        """Wait until the rest of an answer that has begun may be asked for again.

        Refusals cost the caller nothing but time, and without the rest all of the
        answer is lost.
        """
        if self._n_not_run > MAX_NOT_RUN:
            await trio.sleep(RESERVE_INTERVAL_S)
        while not self._charge_budget():
            await trio.sleep(RESERVE_INTERVAL_S)

    def _charge_or_refuse(self, exc: UpstreamError) -> None:
        """Charge the retry budget for a retry after a "not run" refusal, or refuse."""
        if self._n_not_run > MAX_NOT_RUN or not self._charge_budget():
            self._refuse_not_run(ResultCode.UPSTREAM_REFUSED, exc)

    def _refuse_not_run(self, code: ResultCode, exc: UpstreamError) -> None:
        """Refuse a request whose last attempt did not run.

        If an earlier attempt may have run it, the refusal reports a failed upstream.
        """
        if self._caller.started:
            raise StreamCutError(f"no instance accepted the rest of the stream: {exc}")
        if self.may_have_run:
            raise refuse(ResultCode.UPSTREAM_FAILED, str(exc))
        raise refuse(code, str(exc), self._retry_after_s(NO_INSTANCE_RETRY_S))

    def _charge_repeat(self) -> bool:
        """Charge another run to the retry budget and to the account."""
        if not self._charge_budget():
            return False
        if self._is_repeat_unused:
            self._is_repeat_unused = False
            return True
        if self._caller.started:
            # Its answer has begun; without the rest, all of it is lost.
            self._job.usage.repeat_always()
            return True
        return self._job.usage.repeat()

    def _charge_budget(self) -> bool:
        """Charge the next attempt to the retry budget, unless it is charged already."""
        if self._retries.has_unused:
            return True
        upstream, request_id = self._target.upstream, self._job.req.request_id
        charge = self._parts.charge_retry(upstream, request_id)
        if charge is not None:
            self._retries.charged(charge)
        return charge is not None

    def _check_budget(self) -> None:
        """Raise ``NotRunError`` if the allowance has fallen since the charge.

        A request may wait for its placement while others stop coming.
        """
        budget = self._parts.budget(self._target.upstream)
        if self._retries.has_unused and not budget.is_within(
            trio.current_time(), self._parts.n_sharing
        ):
            self._retries.drop_unused()
            raise NotRunError("the retry budget is spent", sent=False)

    def check_sending(self, attempt: ForwardAttempt) -> None:
        """Refuse a request that was taken in time and would be sent too late.

        Nothing has run it yet, so the caller may go to another router.

        Raise ``NotRunError`` for a stream that is bound to a software version if this
        process has stood still since it last read the instances, and
        ``CallerGoneError`` if the caller has left, as it may have while this process
        stood still or had too much to do.
        """
        if not self.may_have_run and self._caller.has_left:
            raise CallerGoneError("the caller left before its request was sent")
        if self._target.is_bound and not self._parts.origins.is_current:
            raise NotRunError(STOOD_STILL, sent=False)
        admission = self._job.admission
        if admission is not None and not (self.may_have_run or self._caller.started):
            estimate_s = attempt.placement.estimate_s
            admission.check(
                self._job.req, self._route, self._deadline, lambda: estimate_s
            )

    def record_sent(self, attempt: ForwardAttempt) -> None:
        """Record that the first byte of an attempt is about to be sent."""
        self._caller.sent_route = self._route.name
        key, instance = self._target.stream_key, attempt.placement.instance
        if key is not None and not self._target.is_bound:
            self._parts.origins.sent(key, instance)
        attempt.retry_number = self._retries.sent()
        charge = self._retries.last_charge
        if self._retries.n_sent > 1:
            self._parts.record_retry_sent(
                self._target.upstream,
                self._job.req.request_id,
                attempt.placement.instance.instance,
                charge.charged_at if charge else None,
            )

    async def _fail_request(self, exc: UpstreamError) -> bool:
        """End a failed request that may have run."""
        is_silent = isinstance(exc, SilentError)
        if self._caller.started:
            reason = CutReason.SILENCE if is_silent else CutReason.UPSTREAM
            raise StreamCutError(str(exc), reason)
        if isinstance(exc, ServerFailureError):
            await self._relay_failure(exc)
            return True
        code = ResultCode.UPSTREAM_TIMEOUT if is_silent else ResultCode.UPSTREAM_FAILED
        raise RequestRefusedError(Refusal(code, str(exc)))

    async def _relay_failure(self, failure: ServerFailureError) -> None:
        """Relay the upstream's own error response to the caller.

        Raise ``RequestRefusedError`` if the caller may not get its status.
        """
        if not failure.may_pass_on:
            detail = f"An instance that may have run it answered: {failure}."
            raise refuse(ResultCode.OUTCOME_UNKNOWN, detail)
        try:
            await failure.confirm_end()
        except BrokenError as exc:
            raise refuse(ResultCode.UPSTREAM_FAILED, str(exc)) from exc
        self._caller.result = ResultCode.UPSTREAM_FAILED
        head, headers = failure.head, list(failure.head.headers)
        await self._caller.answer(
            head.status, headers, failure.body, failure.ends_by_close
        )

    def _report_health(self, attempt: ForwardAttempt, exc: UpstreamError) -> None:
        """Report a failed attempt to the health table, and record it for the log."""
        placement = attempt.placement
        is_unanswered = attempt.began_ms is None
        if isinstance(exc, ConnectFailedError | BrokenError) and is_unanswered:
            is_gone = isinstance(exc, ConnectFailedError) and exc.refused
            self._parts.origins.record_doubt(placement.instance, is_gone)
        elif isinstance(exc, BrokenError) and not isinstance(exc, WrongAnswerError):
            self._parts.origins.record_break(placement.instance)
        health = self._parts.health
        incarnation_key = placement.instance.incarnation_key
        outcome = type(exc).__name__.removesuffix("Error").lower()
        is_own_path = not attempt.via and self._parts.paths.is_cut(placement.instance)
        if isinstance(exc, UNBLAMED):
            pass
        elif is_own_path and not isinstance(exc, ConnectFailedError):
            # A connection that this router has lost says nothing about the instance.
            pass
        elif isinstance(exc, ServerFailureError):
            health.record_error_answer(incarnation_key)
        elif isinstance(exc, ConnectFailedError):
            verdict = Verdict.CONDEMNED if exc.refused else Verdict.FAILURE
            health.failed(incarnation_key, verdict)
            self._target.unreached(placement)
        elif not attempt.has_reported_silence:
            is_excess = isinstance(exc, AnswerTooLongError)
            verdict = Verdict.EXCESS if is_excess else Verdict.FAILURE
            health.failed(incarnation_key, verdict)
        self._record_attempt(attempt, outcome, None, str(exc))

    async def _check_for_crash(self, attempt: ForwardAttempt) -> None:
        """Report a crash if the instance no longer listens.

        All requests in flight on it become suspects.
        """
        parts, placement = self._parts, attempt.placement
        instance = placement.instance
        self._listening = None
        name = InstanceId(instance.instance)
        suspects = (*parts.in_flight.suspects(name), self._digest)
        begun = parts.in_flight.part_requests(name)
        if attempt.part_request is not None:
            begun.append(attempt.part_request)
        suspected_parts = suspect_parts(begun, trio.current_time())
        try:
            conn = await parts.transport.pool.take(
                instance.address, fresh=True, connect_s=LIVENESS_CHECK_TIMEOUT_S
            )
        except ConnectFailedError as exc:
            if not exc.refused:
                return
            tunnels = parts.tunnels
            if tunnels is None or not await tunnels.reaches(instance):
                self._target.crashed(placement)
                parts.quarantine.report_crash(
                    name, instance.born_ms, suspects, suspected_parts
                )
            return
        self._listening = instance.incarnation_key
        await conn.close()

    def _record_attempt(
        self,
        attempt: ForwardAttempt,
        outcome: str,
        started_at: float | None,
        detail: str = "",
    ) -> None:
        took_s = trio.current_time() - (started_at or self._caller.arrived_at)
        fields: dict[str, Any] = {}
        placement = attempt.placement
        choice = placement.choice
        if choice is not None:
            fields.update(
                wait_ms=round(choice.wait_s * 1000),
                n_missing=choice.n_missing,
                weights=choice.view.weights_version,
                fetch_from=choice.fetch_from,
            )
        if attempt.sent_at is not None:
            age_s = attempt.sent_at - (choice.view.replaced_at if choice else math.inf)
            fields.update(
                weights_age_ms=round(age_s * 1000) if math.isfinite(age_s) else None,
                began_ms=attempt.began_ms,
                n_events=attempt.n_events,
                resume_after=attempt.resume_after,
                first_event=attempt.relay.first_number,
                last_event=attempt.relay.last_number,
                n_repeated=attempt.relay.n_repeated,
                framing=attempt.relay.framing,
                has_ended=attempt.relay.has_ended,
                end=attempt.end,
                end_age_ms=attempt.end_age_ms,
                ended_leaving=attempt.ended_leaving,
                was_moving=attempt.relay.was_moving,
                silent_ms=attempt.silent_ms,
                left_ms=round((self._deadline - trio.current_time()) * 1000),
                via=attempt.via,
            )
        record = AttemptRecord(
            placement.instance.instance,
            outcome,
            round(took_s * 1000),
            round(placement.estimate_s * 1000),
            detail,
            software=placement.instance.software_version,
            **fields,
        )
        self.attempt_records.append(record)
        is_repeat = attempt.number > 1
        self._parts.metrics.attempt_ended(outcome, is_repeat)
        self._parts.metrics.events_repeated(attempt.relay.n_repeated)
        if attempt.relay.has_ended:
            self._parts.metrics.answer_ended(attempt.relay.framing, outcome)
        if is_repeat and choice is not None:
            self._parts.metrics.prompt_read_again(choice.n_missing)
