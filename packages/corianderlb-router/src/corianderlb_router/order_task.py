"""Send the orders that one engine upstream needs, under its lease.

The primary router of the upstream (by rendezvous hashing over the live routers) checks
the engines' reports. It makes no store call while they match the catalogue. Otherwise
it takes the lease, reads the state from the engines, and sends one order at a time: it
stores the intent, sends the order and waits until the engine reports the result.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from typing import Final

import eliot
import trio

from corianderlb_core.catalogue import Catalogue, Fencing
from corianderlb_core.chart import LifeCycle
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import InstanceId
from corianderlb_core.lease import LeaseLostError
from corianderlb_core.order import (
    EngineNeed,
    EngineState,
    LoadSlot,
    is_met,
    needs,
)
from corianderlb_core.order_record import Order, OrderOutcome
from corianderlb_core.status import LeaseStatus

from .engine_control import EngineControl, OrderReply
from .interface import CatalogueSource, UpstreamDirectory, UpstreamInstance
from .lease_holder import LeaseHolder
from .load_slot_store import LoadSlotStore
from .store import StoreError

TICK_S: Final = 0.5
"""Mean interval between checks of the reports; jitter is added."""

POLL_S: Final = 0.2
"""Interval between status requests to a loading engine."""

LOAD_TIMEOUT_S: Final = 30.0
"""Timeout for an engine to report an ordered load as done."""

RETRY_BACKOFF_S: Final = 5.0
"""Backoff after a failed order to an engine."""

_EVENTS: Final = {
    OrderReply.TAKEN: "take",
    OrderReply.REFUSED: "refuse",
    OrderReply.NOT_SENT: "drop",
    OrderReply.IN_DOUBT: "lose_answer",
}


@dataclass(frozen=True)
class OrderContext:
    """Dependencies shared by the order tasks of a router."""

    catalogue: CatalogueSource
    directory: UpstreamDirectory
    control: EngineControl
    slots: LoadSlotStore
    is_primary: Callable[[str], bool]
    """Whether this router is the primary of an upstream."""
    rng: random.Random


class OrderTask:
    """Keeps the engines of one upstream in the state that the catalogue requests."""

    def __init__(self, lease: LeaseHolder, context: OrderContext) -> None:
        self._lease = lease
        self._context = context
        self._upstream = lease.upstream
        self._backoff_until: dict[InstanceId, float] = {}
        self._has_slot = False

    def status(self) -> LeaseStatus:
        """Return the lease status shown to operators."""
        return self._lease.status()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            try:
                await self.tick()
            except (LeaseLostError, StoreError) as exc:
                eliot.log_message(
                    message_type="orders:interrupted",
                    upstream=self._upstream,
                    reason=str(exc),
                )
            await trio.sleep(TICK_S * self._context.rng.uniform(0.5, 1.5))

    async def tick(self) -> None:
        """Send all orders that are due if this router is the primary.

        Raise ``LeaseLostError`` or a ``StoreError`` when interrupted.
        """
        if not self._context.is_primary(self._upstream) or not self._may_need_orders():
            if self._lease.state == "held":
                await self._release()
            return
        must_await_earlier_orders = self._fencing() is Fencing.IGNORED
        if not await self._lease.acquire(must_await_earlier_orders, self._min_token()):
            return
        await self._send_orders()
        await self._release()

    async def _send_orders(self) -> None:
        self._has_slot = False
        await_loads_until = trio.current_time() + LOAD_TIMEOUT_S
        while self._context.is_primary(self._upstream):
            engines = await self._read_engines()
            await self._lease.renew_if_due()
            is_loading = any(engine.report.loading for engine in engines)
            if is_loading and trio.current_time() < await_loads_until:
                # A load ordered earlier is still in progress. A second one would exceed
                # the number of load slots.
                await trio.sleep(POLL_S)
                continue
            need = self._choose(engines)
            if need is None:
                return
            if not await self._take_slot():
                await trio.sleep(POLL_S)
                continue
            await self._execute(need)
            await_loads_until = trio.current_time() + LOAD_TIMEOUT_S

    def _choose(self, engines: list[EngineState]) -> EngineNeed | None:
        """Return the next need that can be met now, or None."""
        now = trio.current_time()
        catalogue = self._catalogue()
        if catalogue.version < self._lease.record.catalogue_version:
            # An earlier holder had a newer catalogue. Orders from the older one would
            # restore replaced weights.
            return None
        ready = [
            engine
            for engine in engines
            if self._backoff_until.get(engine.instance, now) <= now
        ]
        return next(iter(needs(catalogue, self._upstream, ready)), None)

    async def _read_engines(self) -> list[EngineState]:
        """Return the state of the engines, read from them and not from gossip."""
        found: list[EngineState] = []

        async def read(engine: UpstreamInstance) -> None:
            state = await self._context.control.read(engine)
            if state is not None:
                found.append(state)

        async with trio.open_nursery() as nursery:
            for engine in self._context.directory.instances(self._upstream):
                nursery.start_soon(read, engine)
        return found

    async def _take_slot(self) -> bool:
        slot = LoadSlot(self._upstream, uuid.uuid4().hex, self._lease.record.token)
        self._has_slot = await self._context.slots.take(slot) or self._has_slot
        return self._has_slot

    async def _execute(self, need: EngineNeed) -> None:
        version = self._catalogue().version
        order = need.as_order(uuid.uuid4().hex, self._upstream, version)
        cycle = LifeCycle("order")
        await self._lease.record_intent(order)
        cycle.send("intend")
        token = self._lease.record.token
        reply = OrderReply.NOT_SENT
        # Checked again where the bytes are sent, since this router may be paused here.
        if self._lease.may_act():
            reply = await self._context.control.send_order(
                order,
                need.engine.address,
                token,
                self._lease.send_before,
                self._lease.terms.send_s,
            )
        cycle.send(_EVENTS[reply])
        if reply in (OrderReply.TAKEN, OrderReply.IN_DOUBT):
            met = await self._wait_until_met(order, need)
            cycle.send("confirm" if met else "give_up")
        if cycle.state != "done":
            self._backoff_until[order.instance] = trio.current_time() + RETRY_BACKOFF_S
        self._log(order, token, cycle.state)
        if reply is OrderReply.REFUSED:
            self._lease.lose()
            raise LeaseLostError(
                f"{order.instance} refused token {token}: it has accepted a newer one"
            )
        await self._lease.record_outcome(OrderOutcome(order, token, cycle.state))

    async def _wait_until_met(self, order: Order, need: EngineNeed) -> bool:
        """Poll the engine until it reports the order as done."""
        engines = {
            engine.instance: engine
            for engine in self._context.directory.instances(self._upstream)
        }
        engine = engines.get(need.engine.instance)
        with trio.move_on_after(LOAD_TIMEOUT_S):
            while engine is not None:
                await trio.sleep(POLL_S)
                await self._lease.renew_if_due()
                state = await self._context.control.read(engine)
                if state is None:
                    continue
                if state.report.epoch != order.epoch:
                    return False
                if is_met(order, state.report):
                    return True
        return False

    async def _release(self) -> None:
        """Release the load slot, then the lease that protects it."""
        if self._has_slot:
            await self._context.slots.free_slot(self._upstream)
            self._has_slot = False
        await self._lease.release()

    def _may_need_orders(self) -> bool:
        """Return whether the latest reports show that an order may be needed."""
        known = [
            EngineState(engine.instance, engine.address, engine.report)
            for engine in self._context.directory.instances(self._upstream)
            if engine.report is not None
        ]
        return self._choose(known) is not None

    def _min_token(self) -> int:
        """Return a token above all those that the engines have reported."""
        reports = [e.report for e in self._context.directory.instances(self._upstream)]
        return 1 + max((r.fencing_token for r in reports if r is not None), default=0)

    def _fencing(self) -> Fencing:
        entry = self._catalogue().upstream(self._upstream)
        return Fencing.IGNORED if entry is None else entry.fencing

    def _catalogue(self) -> Catalogue:
        in_force = self._context.catalogue.current()
        return in_force.catalogue if in_force is not None else Catalogue()

    def _log(self, order: Order, token: int, state: str) -> None:
        eliot.log_message(
            message_type="orders:ended",
            upstream=self._upstream,
            instance=order.instance,
            kind=order.kind.value,
            name=order.name,
            version=order.version,
            catalogue_version=order.catalogue_version,
            token=token,
            state=state,
        )
