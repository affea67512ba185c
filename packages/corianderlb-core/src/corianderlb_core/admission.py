"""Decide which waiting request an upstream gets next, and whom to refuse at once.

A request that cannot be answered in time is refused when it arrives, with the time
after which a place is expected, so that its caller can plan instead of waiting for a
timeout. What waits is bounded in number, and each has its turn or is refused at its
deadline.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

from .catalogue import ServiceClass
from .fair_queue import FairQueue, Ticket
from .request import Refusal, RequestFacts
from .result import ResultCode

T = TypeVar("T")

MIN_RETRY_S: Final = 0.2
"""Shortest time that a refused caller is asked to stay away."""

FIRST_HOLD_S: Final = 0.5
"""How long a request holds its place, before any was seen."""

HOLD_SMOOTHING: Final = 0.1
"""Weight of the newest request in the mean time that places are held."""


@dataclass(frozen=True)
class GateTerms:
    """Tune the waiting at one upstream."""

    max_waiting: int = 512
    """Requests that wait at most; more are refused at once."""
    standard_wait_s: float = 2.0
    """Waiting after which standard requests get turns beside urgent ones."""
    deferrable_wait_s: float = 15.0
    """Waiting after which deferrable requests get turns beside all others."""
    overdue_every: int = 4
    """Every so many turns go to overdue requests, as long as there are any."""


@dataclass
class GateCounts:
    """Count what happened at a gate since the router started."""

    n_admitted: int = 0
    n_queued: int = 0
    n_refused: int = 0
    n_expired: int = 0
    """Requests whose deadline passed while they waited."""
    n_left: int = 0
    """Requests whose callers hung up while they waited."""


@dataclass(eq=False)
class Gate(Generic[T]):
    """Hold the places that this router has at one upstream, and who waits for one.

    ``item`` is whatever the caller wants back when a turn comes. Every method is
    passed ``now`` in seconds on the router's clock.
    """

    capacity: int
    """Requests that may run at once."""
    terms: GateTerms = field(default_factory=GateTerms)
    n_running: int = 0
    hold_s: float = FIRST_HOLD_S
    """Mean time that a request holds its place."""
    counts: GateCounts = field(default_factory=GateCounts)

    def __post_init__(self) -> None:
        max_wait_s = {
            ServiceClass.STANDARD: self.terms.standard_wait_s,
            ServiceClass.DEFERRABLE: self.terms.deferrable_wait_s,
        }
        self.queue: FairQueue[T] = FairQueue(max_wait_s, self.terms.overdue_every)

    def wait_s(self, service_class: ServiceClass) -> float:
        """Return the expected wait of a request of a class that arrives now."""
        if self.n_running < self.capacity and not len(self.queue):
            return 0.0
        return self._drain_s(self.queue.n_ahead(service_class) + 1)

    def offer(
        self, item: T, facts: RequestFacts, weight: float, service_s: float, now: float
    ) -> Ticket[T] | Refusal:
        """Queue a request, or refuse it at once when its deadline cannot be met.

        ``service_s`` is the estimated time from its turn to its first byte.
        """
        wait_s = self.wait_s(facts.service_class)
        late_s = now + wait_s + service_s - facts.deadline
        if late_s > 0:
            self.counts.n_refused += 1
            return _unreachable(late_s, wait_s)
        if len(self.queue) >= self.terms.max_waiting:
            self.counts.n_refused += 1
            return Refusal(
                ResultCode.QUEUE_FULL,
                f"{len(self.queue)} requests wait for {facts.upstream}; "
                "come back after Retry-After",
                max(MIN_RETRY_S, wait_s),
            )
        return self.queue.push(item, facts.account, facts.service_class, now, weight)

    def next_turns(self, now: float) -> list[Ticket[T]]:
        """Take those out of the queue whose turn it is; each holds a place now."""
        turns = []
        while self.n_running < self.capacity:
            ticket = self.queue.pop(now)
            if ticket is None:
                break
            self.n_running += 1
            self.counts.n_admitted += 1
            turns.append(ticket)
        return turns

    def expire(self, ticket: Ticket[T]) -> Refusal:
        """Refuse a request whose deadline came first; it is out of the queue."""
        self.queue.remove(ticket)
        self.counts.n_expired += 1
        return _unreachable(0.0, self.wait_s(ticket.service_class))

    def leave(self, ticket: Ticket[T]) -> None:
        """Take out a request whose caller hung up."""
        self.queue.remove(ticket)
        self.counts.n_left += 1

    def release(self, held_s: float | None) -> None:
        """Give a place back and learn how long it was held; None if never used."""
        self.n_running -= 1
        if held_s is not None:
            self.hold_s += HOLD_SMOOTHING * (held_s - self.hold_s)

    def _drain_s(self, n_turns: int) -> float:
        """Return the time in which so many places come free."""
        return n_turns * self.hold_s / max(1, self.capacity)


def _unreachable(late_s: float, wait_s: float) -> Refusal:
    """Refuse; by Retry-After the queue should be short enough for the deadline."""
    return Refusal(
        ResultCode.DEADLINE_UNREACHABLE,
        f"the answer would come {late_s:.1f} s too late; "
        "come back after Retry-After, or allow more time",
        max(MIN_RETRY_S, late_s, wait_s),
    )
