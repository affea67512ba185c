"""Read the catalogue's log from the store, with few calls over all routers.

One router of each availability zone watches the log; a waiting watch counts as a call.
The others look now and then, as the backstop when the watchers are gone or the store
answers some routers only. A starting router asks its peers first, so that a herd of
starts does not mean a herd of full reads.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import eliot
import trio

from corianderlb_core.change import CHANGE_PREFIX
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.rendezvous import home, rank

from .catalogue_follower import CatalogueFollower
from .catalogue_log import CatalogueLog
from .peer_network import OverlayNetwork
from .snapshot_writer import SnapshotWriter
from .store import ObjectStore, StoreError, StoreUnavailableError

POLL_S: Final = (6.0, 10.0)
"""Least and most seconds between two looks of a router that has peers.

At 410 routers that is 51 reads a second. The most, and a few links on the way, stay
below the 13 s in which a change must be in force, also when the store answers a single
router that does not watch.
"""

POLL_ALONE_S: Final = (1.0, 3.0)
"""The same for a router that is linked to nobody now."""

WATCH_S: Final = 6.0
"""Seconds of one watch; its end confirms that there is nothing newer."""

N_FIRST_READERS: Final = 2
"""Routers of a starting herd that read the store at once."""

LIST_WAIT_S: Final = 1.0
"""Longest wait of a start for the platform's list, which tells who else there is."""

PEERS_FIRST_S: Final = (2.0, 4.0)
"""Least and most seconds that the other starting routers wait for their peers."""

BACKOFF_S: Final = (0.5, 5.0)
"""First and longest wait after a failed read, before jitter."""

MAX_RETRY_AFTER_S: Final = 10.0
"""Longest wait that the store may ask for."""

WAITING_LOG_S: Final = 2.0
"""Seconds without a catalogue after which the log says that the router waits."""

_WATCH_KEY: Final = b"catalogue-watch"
_START_KEY: Final = b"catalogue-start"
_SNAPSHOT_KEY: Final = b"catalogue-snapshot"


@dataclass
class ReaderCounters:
    """Count the reader's ways to the store, since the start."""

    n_full_reads: int = 0
    n_polls: int = 0
    n_watches: int = 0
    n_failures: int = 0


class CatalogueReader:
    """Keep a ``CatalogueFollower`` in step with the store."""

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
        """Calls by purpose; the store client counts them by kind."""
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
        """Get a first catalogue, then stay in step until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._say_waiting)
            await self._start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_snapshots)
            await self._stay_in_step()

    async def _start(self) -> None:
        """Return once something is in force, from whoever gives it first."""
        with trio.move_on_after(LIST_WAIT_S):
            await self._peers.wait_listed()
        if not self._reads_first():
            await self._wait_for_peers(self._rng.uniform(*PEERS_FIRST_S))
        wait_s = BACKOFF_S[0]
        while self._follower.current() is None:
            await self._try(self._read_all)
            if self._follower.current() is None:
                await self._wait_for_peers(wait_s * self._rng.uniform(0.5, 1.5))
                wait_s = min(2 * wait_s, BACKOFF_S[1])

    def _reads_first(self) -> bool:
        """Tell whether this is one of the few that read the store at once."""
        names = {state.instance for state in self._peers.candidates()} | {self._own}
        return self._own in rank(_START_KEY, names)[:N_FIRST_READERS]

    async def _wait_for_peers(self, wait_s: float) -> None:
        """Wait until a peer gave a catalogue, or for a time."""
        if self._follower.current() is None:
            with trio.move_on_after(wait_s):
                await self._follower.wait_changed()

    async def _say_waiting(self) -> None:
        with trio.move_on_after(WAITING_LOG_S):
            while self._follower.current() is None:
                await self._follower.wait_changed()
            return
        eliot.log_message(message_type="catalogue:waiting", for_s=WAITING_LOG_S)

    async def _stay_in_step(self) -> None:
        while True:
            if self._watches():
                done = await self._try(self._watch)
            else:
                bounds = POLL_S if self._peers.linked() else POLL_ALONE_S
                await trio.sleep(self._rng.uniform(*bounds))
                done = await self._try(self._poll)
            # The connection may have gone silent; a new one tells at once.
            if not done and not await self._try(self._poll):
                await trio.sleep(self._rng.uniform(*POLL_ALONE_S))

    def _watches(self) -> bool:
        """Tell whether this router watches for its availability zone."""
        return self._is_home(_WATCH_KEY, self._zone)

    def _is_home(self, key: bytes, zone: str = "") -> bool:
        names = [
            state.instance
            for state in self._peers.members()
            if state.presence is Presence.LIVE and zone in ("", state.zone)
        ]
        return home(key, names) == self._own

    async def _read_all(self) -> None:
        """Read the newest snapshot and the changes after it."""
        self.counters.n_full_reads += 1
        asked_at = trio.current_time()
        snapshot = await self._log.newest_snapshot()
        if snapshot is not None:
            self._follower.take_stored_snapshot(snapshot.data, asked_at)
        while found := await self._log.changes_after(self._follower.version):
            self._follower.take_stored([stored.data for stored in found], asked_at)
            self._revision = found[-1].revision
            asked_at = trio.current_time()
        self._follower.confirm(asked_at)

    async def _poll(self) -> None:
        """Look for the next change; one call when there is none."""
        self.counters.n_polls += 1
        while True:
            version = self._follower.version
            asked_at = trio.current_time()
            stored = await self._log.change(version + 1)
            if stored is None:
                break
            self._follower.take_stored([stored.data], asked_at)
            self._revision = stored.revision
        if self._follower.version == version:
            self._follower.confirm(asked_at)

    async def _watch(self) -> None:
        """Wait for a change, then read it."""
        if self._revision == 0:
            await self._find_revision()
        self.counters.n_watches += 1
        asked_at = trio.current_time()
        seen = await self._store.watch(CHANGE_PREFIX, self._revision, WATCH_S)
        if seen.keys:
            await self._poll()
        else:
            self._follower.confirm(asked_at)
        # Only now: a failed read must find the same change again at the next watch.
        self._revision = max(self._revision, seen.revision)

    async def _find_revision(self) -> None:
        """Learn where a watch must start, when the catalogue came from a peer.

        The look for the next change comes after: one made before would be missed by a
        watch from there on.
        """
        stored = await self._log.change(self._follower.version)
        if stored is not None:
            self._revision = stored.revision
        await self._poll()

    async def _try(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Run a step; return False, and log the change of state, when it fails."""
        try:
            await step()
        except CorianderError as exc:
            self.counters.n_failures += 1
            self._note(failing=True, reason=str(exc))
            if isinstance(exc, StoreUnavailableError) and exc.retry_after_s:
                await trio.sleep(min(exc.retry_after_s, MAX_RETRY_AFTER_S))
            return False
        self._note(failing=False)
        return True

    def _note(self, failing: bool, reason: str = "") -> None:
        if failing is not self._failing:
            self._failing = failing
            kind = "store_failing" if failing else "store_read_again"
            eliot.log_message(message_type=f"catalogue:{kind}", reason=reason)

    async def _write_snapshots(self) -> None:
        """Write the snapshots that are due, if this router is the one to do it."""
        while True:
            await self._follower.wait_changed()
            version = self._snapshots.due(self._follower.version)
            if not version or not self._is_home(_SNAPSHOT_KEY):
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
