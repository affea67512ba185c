"""Place requests on upstream instances: the data path's way to the policies.

The dispatcher calls ``place``, then ``dispatched`` for the candidate it sends to, then
``first_token`` and ``finished`` as the attempt goes on. Nothing here waits.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import trio

from corianderlb_core.catalogue import Catalogue, EntryKey, EntryKind
from corianderlb_core.identity import DecisionId, Incarnation
from corianderlb_core.placement import ModelCost, PlacementPolicy, PlacementQuery
from corianderlb_core.request import (
    AttemptOutcome,
    Candidate,
    Decision,
    RequestFacts,
)

from .interface import CatalogueSource
from .upstream_directory import PlatformDirectory


class Placer:
    """Rank instances for requests and feed back how the attempts went."""

    def __init__(
        self,
        policy: PlacementPolicy,
        directory: PlatformDirectory,
        catalogue: CatalogueSource,
        rng: random.Random,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._policy = policy
        self._directory = directory
        self._catalogue = catalogue
        self._rng = rng
        self._clock = clock

    def place(
        self, facts: RequestFacts, exclude: Collection[Incarnation] = ()
    ) -> Decision:
        """Return the decision for a request; without candidates nothing is usable.

        ``exclude`` names the lives that the request was already tried on.
        """
        catalogue = self._in_force()
        query = self._query(facts, exclude, catalogue)
        return Decision(
            decision_id=DecisionId(f"d-{self._rng.getrandbits(64):016x}"),
            request_id=facts.request_id,
            catalogue_version=catalogue.version,
            policy=self._policy.name,
            candidates=self._policy.choose(query),
            rested_on=_rested_on(facts, catalogue),
        )

    def dispatched(self, facts: RequestFacts, candidate: Candidate) -> None:
        """Take note that the request is being sent to the candidate."""
        query = self._query(facts, (), self._in_force())
        load = self._directory.load_of(candidate.incarnation)
        if load is not None:
            load.dispatched(
                facts.request_id, query.cost.work_s(facts, candidate), query.now
            )
        self._policy.dispatched(query, candidate)

    def first_token(self, facts: RequestFacts, incarnation: Incarnation) -> None:
        """Take note that the first token came, so the request left the queue."""
        load = self._directory.load_of(incarnation)
        if load is not None:
            load.first_token(facts.request_id, self._clock())

    def finished(self, facts: RequestFacts, outcome: AttemptOutcome) -> None:
        """Take note of an attempt's end, whichever way; call it once an attempt.

        ``outcome.incarnation`` is the life that the request was dispatched to.
        """
        load = self._directory.load_of(outcome.incarnation)
        if load is not None:
            load.finished(facts.request_id, self._clock())
        self._policy.answered(facts, outcome)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what was learnt about a life that ended."""
        self._policy.forget(incarnation)

    def _in_force(self) -> Catalogue:
        in_force = self._catalogue.current()
        return in_force.catalogue if in_force else Catalogue()

    def _query(
        self,
        facts: RequestFacts,
        exclude: Collection[Incarnation],
        catalogue: Catalogue,
    ) -> PlacementQuery:
        adapter = catalogue.adapter(facts.target)
        model = catalogue.model(adapter.model if adapter else facts.target)
        return PlacementQuery(
            facts=facts,
            instances=self._directory.usable(facts.upstream),
            cost=ModelCost.of(model) if model else ModelCost(),
            now=self._clock(),
            exclude=exclude,
        )


def _rested_on(facts: RequestFacts, catalogue: Catalogue) -> tuple[str, ...]:
    """Return the entries that the decision rested on, for auditors."""
    keys = [
        EntryKey(EntryKind.ACCOUNT, facts.account),
        EntryKey(EntryKind.MODEL, facts.target),
        EntryKey(EntryKind.ADAPTER, facts.target),
        EntryKey(EntryKind.ROUTE, facts.target),
        EntryKey(EntryKind.UPSTREAM, facts.upstream),
    ]
    adapter = catalogue.adapter(facts.target)
    if adapter is not None:
        keys.append(EntryKey(EntryKind.MODEL, adapter.model))
    return tuple(str(key) for key in keys if key in catalogue.entries)
