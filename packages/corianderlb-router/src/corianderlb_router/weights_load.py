"""Have one engine load weights: give the order, and follow it to its end.

Answers get lost and orders may arrive late. Each order names how many the engine must
have accepted before, so that one that arrives after a newer one does nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

import eliot
import trio

from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.weights_roll import EnginePhase

from .engine_board import EngineBoard
from .engine_orders import EngineOrders, EngineReport, OrderAnswer, WeightsOrder
from .lease_duty import LeaseDuty
from .serving_state import ServingState
from .weights_board import LOADING_S

POLL_S: Final = 0.1
"""Pause between two questions to an engine that loads."""

MAX_POLLS_PER_S: Final = 40
"""Questions to all loading engines together; each takes some milliseconds of the
holder's processor, and with 22 engines at once nothing would be left for requests."""

LOST_REPORTS: Final = 3
"""Reports in a row without an answer after which a loading engine counts as lost."""

UNREACHABLE_S: Final = 1.5
"""How long an engine that does not answer gets no order: it lapses in three to four
seconds, and each try takes the place of another engine's load for half a second."""

UNKNOWN_S: Final = 0.6
"""How long an engine may take to show an order that got no answer. Reports lag by some
hundred milliseconds; an order that arrives later still finds its count outdated."""

GIVE_UP_S: Final = 10.0
"""How long an engine is asked after one order; then it may get another."""


@dataclass
class OrderedEngine:
    """Hold what the holder of the lease knows of its orders to an engine's life."""

    n_orders: int | None = None
    """Orders that it accepted in this life; None when nobody knows."""
    unreachable_until: float = -math.inf
    lost_at: float | None = None
    """When it last gave no answer; None since it did."""

    def note_lost(self, now: float) -> None:
        """Take note that it gives no answer."""
        self.lost_at = now
        self.unreachable_until = now + UNREACHABLE_S


class WeightsLoader:
    """Have engines load weights while this router may give orders."""

    def __init__(
        self,
        duty: LeaseDuty,
        node: str,
        state: ServingState,
        board: EngineBoard,
        orders: EngineOrders,
    ) -> None:
        self._duty = duty
        self._node = node
        self._state = state
        self._board = board
        self._orders = orders
        self._n_loading = 0

    async def load(
        self, engine: ForwardInstance, model: str, version: int, known: OrderedEngine
    ) -> None:
        """Give an engine the order, and return when it has loaded or is given up."""
        self._n_loading += 1
        try:
            with trio.move_on_after(GIVE_UP_S):
                await self._order_and_follow(engine, model, version, known)
        finally:
            self._n_loading -= 1
            self._board.weights.tell(
                engine, model, EnginePhase.SERVING, self._duty.token
            )

    async def _order_and_follow(
        self, engine: ForwardInstance, model: str, version: int, known: OrderedEngine
    ) -> None:
        if known.n_orders is None:
            report = await self._orders.report(engine)
            if report is None:
                known.note_lost(trio.current_time())
                return
            known.lost_at = None
            known.n_orders = report.n_orders
            self._learn(engine, report)
            if report.versions.get(model, 0) >= version:
                return
        if not self._duty.may_act():
            return
        token = self._duty.token
        self._board.weights.tell(engine, model, EnginePhase.LOADING, token)
        order = WeightsOrder(model, version, self._node, token, known.n_orders)
        self._duty.acted()
        answer = await self._orders.order(engine, order)
        eliot.log_message(
            message_type="weights:order",
            instance=engine.instance,
            model=model,
            version=version,
            token=token,
            answer=answer.value,
        )
        await self._after_answer(engine, order, known, answer)

    async def _after_answer(
        self,
        engine: ForwardInstance,
        order: WeightsOrder,
        known: OrderedEngine,
        answer: OrderAnswer,
    ) -> None:
        model, version = order.model, order.version
        if answer is OrderAnswer.HOLDS:
            self._board.weights.learn(engine, model, version)
        elif answer is OrderAnswer.TAKEN:
            if known.n_orders is not None:
                known.n_orders += 1
            if not await self._follow(engine, model, version):
                known.n_orders = None
                known.note_lost(trio.current_time())
        elif answer is OrderAnswer.UNKNOWN:
            known.n_orders = None
            await self._follow_unknown(engine, model, version)
        elif answer is OrderAnswer.BUSY:
            known.n_orders = None
            await trio.sleep(POLL_S)
        elif answer is OrderAnswer.OUTDATED:
            self._duty.lose()
        elif answer is OrderAnswer.GONE:
            self._state.mark_leaving(engine, "address_reused")

    async def _follow(self, engine: ForwardInstance, model: str, version: int) -> bool:
        """Ask an engine until it has the version; False when it answers no more.

        One that crashed while it loaded would else keep its place among the loads
        until its entry lapses, and the others would keep their old weights as long.
        """
        n_unanswered = 0
        told_at = trio.current_time()
        while n_unanswered < LOST_REPORTS and self._state.may_take_work(engine):
            await trio.sleep(self._poll_s())
            now = trio.current_time()
            if now - told_at >= LOADING_S / 2 and self._duty.may_act():
                # An engine that ends its runs first may take longer than the word of
                # its load counts.
                told_at = now
                token = self._duty.token
                self._board.weights.tell(engine, model, EnginePhase.LOADING, token)
            report = await self._orders.report(engine)
            if report is None:
                n_unanswered += 1
                continue
            n_unanswered = 0
            if report.versions.get(model, 0) >= version and not report.is_busy:
                self._learn(engine, report)
                return True
        return False

    def _poll_s(self) -> float:
        return max(POLL_S, self._n_loading / MAX_POLLS_PER_S)

    async def _follow_unknown(
        self, engine: ForwardInstance, model: str, version: int
    ) -> None:
        """Find out whether an order without an answer is being carried out."""
        until = trio.current_time() + UNKNOWN_S
        while trio.current_time() < until:
            await trio.sleep(POLL_S)
            report = await self._orders.report(engine)
            if report is not None and report.versions.get(model, 0) >= version:
                self._learn(engine, report)
                return
            if report is not None and report.is_busy:
                await self._follow(engine, model, version)
                return

    def _learn(self, engine: ForwardInstance, report: EngineReport) -> None:
        for model, version in report.versions.items():
            self._board.weights.learn(engine, model, version)
