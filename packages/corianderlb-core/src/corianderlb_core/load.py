"""Load reports of upstream instances, which are infrequent and delayed."""

from __future__ import annotations

from .data_class import dataclass


@dataclass(frozen=True)
class LoadReport:
    """One load report of an upstream instance."""

    epoch: int
    """Epoch of the incarnation; reports of other incarnations must be ignored."""
    n_running: int = 0
    n_queued: int = 0
    queued_prefill_s: float = 0.0
    """Engine seconds of prefill in its queue."""
    cached_pieces: int = 0
    cache_capacity_pieces: int = 0
    weights: dict[str, str] | None = None
    """Loaded weights version by model; None for a service without models."""
    adapters: dict[str, str] | None = None
    """Loaded version by adapter."""
    leaving: bool = False
    """Whether the instance has been told to leave service."""
    fencing_token: int = 0
    """Highest fencing token among the orders it accepted."""
    loading: bool = False
    """Whether it is loading weights or an adapter."""
