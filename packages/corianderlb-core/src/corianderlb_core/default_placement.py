"""The default policy: the least estimated TTFT, weighted by the cost of recomputation.

For each request it scores a few instances: the primaries of its prefixes, the spill
targets, those reported to hold the longest prefixes, and two at random. The estimate is
the queue wait plus the time to compute the pieces that are probably missing.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import ClassVar, Final

from .catalogue import ServiceClass
from .data_class import dataclass
from .hint import CacheEvent, HintTable
from .hot_prefix import HotPrefix, HotPrefixTracker
from .identity import Incarnation
from .instance_load import InstanceLoad
from .kv_import import ImportHitRate, import_gain_s
from .placement import N_CANDIDATES, N_CHOICES, PlacementPolicy, PlacementQuery
from .prefix_primaries import PrimaryFinder, RankedInstance
from .request import AttemptOutcome, Candidate, RequestFacts
from .result import ResultCode
from .settings import PlacementSettings

MAX_FULL_SCORING: Final = 6
"""Number of instances up to which all are scored; in larger sets, a selection."""

N_HINT_HOLDERS: Final = 3
"""Maximum number of instances that are scored because of hints."""

PRIMARY_HIT_PRIOR: Final = 0.95
"""Probability that a primary holds a prefix for which there is no hint."""

WARMUP_S: Final = 60.0
"""Time for which the cache of a new or restarted primary is assumed to hold only what
hints report."""

TIE_MARGIN_S: Final = 0.004
"""Scores that differ by less count as equal."""

BUSY_QUEUE_PIECES: Final = 2.0
"""A primary is busy when its queue takes longer than computing this many pieces."""

LATE_TTFT_PIECES: Final = 16.0
"""A first token is late when it is delayed by the time to compute this many pieces."""

RECOMPUTE_WEIGHT: Final = {
    ServiceClass.URGENT: 6.0,
    ServiceClass.STANDARD: 10.0,
    ServiceClass.DEFERRABLE: 20.0,
}
"""Cost of one second of recomputation, in seconds of waiting.

Recomputation delays other requests, and storing its pieces evicts theirs. With small
weights a queue causes spills, spills cause recomputation, and that lengthens the queue.
"""


@dataclass(frozen=True)
class _Scored:
    score: float
    load: InstanceLoad
    candidate: Candidate


@dataclass(frozen=True)
class _Finders:
    """The finders of the current set of instances and of the previous one."""

    generation: int
    newest: PrimaryFinder
    prefill_s_per_piece: float
    previous: PrimaryFinder | None = None
    changed_at: float = 0.0


class DefaultPolicy(PlacementPolicy):
    """Balance the queue wait against the pieces that would have to be recomputed."""

    name: ClassVar = "default"

    def __init__(
        self, cfg: PlacementSettings, rng: random.Random, zone: str = ""
    ) -> None:
        super().__init__(cfg, rng, zone)
        self._hints = HintTable()
        self._hot_prefixes: dict[str, HotPrefixTracker] = {}
        self._import_hit_rates: dict[str, ImportHitRate] = {}
        self._finders: dict[str, _Finders] = {}

    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return the instances with the lowest scores."""
        options = self._options(query)
        self._record_busy_primaries(query, options)
        scored = [self._score(query, ranked) for ranked in options]
        scored.sort(key=lambda item: item.score)
        self._break_tie(scored)
        return tuple(item.candidate for item in scored[:N_CANDIDATES])

    def dispatched(self, facts: RequestFacts, candidate: Candidate, now: float) -> None:
        """Count the request's prefixes."""
        if facts.prefix_keys:
            self._hot_prefixes_of(facts.upstream).observe(facts.prefix_keys, now)

    def first_token(self, facts: RequestFacts, waited_s: float, now: float) -> None:
        """Detect a busy primary by a late first token.

        Load reports may be seconds old, so a queue shows here first.
        """
        known = self._finders.get(facts.upstream)
        if known is None or not facts.prefix_keys:
            return
        if waited_s > LATE_TTFT_PIECES * known.prefill_s_per_piece:
            self._record_pressure(facts, known.newest.n_instances, now)

    def answered(
        self, facts: RequestFacts, outcome: AttemptOutcome, now: float
    ) -> None:
        """Update the hints from the cached tokens that the engine reported."""
        if outcome.code is not ResultCode.OK or not outcome.prompt_tokens:
            return
        n_hits = pieces_cached(facts, outcome)
        self._hints.answered(outcome.incarnation, facts.prefix_keys, n_hits, now)

    def imported(
        self, facts: RequestFacts, n_asked: int, n_imported: int, now: float
    ) -> None:
        """Record how many pieces the KV cache upstream had."""
        self._import_hit_rates.setdefault(facts.upstream, ImportHitRate()).record(
            n_asked, n_imported, now
        )

    def take_events(
        self, incarnation: Incarnation, events: Sequence[CacheEvent], now: float
    ) -> None:
        """Update the hints from an engine's cache events."""
        self._hints.take_events(incarnation, events, now)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the hints of an incarnation that ended."""
        self._hints.forget(incarnation)

    def hottest(self, upstream: str, limit: int, now: float) -> tuple[HotPrefix, ...]:
        """Return the hot prefixes of an upstream, to send to peers."""
        return self._hot_prefixes_of(upstream).hottest(limit, now)

    def merge_hot(self, upstream: str, hot: Iterable[HotPrefix], now: float) -> None:
        """Merge the hot prefixes of a peer."""
        self._hot_prefixes_of(upstream).merge(hot, now)

    def _hot_prefixes_of(self, upstream: str) -> HotPrefixTracker:
        hot_prefixes = self._hot_prefixes.get(upstream)
        if hot_prefixes is None:
            hot_prefixes = self._hot_prefixes[upstream] = HotPrefixTracker()
        return hot_prefixes

    def _options(self, query: PlacementQuery) -> list[RankedInstance]:
        """Return the instances to score."""
        instances = query.instances.instances
        ranking = self._ranking(query)
        found = {ranked.load.incarnation.instance: ranked for ranked in ranking}
        if len(instances) <= MAX_FULL_SCORING:
            others: Iterable[InstanceLoad] = instances
        else:
            others = self._hinted(query) + self.rng.sample(instances, N_CHOICES)
        for load in others:
            found.setdefault(load.incarnation.instance, RankedInstance(load, 0))
        options = [ranked for name, ranked in found.items() if name not in query.avoid]
        ready = [ranked for ranked in options if query.is_ready(ranked.load)]
        if ready:
            return ready
        # All selected instances are excluded or have other weights: use the rest.
        rest = query.usable()
        ready_loads = [load for load in rest if query.is_ready(load)]
        return [RankedInstance(load, 0) for load in ready_loads or rest]

    def _ranking(self, query: PlacementQuery) -> list[RankedInstance]:
        if not query.facts.prefix_keys or not query.instances.instances:
            return []
        return self._find(query, self._finders_of(query).newest)

    def _find(
        self, query: PlacementQuery, finder: PrimaryFinder
    ) -> list[RankedInstance]:
        hot_prefixes = self._hot_prefixes_of(query.instances.upstream)
        n_instances = len(query.instances.instances)
        return finder.find(
            query.facts.prefix_keys,
            lambda key: hot_prefixes.width(key, n_instances, query.now),
        )

    def _finders_of(self, query: PlacementQuery) -> _Finders:
        instances = query.instances
        known = self._finders.get(instances.upstream)
        if known is None or known.generation != instances.generation:
            known = _Finders(
                instances.generation,
                PrimaryFinder(instances),
                query.cost.prefill_s_per_piece,
                known.newest if known else None,
                query.now,
            )
            self._finders[instances.upstream] = known
        return known

    def _is_warm(self, query: PlacementQuery, ranked: RankedInstance) -> bool:
        """Return whether a primary can already hold its prefixes.

        An instance that restarted, or that became the primary after a change of the
        set, has not computed them yet. If assumed to be held, they would be recomputed
        instead of imported from the KV cache upstream.
        """
        if not ranked.n_pieces:
            return True
        if query.now < ranked.load.born_at + WARMUP_S:
            return False
        finders = self._finders_of(query)
        if finders.previous is None or query.now >= finders.changed_at + WARMUP_S:
            return True
        name = ranked.load.incarnation.instance
        return any(
            earlier.n_pieces and earlier.load.incarnation.instance == name
            for earlier in self._find(query, finders.previous)
        )

    def _record_busy_primaries(
        self, query: PlacementQuery, options: Sequence[RankedInstance]
    ) -> None:
        """Record pressure on the prompt's prefixes when all its primaries are busy."""
        keys = query.facts.prefix_keys
        busy_s = BUSY_QUEUE_PIECES * query.cost.prefill_s_per_piece
        waits = [
            ranked.load.wait_s(query.now)
            for ranked in options
            if keys and ranked.n_pieces == len(keys)
        ]
        if waits and min(waits) > busy_s:
            self._record_pressure(
                query.facts, len(query.instances.instances), query.now
            )

    def _record_pressure(
        self, facts: RequestFacts, n_instances: int, now: float
    ) -> None:
        self._hot_prefixes_of(facts.upstream).record_pressure(
            facts.prefix_keys, n_instances, now
        )

    def _hinted(self, query: PlacementQuery) -> list[InstanceLoad]:
        """Return hinted holders of the prompt's prefixes, longest prefix first.

        At most ``N_HINT_HOLDERS`` are returned.
        """
        found: list[InstanceLoad] = []
        for key in reversed(query.facts.prefix_keys):
            for incarnation in self._hints.holders(key):
                load = query.instances.by_name.get(incarnation.instance)
                if load is not None and load.incarnation == incarnation:
                    found.append(load)
                    if len(found) >= N_HINT_HOLDERS:
                        return found
        return found

    def _score(self, query: PlacementQuery, ranked: RankedInstance) -> _Scored:
        facts, load, cost = query.facts, ranked.load, query.cost
        n_warm_hits = n_expected_hits = self._expected_hits(
            query, ranked, PRIMARY_HIT_PRIOR
        )
        if not self._is_warm(query, ranked):
            n_expected_hits = self._expected_hits(query, ranked, 0.0)
        n_pieces = len(facts.prefix_keys)
        n_missing = n_pieces - n_expected_hits
        wait_s = load.wait_s(query.now)
        n_imports, gain_s = self._import(query, n_missing)
        work_s = cost.work_s(n_missing) - gain_s
        # A primary keeps its score while its cache fills, so that its prompts stay
        # together.
        recompute_s = min(work_s, cost.work_s(n_pieces - n_warm_hits))
        score = wait_s + recompute_s * RECOMPUTE_WEIGHT[facts.service_class]
        if load.zone != self.zone:
            score += self.cfg.zone_penalty_s
        candidate = Candidate(
            incarnation=load.incarnation,
            expected_hits=round(n_expected_hits),
            import_pieces=n_imports,
            estimated_ttft_s=wait_s + work_s,
            reason=_reason(ranked),
            work_s=work_s,
        )
        return _Scored(score, load, candidate)

    def _import(self, query: PlacementQuery, n_missing: float) -> tuple[int, float]:
        """Return how many pieces to import, and the seconds that it saves."""
        n_imports = round(n_missing)
        hit_rate = self._import_hit_rates.setdefault(
            query.facts.upstream, ImportHitRate()
        )
        gain_s = import_gain_s(n_imports, query.cost, hit_rate.chance(query.now))
        return (n_imports, gain_s) if gain_s > 0 else (0, 0.0)

    def _expected_hits(
        self, query: PlacementQuery, ranked: RankedInstance, primary_prior: float
    ) -> float:
        """Return the number of leading pieces that are probably held."""
        incarnation = ranked.load.incarnation
        chance, hits = 1.0, 0.0
        for depth, key in enumerate(query.facts.prefix_keys):
            probability = primary_prior if depth < ranked.n_pieces else 0.0
            reported_at = self._hints.holders(key).get(incarnation)
            if reported_at is not None:
                confidence = self._hints.confidence(incarnation, reported_at, query.now)
                probability = max(confidence, probability / 2)
            if not probability:
                break
            # A piece is usable only if all pieces before it are held.
            chance = min(chance, probability)
            hits += chance
        return hits

    def _break_tie(self, scored: list[_Scored]) -> None:
        """Move the less loaded of two random near-equal instances to the front.

        Routers with the same reports would otherwise all send to the same instance
        until the next report, and queues would oscillate. At equal load the better
        score wins, which prefers this zone.
        """
        if len(scored) < N_CHOICES:
            return
        bound = scored[0].score + TIE_MARGIN_S
        n_equal = sum(1 for item in scored if item.score <= bound)
        if n_equal < N_CHOICES:
            return
        picked = self.rng.sample(range(n_equal), N_CHOICES)
        best = min(
            picked, key=lambda i: (scored[i].load.n_outstanding(), scored[i].score)
        )
        scored.insert(0, scored.pop(best))


def pieces_cached(facts: RequestFacts, outcome: AttemptOutcome) -> int:
    """Return how many whole pieces the reported cached tokens amount to.

    The last piece of a prompt is on average half full.
    """
    n_pieces = len(facts.prefix_keys)
    share = outcome.cached_tokens / outcome.prompt_tokens
    return min(n_pieces, round(share * (n_pieces + 0.5)))


def _reason(ranked: RankedInstance) -> str:
    if ranked.n_pieces:
        return f"home of the first {ranked.n_pieces} pieces"
    return "spill or hint"
