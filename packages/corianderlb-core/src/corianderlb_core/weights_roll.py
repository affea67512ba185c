"""Plan which engines load a newly named version of weights next."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

MIN_LOADS: Final = 2
"""Engines that load at once in a small fleet."""

LOADS_SHARE: Final = 0.25
"""Part of the engines that load at once. With two at once, 45 engines take 18 s for one
version, and answer from weights that were replaced longer ago than users accept. The
weight store bears 2 of 5, 18 of 45 or 22 of 56, but each loading engine is missing from
the others' work, which in a rush that has a quarter silent leaves too few."""

AGAIN_S: Final = 1.5
"""Time until an order without any effect is given again: twice a load of 0.8 s."""

HUNG_S: Final = 8.0
"""Time after which an engine that still loads no longer counts among the loads: its
order may be carried out late or never, and others must not wait for it."""


@dataclass(frozen=True)
class EngineWeights:
    """Hold what the holder of the orders knows of one engine and one model."""

    instance: str
    version: int
    is_loading: bool
    """True while an order of any version is under way there."""
    loading_s: float
    """Seconds since that order was given."""
    ordered_s: float
    """Seconds since the last order to it, infinite when there was none."""
    n_requests: int
    """Requests it has, as far as the router knows."""
    is_reachable: bool = True


def max_loads(n_engines: int) -> int:
    """Return how many engines of a fleet may load at once."""
    return max(MIN_LOADS, int(LOADS_SHARE * n_engines))


def next_loads(engines: Sequence[EngineWeights], newest: int) -> list[str]:
    """Return the engines to give an order now, most useful first.

    The oldest weights go first: when versions are named faster than engines load, a
    busy engine would else be passed over each time, and answer from weights of three
    versions ago after ten seconds. Among equals an engine with few requests loads
    first: an order waits for the runs of its engine to end, and refuses all new ones
    meanwhile.
    """
    n_loading = sum(
        engine.is_loading and engine.loading_s < HUNG_S for engine in engines
    )
    waiting = [
        engine
        for engine in engines
        if engine.version < newest
        and not engine.is_loading
        and engine.ordered_s >= AGAIN_S
        and engine.is_reachable
    ]
    waiting.sort(key=_usefulness)
    free = max(0, max_loads(len(engines)) - n_loading)
    return [engine.instance for engine in waiting[:free]]


def _usefulness(engine: EngineWeights) -> tuple[int, int, str]:
    return (engine.version, engine.n_requests, engine.instance)
