"""Engine state known to this router: prefill estimates, cached parts, weights."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import field, replace
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.decayed_rate import DecayedRate
from corianderlb_core.engine_choice import (
    OUTDATED_WEIGHTS_GRACE_S,
    EngineChoice,
    EngineQuery,
    EngineView,
    allowed_or_all,
    choose_engine,
)
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.instance_speed import (
    IncarnationSpeed,
    InstanceSpeeds,
    record_told,
)
from corianderlb_core.message import (
    CrashReport,
    EngineUpdate,
    EngineWork,
    PartsAnnouncement,
    SpeedUpdate,
)
from corianderlb_core.part_gossip import (
    PartGossip,
    engine_digest,
    pack,
    share_passed_on,
)
from corianderlb_core.part_index import IncarnationKey, PartIndex
from corianderlb_core.prefill_estimate import (
    CommonEstimates,
    PeerWork,
    PrefillEstimator,
)
from corianderlb_core.reported_load import ReportedLoad
from corianderlb_core.update_schedule import UpdateSchedule
from corianderlb_core.weights_rollout import EnginePhase

from .connection_guard import ConnectionGuard
from .fleet_memory import FleetMemory
from .health_table import HealthTable
from .instance_paces import InstancePaces
from .interface import PeerNetwork
from .send_permits import SendPermits
from .serving_state import ServingState
from .weights_table import WeightsTable

UPDATE_INTERVAL_S: Final = 0.2
"""Interval between updates to the peers on requests in flight; longer in a large fleet.
The first prefill of a shared part and an unreachable engine are announced earlier."""

MIN_UPDATE_INTERVAL_S: Final = 0.02
"""Shortest interval between updates, however many events there are."""

UPDATE_INTERVAL_PER_PEER_S: Final = 0.012
"""Shortest interval between updates per peer. A message takes about 0.16 ms of both
processors together, so updates take 1 to 2% of each, however many peers there are."""

REFUSED_BACKOFF_S: Final = 0.25
"""Backoff after an engine refused a request as full or loading; applies while other
engines are available."""

MIN_REACHED_SHARE: Final = 0.02
"""Lower bound of the fraction of peers that are linked; the work that these report is
divided by it to estimate the work of all peers."""

UNREACHED_BACKOFF_S: Final = 1.0
"""Backoff after a failed connection to an engine; applies while other engines are
available."""

MIN_UNREACHABLE_REPORTS: Final = 2
"""Peers that must report an engine as unreachable before this router avoids it. A
single router that is cut off from the engines must not turn the whole fleet away from
them. Without the reports, each of 31 routers lost 0.25 s of a request three times at
each of 11 unresponsive engines."""

FALLBACK_PHASES: Final = (EnginePhase.SERVING, EnginePhase.RESTING)
"""Phases in which an engine accepts runs that move away from another one."""

FALLBACK_MARGIN_S: Final = 1.0
"""Margin before the age limit of replaced weights; covers copying a run's KV cache."""

UNRESPONSIVE_S: Final = 0.4
"""Time without events after which an engine with requests counts as unresponsive;
covers the prefill of a long prompt, which delays events of other runs."""

LONG_PREFILL_S: Final = 0.05
"""Prefill from which a prompt is announced before the turn of the next update, where
the engines' rates are learned over the fleet."""

SPEED_LOG_INTERVAL_S: Final = 10.0
"""Interval between log lines of the engines' rates."""

MAX_PREFILL_SHARE: Final = 0.6
"""Share of an engine's time available for prefill while others load; a higher load
delays first tokens."""

DEMAND_WINDOW_S: Final = 2.0
"""Time constant over which the rate of tokens to prefill is averaged."""

MERGE_DELAY_S: Final = 0.1
"""Age of the oldest update of a peer from which those that have arrived are merged
though no engine is to be chosen. Merged together they take less processor time: each
one alone finds the processor's caches filled by other work."""

MEAN_RATE_TTL_S: Final = 0.1
"""Time for which the mean rate of an upstream's engines is kept. It is an average over
seconds."""

MAX_PART_ANNOUNCEMENTS: Final = 200
"""Maximum number of part announcements per update; the rest wait for the next one."""


LOADED_MARGIN_S: Final = 0.5
"""Time before outdated weights cost anything from which engines that have loaded the
newest are used whatever their pace: about the wait for a first token."""


@dataclass
class _Engine:
    estimator: PrefillEstimator
    n_unannounced_tokens: int = 0
    """Prompt tokens assigned to the engine since the last update to the peers."""
    refused_until: float = -math.inf
    unreachable_reports: dict[str, float] = field(default_factory=dict)
    """Peers that reported the engine as unreachable, with the time of the report."""
    crashed_at: float = -math.inf
    """When a router found that it refuses connections after one broke."""


@dataclass(frozen=True)
class UsableEngines:
    """Engines of an upstream that can be used at present."""

    rates: Mapping[IncarnationKey, float]
    """Present rate of each, relative to a mean engine."""
    n_taken: int
    """Places that are taken, as reported by all routers."""
    n_places: int


class EngineTable:
    """Choose engines, using own attempts and updates from the peers."""

    def __init__(
        self,
        state: ServingState,
        health: HealthTable,
        peers: PeerNetwork,
        permits: SendPermits,
        rng: random.Random,
        level_queues: bool = False,
        avoid_crashed: bool = False,
    ) -> None:
        self._rng = rng
        self._level_queues = level_queues
        self._permits = permits
        self._state = state
        self._peers = peers
        self._health = health
        self.paces = InstancePaces(state, peers, rng)
        """Paces of the instances that start or recover, of plain services too."""
        self.weights = WeightsTable(state, peers, self.paces.loaded)
        """Weights versions and phases of the engines."""
        self.index = PartIndex()
        """Engines that cache each prompt part."""
        self.speeds = InstanceSpeeds(rng.getrandbits(32))
        """Prefill rates of the engines that report a slowdown, over the fleet."""
        self._reported: dict[IncarnationKey, ReportedLoad] = {}
        """What engines and services last reported, here or to a peer."""
        self._schedule = UpdateSchedule()
        self._engines: dict[IncarnationKey, _Engine] = {}
        self._common_estimates: dict[str, CommonEstimates] = {}
        self._prefill_demands: dict[str, DecayedRate] = {}
        """By upstream: prompt tokens assigned to its engines by all routers."""
        self._mean_rates: dict[str, tuple[float, float | None]] = {}
        """Mean rate of an upstream's engines, and when it was worked out."""
        self._part_announcements: list[PartsAnnouncement] = []
        self.part_gossip = PartGossip(self.index, rng)
        """Announcements of parts that spread over the whole fleet."""
        self._by_digest: dict[int, IncarnationKey] = {}
        self._digests_of_change = -1
        self._views_of_changes = (-1, -1)
        self._kept_views: dict[tuple[str, str], list[EngineView]] = {}
        """By upstream and model."""
        self._in_trouble: set[IncarnationKey] = set()
        """Engines that refused a request or were reported as unreachable."""
        self._unreached: dict[IncarnationKey, None] = {}
        """Incarnations that accepted no connection, not announced yet."""
        self._announced_work: tuple[EngineWork, ...] = ()
        self._update_requested = trio.Event()
        self.memory: FleetMemory | None = None
        """Bounds what all routers hold at an engine; None if that isn't bounded."""
        self._guard = ConnectionGuard()
        self._unmerged: list[tuple[InstanceId, EngineUpdate, float]] = []
        """Updates of peers that are not merged yet, with their arrival, in order."""
        peers.subscribe(EngineUpdate, self.on_engine_update)
        self._avoid_crashed = avoid_crashed
        if avoid_crashed:
            peers.subscribe(CrashReport, self.on_crash_report)

    # Engine choice.

    def choose(
        self, query: EngineQuery, upstream: str, avoid: Sequence[IncarnationKey]
    ) -> EngineChoice | None:
        """Return the best engine of an upstream, or None when none is available."""
        # Most of the time nothing is wrong with any engine; each is then looked at for
        # the choice alone.
        awake = self._views(upstream, query.prompt.model)
        all_serve = self.weights.all_serve
        if avoid or not all_serve:
            awake = [
                view
                for view in awake
                if view.instance.incarnation_key not in avoid
                and self.weights.phase(view.instance) is not EnginePhase.LOADING
            ]
        views = [view for view in awake if self._permits.may_send(view.instance)]
        if not views:
            return None
        if not all_serve:
            views = allowed_or_all(
                views,
                lambda view: self.weights.phase(view.instance) is EnginePhase.SERVING,
            )
        if not self._health.is_unlimited:
            views = allowed_or_all(
                views,
                lambda view: self._health.may_send(view.instance.incarnation_key),
            )
        if self._in_trouble:
            views = allowed_or_all(
                views, lambda view: not self._is_in_backoff(view.instance, query.now)
            )
        query = self._with_turns(query, views, upstream)
        if self._level_queues and not views[0].estimator.is_uneven:
            unseen_s = self._unseen_s(views, upstream)
            query = replace(query, unseen_s=unseen_s)
        others = self._other_sources(query, awake, views) if query.reads_once else []

        def choose_among(views: Sequence[EngineView]) -> EngineChoice | None:
            return choose_engine(query, views, self.index, self._rng, others)

        if self.memory is None:
            return choose_among(views)
        demand = self._prefill_demands.get(upstream)
        demand_per_s = demand.per_s(query.now) if demand else 0.0
        return self.memory.choose(query, views, choose_among, demand_per_s)

    def _unseen_s(self, views: Sequence[EngineView], upstream: str) -> float:
        """Return the time that an engine takes for what comes between two reports."""
        demand = self._prefill_demands.get(upstream)
        if demand is None:
            return 0.0
        tokens_per_s = sum(view.estimator.tokens_per_s for view in views)
        load = demand.per_s(trio.current_time()) / tokens_per_s
        return min(1.0, load) * self.update_interval_s

    def _other_sources(
        self,
        query: EngineQuery,
        awake: Sequence[EngineView],
        views: Sequence[EngineView],
    ) -> list[EngineView]:
        """Return engines that take no requests now but still hold cached parts.

        These wait to load weights or have no turn for a request. Those that may be down
        are left out: a fetch from a dead one takes some hundred milliseconds.
        """
        if len(views) == len(awake):
            return []
        taken = {view.instance.incarnation_key for view in views}
        return [
            view
            for view in awake
            if view.instance.incarnation_key not in taken
            and self._health.may_send(view.instance.incarnation_key)
            and not self._is_in_backoff(view.instance, query.now)
        ]

    def _with_turns(
        self, query: EngineQuery, views: Sequence[EngineView], upstream: str
    ) -> EngineQuery:
        """Return the query with the engines that have no turn for a request now.

        One that has only loaded weights is not passed over if all others have outdated
        ones or are paced as well.
        """

        def is_current(view: EngineView) -> bool:
            age_s = query.now - view.replaced_at
            return age_s < OUTDATED_WEIGHTS_GRACE_S - LOADED_MARGIN_S

        waiting = self.paces.without_turn(
            views, lambda view: view.instance, upstream, is_current
        )
        if not waiting:
            return query
        has_steady = any(
            is_current(view) and not self.paces.is_paced(view.instance)
            for view in views
        )
        passed_over, primary_only = set(), set()
        for view in waiting:
            key = view.instance.incarnation_key
            if not self.paces.is_of_known_speed(view.instance):
                passed_over.add(key)
            elif has_steady:
                primary_only.add(key)
        return replace(
            query,
            passed_over=frozenset(passed_over),
            primary_only=frozenset(primary_only),
        )

    def _views(self, upstream: str, model: str) -> Sequence[EngineView]:
        """Return the state of all engines of an upstream; kept until it changes."""
        self.merge_reports()
        changes = (self._state.n_engine_changes, self.weights.n_versions_learned)
        if changes != self._views_of_changes:
            self._views_of_changes = changes
            self._kept_views.clear()
        key = (upstream, model)
        if key not in self._kept_views:
            self._kept_views[key] = [
                self.view(instance, model)
                for instance in self._state.instances(upstream)
            ]
        return self._kept_views[key]

    def is_unresponsive(self, instance: ForwardInstance) -> bool:
        """Return whether an engine with requests of this router is unresponsive."""
        if not self._engine(instance).estimator.n_requests:
            return False
        return not self.received_since(instance, trio.current_time() - UNRESPONSIVE_S)

    def received_since(self, instance: ForwardInstance, moment: float) -> bool:
        """Return whether this router has received data from an engine since a time."""
        return self._health.received_since(instance.incarnation_key, moment)

    def is_heard_since(self, instance: ForwardInstance, moment: float) -> bool:
        """Return whether an instance has sent anything since a time, here or, as far as
        its reports tell, to a peer."""
        if self.received_since(instance, moment):
            return True
        reported = self._reported.get(instance.incarnation_key)
        return reported is not None and reported.counted_at >= moment

    def _is_in_backoff(self, instance: ForwardInstance, now: float) -> bool:
        """Return whether an engine recently refused a request or was unreachable."""
        if instance.incarnation_key not in self._in_trouble:
            return False
        engine = self._engine(instance)
        if engine.refused_until > now or self._is_unreachable(instance, now):
            return True
        reported_at = max(engine.unreachable_reports.values(), default=-math.inf)
        if now - max(reported_at, engine.crashed_at) >= UNREACHED_BACKOFF_S:
            self._in_trouble.discard(instance.incarnation_key)
        return False

    def _is_unreachable(self, instance: ForwardInstance, now: float) -> bool:
        engine = self._engine(instance)
        if now - engine.crashed_at < UNREACHED_BACKOFF_S:
            return not self.received_since(instance, engine.crashed_at)
        recent = [
            at
            for at in engine.unreachable_reports.values()
            if now - at < UNREACHED_BACKOFF_S
        ]
        if len(recent) < MIN_UNREACHABLE_REPORTS:
            return False
        return not self._health.received_since(instance.incarnation_key, max(recent))

    def usable(self, upstream: str) -> UsableEngines:
        """Return the engines of an upstream that can be used now, and their places.

        An engine that loads weights or is about to, is down or does not answer is left
        out; one that is paced or slow counts with what it can do at present.
        """
        self.merge_reports()
        now = trio.current_time()
        common = self.speeds.common_tokens_per_s(upstream)
        rates, n_taken, n_places = {}, 0, 0
        for instance in self._state.instances(upstream):
            if not self._is_usable(instance, now):
                continue
            estimator, rate = self._engine(instance).estimator, 1.0
            if common is not None:
                load = estimator.reported
                slowdown = load.slowdown(now) / load.usual_slowdown
                rate = estimator.tokens_per_s / common / slowdown
            rates[instance.incarnation_key] = rate * self.paces.share(instance)
            n_taken += estimator.n_reported_requests(now)
            n_places += instance.slots
        return UsableEngines(rates, n_taken, n_places)

    def _is_usable(self, instance: ForwardInstance, now: float) -> bool:
        return (
            self._permits.may_send(instance)
            and self.weights.phase(instance) is EnginePhase.SERVING
            and self._health.may_send(instance.incarnation_key)
            and not self._is_unreachable(instance, now)
        )

    def view(self, instance: ForwardInstance, model: str) -> EngineView:
        """Return the state of one engine as known to this router."""
        version = self.weights.version(instance, model)
        return EngineView(
            instance,
            self._engine(instance).estimator,
            version,
            self._state.replaced_at(model, version),
        )

    def fallback(
        self, source: EngineView, upstream: str, model: str, limit_s: float
    ) -> EngineView | None:
        """Return the engine that a run may move to, or None when there is none.

        It must have the same weights and software version. The engine with the fewest
        requests is preferred; another availability zone counts as one request more. No
        run moves later than ``FALLBACK_MARGIN_S`` before its weights exceed the age
        ``limit_s``.
        """
        now = trio.current_time()
        version = source.weights_version
        if now - self._state.replaced_at(model, version) > limit_s - FALLBACK_MARGIN_S:
            return None
        views = [
            view
            for view in self._views(upstream, model)
            if view.weights_version == version
            and view.instance.software_version == source.instance.software_version
            and view.instance.incarnation_key != source.instance.incarnation_key
            and self.weights.phase(view.instance) in FALLBACK_PHASES
            and self._health.may_send(view.instance.incarnation_key)
            and not self._is_in_backoff(view.instance, now)
            and self._permits.may_send(view.instance)
            and view.estimator.n_reported_requests(now) < view.instance.slots
        ]
        return min(
            views,
            key=lambda view: (
                view.estimator.n_reported_requests(now)
                + (view.instance.zone != source.instance.zone),
                self._rng.random(),
            ),
            default=None,
        )

    def n_engines_needed(self, upstream: str) -> int:
        """Return the number of engines needed for the prefill load, with a margin."""
        demand = self._prefill_demands.get(upstream)
        common = self._common_estimates.get(upstream)
        if demand is None or common is None:
            return 1
        demand_per_s = demand.per_s(trio.current_time())
        tokens_per_s = self._mean_tokens_per_s(upstream)
        if tokens_per_s is None:
            tokens_per_s = math.exp(common.log_tokens_per_s)
        return max(1, math.ceil(demand_per_s / (MAX_PREFILL_SHARE * tokens_per_s)))

    def spacing_s(self, choice: EngineChoice, upstream: str) -> float:
        """Return the time that the engines together take for a choice's prefill."""
        n_engines = max(1, len(self._state.instances(upstream)))
        tokens_per_s = self._mean_tokens_per_s(upstream)
        if tokens_per_s is None:
            tokens_per_s = choice.view.estimator.tokens_per_s
        return choice.n_missing / tokens_per_s / n_engines

    def _mean_tokens_per_s(self, upstream: str) -> float | None:
        """Return the mean rate of an upstream's engines; None if not learned.

        It is kept for a moment, since each look of a request that waits asks for it.
        """
        now = trio.current_time()
        kept_at, rate = self._mean_rates.get(upstream, (-math.inf, None))
        if now - kept_at >= MEAN_RATE_TTL_S:
            rate = self._find_mean_tokens_per_s(upstream)
            self._mean_rates[upstream] = (now, rate)
        return rate

    def _find_mean_tokens_per_s(self, upstream: str) -> float | None:
        if self.speeds.common_tokens_per_s(upstream) is None:
            return None
        rates = [
            self._engine(instance).estimator.tokens_per_s
            for instance in self._state.instances(upstream)
        ]
        return sum(rates) / len(rates) if rates else None

    def _count_prefill(self, upstream: str, n_tokens: float, now: float) -> None:
        demand = self._prefill_demands.get(upstream)
        if demand is None:
            demand = self._prefill_demands[upstream] = DecayedRate(DEMAND_WINDOW_S)
        demand.add(n_tokens, now)

    # Attempts.

    def sent(self, key: str, choice: EngineChoice, part_ids: Sequence[str]) -> None:
        """Record an attempt that is being sent."""
        instance, estimator = choice.view.instance, choice.view.estimator
        incarnation_key, now = instance.incarnation_key, trio.current_time()
        estimator.sent(key, choice.n_missing, now, choice.n_held)
        estimator.record_transfer(choice.transfer_s, now)
        if estimator.is_uneven and (
            estimator.prefill_time_s(choice.n_missing) > LONG_PREFILL_S
        ):
            self._update_requested.set()
        self.index.count_prefilled(incarnation_key, choice.n_missing)
        self._engine(instance).n_unannounced_tokens += choice.n_missing
        self._count_prefill(instance.upstream, choice.n_missing, now)
        if self.memory is not None:
            self.memory.sent(choice.n_held)
        if part_ids:
            if choice.is_first_prefill:
                # Another router may be about to prefill the same parts on another
                # engine.
                self._update_requested.set()
            if choice.told_parts:
                self._record_told_parts(choice, False)
            elif self._record_parts(choice, part_ids, False):
                self._part_announcements.append(
                    PartsAnnouncement(choice.scope, tuple(part_ids), *incarnation_key)
                )

    def first_token(
        self, key: str, choice: EngineChoice, part_ids: Sequence[str], saved: bool
    ) -> None:
        """Record that the prefill of an attempt is complete."""
        incarnation_key = choice.view.instance.incarnation_key
        choice.view.estimator.first_token(key, trio.current_time())
        if not part_ids:
            return
        if choice.told_parts:
            self._record_told_parts(choice, True, saved)
            return
        is_news = self._record_parts(choice, part_ids, True)
        if saved:
            self.index.record_saved(choice.scope, part_ids)
        if is_news or saved:
            self._part_announcements.append(
                PartsAnnouncement(
                    choice.scope, tuple(part_ids), *incarnation_key, True, saved
                )
            )

    def _record_parts(
        self, choice: EngineChoice, part_ids: Sequence[str], is_ready: bool
    ) -> bool:
        """Record parts that a run prefills; return whether the peers should know."""
        instance = choice.view.instance
        return self.index.record_parts(
            choice.scope,
            part_ids,
            instance.incarnation_key,
            is_ready,
            self._kv_capacity(instance.upstream),
        )

    def _record_told_parts(
        self, choice: EngineChoice, is_ready: bool, is_saved: bool = False
    ) -> None:
        """Record parts that a run prefills, and what of it the fleet should know."""
        instance = choice.view.instance
        self.part_gossip.record_read(
            choice.scope,
            choice.told_parts,
            instance.incarnation_key,
            is_ready,
            is_saved,
            self._kv_capacity(instance.upstream),
        )

    def ended(
        self,
        key: str,
        choice: EngineChoice,
        part_ids: Sequence[str],
        has_first_token: bool,
    ) -> None:
        """Record that an attempt has ended."""
        choice.view.estimator.ended(key, trio.current_time())
        if not has_first_token:
            self.index.discard_pending(
                choice.scope, part_ids, choice.view.instance.incarnation_key
            )

    def reported(self, incarnation_key: IncarnationKey) -> ReportedLoad:
        """Return what an instance last reported of itself."""
        reported = self._reported.get(incarnation_key)
        if reported is None:
            reported = self._reported[incarnation_key] = ReportedLoad(
                self._level_queues
            )
        return reported

    def record_report(
        self, instance: ForwardInstance, report: InstanceLoadReport
    ) -> None:
        """Record what an instance reports in an answer; the peers are told of it."""
        key, now = instance.incarnation_key, trio.current_time()
        self.reported(key).record(report, now)
        if self._level_queues:
            self.speeds.record_report(key, instance.upstream, report, now)
        else:
            self.announce_report(instance, report)

    def announce_report(
        self, instance: ForwardInstance, report: InstanceLoadReport
    ) -> None:
        """Have the peers told of a report that is recorded here already."""
        if report.slowdown is not None:
            key, now = instance.incarnation_key, trio.current_time()
            self.speeds.record_report(key, instance.upstream, report, now)

    def refused(self, instance: ForwardInstance) -> None:
        """Back off from an engine that refused a request as full or loading."""
        self._engine(instance).refused_until = trio.current_time() + REFUSED_BACKOFF_S
        self._in_trouble.add(instance.incarnation_key)

    def unreached(self, instance: ForwardInstance) -> None:
        """Back off from an engine that accepted no connection, and notify the peers."""
        self._engine(instance).refused_until = trio.current_time() + UNREACHED_BACKOFF_S
        self._in_trouble.add(instance.incarnation_key)
        self._unreached[instance.incarnation_key] = None
        self.paces.unreachable(instance, self._peers.own)
        self._update_requested.set()

    def crashed(self, instance: ForwardInstance) -> None:
        """Avoid an engine that refuses connections after one to it broke.

        A refusal comes from its machine, so one router's word is enough, unlike that of
        a router that gets no answer and may itself be cut off.
        """
        engine, now = self._engine(instance), trio.current_time()
        if self._avoid_crashed and now - engine.crashed_at >= UNREACHED_BACKOFF_S:
            engine.crashed_at = now
            self._in_trouble.add(instance.incarnation_key)

    # Updates from peers.

    async def on_crash_report(self, sender: InstanceId, report: CrashReport) -> None:
        """Avoid an engine that a peer found crashed."""
        name, _, epoch = report.crash_id.rpartition("@")
        instance = self._state.instance(name)
        if instance is not None and str(instance.born_ms) == epoch:
            self.crashed(instance)

    async def on_engine_update(self, sender: InstanceId, update: EngineUpdate) -> None:
        """Keep an update until an engine is chosen, or the next own update is sent."""
        now = trio.current_time()
        self._unmerged.append((sender, update, now))
        if now - self._unmerged[0][2] >= MERGE_DELAY_S:
            self.merge_reports()

    def merge_reports(self) -> None:
        """Merge the updates of peers that have arrived, before a choice."""
        if self._unmerged:
            kept, self._unmerged = self._unmerged, []
            for sender, update, arrived_at in kept:
                # The request that needs them must not fail for a report.
                with self._guard.confine("peers", sender):
                    self._merge_update(sender, update, arrived_at)

    def _merge_update(
        self, sender: InstanceId, update: EngineUpdate, now: float
    ) -> None:
        """Merge a peer's requests in flight, unreachable engines and cached parts.

        ``now`` is when they arrived.
        """
        # Assume that peers without a link have as much in flight as those with one.
        reach = self._peers.reach()
        scale = 1 / max(MIN_REACHED_SHARE, reach)
        n_read_by_upstream: dict[str, float] = {}
        for work in update.work:
            instance = self._state.incarnation((work.instance, work.born_ms))
            if instance is not None:
                estimator = self._engine(instance).estimator
                peer_work = PeerWork(
                    scale * work.n_unread_tokens,
                    round(scale * work.n_requests),
                    scale * work.n_held_tokens,
                    now,
                )
                estimator.merge(sender, peer_work)
                if work.n_read_tokens:
                    n_read = scale * work.n_read_tokens
                    self.index.count_prefilled(instance.incarnation_key, n_read)
                    upstream = instance.upstream
                    n_read += n_read_by_upstream.get(upstream, 0.0)
                    n_read_by_upstream[upstream] = n_read
        for upstream, n_read in n_read_by_upstream.items():
            self._count_prefill(upstream, n_read, trio.current_time())
        for incarnation_key in update.unreached:
            instance = self._state.incarnation(tuple(incarnation_key))
            if instance is not None:
                self._engine(instance).unreachable_reports[sender] = now
                self.paces.unreachable(instance, sender)
                self._in_trouble.add(instance.incarnation_key)
        self.paces.merge(sender, update.paces)
        if update.speeds is not None:
            self._merge_speeds(sender, update.speeds, now)
        for announcement in update.parts:
            incarnation_key = (announcement.instance, announcement.born_ms)
            self.index.record_parts(
                announcement.scope,
                announcement.part_ids,
                incarnation_key,
                announcement.is_ready,
            )
            if announcement.is_saved:
                self.index.record_saved(announcement.scope, announcement.part_ids)
        if update.held_parts:
            self._hear(sender, update.held_parts, reach)

    def _hear(self, sender: InstanceId, packed: bytes, reach: float) -> None:
        """Record parts that a peer announced, and pass on some of them."""
        if self._digests_of_change != self._state.n_engine_changes:
            self._digests_of_change = self._state.n_engine_changes
            self._by_digest = {
                engine_digest(instance.incarnation_key): instance.incarnation_key
                for instance in self._state.all_instances()
            }
        n_others = self._peers.n_members() - 1
        share = share_passed_on(n_others, reach)
        self.part_gossip.hear(packed, self._by_digest, share, sender)

    def _merge_speeds(
        self, sender: InstanceId, update: SpeedUpdate, now: float
    ) -> None:
        """Merge what a peer observed of the listed incarnations."""
        told_of: dict[IncarnationKey, str] = {}
        for told in update.reports:
            instance = self._state.incarnation((told.instance, told.born_ms))
            if instance is not None:
                told_of[instance.incarnation_key] = instance.upstream
        late_s = self.speeds.merge(sender, update, told_of, now)
        if late_s is None:
            return
        if self.memory is not None:
            self.memory.heard(late_s)
        for told in update.reports:
            key = (told.instance, told.born_ms)
            if key in told_of:
                record_told(self.reported(key), told, now - late_s)

    def tokens_per_s(self) -> dict[str, float]:
        """Return the rates of the engines, by instance, as learned over the fleet."""
        return {
            key[0]: engine.estimator.tokens_per_s
            for key, engine in self._engines.items()
            if engine.estimator.is_uneven
        }

    def slowdowns(self) -> dict[str, float]:
        """Return how long work takes now at the instances that report it."""
        now = trio.current_time()
        return {
            key[0]: reported.slowdown(now)
            for key, reported in self._reported.items()
            if reported.has_slowdown
        }

    async def run(self) -> None:
        """Send updates to the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.weights.run)
            nursery.start_soon(self._announce_work)
            nursery.start_soon(self._log_speeds)

    async def _log_speeds(self) -> None:
        while True:
            await trio.sleep(SPEED_LOG_INTERVAL_S)
            rates, slowdowns = self.tokens_per_s(), self.slowdowns()
            if rates or slowdowns:
                eliot.log_message(
                    message_type="engine:speeds",
                    tokens_per_s={name: round(rate) for name, rate in rates.items()},
                    slowdowns={name: round(x, 2) for name, x in slowdowns.items()},
                )

    @property
    def update_interval_s(self) -> float:
        """Usual time between two updates to the peers."""
        return max(UPDATE_INTERVAL_S, self._update_pause_s)

    @property
    def _update_pause_s(self) -> float:
        """Shortest time between two updates to the peers."""
        n_peers = self._peers.n_members() - 1
        return max(MIN_UPDATE_INTERVAL_S, UPDATE_INTERVAL_PER_PEER_S * n_peers)

    async def _wait_for_update(self) -> None:
        """Wait until the next update is due."""
        pause_s = self._update_pause_s
        if not self.speeds.is_in_use:
            await trio.sleep(pause_s)
            with trio.move_on_after(max(0.0, UPDATE_INTERVAL_S - pause_s)):
                await self._update_requested.wait()
            return
        schedule, now = self._schedule, trio.current_time()
        latest_s = max(UPDATE_INTERVAL_S, schedule.latest_s(pause_s, now))
        with trio.move_on_after(latest_s):
            await trio.sleep(schedule.earliest_s(pause_s, now))
            await self._update_requested.wait()
        schedule.sent(pause_s, trio.current_time())

    async def _announce_work(self) -> None:
        while True:
            await self._wait_for_update()
            self._update_requested = trio.Event()
            self.merge_reports()
            self._drop_stale()
            work = tuple(
                _work_of(incarnation_key, engine)
                for incarnation_key, engine in self._engines.items()
                if engine.estimator.n_requests or engine.n_unannounced_tokens
            )
            part_announcements = tuple(
                self._part_announcements[:MAX_PART_ANNOUNCEMENTS]
            )
            del self._part_announcements[:MAX_PART_ANNOUNCEMENTS]
            unreached = tuple(self._unreached)
            self._unreached.clear()
            paces = self.paces.reports()
            held = pack(self.part_gossip.take())
            speeds = self.speeds.announcement(trio.current_time())
            has_news = work or part_announcements or unreached
            has_news = has_news or paces or held or speeds
            if has_news or self._announced_work:
                completed = self._completed_work(work)
                self._peers.broadcast(
                    EngineUpdate(
                        work + completed,
                        part_announcements,
                        unreached,
                        paces,
                        held,
                        speeds,
                    )
                )
                self._announced_work = work

    def _completed_work(self, work: tuple[EngineWork, ...]) -> tuple[EngineWork, ...]:
        """Return zeros for engines with announced work that has completed."""
        still_busy = {current.instance for current in work}
        return tuple(
            EngineWork(announced.instance, announced.born_ms, 0, 0)
            for announced in self._announced_work
            if announced.instance not in still_busy
        )

    def _drop_stale(self) -> None:
        """Drop incarnations that are not listed and have no requests in flight."""
        for incarnation_key, engine in list(self._engines.items()):
            if engine.estimator.n_requests or self._state.incarnation(incarnation_key):
                continue
            del self._engines[incarnation_key]
            self._in_trouble.discard(incarnation_key)
            self._kept_views.clear()
            self.weights.forget(incarnation_key)
            self.index.forget(incarnation_key)
            self.speeds.forget(incarnation_key)
            eliot.log_message(
                message_type="upstream:forgotten",
                instance=incarnation_key[0],
                born_ms=incarnation_key[1],
            )

        for key in [key for key in self._reported if key not in self._engines]:
            if self._state.incarnation(key) is None:
                del self._reported[key]
                self.speeds.forget(key)

    def _kv_capacity(self, upstream: str) -> float:
        """Return the KV cache capacity of an upstream's engines, in tokens."""
        cfg = self._state.configuration
        known = cfg.upstream(upstream) if cfg else None
        if known is None or known.engine is None:
            return math.inf
        return known.engine.kv_capacity_tokens or math.inf

    def _engine(self, instance: ForwardInstance) -> _Engine:
        engine = self._engines.get(instance.incarnation_key)
        if engine is None:
            common = self._common_estimates.setdefault(
                instance.upstream, CommonEstimates()
            )
            kv_capacity = self._kv_capacity(instance.upstream)
            key = instance.incarnation_key
            speed = IncarnationSpeed(self.speeds, key, instance.upstream)
            estimator = PrefillEstimator(
                instance.slots, common, kv_capacity, speed, self.reported(key)
            )
            engine = self._engines[instance.incarnation_key] = _Engine(estimator)
        return engine


def _work_of(incarnation_key: IncarnationKey, engine: _Engine) -> EngineWork:
    n_read, engine.n_unannounced_tokens = engine.n_unannounced_tokens, 0
    estimator = engine.estimator
    return EngineWork(
        *incarnation_key,
        estimator.queued_tokens,
        estimator.n_requests,
        n_read,
        estimator.n_held,
    )
