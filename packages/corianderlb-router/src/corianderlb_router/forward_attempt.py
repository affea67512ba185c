"""Send one request to one instance and relay its answer."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import field
from functools import partial
from typing import Final

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardRoute, RepeatKind
from corianderlb_core.quarantine import PartRequest
from corianderlb_core.result import NOT_RUN_STATUSES

from .answer_end import STAY_S, AnswerEnd
from .caller_memory import Arrival
from .caller_run import RequestWatch
from .connection import (
    BrokenError,
    ConnectFailedError,
    Connector,
    OutgoingRequest,
    SilentError,
    UpstreamError,
)
from .fleet_usage import UsageCharge
from .forward_caller import ForwardCaller
from .forward_parts import ForwardParts
from .forward_relay import (
    RESERVE_INTERVAL_S,
    EventRelay,
    ProcessEndedError,
    Relay,
    SentAnswer,
    UnknownEndError,
    WholeRelay,
    WrongAnswerError,
    read_whole,
)
from .forward_request import ForwardRequest, UpstreamHead
from .forward_target import WITHDRAW_MARGIN_S, Placement, Target
from .health_table import LONG_SILENCE_S
from .peer_tunnel import NoTunnelError, OpenedConnector
from .run_mover import RunMover, Successor
from .stop_admission import StopAdmission
from .transport import Answer, Exchange, SendSettings

RETRY_SHARE: Final = 0.6
"""Share of the objective after which an unanswered attempt of a repeatable call is
cancelled, so that an attempt at another instance still meets the objective."""

RETRY_LATENCY_FACTOR: Final = 4.0
"""Minimum timeout of such an attempt, as a multiple of the estimated latency."""

STREAM_STALL_TIMEOUT_S: Final = 1.2
"""Pause between two events of a stream after which another engine may take over. An
engine without memory for all its streams may preempt the newest for longer."""

HOLD_SHARE: Final = 0.8
"""Share of a route's objective for pauses up to which events are held back while their
run is being moved, so that they are sent within it if it stays where it was."""

UNRESPONSIVE_S: Final = 1.0
"""Time without data on any stream of an engine after which it counts as unresponsive.
A busy engine sends events far more often, also during prefill."""

REFUSAL_S: Final = 0.1
"""Time within which an instance turns away what it has no room for."""

QUESTION_S: Final = 0.3
"""Least time without an answer after which the path to an instance is probed."""

END_MARGIN_S: Final = 0.05
"""Time before the deadline by which an answer must be known to be whole, so that its
last bytes arrive in time."""

END_QUESTION_S: Final = 0.3
"""Time that the question whether an answer is whole may take."""

CALL_STAY_S: Final = 0.35
"""Least time for which a process has to outlive its answer to a call."""

CALL_STAY_SHARE: Final = 0.8
"""Share of a call's objective until which its answer may be held back for that."""

WRITE_TIMEOUT_S: Final = 5.0
"""Timeout for sending a request to an upstream."""

BODY_METHODS: Final = ("POST", "PUT", "PATCH")
"""Methods of which a request states the length of an empty body too."""

NO_HEAD: Final = "no response head in time"
"""Detail of an attempt whose instance has not begun to answer."""

SERVER_ERROR: Final = 500
"""Lowest status that reports a failure of the upstream."""


class NotRunError(UpstreamError):
    """Raised when an instance states that it did not run the request."""


class WithdrawnError(SilentError):
    """Raised when a request is withdrawn because its weights are about to expire.

    The engine may have begun it at the same moment.
    """


class SupersededError(UpstreamError):
    """Raised when an attempt ends because the one that it stood by for goes on."""


class ServerFailureError(UpstreamError):
    """Raised when the upstream itself answers with an error."""

    def __init__(self, head: UpstreamHead, body: bytes, ends_by_close: bool) -> None:
        super().__init__(f"status {head.status}", sent=True)
        self.head = head
        self.body = body
        self.ends_by_close = ends_by_close
        """Whether the body was delimited by connection close."""
        self.may_pass_on = True
        """Whether the caller may get its status."""
        self.confirm_end: Callable[[], Awaitable[None]] = trust_body
        """Called before the body is passed on; raises ``BrokenError`` if it may be a
        part."""


async def trust_body() -> None:
    """Take a body for whole."""


@dataclass(frozen=True)
class ForwardJob:
    """One request, with everything that its attempts need."""

    parts: ForwardParts
    req: ForwardRequest
    route: ForwardRoute
    target: Target
    sent: SentAnswer
    caller: ForwardCaller
    deadline: float
    """Deadline of the request, by the router's clock."""
    body: bytes
    usage: UsageCharge
    """What the request was charged to its account."""
    digest: bytes
    """Digest of account, method, target and body, equal for repeats of a request."""
    part_digests: tuple[bytes, ...] = ()
    """Digests of the shared parts of its prompt."""
    admission: StopAdmission | None = None
    """Decides whether it is still sent while the router stops."""
    watch: RequestWatch = field(default_factory=RequestWatch)
    """Watches the clock for the attempts."""

    def make_relay(self, arrival: Arrival) -> Relay:
        """Return the relay for the answer to one attempt."""
        if self.route.kind is not RepeatKind.STREAM:
            return WholeRelay(self.sent, arrival)
        stall_s = STREAM_STALL_TIMEOUT_S if self.route.may_resume else math.inf
        return EventRelay(self.sent, arrival, stall_s, self.hold_s)

    @property
    def hold_s(self) -> float:
        """Pause of a stream up to which another engine may begin to go on with it."""
        return min(STREAM_STALL_TIMEOUT_S, HOLD_SHARE * self.route.pause_objective_s)


class AttemptOwner(ABC):
    """What an attempt asks of the run of its request."""

    @abstractmethod
    def claim(self, attempt: ForwardAttempt) -> None:
        """Have an attempt answer the caller, and end the other one if there is one.

        Raise an ``UpstreamError`` if the attempt itself has been ended for another.
        """

    @abstractmethod
    def reserve_retry(self, attempt: ForwardAttempt) -> bool:
        """Reserve and charge another attempt in place of a silent one.

        Return False if none can follow.
        """

    @abstractmethod
    def is_last(self, attempt: ForwardAttempt) -> bool:
        """Return whether no other attempt may follow this one."""

    @abstractmethod
    def charge_move(self, attempt: ForwardAttempt) -> bool:
        """Charge the move of a run to another engine; return whether it may move."""

    @abstractmethod
    def may_move(self, attempt: ForwardAttempt) -> bool:
        """Return whether a run has begun to answer, and no other attempt is open."""

    @abstractmethod
    def open_move(self, placement: Placement) -> Successor:
        """Send an attempt, charged before, that continues a run from its copy."""

    @abstractmethod
    def open_restart(self, attempt: ForwardAttempt) -> Successor | None:
        """Choose, charge and send an attempt that prefills a run again elsewhere.

        Return None if no other engine can begin it, or no other attempt may follow.
        """

    @abstractmethod
    def check_sending(self, attempt: ForwardAttempt) -> None:
        """Refuse a request that may not be sent any more."""

    @abstractmethod
    def record_sent(self, attempt: ForwardAttempt) -> None:
        """Record that the first byte of an attempt is about to be sent."""

    @abstractmethod
    def record_answer(self, attempt: ForwardAttempt, at: float) -> None:
        """Record that the head of an attempt's answer has arrived."""


class ForwardAttempt:
    """One attempt of a request at one instance."""

    def __init__(
        self, job: ForwardJob, owner: AttemptOwner, placement: Placement, number: int
    ) -> None:
        self.placement = placement
        self.number = number
        """Number among the attempts of the request, from 1."""
        # Callers may have two requests with the same id open.
        self.key = f"{job.req.request_id}.{next(job.parts.attempt_numbers)}"
        """Key of the attempt among all of the router."""
        self._job = job
        self._owner = owner
        self._parts = job.parts
        self._req = job.req
        self._route = job.route
        self._target = job.target
        self._deadline = job.deadline
        self._arrival = job.parts.memory.open_arrival(
            placement.instance.incarnation_key
        )
        self.relay = job.make_relay(self._arrival)
        self.relay.source = placement.instance.incarnation_key
        self._scope = trio.CancelScope()
        self.given_up: UpstreamError | None = None
        """Why the attempt was ended for another one; None if it was not."""
        self.created_at = trio.current_time()
        self.retry_number = 0
        """Number among the attempts that were sent; 0 if this one was not."""
        self.part_request: PartRequest | None = None
        """When it was sent and begun, for the parts of its prompt; set at its end."""
        self.may_have_run = False
        """Whether the instance may have begun to run the request."""
        self.sent_at: float | None = None
        """Time of sending, by the router's clock."""
        self._head_received_at: float | None = None
        """Time at which the response head arrived."""
        self.received_at: float | None = None
        """Time at which bytes of the body last arrived."""
        self.is_settled = False
        """Whether the permit to send has been settled."""
        self._taken_at = math.inf
        """When a refusal for want of room would have arrived."""
        self.has_reported_silence = False
        """Whether the health table has its silence as a failure."""
        self._is_withdrawn = False
        """Whether the request was withdrawn before its weights expire."""
        self._is_end_recorded = False
        """Whether the end of its answer was recorded to be compared with others."""
        self.on_answer_end: Callable[[], None] = lambda: None
        """Called once the instance has ended its answer, before the end is judged."""
        self.end = ""
        """What ended an answer without a mark of its end: see ``AnswerEnd``."""
        self.end_age_ms: int | None = None
        """Age of that end when it was passed on, or taken for a cut."""
        self.ended_leaving = False
        """Whether the instance was known to be leaving then."""
        self.via = ""
        """The router that carries the connection; empty for a direct one."""
        self._via_confirms = False
        """Whether that router passes on only ends by the instance itself."""

    @property
    def resume_after(self) -> int | None:
        """Number of the event after which the instance was asked to go on."""
        return self.relay.resume_after

    @property
    def n_events(self) -> int:
        """Events that this attempt has added to the answer."""
        return self.relay.n_events

    @property
    def silent_ms(self) -> int | None:
        """Milliseconds since the instance last sent anything; None if it never did."""
        heard_at = self.received_at or self._head_received_at
        if heard_at is None:
            return None
        return round((trio.current_time() - heard_at) * 1000)

    @property
    def silent_s(self) -> float:
        """Time since the instance last sent anything, or was sent the request."""
        heard_at = self.received_at or self._head_received_at or self.sent_at
        return 0.0 if heard_at is None else trio.current_time() - heard_at

    @property
    def began_ms(self) -> int | None:
        """Milliseconds from sending to the response head; None without one."""
        if self.sent_at is None or self._head_received_at is None:
            return None
        return round((self._head_received_at - self.sent_at) * 1000)

    def settle(self, turned_away: bool) -> None:
        """Settle the permit to send, once; a refusal that comes late counts too."""
        if not self.is_settled or turned_away:
            self.is_settled = True
            self._parts.permits.settle(self.placement.instance, turned_away)

    def give_up(self, reason: type[UpstreamError], detail: str) -> None:
        """End the attempt at once; ``run`` raises an error with the reason."""
        if self.given_up is None:
            if self.may_have_run:
                self.given_up = reason(detail, sent=True)
            else:
                detail = "given up before it was sent"
                self.given_up = NotRunError(detail, sent=False)
            self._scope.cancel()

    async def run(self, on_data: Callable[[], None]) -> None:
        """Relay the answer, or raise an ``UpstreamError``."""
        with self._scope:
            try:
                await self._run(on_data)
            finally:
                self._arrival.close()
            return
        assert self.given_up is not None
        raise self.given_up

    async def _run(self, on_data: Callable[[], None]) -> None:
        response = await self._open()
        try:
            head = self._read_head(response)
            await self._relay_answer(head, response.exchange, on_data)
            self._record_whole(has_mark=not response.exchange.ends_by_close)
        except (BrokenError, SilentError) as exc:
            heard_at = self.received_at or self._head_received_at
            is_own = exc is not self.given_up and not isinstance(exc, WrongAnswerError)
            if is_own and isinstance(exc, BrokenError):
                ended_at = trio.current_time() - response.exchange.silent_s
                self._record_end(ended_at, is_marked=False)
            if is_own and heard_at is not None:
                self._doubt_path(heard_at, str(exc))
            raise
        finally:
            await response.exchange.aclose()

    @property
    def is_raced(self) -> bool:
        """Whether the attempt stays open while another one stands by for it.

        Each event of a stream tells that its run goes on. A call that is silent may
        have begun at both instances and would hold a place at each.
        """
        return self._route.kind is RepeatKind.STREAM

    def _reserve_retry(self, since: float, reason: str) -> bool:
        """Reserve another attempt; return whether to give this one up for it at once.

        Its engine may have preempted it, and with no other attempt to follow, what it
        still sends is the best that the caller can get.
        """
        if self.silent_s >= LONG_SILENCE_S and not self.has_reported_silence:
            self.has_reported_silence = True
            self._parts.health.failed(self.placement.instance.incarnation_key)
        if not self._owner.reserve_retry(self):
            return False
        if self.is_raced:
            self._doubt_path(since, reason)
            return False
        return True

    def _reserve_in_answer(self) -> bool:
        since = self.received_at or self._head_received_at
        assert since is not None
        key, now = self.placement.instance.incarnation_key, trio.current_time()
        health = self._parts.health
        has_resumed = health.resumed_since(key, now - STREAM_STALL_TIMEOUT_S)
        if has_resumed and health.stood_beside(key, since):
            # All its streams stood still, and go on one after the other.
            return False
        return self._reserve_retry(since, f"no event for {STREAM_STALL_TIMEOUT_S} s")

    async def _open(self) -> Answer:
        """Send the request and return the response once its head has arrived."""
        try:
            return await self._wait_for_head()
        except UpstreamError as exc:
            self.may_have_run = exc.sent
            raise

    async def _send_request(self, connector: Connector | None = None) -> Answer:
        """Send the request now; its deadline is what is left by now."""
        parts, req = self._parts, self._req
        left_s = self._deadline - trio.current_time()
        terms = self._target.terms(self.placement, left_s)
        headers = parts.protocol.upstream_headers(self._resumed_request(), terms)
        names = {name.lower() for name, _ in headers}
        address = self.placement.instance.address
        if b"host" not in names:
            headers = [(b"Host", address.encode()), *headers]
        body = self._job.body
        if body or req.method in BODY_METHODS:
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        cfg = SendSettings(
            parts.cfg.connect_timeout_s,
            min(WRITE_TIMEOUT_S, max(0.01, left_s)),
            is_fresh=True,
            connector=connector,
            on_send=self._mark_sent,
        )
        request = OutgoingRequest(req.method.encode(), req.target, headers, body)
        return await parts.transport.send(address, request, cfg)

    def _mark_sent(self) -> None:
        self._owner.check_sending(self)
        self.may_have_run = True
        self._owner.record_sent(self)
        self._taken_at = trio.current_time() + REFUSAL_S

    def _resumed_request(self) -> ForwardRequest:
        after = self.relay.resume_after = self._job.sent.last_number
        if after == self._req.resume_after:
            return self._req
        return self._req.resumed(after)

    async def _wait_for_head(self) -> Answer:
        """Wait for the response head, or until another attempt takes over.

        That may happen after a timeout or if the engine is unresponsive.
        """
        self.sent_at = sent_at = trio.current_time()
        with trio.CancelScope() as scope:
            steps = self._watch_send(sent_at, scope)
            self._job.watch.begin(steps)
            try:
                answer = await self._send()
            finally:
                self._job.watch.end(steps)
            self._head_received_at = trio.current_time()
            self._owner.record_answer(self, self._head_received_at)
            return answer
        if not self._is_withdrawn:
            self._doubt_path(sent_at, NO_HEAD)
        if not self.may_have_run:
            raise NotRunError("given up before it was sent", sent=False)
        if self._is_withdrawn:
            raise WithdrawnError("withdrawn before its weights expired", sent=True)
        raise SilentError(NO_HEAD, sent=True)

    def _watch_send(self, sent_at: float, scope: trio.CancelScope) -> Iterator[float]:
        """Cancel the scope of a request once it is withdrawn or another takes over.

        Meanwhile settle the permit once a refusal for want of room would have arrived,
        and have the path probed if nothing arrives. Yields when to look again.
        """
        limit_s = self._head_timeout_s()
        check_s = min(limit_s, UNRESPONSIVE_S)
        check_at, settle_at = sent_at + check_s, sent_at + REFUSAL_S
        question_at = sent_at + max(QUESTION_S, 2 * self.placement.estimate_s)
        while True:
            now, withdraws_at = trio.current_time(), self._withdraws_at()
            if now >= withdraws_at:
                self._is_withdrawn = True
                break
            if now >= settle_at:
                if now >= self._taken_at:
                    self.settle(turned_away=False)
                    settle_at = math.inf
                else:
                    settle_at = min(self._taken_at, now + REFUSAL_S)
            if now >= question_at:
                self._question_path(sent_at)
                question_at = math.inf
            if now >= check_at:
                is_late = now >= sent_at + limit_s
                if is_late or self._is_unresponsive(sent_at):
                    if self._reserve_retry(sent_at, NO_HEAD):
                        break
                    check_s = RESERVE_INTERVAL_S
                check_at = now + check_s
            yield min(withdraws_at, settle_at, question_at, check_at)
        scope.cancel()

    async def _send(self) -> Answer:
        """Send the request directly, or through a peer if that is the only way.

        A connection that fails leaves nothing sent, so the other way may follow at
        once; after a byte was sent, the failure is that of the attempt.
        """
        paths, instance = self._parts.paths, self.placement.instance
        if paths.is_cut(instance):
            try:
                return await self._send_via_peer()
            except NoTunnelError:
                # A direct connection fails as before, or shows that the path is back.
                return await self._send_directly()
        try:
            return await self._send_directly()
        except ConnectFailedError as exc:
            if not paths.is_cut(instance):
                raise
            try:
                return await self._send_via_peer()
            except NoTunnelError:
                raise exc from None

    async def _check_incarnation(self) -> None:
        """Raise ``NotRunError`` if its stream can't go on or begin at the instance.

        It has restarted since its entry was read, and may run other software. A new
        stream asks only while the entry may be old: a question for each would cost a
        connection, though few of them go on anywhere.
        """
        parts, instance = self._parts, self.placement.instance
        check, target = parts.incarnations, self._target
        if check is None or not instance.born_ms or target.stream_key is None:
            return
        seen_at = check.seen_at(instance)
        if target.is_bound or parts.origins.may_have_restarted(instance, seen_at):
            if await check.has_restarted(instance):
                parts.origins.record_doubt(instance, is_gone=True)
                raise NotRunError("the instance has restarted", sent=False)

    async def _send_directly(self) -> Answer:
        await self._check_incarnation()
        started_at = trio.current_time()
        try:
            response = await self._send_request()
        except (ConnectFailedError, BrokenError) as exc:
            self._doubt_path(started_at, str(exc))
            raise
        self._parts.paths.answered(self.placement.instance, started_at)
        return response

    async def _send_via_peer(self) -> Answer:
        """Send the request through a peer; raise ``NoTunnelError`` without any."""
        if self._parts.tunnels is None:
            raise NoTunnelError("no other router can be asked")
        instance = self.placement.instance
        try:
            tunnel = await self._parts.tunnels.open(instance)
        except ConnectFailedError:
            self._parts.paths.found_down(instance)
            raise
        self.via, self._via_confirms = tunnel.peer, tunnel.confirms_end
        try:
            return await self._send_request(OpenedConnector(tunnel))
        except ConnectFailedError:
            await tunnel.aclose()
            raise

    def _doubt_path(self, since: float, reason: str) -> None:
        """Report that the instance did not answer directly since a time."""
        if not self.via:
            self._parts.paths.failed(self.placement.instance, since, reason)

    def _question_path(self, sent_at: float) -> None:
        """Have the path probed if nothing else comes from the instance either."""
        key = self.placement.instance.incarnation_key
        if not self.via and not self._parts.health.received_since(
            key, max(sent_at, trio.current_time() - QUESTION_S)
        ):
            self._parts.paths.question(self.placement.instance)

    def _withdraws_at(self) -> float:
        """Return when to withdraw the request if the engine has not begun it.

        It changes when a newer version is announced, so it is not cached.
        """
        return self._target.begin_before(self.placement) - WITHDRAW_MARGIN_S

    def _head_timeout_s(self) -> float:
        """Return the time after which another attempt may take over a call."""
        if not self._route.is_repeatable:
            return math.inf
        return max(
            RETRY_SHARE * self._route.objective_s,
            RETRY_LATENCY_FACTOR * self.placement.estimate_s,
        )

    def _is_unresponsive(self, sent_at: float) -> bool:
        """Return whether the engine is unresponsive and the request may be resumed."""
        if self._route.kind is not RepeatKind.STREAM or not self._route.may_resume:
            return False
        now = trio.current_time()
        silence_limit_s = max(UNRESPONSIVE_S, 2 * self.placement.estimate_s)
        if now - sent_at < silence_limit_s:
            return False
        if not self.via and self._parts.paths.is_cut(self.placement.instance):
            # What other requests receive from it takes another way.
            return True
        key = self.placement.instance.incarnation_key
        return not self._parts.health.received_since(key, now - silence_limit_s)

    def _read_head(self, response: Answer) -> UpstreamHead:
        """Parse and validate the response head."""
        parts = self._parts
        head = parts.protocol.read_head(self._req, response.status, response.headers)
        parts.health.record_data(self.placement.instance.incarnation_key)
        if not head.is_ours:
            raise WrongAnswerError("the answer belongs to another request", sent=True)
        other = head.instance not in ("", self.placement.instance.instance)
        if head.is_misdirected and other:
            # Another instance now uses the address, so the request has not run.
            parts.state.mark_leaving(self.placement.instance, "address_reused")
            raise NotRunError("another instance uses the address", sent=False)
        if not other:
            parts.permits.observe(self.placement.instance, head.signals, self.sent_at)
            self.settle(turned_away=head.not_run)
            self._target.reported(self.placement, head.load)
        self._target.head(self.key, self.placement, head)
        if head.not_run:
            raise NotRunError(f"refused with status {head.status}", sent=False)
        if head.is_encoded or (head.status < 300 and not head.is_sealed):
            raise WrongAnswerError("the answer is encoded or lacks its seal", sent=True)
        return head

    @property
    def _is_engine(self) -> bool:
        return self.placement.choice is not None

    async def _relay_answer(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay an answer; a run that may be resumed can move to another engine."""
        self.relay.framing = exchange.framing
        copier = self._parts.copier
        may_move = self._route.kind is RepeatKind.STREAM and self._route.may_resume
        is_last = self._owner.is_last(self)
        if copier is None or not may_move or is_last or not self._is_engine:
            await self._relay_or_fail(head, exchange, on_data)
            return
        mover = RunMover(
            copier,
            self._parts.engines.weights,
            self._target,
            self,
            self._owner,
            self._req.request_id,
        )

        async def relay_answer() -> None:
            try:
                await self._relay_or_fail(head, exchange, on_data)
            finally:
                # The run must have ended before another attempt answers, or an unused
                # copy of it is freed.
                await exchange.aclose()

        await mover.relay(relay_answer)

    async def _relay_or_fail(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay an answer, or raise ``ServerFailureError`` for a failure."""
        if head.status < 300:
            self.relay.reserve_retry = self._reserve_in_answer
            self.relay.claim = self._claim
            self.relay.confirm_end = self._confirm_end
            await self.relay.relay_answer(head, exchange, on_data)
            return
        if not self._is_failure(head) and not self._job.caller.started:
            relay = WholeRelay(self._job.sent, self._arrival)
            relay.claim = self._claim
            relay.confirm_end = self._confirm_end
            await relay.relay_answer(head, exchange, on_data)
            return
        body = await read_whole(exchange, on_data, self._arrival)
        failure = ServerFailureError(head, body, exchange.ends_by_close)
        failure.may_pass_on = self._may_pass_on(head)
        if exchange.ends_by_close:
            ended_at = trio.current_time() - exchange.silent_s
            try:
                await self._judge_end(ended_at, 0.0)
            except UnknownEndError as exc:
                # Its head tells that the instance has failed, however it has ended.
                raise BrokenError(str(exc), sent=True) from exc
            # Another attempt may follow meanwhile.
            failure.confirm_end = partial(self._judge_end, ended_at, CALL_STAY_S)
        if not self._job.caller.started:
            self._job.caller.hold_answer(len(body))
        raise failure

    def _is_failure(self, head: UpstreamHead) -> bool:
        """Return whether an answer other than a success ends the attempt as failed.

        The upstream has failed, another instance may take the request, or the caller
        may not get the status.
        """
        is_error = head.status >= SERVER_ERROR or head.is_misdirected
        return is_error or not self._may_pass_on(head)

    def _may_pass_on(self, head: UpstreamHead) -> bool:
        """Return whether the caller may get the status of an answer.

        The instance has not stated that the request did not run, so the status must
        not say so where the caller would send again what may run only once.
        """
        return self._route.may_run_again or head.status not in NOT_RUN_STATUSES

    async def _confirm_end(self, exchange: Exchange) -> None:
        """Raise unless the instance itself has ended an answer that has no mark of it.

        The events of a stream are with its caller already. The answer to a call is held
        back within its objective, unless a missing mark is unusual.
        """
        stay_s, ends = STAY_S, self._parts.end_announcements
        is_usual = ends is None or not ends.marks_ends(self.placement.instance)
        if is_usual and self._route.kind is not RepeatKind.STREAM:
            due_at = self._job.caller.arrived_at
            due_at += CALL_STAY_SHARE * self._route.objective_s
            stay_s = min(STAY_S, max(CALL_STAY_S, due_at - trio.current_time()))
        await self._judge_end(trio.current_time() - exchange.silent_s, stay_s)

    def _record_whole(self, has_mark: bool) -> None:
        """Record the end of a whole answer, whatever has shown that it is whole."""
        if self._parts.end_announcements is not None:
            instance = self.placement.instance
            self._parts.end_announcements.record_framing(instance, has_mark)
        self._record_end(trio.current_time(), is_marked=True)

    def _record_end(self, ended_at: float, is_marked: bool) -> None:
        """Record the end of the answer, to be compared with that of others.

        What a peer carries ends late.
        """
        ends, since = self._parts.end_announcements, self._head_received_at
        if ends is None or since is None or self.via or self._is_end_recorded:
            return
        self._is_end_recorded = True
        instance = self.placement.instance
        ends.record_end(instance, ended_at, is_marked, ended_at - since)

    def _ended_beside_others(self, ended_at: float) -> bool:
        ends = self._parts.end_announcements
        return ends is not None and ends.coincides(self.placement.instance, ended_at)

    async def _judge_end(self, ended_at: float, stay_s: float) -> None:
        """Raise unless the process that has ended an answer outlives it by a time.

        That takes no longer than what is left to answer the caller in. The question is
        for the router that carries the connection if there is one: this one does not
        reach the instance.
        """
        ends, end = self._parts.ends, AnswerEnd.UNKNOWN
        if ends is None:
            return
        now, instance = trio.current_time(), self.placement.instance
        latest = self._deadline - END_MARGIN_S
        settles_at = min(ended_at + stay_s, latest - END_QUESTION_S)
        self.on_answer_end()
        self._record_end(ended_at, is_marked=False)
        if not self.via:
            with trio.move_on_at(max(now, latest)):
                end = await ends.judge(instance, ended_at, settles_at)
        elif self._via_confirms:
            end = AnswerEnd.CLOSED
        death = "ended with its process"
        if end is AnswerEnd.CLOSED and self._ended_beside_others(ended_at):
            # What made them has ended, whoever answers for it now.
            end = AnswerEnd.DIED
            death = "ended at one moment with other answers of its instance"
        self.end = end.value
        self.end_age_ms = round((trio.current_time() - ended_at) * 1000)
        self.ended_leaving = not self._parts.state.accepts_requests(instance)
        self._parts.metrics.unmarked_end(self.end, self.ended_leaving)
        if end is AnswerEnd.DIED:
            raise ProcessEndedError(death, sent=True)
        if end is AnswerEnd.UNKNOWN:
            raise UnknownEndError("ended by a close of unknown cause", sent=True)

    def _claim(self) -> None:
        self._owner.claim(self)
