"""The catalogue in force, and the exchange of its changes with peers.

Heartbeats announce the version of a peer. A router with a lower version requests the
changes and then sends a heartbeat to its own peers at once, so a change that one router
read from the store reaches all within a few links. The store is read by
``catalogue_reader``.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Final

import eliot
import trio

from corianderlb_core.catalogue_chain import CatalogueChain, ChainError
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import CatalogueChanges, CatalogueRequest, Heartbeat
from corianderlb_core.settings import CatalogueSettings

from .interface import CatalogueInForce, CatalogueSource
from .peer_network import OverlayNetwork

REQUEST_TIMEOUT_S: Final = 1.0
"""Seconds without an answer after which another peer may be sent the request."""

STALE_AFTER_S: Final = CatalogueSettings().stale_after_s
"""Seconds without confirmation by the store or a peer after which decisions stop.

A change must be in force everywhere within 13 s. A router without confirmation for
longer may have missed one, and refuses until its version is confirmed as the newest.
"""


@dataclass
class FollowerCounters:
    """Changes by source, and requests of peers, since the start of the router."""

    n_from_store: int = 0
    n_from_peers: int = 0
    n_bad_offers: int = 0
    """Answers of peers that do not continue the chain of changes."""
    n_asked: int = 0
    n_answered: int = 0
    n_not_answered: int = 0
    """Requests of peers without an answer because this router may be stale."""


class CatalogueFollower(CatalogueSource):
    """Puts each newer version in force as soon as it arrives, never a lower one."""

    def __init__(
        self, peers: OverlayNetwork, stale_after_s: float = STALE_AFTER_S
    ) -> None:
        self.counters = FollowerCounters()
        """Changes by source, and requests of peers."""
        self._peers = peers
        self._stale_after_s = stale_after_s
        self._chain = CatalogueChain()
        self._in_force: CatalogueInForce | None = None
        self._requested_at = -REQUEST_TIMEOUT_S
        self._changed = trio.Event()
        peers.subscribe(Heartbeat, self.on_heartbeat)
        peers.subscribe(CatalogueRequest, self.on_catalogue_request)
        peers.subscribe(CatalogueChanges, self.on_catalogue_changes)

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._chain.version

    def current(self) -> CatalogueInForce | None:
        """Return the catalogue in force, or None before the first arrived."""
        return self._in_force

    def is_stale(self) -> bool:
        """Return whether a newer version may have been in force elsewhere for too long.

        Evaluated before each decision rather than at an interval: a process that was
        stopped for a minute must refuse its first request already. A router that knows
        no other router keeps its catalogue while the store is down.
        """
        if self._in_force is None:
            return False
        age_s = trio.current_time() - self._in_force.confirmed_at
        return age_s > self._stale_after_s and self._peers.has_known_peers()

    async def wait_changed(self) -> None:
        """Wait for the next version."""
        await self._changed.wait()

    def apply_stored(self, changes: Sequence[bytes], requested_at: float) -> int:
        """Apply changes read from the store; return how many were new."""
        n_taken = self._chain.take(changes)
        self.counters.n_from_store += n_taken
        self._put_in_force(requested_at)
        return n_taken

    def apply_stored_snapshot(self, data: bytes, requested_at: float) -> None:
        """Apply a snapshot read from the store, unless it is older."""
        if self._chain.apply_snapshot(data):
            self._put_in_force(requested_at)

    def confirm(self, requested_at: float) -> None:
        """Record that the store or a peer had nothing newer at ``requested_at``.

        This is the time of the request, not of the answer: an answer can wait in a
        socket's buffer while this process is stopped.
        """
        known = self._in_force
        if known is not None:
            confirmed_at = max(known.confirmed_at, requested_at)
            self._in_force = CatalogueInForce(
                known.catalogue, known.since, confirmed_at
            )

    def snapshot_at(self, version: int) -> bytes | None:
        """Return the bytes of a snapshot, or None if the version is too old."""
        return self._chain.snapshot_at(version)

    async def on_heartbeat(self, sender: InstanceId, beat: Heartbeat) -> None:
        """Request a peer's newer version, or confirm an equal one.

        A peer with a lower version confirms nothing.
        """
        if beat.catalogue_version > self.version:
            self._request_changes(sender)
        elif beat.catalogue_version == self.version:
            made_after = self._peers.heartbeat_sent_at(beat.echo)
            if made_after is not None:
                self.confirm(made_after)

    async def on_catalogue_request(
        self, sender: InstanceId, req: CatalogueRequest
    ) -> None:
        """Send a peer the changes after its version.

        A stale router does not answer: a starting router would serve its old catalogue,
        and the two would confirm each other.
        """
        if req.after_version >= self.version:
            return
        if self.is_stale():
            self.counters.n_not_answered += 1
            return
        self.counters.n_answered += 1
        snapshot, changes = self._chain.offer(req.after_version)
        self._peers.send(sender, CatalogueChanges(self.version, changes, snapshot))

    async def on_catalogue_changes(
        self, sender: InstanceId, offered: CatalogueChanges
    ) -> None:
        """Apply the changes of a peer that continue the version in force."""
        before = self.version
        try:
            if offered.snapshot is not None:
                self._chain.apply_snapshot(offered.snapshot)
            self._chain.take(offered.changes)
        except ChainError as exc:
            self.counters.n_bad_offers += 1
            eliot.log_message(
                message_type="catalogue:bad_offer", peer=sender, reason=str(exc)
            )
        self.counters.n_from_peers += self.version - before
        self._put_in_force(self._requested_at)
        self._requested_at = -REQUEST_TIMEOUT_S
        if before < self.version < offered.version:
            self._request_changes(sender)

    def _request_changes(self, peer: InstanceId) -> None:
        """Request changes from one peer at a time; several may have the same."""
        now = trio.current_time()
        if now - self._requested_at < REQUEST_TIMEOUT_S:
            return
        if self._peers.send(peer, CatalogueRequest(self.version)):
            self._requested_at = now
            self.counters.n_asked += 1

    def _put_in_force(self, requested_at: float) -> None:
        known = self._in_force
        if self.version == (known.catalogue.version if known else 0):
            return
        since = datetime.now(UTC).isoformat(timespec="milliseconds")
        confirmed_at = max(requested_at, known.confirmed_at if known else requested_at)
        self._in_force = CatalogueInForce(self._chain.catalogue, since, confirmed_at)
        eliot.log_message(message_type="catalogue:in_force", version=self.version)
        self._changed.set()
        self._changed = trio.Event()
        self._peers.heartbeat_now()
