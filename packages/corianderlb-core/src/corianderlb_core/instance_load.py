"""A router's estimate of the load of one upstream instance.

Load reports are delayed, so the router adds the requests that it sent since the report
was created. Otherwise all routers would send to the instance that was idle in the last
report (a thundering herd), and queues would oscillate between instances.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import field

from . import rendezvous
from .data_class import dataclass
from .identity import Incarnation, RequestId
from .load import LoadReport


@dataclass(frozen=True)
class _SentRequest:
    at: float
    work_s: float


class InstanceLoad:
    """Estimated queue of one incarnation of an upstream instance.

    Each incarnation has its own object, so that no state of an earlier one is reused.
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
        """Hash seed of the instance for rendezvous hashing."""
        self.born_at = born_at
        """When this incarnation replaced an earlier one and started with an empty
        cache; minus infinity for the first known incarnation."""
        self.report: LoadReport | None = None
        """The newest report of this incarnation."""
        self.reported_at = 0.0
        """When that report was created."""
        self._waiting: dict[RequestId, _SentRequest] = {}
        self._in_flight: dict[RequestId, float] = {}
        self._backlog_s = 0.0
        self._backlog_at = 0.0

    @property
    def n_in_flight(self) -> int:
        """Requests of this router in flight at the instance."""
        return len(self._in_flight)

    def wait_s(self, now: float) -> float:
        """Return the estimated seconds of prefill queued ahead of a new request."""
        return max(0.0, self._backlog_s - (now - self._backlog_at))

    def n_outstanding(self) -> int:
        """Return the number of reported requests plus those sent since the report."""
        if self.report is None:
            return len(self._in_flight)
        n_sent_since = sum(
            1 for at in self._in_flight.values() if at > self.reported_at
        )
        return self.report.n_running + self.report.n_queued + n_sent_since

    def apply_report(self, report: LoadReport, made_at: float, now: float) -> bool:
        """Apply a report; return False if stale or from another incarnation."""
        if report.epoch != self.incarnation.epoch:
            return False
        if self.report is not None and made_at < self.reported_at:
            return False
        self.report = report
        self.reported_at = made_at
        self._recompute_backlog(now)
        return True

    def dispatched(self, request_id: RequestId, work_s: float, now: float) -> None:
        """Add a sent request and its estimated prefill time to the queue."""
        self._backlog_s = self.wait_s(now) + work_s
        self._backlog_at = now
        self._waiting[request_id] = _SentRequest(now, work_s)
        self._in_flight[request_id] = now

    def first_token(self, request_id: RequestId, now: float) -> float:
        """Remove a request from the queue when its prefill has completed.

        Returns the seconds that it took in excess of the estimated prefill.
        """
        sent = self._waiting.pop(request_id, None)
        if sent is None:
            return 0.0
        self._recompute_backlog(now)
        return max(0.0, now - sent.at - sent.work_s)

    def finished(self, request_id: RequestId, now: float) -> None:
        """Remove a request that ended, successfully or not."""
        self.first_token(request_id, now)
        self._in_flight.pop(request_id, None)

    def _recompute_backlog(self, now: float) -> None:
        """Recompute the queue from the report and the requests sent after it."""
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
    """The usable instances of an upstream.

    Each membership change creates a new object with a higher ``generation``, which
    invalidates values cached for the old set.
    """

    upstream: str
    generation: int
    instances: Sequence[InstanceLoad]
    by_name: dict[str, InstanceLoad] = field(default_factory=dict)

    @classmethod
    def of(
        cls, upstream: str, generation: int, instances: Sequence[InstanceLoad]
    ) -> InstanceSet:
        """Create a set from the given instances."""
        by_name = {load.incarnation.instance: load for load in instances}
        return cls(upstream, generation, tuple(instances), by_name)
