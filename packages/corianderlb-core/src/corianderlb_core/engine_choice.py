"""Choose the engine for a prompt, or find that none can read it in time.

The choice minimises the estimated time to the first token, plus what recomputing
shared parts costs everybody else, plus a penalty for weights that were replaced.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from .engine_pace import OVERHEAD_S, EnginePace
from .forwarding import ForwardInstance, Prompt
from .part_index import NOTHING, Coverage, Life, PartIndex
from .rendezvous import rank

RECOMPUTE_WEIGHT: Final = 2.0
"""How much a second of recomputing shared parts weighs against a second of waiting.
The engine loses that second for all others, and users pay for it again."""

FETCH_S_PER_TOKEN: Final = 2.5e-6
"""Time to move a cached token when the configuration does not tell it."""

ZONE_MOVE_FACTOR: Final = 2.0
"""How much longer a transfer between availability zones takes."""

OLD_WEIGHTS_S: Final = 0.4
"""Penalty for an engine whose weights were replaced: it loses to a new one unless
that one is this much slower to the first token."""

OLD_WEIGHTS_FREE_S: Final = 1.3
"""Age of newer weights from which that penalty counts: a little less than the 1.5 s
for which users take answers of the replaced ones for as good."""

LIMIT_MARGIN_S: Final = 2.0
"""Room before the age from which no answer may begin on replaced weights: the prompt is
read first, and estimates are exceeded."""

OTHER_ZONE_S: Final = 0.01
"""What an engine in another availability zone costs more: the way there, and the bytes
of a long prompt, which users pay for between zones."""

TIE_S: Final = 0.02
"""Differences that estimates cannot tell apart; hashing decides below it, so that
routers that know nothing of each other send the same shared parts to one engine."""

N_SAMPLED: Final = 5
"""Engines that one request looks at, beside the home of its parts and up to as many
that hold them. Word of others' work is a third of a second old in a large fleet: when
all looked at all engines, requests of every router met within 70 ms at an engine that
had just loaded its weights. Of 50 engines one request in ten looks at a given one."""

IN_TIME_SHARE: Final = 0.8
"""Part of the objective that the estimate may take; half of the estimates are exceeded.
With two of five engines gone and half as much again to read as the rest could, 0.75
and 0.25 below served 83% of the worth, 1.15 and 0.5 served 78%, no bound at all 64%."""

SHORT_WAIT_SHARE: Final = 0.3
"""Part of the objective that any request may wait in the engine's queue, however
long it takes to read: large prompts would starve if only their sum counted."""


@dataclass(frozen=True)
class EngineView:
    """Hold one engine as a router sees it now."""

    instance: ForwardInstance
    pace: EnginePace
    weights_version: int
    """Version that it is believed to have; 0 when nobody has said."""
    replaced_at: float = math.inf
    """Router's clock when a newer version was named; infinite for the newest."""


@dataclass(frozen=True)
class EngineQuery:
    """Hold one question: which engine for this prompt."""

    prompt: Prompt
    wall: str
    """Name of the account if it is isolated, else empty."""
    objective_left_s: float
    kv_capacity: int
    kv_cache_address: str = ""
    kv_cache_zone: str = ""
    token_move_s: float = FETCH_S_PER_TOKEN
    """Time to move a cached token within an availability zone."""
    zone: str = ""
    """The router's own availability zone."""
    now: float = 0.0
    weights_limit_s: float = math.inf
    """Age of replaced weights from which no answer may begin on them."""

    def scope(self, version: int) -> str:
        """Return the scope under which an engine of a version shares parts."""
        return f"{self.prompt.model}.{version}.{self.wall}"


@dataclass(frozen=True)
class EngineChoice:
    """Hold the chosen engine and what the request is to say to it."""

    view: EngineView
    scope: str
    wait_s: float
    """Estimated wait until it is being read."""
    first_token_s: float
    """Estimated time to its first token."""
    n_missing: int
    """Tokens to be read."""
    fetch_from: str
    """Address to fetch cached parts from; empty for none."""
    in_time: bool
    """Whether the first token is expected within the objective."""
    is_first_read: bool = False
    """Whether shared parts are read that no engine is known to hold."""
    n_held: int = 0
    """Tokens of the engine's memory that it takes."""
    move_s: float = 0.0
    """Time for which its transfer takes the engine's link."""


def choose_engine(
    query: EngineQuery,
    views: Sequence[EngineView],
    index: PartIndex,
    rng: random.Random | None = None,
) -> EngineChoice | None:
    """Return the best engine for a prompt, or None when there is none.

    With a source of randomness only some of many engines are looked at.
    """
    views = [view for view in views if _is_fresh_enough(query, view)]
    if not views:
        return None
    parts = [(part.part_id, part.n_tokens) for part in query.prompt.shared_parts]
    part_ids = [part_id for part_id, _ in parts]
    holdings = _holdings(query, views, index, parts)
    if rng is not None and len(views) > N_SAMPLED:
        views = _shortlist(query, views, holdings, part_ids, rng)
    rated = [_rate(query, view, holdings, index, part_ids) for view in views]
    best_cost = min(cost for cost, _ in rated)
    close = {
        choice.view.instance.instance: choice
        for cost, choice in rated
        if cost <= best_cost + TIE_S
    }
    if len(close) == 1 or not part_ids:
        return min(rated, key=lambda pair: pair[0])[1]
    return close[rank(_home_key(query, part_ids), close)[0]]


def _is_fresh_enough(query: EngineQuery, view: EngineView) -> bool:
    """Return whether an answer may still begin on an engine's weights.

    Begun later, it would be an answer of weights that users no longer take, however
    good it looks to its caller.
    """
    if math.isinf(query.weights_limit_s):
        return True
    starts_in_s = view.pace.wait_s(query.now) + OVERHEAD_S + LIMIT_MARGIN_S
    return query.now + starts_in_s - view.replaced_at < query.weights_limit_s


@dataclass(frozen=True)
class _Holding:
    """What one engine holds, or is reading, of the prompt asked for."""

    view: EngineView
    covered: Coverage


def _holdings(
    query: EngineQuery,
    views: Sequence[EngineView],
    index: PartIndex,
    parts: Sequence[tuple[str, int]],
) -> dict[Life, _Holding]:
    """Return the engines that hold something of a prompt, for their own weights."""
    by_version: dict[int, list[EngineView]] = {}
    for view in views:
        by_version.setdefault(view.weights_version, []).append(view)
    found: dict[Life, _Holding] = {}
    for version, group in by_version.items():
        of_life = {view.instance.life: view for view in group}
        covered = index.coverages(
            query.scope(version), parts, of_life, query.kv_capacity
        )
        for life, coverage in covered.items():
            found[life] = _Holding(of_life[life], coverage)
    return found


def _shortlist(
    query: EngineQuery,
    views: Sequence[EngineView],
    holdings: dict[Life, _Holding],
    part_ids: Sequence[str],
    rng: random.Random,
) -> list[EngineView]:
    """Return the engines to look at: some that hold parts, their home, some others."""
    holding = [view for view in views if view.instance.life in holdings]
    chosen = rng.sample(holding, min(N_SAMPLED, len(holding)))
    chosen += rng.sample(list(views), N_SAMPLED)
    if part_ids:
        names = {view.instance.instance: view for view in views}
        chosen.append(names[rank(_home_key(query, part_ids), names)[0]])
    return list({view.instance.life: view for view in chosen}.values())


def _home_key(query: EngineQuery, part_ids: Sequence[str]) -> bytes:
    return f"{query.wall}.{part_ids[-1]}".encode()


def _rate(
    query: EngineQuery,
    view: EngineView,
    holdings: dict[Life, _Holding],
    index: PartIndex,
    part_ids: Sequence[str],
) -> tuple[float, EngineChoice]:
    """Return the cost of an engine, in seconds, and the choice it would be."""
    pace = view.pace
    scope = query.scope(view.weights_version)
    held = holdings.get(view.instance.life)
    own = held.covered if held else NOTHING
    n_shared = query.prompt.n_shared
    others = [
        holding
        for holding in holdings.values()
        if holding is not held and holding.view.weights_version == view.weights_version
    ]
    source = _source(view, others)
    if query.kv_cache_address and index.is_saved(scope, part_ids):
        is_near = query.kv_cache_zone == view.instance.zone
        if source.n_held < n_shared or (is_near and not source.is_near):
            source = _Source(query.kv_cache_address, n_shared, is_near)
    n_here = max(own.n_coming, own.n_held)
    n_fetched = max(0, source.n_held - n_here)
    n_again = n_shared - n_here - n_fetched
    n_missing = query.prompt.n_prompt - n_here - n_fetched
    n_held = query.prompt.n_prompt
    wait_s = pace.wait_s(query.now, n_held)
    move_s = n_fetched * query.token_move_s
    if not source.is_near:
        move_s *= ZONE_MOVE_FACTOR
    moved_s = pace.moves_s(query.now) + move_s if n_fetched else 0.0
    first_s = max(wait_s, moved_s) + pace.read_s(n_missing) + OVERHEAD_S
    known_elsewhere = any(other.covered.n_coming > n_here for other in others)
    cost = first_s
    if known_elsewhere:
        cost += RECOMPUTE_WEIGHT * pace.read_s(n_again)
    if query.now + first_s - view.replaced_at > OLD_WEIGHTS_FREE_S:
        cost += OLD_WEIGHTS_S
    if view.instance.zone != query.zone:
        cost += OTHER_ZONE_S
    left_s = query.objective_left_s
    in_time = first_s <= IN_TIME_SHARE * left_s or wait_s <= SHORT_WAIT_SHARE * left_s
    address = source.address
    if not address and query.kv_cache_address and n_shared:
        # A router that has just started knows nothing; a miss costs a millisecond.
        address = query.kv_cache_address
    is_first = n_again > 0 and not known_elsewhere
    choice = EngineChoice(
        view,
        scope,
        wait_s,
        first_s,
        n_missing,
        address,
        in_time,
        is_first,
        n_held,
        move_s,
    )
    return cost, choice


@dataclass(frozen=True)
class _Source:
    """Hold where cached parts of a prompt can be fetched from."""

    address: str = ""
    n_held: int = 0
    is_near: bool = False
    """Whether it is in the engine's own availability zone."""


def _source(view: EngineView, others: Sequence[_Holding]) -> _Source:
    """Return the engine that holds most of the prompt, one of the zone first."""
    sources = (
        _Source(
            other.view.instance.address,
            other.covered.n_held,
            other.view.instance.zone == view.instance.zone,
        )
        for other in others
        if other.covered.n_held
    )
    best = max(
        sources, key=lambda source: (source.n_held, source.is_near), default=None
    )
    return best or _Source()


def best_effort(
    views: Sequence[EngineView], allowed: Callable[[EngineView], bool]
) -> list[EngineView]:
    """Return the allowed engines, or all when none is allowed."""
    return [view for view in views if allowed(view)] or list(views)
