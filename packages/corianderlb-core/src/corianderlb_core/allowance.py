"""Enforce one router's part of an entry's limits without a remote call per request.

A router that cannot reach the entry's primary falls back on an even share of the limit.
With ``n`` live routers, of which ``k`` have fallen back while the primary serves the
others, at most ``limit * (1 + k / n)`` is granted in total, and at most the limit when
all or none of them reach the primary. A new primary does not know the grants of the old
one, so for ``valid_s`` after a change up to twice the limit can be granted. In an
interval ``T`` at most ``rate * (T + burst_s * n_primaries) + n`` requests are admitted,
where ``rate`` is the bound above and ``n_primaries`` counts the primaries of the
interval. Tokens may exceed the limit by one request for each router.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import field
from typing import Final

from .catalogue import Limits
from .data_class import dataclass
from .grant import Bucket, GrantTerms
from .identity import InstanceId
from .message import Grant, GrantRequest
from .rendezvous import rank
from .result import ResultCode

MIN_RETRY_AFTER_S: Final = 0.2
"""Minimum Retry-After for a caller over its limit."""

INITIAL_RUN_TIME_S: Final = 1.0
"""Initial estimate of the run time of a request."""

RUN_TIME_SMOOTHING: Final = 0.1
"""Weight of the newest request in the moving average of the run time."""

ONE_REQUEST: Final = 1.0 - 1e-9
"""One request, with a tolerance for rounding errors."""

MIN_RATE: Final = 0.001
"""Replaces a rate of zero in a division."""

MAX_UNANSWERED: Final = 8
"""Outstanding grant requests whose grants are still accepted."""


@dataclass
class _Demand:
    """Use and shortfall since the last grant request."""

    requests: float = 0.0
    tokens: float = 0.0
    n_short: int = 0
    short_tokens: float = 0.0


@dataclass
class Allowance:
    """This router's part of one entry's limits.

    ``reserve`` and ``release`` never block. ``request`` builds a grant request for the
    primary, and ``take_grant`` applies the grant.
    """

    entry: str
    """Formatted as ``kind/name``."""
    limits: Limits
    terms: GrantTerms
    router: InstanceId
    requests: float = 0.0
    """Requests that may still be admitted."""
    tokens: float = 0.0
    """Tokens left; negative after requests that used more than estimated."""
    leased: int = 0
    """Concurrency slots that the primary has leased to this router."""
    n_running: int = 0
    n_refused: int = 0
    used_at: float = 0.0
    """When a request of the entry last started or completed."""
    has_fallen_back: bool = False
    """Whether the even share is in use because the primary does not answer."""
    is_scarce: bool = False
    """Whether the primary granted less than was requested."""
    number: int = 0
    """Number of the newest grant request."""
    answered: int = 0
    """Number of the newest grant request that was answered."""
    _valid_until: float = 0.0
    _unanswered_since: float | None = None
    _unanswered: dict[int, float] = field(default_factory=dict)
    _demand: _Demand = field(default_factory=_Demand)
    _share: _EvenShare | None = None
    _mean_run_time_s: float = INITIAL_RUN_TIME_S
    _primary_wait_s: float = 0.0
    _n_slots_requested: int = 0
    _n_live: int = 1

    def reserve(self, tokens: float, now: float) -> ResultCode | None:
        """Take a slot and the estimated tokens, or return the refusal's code."""
        self.used_at = now
        self._update_balance(now)
        code = self._shortage(tokens, now)
        if code is not None:
            self._demand.n_short += 1
            self._demand.short_tokens += tokens
            return code
        self.n_running += 1
        self.requests -= 1.0
        self.tokens -= tokens
        self._demand.requests += 1.0
        self._demand.tokens += tokens
        return None

    def release(self, reserved: float, used: float, held_s: float, now: float) -> None:
        """Return the slot and correct the tokens to the actual use."""
        self.n_running -= 1
        self.tokens -= used - reserved
        self._demand.tokens += used - reserved
        self._mean_run_time_s += RUN_TIME_SMOOTHING * (held_s - self._mean_run_time_s)
        self.used_at = now

    def refund(self, tokens: float) -> None:
        """Undo the reservation of a request that did not run."""
        self.n_running -= 1
        self.requests += 1.0
        self.tokens += tokens
        self._demand.requests -= 1.0
        self._demand.tokens -= tokens

    def is_due(self, now: float) -> bool:
        """Return whether to send a grant request now."""
        demand = self._demand
        if demand.n_short or self.tokens < 0:
            return True
        if self._slots_to_request() < self.leased // 2 or (
            self.leased and not self._slots_to_request()
        ):
            return True
        if not self.n_running and not demand.requests:
            return False
        if now >= self._valid_until - self.terms.valid_s / 2:
            return True
        running_out = self.requests < demand.requests or self.tokens < demand.tokens
        return running_out or self.n_running >= max(1, self.leased)

    def request(self, now: float) -> GrantRequest:
        """Return a grant request and start a new period of demand.

        It requests twice the use since the last one plus the shortfall, less the
        balance.
        """
        if self._unanswered_since is None:
            self._unanswered_since = now
        self.number += 1
        self._unanswered[self.number] = now
        self._unanswered.pop(self.number - MAX_UNANSWERED, None)
        n_slots = self._slots_to_request()
        self._n_slots_requested = 0 if self.limits.concurrent is None else n_slots
        # Slots are given up before the primary receives the request, so that no slot is
        # used by two routers.
        self.leased = min(self.leased, n_slots)
        demand, self._demand = self._demand, _Demand()
        requests = 2 * demand.requests + demand.n_short - max(0.0, self.requests)
        tokens = 2 * demand.tokens + demand.short_tokens - max(0.0, self.tokens)
        return GrantRequest(
            entry=self.entry,
            requester=self.router,
            requests=max(0.0, requests),
            tokens=max(0.0, tokens),
            concurrent=n_slots,
            used_concurrent=self.n_running,
            number=self.number,
            owed_tokens=max(0.0, -self.tokens),
        )

    def take_grant(self, grant: Grant, now: float) -> None:
        """Apply a grant of the primary; duplicates are ignored.

        The validity starts when the request was sent. The primary's record of the grant
        starts later, so it never expires first, whatever the network delay. Slots are
        taken only from the answer to the newest request, since that request may have
        returned the slots that an earlier answer grants.
        """
        requested_at = self._unanswered.pop(grant.number, None)
        if requested_at is None or requested_at + grant.valid_s <= now:
            return
        self._update_balance(now)
        self.requests += grant.requests
        self.tokens += grant.tokens
        self._primary_wait_s = grant.wait_s
        self.is_scarce = grant.wait_s > 0
        if grant.number == self.number:
            # An answer to an older request does not reset the timeout. With a primary
            # whose answers always arrive after the next request, this router would
            # neither fall back nor get slots.
            self._unanswered_since = None
            self.has_fallen_back = False
            self.answered = grant.number
            # ``_n_slots_requested`` belongs to the newest request.
            self.is_scarce |= grant.concurrent < self._n_slots_requested
            self.leased = grant.concurrent
            self._valid_until = requested_at + grant.valid_s

    def check_primary(self, routers: Sequence[InstanceId], now: float) -> None:
        """Fall back on the even share if the primary has not answered in time."""
        self._n_live = max(1, len(routers))
        unanswered_since = self._unanswered_since
        if (
            unanswered_since is not None
            and now - unanswered_since >= self.terms.answer_s
        ):
            self.fall_back(routers, now)

    def fall_back(self, routers: Sequence[InstanceId], now: float) -> None:
        """Use an even share among the live routers until the primary answers again."""
        self._n_live = max(1, len(routers))
        if self._share is None or self._share.n_live != self._n_live:
            self._share = _EvenShare.of(self, routers, now)
        self.has_fallen_back = True

    def retry_after_s(self, code: ResultCode) -> float:
        """Return the expected time until there is capacity again."""
        if code is ResultCode.TOO_MANY_CONCURRENT:
            return max(
                MIN_RETRY_AFTER_S, self._mean_run_time_s / max(1, self.n_running)
            )
        if not self.has_fallen_back or self._share is None:
            return max(MIN_RETRY_AFTER_S, self._primary_wait_s)
        return max(MIN_RETRY_AFTER_S, self._share.wait_s(self))

    def _slots_to_request(self) -> int:
        """Return the slots to request, with a few spare ones if the limit allows."""
        n_needed = self.n_running + self._demand.n_short
        if not n_needed or self.limits.concurrent is None:
            return n_needed
        max_spare = self.limits.concurrent // (4 * self._n_live)
        return n_needed + min(max_spare, max(1, n_needed // 4))

    def _shortage(self, tokens: float, now: float) -> ResultCode | None:
        if (
            self.limits.concurrent is not None
            and self.n_running >= self._n_usable_slots(now)
        ):
            return ResultCode.TOO_MANY_CONCURRENT
        if self.limits.requests_per_s is not None and self.requests < ONE_REQUEST:
            return ResultCode.RATE_LIMITED
        if self.limits.tokens_per_s is not None and self._lacks_tokens(tokens):
            return ResultCode.RATE_LIMITED
        return None

    def _lacks_tokens(self, tokens: float) -> bool:
        """Return whether no tokens are left or some are owed.

        A request may use more tokens than are left, since its estimate can exceed the
        bucket of the entry; the difference is owed. Service calls use no tokens
        and pass at a balance of zero.
        """
        return self.tokens < 0.0 or (tokens > 0 and self.tokens == 0.0)

    def _n_usable_slots(self, now: float) -> int:
        leased = self.leased if now < self._valid_until else 0
        if self.has_fallen_back and self._share is not None:
            return max(leased, self._share.concurrent)
        return leased

    def _update_balance(self, now: float) -> None:
        """Refill from the even share, or drop what is left of an expired grant."""
        if self.has_fallen_back and self._share is not None:
            self._share.refill(self, now)
        elif now >= self._valid_until:
            # The rest of a grant expires. Kept, it would admit a burst on top of later
            # grants.
            self.requests = min(self.requests, 0.0)
            self.tokens = min(self.tokens, 0.0)


@dataclass
class _EvenShare:
    """Even share of the limits for a router that cannot reach the primary.

    It is kept between fallbacks. Rebuilt each time, its buckets would be full again
    after each lost answer.
    """

    n_live: int
    requests: Bucket | None
    tokens: Bucket | None
    concurrent: int

    @classmethod
    def of(
        cls, allowance: Allowance, routers: Sequence[InstanceId], now: float
    ) -> _EvenShare:
        n_live = max(1, len(routers))
        limits = allowance.limits
        burst_s = allowance.terms.burst_s
        return cls(
            n_live,
            _even_bucket(limits.requests_per_s, n_live, burst_s, now, min_level=1.0),
            _even_bucket(limits.tokens_per_s, n_live, burst_s, now, min_level=0.0),
            _even_slots(allowance.entry, allowance.router, limits.concurrent, routers),
        )

    def wait_s(self, allowance: Allowance) -> float:
        """Return the time until the share has capacity for one more request."""
        waits = [0.0]
        if self.requests is not None and allowance.requests < 1.0:
            waits.append(
                (1.0 - allowance.requests) / max(self.requests.per_s, MIN_RATE)
            )
        if self.tokens is not None and allowance.tokens <= 0.0:
            waits.append(-allowance.tokens / max(self.tokens.per_s, MIN_RATE))
        return max(waits)

    def refill(self, allowance: Allowance, now: float) -> None:
        if self.requests is not None:
            allowance.requests = _top_up(allowance.requests, self.requests, now)
        if self.tokens is not None:
            allowance.tokens = _top_up(allowance.tokens, self.tokens, now)


def _top_up(balance: float, bucket: Bucket, now: float) -> float:
    capacity = max(0.0, bucket.max_level - balance)
    return balance + bucket.take(capacity, now)


def _even_bucket(
    per_s: float | None, n_live: int, burst_s: float, now: float, min_level: float
) -> Bucket | None:
    if per_s is None:
        return None
    share = per_s / n_live
    max_level = max(min_level, share * burst_s)
    return Bucket(share, max_level, max_level, now)


def _even_slots(
    entry: str, router: InstanceId, limit: int | None, routers: Sequence[InstanceId]
) -> int:
    """Return this router's slots; the slots of all routers add up to the limit."""
    if limit is None or not routers:
        return limit or 0
    base, remainder = divmod(limit, len(routers))
    with_extra = rank(entry.encode(), routers)[:remainder]
    return base + (1 if router in with_extra else 0)
