"""Handle one caller's request: check, admit, run and answer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

import eliot
import trio

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.error import CorianderError
from corianderlb_core.request import Refusal, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.settings import DataPathSettings

from .attempt import DataPathParts
from .caller import (
    CallerExchange,
    CallerGoneError,
    CallerStalledError,
    RequestRefusedError,
    refuse,
)
from .caller_run import run_for_caller
from .completion_run import CompletionRun
from .exchange_registry import ExchangeRegistry
from .inbound import (
    SERVICE_PREFIX,
    ServiceRequest,
    deadline_of,
    parse_completion,
    parse_service_call,
)
from .interface import Admission, CallJournal, CatalogueInForce, CatalogueSource, Slot
from .request_check import check_headers
from .service_run import ServiceRun

COMPLETION_PATHS: Final = frozenset({"/v1/chat/completions", "/v1/completions"})
"""Paths of completions, which engines serve."""

NOT_READY_RETRY_S: Final = 1.0
"""Retry-after of a router without a current catalogue."""

SHUTDOWN_ERROR_S: Final = 0.5
"""Longest time that the error of a request cut by a shutdown may take to send."""

SHUTDOWN_RETRY_S: Final = 1.0
"""Retry-after of a request that was cut by a shutdown."""


class Dispatcher:
    """Check, admit, run and answer each request of a caller."""

    def __init__(
        self,
        parts: DataPathParts,
        catalogue: CatalogueSource,
        admission: Admission,
        journal: CallJournal,
        exchanges: ExchangeRegistry,
    ) -> None:
        self._parts = parts
        self._catalogue = catalogue
        self._admission = admission
        self._journal = journal
        self._exchanges = exchanges

    @property
    def _cfg(self) -> DataPathSettings:
        return self._parts.cfg

    @staticmethod
    def takes(path: str) -> bool:
        """Return whether a path is part of the data path."""
        return path in COMPLETION_PATHS or path.startswith(SERVICE_PREFIX)

    async def handle(self, caller: CallerExchange) -> None:
        """Handle one request; answer with an error unless the caller has left."""
        caller.stall_s = self._cfg.caller_stall_timeout_s
        caller.decision_id = self._parts.decisions.id_for(caller.request_id)
        with self._exchanges.exchange(caller) as entry:
            try:
                await self._handle(caller)
            except (CallerGoneError, CallerStalledError):
                # The caller no longer reads; the server closes the connection.
                return
            except RequestRefusedError as exc:
                await caller.fail(exc.refusal)
            except CorianderError as exc:
                await caller.fail(Refusal(exc.code, str(exc)))
            except Exception:
                eliot.write_traceback()
                detail = f"The router failed on request {caller.request_id}."
                await caller.fail(Refusal(ResultCode.INTERNAL, detail))
            finally:
                if not caller.finished and not entry.is_cancelled:
                    caller.result = ResultCode.CALLER_GONE
                self._record_result(caller)
                metrics = self._parts.metrics
                metrics.request_ended(caller.result, caller.service_class)
        if entry.is_cancelled and not caller.finished:
            await self._send_shutdown_error(caller)

    def _record_result(self, caller: CallerExchange) -> None:
        decisions = self._parts.decisions
        if caller.is_parsed:
            decisions.finish(caller.decision_id, caller.result)
            return
        decisions.record_early_refusal(
            caller.request_id, caller.path, caller.catalogue_version, caller.result
        )

    async def _handle(self, caller: CallerExchange) -> None:
        check_headers(caller, self._cfg.max_header_bytes)
        in_force = self._in_force(caller)
        if caller.path in COMPLETION_PATHS:
            await self._complete(caller, in_force)
        else:
            await self._call(caller, in_force)

    def _in_force(self, caller: CallerExchange) -> CatalogueInForce:
        in_force = self._catalogue.current()
        if in_force is None:
            detail = "This router has no catalogue yet."
            raise refuse(ResultCode.NOT_READY, detail, NOT_READY_RETRY_S)
        if self._catalogue.is_stale():
            detail = "This router is isolated and its catalogue may be stale."
            raise refuse(ResultCode.STALE_CONFIGURATION, detail, NOT_READY_RETRY_S)
        caller.catalogue_version = in_force.catalogue.version
        return in_force

    async def _complete(
        self, caller: CallerExchange, in_force: CatalogueInForce
    ) -> None:
        if caller.method != "POST":
            raise refuse(ResultCode.METHOD_NOT_ALLOWED, "Use the POST method.")
        body = await self._read_body(caller)
        catalogue = in_force.catalogue
        req = parse_completion(caller, body, catalogue, self._cfg.default_deadline_s)
        self._begin_decision(caller, req.facts, catalogue)

        async def run() -> None:
            slot = await self._admit(req.facts)
            n_tokens = 0
            try:
                run = CompletionRun(self._parts, req, catalogue, caller)
                n_tokens = await run.run()
            finally:
                slot.release(n_tokens)

        await self._run_for_caller(caller, req.facts, run)

    async def _call(self, caller: CallerExchange, in_force: CatalogueInForce) -> None:
        body = await self._read_body(caller)
        catalogue = in_force.catalogue
        req = parse_service_call(caller, body, catalogue, self._cfg.default_deadline_s)
        self._begin_decision(caller, req.facts, catalogue)
        if not req.route.repeatable:
            # A non-repeatable call that may have started must not be cancelled by the
            # caller's disconnection or its deadline.
            await self._run_call(caller, req, in_force)
            return
        await self._run_for_caller(
            caller, req.facts, lambda: self._run_call(caller, req, in_force)
        )

    async def _read_body(self, caller: CallerExchange) -> bytes:
        deadline = deadline_of(caller, self._cfg.default_deadline_s)
        return await caller.read_body(self._cfg.max_body_bytes, deadline)

    def _begin_decision(
        self, caller: CallerExchange, facts: RequestFacts, catalogue: Catalogue
    ) -> None:
        """Record a decision, so that the answer can name it even if it is a refusal."""
        caller.service_class = facts.service_class
        caller.is_parsed = True
        self._parts.decisions.begin(facts, catalogue)

    async def _run_call(
        self, caller: CallerExchange, req: ServiceRequest, in_force: CatalogueInForce
    ) -> None:
        slot = await self._admit(req.facts)
        try:
            run = ServiceRun(
                self._parts, self._journal, req, in_force.catalogue, caller
            )
            answer = await run.run()
        finally:
            slot.release(0)
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
        ]
        await caller.answer(answer.status, headers, answer.body)

    async def _admit(self, facts: RequestFacts) -> Slot:
        """Return an admission slot; raise ``RequestRefusedError`` without one."""
        refusal = self._parts.quarantine.check(facts)
        if refusal is not None:
            raise RequestRefusedError(refusal)
        slot = await self._admission.admit(facts)
        if isinstance(slot, Refusal):
            raise RequestRefusedError(slot)
        return slot

    async def _run_for_caller(
        self,
        caller: CallerExchange,
        facts: RequestFacts,
        run: Callable[[], Awaitable[None]],
    ) -> None:
        """Run a request until its caller disconnects or its deadline passes."""
        if await run_for_caller(caller, facts.deadline, run) and not caller.finished:
            code = ResultCode.DEADLINE_EXCEEDED
            raise refuse(
                code, "The deadline passed before the answer was complete.", 1.0
            )

    async def _send_shutdown_error(self, caller: CallerExchange) -> None:
        detail = "This router is shutting down immediately."
        is_unknown = caller.may_have_run
        code = ResultCode.CUT_BY_SHUTDOWN if is_unknown else ResultCode.DRAINING
        caller.stall_s = SHUTDOWN_ERROR_S
        with trio.CancelScope(shield=True), suppress(CallerStalledError):
            await caller.fail(Refusal(code, detail, SHUTDOWN_RETRY_S))
