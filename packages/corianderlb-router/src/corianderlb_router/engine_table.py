"""Engine state known to this router: prefill estimates, cached parts, weights."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

import eliot
import trio

from corianderlb_core.engine_choice import (
    EngineChoice,
    EngineQuery,
    EngineView,
    allowed_or_all,
    choose_engine,
)
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import (
    EngineUpdate,
    EngineWork,
    PartsAnnouncement,
)
from corianderlb_core.part_index import IncarnationKey, PartIndex
from corianderlb_core.prefill_estimate import (
    CommonEstimates,
    PeerWork,
    PrefillDemand,
    PrefillEstimator,
)
from corianderlb_core.weights_rollout import EnginePhase

from .health_table import HealthTable
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

MAX_PREFILL_SHARE: Final = 0.6
"""Share of an engine's time available for prefill while others load; a higher load
delays first tokens."""

MAX_PART_ANNOUNCEMENTS: Final = 200
"""Maximum number of part announcements per update; the rest wait for the next one."""


@dataclass
class _Engine:
    estimator: PrefillEstimator
    n_unannounced_tokens: int = 0
    """Prompt tokens assigned to the engine since the last update to the peers."""
    refused_until: float = -math.inf
    unreachable_reports: dict[str, float] = field(default_factory=dict)
    """Peers that reported the engine as unreachable, with the time of the report."""


class EngineTable:
    """Choose engines, using own attempts and updates from the peers."""

    def __init__(
        self,
        state: ServingState,
        health: HealthTable,
        peers: PeerNetwork,
        permits: SendPermits,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._permits = permits
        self._state = state
        self._peers = peers
        self._health = health
        self.weights = WeightsTable(state, peers)
        """Weights versions and phases of the engines."""
        self.index = PartIndex()
        """Engines that cache each prompt part."""
        self._engines: dict[IncarnationKey, _Engine] = {}
        self._common_estimates: dict[str, CommonEstimates] = {}
        self._prefill_demands: dict[str, PrefillDemand] = {}
        """By upstream: prompt tokens assigned to its engines by all routers."""
        self._part_announcements: list[PartsAnnouncement] = []
        self._views_of_changes = (-1, -1)
        self._kept_views: dict[tuple[str, str], list[EngineView]] = {}
        """By upstream and model."""
        self._in_trouble: set[IncarnationKey] = set()
        """Engines that refused a request or were reported as unreachable."""
        self._unreached: dict[IncarnationKey, None] = {}
        """Incarnations that accepted no connection, not announced yet."""
        self._announced_work: tuple[EngineWork, ...] = ()
        self._update_requested = trio.Event()
        peers.subscribe(EngineUpdate, self.on_engine_update)

    # Engine choice.

    def choose(
        self, query: EngineQuery, upstream: str, avoid: Sequence[IncarnationKey]
    ) -> EngineChoice | None:
        """Return the best engine of an upstream, or None when none is available."""
        views = [
            view
            for view in self._views(upstream, query.prompt.model)
            if view.instance.incarnation_key not in avoid
            and self.weights.phase(view.instance) is not EnginePhase.LOADING
            and self._permits.may_send(view.instance)
        ]
        if not views:
            return None
        for allowed in (
            lambda view: self.weights.phase(view.instance) is EnginePhase.SERVING,
            lambda view: self._health.may_send(view.instance.incarnation_key),
            lambda view: not self._is_in_backoff(view.instance, query.now),
        ):
            views = allowed_or_all(views, allowed)
        return choose_engine(query, views, self.index, self._rng)

    def _views(self, upstream: str, model: str) -> Sequence[EngineView]:
        """Return the state of all engines of an upstream; kept until it changes."""
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

    def _is_in_backoff(self, instance: ForwardInstance, now: float) -> bool:
        """Return whether an engine recently refused a request or was unreachable."""
        if instance.incarnation_key not in self._in_trouble:
            return False
        engine = self._engine(instance)
        if engine.refused_until > now:
            return True
        recent = [
            at
            for at in engine.unreachable_reports.values()
            if now - at < UNREACHED_BACKOFF_S
        ]
        if len(recent) < MIN_UNREACHABLE_REPORTS:
            return False
        return not self._health.received_since(instance.incarnation_key, max(recent))

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
        tokens_per_s = math.exp(common.log_tokens_per_s)
        return max(1, math.ceil(demand_per_s / (MAX_PREFILL_SHARE * tokens_per_s)))

    def _count_prefill(self, instance: ForwardInstance, n_tokens: float) -> None:
        demand = self._prefill_demands.setdefault(instance.upstream, PrefillDemand())
        demand.add(n_tokens, trio.current_time())

    # Attempts.

    def sent(self, key: str, choice: EngineChoice, part_ids: Sequence[str]) -> None:
        """Record an attempt that is being sent."""
        incarnation_key = choice.view.instance.incarnation_key
        estimator = choice.view.estimator
        estimator.sent(key, choice.n_missing, trio.current_time(), choice.n_held)
        estimator.record_transfer(choice.transfer_s, trio.current_time())
        self.index.count_prefilled(incarnation_key, choice.n_missing)
        self._engine(choice.view.instance).n_unannounced_tokens += choice.n_missing
        self._count_prefill(choice.view.instance, choice.n_missing)
        if part_ids:
            if choice.is_first_prefill:
                # Another router may be about to prefill the same parts on another
                # engine.
                self._update_requested.set()
            if self._record_parts(choice, part_ids, False):
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

    def refused(self, instance: ForwardInstance) -> None:
        """Back off from an engine that refused a request as full or loading."""
        self._engine(instance).refused_until = trio.current_time() + REFUSED_BACKOFF_S
        self._in_trouble.add(instance.incarnation_key)

    def unreached(self, instance: ForwardInstance) -> None:
        """Back off from an engine that accepted no connection, and notify the peers."""
        self._engine(instance).refused_until = trio.current_time() + UNREACHED_BACKOFF_S
        self._in_trouble.add(instance.incarnation_key)
        self._unreached[instance.incarnation_key] = None
        self._update_requested.set()

    # Updates from peers.

    async def on_engine_update(self, sender: InstanceId, update: EngineUpdate) -> None:
        """Merge a peer's requests in flight, unreachable engines and cached parts."""
        now = trio.current_time()
        # Assume that peers without a link have as much in flight as those with one.
        scale = 1 / max(MIN_REACHED_SHARE, self._peers.reach())
        for work in update.work:
            instance = self._state.instance(work.instance)
            if instance is not None and instance.born_ms == work.born_ms:
                estimator = self._engine(instance).estimator
                peer_work = PeerWork(
                    scale * work.n_unread_tokens,
                    round(scale * work.n_requests),
                    scale * work.n_held_tokens,
                    now,
                )
                estimator.merge(sender, peer_work)
                self.index.count_prefilled(
                    instance.incarnation_key, scale * work.n_read_tokens
                )
                self._count_prefill(instance, scale * work.n_read_tokens)
        for incarnation_key in update.unreached:
            instance = self._state.instance(incarnation_key[0])
            if instance is not None and instance.incarnation_key == tuple(
                incarnation_key
            ):
                self._engine(instance).unreachable_reports[sender] = now
                self._in_trouble.add(instance.incarnation_key)
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

    async def run(self) -> None:
        """Send updates to the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.weights.run)
            nursery.start_soon(self._announce_work)

    async def _announce_work(self) -> None:
        while True:
            n_peers = self._peers.n_members() - 1
            pause_s = max(MIN_UPDATE_INTERVAL_S, UPDATE_INTERVAL_PER_PEER_S * n_peers)
            await trio.sleep(pause_s)
            with trio.move_on_after(max(0.0, UPDATE_INTERVAL_S - pause_s)):
                await self._update_requested.wait()
            self._update_requested = trio.Event()
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
            if work or part_announcements or unreached or self._announced_work:
                completed = self._completed_work(work)
                self._peers.broadcast(
                    EngineUpdate(work + completed, part_announcements, unreached)
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
            known = self._state.instance(incarnation_key[0])
            if engine.estimator.n_requests or (
                known and known.incarnation_key == incarnation_key
            ):
                continue
            del self._engines[incarnation_key]
            self._in_trouble.discard(incarnation_key)
            self._kept_views.clear()
            self.weights.forget(incarnation_key)
            self.index.forget(incarnation_key)
            eliot.log_message(
                message_type="upstream:forgotten",
                instance=incarnation_key[0],
                born_ms=incarnation_key[1],
            )

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
            estimator = PrefillEstimator(instance.slots, common, kv_capacity)
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
