"""Read the catalogue's log from the store, with few store calls across the fleet.

One router of each availability zone watches the log; each watch is one store call. The
others poll at longer intervals, in case the watchers fail or the store answers only
some routers. A starting router waits for its peers first, so that many simultaneous
starts do not cause a thundering herd of full reads.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Final

import eliot
import trio

from corianderlb_core.change import CHANGE_PREFIX
from corianderlb_core.data_class import dataclass
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.rendezvous import primary_node, rank

from .catalogue_follower import CatalogueFollower
from .catalogue_log import CatalogueLog
from .peer_network import OverlayNetwork
from .snapshot_writer import SnapshotWriter
from .store import ObjectStore, StoreError, StoreUnavailableError

POLL_S: Final = (6.0, 10.0)
"""Shortest and longest seconds between two polls of a router that has linked peers.

At 410 routers these are 51 reads a second. A change must be in force on all routers
within 13 s, even if the store answers only one
router and that router is not a watcher. The longest interval leaves time to forward the
change over a few links.
"""

POLL_UNLINKED_S: Final = (1.0, 3.0)
"""The same for a router without a linked peer."""

WATCH_S: Final = 6.0
"""Seconds of one watch; a watch that times out confirms the version in force."""

N_FIRST_READERS: Final = 2
"""Number of starting routers that read the store without waiting for peers."""

INSTANCE_LIST_TIMEOUT_S: Final = 1.0
"""Seconds that a start waits for the platform's list of instances."""

PEER_WAIT_S: Final = (2.0, 4.0)
"""Shortest and longest seconds that other starting routers wait for their peers."""

BACKOFF_S: Final = (0.5, 5.0)
"""First and longest seconds after a failed read, before jitter."""

MAX_RETRY_AFTER_S: Final = 10.0
"""Longest delay in seconds that the store may request."""

WAITING_LOG_S: Final = 2.0
"""Seconds without a catalogue after which the wait is logged."""

_WATCH_KEY: Final = b"catalogue-watch"
_START_KEY: Final = b"catalogue-start"
_SNAPSHOT_KEY: Final = b"catalogue-snapshot"


@dataclass
class ReaderCounters:
    """Reads of the store since the start of the router, by purpose."""

    n_full_reads: int = 0
    n_polls: int = 0
    n_watches: int = 0
    n_failures: int = 0


class CatalogueReader:
    """Keeps a ``CatalogueFollower`` up to date with the store."""

    def __init__(
        self,
        store: ObjectStore,
        follower: CatalogueFollower,
        peers: OverlayNetwork,
        own: InstanceId,
        zone: str,
        rng: random.Random,
    ) -> None:
        self.counters = ReaderCounters()
        """Reads by purpose; the store client counts calls by kind."""
        self._store = store
        self._log = CatalogueLog(store)
        self._follower = follower
        self._peers = peers
        self._own = own
        self._zone = zone
        self._rng = rng
        self._snapshots = SnapshotWriter(store)
        self._revision = 0
        self._failing = False

    async def run(self) -> None:
        """Obtain a first catalogue, then follow the log until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log_waiting)
            await self._start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_snapshots)
            await self._follow()

    async def _start(self) -> None:
        """Wait until a catalogue is in force, from the store or from a peer."""
        with trio.move_on_after(INSTANCE_LIST_TIMEOUT_S):
            await self._peers.wait_instance_list()
        if not self._reads_first():
            await self._wait_for_peers(self._rng.uniform(*PEER_WAIT_S))
        wait_s = BACKOFF_S[0]
        while self._follower.current() is None:
            await self._try(self._read_all)
            if self._follower.current() is None:
                await self._wait_for_peers(wait_s * self._rng.uniform(0.5, 1.5))
                wait_s = min(2 * wait_s, BACKOFF_S[1])

    def _reads_first(self) -> bool:
        """Return whether this router reads the store without waiting for peers."""
        names = {state.instance for state in self._peers.candidates()} | {self._own}
        return self._own in rank(_START_KEY, names)[:N_FIRST_READERS]

    async def _wait_for_peers(self, wait_s: float) -> None:
        """Wait until a peer has sent a catalogue, at most ``wait_s``."""
        if self._follower.current() is None:
            with trio.move_on_after(wait_s):
                await self._follower.wait_changed()

    async def _log_waiting(self) -> None:
        with trio.move_on_after(WAITING_LOG_S):
            while self._follower.current() is None:
                await self._follower.wait_changed()
            return
        eliot.log_message(message_type="catalogue:waiting", for_s=WAITING_LOG_S)

    async def _follow(self) -> None:
        while True:
            if self._is_watcher():
                succeeded = await self._try(self._watch)
            else:
                bounds = POLL_S if self._peers.linked() else POLL_UNLINKED_S
                await trio.sleep(self._rng.uniform(*bounds))
                succeeded = await self._try(self._poll)
            # The connection may be dead; a poll over a new one fails or succeeds fast.
            if not succeeded and not await self._try(self._poll):
                await trio.sleep(self._rng.uniform(*POLL_UNLINKED_S))

    def _is_watcher(self) -> bool:
        """Return whether this router watches the log for its availability zone."""
        return self._is_primary(_WATCH_KEY, self._zone)

    def _is_primary(self, key: bytes, zone: str = "") -> bool:
        names = [
            state.instance
            for state in self._peers.members()
            if state.presence is Presence.LIVE and zone in ("", state.zone)
        ]
        return primary_node(key, names) == self._own

    async def _read_all(self) -> None:
        """Read the newest snapshot and the changes after it."""
        self.counters.n_full_reads += 1
        requested_at = trio.current_time()
        snapshot = await self._log.newest_snapshot()
        if snapshot is not None:
            self._follower.apply_stored_snapshot(snapshot.data, requested_at)
        while found := await self._log.changes_after(self._follower.version):
            self._follower.apply_stored([stored.data for stored in found], requested_at)
            self._revision = found[-1].revision
            requested_at = trio.current_time()
        self._follower.confirm(requested_at)

    async def _poll(self) -> None:
        """Read the changes after the version in force; one call when there is none."""
        self.counters.n_polls += 1
        while True:
            version = self._follower.version
            requested_at = trio.current_time()
            stored = await self._log.change(version + 1)
            if stored is None:
                break
            self._follower.apply_stored([stored.data], requested_at)
            self._revision = stored.revision
        if self._follower.version == version:
            self._follower.confirm(requested_at)

    async def _watch(self) -> None:
        """Wait for a change and read it."""
        if self._revision == 0:
            await self._find_watch_revision()
        self.counters.n_watches += 1
        requested_at = trio.current_time()
        result = await self._store.watch(CHANGE_PREFIX, self._revision, WATCH_S)
        if result.keys:
            await self._poll()
        else:
            self._follower.confirm(requested_at)
        # Set only after the read, so that the next watch finds the change again if the
        # read failed.
        self._revision = max(self._revision, result.revision)

    async def _find_watch_revision(self) -> None:
        """Set the revision at which a watch starts, if the catalogue came from a peer.

        The poll comes last: the watch does not return changes before that revision.
        """
        stored = await self._log.change(self._follower.version)
        if stored is not None:
            self._revision = stored.revision
        await self._poll()

    async def _try(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Run a step and return whether it succeeded; log the first failure."""
        try:
            await step()
        except CorianderError as exc:
            self.counters.n_failures += 1
            self._log_status_change(failing=True, reason=str(exc))
            if isinstance(exc, StoreUnavailableError) and exc.retry_after_s:
                await trio.sleep(min(exc.retry_after_s, MAX_RETRY_AFTER_S))
            return False
        self._log_status_change(failing=False)
        return True

    def _log_status_change(self, failing: bool, reason: str = "") -> None:
        if failing is not self._failing:
            self._failing = failing
            kind = "store_failing" if failing else "store_read_again"
            eliot.log_message(message_type=f"catalogue:{kind}", reason=reason)

    async def _write_snapshots(self) -> None:
        """Write due snapshots while this router is the primary for them."""
        while True:
            await self._follower.wait_changed()
            version = self._snapshots.due(self._follower.version)
            if not version or not self._is_primary(_SNAPSHOT_KEY):
                continue
            data = self._follower.snapshot_at(version)
            if data is None:
                continue
            try:
                await self._snapshots.write(version, data)
            except StoreError as exc:
                eliot.log_message(
                    message_type="catalogue:snapshot_failed", reason=str(exc)
                )
