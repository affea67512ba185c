"""Limit the retries to an upstream over all routers of a fleet.

The allowance is a fraction of the requests plus a fixed number in each window. Each
router limits itself to that fraction of its own requests plus an even share of the
fixed number among the routers that may have run in the window. The total stays within
the allowance without coordination, however the requests are distributed.

The allowance is about the times at which instances read the attempts. A retry therefore
counts from its charge until a window after all attempts of its request have arrived.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from itertools import accumulate
from typing import Final

from .data_class import dataclass

SAFETY_FACTOR: Final = 0.8
"""Fraction of the allowance that the routers use. The rest is a margin for a fleet that
has just grown, and for routers whose windows start at different times."""

SLOTS_PER_WINDOW: Final = 40
"""Resolution in which requests are counted."""


@dataclass(frozen=True)
class BudgetTerms:
    """Retry allowance of one upstream."""

    ratio: float = 0.2
    """Retries allowed per request."""
    fixed: float = 50.0
    """Additional retries in each window."""
    window_s: float = 10.0


class RequestWindows:
    """Requests of the last two windows, and how many of them an allowance counts.

    The allowance of a window counts the requests of that window, of the one before or
    of the one half a window before, whichever are most. A retry belongs to all windows
    around it, so ``n_counted`` is the least that any of them counts. For example, of
    two surges 8 s apart in windows of 10 s it has the larger one only.
    """

    def __init__(self, window_s: float) -> None:
        self._slot_s = window_s / SLOTS_PER_WINDOW
        self._counts = [0] * (2 * SLOTS_PER_WINDOW + 1)
        """Requests by slot, the newest last."""
        self._newest = 0
        """Number of the newest slot."""

    @property
    def n_recent(self) -> int:
        """Requests of the last window."""
        return sum(self._counts[-SLOTS_PER_WINDOW:])

    def record(self, now: float) -> None:
        """Record a request."""
        self.advance(now)
        self._counts[-1] += 1

    def advance(self, now: float) -> None:
        """Drop what is older than two windows."""
        slot = math.floor(now / self._slot_s)
        n_slots, n_new = len(self._counts), slot - self._newest
        if n_new > 0:
            self._newest = slot
            self._counts = [*self._counts, *[0] * min(n_new, n_slots)][-n_slots:]

    def n_counted(self) -> int:
        """Return the requests that count in each window around the newest slot."""
        sums = [0, *accumulate(self._counts)]
        n_slots, half = SLOTS_PER_WINDOW, SLOTS_PER_WINDOW // 2

        def n_between(first: int, end: int) -> int:
            return sums[min(end, len(self._counts))] - sums[first]

        # A window that begins within a slot has the slots at its ends only in part.
        return min(
            max(
                n_between(start - n_slots + 1, start),
                n_between(start - half + 1, start + half),
                n_between(start + 1, len(self._counts)),
            )
            for start in range(n_slots, 2 * n_slots + 1)
        )


class RetryCharge:
    """One retry, from its charge until a window after its request has arrived.

    For example ``charge = budget.take(now, 4)``, then ``charge.settle(now)`` once the
    instance has answered. Returned by ``FleetRetryBudget.take``.
    """

    __slots__ = ("_budget", "_is_open", "charged_at")

    def __init__(self, budget: FleetRetryBudget, now: float) -> None:
        self._budget = budget
        self._is_open = True
        self.charged_at = now

    def settle(self, arrived_by: float) -> None:
        """Count the retry for one more window after ``arrived_by``, which may be
        later than now."""
        if self._is_open:
            self._is_open = False
            self._budget._close(arrived_by)

    def cancel(self) -> None:
        """Stop counting the retry, of which nothing was sent."""
        if self._is_open:
            self._is_open = False
            self._budget._close(None)


class FleetRetryBudget:
    """Sliding-window retry budget of one upstream at one router.

    ``started_at`` is when the router started. An earlier incarnation, or a replaced
    router, may have spent the fixed number within the preceding window. So in its first
    window the router uses only the margin that all routers leave: one retry at once, so
    that a broken answer can be continued, and more in proportion to the time since its
    start.

    ``ran_before_s`` returns the time from the previous start to this one, 0 if it is
    not known. An incarnation that started within the window may have spent that margin
    too, so this one has nothing of it for a window, and no retry at once. ``n_routers``
    is the size of the fleet that is assumed until peers are known.
    """

    def __init__(
        self,
        terms: BudgetTerms,
        started_at: float,
        n_routers: int = 1,
        ran_before_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._terms = terms
        self._started_at = started_at
        self._ran_before_s = ran_before_s
        self._requests = RequestWindows(terms.window_s)
        self._n_open = 0
        """Retries that may not have arrived yet."""
        self._count_until: list[float] = []
        """Heap of the times until which the other retries count."""
        self._n_routers = deque([(started_at, max(1, n_routers))])
        """Time and number of routers that share the fixed number; a monotonic queue
        for the window's maximum, largest first."""

    @property
    def n_retries(self) -> int:
        """Retries that count: those that arrived in the window, or still may."""
        return self._n_open + len(self._count_until)

    @property
    def n_requests(self) -> int:
        """Requests in the window."""
        return self._requests.n_recent

    @property
    def n_routers(self) -> int:
        """Divisor of the fixed number: the most routers that shared it in the
        window."""
        return self._n_routers[0][1]

    def record_request(self, now: float, n_routers: int) -> None:
        """Record a request for the upstream."""
        self._requests.record(now)
        self._record_n_routers(now, n_routers)

    def take(self, now: float, n_routers: int) -> RetryCharge | None:
        """Charge one retry; return None if none is left."""
        if not self.allows_retry(now, n_routers):
            return None
        self._n_open += 1
        return RetryCharge(self, now)

    def allows_retry(self, now: float, n_routers: int) -> bool:
        """Return whether the budget allows one more retry."""
        return self._has_room(1, now, n_routers)

    def is_within(self, now: float, n_routers: int) -> bool:
        """Return whether the retries that count are within the budget."""
        return self._has_room(0, now, n_routers)

    def _has_room(self, n_more: int, now: float, n_routers: int) -> bool:
        self._trim(now)
        self._record_n_routers(now, n_routers)
        n_requests = self._requests.n_counted()
        from_requests = SAFETY_FACTOR * self._terms.ratio * n_requests
        return self.n_retries + n_more <= from_requests + self._fixed(now)

    def _fixed(self, now: float) -> float:
        """Return the part of the fixed number that this router may use."""
        # Routers that were lost within the window may have spent their shares too.
        share = self._terms.fixed / self.n_routers
        window_s, runs_s = self._terms.window_s, now - self._started_at
        if runs_s >= window_s:
            return SAFETY_FACTOR * share
        margin = (1 - SAFETY_FACTOR) * share
        in_proportion = margin * runs_s / window_s
        ran_before_s = self._ran_before_s()
        if ran_before_s >= window_s:
            return max(in_proportion, min(1.0, margin))
        return in_proportion if runs_s + ran_before_s >= window_s else 0.0

    def _close(self, arrived_by: float | None) -> None:
        """Count an open retry until a window after its arrival, or no longer."""
        self._n_open -= 1
        if arrived_by is not None:
            heapq.heappush(self._count_until, arrived_by + self._terms.window_s)

    def _record_n_routers(self, now: float, n_routers: int) -> None:
        n_routers = max(1, n_routers)
        while self._n_routers and self._n_routers[-1][1] <= n_routers:
            self._n_routers.pop()
        self._n_routers.append((now, n_routers))

    def _trim(self, now: float) -> None:
        oldest = now - self._terms.window_s
        self._requests.advance(now)
        while self._count_until and self._count_until[0] < now:
            heapq.heappop(self._count_until)
        while self._n_routers and self._n_routers[0][0] < oldest:
            self._n_routers.popleft()


class RequestRetries:
    """Charges of the retries of one request.

    ``unanswered_s`` is the time for which an attempt without an answer may still
    arrive, for example at an instance that stands still. Call ``sent`` for each attempt
    of which a byte is sent, then ``answered`` or ``unanswered`` with the number that it
    returned, and ``ended`` at last. Attempts may overlap.
    """

    def __init__(self, unanswered_s: float) -> None:
        self._unanswered_s = unanswered_s
        self._unused: RetryCharge | None = None
        """Charge of the next attempt, of which nothing was sent yet."""
        self._open: list[RetryCharge] = []
        self._may_arrive_until = -math.inf
        self._on_their_way: set[int] = set()
        """Numbers of the attempts that may not have arrived yet."""
        self.n_sent = 0
        """Attempts of which at least one byte was sent."""
        self.last_charge: RetryCharge | None = None
        """Charge of the attempt sent last; None without one."""

    @property
    def has_unused(self) -> bool:
        """Whether the next attempt is charged already."""
        return self._unused is not None

    def charged(self, charge: RetryCharge) -> None:
        """Add the charge of the next attempt."""
        self._unused = charge

    def sent(self) -> int:
        """Record that an attempt is sent; return its number."""
        self.n_sent += 1
        self._on_their_way.add(self.n_sent)
        self.last_charge, self._unused = self._unused, None
        if self.last_charge is not None:
            self._open.append(self.last_charge)
        return self.n_sent

    def answered(self, now: float, number: int) -> None:
        """Record that an attempt has arrived by now."""
        if number in self._on_their_way:
            self._on_their_way.remove(number)
            if not self._on_their_way:
                self._settle(now)

    def unanswered(self, now: float, number: int) -> None:
        """Record that an attempt has ended, and may arrive later.

        Nothing changes if it has arrived already.
        """
        if number in self._on_their_way:
            self._on_their_way.remove(number)
            self._may_arrive_until = now + self._unanswered_s

    def drop_unused(self) -> None:
        """Give back the charge of an attempt that is not sent."""
        if self._unused is not None:
            self._unused.cancel()
            self._unused = None

    def ended(self, now: float) -> None:
        """Record that no attempt follows."""
        self.drop_unused()
        self._settle(now)

    def _settle(self, now: float) -> None:
        for charge in self._open:
            charge.settle(max(now, self._may_arrive_until))
        self._open.clear()
