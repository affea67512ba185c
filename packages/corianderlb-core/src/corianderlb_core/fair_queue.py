"""Priority queue of service classes with weighted fair queueing within each class.

Within a class each client account is served in proportion to its weight, however many
requests it queues (start-time fair queueing; Goyal, Vin and Cheng, 1996). More urgent
classes go first, but a class whose oldest request is overdue gets every
``overdue_every``-th turn until it has caught up.

Requests may differ in cost. An account's share and an overdue class's turns are then
shares of the cost: of every ``overdue_every`` units, overdue classes get one.

A request with ``n`` others of its class ahead of it is therefore served, once it has
waited ``max_wait_s``, within ``overdue_every * n_overdue_classes * (n + 1)`` turns, if
all cost the same.
"""

from __future__ import annotations

import heapq
from collections import defaultdict, deque
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import field
from typing import Final, Generic, TypeVar

from .data_class import dataclass
from .identity import AccountId
from .service_class import ServiceClass

T = TypeVar("T")

CLASSES: Final = (ServiceClass.URGENT, ServiceClass.STANDARD, ServiceClass.DEFERRABLE)
"""Service classes, most urgent first."""


@dataclass(eq=False)
class Ticket(Generic[T]):
    """A queued item."""

    item: T
    account: AccountId
    service_class: Hashable
    queued_at: float
    cost: float = 1.0
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
    cost: float = 0.0
    """Cost of the waiting requests."""
    costs: defaultdict[AccountId, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    """The same by account."""

    def push(self, ticket: Ticket[T], number: int, weight: float) -> None:
        ticket.start = max(self.virtual_time, self.finish.get(ticket.account, 0.0))
        self.finish[ticket.account] = ticket.start + ticket.cost / weight
        self.cost += ticket.cost
        self.costs[ticket.account] += ticket.cost
        heapq.heappush(self.heap, (ticket.start, number, ticket))
        self.arrivals.append(ticket)
        self.n_waiting += 1

    def pop(self, may_go: Callable[[Ticket[T]], bool] | None) -> Ticket[T] | None:
        passed = []
        found = None
        while self.heap and found is None:
            entry = heapq.heappop(self.heap)
            ticket = entry[2]
            if not ticket.in_queue:
                continue
            if may_go is None or may_go(ticket):
                found = ticket
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self.heap, entry)
        if found is not None:
            # The virtual time follows those who are passed over, so that they go first.
            start = min((entry[0] for entry in passed), default=found.start)
            self.virtual_time = max(self.virtual_time, min(start, found.start))
            self.remove(found)
        return found

    def remove(self, ticket: Ticket[T]) -> None:
        ticket.in_queue = False
        self.n_waiting -= 1
        self.cost -= ticket.cost
        self.costs[ticket.account] -= ticket.cost
        if self.n_waiting == 0:
            # An empty queue needs no history; resetting it frees the memory.
            self.cost = 0.0
            self.costs.clear()
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
        self,
        max_wait_s: Mapping[ServiceClass, float] | Mapping[int, float],
        overdue_every: float = 4,
        classes: Sequence[Hashable] = CLASSES,
    ) -> None:
        self._max_wait_s: dict[Hashable, float] = {**max_wait_s}
        self.overdue_every = overdue_every
        self._classes = tuple(classes)
        self._queues: dict[Hashable, _ClassQueue[T]] = {
            service_class: _ClassQueue() for service_class in self._classes
        }
        self._n_pushed = 0
        self._before_overdue = overdue_every - 1.0
        """Cost of other requests to serve before the next overdue one."""
        self._overdue_rotation = list(self._classes[1:])

    def __len__(self) -> int:
        return sum(queue.n_waiting for queue in self._queues.values())

    def push(
        self,
        item: T,
        account: AccountId,
        service_class: Hashable,
        now: float,
        weight: float = 1.0,
        cost: float = 1.0,
    ) -> Ticket[T]:
        """Queue an item; an account is served in proportion to its weight."""
        ticket = Ticket(item, account, service_class, now, cost)
        self._n_pushed += 1
        self._queues[service_class].push(ticket, self._n_pushed, weight)
        return ticket

    def pop(
        self, now: float, may_go: Callable[[Ticket[T]], bool] | None = None
    ) -> Ticket[T] | None:
        """Remove and return the next ticket; None if there is none that ``may_go``."""
        waiting = [cls for cls in self._classes if self._queues[cls].n_waiting]
        if not waiting:
            return None
        selected, is_overdue = self._select_class(waiting, now)
        ticket = self._queues[selected].pop(may_go)
        if ticket is None:
            is_overdue = False
            others = (cls for cls in waiting if cls != selected)
            found = (self._queues[cls].pop(may_go) for cls in others)
            ticket = next((item for item in found if item is not None), None)
        if ticket is None:
            return None
        if is_overdue:
            self._before_overdue = (self.overdue_every - 1.0) * ticket.cost
        else:
            self._before_overdue -= ticket.cost
        return ticket

    def remove(self, ticket: Ticket[T]) -> None:
        """Remove a ticket whose request was cancelled; a second call does nothing."""
        if ticket.in_queue:
            self._queues[ticket.service_class].remove(ticket)

    def n_ahead(self, service_class: Hashable) -> int:
        """Estimate how many requests will be served before a new one of this class.

        This includes turns given to overdue requests of less urgent classes, but not
        the weights of accounts or later arrivals.
        """
        position = self._classes.index(service_class)
        ahead = sum(
            self._queues[cls].n_waiting for cls in self._classes[: position + 1]
        )
        less_urgent = sum(
            self._queues[cls].n_waiting for cls in self._classes[position + 1 :]
        )
        return ahead + min(less_urgent, int(ahead // (self.overdue_every - 1)))

    def cost_ahead(self, service_class: Hashable) -> float:
        """Return the cost of the waiting requests of a class and the more urgent."""
        position = self._classes.index(service_class)
        return sum(self._queues[cls].cost for cls in self._classes[: position + 1])

    def cost_of(self, service_class: Hashable, account: AccountId) -> float:
        """Return the cost of an account's waiting requests of a class."""
        return self._queues[service_class].costs.get(account, 0.0)

    def n_waiting(self, account: AccountId) -> int:
        """Return the number of queued requests of an account, for status."""
        return sum(
            ticket.in_queue and ticket.account == account
            for queue in self._queues.values()
            for ticket in queue.arrivals
        )

    def _select_class(
        self, waiting: list[Hashable], now: float
    ) -> tuple[Hashable, bool]:
        """Return the class to serve, and whether it is served for being overdue."""
        overdue = [cls for cls in waiting[1:] if self._is_overdue(cls, now)]
        if overdue and self._before_overdue <= 0.0:
            # Overdue classes take turns. If the one with the longest wait went first,
            # an overloaded middle class would starve the last one.
            self._overdue_rotation.sort(key=lambda cls: cls not in overdue)
            selected = self._overdue_rotation.pop(0)
            self._overdue_rotation.append(selected)
            return selected, True
        return waiting[0], False

    def _is_overdue(self, service_class: Hashable, now: float) -> bool:
        oldest_at = self._queues[service_class].oldest_at()
        if oldest_at is None:
            return False
        return now - oldest_at > self._max_wait_s.get(service_class, 0.0)
