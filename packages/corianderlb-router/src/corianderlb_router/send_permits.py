"""Permits to send to upstream instances, as these say of themselves.

Every way to an instance asks here: placement before it chooses, and each attempt and
call before it is sent. Unlike health and load, what an instance says is obeyed even if
it leaves no instance at all.
"""

from __future__ import annotations

import dataclasses
import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.instance_rest import RestTable
from corianderlb_core.instance_signals import InstanceSignals
from corianderlb_core.part_index import IncarnationKey

from .engine_orders import EngineOrders, EngineReport, OrderAnswer, WeightsOrder
from .instance_limits import InstanceLimits, RefusalLimits
from .memory_copier import CopyOutcome, MemoryCopier, MemoryCopy
from .serving_state import ServingState

REPORT_POLL_S: Final = 0.1
"""Interval at which a report that waits for a permit asks again."""


@dataclass(frozen=True)
class Withheld:
    """Why no instance of an upstream may be sent anything."""

    wait_s: float
    """Time until the first of them may be sent a request."""
    spacing_s: float
    """Mean time between two requests that all of them take; 0 if it is not limited."""
    detail: str


class SendPermits:
    """Permits to send to instances, by what they have said in their answers."""

    def __init__(
        self, state: ServingState, limits: InstanceLimits, refusals: RefusalLimits
    ) -> None:
        self._state = state
        self._limits = limits
        self._refusals = refusals
        self._rests = RestTable()
        self._reserved: Counter[IncarnationKey] = Counter()
        """Permits in use that are charged as refusals until they are settled."""

    @property
    def n_resting(self) -> int:
        """Number of listed instances that rest from this router."""
        return sum(map(self.is_resting, self._state.all_instances()))

    def observe(
        self, instance: ForwardInstance, signals: InstanceSignals, sent_at: float
    ) -> None:
        """Record what an instance answered to a request sent at ``sent_at``."""
        self._limits.observe(instance, signals.limit_per_s, sent_at)
        self._refusals.observe(instance, signals.refusals_per_s, sent_at)
        if signals.is_leaving:
            self._state.mark_leaving(instance, "answer")
        if signals.rest_s:
            self._rests.record(
                instance.incarnation_key, signals.rest_s, trio.current_time()
            )
            eliot.log_message(
                message_type="upstream:rest",
                instance=instance.instance,
                born_ms=instance.born_ms,
                rest_ms=round(signals.rest_s * 1000),
            )

    def wait_s(self, instance: ForwardInstance) -> float:
        """Return the time until an instance may be sent a request; 0 for now."""
        now = trio.current_time()
        rest_s = self._rests.wait_s(instance.incarnation_key, now)
        full_s = 0.0
        if self._refusals.is_full(instance):
            full_s = self._refusals.wait_s(instance)
        return max(rest_s, full_s, self._limits.wait_s(instance))

    def may_send(self, instance: ForwardInstance) -> bool:
        """Return whether an instance may be sent a request now."""
        if not self._rests and self._limits.is_empty and self._refusals.is_empty:
            # Placement asks for every engine of every request.
            return True
        return self.wait_s(instance) <= 0.0

    def take(self, instance: ForwardInstance) -> bool:
        """Take the permit for one request; return False without one."""
        if self.is_resting(instance):
            return False
        is_reserved = self._refusals.is_full(instance)
        if is_reserved and not self._refusals.charge(instance):
            return False
        if not self._limits.charge(instance):
            if is_reserved:
                self._refusals.refund(instance)
            return False
        if is_reserved:
            self._reserved[instance.incarnation_key] += 1
        return True

    def settle(self, instance: ForwardInstance, turned_away: bool) -> None:
        """Record once for each permit taken whether the instance turned it away."""
        key = instance.incarnation_key
        if self._reserved[key]:
            self._reserved[key] -= 1
            if not turned_away:
                self._refusals.refund(instance)
        elif turned_away:
            self._refusals.charge_always(instance)

    def take_urgent(self, instance: ForwardInstance) -> bool:
        """Take the permit for a call that can't wait, beyond a limit too.

        An instance that rests gets one of them.
        """
        now = trio.current_time()
        if not self._rests.take_urgent(instance.incarnation_key, now):
            return False
        self._limits.charge_always(instance)
        return True

    def is_resting(self, instance: ForwardInstance) -> bool:
        """Return whether an instance wants nothing from this router for a time."""
        now = trio.current_time()
        return self._rests.wait_s(instance.incarnation_key, now) > 0.0

    def give_back(self, instance: ForwardInstance) -> None:
        """Return the permit of a request that was never sent."""
        self._limits.refund(instance)

    def withheld(self, instances: Iterable[ForwardInstance]) -> Withheld | None:
        """Return why instances may not be sent anything, or None if one may be."""
        waits = [(self.wait_s(instance), instance) for instance in instances]
        if not waits:
            return None
        wait_s, first = min(waits, key=lambda pair: pair[0])
        if wait_s <= 0.0:
            return None
        per_s = sum(self._limits.per_s(instance) for _, instance in waits)
        detail = f"{first.instance} takes a request in {wait_s * 1000:.0f} ms"
        return Withheld(wait_s, 1 / per_s if per_s else 0.0, detail)


class PermittedOrders(EngineOrders):
    """Orders and reports, which count as requests to an engine.

    Reports wait for a permit. Orders can't, since all engines have to come to new
    weights in time; an engine that rests counts as busy after the first.
    """

    def __init__(
        self,
        orders: EngineOrders,
        permits: SendPermits,
        on_report: Callable[[ForwardInstance, bool, float], None] | None = None,
    ) -> None:
        self._orders = orders
        self._permits = permits
        self._on_report = on_report
        """Called with the engine, whether it answered, and when it was asked."""

    async def report(self, engine: ForwardInstance) -> EngineReport | None:
        """Return the engine's report once it may be asked, or None without one."""
        while not self._permits.take(engine):
            await trio.sleep(REPORT_POLL_S)
        sent_at = trio.current_time()
        try:
            report = await self._orders.report(engine)
        finally:
            self._permits.settle(engine, turned_away=False)
        if self._on_report is not None:
            self._on_report(engine, report is not None, sent_at)
        if report is not None:
            signals = report.signals
            # Only requests tell that a limit has ended.
            if math.isinf(signals.limit_per_s or 0.0):
                signals = dataclasses.replace(signals, limit_per_s=None)
            if math.isinf(signals.refusals_per_s or 0.0):
                signals = dataclasses.replace(signals, refusals_per_s=None)
            self._permits.observe(engine, signals, sent_at)
        return report

    async def order(self, engine: ForwardInstance, order: WeightsOrder) -> OrderAnswer:
        """Send an order once, without retries."""
        if not self._permits.take_urgent(engine):
            return OrderAnswer.BUSY
        return await self._orders.order(engine, order)


class PermittedCopier(MemoryCopier):
    """Copies of runs, whose calls count as requests to an engine."""

    def __init__(self, copier: MemoryCopier, permits: SendPermits) -> None:
        self._copier = copier
        self._permits = permits

    async def copy(
        self, engine: ForwardInstance, request_id: str, to: ForwardInstance
    ) -> MemoryCopy:
        """Copy the memory of a run while the run continues."""
        if not self._permits.take_urgent(engine):
            return MemoryCopy(CopyOutcome.UNKNOWN)
        return await self._copier.copy(engine, request_id, to)

    async def drop(self, engine: ForwardInstance, handle: str) -> None:
        """Free a copy that is no longer needed; otherwise it expires."""
        if self._permits.take_urgent(engine):
            await self._copier.drop(engine, handle)
