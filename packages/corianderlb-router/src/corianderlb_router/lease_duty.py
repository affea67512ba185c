"""Hold one lease for the whole fleet: renew it, wait for it, hand it over.

One router holds the lease and gives all orders. It tells the others of each renewal,
so that they know without the store when it lapses. A holder that the store does not
answer hands the lease to a router that the store answers: waiting for it to lapse
would leave the engines without orders for as long as a lease and its last orders last.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import eliot
import trio

from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.lease import NOBODY, LeaseLostError, LeaseRecord
from corianderlb_core.message import (
    LeaseHandover,
    LeaseOffer,
    LeaseRenewed,
    LeaseWish,
)

from .interface import PeerNetwork
from .lease_holder import LeaseHolder
from .store import StoreError

TICK_S: Final = 0.1
"""Pause of the holder between two looks at its own lease."""

STANDBY_S: Final = 0.7
"""Mean pause between two looks at the store of a router that hears no renewals. A
successor starts its own wait at its first look after the last renewal, so this adds to
a takeover."""

FEW_ROUTERS: Final = 4
"""Routers up to which each looks that often. In a larger fleet each looks more rarely,
so that all of them together look as often as these few."""

RENEWALS_MISSED: Final = 1.7
"""Renewals without a word of them after which a router looks for itself: a holder may
have renewed the lease and been lost before it could tell."""

SPREAD_S: Final = 0.3
"""Spread of the looks of routers that wait for the same lease to lapse."""

OFFER_S: Final = 0.3
"""Pause between two offers to hand the lease over."""

LEAST_LEFT_S: Final = 0.7
"""Time before its end at which a lease is handed over even with orders under way: the
way of three messages and a write."""

RELEASE_S: Final = 1.0
"""Longest wait for giving the lease back; it also lapses by itself."""


@dataclass(frozen=True)
class _Inheritance:
    """Hold a handover that this router may act on."""

    token: int
    settled_at: float


class LeaseDuty:
    """Keep the lease with some router of the fleet that the store answers."""

    def __init__(
        self,
        lease: LeaseHolder,
        node: str,
        peers: PeerNetwork,
        rng: random.Random,
        reaches_store: Callable[[], bool],
        n_routers: Callable[[], int] = lambda: 1,
        must_settle: bool = False,
    ) -> None:
        self._lease = lease
        self._node = node
        self._peers = peers
        self._rng = rng
        self._reaches_store = reaches_store
        self._n_routers = n_routers
        self._must_settle = must_settle
        self._acted_at = -math.inf
        self._offered_at = -math.inf
        self._heard_at = -math.inf
        """When the last word of a renewal came."""
        self._said_renewal = 0
        self._interrupted = False
        self._looked_at = -math.inf
        self._inherited: _Inheritance | None = None
        self._calling: trio.CancelScope | None = None
        """Around a call about the lease that is under way."""
        self._news = trio.Event()
        """Set, and replaced, when a peer's word should end a pause."""
        self.stopping = False
        """True from the end of a shutdown on: the lease is not taken any more."""
        self.is_busy: Callable[[], bool] = lambda: False
        """Whether orders are under way whose end should be waited for."""
        for cls, handler in (
            (LeaseRenewed, self.on_lease_renewed),
            (LeaseOffer, self.on_lease_offer),
            (LeaseWish, self.on_lease_wish),
            (LeaseHandover, self.on_lease_handover),
        ):
            peers.subscribe(cls, handler)

    @property
    def token(self) -> int:
        """Fencing token of the lease as last known here."""
        return self._lease.record.token

    @property
    def is_settling(self) -> bool:
        """Whether the lease is held and an earlier holder's orders may still arrive."""
        return self._lease.state == "settling"

    def may_act(self) -> bool:
        """Return whether an order could be sent now."""
        return self._lease.may_act() and not self.stopping

    def acted(self) -> None:
        """Take note that an order is being sent."""
        self._acted_at = trio.current_time()

    @property
    def _quiet_for_s(self) -> float:
        """Time since the last order under the lease, this router's or an earlier one's.

        A router that has not acted yet still waits for orders of another.
        """
        return trio.current_time() - max(self._acted_at, self._lease.others_until)

    def lose(self) -> None:
        """Stop acting: another holder is newer."""
        self._lease.lose()

    async def run(self) -> None:
        """Keep, take or wait for the lease until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._offer_when_overdue)
            while True:
                news = self._news
                pause_s = TICK_S if self.stopping else await self._turn()
                with trio.move_on_after(pause_s):
                    await news.wait()

    async def release(self) -> None:
        """Give the lease back at a shutdown.

        A successor gives no order before the last one of this router must have
        arrived.
        """
        self.stopping = True
        if not self._lease.is_mine:
            return
        token = self.token
        if self._quiet_for_s < self._lease.terms.flight_s:
            # Free in the store, it would be taken by whoever looks, and orders of two
            # routers could meet at an engine. The heir is told how long to wait.
            self._lease.lose()
            self._tell_handover(token, self._an_heir())
            return
        try:
            with trio.move_on_after(RELEASE_S):
                await self._lease.release()
                self._tell_handover(token, self._an_heir())
        except (StoreError, LeaseLostError) as exc:
            eliot.log_message(message_type="lease:not_released", reason=str(exc))

    def _an_heir(self) -> InstanceId:
        """Return a live router; nobody when this one is alone."""
        others = [
            member.instance
            for member in self._peers.members()
            if member.presence is Presence.LIVE and member.instance != self._node
        ]
        return self._rng.choice(others) if others else NOBODY

    async def _turn(self) -> float:
        """Look after the lease once; return how long to pause."""
        inherited, self._inherited = self._inherited, None
        if not self._lease.is_mine and inherited is None:
            pause_s = self._quiet_s()
            if pause_s > 0:
                return pause_s
        self._looked_at = trio.current_time()
        try:
            with trio.CancelScope() as self._calling:
                if inherited is not None and not self._lease.is_mine:
                    await self._lease.take_over(inherited.token, inherited.settled_at)
                else:
                    await self._lease.acquire(must_settle=self._must_settle)
        except (StoreError, LeaseLostError) as exc:
            self._note_interruption(exc)
            return TICK_S if self._lease.is_mine else self._standby_s()
        self._interrupted = False
        if not self._lease.is_mine:
            return self._quiet_s() or self._standby_s()
        self._tell_renewal()
        return TICK_S

    def _note_interruption(self, exc: CorianderError) -> None:
        """Log that the lease cannot be looked at, once until it can be again."""
        if not self._interrupted:
            self._interrupted = True
            eliot.log_message(message_type="lease:interrupted", reason=str(exc))

    def _standby_s(self) -> float:
        """Return the pause between two looks at the store."""
        mean_s = STANDBY_S * max(1.0, self._n_routers() / FEW_ROUTERS)
        pause_s = mean_s * self._rng.uniform(0.7, 1.3)
        terms = self._lease.terms
        lapse_s = terms.lease_s + terms.margin_s + self._rng.uniform(0.0, SPREAD_S)
        return min(pause_s, lapse_s)

    def _quiet_s(self) -> float:
        """Return how long the renewals that were heard make looks needless.

        Once they stop, the next look is at the moment when the lease lapses.
        """
        now = trio.current_time()
        left_s = self._lease.lapses_at - now
        terms = self._lease.terms
        unheard_s = now - self._heard_at
        if left_s <= 0 or unheard_s > 2 * (terms.lease_s + terms.margin_s):
            return 0.0
        missed_s = RENEWALS_MISSED * terms.lease_s / 3
        if unheard_s < missed_s:
            return missed_s - unheard_s + self._rng.uniform(0.0, SPREAD_S)
        if self._looked_at < self._heard_at:
            return 0.0
        return left_s + self._rng.uniform(0.0, SPREAD_S)

    # What is told and heard.

    def _tell_renewal(self) -> None:
        """Tell the peers of a renewal, once for each."""
        record = self._lease.record
        if record.renewal == self._said_renewal:
            return
        self._said_renewal = record.renewal
        word = LeaseRenewed(
            self._lease.upstream,
            record.holder,
            record.token,
            record.renewal,
            self._lease.version,
        )
        self._peers.broadcast(word)

    async def on_lease_renewed(self, sender: InstanceId, word: LeaseRenewed) -> None:
        """Take a holder's word that its lease goes on."""
        if word.name != self._lease.upstream or word.holder == self._node:
            return
        known = self._lease.record
        if (word.token, word.renewal) <= (known.token, known.renewal):
            return
        record = LeaseRecord(word.token, word.holder, 0, word.renewal)
        self._lease.heard_renewal(record, word.version)
        self._heard_at = trio.current_time()
        self._peers.pass_on(word)

    async def _offer_when_overdue(self) -> None:
        """Offer the lease while the store leaves renewals unanswered."""
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            wanted = self._lease.is_overdue and now - self._offered_at >= OFFER_S
            if wanted and not self.stopping:
                self._offered_at = now
                self._peers.broadcast(LeaseOffer(self._lease.upstream, self.token))

    async def on_lease_offer(self, sender: InstanceId, offer: LeaseOffer) -> None:
        """Answer that the store answers here, if it does."""
        if offer.name == self._lease.upstream and self._reaches_store():
            if not self.stopping and not self._lease.is_mine:
                self._peers.send(sender, LeaseWish(offer.name, offer.token))

    async def on_lease_wish(self, sender: InstanceId, wish: LeaseWish) -> None:
        """Stop, and let the first router that can take the lease."""
        if wish.name != self._lease.upstream or wish.token != self.token:
            return
        if not self._lease.is_overdue:
            return
        left_s = self._lease.send_before - trio.current_time()
        if self.is_busy() and left_s > LEAST_LEFT_S:
            return
        if self._calling is not None:
            # A renewal that is answered after this must not revive the lease.
            self._calling.cancel()
        token = self.token
        self._lease.lose()
        self._tell_handover(token, sender)

    def _tell_handover(self, token: int, heir: InstanceId) -> None:
        quiet_s = min(60.0, self._quiet_for_s)
        word = LeaseHandover(self._lease.upstream, token, heir, quiet_s)
        self._peers.broadcast(word)
        eliot.log_message(
            message_type="lease:handed_over", heir=heir, token=token, quiet_s=quiet_s
        )

    async def on_lease_handover(self, sender: InstanceId, word: LeaseHandover) -> None:
        """Take the lease over, if it is this router's to take."""
        if word.name != self._lease.upstream or word.heir != self._node:
            return
        settled_at = trio.current_time()
        if self._must_settle:
            settled_at += max(0.0, self._lease.terms.flight_s - word.quiet_s)
        self._inherited = _Inheritance(word.token, settled_at)
        self._news.set()
        self._news = trio.Event()
