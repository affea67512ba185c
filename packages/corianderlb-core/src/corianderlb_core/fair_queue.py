"""Queue requests by urgency and, inside a class, by weighted fair shares.

Inside a class each client account gets a share of the turns in proportion to its
weight, however many requests it queues (start-time fair queueing; Goyal, Vin and
Cheng, 1996). More urgent classes go first, but a class whose oldest request has waited
too long gets every ``overdue_every``-th turn until it has caught up.

So a request with ``n`` others of its class in front waits at most ``max_wait_s`` plus
``overdue_every * n_overdue_classes * (n + 1)`` turns, whatever else arrives.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

from .catalogue import ServiceClass
from .identity import AccountId

T = TypeVar("T")

CLASSES: Final = (ServiceClass.URGENT, ServiceClass.STANDARD, ServiceClass.DEFERRABLE)
"""The classes, most urgent first."""


@dataclass(eq=False)
class Ticket(Generic[T]):
    """Hold one place in the queue."""

    item: T
    account: AccountId
    service_class: ServiceClass
    queued_at: float
    start: float = 0.0
    """Virtual time at which its turn begins."""
    in_queue: bool = True


@dataclass(eq=False)
class _ClassQueue(Generic[T]):
    """Hold the requests of one class."""

    heap: list[tuple[float, int, Ticket[T]]] = field(default_factory=list)
    arrivals: deque[Ticket[T]] = field(default_factory=deque)
    virtual_time: float = 0.0
    finish: dict[AccountId, float] = field(default_factory=dict)
    """Virtual time at which the last queued request of each account ends."""
    n_waiting: int = 0

    def push(self, ticket: Ticket[T], number: int, cost: float) -> None:
        ticket.start = max(self.virtual_time, self.finish.get(ticket.account, 0.0))
        self.finish[ticket.account] = ticket.start + cost
        heapq.heappush(self.heap, (ticket.start, number, ticket))
        self.arrivals.append(ticket)
        self.n_waiting += 1

    def pop(self) -> Ticket[T]:
        while True:
            ticket = heapq.heappop(self.heap)[2]
            if ticket.in_queue:
                self.virtual_time = ticket.start
                self.remove(ticket)
                return ticket

    def remove(self, ticket: Ticket[T]) -> None:
        ticket.in_queue = False
        self.n_waiting -= 1
        if self.n_waiting == 0:
            # Nothing is owed to anyone, and the tables start small again.
            self.heap.clear()
            self.arrivals.clear()
            self.finish.clear()
            self.virtual_time = 0.0

    def oldest_at(self) -> float | None:
        while self.arrivals and not self.arrivals[0].in_queue:
            self.arrivals.popleft()
        return self.arrivals[0].queued_at if self.arrivals else None


class FairQueue(Generic[T]):
    """Give turns by urgency and fair share, with bounded waiting for all classes.

    For example, after ``queue.push("a", AccountId("shop"), ServiceClass.URGENT, 0.0)``
    the next ``queue.pop(0.0)`` returns the ticket of ``"a"``.
    """

    def __init__(
        self, max_wait_s: dict[ServiceClass, float], overdue_every: int = 4
    ) -> None:
        self._max_wait_s = max_wait_s
        self._overdue_every = overdue_every
        self._queues: dict[ServiceClass, _ClassQueue[T]] = {
            service_class: _ClassQueue() for service_class in CLASSES
        }
        self._n_pushed = 0
        self._n_since_overdue = 0
        self._rotation = list(CLASSES[1:])

    def __len__(self) -> int:
        return sum(queue.n_waiting for queue in self._queues.values())

    def push(
        self,
        item: T,
        account: AccountId,
        service_class: ServiceClass,
        now: float,
        weight: float = 1.0,
    ) -> Ticket[T]:
        """Queue an item; an account of weight 2 gets twice the turns of weight 1."""
        ticket = Ticket(item, account, service_class, now)
        self._n_pushed += 1
        self._queues[service_class].push(ticket, self._n_pushed, 1.0 / weight)
        return ticket

    def pop(self, now: float) -> Ticket[T] | None:
        """Take the ticket whose turn it is out of the queue."""
        waiting = [cls for cls in CLASSES if self._queues[cls].n_waiting]
        if not waiting:
            return None
        return self._queues[self._choose(waiting, now)].pop()

    def remove(self, ticket: Ticket[T]) -> None:
        """Take a ticket out whose request was given up on; twice does nothing."""
        if ticket.in_queue:
            self._queues[ticket.service_class].remove(ticket)

    def n_ahead(self, service_class: ServiceClass) -> int:
        """Return how many would have their turn before a new request of a class.

        Overdue requests of less urgent classes take some turns in between.
        """
        position = CLASSES.index(service_class)
        ahead = sum(self._queues[cls].n_waiting for cls in CLASSES[: position + 1])
        behind = sum(self._queues[cls].n_waiting for cls in CLASSES[position + 1 :])
        return ahead + min(behind, ahead // (self._overdue_every - 1))

    def n_waiting(self, account: AccountId) -> int:
        """Return how many requests of an account wait, for status."""
        return sum(
            ticket.in_queue and ticket.account == account
            for queue in self._queues.values()
            for ticket in queue.arrivals
        )

    def _choose(self, waiting: list[ServiceClass], now: float) -> ServiceClass:
        overdue = [cls for cls in waiting[1:] if self._is_overdue(cls, now)]
        self._n_since_overdue += 1
        if overdue and self._n_since_overdue >= self._overdue_every:
            self._n_since_overdue = 0
            # In rotation. By the longest wait, a middle class that is overloaded
            # itself would take all of these turns from the last.
            self._rotation.sort(key=lambda cls: cls not in overdue)
            chosen = self._rotation.pop(0)
            self._rotation.append(chosen)
            return chosen
        return waiting[0]

    def _is_overdue(self, service_class: ServiceClass, now: float) -> bool:
        oldest_at = self._queues[service_class].oldest_at()
        if oldest_at is None:
            return False
        return now - oldest_at > self._max_wait_s.get(service_class, 0.0)
