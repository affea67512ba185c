"""Decides which requests a router still takes while it stops."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import trio

from corianderlb_core.forwarding import ForwardRoute, RepeatKind
from corianderlb_core.request_duration import (
    DurationEstimate,
    RequestDurations,
    RequestTimes,
)
from corianderlb_core.result import ResultCode

from .caller import refuse
from .exchange_registry import ExchangeRegistry
from .forward_caller import ForwardCaller
from .forward_request import ForwardRequest
from .interface import PeerNetwork

ELSEWHERE_RETRY_S: Final = 0.05
"""Retry-after time of a refusal if another router can take the request at once."""

LAST_RESORT_S: Final = 3.0
"""Time after the termination signal from which a router takes nothing that it may cut,
though no other live one is known: what a later one could still do is too little."""

MARGIN_FACTOR: Final = 2.0
"""Factor on the estimated time of an answer of which a cut would leave nothing: times
may become longer after the request was taken."""

MAX_RETRY_SHARE: Final = 1 / 3
"""Upper bound for the retry-after time, as a share of the time until the deadline."""


class StopAdmission:
    """Refuses requests that this router would cut when its grace period ends.

    If another live router is known, a request is taken only if it almost certainly ends
    before; its caller loses little by going elsewhere. A call that may not be repeated
    is then taken only if its deadline passes before: no estimate of its time is good
    enough, as the outcome of one that is cut is unknown.

    If no other is known, a request is taken unless its caller would gain little, until
    ``LAST_RESORT_S`` after the signal: half of a stream that can be resumed is enough,
    as its caller keeps that; any other answer has to end, and a call that may not be
    repeated has to end almost certainly.
    """

    def __init__(self, exchanges: ExchangeRegistry, peers: PeerNetwork) -> None:
        self._exchanges = exchanges
        self._peers = peers
        self._durations = RequestDurations()

    def record(
        self, req: ForwardRequest, route: ForwardRoute, caller: ForwardCaller
    ) -> None:
        """Record what a request has taken that was sent and has ended."""
        now = trio.current_time()
        first_at = caller.first_byte_at if caller.started else now
        times = RequestTimes(
            first_s=first_at - caller.arrived_at,
            rest_s=now - first_at,
            n_tokens=_n_tokens(req),
            is_whole=caller.finished and caller.result is ResultCode.OK,
        )
        self._durations.record(route.name, times)

    def check(
        self,
        req: ForwardRequest,
        route: ForwardRoute,
        deadline: float,
        begins_in_s: Callable[[], float],
    ) -> None:
        """Raise ``RequestRefusedError`` if the router stops and shouldn't take this.

        ``begins_in_s`` estimates the time until an instance begins the answer; it is
        called only if needed.
        """
        cut_at = self._exchanges.cut_at
        if deadline <= cut_at:
            return
        now = trio.current_time()
        left_s = cut_at - now
        has_others = self._peers.has_live_peers()
        is_once = route.kind is RepeatKind.AT_MOST_ONCE
        if has_others and is_once:
            needed_s = deadline - now
        else:
            is_late = self._exchanges.stopping_s >= LAST_RESORT_S
            is_certain = has_others or is_once or is_late
            estimate = self._durations.estimate(
                route.name, _n_tokens(req), begins_in_s()
            )
            needed_s = _needed_s(route, estimate, is_certain)
            if is_once:
                # Those that have ended don't tell that answers have turned slow.
                waits_s = self._exchanges.longest_wait_s(route.name)
                needed_s = max(needed_s, MARGIN_FACTOR * waits_s)
            needed_s = min(deadline - now, needed_s)
        if 0 < left_s and needed_s <= left_s:
            return
        retry_s = ELSEWHERE_RETRY_S if has_others else max(ELSEWHERE_RETRY_S, left_s)
        detail = (
            f"This router stops in {left_s * 1000:.0f} ms; the answer may take "
            f"{needed_s * 1000:.0f} ms."
        )
        most_s = MAX_RETRY_SHARE * (deadline - now)
        raise refuse(ResultCode.DRAINING, detail, min(retry_s, most_s))


def _needed_s(
    route: ForwardRoute, estimate: DurationEstimate | None, is_certain: bool
) -> float:
    """Return the time that a request needs to be taken.

    ``is_certain`` tells whether its answer has to end almost certainly.
    """
    if estimate is None:
        return math.inf if is_certain else 0.0
    keeps_part = route.kind is RepeatKind.STREAM and route.may_resume
    if is_certain:
        return estimate.bound_s * (1.0 if keeps_part else MARGIN_FACTOR)
    if keeps_part:
        return (estimate.first_s + estimate.usual_s) / 2
    return estimate.usual_s


def _n_tokens(req: ForwardRequest) -> int:
    """Return the most tokens of output that are still to come; 1 if not known.

    A resumed stream has had at least one token for each of its events.
    """
    if req.prompt is None:
        return 1
    return max(1, req.prompt.n_output - (req.resume_after or 0))
