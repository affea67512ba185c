"""Estimate how long an engine takes until it has prefilled a prompt.

Engines prefill prompts in order of arrival, so the wait is the number of tokens sent
and not yet prefilled, divided by the prefill rate. The rate is learned from the TTFT of
earlier requests.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import Final

from .data_class import dataclass
from .reported_load import ReportedLoad

INITIAL_TOKENS_PER_S: Final = 40_000.0
"""Assumed prefill rate of an engine before the first observation."""

OVERHEAD_S: Final = 0.03
"""TTFT apart from the prefill: one decoding step, the start of the request and the
network round trip."""

LEARN_RATE: Final = 0.1
"""Weight of one observation in the ratio of an engine's rate to the common rate."""

COMMON_LEARN_RATE: Final = 0.05
"""Weight of one observation in the common rate of an upstream."""

MIN_LEARN_TOKENS: Final = 500
"""Shorter prefills are dominated by the overhead and are not observed."""

MIN_TOKENS_PER_S: Final = 1_000.0
MAX_TOKENS_PER_S: Final = 1_000_000.0
"""Bounds of an observed prefill rate."""

PEER_REPORT_TTL_S: Final = 1.0
"""Age at which another router's report of its work expires."""

PEER_PREFILL_SHARE: Final = 0.5
"""Share of the prefill rate at which tokens that other routers reported are assumed to
be processed: those routers send more requests between two reports."""

INITIAL_RUN_S: Final = 1.0
"""Assumed duration of a run before the first observation."""

RUN_LEARN_RATE: Final = 0.05
"""Weight of one large run in the mean duration."""

FULL_WEIGHT_RUN_TOKENS: Final = 4_000
"""Size from which a run has full weight in that mean; smaller ones free little
memory."""


@dataclass
class _SentRequest:
    """A request that was sent to the engine and has not left it."""

    n_tokens: int
    n_ahead: float
    """Tokens queued before it when it was sent."""
    sent_at: float
    n_held: int
    """Tokens of engine memory that it occupies."""
    slowdown: float
    """Slowdown of the engine when it was sent."""


@dataclass(frozen=True, slots=True)
class PeerWork:
    """Work of another router at an engine, as it last reported."""

    n_unread: float
    n_requests: int
    n_held: float
    """Tokens of engine memory that its requests occupy."""
    at: float
    """When it was reported, by this router's clock."""


@dataclass
class _PeerSums:
    """Sums over the recent reports of other routers at one moment."""

    at: float
    n_requests: int = 0
    n_held: float = 0.0
    n_unread: float = 0.0
    token_age_s: float = 0.0
    """Sum over the unread tokens of the age of their report."""


@dataclass
class CommonEstimates:
    """Estimates that the engines of one upstream have in common.

    In a large fleet a router seldom observes any single engine. Combined, the
    observations show early when prefill slows down on all engines.
    """

    log_tokens_per_s: float = math.log(INITIAL_TOKENS_PER_S)
    run_s: float = INITIAL_RUN_S
    """Mean time for which a token of memory is held, over recent runs."""

    def record_run(self, n_held: int, took_s: float) -> None:
        """Record how long a run held its memory."""
        weight = RUN_LEARN_RATE * min(1.0, n_held / FULL_WEIGHT_RUN_TOKENS)
        self.run_s += weight * (took_s - self.run_s)


class FleetSpeed(ABC):
    """Prefill rate of one engine at a slowdown of 1, as the fleet has observed it."""

    @property
    @abstractmethod
    def tokens_per_s(self) -> float | None:
        """The rate; None if nothing is known of any engine of the upstream."""

    @abstractmethod
    def observe(self, n_tokens: float, usual_s: float, now: float) -> None:
        """Record how long the prefill of some tokens would take at a slowdown of 1."""


class PrefillEstimator:
    """Track the queued tokens and the prefill rate of one incarnation of an engine."""

    def __init__(
        self,
        slots: int,
        common: CommonEstimates | None = None,
        capacity: float = math.inf,
        speed: FleetSpeed | None = None,
        reported: ReportedLoad | None = None,
    ) -> None:
        self._speed = speed
        self._slots = max(1, slots)
        self._capacity = capacity
        self._common = common or CommonEstimates()
        self._log_relative_rate = 0.0
        """Logarithm of this engine's rate relative to the common one."""
        self._transfers_until = -math.inf
        """When the transfers to the engine that this router requested complete."""
        self._prefills: dict[str, _SentRequest] = {}
        self._running: dict[str, _SentRequest] = {}
        self.peers: dict[str, PeerWork] = {}
        """By router."""
        self.reported = reported or ReportedLoad()
        """What the engine last reported of itself."""
        self._sums: _PeerSums | None = None

    @property
    def tokens_per_s(self) -> float:
        """Learned prefill rate, at the usual slowdown if the engine reports it.

        Until the fleet has observed any engine of the upstream, it is the own estimate.
        """
        # Asked for every engine of every prompt.
        rate = self._speed.tokens_per_s if self._speed is not None else None
        if rate is not None:
            return rate / self.reported.usual_slowdown
        return math.exp(self._common.log_tokens_per_s + self._log_relative_rate)

    @property
    def is_uneven(self) -> bool:
        """Whether the rate is learned over the fleet."""
        return self._speed is not None and self._speed.tokens_per_s is not None

    @property
    def queued_tokens(self) -> int:
        """Tokens that this router sent to the engine and that are not prefilled yet."""
        return sum(prefill.n_tokens for prefill in self._prefills.values())

    @property
    def n_requests(self) -> int:
        """Requests of this router in flight at the engine."""
        return len(self._prefills) + len(self._running)

    @property
    def n_held(self) -> int:
        """Tokens of engine memory that this router's requests occupy."""
        n_held = 0
        for requests in (self._prefills, self._running):
            for request in requests.values():
                n_held += request.n_held
        return n_held

    def n_reported_requests(self, now: float) -> int:
        """Return the requests in flight at the engine from all routers, as reported."""
        if self.reported.is_told:
            n_busy = self.reported.n_busy(now)
            if n_busy is not None:
                return n_busy + self._n_sent_since(self.reported.counted_at)
        n_known = self.n_requests + self._peer_sums(now).n_requests
        if not self.reported.has_slowdown:
            return n_known
        return max(n_known, self.reported.n_busy(now) or 0)

    def _n_sent_since(self, moment: float) -> int:
        requests = (*self._prefills.values(), *self._running.values())
        return sum(request.sent_at > moment for request in requests)

    def _peer_sums(self, now: float) -> _PeerSums:
        """Return the sums over the recent reports of other routers.

        They are kept for a moment, since a choice of an engine uses them several times.
        """
        if self._sums is None or self._sums.at != now:
            self._sums = _PeerSums(now)
            for work in self.peers.values():
                age_s = now - work.at
                if age_s < PEER_REPORT_TTL_S:
                    self._sums.n_requests += work.n_requests
                    self._sums.n_held += work.n_held
                    self._sums.n_unread += work.n_unread
                    self._sums.token_age_s += work.n_unread * age_s
        return self._sums

    def sent(self, key: str, n_tokens: int, now: float, n_held: int = 0) -> None:
        """Record a request that is being sent.

        It has ``n_tokens`` to prefill and occupies ``n_held`` tokens of engine memory.
        """
        self._prefills[key] = _SentRequest(
            n_tokens,
            self._tokens_ahead(now, self.tokens_per_s),
            now,
            n_held,
            self.reported.slowdown(now),
        )

    def first_token(self, key: str, now: float) -> None:
        """Record that a request was prefilled and update the learned rate."""
        prefill = self._prefills.pop(key, None)
        if prefill is None:
            return
        self._running[key] = prefill
        n_tokens = prefill.n_tokens + prefill.n_ahead
        took_s = now - prefill.sent_at - OVERHEAD_S
        if prefill.n_tokens < MIN_LEARN_TOKENS or took_s <= 0:
            return
        if self._speed is not None and self.reported.has_slowdown:
            slowdown = (prefill.slowdown + self.reported.slowdown(now)) / 2
            # What was queued before is only estimated, so count the own share.
            own_s = took_s * prefill.n_tokens / n_tokens
            self._speed.observe(prefill.n_tokens, own_s / slowdown, now)
        observed = min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, n_tokens / took_s))
        ratio = math.log(observed / self.tokens_per_s)
        # Bound the effect of an outlier, such as a request that waited for weights to
        # load, to that of an observation that is off by a factor of two.
        step = max(-math.log(2), min(math.log(2), ratio))
        self._log_relative_rate += LEARN_RATE * step
        self._common.log_tokens_per_s += COMMON_LEARN_RATE * step

    def ended(self, key: str, now: float) -> None:
        """Record that a request left the engine."""
        self._prefills.pop(key, None)
        run = self._running.pop(key, None)
        if run is not None:
            self._common.record_run(run.n_held, now - run.sent_at)

    def wait_s(self, now: float, n_held: int = 0, own_share: float = 0.0) -> float:
        """Return the estimated wait until the prefill of a new request begins.

        ``n_held`` is the engine memory that the request occupies, in tokens. With
        ``own_share``, this router's part of all work, only what this router has sent
        counts, until it is answered, as a sample of all.
        """
        if own_share:
            prefill_s = self.prefill_time_s(self.queued_tokens / own_share, True)
            return self._stretched_s(prefill_s, now)
        n_excess = max(0, self.n_reported_requests(now) + 1 - self._slots)
        slot_s = n_excess * self._common.run_s / self._slots
        tokens_per_s = self.tokens_per_s
        prefill_s = self._tokens_ahead(now, tokens_per_s) / tokens_per_s
        prefill_s = self._stretched_s(prefill_s, now)
        return prefill_s + slot_s + self.memory_wait_s(now, n_held)

    def memory_wait_s(self, now: float, n_held: int) -> float:
        """Return how long a request waits for free memory.

        Runs hold their memory until they complete, so a full engine admits no new
        request, whatever its prefill rate.
        """
        n_all = self.n_held + self._peer_sums(now).n_held
        excess = n_all + n_held - self._capacity
        if excess <= 0 or not n_all:
            return 0.0
        return min(1.0, excess / n_all) * self._common.run_s

    def transfer_wait_s(self, now: float) -> float:
        """Return how long a new transfer waits for those before it."""
        return max(0.0, self._transfers_until - now)

    def record_transfer(self, seconds: float, now: float) -> None:
        """Record a transfer to the engine."""
        self._transfers_until = max(now, self._transfers_until) + seconds

    def prefill_time_s(self, n_tokens: float, own_only: bool = False) -> float:
        """Return how long the prefill of some tokens takes at usual speed.

        With ``own_only`` it is that of all engines, unless the fleet has learned this
        one's: what a router learns alone depends on the others' reports.
        """
        if own_only and not self.is_uneven:
            return n_tokens / math.exp(self._common.log_tokens_per_s)
        return n_tokens / self.tokens_per_s

    def start_to_token_s(
        self, wait_s: float, n_tokens: float, now: float, own_only: bool = False
    ) -> float:
        """Return the time until a prefill that begins after a wait is complete.

        A slowdown has decayed by the time that the prefill begins.
        """
        usual_s = self.prefill_time_s(n_tokens, own_only)
        return wait_s + self._stretched_s(usual_s, now, wait_s)

    def _stretched_s(self, usual_s: float, now: float, after_s: float = 0.0) -> float:
        """Return how long prefill takes if the engine reports a slowdown."""
        if not self.reported.has_slowdown:
            return usual_s
        return self.reported.stretched_s(usual_s, now + after_s)

    def merge(self, router: str, work: PeerWork) -> None:
        """Record another router's report of its work at the engine."""
        self._sums = None
        if not work.n_unread and not work.n_requests:
            self.peers.pop(router, None)
            return
        self.peers[router] = work

    def _tokens_ahead(self, now: float, tokens_per_s: float) -> float:
        n_ahead = 0.0
        for prefill in self._prefills.values():
            # Requests are prefilled in order, so subtract the part that is done by now.
            age_s = now - prefill.sent_at
            n_prefilled = max(0.0, age_s * tokens_per_s - prefill.n_ahead)
            n_ahead += max(0.0, prefill.n_tokens - n_prefilled)
        return n_ahead + self._peer_tokens_ahead(now, tokens_per_s)

    def _peer_tokens_ahead(self, now: float, tokens_per_s: float) -> float:
        """Return the queued tokens of other routers, less those prefilled since.

        The engine serves all routers at one rate, so the progress is subtracted once
        from the sum. Subtracted from each report, a long queue would appear empty.
        """
        sums = self._peer_sums(now)
        if not sums.n_unread:
            return 0.0
        mean_age_s = sums.token_age_s / sums.n_unread
        return max(0.0, sums.n_unread - mean_age_s * tokens_per_s * PEER_PREFILL_SHARE)
