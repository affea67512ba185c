"""The default policy: the least estimated time to first token, shared caches in mind.

A handful of instances is weighed for each request: the homes of its prefixes, where to
spill from there, those that were said to hold the longest prefix, and two at random.
The estimate is the queue in front plus the pieces that are probably missing.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import ClassVar, Final

from .catalogue import ServiceClass
from .heat import HotPrefix, PrefixHeat
from .hint import CacheEvent, HintTable
from .identity import Incarnation
from .instance_load import InstanceLoad
from .kv_import import ImportOdds, saved_s
from .placement import N_CANDIDATES, N_CHOICES, PlacementPolicy, PlacementQuery
from .prefix_home import Home, HomeFinder
from .request import AttemptOutcome, Candidate, RequestFacts
from .result import ResultCode
from .settings import PlacementSettings

WEIGH_ALL: Final = 6
"""Up to this many instances are all weighed; of more only a selection."""

N_HINTED: Final = 3
"""Holders of the longest known prefix that are weighed."""

HOME_PRIOR: Final = 0.95
"""Chance that a home holds a prefix of which nothing was heard here."""

SETTLING_S: Final = 60.0
"""For so long after a change a new home is not thought to have its prompts."""

NEAR_EQUAL_S: Final = 0.004
"""Scores closer than this are equal; the estimates are no better than that."""

PRESSURE_PIECES: Final = 2.0
"""A home is busy when its queue takes longer than computing this many pieces."""

LATE_PIECES: Final = 16.0
"""A first token is late when it came this many pieces' time after it should have."""

RECOMPUTE_WEIGHT: Final = {
    ServiceClass.URGENT: 6.0,
    ServiceClass.STANDARD: 10.0,
    ServiceClass.DEFERRABLE: 20.0,
}
"""What an engine second of recomputation weighs against a second of waiting.

All other requests wait for recomputation too, and what it stores evicts their pieces.
With small weights a queue makes requests spill, the spill makes recomputation, and that
makes the queue longer. Work that may wait weighs it more.
"""


@dataclass(frozen=True)
class _Weighed:
    score: float
    load: InstanceLoad
    candidate: Candidate


@dataclass(frozen=True)
class _Finders:
    """Hold the finder of the newest set of instances and that of the one before."""

    generation: int
    newest: HomeFinder
    prefill_s_per_piece: float
    before: HomeFinder | None = None
    changed_at: float = 0.0


class DefaultPolicy(PlacementPolicy):
    """Weigh the wait against the pieces that would have to be computed again."""

    name: ClassVar = "default"

    def __init__(
        self, cfg: PlacementSettings, rng: random.Random, zone: str = ""
    ) -> None:
        super().__init__(cfg, rng, zone)
        self._hints = HintTable()
        self._heat: dict[str, PrefixHeat] = {}
        self._odds: dict[str, ImportOdds] = {}
        self._finders: dict[str, _Finders] = {}

    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return the instances with the least weighed time to first token."""
        options = self._options(query)
        self._press_busy(query, options)
        weighed = [self._weigh(query, home) for home in options]
        weighed.sort(key=lambda item: item.score)
        self._break_tie(weighed)
        return tuple(item.candidate for item in weighed[:N_CANDIDATES])

    def dispatched(self, facts: RequestFacts, candidate: Candidate, now: float) -> None:
        """Count the request's prefixes."""
        if facts.prefix_keys:
            self._heat_of(facts.upstream).observe(facts.prefix_keys, now)

    def first_token(self, facts: RequestFacts, waited_s: float, now: float) -> None:
        """Learn of a queue from how long a first token took.

        Load reports are late, some by seconds; that a home is busy shows here first.
        """
        known = self._finders.get(facts.upstream)
        if known is None or not facts.prefix_keys:
            return
        if waited_s > LATE_PIECES * known.prefill_s_per_piece:
            self._press(facts, known.newest.n_instances, now)

    def answered(
        self, facts: RequestFacts, outcome: AttemptOutcome, now: float
    ) -> None:
        """Learn from the cached tokens that the engine reported."""
        if outcome.code is not ResultCode.OK or not outcome.prompt_tokens:
            return
        n_hits = pieces_cached(facts, outcome)
        self._hints.answered(outcome.incarnation, facts.prefix_keys, n_hits, now)

    def imported(
        self, facts: RequestFacts, n_asked: int, n_imported: int, now: float
    ) -> None:
        """Learn how much the KV cache upstream had."""
        self._odds.setdefault(facts.upstream, ImportOdds()).record(
            n_asked, n_imported, now
        )

    def take_events(
        self, incarnation: Incarnation, events: Sequence[CacheEvent], now: float
    ) -> None:
        """Learn from an engine's cache events."""
        self._hints.take_events(incarnation, events, now)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what was said about a life that ended."""
        self._hints.forget(incarnation)

    def hottest(self, upstream: str, limit: int, now: float) -> tuple[HotPrefix, ...]:
        """Return the hot prefixes of an upstream, for peers."""
        return self._heat_of(upstream).hottest(limit, now)

    def hear_hot(self, upstream: str, hot: Iterable[HotPrefix], now: float) -> None:
        """Take what a peer found hot."""
        self._heat_of(upstream).hear(hot, now)

    def _heat_of(self, upstream: str) -> PrefixHeat:
        heat = self._heat.get(upstream)
        if heat is None:
            heat = self._heat[upstream] = PrefixHeat()
        return heat

    def _options(self, query: PlacementQuery) -> list[Home]:
        """Return the instances that are worth weighing."""
        instances = query.instances.instances
        homes = self._homes(query)
        found = {home.load.incarnation.instance: home for home in homes}
        if len(instances) <= WEIGH_ALL:
            others: Iterable[InstanceLoad] = instances
        else:
            others = self._hinted(query) + self.rng.sample(instances, N_CHOICES)
        for load in others:
            found.setdefault(load.incarnation.instance, Home(load, 0))
        options = [home for name, home in found.items() if name not in query.avoid]
        ready = [home for home in options if query.is_ready(home.load)]
        if ready:
            return ready
        # What was picked is excluded or has other weights: look at all the rest.
        rest = query.usable()
        ready_loads = [load for load in rest if query.is_ready(load)]
        return [Home(load, 0) for load in ready_loads or rest]

    def _homes(self, query: PlacementQuery) -> list[Home]:
        if not query.facts.prefix_keys or not query.instances.instances:
            return []
        return self._find(query, self._finders_of(query).newest)

    def _find(self, query: PlacementQuery, finder: HomeFinder) -> list[Home]:
        heat = self._heat_of(query.instances.upstream)
        n_instances = len(query.instances.instances)
        return finder.find(
            query.facts.prefix_keys,
            lambda key: heat.width(key, n_instances, query.now),
        )

    def _finders_of(self, query: PlacementQuery) -> _Finders:
        instances = query.instances
        known = self._finders.get(instances.upstream)
        if known is None or known.generation != instances.generation:
            known = _Finders(
                instances.generation,
                HomeFinder(instances),
                query.cost.prefill_s_per_piece,
                known.newest if known else None,
                query.now,
            )
            self._finders[instances.upstream] = known
        return known

    def _is_settled(self, query: PlacementQuery, home: Home) -> bool:
        """Tell whether a home can have its prompts already.

        An instance that came back empty, or that became the home because another one
        went or came, has yet to get them. Taken for held, they would be computed again
        although the KV cache upstream has them.
        """
        if not home.n_pieces:
            return True
        if query.now < home.load.born_at + SETTLING_S:
            return False
        finders = self._finders_of(query)
        if finders.before is None or query.now >= finders.changed_at + SETTLING_S:
            return True
        name = home.load.incarnation.instance
        return any(
            earlier.n_pieces and earlier.load.incarnation.instance == name
            for earlier in self._find(query, finders.before)
        )

    def _press_busy(self, query: PlacementQuery, options: Sequence[Home]) -> None:
        """Have the prompt's hot prefix widened when all its homes look busy."""
        keys = query.facts.prefix_keys
        busy_s = PRESSURE_PIECES * query.cost.prefill_s_per_piece
        waits = [
            home.load.wait_s(query.now)
            for home in options
            if keys and home.n_pieces == len(keys)
        ]
        if waits and min(waits) > busy_s:
            self._press(query.facts, len(query.instances.instances), query.now)

    def _press(self, facts: RequestFacts, n_instances: int, now: float) -> None:
        self._heat_of(facts.upstream).press(facts.prefix_keys, n_instances, now)

    def _hinted(self, query: PlacementQuery) -> list[InstanceLoad]:
        """Return holders of the longest prefix that any usable life holds."""
        found: list[InstanceLoad] = []
        for key in reversed(query.facts.prefix_keys):
            for life in self._hints.holders(key):
                load = query.instances.by_name.get(life.instance)
                if load is not None and load.incarnation == life:
                    found.append(load)
                    if len(found) >= N_HINTED:
                        return found
        return found

    def _weigh(self, query: PlacementQuery, home: Home) -> _Weighed:
        facts, load, cost = query.facts, home.load, query.cost
        hits = likely = self._expected_hits(query, home, HOME_PRIOR)
        if not self._is_settled(query, home):
            likely = self._expected_hits(query, home, 0.0)
        n_pieces = len(facts.prefix_keys)
        n_missing = n_pieces - likely
        wait_s = load.wait_s(query.now)
        n_imports, gain_s = self._import(query, n_missing)
        work_s = cost.work_s(n_missing) - gain_s
        # A home stays one while it fills: else its prompts would be scattered.
        weighed_s = min(work_s, cost.work_s(n_pieces - hits))
        score = wait_s + weighed_s * RECOMPUTE_WEIGHT[facts.service_class]
        if load.zone != self.zone:
            score += self.cfg.zone_penalty_s
        candidate = Candidate(
            incarnation=load.incarnation,
            expected_hits=round(likely),
            import_pieces=n_imports,
            estimated_ttft_s=wait_s + work_s,
            reason=_reason(home),
            work_s=work_s,
        )
        return _Weighed(score, load, candidate)

    def _import(self, query: PlacementQuery, n_missing: float) -> tuple[int, float]:
        """Return how many pieces to import, and the seconds that it saves."""
        n_imports = round(n_missing)
        odds = self._odds.setdefault(query.facts.upstream, ImportOdds())
        gain_s = saved_s(n_imports, query.cost, odds.chance(query.now))
        return (n_imports, gain_s) if gain_s > 0 else (0, 0.0)

    def _expected_hits(
        self, query: PlacementQuery, home: Home, home_prior: float
    ) -> float:
        """Return the number of leading pieces that are probably held."""
        life = home.load.incarnation
        chance, hits = 1.0, 0.0
        for depth, key in enumerate(query.facts.prefix_keys):
            prior = home_prior if depth < home.n_pieces else 0.0
            said_at = self._hints.holders(key).get(life)
            if said_at is not None:
                trust = self._hints.trust(life, said_at, query.now)
                prior = max(trust, prior / 2)
            if not prior:
                break
            # A piece is of use only with all those before it.
            chance = min(chance, prior)
            hits += chance
        return hits

    def _break_tie(self, weighed: list[_Weighed]) -> None:
        """Put the less busy of two random near-equals first.

        Routers with the same reports would otherwise all send to the same instance
        until the next report; one would notice queues that swing. Of two that are
        equally busy the better score wins, which is the one in this zone.
        """
        if len(weighed) < N_CHOICES:
            return
        bound = weighed[0].score + NEAR_EQUAL_S
        n_equal = sum(1 for item in weighed if item.score <= bound)
        if n_equal < N_CHOICES:
            return
        places = self.rng.sample(range(n_equal), N_CHOICES)
        best = min(
            places, key=lambda i: (weighed[i].load.n_outstanding(), weighed[i].score)
        )
        weighed.insert(0, weighed.pop(best))


def pieces_cached(facts: RequestFacts, outcome: AttemptOutcome) -> int:
    """Return how many whole pieces the reported cached tokens stand for.

    The last piece of a prompt is on average half full.
    """
    n_pieces = len(facts.prefix_keys)
    share = outcome.cached_tokens / outcome.prompt_tokens
    return min(n_pieces, round(share * (n_pieces + 0.5)))


def _reason(home: Home) -> str:
    if home.n_pieces:
        return f"home of the first {home.n_pieces} pieces"
    return "spill or hint"
