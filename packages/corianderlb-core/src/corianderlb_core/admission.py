"""Admission control for one upstream: queue requests or refuse them on arrival.

A request that cannot meet its deadline is refused on arrival with a Retry-After, so
that its caller need not wait for a timeout. The queue length is bounded. A queued
request that has not been admitted by its deadline is refused.
"""

from __future__ import annotations

from dataclasses import field
from typing import Final, Generic, TypeVar

from .catalogue import ServiceClass
from .data_class import dataclass
from .fair_queue import FairQueue, Ticket
from .request import Refusal, RequestFacts
from .result import ResultCode

T = TypeVar("T")

MIN_RETRY_AFTER_S: Final = 0.2
"""Minimum Retry-After of a refusal."""

INITIAL_HOLD_S: Final = 0.5
"""Initial estimate of how long a request holds its slot."""

HOLD_SMOOTHING: Final = 0.1
"""Weight of the newest request in the moving average of the hold time."""


@dataclass(frozen=True)
class GateTerms:
    """Queueing parameters of one upstream."""

    max_waiting: int = 512
    """Maximum queue length; further requests are refused on arrival."""
    standard_wait_s: float = 2.0
    """Wait after which standard requests are overdue."""
    deferrable_wait_s: float = 15.0
    """Wait after which deferrable requests are overdue."""
    overdue_every: int = 4
    """Every n-th admission goes to an overdue request, if there is one."""


@dataclass
class GateCounts:
    """Counters of a gate since the router started; the fields name metrics."""

    n_admitted: int = 0
    n_queued: int = 0
    n_refused: int = 0
    n_expired: int = 0
    """Requests whose deadline passed in the queue."""
    n_left: int = 0
    """Requests whose callers disconnected while queued."""


@dataclass(eq=False)
class Gate(Generic[T]):
    """Concurrency slots of this router at one upstream, and the queue for them.

    ``item`` is returned to the caller of the gate on admission. ``now`` is the router's
    clock in seconds.
    """

    capacity: int
    """Maximum number of concurrent requests."""
    terms: GateTerms = field(default_factory=GateTerms)
    n_running: int = 0
    hold_s: float = INITIAL_HOLD_S
    """Moving average of how long a request holds its slot."""
    counts: GateCounts = field(default_factory=GateCounts)

    def __post_init__(self) -> None:
        max_wait_s = {
            ServiceClass.STANDARD: self.terms.standard_wait_s,
            ServiceClass.DEFERRABLE: self.terms.deferrable_wait_s,
        }
        self.queue: FairQueue[T] = FairQueue(max_wait_s, self.terms.overdue_every)

    def wait_s(self, service_class: ServiceClass) -> float:
        """Return the expected wait of a request of this class that arrives now."""
        if self.n_running < self.capacity and not len(self.queue):
            return 0.0
        return self._time_to_free_s(self.queue.n_ahead(service_class) + 1)

    def offer(
        self, item: T, facts: RequestFacts, weight: float, service_s: float, now: float
    ) -> Ticket[T] | Refusal:
        """Queue a request, or refuse it if the queue is full or it would be late.

        ``service_s`` is the estimated time from admission to the first byte.
        """
        wait_s = self.wait_s(facts.service_class)
        late_s = now + wait_s + service_s - facts.deadline
        if late_s > 0:
            self.counts.n_refused += 1
            return _deadline_refusal(late_s, wait_s)
        if len(self.queue) >= self.terms.max_waiting:
            self.counts.n_refused += 1
            return Refusal(
                ResultCode.QUEUE_FULL,
                f"the queue for {facts.upstream} is full with {len(self.queue)} "
                "requests; retry after the time in Retry-After",
                max(MIN_RETRY_AFTER_S, wait_s),
            )
        return self.queue.push(item, facts.account, facts.service_class, now, weight)

    def admit_queued(self, now: float) -> list[Ticket[T]]:
        """Admit queued requests while slots are free, and return their tickets."""
        admitted = []
        while self.n_running < self.capacity:
            ticket = self.queue.pop(now)
            if ticket is None:
                break
            self.n_running += 1
            self.counts.n_admitted += 1
            admitted.append(ticket)
        return admitted

    def expire(self, ticket: Ticket[T]) -> Refusal:
        """Remove and refuse a request whose deadline passed in the queue."""
        self.queue.remove(ticket)
        self.counts.n_expired += 1
        return _deadline_refusal(0.0, self.wait_s(ticket.service_class))

    def leave(self, ticket: Ticket[T]) -> None:
        """Remove a request whose caller disconnected."""
        self.queue.remove(ticket)
        self.counts.n_left += 1

    def release(self, held_s: float | None) -> None:
        """Return a slot and record how long it was held; None if it was not used."""
        self.n_running -= 1
        if held_s is not None:
            self.hold_s += HOLD_SMOOTHING * (held_s - self.hold_s)

    def _time_to_free_s(self, n_freed: int) -> float:
        """Return the expected time until ``n_freed`` slots have been freed."""
        return n_freed * self.hold_s / max(1, self.capacity)


def _deadline_refusal(late_s: float, wait_s: float) -> Refusal:
    """Return a refusal with a Retry-After after which a retry should be in time."""
    return Refusal(
        ResultCode.DEADLINE_UNREACHABLE,
        f"the response would miss its deadline by {late_s:.1f} s; "
        "retry after the time in Retry-After, or allow more time",
        max(MIN_RETRY_AFTER_S, late_s, wait_s),
    )
