"""Count the repeats that an upstream has read, as its retry allowance counts them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence

from corianderlb_core.data_class import dataclass
from corianderlb_core.fleet_retry_budget import BudgetTerms


@dataclass(frozen=True)
class RetryWindow:
    """One window of the allowance."""

    since: float
    n_repeats: int
    n_requests: int
    """Requests of the window, of the one before, or of the one half a window before,
    whichever are most."""
    n_allowed: float

    @property
    def n_beyond(self) -> float:
        """Repeats beyond the allowance; negative within it."""
        return self.n_repeats - self.n_allowed


def worst_window(
    repeats_at: Sequence[float], sent_at: Sequence[float], terms: BudgetTerms
) -> RetryWindow | None:
    """Return the window with the most repeats beyond the allowance, None without any.

    ``repeats_at`` are the arrivals beyond the first of their request, and ``sent_at``
    the times at which callers sent requests, both in order.
    """

    def n_from(times: Sequence[float], since: float) -> int:
        return bisect_right(times, since + terms.window_s) - bisect_left(times, since)

    windows = []
    for since in repeats_at:
        starts = (since, since - terms.window_s / 2, since - terms.window_s)
        n_requests = max(n_from(sent_at, start) for start in starts)
        n_allowed = terms.ratio * n_requests + terms.fixed
        n_repeats = n_from(repeats_at, since)
        windows.append(RetryWindow(since, n_repeats, n_requests, n_allowed))
    return max(windows, key=lambda window: window.n_beyond, default=None)
