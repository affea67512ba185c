"""Order one engine to load weights and follow the load to its end.

Responses get lost and orders may arrive late. Each order carries the number of orders
that the engine must have accepted before, so that an order overtaken by a newer one has
no effect.
"""

from __future__ import annotations

import math
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.weights_rollout import EnginePhase

from .engine_orders import EngineOrders, EngineReport, OrderAnswer, WeightsOrder
from .engine_table import EngineTable
from .lease_coordinator import LeaseCoordinator
from .serving_state import ServingState
from .weights_table import LOADING_TTL_S

POLL_S: Final = 0.1
"""Shortest interval between status requests to a loading engine."""

MAX_POLLS_PER_S: Final = 40
"""Limit on status requests to all loading engines together; keeps processor time free
for forwarding requests. Each takes some milliseconds of the holder's processor, and
with 22 engines at once nothing would be left."""

MAX_UNANSWERED_REPORTS: Final = 3
"""Consecutive unanswered status requests after which a loading engine counts as lost.
"""

ORDER_BACKOFF_S: Final = 1.5
"""Backoff before an engine that does not respond gets another order; each
attempt occupies a load slot."""

ORDER_DELAY_S: Final = 8.0
"""Time for which an order without response may still be carried out."""

UNKNOWN_ORDER_TIMEOUT_S: Final = 0.6
"""Time for an engine to show an order whose response was lost; a later arrival is
rejected by its order count."""

IDLE_TIMEOUT_S: Final = 0.6
"""Time without an order in progress after which an engine counts as not loading;
longer than a report may be outdated."""

FOLLOW_TIMEOUT_S: Final = 10.0
"""Time limit for one order and its load; afterwards the engine may be ordered again."""


@dataclass
class EngineOrderState:
    """What the lease holder knows about its orders to an engine incarnation."""

    n_orders: int | None = None
    """Orders accepted by this incarnation; None if unknown."""
    unreachable_until: float = -math.inf
    unanswered_at: float | None = None
    """When the last request went unanswered; None after a response."""
    unknown_at: float = -math.inf
    """When the last order without response was sent, unless it has had its effect."""
    unknown_version: int = 0
    """Version that this order was for."""

    def awaits_order(self, version: int, now: float) -> bool:
        """Return whether an engine with a version may still get a late order."""
        is_recent = now - self.unknown_at < ORDER_DELAY_S
        return is_recent and version < self.unknown_version

    def record_unreachable(self, now: float) -> None:
        """Record that the engine did not respond."""
        self.unanswered_at = now
        self.unreachable_until = now + ORDER_BACKOFF_S


class WeightsLoader:
    """Orders engines to load weights while this router holds the lease."""

    def __init__(
        self,
        coordinator: LeaseCoordinator,
        node: str,
        state: ServingState,
        table: EngineTable,
        orders: EngineOrders,
    ) -> None:
        self._coordinator = coordinator
        self._node = node
        self._state = state
        self._table = table
        self._orders = orders
        self._n_loading = 0

    async def load(
        self,
        engine: ForwardInstance,
        model: str,
        version: int,
        order_state: EngineOrderState,
    ) -> None:
        """Order a load and wait until it completes or times out."""
        self._n_loading += 1
        started_at = trio.current_time()
        try:
            with trio.move_on_after(FOLLOW_TIMEOUT_S) as scope:
                await self._send_and_follow(engine, model, version, order_state)
            eliot.log_message(
                message_type="weights:load_ended",
                instance=engine.instance,
                model=model,
                version=version,
                has_version=self._table.weights.version(engine, model),
                took_ms=round((trio.current_time() - started_at) * 1000),
                is_timeout=scope.cancelled_caught,
            )
        finally:
            self._n_loading -= 1
            self._table.weights.announce(
                engine, model, EnginePhase.SERVING, self._coordinator.token
            )

    async def _send_and_follow(
        self,
        engine: ForwardInstance,
        model: str,
        version: int,
        order_state: EngineOrderState,
    ) -> None:
        if order_state.n_orders is None:
            report = await self._orders.report(engine)
            if report is None:
                order_state.record_unreachable(trio.current_time())
                return
            order_state.unanswered_at = None
            order_state.n_orders = report.n_orders
            self._record(engine, report)
            if report.versions.get(model, 0) >= version:
                return
        if not self._coordinator.may_act():
            return
        token = self._coordinator.token
        held = self._table.weights.version(engine, model)
        if not order_state.awaits_order(held, trio.current_time()):
            self._announce_load(engine, model)
        order = WeightsOrder(model, version, self._node, token, order_state.n_orders)
        self._coordinator.record_order()
        answer = await self._orders.order(engine, order)
        eliot.log_message(
            message_type="weights:order",
            instance=engine.instance,
            model=model,
            version=version,
            token=token,
            answer=answer.value,
        )
        await self._handle_answer(engine, order, order_state, answer)

    async def _handle_answer(
        self,
        engine: ForwardInstance,
        order: WeightsOrder,
        order_state: EngineOrderState,
        answer: OrderAnswer,
    ) -> None:
        model, version = order.model, order.version
        if answer is OrderAnswer.HOLDS:
            self._table.weights.learn(engine, model, version)
        elif answer is OrderAnswer.TAKEN:
            order_state.unknown_at = -math.inf
            if order_state.n_orders is not None:
                order_state.n_orders += 1
            await self._follow(engine, model, version, order_state)
        elif answer is OrderAnswer.UNKNOWN:
            order_state.n_orders = None
            order_state.unknown_at = trio.current_time()
            order_state.unknown_version = version
            if await self._shows_effect(engine, model, version):
                order_state.unknown_at = -math.inf
                await self._follow(engine, model, version, order_state)
        elif answer is OrderAnswer.BUSY:
            order_state.n_orders = None
            await trio.sleep(POLL_S)
        elif answer is OrderAnswer.OUTDATED:
            self._coordinator.lose()
        elif answer is OrderAnswer.GONE:
            self._state.mark_leaving(engine, "address_reused")

    async def _follow(
        self,
        engine: ForwardInstance,
        model: str,
        version: int,
        order_state: EngineOrderState,
    ) -> None:
        """Poll an engine until it has the version or does not load it.

        An engine that crashes during a load must free its load slot before its
        instance record expires, or the other engines would keep their old weights
        until then. So must one that was carrying out an earlier order, which arrived
        late and made this one void.
        """
        n_unanswered = 0
        announced_at = busy_at = trio.current_time()
        phase = self._table.weights.phase(engine)
        if phase is not EnginePhase.LOADING and self._coordinator.may_act():
            self._announce_load(engine, model)
        while n_unanswered < MAX_UNANSWERED_REPORTS and self._state.accepts_requests(
            engine
        ):
            await trio.sleep(self._poll_interval_s())
            now = trio.current_time()
            if now - announced_at >= LOADING_TTL_S / 2 and self._coordinator.may_act():
                # Announce again: an engine that completes its runs first may load for
                # longer than the announcement is valid.
                announced_at = now
                self._announce_load(engine, model)
            report = await self._orders.report(engine)
            if report is None:
                n_unanswered += 1
                continue
            n_unanswered = 0
            if report.is_busy:
                busy_at = now
                continue
            self._record(engine, report)
            if report.versions.get(model, 0) >= version:
                return
            if now - busy_at >= IDLE_TIMEOUT_S:
                order_state.n_orders = None
                return
        order_state.n_orders = None
        order_state.record_unreachable(trio.current_time())

    def _announce_load(self, engine: ForwardInstance, model: str) -> None:
        token = self._coordinator.token
        self._table.weights.announce(engine, model, EnginePhase.LOADING, token)

    def _poll_interval_s(self) -> float:
        return max(POLL_S, self._n_loading / MAX_POLLS_PER_S)

    async def _shows_effect(
        self, engine: ForwardInstance, model: str, version: int
    ) -> bool:
        """Return whether an order without a response is carried out by now."""
        until = trio.current_time() + UNKNOWN_ORDER_TIMEOUT_S
        while trio.current_time() < until:
            await trio.sleep(POLL_S)
            report = await self._orders.report(engine)
            if report is None:
                continue
            self._record(engine, report)
            if report.is_busy or report.versions.get(model, 0) >= version:
                return True
        return False

    def _record(self, engine: ForwardInstance, report: EngineReport) -> None:
        for model, version in report.versions.items():
            self._table.weights.learn(engine, model, version)
        if report.load is not None:
            self._table.record_report(engine, report.load)
