"""Estimate how long a request will take from what others of its route have taken.

Means and mean deviations are smoothed as in TCP's retransmission timer (RFC 6298).
"""

from __future__ import annotations

from typing import Final

from .data_class import dataclass

MEAN_GAIN: Final = 1 / 8
"""Weight of a new sample in the smoothed mean."""

DEVIATION_GAIN: Final = 1 / 4
"""Weight of a new sample in the smoothed mean deviation."""

N_DEVIATIONS: Final = 4
"""Mean deviations by which a bound lies above the mean."""

MAX_ROUTES: Final = 4096
"""Limit of routes with an estimate; the one that was added first is dropped first."""


class SmoothedTime:
    """Smoothed mean of a time, with its mean deviation.

    For example, after ``add(1.0)`` the mean is 1.0 and the bound 3.0; with more samples
    of about a second the bound comes down towards the mean.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0
        self._is_empty = True

    @property
    def bound_s(self) -> float:
        """Time that few samples exceed."""
        return self.mean_s + N_DEVIATIONS * self._deviation_s

    def add(self, sample_s: float) -> None:
        """Add a time."""
        if self._is_empty:
            self._is_empty = False
            self.mean_s, self._deviation_s = sample_s, sample_s / 2
            return
        error_s = sample_s - self.mean_s
        self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self.mean_s += MEAN_GAIN * error_s

    def add_lower_bound(self, sample_s: float) -> None:
        """Add a time that would have become longer; it counts if it is above the mean.

        Left out altogether, only requests that were short enough would count.
        """
        if sample_s > self.mean_s:
            self.add(sample_s)


@dataclass(frozen=True)
class DurationEstimate:
    """Estimated times of one request, in seconds from now."""

    first_s: float
    """Usual time until its answer begins."""
    usual_s: float
    """Usual time until its answer is complete."""
    bound_s: float
    """Time that few such requests exceed."""


@dataclass(frozen=True)
class RequestTimes:
    """What one request has taken."""

    first_s: float
    """Time until its answer began, or until it ended without an answer."""
    rest_s: float
    """Time from then until the answer ended."""
    n_tokens: int = 1
    """Tokens of output that it asked for; 1 for an answer that is no stream."""
    is_whole: bool = True
    """Whether the answer was complete, so that it would not have taken longer."""


class _RouteDurations:
    def __init__(self) -> None:
        self.first = SmoothedTime()
        self.per_token = SmoothedTime()


class RequestDurations:
    """Durations of the requests of each route that have ended lately.

    For example ``durations.record("chat", RequestTimes(0.2, 4.0, n_tokens=100))``, then
    ``durations.estimate("chat", n_tokens=50)``.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteDurations] = {}

    def record(self, route: str, times: RequestTimes) -> None:
        """Record a request that has ended."""
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            self._routes[route] = _RouteDurations()
        known = self._routes[route]
        per_token_s = times.rest_s / times.n_tokens
        if times.is_whole:
            known.first.add(times.first_s)
            known.per_token.add(per_token_s)
        else:
            known.first.add_lower_bound(times.first_s)
            known.per_token.add_lower_bound(per_token_s)

    def estimate(
        self, route: str, n_tokens: int = 1, begins_in_s: float = 0.0
    ) -> DurationEstimate | None:
        """Return the estimate for a request of a route; None without any sample.

        ``begins_in_s`` is the least time until its answer begins, if more is known of
        this request.
        """
        known = self._routes.get(route)
        if known is None:
            return None
        first_s = max(begins_in_s, known.first.mean_s)
        first_bound_s = max(begins_in_s, known.first.bound_s)
        return DurationEstimate(
            first_s=first_s,
            usual_s=first_s + n_tokens * known.per_token.mean_s,
            bound_s=first_bound_s + n_tokens * known.per_token.bound_s,
        )
