"""Update all engines to the newest weights version under a single fleet-wide lease."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import field
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.weights_rollout import (
    EnginePhase,
    EngineWeights,
    RolloutPlan,
    plan_rollout,
)

from .engine_orders import EngineOrders
from .engine_table import EngineTable
from .lease_coordinator import LeaseCoordinator
from .serving_state import ServingState
from .weights_load import EngineOrderState, WeightsLoader
from .weights_table import DRAIN_PHASES, keeps_phase_start

TICK_S: Final = 0.05
"""Shortest interval between planning ticks."""

IDLE_TICK_S: Final = 0.25
"""Longest interval between planning ticks; a change of the serving state, such as a new
version, starts one earlier."""

REANNOUNCE_S: Final = 0.7
"""Interval between announcements of a phase; below ``EMPTYING_TTL_S``, so that one lost
announcement does not end the phase."""


@dataclass
class _Engine:
    """Target phase and orders of one engine incarnation, for the lease holder."""

    sent_orders: EngineOrderState = field(default_factory=EngineOrderState)
    is_loading: bool = False
    ordered_at: float = -math.inf
    phase: EnginePhase = EnginePhase.SERVING
    phase_started_at: float = 0.0
    """Start of the current phase; a change between emptying and clearing keeps it."""
    announced_at: float = -math.inf
    """When the phase was last announced to the peers."""

    def start_phase(self, phase: EnginePhase, now: float) -> None:
        """Set a new target phase."""
        if not keeps_phase_start(self.phase, phase):
            self.phase_started_at = now
        self.phase = phase
        self.announced_at = -math.inf


class WeightsController:
    """Plan weight loads and order them while this router holds the lease."""

    def __init__(
        self,
        coordinator: LeaseCoordinator,
        node: str,
        state: ServingState,
        table: EngineTable,
        orders: EngineOrders,
        weights_limit_s: float = math.inf,
    ) -> None:
        self._coordinator = coordinator
        self._coordinator.is_busy = lambda: self._is_busy
        self._state = state
        self._table = table
        self._weights_limit_s = weights_limit_s
        self._loader = WeightsLoader(coordinator, node, state, table, orders)
        self._engines: dict[tuple[str, int], _Engine] = {}
        self._token = 0
        """Fencing token under which ``_engines`` was recorded."""

    @property
    def is_holder(self) -> bool:
        """Whether this router may send orders now."""
        return self._coordinator.may_act()

    async def run(self) -> None:
        """Run the planning loop until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._coordinator.run)
            while True:
                changed = self._state.changed
                if self._state.is_complete and self._coordinator.may_act():
                    self._advance_rollouts(nursery)
                with trio.move_on_after(IDLE_TICK_S):
                    await trio.sleep(TICK_S)
                    await changed.wait()

    async def release(self) -> None:
        """Stop sending orders and release the lease."""
        await self._coordinator.release()

    @property
    def _is_busy(self) -> bool:
        """Whether an engine has been ordered to load and has not finished."""
        return any(engine.is_loading for engine in self._engines.values())

    def _models(self) -> list[tuple[str, str]]:
        """Return pairs of upstream and model for all engine upstreams."""
        cfg = self._state.configuration
        if cfg is None:
            return []
        return [
            (upstream.name, model)
            for upstream in cfg.upstreams
            if upstream.engine is not None
            for model in upstream.engine.models
        ]

    def _advance_rollouts(self, nursery: trio.Nursery) -> None:
        """Plan the rollout of each model, start due loads and announce phases."""
        self._drop_outdated()
        for upstream, model in self._models():
            newest = self._state.newest_weights(model)
            instances = self._state.instances(upstream)
            inputs = [self._plan_input(instance, model) for instance in instances]
            n_needed = self._table.n_engines_needed(upstream)
            time_left_s = self._time_left_s(model, inputs)
            plan = plan_rollout(inputs, newest, n_needed, time_left_s)
            for instance in instances:
                if instance.instance in plan.orders:
                    nursery.start_soon(self._load, instance, model, newest)
                    self._engine(instance).is_loading = True
                else:
                    self._apply_phase(instance, model, plan)

    def _time_left_s(self, model: str, engines: Sequence[EngineWeights]) -> float:
        """Return the time until replaced weights on an engine exceed their age limit.

        It is infinite without a limit, or if all engines have the newest weights.
        """
        if math.isinf(self._weights_limit_s):
            return math.inf
        replaced_at = min(
            (self._state.replaced_at(model, engine.version) for engine in engines),
            default=math.inf,
        )
        return replaced_at + self._weights_limit_s - trio.current_time()

    def _apply_phase(
        self, instance: ForwardInstance, model: str, plan: RolloutPlan
    ) -> None:
        """Announce an engine's target phase when it changes.

        Phases other than SERVING are announced again every ``REANNOUNCE_S``.
        """
        engine = self._engine(instance)
        if engine.is_loading:
            return
        now = trio.current_time()
        phase = plan.phase(instance.instance)
        if phase is not engine.phase:
            engine.start_phase(phase, now)
            self._log_phase(instance, model, phase)
        elif phase is EnginePhase.SERVING:
            return
        if now - engine.announced_at >= REANNOUNCE_S:
            engine.announced_at = now
            self._table.weights.announce(
                instance, model, phase, self._coordinator.token
            )

    def _log_phase(
        self, instance: ForwardInstance, model: str, phase: EnginePhase
    ) -> None:
        view = self._table.view(instance, model)
        now = trio.current_time()
        eliot.log_message(
            message_type="weights:phase",
            instance=instance.instance,
            phase=phase.value,
            version=view.weights_version,
            newest=self._state.newest_weights(model),
            n_requests=view.estimator.n_reported_requests(now),
            n_needed=self._table.n_engines_needed(instance.upstream),
        )

    def _plan_input(self, instance: ForwardInstance, model: str) -> EngineWeights:
        """Return the state of an engine as input for the plan."""
        now = trio.current_time()
        engine = self._engine(instance)
        view = self._table.view(instance, model)
        phase_s = now - engine.phase_started_at
        return EngineWeights(
            instance=instance.instance,
            version=view.weights_version,
            is_loading=engine.is_loading,
            loading_s=now - engine.ordered_at,
            since_order_s=now - engine.ordered_at,
            n_requests=view.estimator.n_reported_requests(now),
            is_reachable=engine.sent_orders.unreachable_until <= now,
            is_lost=self._is_lost(instance, engine.sent_orders),
            awaits_order=engine.sent_orders.awaits_order(view.weights_version, now),
            is_unresponsive=self._table.is_unresponsive(instance),
            emptying_s=phase_s if engine.phase in DRAIN_PHASES else None,
            resting_s=phase_s if engine.phase is EnginePhase.RESTING else None,
        )

    def _is_lost(
        self, instance: ForwardInstance, sent_orders: EngineOrderState
    ) -> bool:
        """Return whether an engine has sent nothing since an unanswered request."""
        if sent_orders.unanswered_at is None:
            return False
        return not self._table.received_since(instance, sent_orders.unanswered_at)

    async def _load(self, instance: ForwardInstance, model: str, version: int) -> None:
        """Order an engine to load a version and wait for the outcome."""
        engine = self._engine(instance)
        engine.ordered_at = trio.current_time()
        try:
            await self._loader.load(instance, model, version, engine.sent_orders)
        finally:
            engine.is_loading = False
            engine.start_phase(EnginePhase.SERVING, trio.current_time())

    def _drop_outdated(self) -> None:
        """Drop the state of engine incarnations that are no longer listed.

        State recorded under an earlier fencing token is dropped too, since other
        routers may have sent orders in the meantime.
        """
        is_new_token = self._coordinator.token != self._token
        self._token = self._coordinator.token
        for incarnation_key, engine in list(self._engines.items()):
            is_gone = self._state.incarnation(incarnation_key) is None
            if not engine.is_loading and (is_gone or is_new_token):
                del self._engines[incarnation_key]

    def _engine(self, instance: ForwardInstance) -> _Engine:
        """Return an engine's state, initially from an earlier holder's announcement."""
        engine = self._engines.get(instance.incarnation_key)
        if engine is None:
            engine = self._engines[instance.incarnation_key] = _Engine()
            phase = self._table.weights.phase(instance)
            if phase is not EnginePhase.LOADING:
                engine.start_phase(phase, self._table.weights.phase_since(instance))
        return engine
