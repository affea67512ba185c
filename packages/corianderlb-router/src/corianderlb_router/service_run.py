"""Run one call of an application route on a plain service.

A non-repeatable call is recorded in the journal, uses a new connection, and is never
sent again after its first byte. It runs to completion and its answer is recorded even
if the caller disconnects.
"""

from __future__ import annotations

import dataclasses
from typing import Final

import httpx
import trio

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.request import AttemptOutcome, Refusal
from corianderlb_core.result import NOT_RUN_STATUSES, ResultCode
from corianderlb_core.retry import (
    AttemptFailure,
    FailureKind,
    GiveUp,
    NonRepeatableCallRetry,
    RepeatableCallRetry,
)

from .attempt import Attempt, AttemptSeries, DataPathParts, failure_of
from .caller import CallerExchange, RequestRefusedError
from .connection import BrokenError, UpstreamError
from .inbound import ServiceRequest
from .interface import BegunCall, CallAnswer, CallJournal, RecordedAnswer
from .upstream_client import ExchangeTimeouts, Outbound, epoch_of, plain_headers

DROPPED_HEADERS: Final = (
    "connection",
    "content-length",
    "corianderlb-attempt-id",
    "corianderlb-incarnation",
    "date",
    "keep-alive",
    "server",
    "transfer-encoding",
)
"""Headers of a service's answer that apply only to the upstream connection."""

MIN_SERVER_ERROR: Final = 500
"""Lowest status that counts as a failure of the service."""

ABANDON_TIMEOUT_S: Final = 1.0
"""Timeout for recording that a call was abandoned."""


class ServiceRun:
    """State of one service call over its attempts."""

    def __init__(
        self,
        parts: DataPathParts,
        journal: CallJournal,
        req: ServiceRequest,
        catalogue: Catalogue,
        caller: CallerExchange,
    ) -> None:
        self._parts = parts
        self._journal = journal
        self._req = req
        self._caller = caller
        policy = (
            RepeatableCallRetry() if req.route.repeatable else NonRepeatableCallRetry()
        )
        self._sending = False
        self._series = AttemptSeries(parts, req.facts, catalogue, caller, policy)

    async def run(self) -> CallAnswer:
        """Return the service's answer, or raise ``RequestRefusedError``."""
        if self._req.route.repeatable:
            return await self._send(None)
        begun = await self._journal.begin(self._req.facts, self._req.idempotency_key)
        if isinstance(begun, RecordedAnswer):
            self._caller.replayed = True
            return begun.answer
        if isinstance(begun, Refusal):
            raise RequestRefusedError(begun)
        return await self._run_once(begun)

    async def _run_once(self, begun: BegunCall) -> CallAnswer:
        """Run a call that the journal granted, and record its outcome."""
        try:
            answer = await self._send(begun)
        except BaseException:
            with trio.CancelScope(shield=True), trio.move_on_after(ABANDON_TIMEOUT_S):
                await self._journal.abandon(begun, self._may_have_run)
            raise
        await self._journal.finish(begun, answer)
        return answer

    @property
    def _may_have_run(self) -> bool:
        """Whether an upstream may have started the call, even if it was cancelled."""
        return self._sending or self._series.retries.may_have_run

    async def _send(self, begun: BegunCall | None) -> CallAnswer:
        while True:
            attempt = await self._series.next_attempt()
            if isinstance(attempt, AttemptFailure):
                await self._prepare_retry(attempt)
                continue
            with self._series.in_flight(attempt):
                outcome = await self._attempt(attempt, begun)
            if isinstance(outcome, CallAnswer):
                return outcome
            self._sending = False
            await self._prepare_retry(outcome)

    async def _attempt(
        self, attempt: Attempt, begun: BegunCall | None
    ) -> CallAnswer | AttemptFailure:
        """Send the call once; return its answer or the failure."""
        self._sending = True
        try:
            answer = await self._exchange(attempt, begun)
        except UpstreamError as exc:
            failure = await self._classify_failure(attempt, exc)
            self._series.failed(attempt, failure)
            return failure
        except BaseException:
            self._series.abandoned(attempt)
            raise
        if answer.status >= MIN_SERVER_ERROR:
            self._series.failed(attempt, _failure(answer))
        else:
            self._series.succeeded(attempt, _outcome(attempt))
        if begun is not None and answer.status in NOT_RUN_STATUSES:
            # The service has not stated what this status would tell the caller.
            return _failure(answer)
        return answer

    async def _classify_failure(
        self, attempt: Attempt, exc: UpstreamError
    ) -> AttemptFailure:
        """Classify a failure; retire connections or report a crash if needed."""
        failure = failure_of(exc)
        if failure.kind is FailureKind.SILENT:
            await self._parts.client.retire(attempt.upstream_instance.address)
        if failure.kind is FailureKind.BROKEN and await self._series.is_dead(attempt):
            self._series.crashed(attempt, attempt.candidate.incarnation.epoch)
            return AttemptFailure(FailureKind.CRASHED, str(exc))
        return failure

    async def _exchange(self, attempt: Attempt, begun: BegunCall | None) -> CallAnswer:
        cfg = self._parts.cfg
        timeouts = ExchangeTimeouts(cfg.connect_timeout_s, self._req.route.timeout_s)
        response = await self._parts.client.open(
            self._outbound(attempt, begun), timeouts
        )
        try:
            instance = attempt.candidate.incarnation.instance
            self._parts.directory.observe_epoch(instance, epoch_of(response))
            body = await self._read(response)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()
        headers = plain_headers(response, DROPPED_HEADERS)
        return CallAnswer(response.status_code, headers, body)

    async def _read(self, response: httpx.Response) -> bytes:
        """Return the body; raise ``BrokenError`` if it exceeds ``max_answer_bytes``."""
        limit = self._parts.cfg.max_answer_bytes
        parts: list[bytes] = []
        n_bytes = 0
        async for chunk in response.aiter_raw():
            n_bytes += len(chunk)
            if n_bytes > limit:
                raise BrokenError(f"the answer is longer than {limit} bytes", sent=True)
            parts.append(chunk)
        return b"".join(parts)

    def _outbound(self, attempt: Attempt, begun: BegunCall | None) -> Outbound:
        outbound = Outbound(
            address=attempt.upstream_instance.address,
            method=self._req.method,
            path=self._req.path,
            attempt_id=attempt.attempt_id,
            headers=self._req.headers,
            body=self._req.body,
        )
        if begun is None:
            return outbound
        return dataclasses.replace(outbound, fresh=True, send_before=begun.send_before)

    async def _prepare_retry(self, failure: AttemptFailure) -> None:
        """Wait for the next attempt; raise ``RequestRefusedError`` to give up."""
        action = self._series.retries.after(failure, trio.current_time())
        quarantine = self._parts.quarantine.check(self._req.facts)
        if quarantine is not None:
            code = self._series.retries.code_if_given_up(failure)
            raise RequestRefusedError(
                Refusal(code, quarantine.detail, quarantine.retry_after_s)
            )
        if isinstance(action, GiveUp):
            detail = f"The last attempt failed: {failure.kind.value}."
            raise RequestRefusedError(
                Refusal(action.code, detail, action.retry_after_s)
            )
        await trio.sleep(action.delay_s)
        if failure.kind is FailureKind.CRASHED:
            await self._series.wait_after_crash()


def _failure(answer: CallAnswer) -> AttemptFailure:
    return AttemptFailure(FailureKind.FAILED, f"status {answer.status}")


def _outcome(attempt: Attempt) -> AttemptOutcome:
    return AttemptOutcome(
        attempt.candidate.incarnation, ResultCode.OK, at=trio.current_time()
    )
