"""Choose the instance of a plain service for a short call."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import field
from typing import Final

from .data_class import dataclass
from .forwarding import ForwardInstance
from .instance_report import InstanceLoadReport
from .reported_load import ReportedLoad

INITIAL_LATENCY_S: Final = 0.03
"""Assumed latency of a call before the first observation."""

LEARN_RATE: Final = 0.1
"""Weight of one call in the moving average of the latency."""

N_CHOICES: Final = 2
"""Instances to choose from at random where the best one would queue a call. See M.
Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001."""

JITTER_S: Final = 0.001
"""Random spread between instances of equal cost, so that routers do not all pick
one."""


@dataclass
class ServiceLoad:
    """Load and average latency of one incarnation of a service instance."""

    slots: int
    n_in_flight: int = 0
    """Calls of this router in flight at the instance."""
    latency_s: float = INITIAL_LATENCY_S
    """Moving average of the latency of a call without a queue, at a slowdown of 1."""
    reported: ReportedLoad = field(default_factory=ReportedLoad)
    """What the instance last reported of the calls of all routers."""
    in_flight_at_report: int = 0
    own_report_at: float = float("-inf")
    """When the instance last reported to this router itself."""

    def started(self) -> None:
        """Count a call that is being sent."""
        self.n_in_flight += 1

    def ended(self) -> None:
        """Count a call that is over."""
        self.n_in_flight -= 1

    def answered(self, seconds: float, now: float) -> None:
        """Update the average latency from a call that was answered."""
        load_factor = max(1.0, self.n_in_flight / max(1, self.slots))
        usual_s = seconds / load_factor / self.reported.slowdown(now)
        self.latency_s += LEARN_RATE * (usual_s - self.latency_s)

    def record_report(self, report: InstanceLoadReport, now: float) -> None:
        """Record the load that an instance reports in its answer to a call."""
        self.reported.record(report, now)
        self.in_flight_at_report = max(0, self.n_in_flight - 1)
        self.own_report_at = now

    def is_crowded(self, now: float) -> bool:
        """Return whether a call would queue at an instance that reports a slowdown."""
        return self.reported.has_slowdown and self._n_busy(now) >= self.slots

    def wait_s(self, now: float) -> float:
        """Return the estimated time until a new call is answered."""
        n_busy = self._n_busy(now)
        n_excess = max(0, n_busy + 1 - self.slots)
        load_factor = 1 + n_excess / max(1, self.slots) + 0.1 * n_busy
        usual_s = self.latency_s * self.reported.usual_slowdown * load_factor
        return self.reported.stretched_s(usual_s, now)

    def _n_busy(self, now: float) -> int:
        """Return the calls of all routers at the instance, as far as known."""
        n_busy = self.n_in_flight
        n_reported = self.reported.n_busy(now)
        if n_reported is not None:
            n_own = self.n_in_flight
            if self.reported.counted_at <= self.own_report_at:
                n_own = self.in_flight_at_report
            # The report still counts the call that it answered.
            n_busy += max(0, n_reported - 1 - n_own)
        return n_busy


def choose_service(
    candidates: Sequence[tuple[ForwardInstance, ServiceLoad]],
    zone: str,
    zone_penalty_s: float,
    now: float,
    rng: random.Random,
    risk_s: Callable[[ForwardInstance], float] = lambda instance: 0.0,
) -> ForwardInstance | None:
    """Return the instance expected to answer first, or None when there is none.

    ``risk_s`` returns the cost of an instance's risk of failure, in seconds.
    """

    def cost(pair: tuple[ForwardInstance, ServiceLoad]) -> float:
        instance, load = pair
        zone_s = 0.0 if instance.zone == zone else zone_penalty_s
        return load.wait_s(now) + zone_s + risk_s(instance) + rng.uniform(0.0, JITTER_S)

    if not candidates:
        return None
    best = min(candidates, key=cost)
    if best[1].is_crowded(now) and len(candidates) > N_CHOICES:
        # All routers see the same loads, which are a part of a second old.
        best = min(rng.sample(candidates, N_CHOICES), key=cost)
    return best[0]
