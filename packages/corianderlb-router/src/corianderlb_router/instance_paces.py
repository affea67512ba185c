"""Paces of the instances that start or recover, as known to this router."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import field
from typing import Final, TypeVar

import eliot
import trio
import xxhash

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.instance_pace import (
    FIRST_PACE,
    LOADED_PACE,
    FleetView,
    InstancePace,
    PaceReport,
    without_turn,
)
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.message import InstancePaceReport
from corianderlb_core.part_index import IncarnationKey

from .interface import PeerNetwork
from .serving_state import ServingState

T = TypeVar("T")

NEW_FOR_S: Final = 5.0
"""Age up to which an instance counts as new when its entry is first read. A router that
has just started can't tell otherwise which instances have started too."""

TOLERATED_SHARE: Final = 0.3
"""Share of a route's objective by which an answer of a paced instance may be late."""

STEADY_SHARE: Final = 0.6
"""Share of what an instance could do at most that a steady one is given; the rest is
for the other work of its requests and for moments of more."""

MEAN_WEIGHT: Final = 0.1
"""Weight of one request in the means of work and of the interval between requests."""

TURN_INTERVALS: Final = 3.0
"""Number of mean intervals between requests for which a turn lasts: one in twenty turns
then lapses."""

INITIAL_WORK_S: Final = 0.05
INITIAL_INTERVAL_S: Final = 0.1
"""Means before the first request."""

MIN_REPORTERS: Final = 2
"""Routers that must have found an instance unreachable. A single one may be cut off."""

UNREACHABLE_TTL_S: Final = 1.0
"""Time for which such a finding counts; a further one begins the pace anew then."""

MAX_SEEN: Final = 4096
"""Incarnations remembered; the oldest is dropped first."""

N_REPEATS: Final = 2
"""How often a report is repeated, since one may be lost."""


def paces_starts(load: InstanceLoadReport) -> bool:
    """Return whether an upstream whose instances report so is paced."""
    return load.slowdown is not None


@dataclass
class _Upstream:
    """What this router knows of the requests for one upstream."""

    is_paced: bool = False
    request_s: float = INITIAL_WORK_S
    """Mean work of a request at a paced instance, in seconds of a steady one. Others
    have less, as they hold parts of its prompt."""
    interval_s: float = INITIAL_INTERVAL_S
    """Mean interval between requests of this router."""
    last_at: float = -math.inf


@dataclass
class _Known:
    """A listed incarnation."""

    upstream: str
    born_at: float
    """When it started or, if that was read late, when its entry was first read."""
    weights: tuple[tuple[str, int], ...]
    unreachable: dict[str, float] = field(default_factory=dict)
    """By router: when it last found the instance unreachable."""
    failed_at: float = -math.inf
    is_full: bool = False
    """Whether requests waited for it by its last report."""
    slowdown: float = 1.0
    """How long work takes at the moment, by its last report; 1 is as usual."""


class InstancePaces:
    """Paces instances that start, load weights or return; shared with the peers."""

    def __init__(
        self,
        state: ServingState,
        peers: PeerNetwork,
        rng: random.Random,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self._state = state
        self._peers = peers
        self._rng = rng
        self._wall_s = wall_s
        self._paces: dict[IncarnationKey, InstancePace] = {}
        self._known: dict[IncarnationKey, _Known] = {}
        self._seen: dict[IncarnationKey, None] = {}
        """Incarnations that were ever listed. One that is listed again has not started:
        its entry had expired while the store was away."""
        self._upstreams: dict[str, _Upstream] = {}
        self._n_changes = -1
        self._told: dict[IncarnationKey, tuple[PaceReport, int]] = {}
        """The last report of each pace, and how often it is to be repeated."""

    def __len__(self) -> int:
        return len(self._paces)

    @property
    def slowest(self) -> float:
        """The least pace of any instance; 1 if none is paced."""
        now = trio.current_time()
        return min(
            (pace.pace(now, self._fleet("")) for pace in self._paces.values()),
            default=1.0,
        )

    # Choice.

    def without_turn(
        self,
        items: Sequence[T],
        instance_of: Callable[[T], ForwardInstance],
        upstream: str,
        is_preferred: Callable[[T], bool] = lambda item: True,
    ) -> list[T]:
        """Return the instances that should not be sent a request; never all of them."""
        self._sync()
        if not self._paces:
            return []
        now, fleet = trio.current_time(), self._fleet(upstream)
        return without_turn(
            items,
            lambda item: self._pace(instance_of(item), now, fleet),
            now,
            fleet,
            is_preferred,
        )

    def is_paced(self, instance: ForwardInstance) -> bool:
        """Return whether an instance is paced."""
        return instance.incarnation_key in self._paces

    def share(self, instance: ForwardInstance) -> float:
        """Return what share of its work an instance may be sent; 1 if not paced."""
        pace = self._paces.get(instance.incarnation_key)
        if pace is None:
            return 1.0
        return pace.pace(trio.current_time(), self._fleet(instance.upstream))

    def is_of_known_speed(self, instance: ForwardInstance) -> bool:
        """Return whether a paced instance has but lost its cache."""
        pace = self._paces.get(instance.incarnation_key)
        return pace is not None and pace.is_of_known_speed

    def _pace(
        self, instance: ForwardInstance, now: float, fleet: FleetView
    ) -> InstancePace | None:
        """Return the pace of an instance; None once it needs none any more."""
        key = instance.incarnation_key
        pace = self._paces.get(key)
        if pace is not None and pace.is_settled(now, fleet):
            self._log(key, pace, "steady")
            del self._paces[key]
            self._told.pop(key, None)
            return None
        return pace

    def _fleet(self, upstream: str) -> FleetView:
        peers = self._peers
        known = self._upstreams.get(upstream)
        interval_s = known.interval_s if known else INITIAL_INTERVAL_S
        n_routers = max(1, peers.n_sharing(), peers.n_known())
        return FleetView(n_routers, peers.reach(), TURN_INTERVALS * interval_s)

    # Starts.

    def _sync(self) -> None:
        """Begin a pace for the incarnations that are new in the platform's list."""
        if self._state.n_engine_changes == self._n_changes:
            return
        self._n_changes = self._state.n_engine_changes
        now, wall_s = trio.current_time(), self._wall_s()
        is_first = not self._seen
        listed = set()
        for instance in self._state.all_instances():
            key = instance.incarnation_key
            listed.add(key)
            known = self._known.get(key)
            if known is not None:
                if known.weights != instance.weights:
                    is_load = bool(known.weights)
                    known.weights = instance.weights
                    if is_load:
                        self.loaded(instance)
                continue
            age_s = wall_s - instance.born_ms / 1000
            if key in self._seen:
                age_s = math.inf
            elif not is_first:
                # Requests are sent to listed instances only.
                age_s = 0.0
            elif not 0 <= age_s < NEW_FOR_S:
                age_s = math.inf
            self._seen[key] = None
            if len(self._seen) > MAX_SEEN:
                del self._seen[next(iter(self._seen))]
            self._known[key] = _Known(instance.upstream, now - age_s, instance.weights)
            if age_s < NEW_FOR_S:
                self._begin(instance, FIRST_PACE, "new", age_s)
        for key in self._known.keys() - listed:
            del self._known[key]
            self._paces.pop(key, None)
            self._told.pop(key, None)

    def _begin(
        self, instance: ForwardInstance, base: float, reason: str, age_s: float = 0.0
    ) -> None:
        key, upstream = instance.incarnation_key, self._upstream(instance.upstream)
        if not upstream.is_paced or key in self._paces:
            return
        pace = InstancePace(
            trio.current_time(), base, self._phase(key), upstream.request_s, age_s
        )
        self._paces[key] = pace
        self._log(key, pace, reason)

    def _phase(self, key: IncarnationKey) -> float:
        """Return this router's place in the turns at an instance, from 0 to 1.

        Every router derives it from the names, and each instance has another order.
        """
        names = sorted(state.instance for state in self._peers.members())
        own = self._peers.own
        if own not in names:
            return self._rng.random()
        shift = xxhash.xxh3_64_intdigest(f"{key[0]}.{key[1]}".encode())
        return ((names.index(own) + shift) % len(names) + 0.5) / len(names)

    def loaded(self, instance: ForwardInstance) -> None:
        """Pace an engine that has loaded weights, which empties its cache."""
        self._begin(instance, LOADED_PACE, "loaded")

    def unreachable(self, instance: ForwardInstance, router: str) -> None:
        """Record that a router found an instance unreachable."""
        known = self._known.get(instance.incarnation_key)
        if known is None or not self._upstream(known.upstream).is_paced:
            return
        now = trio.current_time()
        known.unreachable[router] = now
        recent = [
            at for at in known.unreachable.values() if now - at < UNREACHABLE_TTL_S
        ]
        n_needed = min(MIN_REPORTERS, self._fleet("").n_routers)
        if len(recent) < n_needed or now - known.failed_at < UNREACHABLE_TTL_S:
            return
        known.failed_at = now
        key = instance.incarnation_key
        pace = self._paces.get(key)
        if pace is None:
            self._begin(instance, FIRST_PACE, "unreachable")
        else:
            pace.failed(now, self._fleet(known.upstream))
            self._log(key, pace, "unreachable")

    def found_down(self, instance: ForwardInstance) -> None:
        """Pace an instance that this router alone has found unreachable."""
        self._begin(instance, FIRST_PACE, "unreachable")

    # Attempts.

    def reported(self, instance: ForwardInstance, load: InstanceLoadReport) -> None:
        """Record the load that an instance reports of itself."""
        upstream = self._upstream(instance.upstream)
        if not upstream.is_paced:
            if not paces_starts(load):
                return
            upstream.is_paced = True
            self._begin_recent(instance.upstream)
        known = self._known.get(instance.incarnation_key)
        if known is not None:
            n_running, n_waiting, n_slots = load.n_running, load.n_waiting, load.n_slots
            known.is_full = bool(n_waiting) and (n_running or 0) >= (n_slots or 1)
            known.slowdown = load.slowdown or 1.0

    def _begin_recent(self, upstream: str) -> None:
        """Pace the instances that had started before the first report was heard."""
        now = trio.current_time()
        for instance in self._state.instances(upstream):
            known = self._known.get(instance.incarnation_key)
            if known is not None and now - known.born_at < NEW_FOR_S:
                self._begin(instance, FIRST_PACE, "new", now - known.born_at)

    def sent(
        self,
        instance: ForwardInstance,
        key: str,
        capacity_s: float,
        expected_s: float,
        objective_s: float,
    ) -> None:
        """Record an attempt that is being sent.

        It takes ``capacity_s`` of all that the instance can do, and a steady instance
        takes ``expected_s`` to the first byte.
        """
        upstream = self._upstream(instance.upstream)
        if not upstream.is_paced:
            return
        now = trio.current_time()
        if math.isfinite(upstream.last_at):
            interval_s = min(1.0, now - upstream.last_at)
            upstream.interval_s += MEAN_WEIGHT * (interval_s - upstream.interval_s)
        upstream.last_at = now
        pace = self._paces.get(instance.incarnation_key)
        if pace is not None:
            work_s = capacity_s / STEADY_SHARE
            upstream.request_s += MEAN_WEIGHT * (work_s - upstream.request_s)
            tolerated_s = TOLERATED_SHARE * objective_s
            fleet = self._fleet(instance.upstream)
            pace.sent(key, work_s, expected_s, tolerated_s, now, fleet)

    def answered(self, instance: ForwardInstance, key: str) -> None:
        """Record the first byte of an attempt's answer."""
        pace = self._paces.get(instance.incarnation_key)
        if pace is None:
            return
        known = self._known.get(instance.incarnation_key)
        is_full = known is not None and known.is_full
        slowdown = known.slowdown if known is not None else 1.0
        n_before = pace.n_backoffs
        fleet = self._fleet(instance.upstream)
        pace.answered(key, trio.current_time(), fleet, is_full, slowdown)
        if pace.n_backoffs > n_before:
            self._log(instance.incarnation_key, pace, "slow")

    def refused(self, instance: ForwardInstance, key: str) -> None:
        """Record that an instance turned an attempt away."""
        pace = self._paces.get(instance.incarnation_key)
        if pace is None:
            return
        n_before = pace.n_backoffs
        pace.refused(key, trio.current_time(), self._fleet(instance.upstream))
        if pace.n_backoffs > n_before:
            self._log(instance.incarnation_key, pace, "refused")

    def ended(self, instance: ForwardInstance, key: str) -> None:
        """Record that an attempt has ended."""
        pace = self._paces.get(instance.incarnation_key)
        if pace is not None:
            pace.ended(key)

    # Reports.

    def reports(self) -> tuple[InstancePaceReport, ...]:
        """Return what has changed since the last call, and some repeats."""
        reports = []
        for key, pace in self._paces.items():
            report = pace.report()
            told, n_repeats = self._told.get(key, (None, 0))
            if report != told:
                n_repeats = N_REPEATS + 1
            is_untouched = not report.n_backoffs and not report.answered_s
            is_not_needed = pace.is_of_known_speed and not report.n_backoffs
            if not n_repeats or is_untouched or is_not_needed:
                continue
            self._told[key] = (report, n_repeats - 1)
            reports.append(
                InstancePaceReport(
                    *key,
                    report.n_backoffs,
                    report.base,
                    report.threshold,
                    report.answered_s,
                )
            )
        return tuple(reports)

    def merge(self, sender: InstanceId, reports: Sequence[InstancePaceReport]) -> None:
        """Merge a peer's reports of the instances that are paced here too."""
        if reports:
            self._sync()
        now = trio.current_time()
        for report in reports:
            key = (report.instance, report.born_ms)
            pace = self._paces.get(key)
            if pace is None:
                continue
            n_before = pace.n_backoffs
            pace.merge(
                sender,
                PaceReport(
                    report.n_backoffs, report.base, report.threshold, report.answered_s
                ),
                now,
            )
            if pace.n_backoffs > n_before:
                self._log(key, pace, f"reported by {sender}")

    def _upstream(self, name: str) -> _Upstream:
        upstream = self._upstreams.get(name)
        if upstream is None:
            upstream = self._upstreams[name] = _Upstream()
        return upstream

    def _log(self, key: IncarnationKey, pace: InstancePace, reason: str) -> None:
        known = self._known.get(key)
        fleet = self._fleet(known.upstream if known else "")
        eliot.log_message(
            message_type="upstream:pace",
            instance=key[0],
            born_ms=key[1],
            pace=round(pace.pace(trio.current_time(), fleet), 3),
            backoffs=pace.n_backoffs,
            routers=fleet.n_routers,
            reason=reason,
        )
