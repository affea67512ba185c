"""Grant shares of an entry's limits to the routers, at the entry's primary router.

The primary grants chunks of requests and tokens, and leases on concurrency slots. The
other routers spend their grants locally (see ``allowance``), so that requests rarely
wait for the primary.
"""

from __future__ import annotations

import heapq
from dataclasses import field
from typing import Final

from .catalogue import Limits
from .data_class import dataclass
from .identity import InstanceId
from .message import Grant, GrantRequest

ZERO_LIMIT_WAIT_S: Final = 3600.0
"""Retry-After for a caller whose entry has a rate limit of zero."""


@dataclass(frozen=True)
class GrantTerms:
    """Parameters of grants; must be the same on all routers of a fleet."""

    valid_s: float = 3.0
    """Validity of a grant, from the time at which it was requested."""
    burst_s: float = 1.0
    """Size of the primary's buckets, in seconds of the rate."""
    answer_s: float = 0.5
    """Timeout for the primary's answer, after which a router uses its even share."""


@dataclass
class Bucket:
    """Token bucket: an amount that grows with time up to a maximum."""

    per_s: float
    max_level: float
    level: float
    refilled_at: float

    def refill(self, now: float) -> None:
        """Add the growth since the last refill."""
        grown = self.level + (now - self.refilled_at) * self.per_s
        self.level = min(self.max_level, grown)
        self.refilled_at = max(self.refilled_at, now)

    def take(self, amount: float, now: float) -> float:
        """Take at most ``amount`` and return the amount taken."""
        self.refill(now)
        taken = max(0.0, min(amount, self.level))
        self.level -= taken
        return taken


@dataclass
class _Lease:
    """Concurrency slots that one router may still be using.

    A grant of fewer slots than before can be lost, and the router then uses the earlier
    grant until it expires. So each grant counts until its own expiry, except for slots
    that the router has returned by requesting fewer.
    """

    requested: int = 0
    used: int = 0
    """Requests running at the router, which continue if their slots are reassigned."""
    grants: list[tuple[int, float]] = field(default_factory=list)
    """Slots and expiry of each unexpired grant."""

    @property
    def n_slots(self) -> int:
        held, used = (slots for slots, _ in self.grants), self.used
        return max(used, min(self.requested, max(held, default=0)))

    def expire(self, now: float) -> None:
        self.grants = [granted for granted in self.grants if granted[1] > now]

    def add(self, slots: int, expires_at: float) -> None:
        # An earlier grant matters only if it had more slots.
        larger = [(n, end) for n, end in self.grants if min(n, self.requested) > slots]
        self.grants = [*larger, (slots, expires_at)]


class PrimaryLedger:
    """Grants of the limits of one entry, kept at its primary.

    The sum of the leased slots stays within the limit, except for requests that still
    run after their lease has expired, and until earlier grants expire after the limit
    was lowered. Chunks of requests and of tokens come from one bucket each.
    """

    def __init__(self, limits: Limits, terms: GrantTerms, now: float) -> None:
        self._terms = terms
        self._leases: dict[InstanceId, _Lease] = {}
        self._expiries: list[tuple[float, InstanceId]] = []
        """Heap of the grants' expiries."""
        self._n_leased = 0
        self._n_short_routers = 0
        """Routers that requested more slots than they have."""
        self.last_request_at = now
        """Time of the last grant request; an idle ledger may be dropped."""
        self.set_limits(limits, now)

    def set_limits(self, limits: Limits, now: float) -> None:
        """Set the limits from the catalogue and reset the buckets."""
        self.limits = limits
        self._requests = _bucket(limits.requests_per_s, self._terms, now)
        self._tokens = _bucket(limits.tokens_per_s, self._terms, now)

    def grant(self, req: GrantRequest, now: float) -> Grant:
        """Return a grant for the requesting router."""
        self.last_request_at = now
        self._expire(now)
        concurrent = self._grant_slots(req, now)
        owed = self._settle_debt(req, now)
        return Grant(
            entry=req.entry,
            requests=self._chunk(self._requests, req.requests, now),
            tokens=owed + self._chunk(self._tokens, req.tokens, now),
            concurrent=concurrent,
            valid_s=self._terms.valid_s,
            number=req.number,
            wait_s=max(_wait_s(self._requests, 1.0), _wait_s(self._tokens, 1.0)),
        )

    def _settle_debt(self, req: GrantRequest, now: float) -> float:
        """Subtract the tokens that the requester owes, and return them.

        A debt kept at the requester would not limit the entry at the other routers.
        """
        if self._tokens is None:
            return 0.0
        self._tokens.refill(now)
        self._tokens.level -= req.owed_tokens
        return req.owed_tokens

    def _chunk(
        self, bucket: Bucket | None, requested_amount: float, now: float
    ) -> float:
        if bucket is None or requested_amount <= 0:
            return 0.0
        bucket.refill(now)
        # With several routers, grant at most half of the level, so that the first
        # requester does not starve the others, but one whole unit if there is one.
        share = bucket.level if len(self._leases) < 2 else bucket.level / 2
        return bucket.take(min(requested_amount, max(share, 1.0)), now)

    def _grant_slots(self, req: GrantRequest, now: float) -> int:
        lease = self._leases.setdefault(req.requester, _Lease())
        self._subtract_lease(lease)
        n = self._slots_to_grant(req)
        lease.requested = req.concurrent
        lease.used = req.used_concurrent
        expires_at = now + self._terms.valid_s
        lease.add(n, expires_at)
        self._add_lease(lease)
        heapq.heappush(self._expiries, (expires_at, req.requester))
        return n

    def _slots_to_grant(self, req: GrantRequest) -> int:
        """Return the slots for a router whose own lease has been subtracted."""
        limit = self.limits.concurrent
        if limit is None:
            return 0
        free = limit - self._n_leased
        if self._n_short_routers:
            free = min(free, max(1, limit // len(self._leases)))
        return max(0, min(req.concurrent, free))

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            holder = heapq.heappop(self._expiries)[1]
            lease = self._leases.get(holder)
            if lease is None:
                continue
            self._subtract_lease(lease)
            lease.expire(now)
            if lease.grants:
                self._add_lease(lease)
            else:
                del self._leases[holder]

    def _add_lease(self, lease: _Lease) -> None:
        """Update the totals, so that a grant need not iterate over all routers."""
        self._n_leased += lease.n_slots
        self._n_short_routers += lease.requested > lease.n_slots

    def _subtract_lease(self, lease: _Lease) -> None:
        self._n_leased -= lease.n_slots
        self._n_short_routers -= lease.requested > lease.n_slots


def _wait_s(bucket: Bucket | None, needed: float) -> float:
    if bucket is None or bucket.level >= needed:
        return 0.0
    return (needed - bucket.level) / bucket.per_s if bucket.per_s else ZERO_LIMIT_WAIT_S


def _bucket(per_s: float | None, terms: GrantTerms, now: float) -> Bucket | None:
    if per_s is None:
        return None
    max_level = max(1.0, per_s * terms.burst_s)
    return Bucket(per_s, max_level, max_level, now)
