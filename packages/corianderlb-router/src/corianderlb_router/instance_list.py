"""Read the platform's list of instances now and then, and hand it to its takers.

While the platform's service cannot be read, the peers are asked for theirs: a router
that starts in an outage would otherwise know what is in force, and no upstream.
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
"""Seconds between two reads. At 410 routers this is 205 of the store's 2,000 reads
a second; the list's own lag comes on top."""

START_ASK_S: Final = 0.2
"""Seconds between two questions to the peers while there is no list at all."""

JITTER: Final = 0.5
"""Share by which a wait is shortened or lengthened, so that routers that started
together do not read together."""


class InstanceListReader:
    """Poll the list; while the store is down the last one stays in use."""

    def __init__(
        self,
        store: ObjectStore,
        takers: Sequence[Callable[[InstanceList], object]],
        peers: PeerNetwork,
        rng: random.Random,
        poll_s: float = POLL_S,
    ) -> None:
        self._store = store
        self._takers = list(takers)
        self._peers = peers
        self._rng = rng
        self._poll_s = poll_s
        self._failing = False
        self._newest: InstanceList | None = None
        self.n_reads = 0
        """Calls to the store so far."""
        self.n_failures = 0
        """Calls that failed."""
        peers.subscribe(InstancesRequest, self.on_instances_request)
        peers.subscribe(InstancesListed, self.on_instances_listed)

    @property
    def has_list(self) -> bool:
        """Whether there is a list, of whatever age."""
        return self._newest is not None

    async def run(self) -> None:
        """Poll the store, and ask the peers while it fails, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_store)
            nursery.start_soon(self._ask_peers)

    async def poll(self) -> bool:
        """Read the list once; return False when the store could not be read."""
        self.n_reads += 1
        try:
            listed = await self._store.instances()
        except StoreError as exc:
            self.n_failures += 1
            self._note(failing=True, detail=str(exc))
            return False
        self._note(failing=False)
        self._take(listed)
        return True

    async def on_instances_request(
        self, sender: InstanceId, message: InstancesRequest
    ) -> None:
        """Answer a peer that has an older list or none."""
        newest = self._newest
        if newest is not None and newest.revision > message.after_revision:
            answer = InstancesListed(newest.revision, newest.instances)
            self._peers.send(sender, answer)

    async def on_instances_listed(
        self, sender: InstanceId, message: InstancesListed
    ) -> None:
        """Take a peer's list when it is newer than the own one."""
        self._take(InstanceList(message.revision, message.instances))

    async def _poll_store(self) -> None:
        while True:
            await self.poll()
            await trio.sleep(self._jittered(self._poll_s))

    async def _ask_peers(self) -> None:
        while True:
            if self._newest is None:
                self._peers.broadcast(InstancesRequest(-1))
            elif self._failing:
                self._peers.broadcast(InstancesRequest(self._newest.revision))
            wait_s = START_ASK_S if self._newest is None else self._poll_s
            await trio.sleep(self._jittered(wait_s))

    def _take(self, listed: InstanceList) -> None:
        if self._newest is not None and listed.revision < self._newest.revision:
            return
        self._newest = listed
        for take in self._takers:
            take(listed)

    def _jittered(self, wait_s: float) -> float:
        return wait_s * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _note(self, failing: bool, detail: str = "") -> None:
        if failing is not self._failing:
            self._failing = failing
            kind = "failing" if failing else "read_again"
            eliot.log_message(message_type=f"instance_list:{kind}", detail=detail)
