"""Priority queue of service classes with weighted fair queueing within each class.

Within a class each client account is served in proportion to its weight, however many
requests it queues (start-time fair queueing; Goyal, Vin and Cheng, 1996). More urgent
classes go first, but a class whose oldest request is overdue gets every
``overdue_every``-th turn until it has caught up.

A request with ``n`` others of its class ahead of it is therefore served, once it has
waited ``max_wait_s``, within ``overdue_every * n_overdue_classes * (n + 1)`` turns.
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
"""Service classes, most urgent first."""


@dataclass(eq=False)
class Ticket(Generic[T]):
    """A queued item."""

    item: T
    account: AccountId
    service_class: ServiceClass
    queued_at: float
    start: float = 0.0
    """Virtual start time."""
    in_queue: bool = True


@dataclass(eq=False)
class _ClassQueue(Generic[T]):
    """Queue of one service class."""

    heap: list[tuple[float, int, Ticket[T]]] = field(default_factory=list)
    arrivals: deque[Ticket[T]] = field(default_factory=deque)
    virtual_time: float = 0.0
    finish: dict[AccountId, float] = field(default_factory=dict)
    """Virtual finish time of the last queued request of each account."""
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
            # An empty queue needs no history; resetting it frees the memory.
            self.heap.clear()
            self.arrivals.clear()
            self.finish.clear()
            self.virtual_time = 0.0

    def oldest_at(self) -> float | None:
        while self.arrivals and not self.arrivals[0].in_queue:
            self.arrivals.popleft()
        return self.arrivals[0].queued_at if self.arrivals else None


class FairQueue(Generic[T]):
    """Queue ordered by service class and fair share, with bounded waits for all.

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
        self._overdue_rotation = list(CLASSES[1:])

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
        """Queue an item; an account is served in proportion to its weight."""
        ticket = Ticket(item, account, service_class, now)
        self._n_pushed += 1
        self._queues[service_class].push(ticket, self._n_pushed, 1.0 / weight)
        return ticket

    def pop(self, now: float) -> Ticket[T] | None:
        """Remove and return the next ticket, or None if the queue is empty."""
        waiting = [cls for cls in CLASSES if self._queues[cls].n_waiting]
        if not waiting:
            return None
        return self._queues[self._select_class(waiting, now)].pop()

    def remove(self, ticket: Ticket[T]) -> None:
        """Remove a ticket whose request was cancelled; a second call does nothing."""
        if ticket.in_queue:
            self._queues[ticket.service_class].remove(ticket)

    def n_ahead(self, service_class: ServiceClass) -> int:
        """Estimate how many requests will be served before a new one of this class.

        This includes turns given to overdue requests of less urgent classes, but not
        the weights of accounts or later arrivals.
        """
        position = CLASSES.index(service_class)
        ahead = sum(self._queues[cls].n_waiting for cls in CLASSES[: position + 1])
        less_urgent = sum(
            self._queues[cls].n_waiting for cls in CLASSES[position + 1 :]
        )
        return ahead + min(less_urgent, ahead // (self._overdue_every - 1))

    def n_waiting(self, account: AccountId) -> int:
        """Return the number of queued requests of an account, for status."""
        return sum(
            ticket.in_queue and ticket.account == account
            for queue in self._queues.values()
            for ticket in queue.arrivals
        )

    def _select_class(self, waiting: list[ServiceClass], now: float) -> ServiceClass:
        overdue = [cls for cls in waiting[1:] if self._is_overdue(cls, now)]
        self._n_since_overdue += 1
        if overdue and self._n_since_overdue >= self._overdue_every:
            self._n_since_overdue = 0
            # Overdue classes take turns. If the one with the longest wait went first,
            # an overloaded middle class would starve the last one.
            self._overdue_rotation.sort(key=lambda cls: cls not in overdue)
            selected = self._overdue_rotation.pop(0)
            self._overdue_rotation.append(selected)
            return selected
        return waiting[0]

    def _is_overdue(self, service_class: ServiceClass, now: float) -> bool:
        oldest_at = self._queues[service_class].oldest_at()
        if oldest_at is None:
            return False
        return now - oldest_at > self._max_wait_s.get(service_class, 0.0)
