"""Plan the rollout of a new weights version over the engines of an upstream.

An engine loads weights only after its runs complete, and accepts no requests once it
has the order. A load order to a busy engine would take it out of service for as long
as its longest run, so engines are emptied first: they get no new requests, and their
runs move to engines that have the same weights version. The last engine of a version
has no such fallback. It finishes its runs while the others already serve the new
version, and loads when it is empty.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from enum import Enum
from typing import Final

from .data_class import dataclass

MIN_CONCURRENT_LOADS: Final = 2
"""Concurrent loads in a small fleet; the weight store serves two at full speed."""

MAX_LOADING_SHARE: Final = 0.25
"""Largest fraction of the engines that load concurrently. More would leave too few
engines in a surge of traffic while others are unresponsive."""

ORDER_RETRY_S: Final = 1.5
"""Time after which an order without effect is sent again."""

REPEATED_ORDERS_PER_LOAD: Final = 2
"""Repeated orders under way at once, for each concurrent load. They take no load slot,
since most of them have no effect, but cost the sender processor time."""

LOAD_TIMEOUT_S: Final = 8.0
"""Time after which a load counts as stalled and frees its slot for another engine."""

ROUND_S: Final = 2.0
"""Time to empty an engine and load its weights, when its order takes effect at once."""

MOVE_TIMEOUT_S: Final = 0.6
"""Timeout for moving the runs of an engine to a fallback. The load order is sent then,
and the remaining runs complete before the engine loads."""

FINISH_TIMEOUT_S: Final = 8.0
"""Timeout for finishing runs without a fallback before the load order is sent. An
earlier order would keep the engine from loading a still newer version directly."""

MAX_RESTING_S: Final = 4.0
"""Time that an engine with replaced weights may spend finishing its runs, while others
serve newer weights, before the remaining runs are moved."""

MAX_FINISHING_SHARE: Final = 1 / 3
"""Largest fraction of the engines that may be emptying without a fallback. When
new versions arrive faster than runs complete, the rest must serve new requests."""


class EnginePhase(Enum):
    """Target phase of an engine during a weights rollout."""

    SERVING = "serving"
    RESTING = "resting"
    """No new requests; runs complete here while others serve newer weights."""
    EMPTYING = "emptying"
    """No new requests; runs move to engines with the same weights version. If there
    is none, they complete here."""
    CLEARING = "clearing"
    """Like EMPTYING, but resumable runs move to engines with newer weights."""
    LOADING = "loading"
    """No requests until the load completes."""


@dataclass(frozen=True)
class EngineWeights:
    """State of one engine and one model as seen by the router that sends the orders."""

    instance: str
    version: int
    is_loading: bool
    """Whether a load order for any version is in progress."""
    loading_s: float
    """Seconds since that order was sent."""
    since_order_s: float
    """Seconds since the last order was sent; infinite if there was none."""
    n_requests: int
    """Requests in flight on the engine that this router knows of."""
    is_reachable: bool = True
    """Whether an order can be sent now."""
    is_lost: bool = False
    """Whether the last call failed; no requests go there until its next report."""
    awaits_order: bool = False
    """Whether an order without response may still be carried out, at any moment.

    The engine serves until then, also while it is sent another order.
    """
    is_unresponsive: bool = False
    """Whether it is unresponsive with requests in flight, and so may be lost."""
    emptying_s: float | None = None
    """Seconds since emptying began; None while it is not being emptied."""
    resting_s: float | None = None
    """Seconds since the engine began to rest; None while it does not."""

    @property
    def takes_slot(self) -> bool:
        """Whether the engine counts as loading; a late order may still be void."""
        return self.is_loading and not self.awaits_order

    @property
    def is_available(self) -> bool:
        """Whether the engine can take runs that are moved from another engine."""
        return not (self.takes_slot or self.is_lost) and self.emptying_s is None

    @property
    def is_serving(self) -> bool:
        """Whether the engine takes new requests."""
        return self.is_available and self.resting_s is None


@dataclass(frozen=True)
class RolloutPlan:
    """Orders to send now and target phases of the engines."""

    orders: tuple[str, ...] = ()
    """Engines to send a load order to, by priority."""
    emptying: tuple[str, ...] = ()
    """Engines to empty, including those that are being emptied already."""
    clearing: tuple[str, ...] = ()
    """Those engines in ``emptying`` whose runs move to newer weights."""
    resting: tuple[str, ...] = ()
    """Engines that get no new requests and finish their runs."""

    def phase(self, instance: str) -> EnginePhase:
        """Return the target phase of an engine that gets no order now."""
        if instance in self.clearing:
            return EnginePhase.CLEARING
        if instance in self.emptying:
            return EnginePhase.EMPTYING
        if instance in self.resting:
            return EnginePhase.RESTING
        return EnginePhase.SERVING


def max_concurrent_loads(n_engines: int) -> int:
    """Return how many engines of a fleet may load concurrently."""
    return max(MIN_CONCURRENT_LOADS, int(MAX_LOADING_SHARE * n_engines))


def plan_rollout(
    engines: Sequence[EngineWeights],
    newest: int,
    n_needed: int = 1,
    time_left_s: float = math.inf,
) -> RolloutPlan:
    """Return which engines to empty and which to send load orders to.

    Engines with the oldest weights go first, so that a busy engine is not passed over
    when new versions arrive faster than engines load. Among equals the engine with the
    fewest requests goes first.

    An engine whose order got no response is not emptied again: it would have the fewest
    requests and be emptied in place of the others. It serves on until an order is seen
    to take effect, and its order is repeated meanwhile.

    ``n_needed`` engines keep serving if that many are available, unless the rollout
    would then take longer than ``time_left_s``, after which no request may begin on the
    replaced weights.
    """
    return _Planner(engines, newest, n_needed, time_left_s).plan()


class _Planner:
    """Intermediate results of one call of ``plan_rollout``."""

    def __init__(
        self,
        engines: Sequence[EngineWeights],
        newest: int,
        n_needed: int,
        time_left_s: float,
    ) -> None:
        self._engines = engines
        ready = sorted(
            (
                engine
                for engine in engines
                if engine.version < newest
                and not engine.is_loading
                and engine.since_order_s >= ORDER_RETRY_S
                and engine.is_reachable
            ),
            key=_load_priority,
        )
        self._outdated = [engine for engine in ready if not engine.awaits_order]
        self._awaiting = [engine for engine in ready if engine.awaits_order]
        self._n_fallbacks = Counter(
            engine.version for engine in engines if engine.is_available
        )
        self._n_serving = sum(engine.is_serving for engine in engines)
        n_stalled = sum(
            engine.takes_slot and engine.loading_s >= LOAD_TIMEOUT_S
            for engine in engines
        )
        n_available = sum(not engine.is_lost for engine in engines) - n_stalled
        self._n_needed = min(n_needed, n_available - 1)
        n_outdated = sum(
            engine.version < newest and not engine.is_lost for engine in engines
        )
        # Fewer than needed keep serving when the time for the rollout runs out.
        n_at_once = _n_at_once(n_outdated, time_left_s)
        self._n_required = min(self._n_needed, n_available - n_at_once)
        n_loading = sum(
            engine.takes_slot and engine.loading_s < LOAD_TIMEOUT_S
            for engine in engines
        )
        self._n_newest = sum(
            engine.is_serving and engine.version >= newest for engine in engines
        )
        self._n_free_loads = max(0, max_concurrent_loads(len(engines)) - n_loading)

    def plan(self) -> RolloutPlan:
        orders = [engine for engine in self._outdated if self._should_load(engine)]
        orders = orders[: self._n_free_loads]
        emptying = [
            engine
            for engine in self._outdated
            if engine.emptying_s is not None
            and engine not in orders
            and not engine.is_lost
        ]
        finishing = [engine for engine in emptying if not self._has_fallback(engine)]
        n_moving = len(emptying) - len(finishing)
        n_to_empty = self._n_free_loads - len(orders) - n_moving
        # While enough engines have the newest weights, none is emptied: a run moved now
        # would restart on weights that are already replaced.
        has_enough = self._n_newest > self._n_needed
        newly_emptying = self._next_to_empty(orders, 0 if has_enough else n_to_empty)
        orders += self._orders_to_repeat()
        resting = self._engines_to_rest(orders, newly_emptying)
        n_excess = len(finishing) - int(MAX_FINISHING_SHARE * len(self._engines))
        return RolloutPlan(
            orders=_instances(orders),
            emptying=_instances([*emptying, *newly_emptying]),
            clearing=_instances(finishing[: max(0, n_excess)]),
            resting=_instances(resting),
        )

    def _orders_to_repeat(self) -> list[EngineWeights]:
        """Return the engines whose order to repeat; the oldest orders go first."""
        n_repeated = sum(
            engine.is_loading and engine.awaits_order for engine in self._engines
        )
        n_most = REPEATED_ORDERS_PER_LOAD * max_concurrent_loads(len(self._engines))
        engines = sorted(self._awaiting, key=lambda engine: -engine.since_order_s)
        return engines[: max(0, n_most - n_repeated)]

    def _engines_to_rest(
        self, orders: list[EngineWeights], newly_emptying: list[EngineWeights]
    ) -> list[EngineWeights]:
        """Return the engines to finish their runs while others serve newer weights."""
        if self._n_newest <= self._n_needed:
            return []
        return [
            engine
            for engine in self._outdated
            if engine.emptying_s is None
            and engine not in orders
            and engine not in newly_emptying
            and not engine.is_lost
        ]

    def _should_load(self, engine: EngineWeights) -> bool:
        """Return whether to send an engine its load order now."""
        if engine.is_lost:
            return True
        if engine.n_requests == 0:
            return not engine.is_serving or self._can_spare(engine)
        if engine.emptying_s is None:
            return False
        may_finish_runs = self._n_serving > 0 and not self._has_fallback(engine)
        return engine.emptying_s >= (
            FINISH_TIMEOUT_S if may_finish_runs else MOVE_TIMEOUT_S
        )

    def _has_fallback(self, engine: EngineWeights) -> bool:
        """Return whether another available engine has the same weights version."""
        return self._n_fallbacks[engine.version] > int(engine.is_available)

    def _can_spare(self, engine: EngineWeights) -> bool:
        """Return whether enough other engines are serving."""
        return self._n_serving - 1 >= self._n_required

    def _next_to_empty(
        self, orders: list[EngineWeights], n_to_empty: int
    ) -> list[EngineWeights]:
        """Return the engines to empty next.

        The last engine of a version keeps serving as the fallback while others of that
        version are emptied; emptied together, their runs could not move anywhere.
        """
        n_fallbacks, n_serving = Counter(self._n_fallbacks), self._n_serving
        for engine in orders:
            n_fallbacks[engine.version] -= engine.is_available
            n_serving -= engine.is_serving
        emptying_versions = {
            engine.version for engine in self._outdated if engine.emptying_s is not None
        }
        selected: list[EngineWeights] = []
        for engine in self._outdated:
            if not engine.is_available or engine in orders:
                continue
            is_last = n_fallbacks[engine.version] == 1
            if is_last and engine.version in emptying_versions:
                continue
            is_past_deadline = (
                engine.resting_s is not None and engine.resting_s >= MAX_RESTING_S
            )
            if not (is_last or is_past_deadline) and len(selected) >= n_to_empty:
                continue
            if is_last and not is_past_deadline and n_to_empty == 0:
                continue
            if engine.is_serving and n_serving - 1 < self._n_required:
                continue
            selected.append(engine)
            emptying_versions.add(engine.version)
            n_fallbacks[engine.version] -= 1
            n_serving -= engine.is_serving
        return selected


def _n_at_once(n_outdated: int, time_left_s: float) -> int:
    """Return how many engines must load concurrently to finish within a time."""
    n_rounds = max(1.0, time_left_s / ROUND_S)
    return max(1, math.ceil(n_outdated / n_rounds))


def _load_priority(engine: EngineWeights) -> tuple[bool, int, int, str]:
    may_be_lost = engine.is_lost or engine.is_unresponsive
    return (may_be_lost, engine.version, engine.n_requests, engine.instance)


def _instances(engines: Sequence[EngineWeights]) -> tuple[str, ...]:
    return tuple(engine.instance for engine in engines)
