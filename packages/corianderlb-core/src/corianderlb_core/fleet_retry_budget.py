"""Limit the retries to an upstream over all routers of a fleet.

The allowance is a fraction of the requests plus a fixed number in each window. Each
router limits itself to that fraction of its own requests plus an even share of the
fixed number among the routers that may have run in the window. The total stays within
the allowance without coordination, however the requests are distributed.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from .data_class import dataclass

SAFETY_FACTOR: Final = 0.8
"""Fraction of the allowance that the routers use. The rest is a margin for a fleet that
has just grown, and for routers whose windows start at different times."""


@dataclass(frozen=True)
class BudgetTerms:
    """Retry allowance of one upstream."""

    ratio: float = 0.2
    """Retries allowed per request."""
    fixed: float = 50.0
    """Additional retries in each window."""
    window_s: float = 10.0


class FleetRetryBudget:
    """Sliding-window retry budget of one upstream at one router.

    ``started_at`` is when the router started. An earlier incarnation, or a replaced
    router, may have spent the fixed number within the preceding window. So in its first
    window the router uses only the margin that all routers leave: one retry at once, so
    that a broken answer can be continued, and more in proportion to the time since its
    start, since it may start several times within a window. ``n_routers`` is the size
    of the fleet that is assumed until peers are known.
    """

    def __init__(
        self, terms: BudgetTerms, started_at: float, n_routers: int = 1
    ) -> None:
        self._terms = terms
        self._started_at = started_at
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._n_routers = deque([(started_at, max(1, n_routers))])
        """Time and number of routers that share the fixed number; a monotonic queue
        for the window's maximum, largest first."""

    @property
    def n_retries(self) -> int:
        """Retries in the window."""
        return len(self._retries)

    @property
    def n_requests(self) -> int:
        """Requests in the window."""
        return len(self._requests)

    @property
    def n_routers(self) -> int:
        """Divisor of the fixed number: the most routers that shared it in the
        window."""
        return self._n_routers[0][1]

    def record_request(self, now: float, n_routers: int) -> None:
        """Record a request for the upstream."""
        self._requests.append(now)
        self._trim(now)
        self._record_n_routers(now, n_routers)

    def take(self, now: float, n_routers: int) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if not self.allows_retry(now, n_routers):
            return False
        self._retries.append(now)
        return True

    def allows_retry(self, now: float, n_routers: int) -> bool:
        """Return whether the budget allows one more retry."""
        self._trim(now)
        self._record_n_routers(now, n_routers)
        # Routers that were lost within the window may have spent their shares too.
        fixed = self._terms.fixed / self.n_routers
        runs_s = now - self._started_at
        if runs_s < self._terms.window_s:
            fixed *= 1 - SAFETY_FACTOR
            fixed = max(fixed * runs_s / self._terms.window_s, min(1.0, fixed))
        else:
            fixed *= SAFETY_FACTOR
        from_requests = SAFETY_FACTOR * self._terms.ratio * len(self._requests)
        return len(self._retries) + 1 <= from_requests + fixed

    def _record_n_routers(self, now: float, n_routers: int) -> None:
        n_routers = max(1, n_routers)
        while self._n_routers and self._n_routers[-1][1] <= n_routers:
            self._n_routers.pop()
        self._n_routers.append((now, n_routers))

    def _trim(self, now: float) -> None:
        oldest = now - self._terms.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()
        while self._n_routers and self._n_routers[0][0] < oldest:
            self._n_routers.popleft()
