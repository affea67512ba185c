"""Hold the catalogue in force, and trade its newest changes with the peers.

Heartbeats tell which version a peer has. Whoever is behind asks for the changes and,
once it has them, tells its own peers at once; so a change that any one router read from
the store is in force on all within a few links. The store is read by
``catalogue_reader``.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Final

import eliot
import trio

from corianderlb_core.catalogue_chain import CatalogueChain, ChainError
from corianderlb_core.identity import InstanceId
from corianderlb_core.message import CatalogueChanges, CatalogueRequest, Heartbeat
from corianderlb_core.settings import CatalogueSettings

from .interface import CatalogueSource, InForce
from .peer_network import OverlayNetwork

ASK_AGAIN_S: Final = 1.0
"""Seconds without an answer after which the next peer that has more is asked."""

STALE_AFTER_S: Final = CatalogueSettings().stale_after_s
"""Seconds without word from the store and from every peer after which decisions stop.

A change is to be in force everywhere within 13 s. A router that hears of nobody for
this long may have missed one, and refuses until it is told that it has the newest.
"""


@dataclass
class FollowerCounters:
    """Count how changes got here, since the start."""

    n_from_store: int = 0
    n_from_peers: int = 0
    n_bad_offers: int = 0
    """Answers of peers or of the store that did not fit the chain."""
    n_asked: int = 0
    n_answered: int = 0
    n_not_answered: int = 0
    """Requests of peers left alone because what is in force here may be old."""


class CatalogueFollower(CatalogueSource):
    """Put each version in force as soon as it is known, never a lower one."""

    def __init__(
        self, peers: OverlayNetwork, stale_after_s: float = STALE_AFTER_S
    ) -> None:
        self.counters = FollowerCounters()
        """How changes got here."""
        self._peers = peers
        self._stale_after_s = stale_after_s
        self._chain = CatalogueChain()
        self._in_force: InForce | None = None
        self._asked_at = -ASK_AGAIN_S
        self._changed = trio.Event()
        peers.subscribe(Heartbeat, self.on_heartbeat)
        peers.subscribe(CatalogueRequest, self.on_catalogue_request)
        peers.subscribe(CatalogueChanges, self.on_catalogue_changes)

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._chain.version

    def current(self) -> InForce | None:
        """Return what is in force, or None before the first catalogue arrived."""
        return self._in_force

    def is_stale(self) -> bool:
        """Tell whether a newer version may be in force elsewhere for too long.

        Asked with the clock of now before each decision: a process that was stopped
        for a minute must notice before its first answer, not at its next tick. A router
        that knows of no other is not cut off from any; it goes on with what it has
        while the store is down.
        """
        if self._in_force is None:
            return False
        age_s = trio.current_time() - self._in_force.confirmed_at
        return age_s > self._stale_after_s and self._peers.knows_others()

    async def wait_changed(self) -> None:
        """Return at the next version."""
        await self._changed.wait()

    def take_stored(self, changes: Sequence[bytes], asked_at: float) -> int:
        """Take changes that the store gave; return how many were new."""
        n_taken = self._chain.take(changes)
        self.counters.n_from_store += n_taken
        self._put_in_force(asked_at)
        return n_taken

    def take_stored_snapshot(self, data: bytes, asked_at: float) -> None:
        """Take a snapshot that the store gave, unless it is older."""
        if self._chain.take_snapshot(data):
            self._put_in_force(asked_at)

    def confirm(self, asked_at: float) -> None:
        """Note that the store or a peer had nothing newer at a time.

        That is the time at which it was asked. An answer can lie in a socket's buffer
        while this process is stopped, and says nothing about the time since.
        """
        held = self._in_force
        if held is not None:
            confirmed_at = max(held.confirmed_at, asked_at)
            self._in_force = InForce(held.catalogue, held.since, confirmed_at)

    def snapshot_at(self, version: int) -> bytes | None:
        """Return the bytes of a snapshot for the store, or None if it is too old."""
        return self._chain.snapshot_at(version)

    async def on_heartbeat(self, sender: InstanceId, beat: Heartbeat) -> None:
        """Ask for what a peer has more, or take its word that there is no more.

        A peer that is behind cannot know whether there is more.
        """
        if beat.catalogue_version > self.version:
            self._ask(sender)
        elif beat.catalogue_version == self.version:
            made_after = self._peers.beaten_at(beat.echo)
            if made_after is not None:
                self.confirm(made_after)

    async def on_catalogue_request(
        self, sender: InstanceId, asked: CatalogueRequest
    ) -> None:
        """Give a peer what follows the version it has.

        A router that was cut off may have an old version. It gives that to nobody: a
        starting router would serve it, and the two would confirm each other.
        """
        if asked.after_version >= self.version:
            return
        if self.is_stale():
            self.counters.n_not_answered += 1
            return
        self.counters.n_answered += 1
        snapshot, changes = self._chain.offer(asked.after_version)
        self._peers.send(sender, CatalogueChanges(self.version, changes, snapshot))

    async def on_catalogue_changes(
        self, sender: InstanceId, offered: CatalogueChanges
    ) -> None:
        """Take what a peer offers as far as it follows what is in force."""
        before = self.version
        try:
            if offered.snapshot is not None:
                self._chain.take_snapshot(offered.snapshot)
            self._chain.take(offered.changes)
        except ChainError as exc:
            self.counters.n_bad_offers += 1
            eliot.log_message(
                message_type="catalogue:bad_offer", peer=sender, reason=str(exc)
            )
        self.counters.n_from_peers += self.version - before
        self._put_in_force(self._asked_at)
        self._asked_at = -ASK_AGAIN_S
        if before < self.version < offered.version:
            self._ask(sender)

    def _ask(self, peer: InstanceId) -> None:
        """Ask one peer at a time: six that have the same news need not all send it."""
        now = trio.current_time()
        if now - self._asked_at < ASK_AGAIN_S:
            return
        if self._peers.send(peer, CatalogueRequest(self.version)):
            self._asked_at = now
            self.counters.n_asked += 1

    def _put_in_force(self, asked_at: float) -> None:
        held = self._in_force
        if self.version == (held.catalogue.version if held else 0):
            return
        since = datetime.now(UTC).isoformat(timespec="milliseconds")
        confirmed_at = max(asked_at, held.confirmed_at if held else asked_at)
        self._in_force = InForce(self._chain.catalogue, since, confirmed_at)
        eliot.log_message(message_type="catalogue:in_force", version=self.version)
        self._changed.set()
        self._changed = trio.Event()
        self._peers.beat_now()
