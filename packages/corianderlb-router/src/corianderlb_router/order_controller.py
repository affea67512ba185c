"""Run an order task for each engine upstream of the catalogue."""

from __future__ import annotations

import random
from typing import Final

import trio

from corianderlb_core.catalogue import EntryKind, Upstream, UpstreamKind
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.rendezvous import primary_node
from corianderlb_core.settings import OrderSettings
from corianderlb_core.status import LeaseStatus

from .engine_control import EngineControl
from .interface import CatalogueSource, PeerNetwork, UpstreamDirectory
from .lease_holder import LeaseHolder
from .load_slot_store import LoadSlotStore
from .order_task import OrderContext, OrderTask
from .store import ObjectStore

POLL_S: Final = 1.0
"""Interval between checks for new upstreams in the catalogue."""


class OrderController:
    """Send the orders of all upstreams whose primary is this router."""

    def __init__(
        self,
        store: ObjectStore,
        router: InstanceId,
        epoch: int,
        catalogue: CatalogueSource,
        directory: UpstreamDirectory,
        network: PeerNetwork,
        control: EngineControl,
        rng: random.Random,
        terms: OrderSettings | None = None,
    ) -> None:
        self._store = store
        self._router = router
        self._epoch = epoch
        self._catalogue = catalogue
        self._network = network
        self._terms = terms or OrderSettings()
        self._tasks: dict[str, OrderTask] = {}
        self._context = OrderContext(
            catalogue, directory, control, LoadSlotStore(store), self.is_primary, rng
        )

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for upstream in self._engine_upstreams():
                    if upstream not in self._tasks:
                        task = self._tasks[upstream] = self._make_task(upstream)
                        nursery.start_soon(task.run)
                await trio.sleep(POLL_S)

    def is_primary(self, upstream: str) -> bool:
        """Return whether this router is the primary of an upstream."""
        live = [
            member.instance
            for member in self._network.members()
            if member.presence is Presence.LIVE
        ]
        key = f"orders/{upstream}".encode()
        return primary_node(key, {*live, self._router}) == self._router

    def leases(self) -> tuple[LeaseStatus, ...]:
        """Return the leases that this router has read or held."""
        found = [task.status() for task in self._tasks.values()]
        return tuple(lease for lease in found if lease.fencing_token)

    def _make_task(self, upstream: str) -> OrderTask:
        lease = LeaseHolder(
            self._store, upstream, self._router, self._epoch, self._terms
        )
        return OrderTask(lease, self._context)

    def _engine_upstreams(self) -> list[str]:
        in_force = self._catalogue.current()
        if in_force is None:
            return []
        return [
            entry.name
            for entry in in_force.catalogue.of_kind(EntryKind.UPSTREAM)
            if isinstance(entry, Upstream)
            and entry.upstream_kind is UpstreamKind.ENGINE
        ]
