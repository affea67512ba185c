"""Coordinate the lease on the orders to one upstream: take, renew and hand it over.

One router holds the lease and sends all orders. It announces each renewal, so that the
other routers know without the store when the lease expires. A holder that cannot reach
the store hands the lease to a router that can: waiting for it to expire would leave the
engines without orders for the rest of the lease and the flight time of its last orders.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.lease import NO_HOLDER, LeaseLostError, LeaseRecord
from corianderlb_core.message import (
    LeaseCandidacy,
    LeaseHandover,
    LeaseOffer,
    LeaseRenewed,
)

from .interface import PeerNetwork
from .lease_holder import LeaseHolder
from .store import StoreError

TICK_S: Final = 0.1
"""Interval at which the holder checks its own lease."""

STANDBY_POLL_S: Final = 0.7
"""Mean interval between reads of the store by a router that receives no renewals. It
adds to the takeover time, since a successor starts to wait at its first read after the
last renewal."""

MAX_FULL_RATE_ROUTERS: Final = 4
"""Number of routers up to which each polls at ``STANDBY_POLL_S``. Larger fleets poll
more rarely per router, so that the total rate of store calls stays the same."""

MISSED_RENEWALS: Final = 1.7
"""Missed renewal announcements after which a router reads the store: the holder may
have renewed the lease and failed before announcing it."""

JITTER_S: Final = 0.3
"""Jitter of reads by routers that wait for the same lease to expire."""

OFFER_INTERVAL_S: Final = 0.3
"""Interval between offers to hand the lease over."""

HANDOVER_TIME_S: Final = 0.7
"""Remaining lease time below which the lease is handed over even with orders in
progress; covers three messages and a write."""

RELEASE_TIMEOUT_S: Final = 1.0
"""Timeout for releasing the lease; it also expires by itself."""


@dataclass(frozen=True)
class _Handover:
    """Handover that names this router as the successor."""

    token: int
    settled_at: float


class LeaseCoordinator:
    """Keep the lease with a router of the fleet that can reach the store."""

    def __init__(
        self,
        lease: LeaseHolder,
        node: str,
        peers: PeerNetwork,
        rng: random.Random,
        reaches_store: Callable[[], bool],
        n_routers: Callable[[], int] = lambda: 1,
        reaches_engines: Callable[[], bool] = lambda: True,
        must_await_earlier_orders: bool = False,
    ) -> None:
        self._lease = lease
        self._node = node
        self._peers = peers
        self._rng = rng
        self._reaches_store = reaches_store
        self._n_routers = n_routers
        self._reaches_engines = reaches_engines
        self._must_await_earlier_orders = must_await_earlier_orders
        self._last_order_at = -math.inf
        self._offered_at = -math.inf
        self._last_renewal_at = -math.inf
        """When the last renewal announcement was received."""
        self._announced_renewal = 0
        self._is_interrupted = False
        self._last_poll_at = -math.inf
        self._accepted_handover: _Handover | None = None
        self._store_call: trio.CancelScope | None = None
        """Cancel scope around a store call in progress."""
        self._wake_up = trio.Event()
        """Set and replaced when a peer's message should end a pause."""
        self.stopping = False
        """Set at the end of a shutdown; the lease is no longer taken."""
        self.is_busy: Callable[[], bool] = lambda: False
        """Whether orders are in progress that should complete before a handover."""
        for cls, handler in (
            (LeaseRenewed, self.on_lease_renewed),
            (LeaseOffer, self.on_lease_offer),
            (LeaseCandidacy, self.on_lease_candidacy),
            (LeaseHandover, self.on_lease_handover),
        ):
            peers.subscribe(cls, handler)

    @property
    def token(self) -> int:
        """Last known fencing token of the lease."""
        return self._lease.record.token

    @property
    def is_settling(self) -> bool:
        """Whether the lease is held but an earlier holder's orders may still arrive."""
        return self._lease.state == "settling"

    def may_act(self) -> bool:
        """Return whether an order may be sent now."""
        return self._lease.may_act() and not self.stopping

    def record_order(self) -> None:
        """Record that an order is being sent."""
        self._last_order_at = trio.current_time()

    @property
    def _since_last_order_s(self) -> float:
        """Time since the last order of this router or an earlier holder.

        A router that has sent no order yet still waits for those of an earlier holder.
        """
        return trio.current_time() - max(
            self._last_order_at, self._lease.others_send_until
        )

    def lose(self) -> None:
        """Stop sending orders: a newer holder exists."""
        self._lease.lose()

    async def run(self) -> None:
        """Renew, take or wait for the lease until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._offer_when_overdue)
            while True:
                wake_up = self._wake_up
                pause_s = TICK_S if self.stopping else await self._tick()
                with trio.move_on_after(pause_s):
                    await wake_up.wait()

    async def release(self) -> None:
        """Release the lease at shutdown.

        A successor sends no order until the last one of this router must have arrived.
        """
        self.stopping = True
        if not self._lease.is_mine:
            return
        token = self.token
        if self._since_last_order_s < self._lease.terms.flight_s:
            # A lease released in the store could be taken by any router at once, and
            # the orders of both could overlap at an engine. The handover tells the
            # successor how long to wait.
            self._lease.lose()
            self._announce_handover(token, self._pick_successor())
            return
        try:
            with trio.move_on_after(RELEASE_TIMEOUT_S):
                await self._lease.release()
                self._announce_handover(token, self._pick_successor())
        except (StoreError, LeaseLostError) as exc:
            eliot.log_message(message_type="lease:not_released", reason=str(exc))

    def _pick_successor(self) -> InstanceId:
        """Return a random live peer, or ``NO_HOLDER`` if there is none."""
        others = [
            member.instance
            for member in self._peers.members()
            if member.presence is Presence.LIVE and member.instance != self._node
        ]
        return self._rng.choice(others) if others else NO_HOLDER

    async def _tick(self) -> float:
        """Check the lease once; return the delay until the next check."""
        accepted, self._accepted_handover = self._accepted_handover, None
        if not self._lease.is_mine and not self._reaches_engines():
            # Its orders would not arrive; a peer that reaches the engines takes it.
            return TICK_S
        if not self._lease.is_mine and accepted is None:
            pause_s = self._delay_after_renewal_s()
            if pause_s > 0:
                return pause_s
        self._last_poll_at = trio.current_time()
        try:
            with trio.CancelScope() as self._store_call:
                if accepted is not None and not self._lease.is_mine:
                    await self._lease.take_over(accepted.token, accepted.settled_at)
                else:
                    await self._lease.acquire(
                        must_await_earlier_orders=self._must_await_earlier_orders
                    )
        except (StoreError, LeaseLostError) as exc:
            self._log_interruption(exc)
            return TICK_S if self._lease.is_mine else self._standby_delay_s()
        self._is_interrupted = False
        if not self._lease.is_mine:
            return self._delay_after_renewal_s() or self._standby_delay_s()
        self._announce_renewal()
        return TICK_S

    def _log_interruption(self, exc: CorianderError) -> None:
        """Log a failed store call, once until the next success."""
        if not self._is_interrupted:
            self._is_interrupted = True
            eliot.log_message(message_type="lease:interrupted", reason=str(exc))

    def _standby_delay_s(self) -> float:
        """Return the delay until the next read of the store."""
        mean_s = STANDBY_POLL_S * max(1.0, self._n_routers() / MAX_FULL_RATE_ROUTERS)
        pause_s = mean_s * self._rng.uniform(0.7, 1.3)
        terms = self._lease.terms
        expiry_s = terms.lease_s + terms.margin_s + self._rng.uniform(0.0, JITTER_S)
        return min(pause_s, expiry_s)

    def _delay_after_renewal_s(self) -> float:
        """Return the delay until the next read of the store after a received renewal.

        When renewals stop, the store is read once, and again when the lease expires.
        """
        now = trio.current_time()
        left_s = self._lease.lease_expires_at - now
        terms = self._lease.terms
        since_renewal_s = now - self._last_renewal_at
        if left_s <= 0 or since_renewal_s > 2 * (terms.lease_s + terms.margin_s):
            return 0.0
        missed_s = MISSED_RENEWALS * terms.lease_s / 3
        if since_renewal_s < missed_s:
            return missed_s - since_renewal_s + self._rng.uniform(0.0, JITTER_S)
        if self._last_poll_at < self._last_renewal_at:
            return 0.0
        return left_s + self._rng.uniform(0.0, JITTER_S)

    # Messages between routers.

    def _announce_renewal(self) -> None:
        """Announce the latest renewal to the peers, once."""
        record = self._lease.record
        if record.renewal == self._announced_renewal:
            return
        self._announced_renewal = record.renewal
        announcement = LeaseRenewed(
            self._lease.upstream,
            record.holder,
            record.token,
            record.renewal,
            self._lease.version,
        )
        self._peers.broadcast(announcement)

    async def on_lease_renewed(
        self, sender: InstanceId, announcement: LeaseRenewed
    ) -> None:
        """Record a renewal announced by the holder and forward it."""
        if (
            announcement.name != self._lease.upstream
            or announcement.holder == self._node
        ):
            return
        known = self._lease.record
        if (announcement.token, announcement.renewal) <= (known.token, known.renewal):
            return
        record = LeaseRecord(
            announcement.token, announcement.holder, 0, announcement.renewal
        )
        self._lease.merge_renewal(record, announcement.version)
        self._last_renewal_at = trio.current_time()
        self._peers.forward_update(announcement)

    async def _offer_when_overdue(self) -> None:
        """Offer the lease to the peers while the store does not answer renewals."""
        while True:
            await trio.sleep(TICK_S if self._lease.is_mine else OFFER_INTERVAL_S)
            now = trio.current_time()
            is_due = now - self._offered_at >= OFFER_INTERVAL_S
            if self._must_hand_over() and is_due and not self.stopping:
                self._offered_at = now
                self._peers.broadcast(LeaseOffer(self._lease.upstream, self.token))

    def _must_hand_over(self) -> bool:
        """Whether this holder can't renew the lease, or reaches no engine."""
        is_useless = self._lease.is_mine and not self._reaches_engines()
        return self._lease.is_overdue or is_useless

    async def on_lease_offer(self, sender: InstanceId, offer: LeaseOffer) -> None:
        """Accept the offer if this router reaches the store and the engines."""
        if offer.name != self._lease.upstream:
            return
        if self._reaches_store() and self._reaches_engines():
            if not self.stopping and not self._lease.is_mine:
                self._peers.send(sender, LeaseCandidacy(offer.name, offer.token))

    async def on_lease_candidacy(
        self, sender: InstanceId, candidacy: LeaseCandidacy
    ) -> None:
        """Stop sending orders and hand the lease to the first router that accepts."""
        if candidacy.name != self._lease.upstream or candidacy.token != self.token:
            return
        if not self._must_hand_over():
            return
        left_s = self._lease.send_before - trio.current_time()
        if self.is_busy() and left_s > HANDOVER_TIME_S:
            return
        if self._store_call is not None:
            # The response to a renewal in progress must not revive the lease.
            self._store_call.cancel()
        token = self.token
        self._lease.lose()
        self._announce_handover(token, sender)

    def _announce_handover(self, token: int, successor: InstanceId) -> None:
        quiet_s = min(60.0, self._since_last_order_s)
        announcement = LeaseHandover(self._lease.upstream, token, successor, quiet_s)
        self._peers.broadcast(announcement)
        eliot.log_message(
            message_type="lease:handed_over",
            heir=successor,
            token=token,
            quiet_s=quiet_s,
        )

    async def on_lease_handover(
        self, sender: InstanceId, announcement: LeaseHandover
    ) -> None:
        """Take the lease over if this router is the named successor."""
        if announcement.name != self._lease.upstream or announcement.heir != self._node:
            return
        settled_at = trio.current_time()
        if self._must_await_earlier_orders:
            settled_at += max(0.0, self._lease.terms.flight_s - announcement.quiet_s)
        self._accepted_handover = _Handover(announcement.token, settled_at)
        self._wake_up.set()
        self._wake_up = trio.Event()
