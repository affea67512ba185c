"""What an upstream instance reports about itself, late and now and then."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadReport:
    """Hold one load report of an upstream instance."""

    epoch: int
    """The incarnation's epoch: a report of another life says nothing about this one."""
    n_running: int = 0
    n_queued: int = 0
    queued_prefill_s: float = 0.0
    """Engine seconds of prefill that wait in its queue."""
    cached_pieces: int = 0
    cache_capacity_pieces: int = 0
    weights: dict[str, str] | None = None
    """Weights version that is loaded, by model; None for a plain service."""
    adapters: dict[str, str] | None = None
    """Adapter versions that are loaded, by adapter."""
    leaving: bool = False
    """True once the instance was told to go."""
    fencing_token: int = 0
    """Highest fencing token among the orders it took."""
    loading: bool = False
    """True while it loads weights or an adapter."""
