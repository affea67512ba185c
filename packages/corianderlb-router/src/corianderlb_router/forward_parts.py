"""Components of a router that forwarded requests share."""

from __future__ import annotations

import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import field
from typing import Final

import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.fair_room import RoomRefusal
from corianderlb_core.fleet_retry_budget import (
    BudgetTerms,
    FleetRetryBudget,
    RetryCharge,
)
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.return_schedule import ReturnSchedule
from corianderlb_core.room_share import RoomKey
from corianderlb_core.service_choice import ServiceLoad
from corianderlb_core.usage_cap import UsageTerms

from .answer_end import AnswerEnds
from .caller_memory import DEFAULT_MEMORY_BYTES, HELD_SHARE, CallerMemory
from .end_announcements import EndAnnouncements
from .engine_table import EngineTable
from .fleet_quarantine import FleetQuarantine
from .fleet_rooms import FleetRooms
from .fleet_usage import FleetUsage
from .forward_metric import ForwardMetrics
from .forward_request import ForwardProtocol
from .health_table import HealthTable
from .in_flight import InFlightTable
from .incarnation_check import IncarnationCheck
from .interface import PeerNetwork
from .log_writer import log_ms, log_request
from .memory_copier import MemoryCopier
from .path_watch import PathWatch
from .peer_tunnel import Tunnels
from .send_permits import SendPermits
from .serving_state import ServingState
from .stream_origins import StreamOrigins
from .transport import UpstreamTransport

POLL_S: Final = 0.025
"""Least interval at which a waiting request retries placement."""

MAX_POLLS_PER_S: Final = 160.0
"""Rate at which all waiting requests of a router together retry placement."""


@dataclass(frozen=True)
class ForwardSettings:
    """Settings of a router that concern forwarding."""

    node: str
    zone: str
    zone_penalty_s: float = 0.002
    """Extra latency that a call to another availability zone is assumed to have."""
    budget: BudgetTerms = field(default_factory=BudgetTerms)
    usage: UsageTerms = field(default_factory=UsageTerms)
    weights_limit_s: float = math.inf
    """Longest time for which replaced weights may still be used for answers."""
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    """Memory that the process may use, a share of which bounds what is held for
    callers."""
    bounded_engines: bool = False
    """Whether all routers together keep what they send an engine within its memory."""
    fair_room: bool = False
    """Whether client accounts get fair shares of the engines where room is scarce."""
    level_queues: bool = False
    """Whether routers spread requests so that the engines' queues stay level, in place
    of choosing the engine that the last reports show as the first to begin."""
    avoid_crashed: bool = False
    """Whether no router sends to an engine, or has parts fetched from it, that one of
    them has found crashed."""
    urgent_places: bool = False
    """Whether some of each engine's places are left to the most urgent requests."""
    connect_timeout_s: float = 0.25
    """Timeout for connecting to an upstream: well above the latency between
    availability zones, well below the objective of an urgent call."""


class WaitingRequests:
    """Requests that wait for an instance; bounds how often all of them look for one.

    Each look costs the router what sending a request does, and most requests wait
    when there is the least processor time to spare.
    """

    def __init__(self) -> None:
        self.n = 0
        """Number of requests that wait at present."""

    @property
    def pause_s(self) -> float:
        """Pause after which a waiting request looks again."""
        return max(POLL_S, self.n / MAX_POLLS_PER_S)

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Count a request as waiting."""
        self.n += 1
        try:
            yield
        finally:
            self.n -= 1


@dataclass(frozen=True)
class ForwardParts:
    """Components that all forwarded requests of a router share."""

    cfg: ForwardSettings
    state: ServingState
    protocol: ForwardProtocol
    transport: UpstreamTransport
    engines: EngineTable
    health: HealthTable
    quarantine: FleetQuarantine
    in_flight: InFlightTable
    peers: PeerNetwork
    metrics: ForwardMetrics
    usage: FleetUsage
    permits: SendPermits
    rng: random.Random
    paths: PathWatch
    rooms: FleetRooms
    origins: StreamOrigins
    tunnels: Tunnels | None = None
    """Connections to instances through other routers; None without any."""
    started_at: float = -math.inf
    """Start of this process, by the router's clock."""
    n_routers_at_start: int = 1
    """Assumed number of routers until the peers are known."""
    ran_before_s: Callable[[], float] = lambda: math.inf
    """Time from the previous start of this router to this one; 0 if not known."""
    ends: AnswerEnds | None = None
    """Tells whether answers without a mark of their end are whole; None if any that
    ends in order counts as whole."""
    end_announcements: EndAnnouncements | None = None
    """Tells whether ends of answers coincide, over all routers; None if nothing is told
    of them."""
    incarnations: IncarnationCheck | None = None
    """Asks instances whether they have restarted; None if they can't be asked."""
    copier: MemoryCopier | None = None
    """Copies runs between engines; None if the engines do not support it."""
    memory: CallerMemory = field(
        default_factory=lambda: CallerMemory(HELD_SHARE * DEFAULT_MEMORY_BYTES)
    )
    """Accounts for what is held for callers, and of answers that arrive."""
    services: dict[IncarnationKey, ServiceLoad] = field(default_factory=dict)
    budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)
    waiting: WaitingRequests = field(default_factory=WaitingRequests)
    standbys: Counter[str] = field(default_factory=Counter)
    """Attempts that stand by for silent ones, by upstream."""
    attempt_numbers: Iterator[int] = field(default_factory=itertools.count)
    """Numbers of the attempts of all requests."""
    return_schedules: dict[str, ReturnSchedule] = field(default_factory=dict)
    """Schedules of the retries of refused callers, by upstream."""

    @property
    def n_routers(self) -> int:
        """Number of routers known to be live, at least one."""
        return max(1, self.peers.n_live())

    @property
    def n_sharing(self) -> int:
        """Number of routers among which a fixed allowance is divided.

        Routers that can't hear each other still spend from the same allowance. Without
        the store's list, a router may have met only some of them.
        """
        if self.peers.has_met_peers() and self.peers.has_list():
            return max(1, self.peers.n_sharing())
        return max(self.n_routers_at_start, self.peers.n_sharing())

    def budget(self, upstream: str) -> FleetRetryBudget:
        """Return the retry budget of an upstream."""
        found = self.budgets.get(upstream)
        if found is None:
            found = FleetRetryBudget(
                self.cfg.budget,
                self.started_at,
                self.n_routers_at_start,
                self.ran_before_s,
            )
            self.budgets[upstream] = found
        return found

    def record_request(self, upstream: str) -> None:
        """Record a request in the retry budget of its upstream."""
        self.budget(upstream).record_request(trio.current_time(), self.n_sharing)

    def charge_retry(self, upstream: str, request_id: str = "") -> RetryCharge | None:
        """Charge a retry to the budget of an upstream; return None without room."""
        budget, now = self.budget(upstream), trio.current_time()
        charge = budget.take(now, self.n_sharing)
        if charge is not None:
            log_request(
                message_type="retry:charged",
                request=request_id,
                upstream=upstream,
                retries=budget.n_retries,
                requests=budget.n_requests,
                routers=budget.n_routers,
                live_routers=self.n_routers,
                runs_ms=log_ms(now - self.started_at),
            )
        return charge

    def record_retry_sent(
        self, upstream: str, request_id: str, instance: str, charged_at: float | None
    ) -> None:
        """Record that the first byte of a retry is about to be sent.

        ``charged_at`` is the time of its charge, or None without one.
        """
        delay_s = None if charged_at is None else trio.current_time() - charged_at
        log_request(
            message_type="retry:sent",
            request=request_id,
            upstream=upstream,
            instance=instance,
            charged_ms=None if delay_s is None else log_ms(delay_s),
        )
        self.metrics.retry_sent(delay_s)

    def retry_delay_s(
        self, upstream: str, wait_s: float, prefill_time_s: float, most_s: float
    ) -> float:
        """Return the time in seconds after which a caller should retry an upstream."""
        schedule = self.return_schedules.setdefault(upstream, ReturnSchedule())
        now = trio.current_time()
        return schedule.retry_delay_s(
            wait_s, prefill_time_s, most_s, self.n_routers, now
        )

    def room_retry_delay_s(
        self, upstream: str, key: RoomKey, refusal: RoomRefusal, most_s: float
    ) -> float:
        """Return when a caller refused for lack of room should retry.

        Callers of an account and urgency return one after the other, at the rate of
        their own part of the room at this router.
        """
        name = f"{upstream} {key.urgency} {key.account}"
        schedule = self.return_schedules.setdefault(name, ReturnSchedule())
        now = trio.current_time()
        return schedule.retry_delay_s(refusal.wait_s, refusal.spacing_s, most_s, 1, now)

    def service(self, incarnation_key: IncarnationKey, slots: int) -> ServiceLoad:
        """Return the load of one incarnation of a service instance."""
        self.engines.merge_reports()
        found = self.services.get(incarnation_key)
        if found is None:
            found = self.services[incarnation_key] = ServiceLoad(
                slots, reported=self.engines.reported(incarnation_key)
            )
        return found
