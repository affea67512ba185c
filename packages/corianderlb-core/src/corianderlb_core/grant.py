"""Hand out an entry's limits from its home router, in chunks and leases.

One router is the home of a limited entry. It hands out chunks of the rate and the
tokens, and leases on running requests; the other routers spend what they hold (see
``allowance``), so that no request waits for the home as a rule.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Final

from .catalogue import Limits
from .identity import InstanceId
from .message import Grant, GrantRequest

NEVER_S: Final = 3600.0
"""What a caller is told whose entry has a limit of zero."""


@dataclass(frozen=True)
class GrantTerms:
    """Tune how limits are handed out; alike on all routers of a fleet."""

    valid_s: float = 3.0
    """How long a grant may be spent, from the moment it was asked for."""
    burst_s: float = 1.0
    """Seconds of the rate that an idle entry saves up at its home."""
    answer_s: float = 0.5
    """How long the home may be silent before a router falls back on its even share."""


@dataclass
class Bucket:
    """Hold an amount that grows with time up to a bound (a token bucket)."""

    per_s: float
    most: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Grow until ``now``."""
        grown = self.level + (now - self.at) * self.per_s
        self.level = min(self.most, grown)
        self.at = max(self.at, now)

    def take(self, amount: float, now: float) -> float:
        """Take up to an amount; return what there was."""
        self.refill(now)
        taken = max(0.0, min(amount, self.level))
        self.level -= taken
        return taken


@dataclass
class _Lease:
    """Hold the places of one router: all that it may still believe it has.

    An answer that takes places away can be lost, and the router then goes on with the
    earlier one until that ends. So each answer counts until its own end, but for what
    the router itself has given back by asking for less.
    """

    wanted: int = 0
    used: int = 0
    """What runs there runs on, even when the places were given to others since."""
    answers: list[tuple[int, float]] = field(default_factory=list)
    """Places and the end of each answer that has not ended."""

    @property
    def n(self) -> int:
        held, used = (places for places, _ in self.answers), self.used
        return max(used, min(self.wanted, max(held, default=0)))

    def expire(self, now: float) -> None:
        self.answers = [answer for answer in self.answers if answer[1] > now]

    def add(self, places: int, expires_at: float) -> None:
        # An earlier answer matters only while it gave more.
        larger = [(n, end) for n, end in self.answers if min(n, self.wanted) > places]
        self.answers = [*larger, (places, expires_at)]


class HomeLedger:
    """Hand out the limits of one entry, at its home.

    The sum of the leases on running requests never exceeds the limit, but for what
    runs on where a lease lapsed. Chunks of rate and tokens come out of one bucket.
    """

    def __init__(self, limits: Limits, terms: GrantTerms, now: float) -> None:
        self._terms = terms
        self._leases: dict[InstanceId, _Lease] = {}
        self._ends: list[tuple[float, InstanceId]] = []
        """Ends of the answers, soonest first."""
        self._n_leased = 0
        self._n_short = 0
        """Routers that want more places than they have."""
        self.asked_at = now
        """When a router asked last; an idle ledger may be dropped."""
        self.set_limits(limits, now)

    def set_limits(self, limits: Limits, now: float) -> None:
        """Take limits from the catalogue; what was saved up starts anew."""
        self.limits = limits
        self._requests = _bucket(limits.requests_per_s, self._terms, now)
        self._tokens = _bucket(limits.tokens_per_s, self._terms, now)

    def grant(self, req: GrantRequest, now: float) -> Grant:
        """Return a share for the router that asks."""
        self.asked_at = now
        self._expire(now)
        concurrent = self._lease(req, now)
        owed = self._settle(req, now)
        return Grant(
            entry=req.entry,
            requests=self._chunk(self._requests, req.requests, now),
            tokens=owed + self._chunk(self._tokens, req.tokens, now),
            concurrent=concurrent,
            valid_s=self._terms.valid_s,
            number=req.number,
            wait_s=max(_wait_s(self._requests, 1.0), _wait_s(self._tokens, 1.0)),
        )

    def _settle(self, req: GrantRequest, now: float) -> float:
        """Take tokens that were used already; the entry has less until they regrow.

        Kept at the router that used them, the debt would not hold the entry back at
        the others.
        """
        if self._tokens is None:
            return 0.0
        self._tokens.refill(now)
        self._tokens.level -= req.owed_tokens
        return req.owed_tokens

    def _chunk(self, bucket: Bucket | None, asked: float, now: float) -> float:
        if bucket is None or asked <= 0:
            return 0.0
        bucket.refill(now)
        # Half of what there is, so that the router that asks first does not leave
        # nothing to the others; a whole request is never split.
        share = bucket.level if len(self._leases) < 2 else bucket.level / 2
        return bucket.take(min(asked, max(share, 1.0)), now)

    def _lease(self, req: GrantRequest, now: float) -> int:
        lease = self._leases.setdefault(req.requester, _Lease())
        self._uncount(lease)
        n = self._n_concurrent(req)
        lease.wanted = req.concurrent
        lease.used = req.used_concurrent
        expires_at = now + self._terms.valid_s
        lease.add(n, expires_at)
        self._count(lease)
        heapq.heappush(self._ends, (expires_at, req.requester))
        return n

    def _n_concurrent(self, req: GrantRequest) -> int:
        """Return the places for a router whose own lease is not counted."""
        limit = self.limits.concurrent
        if limit is None:
            return 0
        free = limit - self._n_leased
        if self._n_short:
            free = min(free, max(1, limit // len(self._leases)))
        return max(0, min(req.concurrent, free))

    def _expire(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            who = heapq.heappop(self._ends)[1]
            lease = self._leases.get(who)
            if lease is None:
                continue
            self._uncount(lease)
            lease.expire(now)
            if lease.answers:
                self._count(lease)
            else:
                del self._leases[who]

    def _count(self, lease: _Lease) -> None:
        """Keep the sums up, so that a grant does not look at every router."""
        self._n_leased += lease.n
        self._n_short += lease.wanted > lease.n

    def _uncount(self, lease: _Lease) -> None:
        self._n_leased -= lease.n
        self._n_short -= lease.wanted > lease.n


def _wait_s(bucket: Bucket | None, needed: float) -> float:
    if bucket is None or bucket.level >= needed:
        return 0.0
    return (needed - bucket.level) / bucket.per_s if bucket.per_s else NEVER_S


def _bucket(per_s: float | None, terms: GrantTerms, now: float) -> Bucket | None:
    if per_s is None:
        return None
    most = max(1.0, per_s * terms.burst_s)
    return Bucket(per_s, most, most, now)
