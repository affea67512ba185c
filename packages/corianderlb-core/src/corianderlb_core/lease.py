"""Lease of the router that may send orders to an upstream, as a record in the store.

The protocol does not compare the clocks of routers. The holder measures the lease from
before it sent its last renewal; other routers measure it from when they first read the
current version of the record. So the lease never expires for another router before the
holder has stopped. Each change of holder increments the fencing token, and the record
is never deleted.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Final

from .data_class import dataclass
from .error import CorianderError
from .identity import InstanceId
from .order_record import Order, OrderOutcome
from .result import ResultCode
from .settings import OrderSettings

MAX_DONE: Final = 8
"""Maximum number of outcomes kept in the record."""

NO_HOLDER: Final = InstanceId("")
"""Holder of a released lease."""


class LeaseLostError(CorianderError):
    """This router no longer holds the lease."""

    code = ResultCode.LEASE_LOST


@dataclass(frozen=True)
class LeaseRecord:
    """The lease as stored, with the order that may be in progress."""

    token: int
    holder: InstanceId = NO_HOLDER
    epoch: int = 0
    """Epoch of the holder's incarnation."""
    renewal: int = 0
    catalogue_version: int = 0
    """Newest catalogue version of any order; later orders never use an older one."""
    intent: Order | None = None
    """The order in progress; stored before its first byte is sent."""
    done: tuple[OrderOutcome, ...] = ()
    """Outcomes of the last orders, oldest first."""
    is_settling: bool = False
    """Whether orders of an earlier holder may still arrive. Stored, because the holder
    may restart while it waits for them."""

    def taken_by(self, holder: InstanceId, epoch: int, min_token: int) -> LeaseRecord:
        """Return the record after a change of holder.

        The token is at least ``min_token``, so that the caller can exceed the tokens
        that engines have reported.
        """
        token = max(self.token + 1, min_token)
        return dataclasses.replace(
            self, token=token, holder=holder, epoch=epoch, renewal=self.renewal + 1
        )

    def renewed(self) -> LeaseRecord:
        """Return the record with the lease renewed."""
        return dataclasses.replace(self, renewal=self.renewal + 1)

    def intending(self, order: Order) -> LeaseRecord:
        """Return the record to store before an order is sent."""
        version = max(self.catalogue_version, order.catalogue_version)
        return dataclasses.replace(
            self.renewed(), intent=order, catalogue_version=version
        )

    def with_outcome(self, outcome: OrderOutcome) -> LeaseRecord:
        """Return the record after an order has completed or failed."""
        done = (*self.done, outcome)[-MAX_DONE:]
        return dataclasses.replace(self.renewed(), intent=None, done=done)

    def released(self) -> LeaseRecord:
        """Return the record of a released lease, without an order in progress."""
        return dataclasses.replace(self.renewed(), holder=NO_HOLDER, intent=None)

    def is_held_by(self, holder: InstanceId, epoch: int) -> bool:
        """Return whether this incarnation of a router holds the lease."""
        return self.holder == holder and self.epoch == epoch


@dataclass
class LeaseWatch:
    """Watch for the expiry of another router's lease, on this router's clock."""

    version: str = ""
    first_seen_at: float = -math.inf

    def see(self, version: str, now: float) -> None:
        """Record the version of the stored record."""
        if version != self.version:
            self.version = version
            self.first_seen_at = now

    def lease_expires_at(self, terms: OrderSettings) -> float:
        """Return when the holder must have stopped, unless it renews the lease."""
        return self.first_seen_at + terms.lease_s + terms.margin_s

    def last_send_at(self, terms: OrderSettings) -> float:
        """Return the latest time at which the holder starts to send an order.

        Sending and the answer take up to ``send_s`` and must fit into the lease.
        """
        return self.first_seen_at + terms.lease_s - terms.send_s
