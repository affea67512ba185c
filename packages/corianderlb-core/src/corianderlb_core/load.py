"""Load reports of upstream instances, which are infrequent and delayed."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .codec import MAX_INTEGER, BoundedInteger
from .data_class import dataclass

_Seconds = Annotated[float, msgspec.Meta(ge=0, le=float(MAX_INTEGER))]


@dataclass(frozen=True)
class LoadReport:
    """One load report of an upstream instance."""

    epoch: BoundedInteger
    """Epoch of the incarnation; reports of other incarnations must be ignored."""
    n_running: BoundedInteger = 0
    n_queued: BoundedInteger = 0
    queued_prefill_s: _Seconds = 0.0
    """Engine seconds of prefill in its queue."""
    cached_pieces: BoundedInteger = 0
    cache_capacity_pieces: BoundedInteger = 0
    weights: dict[str, str] | None = None
    """Loaded weights version by model; None for a service without models."""
    adapters: dict[str, str] | None = None
    """Loaded version by adapter."""
    leaving: bool = False
    """Whether the instance has been told to leave service."""
    fencing_token: BoundedInteger = 0
    """Highest fencing token among the orders it accepted."""
    loading: bool = False
    """Whether it is loading weights or an adapter."""
