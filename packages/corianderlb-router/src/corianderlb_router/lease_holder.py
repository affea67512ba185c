"""Hold a lease on sending orders, stored in the platform's object store."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import eliot
import trio

from corianderlb_core.chart import LifeCycle
from corianderlb_core.codec import DecodeError, from_cbor, to_cbor
from corianderlb_core.identity import InstanceId
from corianderlb_core.lease import (
    NO_HOLDER,
    LeaseLostError,
    LeaseRecord,
    LeaseWatch,
)
from corianderlb_core.order_record import Order, OrderOutcome
from corianderlb_core.settings import OrderSettings

from .store import (
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreUnavailableError,
    StoreUnknownError,
)

if TYPE_CHECKING:
    from corianderlb_core.status import LeaseStatus

OVERDUE_S: Final = 0.4
"""Delay after which a due renewal counts as unanswered; far above the usual response
time of the store."""

LEASE_PREFIX: Final = "leases/orders/"
"""Key prefix of the leases in the store."""

UNREADABLE_HOLDER: Final = InstanceId("(unreadable)")
"""Holder of a lease whose record cannot be decoded; never the name of a router."""


class LeaseHolder:
    """Acquire, renew and release one lease, and report at any time whether it is held.

    A router can be paused at any line, so an earlier check proves nothing:
    ``send_before`` is compared with the clock where the bytes are written to the
    socket.

    With ``replaces_unreadable``, a record that cannot be decoded counts as the lease of
    an unknown router: it is taken over once it has stayed unchanged for the duration of
    a lease. Its fencing token is taken to be the revision of its last change, which no
    earlier token reaches, since each was written with a change of its own. Only for
    leases whose records carry no orders, as these would be lost.
    """

    def __init__(
        self,
        store: ObjectStore,
        upstream: str,
        router: InstanceId,
        epoch: int,
        terms: OrderSettings | None = None,
        *,
        replaces_unreadable: bool = False,
    ) -> None:
        self.terms = terms or OrderSettings()
        self._replaces_unreadable = replaces_unreadable
        self.upstream = upstream
        self._store = store
        self._key = LEASE_PREFIX + upstream
        self._router = router
        self._epoch = epoch
        self._cycle = LifeCycle("lease")
        self._watch = LeaseWatch()
        self._record = LeaseRecord(0)
        self._version: str | None = None
        self._valid_until = float("-inf")
        self._settled_at = 0.0
        self._others_send_until = float("-inf")
        self._own_token = 0
        """Token under which this process last held the lease."""

    @property
    def state(self) -> str:
        """State of the lease at this router."""
        return self._cycle.state

    @property
    def record(self) -> LeaseRecord:
        """Record as last read or written by this router."""
        return self._record

    @property
    def send_before(self) -> float:
        """Time, on this router's clock, after which no byte of an order may be sent.

        An order sent later could reach the engine after the next holder's first one.
        """
        return self._valid_until - self.terms.send_s

    def may_act(self) -> bool:
        """Return whether an order may be sent now."""
        return self.state == "held" and trio.current_time() < self.send_before

    def status(self) -> LeaseStatus:
        """Return the lease status shown to operators."""
        # Loaded here since only operators' queries need it, not the start.
        from corianderlb_core.status import LeaseStatus

        is_own = self._record.is_held_by(self._router, self._epoch)
        remaining_s = self._valid_until - trio.current_time() if is_own else 0.0
        return LeaseStatus(
            name=f"orders/{self.upstream}",
            holder=self._record.holder,
            fencing_token=self._record.token,
            remaining_s=max(0.0, remaining_s),
        )

    async def acquire(
        self, must_await_earlier_orders: bool, min_token: int = 1
    ) -> bool:
        """Read the lease, take it if it is free, and return ``may_act``.

        With ``must_await_earlier_orders``, a router that takes over an expired lease
        waits until the last order of the earlier holder must have arrived: an engine
        that ignores fencing tokens would accept it even after a newer order.
        """
        now = trio.current_time()
        if self.state == "settling" and now >= self._settled_at:
            self._send_event("settled")
        if self.state in ("held", "settling") and now < self._valid_until:
            await self.renew_if_due()
            return self.may_act()
        self._send_event("lose")
        stored = await self._read()
        if stored is not None and not self._is_free(stored, now):
            self._send_event("see_other")
            return False
        others_send_until = self._latest_send_by_others(now)
        settled_at = (
            others_send_until + self.terms.flight_s
            if must_await_earlier_orders
            else now
        )
        if self._record.is_held_by(self._router, self._epoch):
            # The earlier orders came from this router. Engines reject late ones by
            # their order count, so wait only for those of a holder before it.
            must_settle = self._record.is_settling
            settled_at = max(now, settled_at) if must_settle else now
        await self._take(stored, min_token, settled_at)
        self._start_holding(settled_at, others_send_until)
        return self.may_act()

    def _latest_send_by_others(self, now: float) -> float:
        """Return the time until which other holders may send orders.

        It is derived from the record just read.
        """
        record = self._record
        if record.holder == NO_HOLDER:
            return now - self.terms.flight_s
        if not record.is_held_by(self._router, self._epoch):
            return self._watch.last_send_at(self.terms)
        # The orders of an earlier incarnation of this router are unknown here.
        return self._others_send_until if record.token == self._own_token else now

    async def take_over(self, token: int, settled_at: float) -> bool:
        """Take the lease after an announced handover; return ``may_act``.

        ``settled_at`` is when the last order of the previous holder must have arrived.
        Return False and take nothing when another router was first.
        """
        stored = await self._read()
        if stored is None or self._record.token != token:
            return False
        await self._take(stored, token + 1, settled_at)
        self._start_holding(settled_at, settled_at - self.terms.flight_s)
        return self.may_act()

    def _start_holding(self, settled_at: float, others_send_until: float) -> None:
        """Enter the held state, or the settling state until ``settled_at``."""
        self._send_event("see_other")
        must_settle = settled_at > trio.current_time()
        self._send_event("take_lapsed" if must_settle else "take_free")
        self._settled_at = settled_at
        self._others_send_until = others_send_until
        self._own_token = self._record.token

    @property
    def is_mine(self) -> bool:
        """Whether this router holds the lease, including while settling."""
        return self.state in ("held", "settling")

    @property
    def is_overdue(self) -> bool:
        """Whether a renewal has been unanswered for too long."""
        left_s = self._valid_until - trio.current_time()
        return self.is_mine and left_s < self.terms.lease_s * 2 / 3 - OVERDUE_S

    @property
    def others_send_until(self) -> float:
        """Latest time at which another holder or incarnation may have sent an order."""
        return self._others_send_until

    @property
    def lease_expires_at(self) -> float:
        """When another router's lease expires if it is not renewed."""
        return self._watch.lease_expires_at(self.terms)

    @property
    def version(self) -> str:
        """Version of the record in the store as last written by this router."""
        return self._version or ""

    def merge_renewal(self, record: LeaseRecord, version: str) -> None:
        """Record a renewal announced by the holder."""
        newer = (record.token, record.renewal) > (
            self._record.token,
            self._record.renewal,
        )
        if newer and not self.is_mine:
            self._record = record
            self._watch.see(version, trio.current_time())

    async def renew_if_due(self) -> None:
        """Renew the lease when a third of its duration has passed."""
        left_s = self._valid_until - trio.current_time()
        if left_s < self.terms.lease_s * 2 / 3:
            await self._write(LeaseRecord.renewed)

    async def record_intent(self, order: Order) -> None:
        """Store an order before it is sent; the write also renews the lease."""
        await self._write(lambda record: record.intending(order))

    async def record_outcome(self, outcome: OrderOutcome) -> None:
        """Store the outcome of an order."""
        await self._write(lambda record: record.with_outcome(outcome))

    async def release(self) -> None:
        """Release the lease, so that the next holder need not wait."""
        if self.state in ("held", "settling"):
            await self._write(LeaseRecord.released)
            self._valid_until = float("-inf")
        self._send_event("release")

    def lose(self) -> None:
        """Stop sending orders: a newer holder exists."""
        self._valid_until = float("-inf")
        self._send_event("lose")

    def _is_free(self, stored: StoredObject, now: float) -> bool:
        if self._record.holder == NO_HOLDER:
            return True
        if self._record.is_held_by(self._router, self._epoch):
            return True
        self._watch.see(stored.version, now)
        return now >= self._watch.lease_expires_at(self.terms)

    async def _take(
        self, stored: StoredObject | None, min_token: int, settled_at: float
    ) -> None:
        record = self._record.taken_by(self._router, self._epoch, min_token)
        is_settling = settled_at > trio.current_time()
        record = dataclasses.replace(record, is_settling=is_settling)
        data = to_cbor(record)
        started_at = trio.current_time()
        try:
            known = stored.version if stored else None
            version = await self._store.write(self._key, data, known)
        except StoreConflictError as exc:
            raise LeaseLostError(
                f"{self._key}: another router took the lease first"
            ) from exc
        self._apply_write(record, version, started_at)

    async def _write(self, change: Callable[[LeaseRecord], LeaseRecord]) -> None:
        """Replace the record; the lease duration counts from the start of the write."""
        record = change(self._record)
        if record.is_settling and trio.current_time() >= self._settled_at:
            record = dataclasses.replace(record, is_settling=False)
        started_at = trio.current_time()
        assert self._version is not None
        try:
            version = await self._store.update(
                self._key, to_cbor(record), self._version
            )
        except (StoreConflictError, StoreUnknownError):
            version = await self._resolve_write(record)
        self._apply_write(record, version, started_at)

    async def _resolve_write(self, desired: LeaseRecord) -> str:
        """Read the record back after a write with unknown effect.

        A conflict can be caused by an earlier write of this router that arrived late.
        """
        stored = await self._read()
        if stored is not None and self._record == desired:
            return stored.version
        is_own = self._record.is_held_by(self._router, self._epoch)
        if stored is None or not is_own or self._record.token != desired.token:
            self.lose()
            raise LeaseLostError(f"{self._key}: another router holds the lease now")
        return await self._store.update(self._key, to_cbor(desired), stored.version)

    async def _read(self) -> StoredObject | None:
        stored = await self._store.get(self._key)
        if stored is None:
            self._record = LeaseRecord(0)
            return None
        try:
            self._record = from_cbor(LeaseRecord, stored.value)
        except DecodeError as exc:
            if not self._replaces_unreadable:
                raise StoreUnavailableError(
                    f"{self._key} cannot be decoded ({exc}); no orders are sent until "
                    "an operator repairs it, since its fencing token must not be lost"
                ) from exc
            self._record = self._unreadable_record(stored, str(exc))
        return stored

    def _unreadable_record(self, stored: StoredObject, reason: str) -> LeaseRecord:
        """Return the record that stands for one that cannot be decoded."""
        known = self._record
        record = LeaseRecord(max(known.token, stored.revision), UNREADABLE_HOLDER)
        if record != known:
            eliot.log_message(
                message_type="lease:unreadable",
                upstream=self.upstream,
                token=record.token,
                reason=reason,
            )
        return record

    def _apply_write(
        self, record: LeaseRecord, version: str, started_at: float
    ) -> None:
        self._record = record
        self._version = version
        self._valid_until = started_at + self.terms.lease_s

    def _send_event(self, event: str) -> None:
        if self._cycle.send(event):
            eliot.log_message(
                message_type="lease:state",
                upstream=self.upstream,
                state=self.state,
                token=self._record.token,
            )
