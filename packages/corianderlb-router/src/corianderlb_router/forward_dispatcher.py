"""Dispatch of forwarded requests: matching, checks, the run, and the log line."""

from __future__ import annotations

import math
from contextlib import suppress
from functools import partial
from typing import Any, Final

import eliot
import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.forwarding import (
    ForwardAccount,
    ForwardConfiguration,
    ForwardRoute,
    Prompt,
    RepeatKind,
)
from corianderlb_core.identity import RequestId
from corianderlb_core.quarantine import part_digest
from corianderlb_core.request import Refusal
from corianderlb_core.result import ResultCode
from corianderlb_core.stream_origin import stream_key

from .caller import (
    LATE_RETRY_S,
    CallerGoneError,
    CallerStalledError,
    RequestRefusedError,
    refuse,
)
from .caller_run import run_for_caller
from .exchange_registry import ExchangeRegistry
from .forward_attempt import ForwardJob
from .forward_caller import CutReason, ForwardCaller, StreamCutError
from .forward_parts import ForwardParts
from .forward_relay import SentAnswer
from .forward_request import ForwardRequest
from .forward_run import ForwardRun
from .forward_target import (
    VERSION_RETRY_S,
    EngineTarget,
    Placement,
    ServiceTarget,
    Target,
    pick_upstream,
)
from .log_writer import log_ms, log_request
from .request_check import body_digest, check_headers
from .state_follower import WATCH_S
from .stop_admission import ELSEWHERE_RETRY_S, StopAdmission
from .stream_origins import ResumedOrigin

UNCONFIRMED_S: Final = WATCH_S + 1.5
"""Age from which the configuration is unconfirmed, so that an unknown route or key may
exist in a newer one: one watch, its answer and a retry."""

NOT_READY_RETRY_S: Final = 0.5
"""Retry-after time while the router has no confirmed configuration."""

UNKNOWN_RETRY_S: Final = 0.3
"""Retry-after time of a resumed stream that is unknown here: another router may know
it."""

CALLER_STALL_TIMEOUT_S: Final = 10.0
"""How long a write to a caller may block."""

DEADLINE_MARGIN_S: Final = 0.02
"""Margin before the deadline at which a request ends, so that the caller receives the
result in time."""


class ForwardDispatcher:
    """Matches, checks, runs and logs each forwarded request."""

    def __init__(self, parts: ForwardParts, exchanges: ExchangeRegistry) -> None:
        self._parts = parts
        self._exchanges = exchanges
        self._stop_admission = StopAdmission(exchanges, parts.peers)

    async def handle(self, caller: ForwardCaller, scope: dict[str, Any]) -> None:
        """Handle one request; it is always answered, cut or logged as abandoned."""
        caller.stall_s = CALLER_STALL_TIMEOUT_S
        request_log = _RequestLog(caller)
        with self._exchanges.registered(caller) as entry:
            try:
                with entry.scope:
                    await self._run(caller, scope, request_log)
            finally:
                # The router may end, which cancels from outside, while a cut goes on.
                is_ending = trio.current_effective_deadline() == -math.inf
                if entry.is_cancelled or not is_ending:
                    with trio.CancelScope(shield=True):
                        await self._end(caller, request_log, entry.is_cancelled)

    async def _run(
        self, caller: ForwardCaller, scope: dict[str, Any], request_log: _RequestLog
    ) -> None:
        """Answer a request unless its caller has left or it is cut."""
        try:
            await self._answer(caller, scope, request_log)
        except StreamCutError as exc:
            # On return, the server closes the connection without the final chunk.
            caller.result = ResultCode.STREAM_BROKEN
            caller.cut_reason = exc.reason
            request_log.detail = str(exc)
        except (CallerGoneError, CallerStalledError):
            caller.result = ResultCode.CALLER_GONE
            caller.cut_reason = CutReason.CALLER
        finally:
            caller.release()

    async def _end(
        self, caller: ForwardCaller, request_log: _RequestLog, is_stopped: bool
    ) -> None:
        """Answer a request that was cut, and write its log line."""
        if caller.is_cut:
            caller.result = ResultCode.CALLER_TOO_SLOW
        if is_stopped and not caller.finished:
            if caller.started:
                caller.cut_reason = CutReason.SHUTDOWN
            else:
                await self._answer_cut(caller, request_log.run)
            caller.result = ResultCode.CUT_BY_SHUTDOWN
        request_log.write(self._parts, self._exchanges.stopping_since)
        self._record_duration(caller, request_log)

    @staticmethod
    async def _answer_cut(caller: ForwardCaller, run: ForwardRun | None) -> None:
        """Answer a request that was cut before its answer had begun."""
        detail = "This router has stopped."
        refusal = Refusal(ResultCode.UPSTREAM_FAILED, detail)
        if run is None or not run.may_have_run:
            refusal = Refusal(ResultCode.DRAINING, detail, ELSEWHERE_RETRY_S)
        with suppress(CallerGoneError, CallerStalledError):
            await caller.fail(refusal)

    def _record_duration(self, caller: ForwardCaller, request_log: _RequestLog) -> None:
        """Learn from a request that was sent how long others will take."""
        req, route, run = request_log.req, request_log.route, request_log.run
        if req and route and run and run.may_have_run:
            self._stop_admission.record(req, route, caller)

    async def _answer(
        self, caller: ForwardCaller, scope: dict[str, Any], request_log: _RequestLog
    ) -> None:
        """Process a request and answer refusals and errors."""
        try:
            await self._process(caller, scope, request_log)
        except (CallerGoneError, CallerStalledError):
            raise
        except RequestRefusedError as exc:
            request_log.detail = exc.refusal.detail
            await caller.fail(exc.refusal)
        except CorianderError as exc:
            request_log.detail = str(exc)
            await caller.fail(Refusal(exc.code, str(exc)))
        except Exception:
            eliot.write_traceback()
            request_log.detail = "internal"
            await caller.fail(Refusal(ResultCode.INTERNAL, "The router failed."))

    async def _process(
        self, caller: ForwardCaller, scope: dict[str, Any], request_log: _RequestLog
    ) -> None:
        """Match, check and run a request; raise an error if it is refused."""
        cfg = self._parts.state.configuration
        if cfg is None or not self._parts.state.is_complete:
            detail = "This router has no configuration yet."
            raise refuse(ResultCode.NOT_READY, detail, NOT_READY_RETRY_S)
        req = self._parts.protocol.read_request(scope)
        request_log.req, request_log.cfg = req, cfg
        caller.request_id = RequestId(req.request_id)
        check_headers(caller, cfg.limits.max_header_bytes)
        route, account = self._admit(req, cfg)
        request_log.route, request_log.account = route, account
        left_s = min(route.timeout_s, req.deadline_s)
        deadline = caller.arrived_at + left_s - DEADLINE_MARGIN_S
        self._stop_admission.check(
            req, route, deadline, partial(self._begins_in_s, req, route, account)
        )
        owner = account.name if account else ""
        is_stream = route.kind is RepeatKind.STREAM
        caller.account_for(self._parts.memory, owner, is_stream)
        body = await caller.read_body(cfg.limits.max_body_bytes, deadline)
        request_log.read_at = trio.current_time()
        digest = body_digest(
            account.name if account else "",
            req.method.encode() + b" " + req.target + b"\n" + body,
        )
        part_digests = _part_digests(req.prompt)
        refusal = self._parts.quarantine.admit(digest, part_digests)
        if refusal is not None:
            raise RequestRefusedError(refusal)
        origin = await self._resumed_origin(req, route, account)
        request_log.origin = origin
        self._parts.usage.apply(cfg)
        usage = self._parts.usage.charge(account, req.prompt, left_s)
        upstream = origin.upstream if origin else pick_upstream(route, self._parts.rng)
        self._parts.record_request(upstream)
        target = self._target(req, route, account, upstream)
        if route.kind is RepeatKind.STREAM and route.may_resume:
            target.stream_key = _stream_key(account, req.resumes or req.request_id)
        if origin is not None:
            target.bind(origin.version)
        resume_after = req.resume_after if route.kind is RepeatKind.STREAM else None
        # An event holds at least one token.
        is_new = req.prompt is not None and resume_after is None
        most_events = req.prompt.n_output if is_new else None
        job = ForwardJob(
            self._parts,
            req,
            route,
            target,
            SentAnswer(caller, resume_after, most_events or None),
            caller,
            deadline,
            body,
            usage,
            digest,
            part_digests,
            self._stop_admission,
        )
        run = ForwardRun(job)
        request_log.run = run
        try:
            await self._run_until_deadline(caller, run, job)
        finally:
            if not run.may_have_run:
                usage.refund()

    async def _resumed_origin(
        self, req: ForwardRequest, route: ForwardRoute, account: ForwardAccount | None
    ) -> ResumedOrigin | None:
        """Return where a resumed stream has to go on; None for a new request.

        Refuse it if that is unknown: its events would not fit those of another version.
        """
        if route.kind is not RepeatKind.STREAM or req.resume_after is None:
            return None
        key = _stream_key(account, req.resumes) if req.resumes else None
        origin = await self._parts.origins.resolve(key, route)
        shares = [share.upstream for share in route.shares]
        is_gone = origin is not None and origin.upstream not in shares
        source = "gone" if is_gone else origin.source if origin else "unknown"
        self._parts.metrics.stream_resumed(source)
        if is_gone:
            detail = "The route no longer leads to the service that began the stream."
            raise refuse(ResultCode.STREAM_VERSION_GONE, detail, VERSION_RETRY_S)
        if origin is None:
            detail = "No router knows which software version began the stream."
            raise refuse(ResultCode.STREAM_ORIGIN_UNKNOWN, detail, UNKNOWN_RETRY_S)
        return origin

    async def _run_until_deadline(
        self, caller: ForwardCaller, run: ForwardRun, job: ForwardJob
    ) -> None:
        """Run until the deadline or until the caller disconnects."""
        is_late = await run_for_caller(
            caller, job.deadline, run.run, run.may_abandon, job.watch
        )
        if caller.finished:
            return
        if is_late:
            self._fail_at_deadline(caller, run)
        raise CallerGoneError("the caller disconnected before its answer was complete")

    @staticmethod
    def _fail_at_deadline(caller: ForwardCaller, run: ForwardRun) -> None:
        if caller.started:
            raise StreamCutError("the deadline has passed", CutReason.DEADLINE)
        if run.may_have_run:
            raise refuse(ResultCode.DEADLINE_EXCEEDED, "The deadline has passed.")
        detail = "The deadline has passed."
        raise refuse(ResultCode.DEADLINE_UNREACHABLE, detail, LATE_RETRY_S)

    def _admit(
        self, req: ForwardRequest, cfg: ForwardConfiguration
    ) -> tuple[ForwardRoute, ForwardAccount | None]:
        """Return the route and the account of a request, or refuse it."""
        route = cfg.match(req.host, req.path)
        if route is None:
            raise self._unknown_refusal(ResultCode.NOT_FOUND, "No route matches.")
        if route.is_public or not cfg.uses_accounts:
            return route, None
        account = cfg.account_of(req.api_key) if req.api_key else None
        if account is None:
            raise self._unknown_refusal(
                ResultCode.BAD_CREDENTIALS, "No account has this key."
            )
        return route, account

    def _unknown_refusal(self, code: ResultCode, detail: str) -> RequestRefusedError:
        """Return the refusal for a route or key that the configuration lacks.

        A newer configuration may have it while the known one is unconfirmed.
        """
        if self._parts.state.is_confirmed(UNCONFIRMED_S):
            return refuse(code, detail)
        detail = "The configuration has not been confirmed recently."
        return refuse(ResultCode.STALE_CONFIGURATION, detail, NOT_READY_RETRY_S)

    def _target(
        self,
        req: ForwardRequest,
        route: ForwardRoute,
        account: ForwardAccount | None,
        upstream: str,
    ) -> Target:
        cfg = self._parts.state.configuration
        assert cfg is not None
        known = cfg.upstream(upstream)
        common = (self._parts, req, route, account)
        if known is not None and known.engine is not None and req.prompt is not None:
            return EngineTarget(*common, upstream=upstream, prompt=req.prompt)
        return ServiceTarget(*common, upstream=upstream)

    def _begins_in_s(
        self, req: ForwardRequest, route: ForwardRoute, account: ForwardAccount | None
    ) -> float:
        """Return the estimated time until an instance begins a new request."""
        upstream = pick_upstream(route, self._parts.rng)
        target = self._target(req, route, account, upstream)
        found = target.choose((), route.objective_s)
        if isinstance(found, Placement):
            return found.estimate_s
        return found.retry_after_s


def _part_digests(prompt: Prompt | None) -> tuple[bytes, ...]:
    """Return the digests by which all routers know the shared parts of a prompt."""
    if prompt is None:
        return ()
    return tuple(
        part_digest(prompt.model, part.part_id) for part in prompt.shared_parts
    )


def _stream_key(account: ForwardAccount | None, request_id: str) -> bytes:
    return stream_key(account.name if account else "", request_id)


class _RequestLog:
    """Collects the fields of a request's log line, written when the request ends."""

    def __init__(self, caller: ForwardCaller) -> None:
        self._caller = caller
        self.req: ForwardRequest | None = None
        self.cfg: ForwardConfiguration | None = None
        self.route: ForwardRoute | None = None
        self.account: ForwardAccount | None = None
        self.run: ForwardRun | None = None
        self.origin: ResumedOrigin | None = None
        self.read_at: float | None = None
        """When the whole request had been read, on the router's clock."""
        self.detail = ""

    def write(self, parts: ForwardParts, stopping_since: float | None) -> None:
        """Write the log line and count the request in the metrics.

        ``stopping_since`` is the time of the termination signal, if there was one.
        """
        caller, cfg = self._caller, self.cfg
        now = trio.current_time()
        first_s = caller.first_byte_at - caller.arrived_at if caller.started else None
        whole_s = now - caller.arrived_at
        read_s = self.read_at - caller.arrived_at if self.read_at is not None else None
        kind = self.route.kind.value if self.route else "none"
        parts.metrics.request_ended(caller.result.name, kind, whole_s, first_s)
        after_stop_s = None
        if stopping_since is not None:
            after_stop_s = caller.arrived_at - stopping_since
        cut = caller.cut_reason if caller.started else None
        had_silence = self.run is not None and self.run.had_silence
        if cut is not None:
            taken_while_stopping = after_stop_s is not None and after_stop_s > 0
            parts.metrics.stream_cut(cut.value, had_silence, taken_while_stopping)
        if self.run and self.route and self.run.paused_beyond(self.route):
            parts.metrics.paused_too_long(had_silence)
        log_request(
            message_type="request:ended",
            request=self.req.request_id if self.req else "",
            route=self.route.name if self.route else "",
            account=self.account.name if self.account else "",
            result=caller.result.name,
            status=caller.status,
            whole=caller.finished,
            cut=cut.value if cut is not None else "",
            after_stop_ms=log_ms(after_stop_s) if after_stop_s is not None else None,
            read_ms=round(read_s * 1000) if read_s is not None else None,
            first_ms=round(first_s * 1000) if first_s is not None else None,
            took_ms=round(whole_s * 1000),
            objective_ms=log_ms(self.route.objective_s) if self.route else None,
            longest_pause_ms=self.run.longest_pause_ms if self.run else 0,
            pause_objective_ms=log_ms(self.route.pause_objective_s)
            if self.route
            else None,
            configuration=cfg.version if cfg else 0,
            configuration_age_ms=round((now - parts.state.configuration_since) * 1000),
            confirmed=parts.state.is_confirmed(UNCONFIRMED_S),
            attempts=list(self.run.attempt_records) if self.run else [],
            resumes=self.req.resumes if self.req else "",
            stream_version=self.origin.version if self.origin else "",
            version_source=self.origin.source if self.origin else "",
            detail=self.detail,
        )
