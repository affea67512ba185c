"""The policy interface: rank the instances of an upstream for a request.

A policy is pure: the instances, the time and the random source are handed in. It
returns the best candidates first; the caller dispatches to the first and goes on to
the next when that one refuses.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import ClassVar, Final

from .catalogue import Model
from .heat import HotPrefix
from .identity import Incarnation, InstanceId
from .instance_load import InstanceLoad, InstanceSet
from .request import AttemptOutcome, Candidate, RequestFacts
from .settings import PlacementSettings

N_CANDIDATES: Final = 4
"""How many candidates a ranking names; retries seldom go further."""

N_CHOICES: Final = 2
"""Random choices among near-equal instances; two are enough to avoid a herd."""


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

    def work_s(self, n_missing: float) -> float:
        """Return the engine seconds that computing the missing pieces takes."""
        return n_missing * self.prefill_s_per_piece


@dataclass(frozen=True)
class PlacementQuery:
    """Hold one question to a policy."""

    facts: RequestFacts
    instances: InstanceSet
    cost: ModelCost
    now: float
    model: Model | None = None
    """The catalogue's model; None for a plain service."""
    avoid: Collection[InstanceId] = ()
    """Instances that the request must not be sent to, such as those it was tried on."""

    def usable(self) -> list[InstanceLoad]:
        """Return the instances that need not be avoided."""
        if not self.avoid:
            return list(self.instances.instances)
        return [
            load
            for load in self.instances.instances
            if load.incarnation.instance not in self.avoid
        ]

    def is_ready(self, load: InstanceLoad) -> bool:
        """Tell whether the newest report allows that the wanted weights are loaded.

        The engine has the last word: it refuses, not run, what expects others.
        """
        if self.model is None or load.report is None or load.report.weights is None:
            return True
        return load.report.weights.get(self.model.name) == self.model.weights_version


class PlacementPolicy(ABC):
    """Rank the instances of an upstream for a request."""

    name: ClassVar[str]
    """The word that settings choose it by."""

    def __init__(
        self, cfg: PlacementSettings, rng: random.Random, zone: str = ""
    ) -> None:
        self.cfg = cfg
        self.rng = rng
        self.zone = zone
        """The router's own availability zone."""

    @abstractmethod
    def choose(self, query: PlacementQuery) -> tuple[Candidate, ...]:
        """Return candidates, best first; none when no instance is usable."""

    def dispatched(self, facts: RequestFacts, candidate: Candidate, now: float) -> None:
        """Take note that the request goes to the candidate; override to learn."""

    def first_token(self, facts: RequestFacts, waited_s: float, now: float) -> None:
        """Take note of the wait before a prefill began; override to learn."""

    def answered(
        self, facts: RequestFacts, outcome: AttemptOutcome, now: float
    ) -> None:
        """Take note of what an attempt showed; override to learn."""

    def imported(
        self, facts: RequestFacts, n_asked: int, n_imported: int, now: float
    ) -> None:
        """Take note of what an import order brought; override to learn."""

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is known about a life that ended; override to learn."""

    def hottest(self, upstream: str, limit: int, now: float) -> tuple[HotPrefix, ...]:
        """Return the hot prefixes of an upstream, for peers; override to tell."""
        return ()

    def hear_hot(self, upstream: str, hot: Iterable[HotPrefix], now: float) -> None:
        """Take what a peer found hot; override to learn."""
