"""Workload of the benchmark: prompts with customer, site and batch parts.

It is determined by the seed, so that each policy receives the same requests at the
same times.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Final

from corianderlb_core.catalogue import ServiceClass

from .fleet_plan import LARGE_ACCOUNTS, SMALL_ACCOUNTS

ACCOUNTS: Final = (*LARGE_ACCOUNTS, *SMALL_ACCOUNTS)
"""All client accounts, the large ones first."""

TRAFFIC_SHARES: Final = (6, 4, 1, 1, 1, 1, 1, 1)
"""Relative request rate of each account."""

N_SITES: Final = (12, 8, 3, 3, 3, 3, 3, 3)
"""Sites of each account; the n-th receives 1/n of the first site's requests."""

PIECES_PER_PART: Final = (3, 3, 2)
"""Pieces in the customer, site and batch parts of a prompt."""

BATCH_INTERVAL_S: Final = 5.0
"""Interval between new batches of a site."""

N_BATCHES: Final = 4
"""Number of newest batches that requests choose from."""

CLASS_SHARES: Final = {
    ServiceClass.URGENT: 4,
    ServiceClass.STANDARD: 4,
    ServiceClass.DEFERRABLE: 2,
}
"""Relative request rate of each service class."""

CLASS_TOKENS: Final = {
    ServiceClass.URGENT: 4,
    ServiceClass.STANDARD: 8,
    ServiceClass.DEFERRABLE: 16,
}
"""Tokens per answer, by service class."""

HOT_ACCOUNT_INDEX: Final = 7
"""Index of the account whose last site becomes hot in ``HOT_SHIFT``."""

HOT_SHARE: Final = 0.5
"""Fraction of requests that the hot site receives."""

PIECE_CHARS: Final = 4000


class Scenario(Enum):
    """Event during a benchmark run."""

    STEADY = "steady"
    HOT_SHIFT = "hot_shift"
    """One site of a small account receives half of the traffic in the second half."""
    ENGINE_KILLED = "engine_killed"
    """An engine is killed halfway and restarts with an empty cache."""
    LATE_REPORTS = "late_reports"
    """Load reports arrive with a delay of 2 s."""


@dataclass(frozen=True)
class Arrival:
    """One request of the workload."""

    at: float
    """Seconds since the start."""
    router: int
    account: str
    site: int
    batch: int
    service_class: ServiceClass

    @property
    def n_tokens(self) -> int:
        """Tokens of the answer."""
        return CLASS_TOKENS[self.service_class]

    @property
    def piece_names(self) -> tuple[tuple[str, int], ...]:
        """Names of the prompt's pieces, unique over all accounts."""
        customer, site = self.account, f"{self.account}/{self.site}"
        names = (customer, site, f"{site}/{self.batch}")
        return tuple(
            (name, index)
            for name, n_pieces in zip(names, PIECES_PER_PART, strict=True)
            for index in range(n_pieces)
        )

    @property
    def prompt(self) -> str:
        """Text of the prompt; fills whole pieces once a chat role is prepended."""
        pieces = [
            f"{name} log {index}: ".ljust(PIECE_CHARS, ".")
            for name, index in self.piece_names
        ]
        return "".join(pieces)


def draw_arrivals(
    scenario: Scenario, seed: int, rate: float, seconds: float, n_routers: int
) -> list[Arrival]:
    """Return the requests of one run, ordered by time.

    Arrivals are a Poisson process of ``rate`` requests per second (open loop).
    """
    rng = random.Random(f"{scenario.value}-{seed}")
    arrivals = []
    at = rng.expovariate(rate)
    while at < seconds:
        arrivals.append(_draw_arrival(scenario, rng, at, seconds, n_routers))
        at += rng.expovariate(rate)
    return arrivals


def _draw_arrival(
    scenario: Scenario, rng: random.Random, at: float, seconds: float, n_routers: int
) -> Arrival:
    index = rng.choices(range(len(ACCOUNTS)), TRAFFIC_SHARES)[0]
    n_sites = N_SITES[index]
    site = rng.choices(range(n_sites), [1 / (i + 1) for i in range(n_sites)])[0]
    is_hot = rng.random() < HOT_SHARE
    if scenario is Scenario.HOT_SHIFT and at >= seconds / 2 and is_hot:
        index, site = HOT_ACCOUNT_INDEX, N_SITES[HOT_ACCOUNT_INDEX] - 1
    classes = list(CLASS_SHARES)
    return Arrival(
        at=at,
        router=rng.randrange(n_routers),
        account=ACCOUNTS[index],
        site=site,
        batch=int(at / BATCH_INTERVAL_S) - rng.randrange(N_BATCHES),
        service_class=rng.choices(classes, list(CLASS_SHARES.values()))[0],
    )
