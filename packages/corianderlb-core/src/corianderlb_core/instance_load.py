"""What one router knows about the load of one upstream instance.

Reports come late, so the router adds what it sent since the report was made. Without
that, every router would take the instance that looked idle a second ago for idle
still, and all would send there at once; one would notice it as queues that swing from
instance to instance.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from . import rendezvous
from .identity import Incarnation, RequestId
from .load import LoadReport


@dataclass(frozen=True)
class _Dispatch:
    at: float
    work_s: float


class InstanceLoad:
    """Estimate the queue of one life of an upstream instance.

    A new life gets a new object: nothing known about the old one is carried over.
    Times are seconds on the router's clock.
    """

    __slots__ = (
        "_backlog_at",
        "_backlog_s",
        "_in_flight",
        "_waiting",
        "born_at",
        "incarnation",
        "report",
        "reported_at",
        "seed",
        "zone",
    )

    def __init__(
        self, incarnation: Incarnation, zone: str = "", born_at: float = -math.inf
    ) -> None:
        self.incarnation = incarnation
        self.zone = zone
        self.seed = rendezvous.seed(incarnation.instance)
        """Stands for the instance in rendezvous hashing."""
        self.born_at = born_at
        """When this life took an older one's place, with an empty cache; long ago
        when it is the first that was heard of."""
        self.report: LoadReport | None = None
        """The newest report of this life."""
        self.reported_at = 0.0
        """When that report was made."""
        self._waiting: dict[RequestId, _Dispatch] = {}
        self._in_flight: dict[RequestId, float] = {}
        self._backlog_s = 0.0
        self._backlog_at = 0.0

    @property
    def n_in_flight(self) -> int:
        """Requests that this router has running there."""
        return len(self._in_flight)

    def wait_s(self, now: float) -> float:
        """Return the estimated seconds of prefill in front of a new request."""
        return max(0.0, self._backlog_s - (now - self._backlog_at))

    def n_outstanding(self) -> int:
        """Return the requests there: those reported and those sent since."""
        if self.report is None:
            return len(self._in_flight)
        since = sum(1 for at in self._in_flight.values() if at > self.reported_at)
        return self.report.n_running + self.report.n_queued + since

    def apply_report(self, report: LoadReport, made_at: float, now: float) -> bool:
        """Take a report; return False for one of another life or an older one."""
        if report.epoch != self.incarnation.epoch:
            return False
        if self.report is not None and made_at < self.reported_at:
            return False
        self.report = report
        self.reported_at = made_at
        self._replay(now)
        return True

    def dispatched(self, request_id: RequestId, work_s: float, now: float) -> None:
        """Count a request that was sent, with its estimated prefill."""
        self._backlog_s = self.wait_s(now) + work_s
        self._backlog_at = now
        self._waiting[request_id] = _Dispatch(now, work_s)
        self._in_flight[request_id] = now

    def first_token(self, request_id: RequestId, now: float) -> float:
        """Take a request out of the queue, since its prefill is done.

        Return the seconds that it took beyond the estimated prefill.
        """
        sent = self._waiting.pop(request_id, None)
        if sent is None:
            return 0.0
        self._replay(now)
        return max(0.0, now - sent.at - sent.work_s)

    def finished(self, request_id: RequestId, now: float) -> None:
        """Forget a request that ended, whichever way."""
        self.first_token(request_id, now)
        self._in_flight.pop(request_id, None)

    def _replay(self, now: float) -> None:
        """Work the queue out anew from the report and what was sent after it."""
        backlog, at = 0.0, self.reported_at
        if self.report is not None:
            backlog = self.report.queued_prefill_s
        for sent in self._waiting.values():
            if self.report is not None and sent.at <= self.reported_at:
                continue
            backlog = max(0.0, backlog - (sent.at - at)) + sent.work_s
            at = sent.at
        self._backlog_s, self._backlog_at = backlog, at
        self._backlog_s, self._backlog_at = self.wait_s(now), now


@dataclass(frozen=True)
class InstanceSet:
    """Hold the usable instances of an upstream.

    A change of membership makes a new object with a higher ``generation``, so that
    what was worked out for the old set is not used for the new one.
    """

    upstream: str
    generation: int
    instances: Sequence[InstanceLoad]
    by_name: dict[str, InstanceLoad] = field(default_factory=dict)

    @classmethod
    def of(
        cls, upstream: str, generation: int, instances: Sequence[InstanceLoad]
    ) -> InstanceSet:
        """Return the set of the given instances."""
        by_name = {load.incarnation.instance: load for load in instances}
        return cls(upstream, generation, tuple(instances), by_name)
