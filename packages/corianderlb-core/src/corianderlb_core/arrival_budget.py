"""Bound how often requests are sent once more, over all routers of a fleet.

Each router keeps to its part of the allowance: a share of its own requests, and the
fixed part divided by the number of routers that were live in the window. No router
needs to ask another, and the sum stays within the whole however the requests are
spread.
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
    """Count the requests and the repeats of one upstream at one router.

    ``started_at`` is when the router started. An earlier life, or the router that it
    replaces, may have spent the fixed part within a window before; so for a window it
    is given only what all leave of theirs. ``n_routers`` are those that there may be
    at the start, before any was heard of.
    """

    def __init__(
        self, terms: BudgetTerms, started_at: float, n_routers: int = 1
    ) -> None:
        self._terms = terms
        self._started_at = started_at
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._n_routers = deque([(started_at, max(1, n_routers))])
        """Counts of live routers in the window that no later count exceeds, the
        largest first."""

    def record_request(self, now: float, n_routers: int) -> None:
        """Count a request that came for the upstream."""
        self._requests.append(now)
        self._trim(now)
        self._note_routers(now, n_routers)

    def take(self, now: float, n_routers: int) -> bool:
        """Pay for sending a request once more; False when nothing is left."""
        if not self.has_room(now, n_routers):
            return False
        self._repeats.append(now)
        return True

    def has_room(self, now: float, n_routers: int) -> bool:
        """Return whether a request may be sent once more."""
        self._trim(now)
        self._note_routers(now, n_routers)
        # Those that were lost in the window have spent their parts as well.
        fixed = self._terms.fixed / self._n_routers[0][1]
        is_new = now - self._started_at < self._terms.window_s
        fixed *= 1 - SAFETY if is_new else SAFETY
        of_requests = SAFETY * self._terms.ratio * len(self._requests)
        return len(self._repeats) + 1 <= of_requests + fixed

    def _note_routers(self, now: float, n_routers: int) -> None:
        n_routers = max(1, n_routers)
        while self._n_routers and self._n_routers[-1][1] <= n_routers:
            self._n_routers.pop()
        self._n_routers.append((now, n_routers))

    def _trim(self, now: float) -> None:
        oldest = now - self._terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
        while self._n_routers and self._n_routers[0][0] < oldest:
            self._n_routers.popleft()
