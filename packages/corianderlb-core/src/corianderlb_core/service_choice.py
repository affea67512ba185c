"""Choose the instance of a plain service for a short call."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from .forwarding import ForwardInstance

INITIAL_LATENCY_S: Final = 0.03
"""Assumed latency of a call before the first observation."""

LEARN_RATE: Final = 0.1
"""Weight of one call in the moving average of the latency."""

REPORT_TTL_S: Final = 0.5
"""Age at which an instance's own report of its load expires."""

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
    """Moving average of the latency of a call that does not queue."""
    reported_busy: int = 0
    """Running and waiting calls of all routers, as the instance last reported."""
    reported_at: float = float("-inf")
    in_flight_at_report: int = 0

    def started(self) -> None:
        """Count a call that is being sent."""
        self.n_in_flight += 1

    def ended(self) -> None:
        """Count a call that is over."""
        self.n_in_flight -= 1

    def answered(self, seconds: float) -> None:
        """Update the average latency from a call that was answered."""
        load_factor = max(1.0, self.n_in_flight / max(1, self.slots))
        self.latency_s += LEARN_RATE * (seconds / load_factor - self.latency_s)

    def record_report(self, n_busy: int, now: float) -> None:
        """Record the load that an instance reports in its answer to a call.

        The report still counts the answered call, which is subtracted.
        """
        self.reported_busy = max(0, n_busy - 1)
        self.reported_at = now
        self.in_flight_at_report = max(0, self.n_in_flight - 1)

    def wait_s(self, now: float) -> float:
        """Return the estimated time until a new call is answered."""
        n_busy = self.n_in_flight
        if now - self.reported_at < REPORT_TTL_S:
            n_others = max(0, self.reported_busy - self.in_flight_at_report)
            n_busy += n_others
        n_excess = max(0, n_busy + 1 - self.slots)
        return self.latency_s * (1 + n_excess / max(1, self.slots) + 0.1 * n_busy)


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

    return min(candidates, key=cost)[0] if candidates else None
