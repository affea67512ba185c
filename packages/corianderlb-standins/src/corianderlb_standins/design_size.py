"""Size of fleet and traffic that the system is designed for, and its budgets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class DesignSize:
    """Fleet and traffic that the capacity page is computed for."""

    n_routers: int = 410
    n_upstream_instances: int = 930
    n_zones: int = 6
    requests_per_s: float = 5700.0
    tokens_per_s: float = 1.4e6
    n_cached_pieces: float = 36e6
    cache_events_per_s: float = 530_000.0
    n_accounts: int = 220
    n_models: int = 7
    changes_per_day: float = 1600.0
    in_force_s: float = 13.0
    restarts_per_day: float = 163.0
    """23 failures and 140 restarts or replacements."""

    @property
    def tokens_per_router_s(self) -> float:
        """Stream events per second that a router relays with evenly spread traffic."""
        return self.tokens_per_s / self.n_routers

    @property
    def requests_per_router_s(self) -> float:
        """Requests per second that arrive at one router."""
        return self.requests_per_s / self.n_routers

    @property
    def routers_per_zone(self) -> float:
        """Routers in one availability zone."""
        return self.n_routers / self.n_zones


@dataclass(frozen=True)
class ControlBudget:
    """Resources that one node may spend on control."""

    core_share: float = 0.046
    memory_mb: float = 32.0
    bytes_per_s: float = 2000.0


@dataclass(frozen=True)
class StoreBudget:
    """Rates that the platform's store supports, at the low end of its range."""

    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
