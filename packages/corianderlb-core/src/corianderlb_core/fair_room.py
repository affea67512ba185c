"""Decide at one router who may use the fleet's room for requests, and in what order.

The room is a rate over all routers (``room_rate``). Each router knows what accounts ask
for, of itself and from the reports of others, divides the room (``room_share``) and
takes of each part what is asked for here. An account's requests are admitted at the
rate of its part. What an account leaves is spare, and goes to whoever waits in the
order of ``FairQueue``. Who would wait longer than is of use is refused at once.

Nothing is held back while no rate has been found.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Hashable, Mapping
from dataclasses import replace
from typing import Final, Generic, TypeVar

from .data_class import dataclass
from .decayed_rate import DecayedRate
from .fair_queue import FairQueue, Ticket
from .forwarding import LOWEST_PRIORITY
from .identity import AccountId
from .room_rate import (
    FLOW_WINDOW_S,
    LITTLE_DELAY_SHARE,
    MIN_FULL_SHARE,
    RoomFlow,
    RoomRate,
)
from .room_share import RoomKey, RoomPart, divide_room

T = TypeVar("T")

ASKED_WINDOW_S: Final = 1.0
"""Time over which it is averaged what accounts ask for: a few reports."""

REPORT_TTL_S: Final = 2.0
"""Age at which another router's report expires."""

PRESSED_S: Final = 3.0
"""Time after the last wait or refusal until a router stops reporting."""

PART_BURST_S: Final = 0.5
"""Time over which an account's unused part is kept for it."""

SPARE_BURST_S: Final = 0.1
"""Time over which spare room is kept: short, since engines can't catch up on it."""

MIN_EVEN_SHARE: Final = 0.25
"""Least rate of a router, as a share of an even part of the room: what has just come to
a router without traffic isn't known to the others yet."""

SHARES_S: Final = 0.1
"""Time for which calculated entitlements are used."""

MIN_WEIGHT: Final = 1e-3
"""Least part of an account, as a share of the router's rate."""

OBJECTIVE_LEARN_RATE: Final = 0.02
"""Weight of one request of mean cost in the mean objective."""

OWN_WEIGHT: Final = 2 / 3
"""Weight of what waits of this router's own requests, as a sample of what waits in all,
against the sum of the reports: these may be late."""

MIN_DUE: Final = 10.0
"""Number of recent requests from which a router that hears no other judges alone."""


@dataclass(frozen=True)
class RoomReport:
    """What one router tells the others about the room of one upstream."""

    capacity: float
    """What the engines can serve, as the sender found it; infinite if it found none."""
    is_pressed: bool
    flow: RoomFlow
    asked: Mapping[RoomKey, float]
    speed: float = 0.0
    """Rate of the engines that the sender can use at present; 0 if unknown."""


@dataclass(frozen=True)
class RoomRefusal:
    """Refusal of a request that can't be admitted in time."""

    wait_s: float
    """Estimated time until this caller would be admitted."""
    spacing_s: float
    """Time between two requests like this one at the account's rate."""


@dataclass(frozen=True)
class AccountRoom:
    """What an account asks for, uses and is entitled to, for operators."""

    asked_per_s: float
    """Over all routers."""
    entitled_per_s: float
    """Over all routers."""
    n_admitted: int
    n_refused: int
    """Both of this router, since its start."""


@dataclass
class _Bucket:
    """What one asker may still send now."""

    rate: float
    """What it could get at this router if it asked for enough, per second."""
    level: float = 0.0
    """Negative after a large request."""
    entitled: float = 0.0
    """What it is entitled to here of what it asks for, per second."""
    unused: float = 0.0
    """What it was entitled to and has not used; negative for more than that."""
    filled_at: float = 0.0

    def fill(self, now: float) -> float:
        """Add what has come since; return what is spare, negative for a debt."""
        elapsed_s = now - self.filled_at
        self.filled_at = now
        self.level += self.rate * elapsed_s
        self.level = min(self.level, PART_BURST_S * self.rate)
        self.unused += self.entitled * elapsed_s
        most = PART_BURST_S * self.entitled
        kept = max(-most, min(most, self.unused))
        spare, self.unused = self.unused - kept, kept
        return spare


@dataclass
class _Sent:
    cost: float
    relative: float
    """The cost divided by the objective."""
    engine: Hashable
    due_at: float
    counts: bool = True
    """Whether its engine could be used all the time, so that its answer tells
    something about the room."""


class FairRoom(Generic[T]):
    """Admits the requests of one router to one upstream."""

    def __init__(self) -> None:
        urgencies = range(LOWEST_PRIORITY + 1)
        self.queue: FairQueue[T] = FairQueue(
            dict.fromkeys(urgencies, math.inf), classes=urgencies
        )
        self.rate = RoomRate()
        self.weights: Mapping[str, float] = {}
        """Weights of the accounts; 1 for those that are missing."""
        self.n_routers = 1
        """Number of routers that may use the room, with this one."""
        self._asked: dict[RoomKey, DecayedRate] = {}
        self._served = DecayedRate(FLOW_WINDOW_S)
        self._in_time = DecayedRate(FLOW_WINDOW_S)
        self._late = DecayedRate(FLOW_WINDOW_S)
        self._n_due = DecayedRate(FLOW_WINDOW_S)
        self._sent: dict[str, _Sent] = {}
        self._waiting = 0.0
        self._cost_sum = 1.0
        self._relative_sum = 1.0
        """Sums over recent requests, whose quotient is their mean objective."""
        self._reports: dict[str, tuple[float, RoomReport]] = {}
        self._full_share = 0.0
        self._speed = 0.0
        self._pressed_until = -math.inf
        self._buckets: dict[RoomKey, _Bucket] = {}
        self._spare = 0.0
        self._spare_rate = 0.0
        self._own_rate = math.inf
        self.own_share = 1.0
        """This router's part of what all are asked for."""
        self._refilled_at = 0.0
        self._asked_of_heard: dict[RoomKey, float] = {}
        self._n_heard = 0
        self._updated_at: float | None = None
        self._shares_until = -math.inf
        self._fleet_asked: dict[RoomKey, float] = {}
        self._parts: dict[RoomKey, RoomPart] = {}
        self._n_admitted: Counter[str] = Counter()
        self._n_refused: Counter[str] = Counter()

    # Admission.

    def ask(
        self,
        item: T,
        key: RoomKey,
        cost: float,
        limit_s: float,
        now: float,
        begins_now: Callable[[], bool] = lambda: False,
    ) -> Ticket[T] | RoomRefusal:
        """Admit a request, queue it, or refuse it if it would wait over ``limit_s``.

        It is admitted if the ticket is not ``in_queue``. The caller removes a ticket
        with ``leave`` if its request has waited for as long as is of use.
        ``begins_now`` returns whether some engine has a free place and is estimated to
        begin the request in time.
        """
        self._asked.setdefault(key, DecayedRate(ASKED_WINDOW_S)).add(cost, now)
        self._refill(now)
        account = AccountId(key.account)
        admitted = Ticket(item, account, key.urgency, now, cost, in_queue=False)
        if self._may_go(key, now) and not len(self.queue):
            self._admit(key, cost)
            return admitted
        self._pressed_until = now + PRESSED_S
        refusal = self._refusal(key, cost)
        if refusal.wait_s > limit_s and not self._may_go(key, now):
            if self.admit_idle(key, cost, begins_now):
                return admitted
            self._n_refused[key.account] += 1
            return refusal
        weight = self._part(key).rate
        return self.queue.push(item, account, key.urgency, now, weight, cost)

    def admit_idle(
        self, key: RoomKey, cost: float, begins_now: Callable[[], bool]
    ) -> bool:
        """Admit a request beyond the rate if engines have time; return whether it is.

        What waits of this router's own requests is known at once, and a sample of what
        waits in all, so that routers stop before the others' reports tell them to.
        """
        if self._has_little_waiting() and begins_now():
            least = min(self._spare, -SPARE_BURST_S * self._own_rate)
            self._n_admitted[key.account] += 1
            self._spare = max(least, self._spare - cost)
            return True
        return False

    def _has_little_waiting(self) -> bool:
        rate = self.rate
        if self.is_open or rate.delay > rate.target:
            return False
        delay = self._waiting / self.own_share / rate.capacity
        return delay < LITTLE_DELAY_SHARE * rate.target

    def release(self, now: float) -> list[Ticket[T]]:
        """Return the queued requests that are admitted now, in order."""
        self._refill(now)
        admitted: list[Ticket[T]] = []
        while len(self.queue):
            ticket = self.queue.pop(now, lambda item: self._may_go(_key_of(item), now))
            if ticket is None:
                break
            self._admit(_key_of(ticket), ticket.cost)
            admitted.append(ticket)
        return admitted

    def leave(self, ticket: Ticket[T]) -> None:
        """Remove a request that has waited for too long or whose caller has left."""
        if ticket.in_queue:
            self._n_refused[ticket.account] += 1
            self.queue.remove(ticket)

    def give_back(self, key: RoomKey, cost: float, now: float) -> None:
        """Return the room of an admitted request that no engine could begin in time.

        That the engines have no place for it tells as much as a late answer.
        """
        self._n_admitted[key.account] -= 1
        self._n_refused[key.account] += 1
        bucket = self._part(key)
        bucket.level += cost
        bucket.unused += cost
        self._n_due.add(1.0, now)
        self._late.add(cost, now)

    def refusal(self, key: RoomKey, cost: float, now: float) -> RoomRefusal:
        """Return when a request that is refused now would be admitted."""
        self._refill(now)
        return self._refusal(key, cost)

    @property
    def is_open(self) -> bool:
        """Whether all requests are admitted: no bound of the room has been found."""
        return math.isinf(self.rate.per_s)

    def _may_go(self, key: RoomKey, now: float) -> bool:
        if self.is_open:
            return True
        bucket = self._part(key)
        self._spare += bucket.fill(now)
        return self._spare > 0.0 or bucket.level > 0.0

    def _part(self, key: RoomKey) -> _Bucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            rate = self._own_rate
            rate = 1.0 if math.isinf(rate) else max(1.0, MIN_WEIGHT * rate)
            bucket = self._buckets[key] = _Bucket(rate, filled_at=self._refilled_at)
        return bucket

    def _admit(self, key: RoomKey, cost: float) -> None:
        self._n_admitted[key.account] += 1
        bucket = self._part(key)
        if self.is_open:
            return
        if bucket.level > 0.0:
            bucket.level -= cost
            bucket.unused -= cost
        else:
            self._spare -= cost

    def _refusal(self, key: RoomKey, cost: float) -> RoomRefusal:
        if self.is_open:
            return RoomRefusal(0.0, 0.0)
        part = self._part(key)
        account = AccountId(key.account)
        # In the fair order a request waits for its own account at its rate, and at most
        # for all that are not less urgent.
        queued = self.queue.cost_of(key.urgency, account) - part.level
        by_all_s = (self.queue.cost_ahead(key.urgency) - self._spare) / self._own_rate
        wait_s = max(0.0, min(queued / part.rate, by_all_s))
        return RoomRefusal(wait_s, cost / part.rate)

    def _refill(self, now: float) -> None:
        if now >= self._shares_until:
            self._calculate_parts(now)
        elapsed_s, self._refilled_at = now - self._refilled_at, now
        if math.isinf(self._own_rate):
            self._buckets.clear()
            self._spare = 0.0
            return
        self._spare += self._spare_rate * elapsed_s
        self._spare = min(self._spare, SPARE_BURST_S * self._own_rate)

    def _calculate_parts(self, now: float) -> None:
        """Divide the room, and take the part of what is asked for at this router."""
        self._shares_until = now + SHARES_S
        room = self.rate.per_s
        if math.isinf(room):
            self._own_rate = math.inf
            return
        for bucket in self._buckets.values():
            self._spare += bucket.fill(now)
        own = self._own_asked(now)
        asked = self._asked_of_all(own)
        parts = divide_room(room, asked, self.weights)
        self._fleet_asked, self._parts = asked, parts
        least = MIN_EVEN_SHARE * room / max(1, self.n_routers)
        local = {key: own[key] / asked[key] for key in own if asked[key]}
        entitled = {key: parts[key].entitled * local[key] for key in local}
        total = sum(asked.values())
        own_share = sum(own.values()) / total if total else 0.0
        left = room - sum(part.entitled for part in parts.values())
        self._spare_rate = own_share * max(0.0, left)
        self._own_rate = max(least, sum(entitled.values()) + self._spare_rate)
        for key in local:
            bucket = self._part(key)
            bucket.rate = parts[key].bound * local[key]
            bucket.rate = max(MIN_WEIGHT * self._own_rate, bucket.rate)
            bucket.entitled = entitled[key]
        for key in [key for key in self._buckets if key not in local]:
            del self._buckets[key]

    def _own_asked(self, now: float) -> dict[RoomKey, float]:
        return {key: rate.per_s(now) for key, rate in self._asked.items()}

    def _asked_of_all(self, own: Mapping[RoomKey, float]) -> dict[RoomKey, float]:
        """Return what is asked for over all routers.

        Routers that aren't heard are assumed to be asked for as much as those that are,
        and as much as this one if none is heard: each then takes an even part.
        """
        n_others = max(self._n_heard, self.n_routers - 1)
        if not self._n_heard:
            return {key: amount * (n_others + 1) for key, amount in own.items()}
        asked = dict(own)
        scale = n_others / self._n_heard
        for key, amount in self._asked_of_heard.items():
            asked[key] = asked.get(key, 0.0) + scale * amount
        return asked

    def _share_of_asked(self, now: float) -> float:
        """Return this router's part of what all are asked for, with a lower bound."""
        own = self._own_asked(now)
        total = sum(self._asked_of_all(own).values())
        even = 1.0 / max(1, self.n_routers)
        share = sum(own.values()) / total if total else even
        return max(share, MIN_EVEN_SHARE * even)

    # Answers of the engines.

    def sent(
        self,
        key: str,
        engine: Hashable,
        cost: float,
        objective_s: float,
        due_at: float,
    ) -> None:
        """Record an attempt at an engine whose first token is due at a time."""
        relative = cost / objective_s
        self._sent[key] = _Sent(cost, relative, engine, due_at)
        self._waiting += relative
        keep = 1.0 - OBJECTIVE_LEARN_RATE
        self._cost_sum = keep * self._cost_sum + cost
        self._relative_sum = keep * self._relative_sum + relative

    def first_token(self, key: str, now: float) -> None:
        """Record the first token of an attempt."""
        sent = self._pop_sent(key)
        if sent is None:
            return
        self._served.add(sent.cost, now)
        if sent.counts:
            self._n_due.add(1.0, now)
            answers = self._in_time if now <= sent.due_at else self._late
            answers.add(sent.cost, now)

    def ended(self, key: str) -> None:
        """Record the end of an attempt; without a first token it has failed."""
        self._pop_sent(key)

    def _pop_sent(self, key: str) -> _Sent | None:
        sent = self._sent.pop(key, None)
        if sent is not None and sent.counts:
            self._waiting -= sent.relative
        if not self._sent:
            self._waiting = 0.0
        return sent

    def _set_engines(self, engines: Mapping[Hashable, float]) -> None:
        """Leave out of all figures what waits at engines that can't be used."""
        self._speed = sum(engines.values())
        for sent in self._sent.values():
            if sent.counts and sent.engine not in engines:
                sent.counts = False
                self._waiting -= sent.relative

    # The fleet.

    def update(
        self,
        engines: Mapping[Hashable, float],
        n_taken: float,
        n_places: float,
        now: float,
    ) -> None:
        """Follow the fleet: call this at each interval of the reports.

        ``engines`` are those that can be used, with their present rates in cost a
        second. ``n_taken`` of their ``n_places`` are taken, as far as is known.
        """
        self._set_engines(engines)
        self._full_share = n_taken / n_places if n_places else 0.0
        elapsed_s = now - self._updated_at if self._updated_at is not None else 0.0
        self._updated_at = now
        heard = self._fresh_reports(now)
        self._n_heard = len(heard)
        asked: defaultdict[RoomKey, float] = defaultdict(float)
        for report in heard:
            for key, amount in report.asked.items():
                asked[key] += amount
        self._asked_of_heard = asked
        flow = self._flow(now)
        if heard:
            scale = max(1.0, (self.n_routers - 1) / len(heard))
            for report in heard:
                flow = flow.plus(report.flow, scale)
        else:
            # This router's part of the room is not known, so assume an even one.
            flow = flow.plus(flow, self.n_routers - 1)
        self.own_share = self._share_of_asked(now)
        sampled = self._waiting / self.own_share
        waiting = flow.waiting + OWN_WEIGHT * (sampled - flow.waiting)
        flow = replace(flow, waiting=waiting)
        is_full = self._full_share >= MIN_FULL_SHARE
        n_due = FLOW_WINDOW_S * self._n_due.per_s(now)
        if heard or n_due >= MIN_DUE or math.isfinite(self.rate.capacity):
            objective_s = self._cost_sum / self._relative_sum
            self.rate.update(flow, objective_s, is_full, elapsed_s, self._speed)
        found = [self._capacity_by(r) for r in heard if math.isfinite(r.capacity)]
        if found:
            self.rate.adopt(sum(found) / len(found))
        self._shares_until = -math.inf
        self._drop_idle(now)

    def is_pressed(self, now: float) -> bool:
        """Return whether requests have lately waited or been refused here."""
        return now < self._pressed_until

    def should_report(self, now: float) -> bool:
        """Return whether others need a report: while room is, or may become, scarce."""
        if self._full_share >= MIN_FULL_SHARE or self.is_pressed(now):
            return True
        return any(r.is_pressed for r in self._fresh_reports(now))

    def report(self, now: float) -> RoomReport:
        """Return the report to the other routers."""
        return RoomReport(
            self.rate.capacity,
            self.is_pressed(now),
            self._flow(now),
            self._own_asked(now),
            self._speed,
        )

    def merge(self, router: str, report: RoomReport, now: float) -> None:
        """Replace the report of another router."""
        self._reports[router] = (now, report)

    @property
    def n_refused(self) -> int:
        """Number of requests refused since the start."""
        return self._n_refused.total()

    def hears_others(self, now: float) -> bool:
        """Return whether a recent report of another router is known."""
        return bool(self._fresh_reports(now))

    def amounts(self, key: RoomKey) -> tuple[float, float]:
        """Return what all routers are asked for, and what of it is entitled."""
        part = self._parts.get(key)
        return self._fleet_asked.get(key, 0.0), part.entitled if part else 0.0

    def accounts(self) -> dict[str, AccountRoom]:
        """Return the state of the accounts, for operators."""
        names = {
            *self._n_admitted,
            *self._n_refused,
            *(key.account for key in self._fleet_asked),
        }
        return {
            name: AccountRoom(
                _sum_of(self._fleet_asked, name),
                sum(
                    p.entitled for key, p in self._parts.items() if key.account == name
                ),
                self._n_admitted[name],
                self._n_refused[name],
            )
            for name in sorted(names)
        }

    def _capacity_by(self, report: RoomReport) -> float:
        """Return the capacity by a report, for the engines that can be used here."""
        if not report.speed or not self._speed:
            return report.capacity
        return report.capacity * self._speed / report.speed

    def _flow(self, now: float) -> RoomFlow:
        return RoomFlow(
            self._served.per_s(now),
            self._in_time.per_s(now),
            self._late.per_s(now),
            self._waiting,
        )

    def _fresh_reports(self, now: float) -> list[RoomReport]:
        for router, (at, _) in list(self._reports.items()):
            if now - at > REPORT_TTL_S:
                del self._reports[router]
        return [report for _, report in self._reports.values()]

    def _drop_idle(self, now: float) -> None:
        """Forget accounts that ask for next to nothing."""
        for key, rate in list(self._asked.items()):
            if rate.per_s(now) < 1.0:
                del self._asked[key]


def _sum_of(amounts: Mapping[RoomKey, float], account: str) -> float:
    return sum(amount for key, amount in amounts.items() if key.account == account)


def _key_of(ticket: Ticket[T]) -> RoomKey:
    assert isinstance(ticket.service_class, int)
    return RoomKey(ticket.service_class, ticket.account)
