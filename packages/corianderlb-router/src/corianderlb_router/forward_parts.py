"""The parts of a router that a forwarded request works with."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

import trio

from corianderlb_core.arrival_budget import ArrivalBudget, BudgetTerms
from corianderlb_core.identity import Presence
from corianderlb_core.part_index import Life
from corianderlb_core.return_schedule import ReturnSchedule
from corianderlb_core.service_choice import ServiceLoad

from .engine_board import EngineBoard
from .fleet_quarantine import FleetQuarantine
from .forward_metric import ForwardMetrics
from .forward_request import ForwardProtocol
from .health_board import HealthBoard
from .in_flight import InFlightTable
from .interface import PeerNetwork
from .memory_copier import MemoryCopier
from .serving_state import ServingState
from .transport import UpstreamTransport


@dataclass(frozen=True)
class ForwardSettings:
    """Hold what forwarding needs from the settings of a router."""

    node: str
    zone: str
    zone_penalty_s: float = 0.002
    """What a call to another availability zone costs more."""
    budget: BudgetTerms = field(default_factory=BudgetTerms)
    weights_limit_s: float = math.inf
    """Longest time after which users take answers of weights that were replaced."""
    connect_timeout_s: float = 0.25
    """Longest wait for a connection to an upstream: a hundred times the way between
    availability zones, a quarter of what an urgent call may take."""


@dataclass(frozen=True)
class ForwardParts:
    """Hold the parts that all forwarded requests of a router share."""

    cfg: ForwardSettings
    state: ServingState
    protocol: ForwardProtocol
    transport: UpstreamTransport
    engines: EngineBoard
    health: HealthBoard
    quarantine: FleetQuarantine
    in_flight: InFlightTable
    peers: PeerNetwork
    metrics: ForwardMetrics
    rng: random.Random
    started_at: float = -math.inf
    """Router's clock when this process started."""
    n_routers_at_start: int = 1
    """Routers that there may be, before any was heard of."""
    copier: MemoryCopier | None = None
    """Copies runs between engines; None where engines cannot."""
    services: dict[Life, ServiceLoad] = field(default_factory=dict)
    budgets: dict[str, ArrivalBudget] = field(default_factory=dict)
    returns: dict[str, ReturnSchedule] = field(default_factory=dict)
    """By upstream: when those come back that it had no room for."""

    @property
    def n_routers(self) -> int:
        """Routers thought to be live."""
        members = self.peers.members()
        return max(1, sum(state.presence is Presence.LIVE for state in members))

    def budget(self, upstream: str) -> ArrivalBudget:
        """Return the budget of repeats of an upstream."""
        found = self.budgets.get(upstream)
        if found is None:
            found = ArrivalBudget(
                self.cfg.budget, self.started_at, self.n_routers_at_start
            )
            self.budgets[upstream] = found
        return found

    def back_in(
        self, upstream: str, wait_s: float, read_s: float, most_s: float
    ) -> float:
        """Return after how many seconds a caller should come back to an upstream."""
        schedule = self.returns.setdefault(upstream, ReturnSchedule())
        now = trio.current_time()
        return schedule.back_in(wait_s, read_s, most_s, self.n_routers, now)

    def service(self, life: Life, slots: int) -> ServiceLoad:
        """Return the load of a life of a service instance."""
        found = self.services.get(life)
        if found is None:
            found = self.services[life] = ServiceLoad(slots)
        return found
