"""Place requests on upstream instances with the configured policy.

For each attempt the data path calls ``place``, ``attempt_started``, ``first_token``
(completions only) and ``attempt_ended``, in this order. None of them blocks.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Final

import trio

from corianderlb_core.catalogue import Catalogue, Model
from corianderlb_core.identity import Incarnation, InstanceId
from corianderlb_core.placement import ModelCost, PlacementPolicy, PlacementQuery
from corianderlb_core.request import (
    AttemptOutcome,
    Candidate,
    Decision,
    Refusal,
    RequestFacts,
)
from corianderlb_core.result import ResultCode

from .interface import Placer
from .upstream_directory import PlatformDirectory

RETRY_AFTER_S: Final = 2.0
"""Retry-after without a usable instance: about one read of the instance list."""


class PolicyPlacer(Placer):
    """Ranks instances for requests and reports attempt outcomes to the policy."""

    def __init__(
        self,
        policy: PlacementPolicy,
        directory: PlatformDirectory,
        rng: random.Random,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._policy = policy
        self._directory = directory
        self._rng = rng
        self._clock = clock

    def place(
        self,
        facts: RequestFacts,
        catalogue: Catalogue,
        avoid: Collection[InstanceId] = (),
    ) -> Decision | Refusal:
        """Return the candidates, best first, except those in ``avoid``."""
        model = _model(facts, catalogue)
        query = PlacementQuery(
            facts=facts,
            instances=self._directory.usable(facts.upstream),
            cost=ModelCost.of(model) if model else ModelCost(),
            now=self._clock(),
            model=model,
            avoid=avoid,
        )
        candidates = self._policy.choose(query)
        if not candidates:
            return Refusal(
                ResultCode.NO_UPSTREAM,
                f"No instance of {facts.upstream} is usable; retry later.",
                self._directory.rest_left_s(facts.upstream) or RETRY_AFTER_S,
            )
        return Decision(
            request_id=facts.request_id,
            catalogue_version=catalogue.version,
            policy=self._policy.name,
            candidates=candidates,
        )

    def attempt_started(self, facts: RequestFacts, candidate: Candidate) -> None:
        """Count an attempt that is about to be sent."""
        now = self._clock()
        load = self._directory.load_of(candidate.incarnation)
        if load is not None:
            load.dispatched(facts.request_id, candidate.work_s, now)
        self._policy.dispatched(facts, candidate, now)

    def first_token(self, facts: RequestFacts, incarnation: Incarnation) -> None:
        """Record the first token, which shows that the request left the queue."""
        load = self._directory.load_of(incarnation)
        if load is not None:
            waited_s = load.first_token(facts.request_id, self._clock())
            self._policy.first_token(facts, waited_s, self._clock())

    def imported(self, facts: RequestFacts, n_asked: int, n_imported: int) -> None:
        """Record how many of the requested pieces an engine imported."""
        self._policy.imported(facts, n_asked, n_imported, self._clock())

    def attempt_ended(self, facts: RequestFacts, outcome: AttemptOutcome) -> None:
        """Release the attempt's load and update the policy with its outcome."""
        load = self._directory.load_of(outcome.incarnation)
        if load is not None:
            load.finished(facts.request_id, self._clock())
        self._policy.answered(facts, outcome, self._clock())

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the policy's state of an incarnation that has ended."""
        self._policy.forget(incarnation)


def _model(facts: RequestFacts, catalogue: Catalogue) -> Model | None:
    adapter = catalogue.adapter(facts.target)
    return catalogue.model(adapter.model if adapter else facts.target)
