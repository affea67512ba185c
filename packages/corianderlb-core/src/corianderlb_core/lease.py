"""Decide who may give orders to an upstream, from a record in the platform's store.

Routers' clocks are not compared. The holder counts its time from before it sent its
last renewal. Another router counts from when it first saw the record as it is now, so
it never finds the lease lapsed before the holder itself has stopped. Each change of
holder makes the fencing token one larger, and the record is never deleted.
"""

from __future__ import annotations

import dataclasses
import math
from dataclasses import dataclass
from typing import Final

from .error import CorianderError
from .identity import InstanceId
from .order import Order, OrderOutcome
from .result import ResultCode
from .settings import OrderSettings

MAX_DONE: Final = 8
"""Outcomes that the record keeps."""

NOBODY: Final = InstanceId("")
"""The holder of a lease that was given back."""


class LeaseLostError(CorianderError):
    """Signal that this router may not act under the lease any more."""

    code = ResultCode.LEASE_LOST


@dataclass(frozen=True)
class LeaseRecord:
    """Hold the lease as it is stored, with the order that may be under way."""

    token: int
    holder: InstanceId = NOBODY
    epoch: int = 0
    """Of the holder's life."""
    renewal: int = 0
    catalogue_version: int = 0
    """Newest version that an order was given under; nobody goes below it."""
    intent: Order | None = None
    """The order that is being given; written before its first byte is sent."""
    done: tuple[OrderOutcome, ...] = ()
    """The last orders, oldest first."""
    is_settling: bool = False
    """Whether orders of an earlier holder may still arrive. The holder may start again
    and forget that it waits for them."""

    def taken_by(self, holder: InstanceId, epoch: int, least_token: int) -> LeaseRecord:
        """Return the record after a change of holder."""
        token = max(self.token + 1, least_token)
        return dataclasses.replace(
            self, token=token, holder=holder, epoch=epoch, renewal=self.renewal + 1
        )

    def renewed(self) -> LeaseRecord:
        """Return the record with a longer life."""
        return dataclasses.replace(self, renewal=self.renewal + 1)

    def intending(self, order: Order) -> LeaseRecord:
        """Return the record that names an order before it is sent."""
        version = max(self.catalogue_version, order.catalogue_version)
        return dataclasses.replace(
            self.renewed(), intent=order, catalogue_version=version
        )

    def with_outcome(self, outcome: OrderOutcome) -> LeaseRecord:
        """Return the record after an order has ended."""
        done = (*self.done, outcome)[-MAX_DONE:]
        return dataclasses.replace(self.renewed(), intent=None, done=done)

    def released(self) -> LeaseRecord:
        """Return the record of a lease that was given back; nothing is under way."""
        return dataclasses.replace(self.renewed(), holder=NOBODY, intent=None)

    def is_of(self, holder: InstanceId, epoch: int) -> bool:
        """Return whether a life of a router holds it."""
        return self.holder == holder and self.epoch == epoch


@dataclass
class LeaseWatch:
    """Tell when somebody else's lease has lapsed, by this router's clock alone."""

    version: str = ""
    first_seen: float = -math.inf

    def see(self, version: str, now: float) -> None:
        """Take note of the record's version."""
        if version != self.version:
            self.version = version
            self.first_seen = now

    def lapses_at(self, terms: OrderSettings) -> float:
        """Return when the holder must have stopped, if nothing newer is seen."""
        return self.first_seen + terms.lease_s + terms.margin_s

    def sends_until(self, terms: OrderSettings) -> float:
        """Return when the holder must have begun to send its last order."""
        return self.first_seen + terms.lease_s - terms.send_s
