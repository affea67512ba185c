"""Run one completion, over several attempts if needed.

A broken attempt is first resumed on the same incarnation of its instance, so that
nothing is computed twice. If that incarnation is gone, the stream continues on another
instance: output is deterministic, and the assembler drops the events that the caller
already has.
"""

from __future__ import annotations

import math
from typing import Any, Final

import trio

from corianderlb_core import header
from corianderlb_core.answer import assemble_answer, extract_usage
from corianderlb_core.catalogue import Catalogue, ServiceClass
from corianderlb_core.identity import Incarnation
from corianderlb_core.request import AttemptOutcome, Refusal
from corianderlb_core.result import ResultCode
from corianderlb_core.retry import (
    AttemptFailure,
    CompletionRetry,
    FailureKind,
    GiveUp,
)
from corianderlb_core.stream import StreamAssembler

from .attempt import Attempt, AttemptSeries, DataPathParts, failure_of
from .caller import JSON_TYPE, CallerExchange, RequestRefusedError
from .connection import ConnectFailedError, UpstreamError
from .inbound import CompletionRequest
from .relay import AnswerSink, CallerSink, StreamRelay
from .upstream_client import ExchangeTimeouts, Outbound, RefusedError, epoch_of

PRIORITIES: Final = {
    ServiceClass.URGENT: "0",
    ServiceClass.STANDARD: "1",
    ServiceClass.DEFERRABLE: "2",
}
"""Value of the priority header for each service class; 0 is the highest."""

_RESUMABLE: Final = (FailureKind.BROKEN, FailureKind.SILENT)


class UpstreamStatusError(UpstreamError):
    """Raised when an engine answers with an error status."""


class CompletionRun:
    """State of one completion over its attempts."""

    def __init__(
        self,
        parts: DataPathParts,
        req: CompletionRequest,
        catalogue: Catalogue,
        caller: CallerExchange,
    ) -> None:
        self._parts = parts
        self._req = req
        self._caller = caller
        self._series = AttemptSeries(
            parts, req.facts, catalogue, caller, CompletionRetry()
        )
        self._assembler = StreamAssembler(req.facts.request_id)
        cfg = parts.cfg
        self._sink = (
            CallerSink(caller) if req.wants_stream else AnswerSink(cfg.max_answer_bytes)
        )
        self._relay = StreamRelay(
            self._assembler, self._sink, parts.stalls, cfg, self._on_first_event
        )
        self._current_attempt: Attempt | None = None
        self._epoch = 0
        self._answered = False
        """Whether the instance sent a response head for the latest attempt."""

    async def run(self) -> int:
        """Answer the caller; return the tokens used.

        Raise ``RequestRefusedError`` when the request ends without a complete answer.
        """
        while True:
            attempt = await self._series.next_attempt()
            n_before = self._assembler.n_relayed
            failure = (
                attempt
                if isinstance(attempt, AttemptFailure)
                else await self._run(attempt)
            )
            if failure is None:
                break
            made_progress = self._assembler.n_relayed > n_before
            await self._prepare_retry(failure, made_progress)
        await self._finish()
        return self._tokens()

    async def _run(self, attempt: Attempt) -> AttemptFailure | None:
        """Run one attempt and its resumes; return the failure, or None."""
        self._current_attempt = attempt
        self._epoch = attempt.candidate.incarnation.epoch
        self._assembler.begin_attempt(attempt.attempt_id, 0)
        failure: AttemptFailure | None = None
        ended = False
        with self._series.in_flight(attempt):
            try:
                await self._parts.importer.prepare(
                    attempt.upstream_instance.address,
                    attempt.candidate.import_pieces,
                    self._req.facts,
                    self._req.scope,
                )
                failure = await self._send(attempt, resume=False)
                if failure is not None and failure.kind in _RESUMABLE:
                    failure = await self._resume(attempt, failure)
                if failure is not None and failure.kind is FailureKind.CRASHED:
                    self._series.crashed(attempt, self._epoch)
                ended = True
            finally:
                if not ended:
                    await self._abandon(attempt)
        if failure is None:
            self._series.succeeded(attempt, self._outcome(attempt))
        else:
            self._series.failed(attempt, failure)
        return failure

    async def _resume(
        self, attempt: Attempt, failure: AttemptFailure
    ) -> AttemptFailure | None:
        """Resume a broken attempt on the same incarnation of its instance.

        Repeats as long as each resume makes progress. Also detects crashes: one broken
        connection may be a network fault, but the instance has crashed when the next
        connection is refused or breaks before an answer, or another incarnation
        answers.
        """
        if not self._epoch and failure.kind is FailureKind.BROKEN:
            # The epoch is unknown, so there is no incarnation to resume on.
            if await self._series.is_dead(attempt):
                return AttemptFailure(FailureKind.CRASHED, failure.detail)
        while failure.kind in _RESUMABLE and self._epoch:
            if failure.kind is FailureKind.SILENT:
                await self._parts.client.retire(attempt.upstream_instance.address)
            n_before = self._assembler.n_relayed
            self._assembler.begin_attempt(attempt.attempt_id, n_before)
            self._answered = False
            second = await self._send(attempt, resume=True)
            if second is None:
                return None
            if self._assembler.n_relayed == n_before and not self._is_queued(
                attempt, second
            ):
                return _combine_failures(failure, second)
            failure = second
        return failure

    def _is_queued(self, attempt: Attempt, failure: AttemptFailure) -> bool:
        """Return whether the request is still queued on a responsive instance.

        Deferrable work may be queued for longer than the event timeout. Retried on
        another instance it would queue again, and the busy instance would be retired
        as unresponsive. A response head on a new connection extends the wait, up to
        ``queue_timeout_s``, since a stalled engine may still answer HTTP requests.
        """
        if failure.kind is not FailureKind.SILENT or self._assembler.n_relayed:
            return False
        waited_s = trio.current_time() - attempt.started_at
        return self._answered and waited_s < self._parts.cfg.queue_timeout_s

    async def _send(self, attempt: Attempt, resume: bool) -> AttemptFailure | None:
        """Send the request, or a resume of it, and relay the events."""
        cfg = self._parts.cfg
        # An incarnation that still has the stream answers a resume immediately.
        first_s = cfg.resume_timeout_s if resume else cfg.first_event_timeout_s
        timeouts = ExchangeTimeouts(cfg.connect_timeout_s, first_s)
        try:
            await self._exchange(self._outbound(attempt, resume), attempt, timeouts)
        except RefusedError as exc:
            return self._refused(attempt, exc, resume)
        except ConnectFailedError as exc:
            kind = FailureKind.CRASHED if resume and exc.refused else None
            return AttemptFailure(kind or FailureKind.NOT_SENT, str(exc))
        except UpstreamError as exc:
            return failure_of(exc)
        return None

    async def _exchange(
        self, outbound: Outbound, attempt: Attempt, timeouts: ExchangeTimeouts
    ) -> None:
        response = await self._parts.client.open(outbound, timeouts)
        try:
            self._observe_epoch(attempt, epoch_of(response))
            self._answered = True
            if not response.is_success:
                message = f"{outbound.address}: status {response.status_code}"
                raise UpstreamStatusError(message, sent=True)
            await self._relay.run(response, self._first_event_s())
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    def _first_event_s(self) -> float:
        """Return the timeout of the next event after a response head."""
        cfg = self._parts.cfg
        relayed = self._assembler.n_relayed > 0
        return cfg.stall_timeout_s if relayed else cfg.first_event_timeout_s

    def _refused(
        self, attempt: Attempt, exc: RefusedError, resume: bool
    ) -> AttemptFailure:
        """Distinguish a refusal from a resume that reached another incarnation."""
        is_other_incarnation = resume and exc.epoch != 0 and exc.epoch != self._epoch
        if not is_other_incarnation:
            return failure_of(exc)
        crashed = AttemptFailure(FailureKind.CRASHED, str(exc))
        instance = attempt.candidate.incarnation.instance
        self._parts.directory.observe_epoch(instance, exc.epoch)
        return crashed

    def _on_first_event(self) -> None:
        assert self._current_attempt is not None
        incarnation = self._current_attempt.candidate.incarnation
        facts = self._req.facts
        self._parts.placer.first_token(facts, incarnation)
        ttft_s = trio.current_time() - facts.arrived_at
        self._parts.metrics.first_token(ttft_s, facts.service_class)

    def _observe_epoch(self, attempt: Attempt, epoch: int) -> None:
        if epoch and epoch != self._epoch:
            self._epoch = epoch
            instance = attempt.candidate.incarnation.instance
            self._parts.directory.observe_epoch(instance, epoch)

    def _outbound(self, attempt: Attempt, resume: bool) -> Outbound:
        facts = self._req.facts
        left_ms = max(1, math.ceil((facts.deadline - trio.current_time()) * 1000))
        headers = [
            ("content-type", "application/json"),
            (header.CACHE_SALT, self._req.scope.salt),
            (header.PRIORITY, PRIORITIES[facts.service_class]),
            (header.EXPECT_WEIGHTS, self._req.model.weights_version),
            (header.EXPECT_ADAPTER, self._req.scope.adapter),
            (header.DEADLINE_MS, str(left_ms)),
        ]
        if resume:
            headers.append((header.RESUME_FROM, str(self._assembler.n_relayed)))
            headers.append((header.EXPECT_INCARNATION, str(self._epoch)))
        return Outbound(
            address=attempt.upstream_instance.address,
            method="POST",
            path=self._req.path,
            attempt_id=attempt.attempt_id,
            headers=tuple(headers),
            body=self._req.body,
            weights_version=self._req.model.weights_version,
            adapter=self._req.scope.adapter,
            fresh=True,
            is_stream=True,
        )

    async def _prepare_retry(
        self, failure: AttemptFailure, made_progress: bool
    ) -> None:
        """Wait for the next attempt; raise ``RequestRefusedError`` to give up."""
        self._refuse_if_quarantined()
        action = self._series.retries.after(failure, trio.current_time(), made_progress)
        if isinstance(action, GiveUp):
            raise RequestRefusedError(self._give_up_refusal(action, failure))
        await trio.sleep(action.delay_s)
        if failure.kind is FailureKind.CRASHED:
            await self._series.wait_after_crash()
        self._refuse_if_quarantined()

    def _refuse_if_quarantined(self) -> None:
        """End the request when it is quarantined for crashing upstreams.

        It has run, so the refusal must not carry a code that says it has not.
        """
        refusal = self._parts.quarantine.check(self._req.facts)
        if refusal is None:
            return
        code = self._code_once_started(ResultCode.UPSTREAM_FAILED)
        raise RequestRefusedError(Refusal(code, refusal.detail, refusal.retry_after_s))

    def _give_up_refusal(self, action: GiveUp, failure: AttemptFailure) -> Refusal:
        code = self._code_once_started(action.code)
        detail = f"The last attempt failed: {failure.kind.value}."
        return Refusal(code, detail, action.retry_after_s)

    def _code_once_started(self, code: ResultCode) -> ResultCode:
        """Replace a result code if the answer to the caller has already started."""
        return ResultCode.STREAM_BROKEN if self._caller.started else code

    async def _abandon(self, attempt: Attempt) -> None:
        """Record an interrupted attempt and cancel it on its upstream."""
        self._series.abandoned(attempt)
        with trio.CancelScope(shield=True):
            address = attempt.upstream_instance.address
            await self._parts.client.cancel(address, attempt.attempt_id)

    async def _finish(self) -> None:
        self._parts.metrics.events_relayed(self._assembler.n_relayed)
        if isinstance(self._sink, AnswerSink):
            body = assemble_answer(self._sink.stream)
            await self._caller.answer(200, [JSON_TYPE], body)
        else:
            await self._caller.finish()

    def _usage(self) -> dict[str, Any]:
        return extract_usage(self._assembler.last_event)

    def _tokens(self) -> int:
        usage = self._usage()
        return _int_field(usage, "prompt_tokens") + _int_field(
            usage, "completion_tokens"
        )

    def _outcome(self, attempt: Attempt) -> AttemptOutcome:
        usage = self._usage()
        details = usage.get("prompt_tokens_details")
        return AttemptOutcome(
            incarnation=Incarnation(
                attempt.candidate.incarnation.instance, self._epoch
            ),
            code=ResultCode.OK,
            ttft_s=max(0.0, self._relay.first_at - attempt.started_at),
            cached_tokens=_int_field(details, "cached_tokens"),
            prompt_tokens=_int_field(usage, "prompt_tokens"),
            at=trio.current_time(),
        )


def _combine_failures(first: AttemptFailure, second: AttemptFailure) -> AttemptFailure:
    """Return the failure to report for two in a row without progress between them.

    Two broken connections in a row count as a crash.
    """
    if second.kind is FailureKind.CRASHED:
        return second
    if first.kind is second.kind is FailureKind.BROKEN:
        return AttemptFailure(FailureKind.CRASHED, second.detail)
    if second.kind in (FailureKind.REFUSED, FailureKind.NOT_SENT):
        return first
    return second


def _int_field(plain: Any, name: str) -> int:
    value = plain.get(name) if isinstance(plain, dict) else None
    return value if isinstance(value, int) else 0
