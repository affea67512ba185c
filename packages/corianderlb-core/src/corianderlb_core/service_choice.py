"""Choose the instance of a plain service for a short call."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from .forwarding import ForwardInstance

FIRST_LATENCY_S: Final = 0.03
"""Assumed time of a call before any was measured."""

LEARN_RATE: Final = 0.1
"""How far one call moves the latency; ten calls move it two thirds of the way."""

WORD_S: Final = 0.5
"""How long an instance's own word on its load counts; it moves within one call."""

JITTER_S: Final = 0.001
"""Spread between instances that seem equal, so that routers do not all pick one."""


@dataclass
class ServiceLoad:
    """Follow the load and the speed of one life of a service instance."""

    slots: int
    n_in_flight: int = 0
    """Calls of this router that it has."""
    latency_s: float = FIRST_LATENCY_S
    """Learned time of a call that does not queue."""
    told_busy: int = 0
    """Running and waiting calls of all routers, by its own last word."""
    told_at: float = float("-inf")
    in_flight_when_told: int = 0

    def started(self) -> None:
        """Count a call that is being sent."""
        self.n_in_flight += 1

    def ended(self) -> None:
        """Count a call that is over."""
        self.n_in_flight -= 1

    def answered(self, seconds: float) -> None:
        """Learn from the time of a call that was answered."""
        busy = max(1.0, self.n_in_flight / max(1, self.slots))
        self.latency_s += LEARN_RATE * (seconds / busy - self.latency_s)

    def told(self, n_busy: int, now: float) -> None:
        """Take the instance's own word on its load, the answered call left out."""
        self.told_busy = max(0, n_busy - 1)
        self.told_at = now
        self.in_flight_when_told = max(0, self.n_in_flight - 1)

    def wait_s(self, now: float) -> float:
        """Return the estimated time until a new call is answered."""
        n_busy = self.n_in_flight
        if now - self.told_at < WORD_S:
            others = max(0, self.told_busy - self.in_flight_when_told)
            n_busy += others
        beyond = max(0, n_busy + 1 - self.slots)
        return self.latency_s * (1 + beyond / max(1, self.slots) + 0.1 * n_busy)


def choose_service(
    candidates: Sequence[tuple[ForwardInstance, ServiceLoad]],
    zone: str,
    zone_penalty_s: float,
    now: float,
    rng: random.Random,
    risk_s: Callable[[ForwardInstance], float] = lambda instance: 0.0,
) -> ForwardInstance | None:
    """Return the instance expected to answer first, or None when there is none.

    ``risk_s`` gives what the chance of a failure weighs for each, in seconds.
    """

    def cost(pair: tuple[ForwardInstance, ServiceLoad]) -> float:
        instance, load = pair
        away = 0.0 if instance.zone == zone else zone_penalty_s
        return load.wait_s(now) + away + risk_s(instance) + rng.uniform(0.0, JITTER_S)

    return min(candidates, key=cost)[0] if candidates else None
