"""A usage ledger that is shared with the other routers by announcements."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

import trio

from corianderlb_core.message import AccountUsage, Message
from corianderlb_core.usage_ledger import UsageLedger

from .interface import PeerNetwork

ALIVE_S: Final = 0.25
"""Interval at which a router is heard while accounts are close to their cap: after it
without any broadcast, an empty announcement is sent."""

N_FORWARDS: Final = 2
"""Peers to which the announcements of others are passed on. Most routers are linked to
their origin, and a later announcement repairs what was missed."""

HEARD_WITHIN_S: Final = 0.5
"""Silence of a link after which its peer counts as not heard, while peers announce
themselves each ``ALIVE_S``."""

HEARD_WITHIN_CALM_S: Final = 1.6
"""The same with heartbeats alone, one each second."""

WARM_S: Final = 2.0
"""How long after something was announced early accounts count as close to their
cap."""

TICK_S: Final = 0.25
"""Interval at which the clock and the links are checked."""

REFRESH_S: Final = 0.05
"""Shortest interval between two counts of the routers that are heard."""

PAUSE_S: Final = 0.5
"""Gap between two checks of the clock from which the process counts as paused."""

RESUME_S: Final = 0.3
"""Time after a pause in which announcements of the time before are still read."""


class FleetLedger(ABC):
    """Feeds a ledger with who is heard and what they announce, and announces to them.

    A subclass names the message that carries its entries.
    """

    def __init__(self, peers: PeerNetwork, ledger: UsageLedger) -> None:
        self._peers = peers
        self.ledger = ledger
        self._is_sooner = trio.Event()
        self._wakes_at = math.inf
        """When the announcing task looks next."""
        self._warm_since = math.inf
        self._warm_until = -math.inf
        self._refreshed_at = -math.inf
        self._checked_at = math.inf
        self._resumed_at = -math.inf

    def _merge(self, usage: Sequence[AccountUsage]) -> None:
        """Charge what a peer announces."""
        now = trio.current_time()
        self._refresh(now)
        self.ledger.merge(usage, now)
        self.wake()

    def wake(self) -> None:
        """Let the announcing task see what there is to announce."""
        announces_at, now = self.ledger.announces_at, trio.current_time()
        if announces_at < now + self.ledger.max_pause_s:
            if now >= self._warm_until:
                self._warm_since = now
            self._warm_until = now + WARM_S
        if announces_at < self._wakes_at:
            self._is_sooner.set()

    async def run(self) -> None:
        """Announce what this router runs until cancelled."""
        self._checked_at = trio.current_time()
        while True:
            await self._wait()
            now = trio.current_time()
            self._check_clock(now)
            self._refresh(now)
            announces_at = self.ledger.announces_at
            if now >= announces_at:
                self._announce(now)
            elif math.isinf(announces_at):
                self._keep_heard(now)

    async def _wait(self) -> None:
        """Wait until something is to be announced, or until the clock is checked."""
        self._is_sooner = trio.Event()
        now = trio.current_time()
        self._wakes_at = min(now + TICK_S, max(now, self.ledger.announces_at))
        with trio.move_on_at(self._wakes_at):
            await self._is_sooner.wait()

    def _is_warm(self) -> bool:
        return trio.current_time() < self._warm_until

    def _announce(self, now: float) -> None:
        own, learned = self.ledger.take_own(now), self.ledger.take_learned()
        if own:
            self._peers.broadcast(self._update(own))
        if learned:
            self._peers.forward_update(self._update(learned), N_FORWARDS)

    @abstractmethod
    def _update(self, usage: tuple[AccountUsage, ...]) -> Message:
        """Return the announcement of these entries."""

    def _keep_heard(self, now: float) -> None:
        """Show the peers that they hear this router, if nothing else does."""
        if self._is_warm() and now - self._peers.last_broadcast_at >= ALIVE_S:
            self._peers.broadcast(self._update(()))

    def _check_clock(self, now: float) -> None:
        if now - self._checked_at >= PAUSE_S:
            self._resumed_at = now
        self._checked_at = now

    def _refresh(self, now: float) -> None:
        """Tell the ledger how many of the routers are heard."""
        if now - self._refreshed_at < REFRESH_S:
            return
        if now - self._checked_at >= PAUSE_S:
            self._check_clock(now)
        self._refreshed_at = now
        is_steady = self._is_warm() and now - self._warm_since >= HEARD_WITHIN_CALM_S
        within_s = HEARD_WITHIN_S if is_steady else HEARD_WITHIN_CALM_S
        heard_share = self._peers.heard_share(within_s)
        if now - self._resumed_at < RESUME_S:
            heard_share = 0.0
        self.ledger.set_fleet(self._peers.n_running(), heard_share, within_s, now)
