"""Keep what all routers together hold at an engine within its memory."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Sequence
from typing import Final

import trio

from corianderlb_core.engine_choice import EngineChoice, EngineQuery, EngineView
from corianderlb_core.engine_memory import (
    N_TRIED,
    EngineHeld,
    EngineMemoryBound,
    FleetKnowledge,
    peers_held,
    report_interval_s,
)

from .interface import PeerNetwork

N_MISSED_REPORTS: Final = 2.5
"""Intervals after which the report of a router that fell silent expires. Engines end
the runs of a router that is gone, and a partition is noticed by then."""

MIN_HEARD_S: Final = 1.0
"""Time after which a silent link counts as not heard; covers lost heartbeats."""


class FleetMemory:
    """Passes over engines that may have no memory for one more request."""

    def __init__(self, peers: PeerNetwork) -> None:
        self._peers = peers
        self._bound = EngineMemoryBound()
        self.n_full = 0
        """How often a chosen engine had no room."""

    def sent(self, n_tokens: int) -> None:
        """Record a request that takes memory of an engine."""
        self._bound.sent(n_tokens, trio.current_time())

    def heard(self, late_s: float) -> None:
        """Record how much later a report arrived than the earliest of its sender."""
        self._bound.heard(late_s, trio.current_time())

    def choose(
        self,
        query: EngineQuery,
        views: Sequence[EngineView],
        choose_among: Callable[[Sequence[EngineView]], EngineChoice | None],
        demand_per_s: float,
    ) -> EngineChoice | None:
        """Return the best choice whose engine has room, or one where this router owns
        room.

        Few engines are tried, since the routers would meet at any that seems to have
        room. If none has, the first choice is returned, marked as such.
        ``demand_per_s`` is what all routers send to the engines of the upstream, in
        tokens to prefill.
        """
        choice = choose_among(views)
        if choice is None:
            return None
        routers = self._peers.running_names()
        interval_s = report_interval_s(len(routers))
        fleet = FleetKnowledge(
            self._peers.own,
            routers,
            self._peers.heard_share(max(MIN_HEARD_S, 2 * interval_s)),
        )
        ttl_s = N_MISSED_REPORTS * interval_s
        n_asked, now = query.prompt.n_prompt, query.now
        n_unseen = self._bound.n_unseen(demand_per_s, len(routers), len(views), now)

        def held(view: EngineView) -> EngineHeld:
            estimator = view.estimator
            return EngineHeld(
                query.kv_capacity or math.inf,
                estimator.n_held,
                estimator.n_requests,
                peers_held(estimator.peers.values(), now, ttl_s),
                estimator.reported.n_busy(now),
                n_unseen,
            )

        first, others = choice, list(views)
        if math.isinf(held(first.view).capacity):
            return first
        for _ in range(N_TRIED):
            name, found = choice.view.instance.instance, held(choice.view)
            if self._bound.has_room(name, found, n_asked, fleet):
                return choice
            self.n_full += 1
            others = [view for view in others if view is not choice.view]
            choice = choose_among(others)
            if choice is None:
                break
        own = [
            view
            for view in views
            if self._bound.owns_room(view.instance.instance, held(view), n_asked, fleet)
        ]
        if own:
            return choose_among(own)
        return dataclasses.replace(first, has_room=False)
