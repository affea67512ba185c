"""Bring the engines to the newest weights, under one lease for all of them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

import eliot
import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.weights_roll import (
    EnginePhase,
    EngineWeights,
    RollPlan,
    plan_roll,
)

from .engine_board import EngineBoard
from .engine_orders import EngineOrders
from .lease_duty import LeaseDuty
from .serving_state import ServingState
from .weights_board import LEAVE_PHASES, goes_on
from .weights_load import OrderedEngine, WeightsLoader

TICK_S: Final = 0.05
"""Pause between two looks while engines load: short against a load."""

IDLE_TICK_S: Final = 0.25
"""Longest pause between two looks otherwise; a newly named version ends it."""

TELL_AGAIN_S: Final = 0.7
"""Pause between two words that an engine takes no new work: a third of the time for
which such a word counts."""


@dataclass
class _Engine:
    """Hold what the holder of the lease wants of one life of an engine."""

    ordered: OrderedEngine = field(default_factory=OrderedEngine)
    is_loading: bool = False
    ordered_at: float = -math.inf
    phase: EnginePhase = EnginePhase.SERVING
    since: float = 0.0
    """When that phase began; clearing goes on from emptying."""
    told_at: float = -math.inf
    """When the peers were last told."""

    def begin(self, phase: EnginePhase, now: float) -> None:
        """Take note of what it is wanted for from now on."""
        if not goes_on(self.phase, phase):
            self.since = now
        self.phase = phase
        self.told_at = -math.inf


class WeightsKeeper:
    """Plan the loads and have them done while this router holds the lease."""

    def __init__(
        self,
        duty: LeaseDuty,
        node: str,
        state: ServingState,
        board: EngineBoard,
        orders: EngineOrders,
    ) -> None:
        self._duty = duty
        self._duty.is_busy = lambda: self._is_busy
        self._state = state
        self._board = board
        self._loader = WeightsLoader(duty, node, state, board, orders)
        self._engines: dict[tuple[str, int], _Engine] = {}
        self._token = 0
        """Fencing token under which they were looked at."""

    @property
    def is_holder(self) -> bool:
        """Whether this router gives the orders now."""
        return self._duty.may_act()

    async def run(self) -> None:
        """Look after the engines until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._duty.run)
            while True:
                changed = self._state.changed
                if self._state.is_complete and self._duty.may_act():
                    self._roll(nursery)
                with trio.move_on_after(IDLE_TICK_S):
                    await trio.sleep(TICK_S)
                    await changed.wait()

    async def release(self) -> None:
        """Give no more orders, and the lease back."""
        await self._duty.release()

    @property
    def _is_busy(self) -> bool:
        """Whether an engine has been ordered and has not loaded yet."""
        return any(engine.is_loading for engine in self._engines.values())

    def _models(self) -> list[tuple[str, str]]:
        """Return the upstreams of engines, each with its models."""
        cfg = self._state.configuration
        if cfg is None:
            return []
        return [
            (upstream.name, model)
            for upstream in cfg.upstreams
            if upstream.engine is not None
            for model in upstream.engine.models
        ]

    def _roll(self, nursery: trio.Nursery) -> None:
        """Do what the plan asks for now."""
        self._forget_ended()
        for upstream, model in self._models():
            newest = self._state.newest_weights(model)
            instances = self._state.instances(upstream)
            known = [self._known(instance, model) for instance in instances]
            n_needed = self._board.n_engines_needed(upstream)
            plan = plan_roll(known, newest, n_needed)
            for instance in instances:
                if instance.instance in plan.orders:
                    nursery.start_soon(self._load, instance, model, newest)
                    self._of(instance).is_loading = True
                else:
                    self._follow_plan(instance, model, plan)

    def _follow_plan(
        self, instance: ForwardInstance, model: str, plan: RollPlan
    ) -> None:
        """Tell the peers what an engine is wanted for, now and then again."""
        engine = self._of(instance)
        if engine.is_loading:
            return
        now = trio.current_time()
        phase = plan.phase(instance.instance)
        if phase is not engine.phase:
            engine.begin(phase, now)
            self._log_phase(instance, model, phase)
        elif phase is EnginePhase.SERVING:
            return
        if now - engine.told_at >= TELL_AGAIN_S:
            engine.told_at = now
            self._board.weights.tell(instance, model, phase, self._duty.token)

    def _log_phase(
        self, instance: ForwardInstance, model: str, phase: EnginePhase
    ) -> None:
        view = self._board.view(instance, model)
        now = trio.current_time()
        eliot.log_message(
            message_type="weights:phase",
            instance=instance.instance,
            phase=phase.value,
            version=view.weights_version,
            newest=self._state.newest_weights(model),
            n_requests=view.pace.n_known_requests(now),
            n_needed=self._board.n_engines_needed(instance.upstream),
        )

    def _known(self, instance: ForwardInstance, model: str) -> EngineWeights:
        """Return what the plan has to know of an engine."""
        now = trio.current_time()
        engine = self._of(instance)
        view = self._board.view(instance, model)
        phase_s = now - engine.since
        return EngineWeights(
            instance=instance.instance,
            version=view.weights_version,
            is_loading=engine.is_loading,
            loading_s=now - engine.ordered_at,
            ordered_s=now - engine.ordered_at,
            n_requests=view.pace.n_known_requests(now),
            is_reachable=engine.ordered.unreachable_until <= now,
            is_lost=self._is_lost(instance, engine.ordered),
            is_silent=self._board.is_silent(instance),
            emptying_s=phase_s if engine.phase in LEAVE_PHASES else None,
            resting_s=phase_s if engine.phase is EnginePhase.RESTING else None,
        )

    def _is_lost(self, instance: ForwardInstance, ordered: OrderedEngine) -> bool:
        """Return whether an engine did not answer, and nobody heard of it since."""
        if ordered.lost_at is None:
            return False
        return not self._board.heard_since(instance, ordered.lost_at)

    async def _load(self, instance: ForwardInstance, model: str, version: int) -> None:
        """Have an engine load, whatever becomes of it."""
        engine = self._of(instance)
        engine.ordered_at = trio.current_time()
        try:
            await self._loader.load(instance, model, version, engine.ordered)
        finally:
            engine.is_loading = False
            engine.begin(EnginePhase.SERVING, trio.current_time())

    def _forget_ended(self) -> None:
        """Drop what was known of lives that are listed no more.

        What dates from an earlier holding of the lease is dropped as well: others have
        given orders since.
        """
        is_anew = self._duty.token != self._token
        self._token = self._duty.token
        for life, engine in list(self._engines.items()):
            known = self._state.instance(life[0])
            is_gone = known is None or known.life != life
            if not engine.is_loading and (is_gone or is_anew):
                del self._engines[life]

    def _of(self, instance: ForwardInstance) -> _Engine:
        """Return what is known of an engine; an earlier holder may have begun it."""
        engine = self._engines.get(instance.life)
        if engine is None:
            engine = self._engines[instance.life] = _Engine()
            phase = self._board.weights.phase(instance)
            if phase is not EnginePhase.LOADING:
                engine.begin(phase, self._board.weights.phase_since(instance))
        return engine
