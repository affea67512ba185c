"""Send one request to one instance, and relay its answer."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import httpx
import trio

from corianderlb_core.forwarding import ForwardRoute, RepeatKind
from corianderlb_core.part_index import Life

from .connection import SilentError, UpstreamError
from .forward_caller import ForwardCaller
from .forward_parts import ForwardParts
from .forward_relay import Relay, WholeRelay, WrongAnswerError, read_whole
from .forward_request import ForwardRequest, UpstreamHead
from .forward_target import WITHDRAW_S, Placement, Target
from .run_mover import RunMover
from .transport import EXCHANGE, FRESH, TARGET, Exchange

HEDGE_SHARE: Final = 0.6
"""Part of the objective after which a repeatable call without an answer is taken for
lost and sent to another instance: the second run takes about half of one itself."""

HEDGE_LATENCIES: Final = 4.0
"""Least wait before that, in times that a call usually takes: one in a hundred calls
takes five times as long."""

SILENT_S: Final = 1.0
"""Silence of an engine on all its streams after which it counts as unreachable. A
busy one sends some event every few dozen milliseconds, a step of reading included."""

WRITE_S: Final = 5.0
"""Longest wait for an upstream to take a request."""

SERVER_ERROR: Final = 500
"""Statuses from here on tell of a failure of the upstream."""


class NotRunError(UpstreamError):
    """Signal an instance that states that it did not run the request."""


class WithdrawnError(SilentError):
    """Signal a request that had not begun when its weights were getting too old.

    The engine may have begun it just then.
    """


class ServerFailureError(UpstreamError):
    """Signal an error that the upstream itself answered with."""

    def __init__(self, head: UpstreamHead, body: bytes) -> None:
        super().__init__(f"status {head.status}", sent=True)
        self.head = head
        self.body = body


@dataclass(frozen=True)
class ForwardJob:
    """Hold one request with all that its attempts need."""

    parts: ForwardParts
    req: ForwardRequest
    route: ForwardRoute
    target: Target
    relay: Relay
    caller: ForwardCaller
    deadline: float
    """Router's clock at which the request ends."""
    body: bytes
    digest: bytes
    """Of account, method, target and body: what comes again has the same one."""


class ForwardAttempt:
    """Hold one attempt of a request at one instance."""

    def __init__(
        self,
        job: ForwardJob,
        placement: Placement,
        is_last: bool,
        may_go_on: Callable[[], bool],
    ) -> None:
        self._job = job
        self._may_go_on = may_go_on
        self._parts = job.parts
        self._req = job.req
        self._route = job.route
        self._target = job.target
        self._relay = job.relay
        self._deadline = job.deadline
        self._placement = placement
        self._is_last = is_last
        self.may_have_run = False
        """Whether the instance can have begun to run the request."""
        self.sent_at: float | None = None
        """Router's clock when it was sent."""
        self._began_at: float | None = None

    @property
    def began_ms(self) -> int | None:
        """Milliseconds from sending to the head of the answer, if one came."""
        if self.sent_at is None or self._began_at is None:
            return None
        return round((self._began_at - self.sent_at) * 1000)

    async def run(self, on_data: Callable[[], None]) -> None:
        """Relay the answer, or raise what kept it from being relayed."""
        response = await self._open()
        try:
            head = self._read_head(response)
            exchange: Exchange = response.extensions[EXCHANGE]
            await self._relay_answer(head, exchange, on_data)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _open(self) -> httpx.Response:
        """Send the request and return the answer's head."""
        parts = self._parts
        left_s = self._deadline - trio.current_time()
        terms = self._target.terms(self._placement, left_s)
        headers = parts.protocol.upstream_headers(self._with_resume(), terms)
        address = self._placement.instance.address
        request = httpx.Request(
            self._req.method,
            f"http://{address}/",
            headers=headers,
            content=self._job.body or None,
            extensions={
                "timeout": {
                    "connect": parts.cfg.connect_timeout_s,
                    "write": min(WRITE_S, max(0.01, left_s)),
                    "read": math.inf,
                    "pool": None,
                },
                FRESH: True,
                TARGET: self._req.target,
            },
        )
        self.may_have_run = True
        try:
            return await self._wait_head(request)
        except UpstreamError as exc:
            self.may_have_run = exc.sent
            raise

    def _with_resume(self) -> ForwardRequest:
        after = self._relay.resume_after
        if after == self._req.resume_after:
            return self._req
        return self._req.resumed(after)

    async def _wait_head(self, request: httpx.Request) -> httpx.Response:
        """Return the head of the answer; give up on an instance that is lost."""
        life = self._placement.instance.life
        self.sent_at = sent_at = trio.current_time()
        limit_s = self._patience_s()
        result: list[httpx.Response] = []
        errors: list[UpstreamError] = []

        async def send(scope: trio.CancelScope) -> None:
            try:
                result.append(await self._parts.transport.handle_async_request(request))
            except UpstreamError as exc:
                errors.append(exc)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, nursery.cancel_scope)
            while trio.current_time() - sent_at < limit_s:
                left_s = self._withdraws_at() - trio.current_time()
                if left_s <= 0:
                    errors.append(WithdrawnError("not begun in time", sent=True))
                    break
                await trio.sleep(min(limit_s, SILENT_S, left_s))
                if self._is_lost(life, sent_at):
                    break
            nursery.cancel_scope.cancel()
        if result:
            self._began_at = trio.current_time()
            return result[0]
        if errors:
            raise errors[0]
        raise SilentError("no answer in time", sent=True)

    def _withdraws_at(self) -> float:
        """Return when to withdraw the request if the engine has not begun it.

        That is looked up again each time: a newer version may have been named since
        the request was sent.
        """
        return self._target.begin_before(self._placement) - WITHDRAW_S

    def _patience_s(self) -> float:
        """Return how long to wait for the head of an answer."""
        left_s = max(0.01, self._deadline - trio.current_time())
        may_repeat = self._route.is_repeatable and not self._is_last
        if not may_repeat:
            return left_s
        hedge_s = max(
            HEDGE_SHARE * self._route.objective_s,
            HEDGE_LATENCIES * self._placement.estimate_s,
        )
        return min(left_s, hedge_s)

    def _is_lost(self, life: Life, sent_at: float) -> bool:
        """Return whether an engine fell silent with a request that may go elsewhere."""
        if self._route.kind is not RepeatKind.STREAM or not self._route.may_resume:
            return False
        now = trio.current_time()
        patience_s = max(SILENT_S, 2 * self._placement.estimate_s)
        if now - sent_at < patience_s:
            return False
        return not self._parts.health.heard_since(life, now - patience_s)

    def _read_head(self, response: httpx.Response) -> UpstreamHead:
        """Return the checked head of an answer."""
        parts = self._parts
        head = parts.protocol.read_head(
            self._req, response.status_code, response.headers.raw
        )
        parts.health.heard(self._placement.instance.life)
        if not head.is_ours:
            raise WrongAnswerError("it answers another request", sent=True)
        other = head.instance not in ("", self._placement.instance.instance)
        if head.is_misdirected and other:
            # Its address belongs to somebody else now; it has not run anything.
            parts.state.mark_leaving(self._placement.instance, "address_reused")
            raise NotRunError("another instance has the address", sent=False)
        self._target.head(self._placement, head)
        if head.not_run or head.is_misdirected:
            raise NotRunError(f"refused with status {head.status}", sent=False)
        if head.is_encoded or (head.status < 300 and not head.is_sealed):
            raise WrongAnswerError("the answer is not the upstream's own", sent=True)
        return head

    @property
    def _is_engine(self) -> bool:
        return self._placement.choice is not None

    async def _relay_answer(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay an answer, whose run may be moved meanwhile if it may be resumed."""
        copier = self._parts.copier
        may_move = self._route.kind is RepeatKind.STREAM and self._route.may_resume
        if copier is None or not may_move or self._is_last or not self._is_engine:
            await self._take(head, exchange, on_data)
            return
        mover = RunMover(
            copier,
            self._parts.engines.weights,
            self._target,
            self._placement,
            self._relay,
            self._req.request_id,
            self._may_go_on,
        )
        await mover.relay(lambda: self._take(head, exchange, on_data))

    async def _take(
        self, head: UpstreamHead, exchange: Exchange, on_data: Callable[[], None]
    ) -> None:
        """Relay a good answer; read an upstream's failure whole first."""
        if head.status < 300:
            await self._relay.take(head, exchange, on_data)
            return
        relay = WholeRelay(self._job.caller)
        if head.status < SERVER_ERROR:
            await relay.take(head, exchange, on_data)
            return
        raise ServerFailureError(head, await read_whole(exchange, on_data))
