"""Bound how often requests are sent once more, over all routers of a fleet.

Each router keeps to its part of the allowance: a share of its own requests, and the
fixed part divided by the number of routers. No router needs to ask another, and the
sum stays within the whole however the requests are spread.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

SAFETY: Final = 0.8
"""Part of the allowance that is used. The rest covers windows that slide apart on
different routers and a fleet that has just grown."""


@dataclass(frozen=True)
class BudgetTerms:
    """Hold the allowance for one upstream."""

    ratio: float = 0.2
    """Repeats for each request."""
    fixed: float = 50.0
    """Repeats in each window besides."""
    window_s: float = 10.0


class ArrivalBudget:
    """Count the requests and the repeats of one upstream at one router."""

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that came for the upstream."""
        self._requests.append(now)
        self._trim(now)

    def take(self, now: float, n_routers: int) -> bool:
        """Pay for sending a request once more; False when nothing is left."""
        if not self.has_room(now, n_routers):
            return False
        self._repeats.append(now)
        return True

    def has_room(self, now: float, n_routers: int) -> bool:
        """Return whether a request may be sent once more."""
        self._trim(now)
        fixed = self._terms.fixed / max(1, n_routers)
        allowed = SAFETY * (self._terms.ratio * len(self._requests) + fixed)
        return len(self._repeats) + 1 <= allowed

    def _trim(self, now: float) -> None:
        oldest = now - self._terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
