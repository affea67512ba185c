"""Choose the engine for a prompt, or report that none can prefill it in time.

The choice minimises the estimated TTFT, plus the cost of recomputing shared parts, plus
penalties for outdated weights and for another availability zone.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from functools import cached_property
from typing import Final, TypeVar

from .data_class import dataclass
from .forwarding import ForwardInstance, Prompt, PromptPart
from .part_index import NO_COVERAGE, Coverage, IncarnationKey, PartIndex
from .prefill_estimate import OVERHEAD_S, PrefillEstimator
from .queue_level import choose_below_level
from .reading_once import is_safer_stored
from .rendezvous import rank, seed, seeded_weight

T = TypeVar("T")

RECOMPUTE_WEIGHT: Final = 2.0
"""Cost of one second of recomputing shared parts, in seconds of waiting. Recomputation
delays all other requests of the engine."""

DEFAULT_FETCH_S_PER_TOKEN: Final = 2.5e-6
"""Default time to transfer a cached token, used when the configuration sets none."""

CROSS_ZONE_TRANSFER_FACTOR: Final = 2.0
"""How much longer a transfer between availability zones takes."""

OUTDATED_WEIGHTS_PENALTY_S: Final = 0.4
"""Penalty for an engine whose weights are outdated, in seconds of TTFT."""

OUTDATED_WEIGHTS_GRACE_S: Final = 1.3
"""Time from the announcement of newer weights to the estimated first token, from which
the penalty applies. It is below the 1.5 s for which callers accept answers of the
replaced weights."""

WEIGHTS_LIMIT_MARGIN_S: Final = 2.0
"""Margin subtracted from ``weights_limit_s``. It covers the prefill, which the check
leaves out, and errors of the estimated wait."""

OTHER_ZONE_PENALTY_S: Final = 0.01
"""Penalty for an engine in another availability zone: latency and transfer charges."""

TIE_MARGIN_S: Final = 0.02
"""Costs that differ by less count as equal. Rendezvous hashing then decides, so that
routers without shared state send the same shared parts to one engine."""

POSSIBLE_HOLDER_CHANCE: Final = 0.5
"""Chance that an engine holds parts that it was prefilling when last heard of, or may
have evicted since."""

UNKNOWN_STORE_CHANCE: Final = 0.25
"""Chance that the KV cache store holds parts that are not known to be saved there."""

HOME_CHANCE: Final = 0.3
"""Chance that the home of parts holds them while no holder is known."""

N_SAMPLED: Final = 5
"""Number of engines sampled at random for one request. Also evaluated are the primary
of its parts and up to ``N_SAMPLED`` engines that hold parts of the prompt. Load reports
of other routers are a third of a second old in a large fleet. When each router
evaluated all engines, requests of every router met within 70 ms at one that had just
loaded its weights; of 50 engines, one request in ten evaluates a given one."""

N_SAMPLED_BY_RATE: Final = 2
"""Number of engines sampled in proportion to their rates, where these are known over
the fleet. With more, the routers meet at those that old reports show as idle: of 63
routers before 30 engines at a third of their capacity, 30 made the 95th percentile of
the TTFT several times as long as 2."""

N_SAMPLED_TO_LEVEL: Final = 2
"""Number of engines sampled, and of holders of parts, where queues are kept level."""

URGENT_SHARE: Final = 1 / 8
"""Share of an engine's places that may be left to the most urgent requests. Less urgent
ones run for seconds, so a full engine begins an urgent one too late."""

MAX_TTFT_SHARE: Final = 0.8
"""Share of the objective that the estimated TTFT may take; half of the estimates are
exceeded. With two of five engines gone and half as much again to prefill as the rest
could, 0.75 here and 0.25 below served 83% of the worth, 1.15 and 0.5 served 78%, and no
bound 64%."""

MAX_QUEUE_WAIT_SHARE: Final = 0.3
"""Share of the objective that any request may wait in the engine's queue, however long
its prefill takes. Without it, large prompts would always be refused."""


@dataclass(frozen=True)
class EngineView:
    """State of one engine as seen by this router."""

    instance: ForwardInstance
    estimator: PrefillEstimator
    weights_version: int
    """Version that the engine is believed to have; 0 when unknown."""
    replaced_at: float = math.inf
    """Router's clock when a newer version was announced; infinite for the newest."""

    @cached_property
    def node_seed(self) -> int:
        """Seed of the engine's weights in rendezvous hashing."""
        return seed(self.instance.instance)


@dataclass(frozen=True)
class EngineQuery:
    """A prompt to place, with its limits and the sources of cached parts."""

    prompt: Prompt
    isolation_key: str
    """Name of the client account if it is isolated, else empty."""
    objective_left_s: float
    kv_capacity: int
    kv_cache_address: str = ""
    kv_cache_zone: str = ""
    transfer_s_per_token: float = DEFAULT_FETCH_S_PER_TOKEN
    """Time to transfer a cached token within an availability zone."""
    zone: str = ""
    """The router's own availability zone."""
    now: float = 0.0
    weights_limit_s: float = math.inf
    """Age of replaced weights from which no answer may begin on them."""
    reads_once: bool = False
    """Whether a fetched token costs a small part of one that is prefilled
    (``reading_once.applies``)."""
    own_share: float = 0.0
    """This router's part of all work, if the work that other routers reported at the
    engines is left out and the own taken as a sample of all; 0 to go by reports. Where
    all routers together are held to a rate, queues last less long than reports take,
    which only make them meet at the engines that were idle."""
    unseen_s: float = 0.0
    """Mean time that an engine takes for what is sent to it between two reports; 0 to
    choose the engine that seems to begin first."""
    leaves_places: bool = False
    """Whether some of each engine's places are left to more urgent requests."""
    passed_over: frozenset[IncarnationKey] = frozenset()
    """Engines that take a request only if they hold parts of its prompt."""
    primary_only: frozenset[IncarnationKey] = frozenset()
    """Engines that take one also as the primary of its parts."""

    def scope(self, version: int) -> str:
        """Return the scope in which engines with a weights version share parts."""
        return f"{self.prompt.model}.{version}.{self.isolation_key}"


@dataclass(frozen=True)
class EngineChoice:
    """The chosen engine, with the estimates and the source of cached parts."""

    view: EngineView
    scope: str
    wait_s: float
    """Estimated wait until its prefill begins."""
    estimated_ttft_s: float
    """Estimated time to its first token."""
    n_missing: int
    """Tokens to prefill."""
    fetch_from: str
    """Address to fetch cached parts from; empty for none."""
    in_time: bool
    """Whether the first token is expected within the objective."""
    is_first_prefill: bool = False
    """Whether it prefills shared parts, and no other engine with the same weights
    version is known to hold or to be prefilling more of them."""
    n_held: int = 0
    """Tokens of engine memory that the request occupies."""
    transfer_s: float = 0.0
    """Time for which its transfer occupies the engine's link."""
    is_held_whole: bool = False
    """Whether some engine with the same weights version is known to hold, or to be
    prefilling, all shared parts."""
    told_parts: tuple[PromptPart, ...] = ()
    """Shared parts whose reads are told to all routers, not only to the linked ones."""
    has_room: bool = True
    """Whether the engine may be sent it without the risk that all routers together fill
    more than its memory."""


def choose_engine(
    query: EngineQuery,
    views: Sequence[EngineView],
    index: PartIndex,
    rng: random.Random | None = None,
    other_sources: Sequence[EngineView] = (),
) -> EngineChoice | None:
    """Return the best engine for a prompt, or None when there is none.

    With ``rng``, only a sample of the engines is evaluated when there are many.
    ``other_sources`` take no requests now, but others can fetch cached parts from them.
    """
    if query.weights_limit_s < math.inf:
        views = [
            view
            for view in views
            if view.replaced_at == math.inf or _is_fresh_enough(query, view)
        ]
    if not views:
        return None
    parts = [(part.part_id, part.n_tokens) for part in query.prompt.shared_parts]
    part_ids = [part_id for part_id, _ in parts]
    holdings = _holdings(query, [*views, *other_sources], index, parts)
    home = _home(query, views, holdings, part_ids)
    if query.passed_over or query.primary_only:
        views = _without_passed_over(query, views, holdings, part_ids)
    sampled = views
    if rng is not None and len(views) > N_SAMPLED:
        sampled = _shortlist(query, views, holdings, home, part_ids, rng)

    by_version: dict[int, _VersionHolders] = {}

    def evaluate(view: EngineView) -> tuple[float, EngineChoice]:
        version = view.weights_version
        holders = by_version.get(version)
        if holders is None:
            scope = query.scope(version)
            holders = by_version[version] = _VersionHolders(
                scope,
                bool(query.kv_cache_address)
                and index.is_saved(scope, part_ids, query.reads_once),
                [held for held in holdings.values() if held.version == version],
                query.reads_once,
            )
        return _evaluate(query, view, holdings, home, holders)

    evaluated = [evaluate(view) for view in sampled]
    if rng is not None and not any(choice.in_time for _, choice in evaluated):
        if len(sampled) < N_SAMPLED < len(views):
            # Few were sampled; another one may be in time.
            evaluated += [evaluate(view) for view in rng.sample(views, N_SAMPLED)]
    if rng is not None and query.unseen_s > TIE_MARGIN_S:
        return _choose_below_level(query, evaluated, rng)
    best_cost = min(cost for cost, _ in evaluated)
    near_best = {
        choice.view.instance.instance: choice
        for cost, choice in evaluated
        if cost <= best_cost + TIE_MARGIN_S
    }
    if len(near_best) == 1 or not part_ids or query.own_share:
        return min(evaluated, key=lambda pair: pair[0])[1]
    return near_best[rank(_rendezvous_key(query, part_ids), near_best)[0]]


def _choose_below_level(
    query: EngineQuery,
    evaluated: Sequence[tuple[float, EngineChoice]],
    rng: random.Random,
) -> EngineChoice:
    """Return an engine so that all routers together keep the engines' queues level."""
    costs = [cost for cost, _ in evaluated]
    return evaluated[choose_below_level(costs, query.unseen_s, rng)][1]


def _is_fresh_enough(query: EngineQuery, view: EngineView) -> bool:
    """Return whether an answer may still begin on an engine's weights.

    Callers reject answers that begin on outdated weights after the limit.
    """
    starts_in_s = view.estimator.wait_s(query.now) + OVERHEAD_S + WEIGHTS_LIMIT_MARGIN_S
    return query.now + starts_in_s - view.replaced_at < query.weights_limit_s


@dataclass(frozen=True)
class _Holding:
    """What one engine holds, or is prefilling, of the prompt."""

    view: EngineView
    coverage: Coverage

    @property
    def version(self) -> int:
        """Weights version for which it holds them."""
        return self.view.weights_version


class _VersionHolders:
    """Engines that hold parts of a prompt for one weights version.

    Sorted once for all engines that are evaluated, each of which asks for the best of
    the others.
    """

    def __init__(
        self,
        scope: str,
        is_saved: bool,
        holdings: Sequence[_Holding],
        prefers_fresh: bool,
    ) -> None:
        self.scope = scope
        self.is_saved = is_saved
        """Whether the KV cache store of the prompt holds its parts."""
        self._prefers_fresh = prefers_fresh
        self._by_held = sorted(
            (held for held in holdings if held.coverage.n_held),
            key=lambda held: (
                -held.coverage.n_held,
                held.coverage.n_since_use if prefers_fresh else 0.0,
            ),
        )
        self._by_expected = sorted(
            holdings, key=lambda held: -held.coverage.n_expected
        )[:2]
        self._by_known = sorted(
            holdings,
            key=lambda held: (-held.coverage.n_known, held.coverage.n_since_use),
        )[:2]

    def source(self, view: EngineView, own: _Holding | None) -> _Source:
        """Return another that holds most of the prompt.

        Of several the one in the same zone is preferred or, where the freshest are, the
        one that has prefilled least since it used the parts.
        """
        best: _Holding | None = None
        for held in self._by_held:
            if held is own:
                continue
            if best is not None and held.coverage.n_held < best.coverage.n_held:
                break
            if self._prefers_fresh or held.view.instance.zone == view.instance.zone:
                best = held
                break
            best = best or held
        if best is None:
            return _NO_SOURCE
        return _Source(
            best.view.instance.address,
            best.coverage.n_held,
            best.view.instance.zone == view.instance.zone,
            best.coverage.n_since_use,
        )

    def n_expected(self, own: _Holding | None) -> int:
        """Return the most tokens that another holds or is prefilling."""
        best = _first_but(self._by_expected, own)
        return best.coverage.n_expected if best is not None else 0

    def likely(self, own: _Holding | None) -> _Holding | None:
        """Return the other that was last known to hold most; None without any."""
        return _first_but(self._by_known, own)


def _first_but(holdings: Sequence[_Holding], own: _Holding | None) -> _Holding | None:
    return next((held for held in holdings if held is not own), None)


def _holdings(
    query: EngineQuery,
    views: Sequence[EngineView],
    index: PartIndex,
    parts: Sequence[tuple[str, int]],
) -> dict[IncarnationKey, _Holding]:
    """Return the engines that hold parts of a prompt for their weights version."""
    if not parts:
        return {}
    by_version: dict[int, dict[IncarnationKey, EngineView]] = {}
    for view in views:
        group = by_version.get(view.weights_version)
        if group is None:
            group = by_version[view.weights_version] = {}
        group[view.instance.incarnation_key] = view
    found: dict[IncarnationKey, _Holding] = {}
    for version, by_incarnation in by_version.items():
        coverages = index.coverages(
            query.scope(version),
            parts,
            by_incarnation,
            query.kv_capacity,
            query.reads_once,
        )
        for incarnation, coverage in coverages.items():
            found[incarnation] = _Holding(by_incarnation[incarnation], coverage)
    return found


def _home(
    query: EngineQuery,
    views: Sequence[EngineView],
    holdings: dict[IncarnationKey, _Holding],
    part_ids: Sequence[str],
) -> EngineView | None:
    """Return the engine that most likely holds parts while no holder is known.

    It is the primary, on which routers that have not heard of each other's reads agree.
    None once a holder is known, and until the primary has the newest weights.
    """
    if not query.reads_once or holdings or not part_ids:
        return None
    home = _primary(query, views, part_ids)
    newest = max(view.weights_version for view in views)
    return home if home.weights_version == newest else None


def _without_passed_over(
    query: EngineQuery,
    views: Sequence[EngineView],
    holdings: dict[IncarnationKey, _Holding],
    part_ids: Sequence[str],
) -> Sequence[EngineView]:
    """Return the engines that may take the request; all of them if none may."""
    has_primary = bool(query.primary_only and part_ids)
    primary = _primary(query, views, part_ids) if has_primary else None

    def may_take(view: EngineView) -> bool:
        key = view.instance.incarnation_key
        if key in holdings:
            return True
        if key in query.primary_only:
            return view is primary
        return key not in query.passed_over

    return allowed_or_all(views, may_take)


def _shortlist(
    query: EngineQuery,
    views: Sequence[EngineView],
    holdings: dict[IncarnationKey, _Holding],
    home: EngineView | None,
    part_ids: Sequence[str],
    rng: random.Random,
) -> list[EngineView]:
    """Return the engines to evaluate: some holders, the home or the primary of the
    parts, and a random sample.
    """
    holding = [view for view in views if view.instance.incarnation_key in holdings]
    if query.unseen_s > TIE_MARGIN_S:
        chosen = rng.sample(holding, min(N_SAMPLED_TO_LEVEL, len(holding)))
        chosen += rng.sample(list(views), N_SAMPLED_TO_LEVEL)
    elif views[0].estimator.is_uneven:
        chosen = rng.sample(holding, min(N_SAMPLED_BY_RATE, len(holding)))
        rates = [view.estimator.tokens_per_s for view in views]
        chosen += rng.choices(views, rates, k=N_SAMPLED_BY_RATE)
    else:
        chosen = rng.sample(holding, min(N_SAMPLED, len(holding)))
        chosen += rng.sample(list(views), N_SAMPLED)
    # Without reports, routers don't learn that all of them chose the same engine.
    has_common = not query.own_share
    if has_common and home is not None:
        chosen += [view for view in views if view is home]
    elif has_common and part_ids:
        chosen.append(_primary(query, views, part_ids))
    return list({view.instance.incarnation_key: view for view in chosen}.values())


def _primary(
    query: EngineQuery, views: Sequence[EngineView], part_ids: Sequence[str]
) -> EngineView:
    """Return the engine that rendezvous hashing ranks first for a prompt's parts."""
    key = _rendezvous_key(query, part_ids)
    return max(
        views,
        key=lambda view: (seeded_weight(key, view.node_seed), view.instance.instance),
    )


def _rendezvous_key(query: EngineQuery, part_ids: Sequence[str]) -> bytes:
    return f"{query.isolation_key}.{part_ids[-1]}".encode()


def _evaluate(
    query: EngineQuery,
    view: EngineView,
    holdings: dict[IncarnationKey, _Holding],
    home: EngineView | None,
    holders: _VersionHolders,
) -> tuple[float, EngineChoice]:
    """Return the cost of an engine, in seconds, and the resulting choice."""
    estimator = view.estimator
    held = holdings.get(view.instance.incarnation_key)
    own_coverage = held.coverage if held else NO_COVERAGE
    n_shared = query.prompt.n_shared
    n_expected = holders.n_expected(held)
    source = holders.source(view, held)
    if holders.is_saved:
        is_same_zone = query.kv_cache_zone == view.instance.zone
        if query.reads_once:
            is_better = is_safer_stored(source.n_since_use, query.kv_capacity)
        else:
            is_better = is_same_zone and not source.is_same_zone
        if is_better or source.n_held < n_shared:
            source = _Source(query.kv_cache_address, n_shared, is_same_zone)
    n_here = max(own_coverage.n_expected, own_coverage.n_held)
    n_fetched = max(0, source.n_held - n_here)
    n_recomputed = n_shared - n_here - n_fetched
    n_missing = query.prompt.n_prompt - n_here - n_fetched
    n_occupied = query.prompt.n_prompt
    wait_s = estimator.wait_s(query.now, n_occupied, query.own_share)
    transfer_s = n_fetched * query.transfer_s_per_token
    if not source.is_same_zone:
        transfer_s *= CROSS_ZONE_TRANSFER_FACTOR
    fetch_s = estimator.transfer_wait_s(query.now) + transfer_s if n_fetched else 0.0
    begins_s = max(wait_s, fetch_s)
    own_only = query.own_share > 0.0
    ttft_s = estimator.start_to_token_s(begins_s, n_missing, query.now, own_only)
    ttft_s += OVERHEAD_S
    is_held_elsewhere = n_expected > n_here
    cost = ttft_s
    if is_held_elsewhere:
        cost += RECOMPUTE_WEIGHT * estimator.prefill_time_s(n_recomputed)
    if query.now + ttft_s - view.replaced_at > OUTDATED_WEIGHTS_GRACE_S:
        cost += OUTDATED_WEIGHTS_PENALTY_S
    if view.instance.zone != query.zone:
        cost += OTHER_ZONE_PENALTY_S
    left_s = query.objective_left_s
    in_time = (
        ttft_s <= MAX_TTFT_SHARE * left_s or wait_s <= MAX_QUEUE_WAIT_SHARE * left_s
    )
    if query.leaves_places and in_time:
        n_open = (1.0 - URGENT_SHARE) * view.instance.slots
        in_time = estimator.n_reported_requests(query.now) < n_open
    address = source.address
    if query.reads_once and source.n_held < n_shared:
        if home is view or (home and home.weights_version != view.weights_version):
            home = None
        address = _likely_source(query, source, holders.likely(held), home)
    if not address and query.kv_cache_address and n_shared:
        # A router that has just started has an empty index; a miss at the KV cache is
        # cheap.
        address = query.kv_cache_address
    is_first_prefill = n_recomputed > 0 and not is_held_elsewhere
    choice = EngineChoice(
        view,
        holders.scope,
        wait_s,
        ttft_s,
        n_missing,
        address,
        in_time,
        is_first_prefill,
        n_occupied,
        transfer_s,
        max(n_here, n_expected) >= n_shared,
        query.prompt.shared_parts if query.reads_once else (),
    )
    return cost, choice


@dataclass(frozen=True)
class _Source:
    """Where cached parts of a prompt can be fetched from."""

    address: str = ""
    n_held: int = 0
    is_same_zone: bool = False
    """Whether it is in the engine's own availability zone."""
    n_since_use: float = 0.0
    """Tokens that an engine has prefilled since it used the parts."""


_NO_SOURCE: Final = _Source()


def _likely_source(
    query: EngineQuery,
    source: _Source,
    possible: _Holding | None,
    home: EngineView | None,
) -> str:
    """Return the address from which most tokens can be expected; empty for none.

    ``possible`` is the other engine that was last known to hold most of the prompt,
    ``home`` another one that is the home of the parts.

    An engine that surely holds only the first of the parts is a worse source than one
    that is prefilling all of them, or than the KV cache store that the other routers
    name for them. A miss costs a millisecond.
    """
    chances = [(float(source.n_held), source.address)]
    if possible is not None:
        n_expected = POSSIBLE_HOLDER_CHANCE * possible.coverage.n_known
        chances.append((n_expected, possible.view.instance.address))
    if query.kv_cache_address:
        n_expected = UNKNOWN_STORE_CHANCE * query.prompt.n_shared
        chances.append((n_expected, query.kv_cache_address))
    if home is not None:
        n_expected = HOME_CHANCE * query.prompt.n_shared
        chances.append((n_expected, home.instance.address))
    n_expected, address = max(chances, key=lambda chance: chance[0])
    return address if n_expected > 0 else ""


def allowed_or_all(engines: Sequence[T], allowed: Callable[[T], bool]) -> list[T]:
    """Return the allowed engines, or all of them when none is allowed."""
    return [engine for engine in engines if allowed(engine)] or list(engines)
