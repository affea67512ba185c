"""What an engine stand-in is, and what goes wrong with it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .batch import BatchCost


@dataclass(frozen=True)
class EngineSettings:
    """Describe one engine instance."""

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
    """How old a load report is."""
    event_lag_s: float = 0.0
    event_loss: float = 0.0
    """Share of cache events that are never shown."""
    checks_fencing: bool = False
    kv_cache: str = ""
    """Address of a KV cache stand-in, or empty."""
    weight_store: str = ""
    """Address of the store stand-in, or empty to load weights alone."""


@dataclass(frozen=True)
class EngineFaults:
    """Say what goes wrong with an engine now; -1 for an index means never."""

    n_affected: int = -1
    """Generating requests still to be harmed by the stream faults; -1 for all."""
    crash: bool = False
    """Exit at once."""
    crash_on: str = ""
    """Exit when a request body contains this text."""
    crash_at: int = -1
    """Exit once a stream wrote this many events."""
    freeze: bool = False
    """Take requests and never answer."""
    close_at: int = -1
    """End a stream cleanly before this event, without a terminal event."""
    cut_at: int = -1
    """Cut the connection before this event."""
    skip_at: int = -1
    """Leave this event out."""
    repeat_at: int = -1
    """Send this event twice."""
    stall_at: int = -1
    """Go silent before this event and stay so."""
    crossed: bool = False
    """Answer with another attempt's id and another prompt's text."""
    ignore_weights: bool = False
    """Run a request although it expects other weights."""
    slow_factor: float = 1.0
    refuse: bool = False
    """Refuse requests with 503 before running them."""
    leaving: bool = False
    """Say in load reports that this instance is to go."""
