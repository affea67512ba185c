"""Settings of a router, read from YAML and validated as a whole at startup.

``settings_file`` reads them. The annotation of a field holds its range, from which the
check and its message are derived. Secrets are not part of the settings, which only name
the files that contain them.
"""

from __future__ import annotations

from dataclasses import field
from typing import Annotated, Literal, TypeAlias

from msgspec import Meta

from .data_class import dataclass

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
    """Address for clients and operators."""
    port: Port = 8080
    """Port for clients and operators."""
    peer_host: str = "127.0.0.1"
    """Address for other routers."""
    peer_port: Port = 8081
    """Port for other routers."""


@dataclass(frozen=True)
class StoreSettings:
    """Settings of the platform's object service, the store."""

    url: str
    """URL of the platform's object service."""
    timeout_s: Seconds = 2.0
    """Timeout of one request to the store."""


@dataclass(frozen=True)
class PeerSettings:
    """Settings of the connections between routers."""

    key_file: str
    """File with the shared key that routers authenticate each other with."""
    n_peers: Annotated[int, Meta(ge=1, le=64)] = 6
    """Approximate number of links to other routers; all routers in a small fleet."""
    heartbeat_s: Seconds = 1.0
    """Interval of heartbeats on a link."""
    silent_after_s: Seconds = 5.0
    """Time without a frame after which a link counts as dead; several heartbeats."""
    suspect_after_s: Seconds = 5.0
    """Time for which a router must be unreachable before this is announced."""
    seeds: tuple[str, ...] = ()
    """Peer addresses, as host:port, to try while no link is open. They let a router
    join that starts while the platform's list cannot be read."""


@dataclass(frozen=True)
class OperatorSettings:
    """Access of operators to status, decisions and draining."""

    key_file: str
    """File with the operators' key for the administration paths."""


@dataclass(frozen=True)
class JournalSettings:
    """Settings of the journal of non-repeatable calls; equal on all routers."""

    n_shards: Annotated[int, Meta(ge=1, le=999)] = 4
    """Number of shards of the journal; change it only while no call is in flight."""
    retention_s: Annotated[float, Meta(ge=60.0)] = 86400.0
    """Time for which a repeat of a call is answered from the journal."""
    seal_bytes: Annotated[int, Meta(ge=1024, le=256 * 1024)] = 128 * 1024
    """Size of a shard's head above which its settled records are moved to a sealed
    segment."""
    max_segments: Annotated[int, Meta(ge=1, le=1000)] = 32
    """Maximum of sealed segments per shard; a full shard refuses new calls without
    running them."""
    inline_bytes: Annotated[int, Meta(ge=0, le=2048)] = 1024
    """Answers up to this size are stored in the record, longer ones as objects."""
    begin_timeout_s: Seconds = 3.0
    """Longest wait for the store before a call is refused without running it."""
    finish_wait_s: Seconds = 1.0
    """Longest delay of an answer while it is being recorded."""
    repeat_wait_s: Seconds = 2.0
    """Longest wait of a repeat for the first run on the same router."""
    owner_grace_s: Seconds = 3.0
    """Time for which a call's router may be missing from the peers before the call is
    in doubt."""
    in_doubt_s: Seconds = 120.0
    """Time after which a repeat of a running call is answered with an unknown
    outcome."""


@dataclass(frozen=True)
class AdmissionSettings:
    """Settings of limits and queues; equal on all routers."""

    concurrent_per_instance: Annotated[int, Meta(ge=1)] = 64
    """Maximum of concurrent requests per upstream instance, over all routers."""
    max_waiting: Annotated[int, Meta(ge=0)] = 512
    """Maximum of queued requests per upstream; more are refused immediately."""
    standard_wait_s: Seconds = 2.0
    """Queueing time after which standard requests are overdue and are served along
    with urgent ones."""
    deferrable_wait_s: Seconds = 15.0
    """Queueing time after which deferrable requests are overdue and are served along
    with all others."""
    overdue_every: Annotated[int, Meta(ge=2)] = 4
    """One in this many admissions goes to an overdue request."""
    grant_valid_s: Seconds = 3.0
    """Validity of a grant from the primary router of an entry's limits."""
    grant_burst_s: Seconds = 1.0
    """Burst that an idle entry accumulates, in seconds of its rate limit."""
    grant_answer_s: Seconds = 0.5
    """Timeout of a grant request, after which a router uses an even share of the
    limit."""


@dataclass(frozen=True)
class OrderSettings:
    """Settings of the leases for orders to engines; equal on all routers."""

    lease_s: Seconds = 10.0
    """Time for which a holder may act without an answer from the store."""
    margin_s: Seconds = 1.0
    """Additional wait of the other routers, to allow for clock drift."""
    send_s: Seconds = 2.0
    """Timeout of sending an order and receiving its answer; below ``lease_s``."""
    flight_s: Seconds = 5.0
    """Longest time until an order appears in the engine's report, including the
    report's lag."""


@dataclass(frozen=True)
class PlacementSettings:
    """Settings of how requests are distributed over the instances of an upstream."""

    policy: Literal["default", "round_robin", "least_loaded", "hash_only"] = "default"
    """Placement policy: the default, or a baseline for comparison."""
    hash_pieces: Annotated[int, Meta(ge=1)] = 1
    """Number of leading pieces of the prompt that ``hash_only`` hashes."""
    zone_penalty_s: Annotated[float, Meta(ge=0)] = 0.002
    """Cost in seconds added to instances in another availability zone."""
    report_lag_s: Annotated[float, Meta(ge=0, le=60)] = 0.2
    """Assumed age of a load report when it is read."""
    read_min_s: Seconds = 0.5
    """Shortest interval of reading an upstream instance's load."""
    read_budget: Annotated[float, Meta(gt=0)] = 1000.0
    """Bytes per second for reading loads; with more instances, each is read less
    often."""
    gossip_min_s: Seconds = 0.5
    """Shortest interval of sending load vectors to the peers."""
    gossip_budget: Annotated[float, Meta(gt=0)] = 800.0
    """Bytes per second for load vectors, over all peers."""
    import_wait_s: Seconds = 1.0
    """Longest wait of a request for the import of pieces."""


@dataclass(frozen=True)
class DataPathSettings:
    """Settings of how requests are read, relayed and finished."""

    max_body_bytes: Positive = 8 << 20
    """Maximum size of a request body."""
    max_header_bytes: Positive = 32 << 10
    """Maximum size of a request's headers, names and values together."""
    max_answer_bytes: Positive = 8 << 20
    """Maximum size of a plain service's answer; a larger one is an upstream failure."""
    default_deadline_s: Seconds = 600.0
    """Deadline of requests that set none."""
    connect_timeout_s: Seconds = 1.0
    """Timeout of connecting to an upstream instance."""
    first_event_timeout_s: Seconds = 10.0
    """Longest wait for the first event, during prefill."""
    queue_timeout_s: Seconds = 120.0
    """Longest wait for the first event from an instance that still responds."""
    resume_timeout_s: Seconds = 2.0
    """Longest wait for the response headers when resuming a stream."""
    stall_timeout_s: Seconds = 5.0
    """Longest wait between two events of a stream."""
    caller_stall_timeout_s: Seconds = 60.0
    """Longest time for which a client may not read its response."""
    balancer_lag_s: Annotated[float, Meta(ge=0.0, le=3600.0)] = 5.0
    """Time for which the load balancer may keep sending requests after the router
    reports that it is not ready."""
    n_decisions: Positive = 2000
    """Number of decisions kept for ``corianderctl explain``."""


@dataclass(frozen=True)
class CatalogueSettings:
    """Settings of how long a router uses a catalogue that may be stale."""

    stale_after_s: Seconds = 12.0
    """Time without contact to the store or any peer after which a router refuses
    requests."""


@dataclass(frozen=True)
class RouterSettings:
    """All settings of one router."""

    instance: Name
    """Platform name of this instance."""
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
