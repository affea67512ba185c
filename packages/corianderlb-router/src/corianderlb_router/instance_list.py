"""Polls the platform's list of instances and passes it to subscribers.

While the store cannot be read, the peers are queried for their list. Otherwise a router
that starts during an outage would have a catalogue but no upstream instances.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

import eliot
import trio

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import InstancesListed, InstancesRequest

from .interface import PeerNetwork
from .store import InstanceList, ObjectStore, StoreError

POLL_S: Final = 2.0
"""Mean seconds between reads; all routers share the store's limit on reads. At 410
routers these are 205 of 2,000 reads a second."""

INITIAL_QUERY_S: Final = 0.2
"""Mean seconds between queries to the peers while there is no list at all."""

JITTER: Final = 0.5
"""Largest relative deviation of an interval from its mean, so that routers that start
together do not read together."""


class InstanceListReader:
    """Polls the list; the last one stays in use while the store is down."""

    def __init__(
        self,
        store: ObjectStore,
        subscribers: Sequence[Callable[[InstanceList], object]],
        peers: PeerNetwork,
        rng: random.Random,
        poll_s: float = POLL_S,
    ) -> None:
        self._store = store
        self._subscribers = list(subscribers)
        self._peers = peers
        self._rng = rng
        self._poll_s = poll_s
        self._failing = False
        self._newest: InstanceList | None = None
        self.n_reads = 0
        """Reads of the list from the store."""
        self.n_failures = 0
        """Reads that failed."""
        peers.subscribe(InstancesRequest, self.on_instances_request)
        peers.subscribe(InstancesListed, self.on_instances_listed)

    @property
    def has_list(self) -> bool:
        """Whether a list of any age is available."""
        return self._newest is not None

    async def run(self) -> None:
        """Poll the store, and query the peers while it fails, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_store)
            nursery.start_soon(self._query_peers)

    async def poll(self) -> bool:
        """Read the list once; return False if the store could not be read."""
        self.n_reads += 1
        try:
            listed = await self._store.instances()
        except StoreError as exc:
            self.n_failures += 1
            self._log_change(failing=True, detail=str(exc))
            return False
        self._log_change(failing=False)
        self._apply(listed)
        return True

    async def on_instances_request(
        self, sender: InstanceId, message: InstancesRequest
    ) -> None:
        """Send the list to a peer that has an older one or none."""
        newest = self._newest
        if newest is not None and newest.revision > message.after_revision:
            answer = InstancesListed(newest.revision, newest.instances)
            self._peers.send(sender, answer)

    async def on_instances_listed(
        self, sender: InstanceId, message: InstancesListed
    ) -> None:
        """Apply a peer's list unless it is older than the local one."""
        self._apply(InstanceList(message.revision, message.instances))

    async def _poll_store(self) -> None:
        while True:
            await self.poll()
            await trio.sleep(self._jittered(self._poll_s))

    async def _query_peers(self) -> None:
        while True:
            if self._newest is None:
                self._peers.broadcast(InstancesRequest(-1))
            elif self._failing:
                self._peers.broadcast(InstancesRequest(self._newest.revision))
            wait_s = INITIAL_QUERY_S if self._newest is None else self._poll_s
            await trio.sleep(self._jittered(wait_s))

    def _apply(self, listed: InstanceList) -> None:
        if self._newest is not None and listed.revision < self._newest.revision:
            return
        self._newest = listed
        for subscriber in self._subscribers:
            subscriber(listed)

    def _jittered(self, wait_s: float) -> float:
        return wait_s * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _log_change(self, failing: bool, detail: str = "") -> None:
        if failing is not self._failing:
            self._failing = failing
            kind = "failing" if failing else "read_again"
            eliot.log_message(message_type=f"instance_list:{kind}", detail=detail)
