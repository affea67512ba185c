"""Settings of a router, read from YAML and validated as a whole at startup.

``settings_file`` reads them. The annotation of a field holds its range, from which the
check and its message are derived. Secrets are not part of the settings, which only name
the files that contain them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal, TypeAlias

from msgspec import Meta

Port: TypeAlias = Annotated[int, Meta(ge=0, le=65535)]
"""A TCP port; 0 lets the kernel pick one."""

Seconds: TypeAlias = Annotated[float, Meta(gt=0.0, le=86400.0)]
"""A positive duration of at most one day."""

Positive: TypeAlias = Annotated[int, Meta(ge=1)]
"""An integer of at least 1."""

Name: TypeAlias = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
"""A platform name: letters, digits, dots, underscores and hyphens."""


@dataclass(frozen=True)
class ListenSettings:
    """Addresses on which this instance accepts clients and peers."""

    host: str = "127.0.0.1"
    """Address for callers and operators."""
    port: Port = 8080
    """Port for callers and operators."""
    peer_host: str = "127.0.0.1"
    """Address for other routers."""
    peer_port: Port = 8081
    """Port for other routers."""


@dataclass(frozen=True)
class StoreSettings:
    """Settings of the platform's object service, the store."""

    url: str
    """Where the platform's object service answers."""
    timeout_s: Seconds = 2.0
    """Longest wait for one answer of the store."""


@dataclass(frozen=True)
class PeerSettings:
    """Settings of the connections between routers."""

    key_file: str
    """File with the shared key; a router without it cannot join."""
    n_peers: Annotated[int, Meta(ge=1, le=64)] = 6
    """Links to other routers that an instance has about; all when there are few."""
    heartbeat_s: Seconds = 1.0
    """Time between two heartbeats over a link."""
    silent_after_s: Seconds = 5.0
    """Silence after which a link counts as dead; several heartbeats long."""
    suspect_after_s: Seconds = 5.0
    """How long a router must be out of reach before the others are told."""
    seeds: tuple[str, ...] = ()
    """Peer addresses, as host:port, to try while no link is open. A router that starts
    while the platform's list cannot be read finds the others by them alone."""


@dataclass(frozen=True)
class OperatorSettings:
    """Access of operators to status, decisions and draining."""

    key_file: str
    """File with the operators' key for the administration paths."""


@dataclass(frozen=True)
class JournalSettings:
    """Settings of the journal of non-repeatable calls; equal on all routers."""

    n_shards: Annotated[int, Meta(ge=1, le=999)] = 4
    """Objects that calls are spread over; change it only while no call runs."""
    retention_s: Annotated[float, Meta(ge=60.0)] = 86400.0
    """How long a repeat of a call gets the first answer."""
    seal_bytes: Annotated[int, Meta(ge=1024, le=256 * 1024)] = 128 * 1024
    """Size from which settled records leave a shard's head for a sealed segment."""
    max_segments: Annotated[int, Meta(ge=1, le=1000)] = 32
    """Sealed segments a shard may have; a full shard refuses new calls, not run."""
    inline_bytes: Annotated[int, Meta(ge=0, le=2048)] = 1024
    """Answers up to this size stand in the record; longer ones are own objects."""
    begin_timeout_s: Seconds = 3.0
    """Longest wait for the store before a call is refused, not run."""
    finish_wait_s: Seconds = 1.0
    """Longest that an answer is held back until it is recorded."""
    repeat_wait_s: Seconds = 2.0
    """Longest that a repeat waits for the first run on the same router."""
    owner_grace_s: Seconds = 3.0
    """How long a call's router may be missing among the peers before the call counts
    as in doubt."""
    in_doubt_s: Seconds = 120.0
    """How long a call may run before a repeat is told that its outcome is unknown."""


@dataclass(frozen=True)
class AdmissionSettings:
    """Settings of limits and queues; equal on all routers."""

    concurrent_per_instance: Annotated[int, Meta(ge=1)] = 64
    """Requests at one upstream instance, over all routers together."""
    max_waiting: Annotated[int, Meta(ge=0)] = 512
    """Requests that wait for one upstream at most; more are refused at once."""
    standard_wait_s: Seconds = 2.0
    """Waiting after which standard requests get turns beside urgent ones."""
    deferrable_wait_s: Seconds = 15.0
    """Waiting after which deferrable requests get turns beside all others."""
    overdue_every: Annotated[int, Meta(ge=2)] = 4
    """Every so many turns go to requests that waited so long."""
    grant_valid_s: Seconds = 3.0
    """How long a router may spend what an entry's home handed out."""
    grant_burst_s: Seconds = 1.0
    """Seconds of a rate that an idle entry saves up."""
    grant_answer_s: Seconds = 0.5
    """How long a home may be silent before a router takes its even share."""


@dataclass(frozen=True)
class OrderSettings:
    """Settings of the leases for orders to engines; equal on all routers."""

    lease_s: Seconds = 10.0
    """How long a holder may act without hearing from the store."""
    margin_s: Seconds = 1.0
    """How much longer the others wait, for clocks that run unlike."""
    send_s: Seconds = 2.0
    """Longest time to send an order and get its answer; below ``lease_s``."""
    flight_s: Seconds = 5.0
    """Longest time until an order shows in the engine's report, its lag included."""


@dataclass(frozen=True)
class PlacementSettings:
    """Settings of how requests are distributed over the instances of an upstream."""

    policy: Literal["default", "round_robin", "least_loaded", "hash_only"] = "default"
    """The default, or a baseline to measure it beside."""
    hash_pieces: Annotated[int, Meta(ge=1)] = 1
    """Pieces of the prompt that ``hash_only`` hashes."""
    zone_penalty_s: Annotated[float, Meta(ge=0)] = 0.002
    """What an instance in another zone must be better by."""
    report_lag_s: Annotated[float, Meta(ge=0, le=60)] = 0.2
    """Age that a load report has when it is read."""
    read_min_s: Seconds = 0.5
    """Shortest time between two reads of an upstream instance's load."""
    read_budget: Annotated[float, Meta(gt=0)] = 1000.0
    """Bytes a second that reading loads may take; more instances are read less
    often."""
    gossip_min_s: Seconds = 0.5
    """Shortest time between two load vectors to the peers."""
    gossip_budget: Annotated[float, Meta(gt=0)] = 800.0
    """Bytes a second that load vectors may take, over all peers."""
    import_wait_s: Seconds = 1.0
    """Longest that a request waits for pieces to be imported."""


@dataclass(frozen=True)
class DataPathSettings:
    """Settings of how requests are read, relayed and finished."""

    max_body_bytes: Positive = 8 << 20
    """Longest body of a request."""
    max_header_bytes: Positive = 32 << 10
    """Longest headers of a request, names and values together."""
    max_answer_bytes: Positive = 8 << 20
    """Longest answer of a plain service; a longer one is an upstream failure."""
    default_deadline_s: Seconds = 600.0
    """For a request that names no deadline of its own."""
    connect_timeout_s: Seconds = 1.0
    """Longest time for a connection to an upstream instance."""
    first_event_timeout_s: Seconds = 10.0
    """Silence allowed before the first event, while the prompt is computed."""
    queue_timeout_s: Seconds = 120.0
    """Longest wait before the first event on an instance that still answers."""
    resume_timeout_s: Seconds = 2.0
    """Silence allowed before the head of the answer to a resume."""
    stall_timeout_s: Seconds = 5.0
    """Silence allowed between two events of a stream."""
    caller_stall_timeout_s: Seconds = 60.0
    """How long a caller may leave its answer unread."""
    balancer_lag_s: Annotated[float, Meta(ge=0.0, le=3600.0)] = 5.0
    """How long the balancer may go on sending after readiness turned."""
    n_decisions: Positive = 2000
    """Decisions that are kept for ``corianderctl explain``."""


@dataclass(frozen=True)
class CatalogueSettings:
    """Settings of how long a router uses a catalogue that may be stale."""

    stale_after_s: Seconds = 12.0
    """Seconds without the store and without any peer after which it refuses."""


@dataclass(frozen=True)
class RouterSettings:
    """All settings of one router."""

    instance: Name
    """The platform's name of this instance."""
    zone: Name
    """Its availability zone."""
    region: Name
    """Its region."""
    store: StoreSettings
    peer: PeerSettings
    operator: OperatorSettings
    listen: ListenSettings = field(default_factory=ListenSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    journal: JournalSettings = field(default_factory=JournalSettings)
    catalogue: CatalogueSettings = field(default_factory=CatalogueSettings)
    data_path: DataPathSettings = field(default_factory=DataPathSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
