"""The policy interface: rank the instances of an upstream for a request.

The instances, the time and the random source are passed in. A policy returns the best
candidates first; the caller dispatches to the first and falls back to the next when it
is refused.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable
from typing import ClassVar, Final

from .catalogue import Model
from .data_class import dataclass
from .hot_prefix import HotPrefix
from .identity import Incarnation, InstanceId
from .instance_load import InstanceLoad, InstanceSet
from .request import AttemptOutcome, Candidate, RequestFacts
from .settings import PlacementSettings

N_CANDIDATES: Final = 4
"""Candidates in a ranking; retries seldom need more."""

N_CHOICES: Final = 2
"""Random choices among near-equal instances; two avoid a thundering herd."""


@dataclass(frozen=True)
class ModelCost:
    """Cost of a piece at an engine, in seconds; zero for a plain service."""

    prefill_s_per_piece: float = 0.0
    import_s_per_piece: float | None = None
    """None when there is no KV cache upstream to import from."""

    @classmethod
    def of(cls, model: Model) -> ModelCost:
        """Return the costs that a catalogue entry declares."""
        can_import = model.import_s_per_piece if model.kv_cache else None
        return cls(model.prefill_s_per_piece, can_import)

    def work_s(self, n_missing: float) -> float:
        """Return the seconds that an engine takes to compute the missing pieces."""
        return n_missing * self.prefill_s_per_piece


@dataclass(frozen=True)
class PlacementQuery:
    """A request to place and the state that the policy decides on."""

    facts: RequestFacts
    instances: InstanceSet
    cost: ModelCost
    now: float
    model: Model | None = None
    """The catalogue's model; None for a plain service."""
    avoid: Collection[InstanceId] = ()
    """Instances to exclude, such as those that were already tried."""

    def usable(self) -> list[InstanceLoad]:
        """Return the instances that are not excluded."""
        if not self.avoid:
            return list(self.instances.instances)
        return [
            load
            for load in self.instances.instances
            if load.incarnation.instance not in self.avoid
        ]

    def is_ready(self, load: InstanceLoad) -> bool:
        """Return whether the newest report is consistent with the required weights.

        The engine decides: it refuses requests that expect other weights.
        """
        if self.model is None or load.report is None or load.report.weights is None:
            return True
        return load.report.weights.get(self.model.name) == self.model.weights_version


class PlacementPolicy(ABC):
    """Rank the instances of an upstream for a request."""

    name: ClassVar[str]
    """Name of the policy in the settings."""

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
        """Record that the request is sent to the candidate; does nothing by default."""

    def first_token(self, facts: RequestFacts, waited_s: float, now: float) -> None:
        """Record the wait before a prefill began; does nothing by default."""

    def answered(
        self, facts: RequestFacts, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record the outcome of an attempt; does nothing by default."""

    def imported(
        self, facts: RequestFacts, n_asked: int, n_imported: int, now: float
    ) -> None:
        """Record the result of an import order; does nothing by default."""

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the state of an incarnation that ended; does nothing by default."""

    def hottest(self, upstream: str, limit: int, now: float) -> tuple[HotPrefix, ...]:
        """Return the hot prefixes of an upstream, to send to peers; none by default."""
        return ()

    def merge_hot(self, upstream: str, hot: Iterable[HotPrefix], now: float) -> None:
        """Merge the hot prefixes of a peer; does nothing by default."""
