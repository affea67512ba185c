"""Spend what one router holds of an entry's limits, without asking for each request.

A router that cannot reach the entry's home falls back on its even share of the limit.
The tolerance, with ``n`` live routers of which ``k`` have fallen back while the home
still serves the others: at most ``limit * (1 + k / n)`` is held, and the limit itself
when all reach the home or none does. A new home does not know the old one's grants, so
for ``valid_s`` after a change of home up to twice the limit can be held. Over a time
``T`` the requests let through are at most that rate times ``T``, plus ``burst_s`` of it
for each home and one request for each router; tokens overshoot by one request for each
router.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from .catalogue import Limits
from .grant import Bucket, GrantTerms
from .identity import InstanceId
from .message import Grant, GrantRequest
from .rendezvous import rank
from .result import ResultCode

MIN_RETRY_S: Final = 0.2
"""Shortest time that a caller over its limit is asked to stay away."""

FIRST_HOLD_S: Final = 1.0
"""How long a request runs, before any of the entry was seen."""

HOLD_SMOOTHING: Final = 0.1
"""Weight of the newest request in the mean time that requests run."""

ONE: Final = 1.0 - 1e-9
"""One request, less what adding up parts of it loses in rounding."""

SLOWEST: Final = 0.001
"""Stands in for a rate of zero where a time is worked out."""

MAX_UNANSWERED: Final = 8
"""Requests to the home whose answers are still taken."""


@dataclass
class _Demand:
    """Count what was spent and missed since the home was asked last."""

    requests: float = 0.0
    tokens: float = 0.0
    n_short: int = 0
    short_tokens: float = 0.0


@dataclass
class Allowance:
    """Hold this router's part of one entry's limits.

    ``reserve`` and ``release`` never wait. ``request`` says what to ask the home for,
    and ``take_grant`` takes its answer.
    """

    entry: str
    """As ``kind/name``."""
    limits: Limits
    terms: GrantTerms
    router: InstanceId
    requests: float = 0.0
    """Requests that may still be let through."""
    tokens: float = 0.0
    """Below zero after requests that used more than was estimated."""
    leased: int = 0
    """Places that the home has leased to this router."""
    n_running: int = 0
    n_refused: int = 0
    used_at: float = 0.0
    """When a request of the entry came or went last."""
    has_fallen_back: bool = False
    """Whether it spends the even share, since the home does not answer."""
    is_scarce: bool = False
    """Whether the home had less than it was asked for."""
    number: int = 0
    """Of the newest request to the home."""
    answered: int = 0
    """Number of the newest request that was answered."""
    _valid_until: float = 0.0
    _silent_since: float | None = None
    _unanswered: dict[int, float] = field(default_factory=dict)
    _demand: _Demand = field(default_factory=_Demand)
    _share: _Share | None = None
    _hold_s: float = FIRST_HOLD_S
    _home_wait_s: float = 0.0
    _asked_places: int = 0
    _n_live: int = 1

    def reserve(self, tokens: float, now: float) -> ResultCode | None:
        """Take a place and the estimated tokens; return a code when short of them."""
        self.used_at = now
        self._expire(now)
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
        """Give the place back and settle the tokens."""
        self.n_running -= 1
        self.tokens -= used - reserved
        self._demand.tokens += used - reserved
        self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
        self.used_at = now

    def refund(self, tokens: float) -> None:
        """Undo the reservation of a request that did not run."""
        self.n_running -= 1
        self.requests += 1.0
        self.tokens += tokens
        self._demand.requests -= 1.0
        self._demand.tokens -= tokens

    def is_due(self, now: float) -> bool:
        """Return whether the home should be asked now."""
        demand = self._demand
        if demand.n_short or self.tokens < 0:
            return True
        if self._wanted() < self.leased // 2 or (self.leased and not self._wanted()):
            return True
        if not self.n_running and not demand.requests:
            return False
        if now >= self._valid_until - self.terms.valid_s / 2:
            return True
        running_out = self.requests < demand.requests or self.tokens < demand.tokens
        return running_out or self.n_running >= max(1, self.leased)

    def request(self, now: float) -> GrantRequest:
        """Return what to ask the home for, as if twice as much were to come next."""
        if self._silent_since is None:
            self._silent_since = now
        self.number += 1
        self._unanswered[self.number] = now
        self._unanswered.pop(self.number - MAX_UNANSWERED, None)
        wanted = self._wanted()
        self._asked_places = 0 if self.limits.concurrent is None else wanted
        # Given back before the home hears of it, so that no place counts twice.
        self.leased = min(self.leased, wanted)
        demand, self._demand = self._demand, _Demand()
        requests = 2 * demand.requests + demand.n_short - max(0.0, self.requests)
        tokens = 2 * demand.tokens + demand.short_tokens - max(0.0, self.tokens)
        return GrantRequest(
            entry=self.entry,
            requester=self.router,
            requests=max(0.0, requests),
            tokens=max(0.0, tokens),
            concurrent=wanted,
            used_concurrent=self.n_running,
            number=self.number,
            owed_tokens=max(0.0, -self.tokens),
        )

    def take_grant(self, grant: Grant, now: float) -> None:
        """Take what the home handed out, once.

        A grant is valid from the asking on. The home's own record of it starts later,
        so it never ends before this one, however long the answer was under way. Places
        come with the answer to the newest request alone: in that request this router
        may have given back what an earlier answer brings.
        """
        asked_at = self._unanswered.pop(grant.number, None)
        if asked_at is None or asked_at + grant.valid_s <= now:
            return
        self._expire(now)
        self.requests += grant.requests
        self.tokens += grant.tokens
        self._home_wait_s = grant.wait_s
        self.is_scarce = grant.wait_s > 0
        if grant.number == self.number:
            # An answer to an older request does not end the silence: a home whose
            # answers always come after the next request would never be given up on,
            # and never be heard either.
            self._silent_since = None
            self.has_fallen_back = False
            self.answered = grant.number
            # Only the newest request's places can be compared with what was asked.
            self.is_scarce |= grant.concurrent < self._asked_places
            self.leased = grant.concurrent
            self._valid_until = asked_at + grant.valid_s

    def check_home(self, routers: Sequence[InstanceId], now: float) -> None:
        """Fall back on the even share of the live routers when the home is silent."""
        self._n_live = max(1, len(routers))
        silent_since = self._silent_since
        if silent_since is not None and now - silent_since >= self.terms.answer_s:
            self.fall_back(routers, now)

    def fall_back(self, routers: Sequence[InstanceId], now: float) -> None:
        """Spend the even share of the live routers until the home answers again."""
        self._n_live = max(1, len(routers))
        if self._share is None or self._share.n_live != self._n_live:
            self._share = _Share.of(self, routers, now)
        self.has_fallen_back = True

    def retry_after_s(self, code: ResultCode) -> float:
        """Return when there should be room again."""
        if code is ResultCode.TOO_MANY_CONCURRENT:
            return max(MIN_RETRY_S, self._hold_s / max(1, self.n_running))
        if not self.has_fallen_back or self._share is None:
            return max(MIN_RETRY_S, self._home_wait_s)
        return max(MIN_RETRY_S, self._share.wait_s(self))

    def _wanted(self) -> int:
        """Return the places to ask for; a few spare ones when the limit is roomy."""
        n_needed = self.n_running + self._demand.n_short
        if not n_needed or self.limits.concurrent is None:
            return n_needed
        most_spare = self.limits.concurrent // (4 * self._n_live)
        return n_needed + min(most_spare, max(1, n_needed // 4))

    def _shortage(self, tokens: float, now: float) -> ResultCode | None:
        if self.limits.concurrent is not None and self.n_running >= self._places(now):
            return ResultCode.TOO_MANY_CONCURRENT
        if self.limits.requests_per_s is not None and self.requests < ONE:
            return ResultCode.RATE_LIMITED
        if self.limits.tokens_per_s is not None and self._lacks_tokens(tokens):
            return ResultCode.RATE_LIMITED
        return None

    def _lacks_tokens(self, tokens: float) -> bool:
        """Return whether there are none left, or some are owed.

        One request may use more than there are, as its estimate can be above all that
        an entry ever saves up; the rest is owed. Calls of plain services use none.
        """
        return self.tokens < 0.0 or (tokens > 0 and self.tokens == 0.0)

    def _places(self, now: float) -> int:
        leased = self.leased if now < self._valid_until else 0
        if self.has_fallen_back and self._share is not None:
            return max(leased, self._share.concurrent)
        return leased

    def _expire(self, now: float) -> None:
        if self.has_fallen_back and self._share is not None:
            self._share.refill(self, now)
        elif now >= self._valid_until:
            # A chunk that was not spent in time is lost: a router that hoarded it
            # could let a burst through on top of what the home hands out later.
            self.requests = min(self.requests, 0.0)
            self.tokens = min(self.tokens, 0.0)


@dataclass
class _Share:
    """Hold the even share of a router that is cut off.

    It is kept from one fall-back to the next. With a new one each time, a router that
    loses every other answer would start with a full bucket again and again.
    """

    n_live: int
    requests: Bucket | None
    tokens: Bucket | None
    concurrent: int

    @classmethod
    def of(cls, held: Allowance, routers: Sequence[InstanceId], now: float) -> _Share:
        n_live = max(1, len(routers))
        limits = held.limits
        burst_s = held.terms.burst_s
        return cls(
            n_live,
            _even(limits.requests_per_s, n_live, burst_s, now, least=1.0),
            _even(limits.tokens_per_s, n_live, burst_s, now, least=0.0),
            _even_places(held.entry, held.router, limits.concurrent, routers),
        )

    def wait_s(self, held: Allowance) -> float:
        """Return when the share has room for one more request."""
        waits = [0.0]
        if self.requests is not None and held.requests < 1.0:
            waits.append((1.0 - held.requests) / max(self.requests.per_s, SLOWEST))
        if self.tokens is not None and held.tokens <= 0.0:
            waits.append(-held.tokens / max(self.tokens.per_s, SLOWEST))
        return max(waits)

    def refill(self, held: Allowance, now: float) -> None:
        if self.requests is not None:
            held.requests = _top_up(held.requests, self.requests, now)
        if self.tokens is not None:
            held.tokens = _top_up(held.tokens, self.tokens, now)


def _top_up(balance: float, bucket: Bucket, now: float) -> float:
    room = max(0.0, bucket.most - balance)
    return balance + bucket.take(room, now)


def _even(
    per_s: float | None, n_live: int, burst_s: float, now: float, least: float
) -> Bucket | None:
    if per_s is None:
        return None
    share = per_s / n_live
    most = max(least, share * burst_s)
    return Bucket(share, most, most, now)


def _even_places(
    entry: str, router: InstanceId, limit: int | None, routers: Sequence[InstanceId]
) -> int:
    """Return this router's part of the places; the parts sum up to the limit."""
    if limit is None or not routers:
        return limit or 0
    whole, rest = divmod(limit, len(routers))
    favoured = rank(entry.encode(), routers)[:rest]
    return whole + (1 if router in favoured else 0)
