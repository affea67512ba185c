"""Settings and injected faults of an engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass, field

from .batch import BatchCost


@dataclass(frozen=True)
class EngineSettings:
    """Settings of one engine instance."""

    instance: str
    epoch: int
    models: dict[str, str] = field(default_factory=dict)
    """Weights version by model."""
    adapters: dict[str, str] = field(default_factory=dict)
    piece_chars: int = 4000
    cache_pieces: int = 256
    cost: BatchCost = field(default_factory=BatchCost)
    import_s_per_piece: float = 0.02
    load_lag_s: float = 0.0
    """Age of the load that is reported."""
    event_lag_s: float = 0.0
    event_loss: float = 0.0
    """Share of cache events that are dropped."""
    checks_fencing: bool = False
    kv_cache: str = ""
    """Address of a KV cache stand-in, or empty."""
    weight_store: str = ""
    """Address of the store stand-in, or empty to load weights without a store."""


@dataclass(frozen=True)
class EngineFaults:
    """Injected faults of an engine; an event index of -1 means never."""

    n_affected: int = -1
    """Number of completions that the stream faults still affect; -1 for all."""
    crash: bool = False
    """Exit on the next call."""
    crash_on: str = ""
    """Exit when a request body contains this text."""
    crash_at: int = -1
    """Exit before this event."""
    freeze: bool = False
    """Accept requests and never answer them."""
    close_at: int = -1
    """End a stream cleanly before this event, without a terminal event."""
    cut_at: int = -1
    """Cut the connection before this event."""
    skip_at: int = -1
    """Omit this event."""
    repeat_at: int = -1
    """Send this event twice."""
    stall_at: int = -1
    """Send nothing from this event on, with the connection open."""
    crossed: bool = False
    """Answer with another attempt's id and another prompt's text."""
    ignore_weights: bool = False
    """Run a request even if it expects other weights or another adapter."""
    slow_factor: float = 1.0
    refuse: bool = False
    """Refuse requests with 503 before running them."""
    leaving: bool = False
    """Report in load reports that this instance is leaving."""
