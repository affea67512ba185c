"""The policy interface: rank the instances of an upstream for a request.

A policy is pure: the instances, the time and the random source are handed in. It
returns the best candidates first; the caller dispatches to the first and goes on to
the next when that one refuses.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass
from typing import ClassVar, Final

from .catalogue import Model
from .identity import Incarnation
from .instance_load import InstanceLoad, InstanceSet
from .request import AttemptOutcome, Candidate, RequestFacts
from .settings import PlacementSettings

N_CANDIDATES: Final = 4
"""How many candidates a ranking names; retries seldom go further."""


@dataclass(frozen=True)
class ModelCost:
    """Hold what a piece costs an engine, in seconds; zero for a plain service."""

    prefill_s_per_piece: float = 0.0
    import_s_per_piece: float | None = None
    """None when there is no KV cache upstream to import from."""

    @classmethod
    def of(cls, model: Model) -> ModelCost:
        """Return the costs that a catalogue entry declares."""
        can_import = model.import_s_per_piece if model.kv_cache else None
        return cls(model.prefill_s_per_piece, can_import)

    def work_s(self, facts: RequestFacts, candidate: Candidate) -> float:
        """Return the estimated engine seconds before the request's first token."""
        missing = len(facts.prefix_keys) - candidate.expected_hits
        imported = candidate.import_pieces * (self.import_s_per_piece or 0.0)
        computed = (missing - candidate.import_pieces) * self.prefill_s_per_piece
        return imported + computed


@dataclass(frozen=True)
class PlacementQuery:
    """Hold one question to a policy."""

    facts: RequestFacts
    instances: InstanceSet
    cost: ModelCost
    now: float
    exclude: Collection[Incarnation] = ()
    """Lives that the request must not be sent to, such as those it was tried on."""

    def usable(self) -> list[InstanceLoad]:
        """Return the instances that are not excluded."""
        if not self.exclude:
            return list(self.instances.instances)
        return [
            load
            for load in self.instances.instances
            if load.incarnation not in self.exclude
        ]


class PlacementPolicy(ABC):
    """Rank the instances of an upstream for a request."""

    name: ClassVar[str]
    """The word that settings choose it by."""

    def __init__(self, cfg: PlacementSettings, rng: random.Random) -> None:
        self.cfg = cfg
        self.rng = rng

    @abstractmethod
    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return candidates, best first; none when no instance is usable."""

    def dispatched(self, query: PlacementQuery, candidate: Candidate) -> None:
        """Take note that the request goes to the candidate; override to learn."""

    def answered(self, facts: RequestFacts, outcome: AttemptOutcome) -> None:
        """Take note of what an attempt showed; override to learn."""

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is known about a life that ended; override to learn."""
