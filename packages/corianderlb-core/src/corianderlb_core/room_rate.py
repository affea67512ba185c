"""Find how much work a fleet of engines can take so that callers are served in time.

Reports between routers are older than the objectives of urgent callers, so a queue at
one engine is seen only when it is too late to avoid it. A rate over all engines is not:
what they have served while they were busy is what they can serve.

Two figures are enough. The *capacity* is the rate of first tokens while the engines are
busy. The *delay* is the mean time to the first token as a share of the objective: by
Little's law, the work that waits for its first token, divided by the capacity. More
than the capacity is admitted while the delay is below its target, and less while it is
above. The target follows the share of answers that are late, since engines of unequal
speed and old reports spread the times around their mean.
"""

from __future__ import annotations

import math
from typing import Final

from .data_class import dataclass

FLOW_WINDOW_S: Final = 0.5
"""Time over which the engines' answers are averaged."""

MAX_LATE_SHARE: Final = 0.05
"""Share of late work from which the engines count as having too much to do."""

MIN_DELAY: Final = 0.2
MAX_DELAY: Final = 0.6
"""Bounds of the target of the delay, in objectives. With the highest, a first token
that takes half as long again as the mean is still in time."""

LITTLE_DELAY_SHARE: Final = 0.5
"""Share of the target of the delay below which engines are taken to have time."""

DELAY_RISE_PER_S: Final = 0.1
DELAY_FALL_PER_S: Final = 0.3
"""Speeds at which the target of the delay changes."""

DRAIN_S: Final = 1.0
"""Time over which work beyond the target is worked off: longer than it takes until its
effect is seen over all routers, since the rate would swing otherwise."""

MIN_RATE_SHARE: Final = 0.3
MAX_RATE_SHARE: Final = 1.25
"""Bounds of the admitted rate, relative to the capacity."""

FALL_S: Final = 1.0
RISE_S: Final = 0.4
"""Time constants at which the capacity follows a lower and a higher rate of first
tokens."""

PEAK_S: Final = 20.0
MIN_PEAK_SHARE: Final = 0.3
"""Least capacity, relative to the highest that was found in the time ``PEAK_S``. When
engines are back after an outage of all, it takes little time to find their capacity."""

MIN_FULL_SHARE: Final = 0.5
"""Share of the engines' places from which late answers count as a lack of room."""


@dataclass(frozen=True)
class RoomFlow:
    """Work that goes through the engines."""

    served: float = 0.0
    """Work whose first token has come, in cost a second."""
    in_time: float = 0.0
    """The same, as far as it came in time."""
    late: float = 0.0
    """Work whose first token was due and had not come, or that found no engine."""
    waiting: float = 0.0
    """Work that waits for its first token: cost divided by the objective, summed."""

    def plus(self, other: RoomFlow, scale: float = 1.0) -> RoomFlow:
        """Return the sum with a multiple of another flow."""
        return RoomFlow(
            self.served + scale * other.served,
            self.in_time + scale * other.in_time,
            self.late + scale * other.late,
            self.waiting + scale * other.waiting,
        )

    @property
    def late_share(self) -> float:
        """Share of the work that was late."""
        due = self.in_time + self.late
        return self.late / due if due else 0.0


class RoomRate:
    """Rate of work that all routers together may send to the engines."""

    def __init__(self) -> None:
        self.capacity = math.inf
        """Rate that the engines can serve; infinite until it has been found."""
        self.per_s = math.inf
        """Rate that may be admitted now."""
        self.delay = 0.0
        """Mean time to the first token, in objectives."""
        self._peak = 0.0
        self._speed = 0.0
        self._mean_speed = 0.0
        """Over the time in which the first tokens came."""
        self.target = (MIN_DELAY + MAX_DELAY) / 2
        """Delay at which the capacity is admitted, in objectives."""

    def update(
        self,
        flow: RoomFlow,
        objective_s: float,
        is_full: bool,
        elapsed_s: float,
        speed: float = 0.0,
    ) -> None:
        """Follow what the engines answered.

        ``speed`` is the rate of the engines that can be used at present, with which the
        capacity falls and rises; 0 if unknown.

        ``objective_s`` is the mean objective of the work, by its cost. ``is_full``
        tells whether at least half of the places are taken: a late answer of a sick
        engine beside idle ones says nothing about the room.
        """
        served = flow.served * self._follow_speed(speed, elapsed_s)
        is_late = flow.late_share > MAX_LATE_SHARE
        if math.isinf(self.capacity):
            if is_late and is_full and served:
                self.capacity = served
        elif served > self.capacity:
            step = min(1.0, elapsed_s / RISE_S)
            self.capacity += step * (served - self.capacity)
        elif self._delay(flow) > self.target:
            # While less waits, the engines may serve less than they could.
            step = min(1.0, elapsed_s / FALL_S)
            self.capacity += step * (served - self.capacity)
        if math.isinf(self.capacity):
            return
        self.delay = self._delay(flow)
        self._peak *= math.exp(-elapsed_s / PEAK_S)
        self._peak = max(self._peak, self.capacity)
        self.capacity = max(self.capacity, MIN_PEAK_SHARE * self._peak)
        slope_per_s = -DELAY_FALL_PER_S if is_late else DELAY_RISE_PER_S
        self.target += slope_per_s * elapsed_s
        self.target = max(MIN_DELAY, min(MAX_DELAY, self.target))
        ahead_s = (self.target - self._delay(flow)) * objective_s
        factor = 1.0 + ahead_s / DRAIN_S
        if not is_late and self._delay(flow) < LITTLE_DELAY_SHARE * self.target:
            factor = MAX_RATE_SHARE
        factor = max(MIN_RATE_SHARE, min(MAX_RATE_SHARE, factor))
        self.per_s = factor * self.capacity

    def _follow_speed(self, speed: float, elapsed_s: float) -> float:
        """Scale the capacity, and return the same factor for recent first tokens."""
        if not speed:
            return 1.0
        if self._speed and math.isfinite(self.capacity):
            self.capacity *= speed / self._speed
            self._peak *= speed / self._speed
        if not self._mean_speed:
            self._mean_speed = speed
        keep = math.exp(-elapsed_s / FLOW_WINDOW_S)
        before = self._speed or speed
        self._mean_speed = keep * self._mean_speed + (1.0 - keep) * before
        self._speed = speed
        return speed / self._mean_speed

    def adopt(self, capacity: float) -> None:
        """Move half of the way to what other routers found, or all without a view."""
        if math.isinf(self.capacity):
            self.capacity = self.per_s = capacity
            return
        mean = (self.capacity + capacity) / 2.0
        self.per_s *= mean / self.capacity
        self.capacity = mean

    def _delay(self, flow: RoomFlow) -> float:
        """Return the mean time to the first token, in objectives."""
        return flow.waiting / self.capacity if self.capacity else math.inf
