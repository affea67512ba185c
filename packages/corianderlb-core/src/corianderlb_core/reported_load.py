"""What an instance has last reported of itself, each figure with its age."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from .instance_report import InstanceLoadReport

REPORT_TTL_S: Final = 0.5
"""Age at which a reported number of requests expires."""

SLOWDOWN_DECAY_S: Final = 0.5
"""Time constant with which a reported slowdown decays to the usual of the instance. A
moment of slowness lasts about 0.6 s, so an older report says little of the present."""

N_RECENT: Final = 15
"""Reports whose median is the usual slowdown of an instance. Moments of slowness are
fewer than half of them."""

MIN_SLOWDOWN: Final = 0.1
MAX_SLOWDOWN: Final = 20.0
"""Bounds of a reported slowdown, so that one report can't exclude an instance."""


class ReportedLoad:
    """The newest figures that one incarnation of an instance has reported.

    A figure that a report lacks keeps its earlier value, which ages.
    """

    def __init__(self, is_told: bool = False) -> None:
        self.is_told = is_told
        """Whether routers tell each other all reports, so that the newest is recent."""
        self._n_running = 0
        self._running_at = -math.inf
        self._n_waiting = 0
        self._waiting_at = -math.inf
        self._slowdown = 1.0
        self._slowdown_at = -math.inf
        self._recent: deque[float] = deque(maxlen=N_RECENT)
        self.usual_slowdown = 1.0
        """How long work usually takes there: the median of the recent reports. An
        instance on a slower machine reports more than 1 also at its usual."""

    @property
    def has_slowdown(self) -> bool:
        """Whether the instance reports how long work takes at the moment."""
        return math.isfinite(self._slowdown_at)

    @property
    def counted_at(self) -> float:
        """When the newest number of requests was reported."""
        return max(self._running_at, self._waiting_at)

    def record(self, report: InstanceLoadReport, at: float) -> None:
        """Record a report made at a time; figures older than the known are dropped."""
        if report.n_running is not None and at >= self._running_at:
            self._n_running, self._running_at = report.n_running, at
        if report.n_waiting is not None and at >= self._waiting_at:
            self._n_waiting, self._waiting_at = report.n_waiting, at
        if report.slowdown is not None and at >= self._slowdown_at:
            bounded = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, report.slowdown))
            self._slowdown, self._slowdown_at = bounded, at
            self._recent.append(bounded)
            middle = (len(self._recent) - 1) // 2
            self.usual_slowdown = sorted(self._recent)[middle]

    def n_busy(self, now: float) -> int | None:
        """Return the running and waiting requests; None if no report is recent."""
        is_running_known = now - self._running_at < REPORT_TTL_S
        is_waiting_known = now - self._waiting_at < REPORT_TTL_S
        if not is_running_known and not is_waiting_known:
            return None
        n_running = self._n_running if is_running_known else 0
        return n_running + (self._n_waiting if is_waiting_known else 0)

    def slowdown(self, now: float) -> float:
        """Return how long work probably takes now; 1 is as usual on all machines."""
        age_s = max(0.0, now - self._slowdown_at)
        moment = self._slowdown - self.usual_slowdown
        return self.usual_slowdown + moment * math.exp(-age_s / SLOWDOWN_DECAY_S)

    def stretched_s(self, usual_s: float, now: float) -> float:
        """Return how long work takes, from now, that usually takes ``usual_s`` there.

        Work proceeds at the rate 1 / (1 + a exp(-t / tau)) while a slowdown of 1 + a
        times the usual decays with the time constant tau, so it takes tau log((1 + a)
        exp(usual / tau) - a). Short work is stretched by the slowdown; long work by no
        more than tau log(1 + a), since the moment passes.
        """
        excess = self.slowdown(now) / self.usual_slowdown - 1.0
        if not excess:
            return usual_s
        exponent = usual_s / SLOWDOWN_DECAY_S
        # The same, written so that the exponential of long work can't overflow.
        inner = 1.0 + excess - excess * math.exp(-exponent)
        return usual_s + SLOWDOWN_DECAY_S * math.log(inner)
