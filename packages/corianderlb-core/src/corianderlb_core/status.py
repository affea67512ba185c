"""Status and decision reports that a router serves as JSON on its admin paths.

``corianderctl status`` and ``corianderctl explain`` read these types. Later fields have
defaults, because a router of another version may not send them.
"""

from __future__ import annotations

from .data_class import dataclass
from .load import LoadReport


@dataclass(frozen=True)
class UpstreamStatus:
    """State of one upstream instance as seen by this router."""

    instance: str
    upstream: str
    address: str
    zone: str
    epoch: int = 0
    usable: bool = False
    health: str = ""
    """State of the upstream's health chart at this router."""
    report: LoadReport | None = None
    report_age_s: float = 0.0


@dataclass(frozen=True)
class MemberStatus:
    """State of another router as seen by this router."""

    instance: str
    zone: str
    presence: str
    catalogue_version: int = 0
    in_force_since: str = ""


@dataclass(frozen=True)
class LeaseStatus:
    """State of one lease as last read by this router."""

    name: str
    holder: str = ""
    fencing_token: int = 0
    remaining_s: float = 0.0


@dataclass(frozen=True)
class QuarantineStatus:
    """A request that is refused because it crashed upstream instances."""

    body_digest: str
    n_crashes: int
    remaining_s: float


@dataclass(frozen=True)
class AccountStatus:
    """Usage of one client account at this router."""

    account: str
    n_running: int = 0
    n_waiting: int = 0
    n_refused: int = 0


@dataclass(frozen=True)
class CounterStatus:
    """One named counter, such as calls to the store by kind."""

    name: str
    value: float


@dataclass(frozen=True)
class RouterStatus:
    """Response to ``GET /admin/status``."""

    instance: str
    epoch: int
    zone: str
    region: str
    state: str
    """State of the router's life cycle chart."""
    catalogue_version: int = 0
    in_force_since: str = ""
    confirmed_age_s: float = 0.0
    """Seconds since the store or a peer last confirmed the version as the newest."""
    n_in_flight: int = 0
    members: tuple[MemberStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()
    quarantine: tuple[QuarantineStatus, ...] = ()
    accounts: tuple[AccountStatus, ...] = ()
    counters: tuple[CounterStatus, ...] = ()


@dataclass(frozen=True)
class EntryReference:
    """Reference to a catalogue entry that a decision was based on, for audits."""

    entry: str
    """As ``kind/name``."""
    owner: str
    changed_in: int
    """Version of the change that last modified the entry."""


@dataclass(frozen=True)
class CandidateReport:
    """Evaluation of one upstream instance in a decision."""

    instance: str
    epoch: int
    expected_hits: int = 0
    import_pieces: int = 0
    estimated_ttft_s: float = 0.0
    reason: str = ""


@dataclass(frozen=True)
class AttemptReport:
    """One attempt at an upstream instance."""

    attempt_id: str
    instance: str
    epoch: int
    code: int
    """``ResultCode`` of the attempt, as a number."""
    started_after_s: float = 0.0
    """Seconds after the request arrived."""
    lasted_s: float = 0.0


@dataclass(frozen=True)
class DecisionReport:
    """Response to ``GET /admin/decisions/<decision id>``."""

    decision_id: str
    request_id: str
    account: str
    target: str
    service_class: str
    catalogue_version: int
    policy: str
    at: str
    """Time of the decision, ISO 8601 in UTC."""
    code: int = 0
    """``ResultCode`` returned to the caller, as a number."""
    candidates: tuple[CandidateReport, ...] = ()
    """Best first."""
    attempts: tuple[AttemptReport, ...] = ()
    rested_on: tuple[EntryReference, ...] = ()
