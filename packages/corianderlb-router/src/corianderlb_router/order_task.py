"""Give the orders that one engine upstream needs, under its lease.

The upstream's home router (by rendezvous over the live routers) looks at the engines'
reports. As long as they hold what the catalogue asks for, the store is not called at
all. Otherwise it takes the lease, reads the engines' real state, and gives one order
after the other: intent first, then the order, then the wait until the engine shows it.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import eliot
import trio

from corianderlb_core.catalogue import Catalogue, Fencing
from corianderlb_core.chart import LifeCycle
from corianderlb_core.identity import InstanceId
from corianderlb_core.lease import LeaseLostError
from corianderlb_core.order import (
    EngineState,
    LoadSlot,
    Need,
    Order,
    OrderOutcome,
    is_met,
    needs,
)
from corianderlb_core.status import LeaseStatus

from .engine_control import EngineControl, OrderReply
from .interface import CatalogueSource, UpstreamDirectory, UpstreamInstance
from .lease_holder import LeaseHolder
from .load_slot_store import LoadSlotStore
from .store import StoreError

TURN_S: Final = 0.5
"""Pause between two looks at the reports, with jitter."""

POLL_S: Final = 0.2
"""Pause between two questions to an engine that loads."""

LOAD_TIMEOUT_S: Final = 30.0
"""Longest wait until an engine shows what it was told to load."""

RETRY_S: Final = 5.0
"""How long an engine is left alone after an order to it failed."""

_EVENTS: Final = {
    OrderReply.TAKEN: "take",
    OrderReply.REFUSED: "refuse",
    OrderReply.NOT_SENT: "drop",
    OrderReply.IN_DOUBT: "lose_answer",
}


@dataclass(frozen=True)
class OrderParts:
    """Hold what the order tasks of a router share."""

    catalogue: CatalogueSource
    directory: UpstreamDirectory
    control: EngineControl
    slots: LoadSlotStore
    is_home: Callable[[str], bool]
    """Whether this router is the home of an upstream."""
    rng: random.Random


class OrderTask:
    """Keep the engines of one upstream at what the catalogue asks for."""

    def __init__(self, lease: LeaseHolder, parts: OrderParts) -> None:
        self._lease = lease
        self._parts = parts
        self._upstream = lease.upstream
        self._left_alone: dict[InstanceId, float] = {}
        self._has_slot = False

    def status(self) -> LeaseStatus:
        """Return the lease as operators see it."""
        return self._lease.status()

    async def run(self) -> None:
        """Look after the upstream until cancelled."""
        while True:
            try:
                await self.turn()
            except (LeaseLostError, StoreError) as exc:
                eliot.log_message(
                    message_type="orders:interrupted",
                    upstream=self._upstream,
                    reason=str(exc),
                )
            await trio.sleep(TURN_S * self._parts.rng.uniform(0.5, 1.5))

    async def turn(self) -> None:
        """Give all orders that are needed now, if this router is the one to give them.

        Raise ``LeaseLostError`` or a ``StoreError`` when it has to stop in between.
        """
        if not self._parts.is_home(self._upstream) or not self._seems_needed():
            if self._lease.state == "held":
                await self._give_back()
            return
        must_settle = self._fencing() is Fencing.IGNORED
        if not await self._lease.acquire(must_settle, self._least_token()):
            return
        await self._give_all()
        await self._give_back()

    async def _give_all(self) -> None:
        self._has_slot = False
        busy_until = trio.current_time() + LOAD_TIMEOUT_S
        while self._parts.is_home(self._upstream):
            engines = await self._read_engines()
            await self._lease.keep()
            is_loading = any(engine.report.loading for engine in engines)
            if is_loading and trio.current_time() < busy_until:
                # An order of an earlier holder, or one that was given up on. A second
                # load beside it would be one more than the slots count.
                await trio.sleep(POLL_S)
                continue
            need = self._choose(engines)
            if need is None:
                return
            if not await self._take_slot():
                await trio.sleep(POLL_S)
                continue
            await self._carry_out(need)
            busy_until = trio.current_time() + LOAD_TIMEOUT_S

    def _choose(self, engines: list[EngineState]) -> Need | None:
        """Return what to do next; None when nothing is left that could be done."""
        now = trio.current_time()
        catalogue = self._catalogue()
        if catalogue.version < self._lease.record.catalogue_version:
            # A holder that had a newer catalogue was here. Orders by the older one
            # would bring old weights back.
            return None
        ready = [
            engine
            for engine in engines
            if self._left_alone.get(engine.instance, now) <= now
        ]
        return next(iter(needs(catalogue, self._upstream, ready)), None)

    async def _read_engines(self) -> list[EngineState]:
        """Return the real state of the engines, from themselves and not from gossip."""
        found: list[EngineState] = []

        async def read(engine: UpstreamInstance) -> None:
            state = await self._parts.control.read(engine)
            if state is not None:
                found.append(state)

        async with trio.open_nursery() as nursery:
            for engine in self._parts.directory.instances(self._upstream):
                nursery.start_soon(read, engine)
        return found

    async def _take_slot(self) -> bool:
        slot = LoadSlot(self._upstream, uuid.uuid4().hex, self._lease.record.token)
        self._has_slot = await self._parts.slots.take(slot) or self._has_slot
        return self._has_slot

    async def _carry_out(self, need: Need) -> None:
        version = self._catalogue().version
        order = need.as_order(uuid.uuid4().hex, self._upstream, version)
        cycle = LifeCycle("order")
        await self._lease.intend(order)
        cycle.send("intend")
        token = self._lease.record.token
        reply = OrderReply.NOT_SENT
        # Looked at again where the bytes leave: this router may be paused here.
        if self._lease.may_act():
            reply = await self._parts.control.give(
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
            self._left_alone[order.instance] = trio.current_time() + RETRY_S
        self._log(order, token, cycle.state)
        if reply is OrderReply.REFUSED:
            self._lease.lose()
            raise LeaseLostError(f"{order.instance} has had a newer holder's order")
        await self._lease.conclude(OrderOutcome(order, token, cycle.state))

    async def _wait_until_met(self, order: Order, need: Need) -> bool:
        """Ask the engine until it shows what it was told to load."""
        engines = {
            engine.instance: engine
            for engine in self._parts.directory.instances(self._upstream)
        }
        engine = engines.get(need.engine.instance)
        with trio.move_on_after(LOAD_TIMEOUT_S):
            while engine is not None:
                await trio.sleep(POLL_S)
                await self._lease.keep()
                state = await self._parts.control.read(engine)
                if state is None:
                    continue
                if state.report.epoch != order.epoch:
                    return False
                if is_met(order, state.report):
                    return True
        return False

    async def _give_back(self) -> None:
        """Let others load and hold the lease; the slot first, it rests on the lease."""
        if self._has_slot:
            await self._parts.slots.give_back(self._upstream)
            self._has_slot = False
        await self._lease.release()

    def _seems_needed(self) -> bool:
        """Return whether the newest reports show that an order may be needed."""
        known = [
            EngineState(engine.instance, engine.address, engine.report)
            for engine in self._parts.directory.instances(self._upstream)
            if engine.report is not None
        ]
        return self._choose(known) is not None

    def _least_token(self) -> int:
        """Return a token above any that the engines have seen."""
        reports = [e.report for e in self._parts.directory.instances(self._upstream)]
        return 1 + max((r.fencing_token for r in reports if r is not None), default=0)

    def _fencing(self) -> Fencing:
        entry = self._catalogue().upstream(self._upstream)
        return Fencing.IGNORED if entry is None else entry.fencing

    def _catalogue(self) -> Catalogue:
        in_force = self._parts.catalogue.current()
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
