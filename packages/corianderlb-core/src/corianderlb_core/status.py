"""What a router tells operators about itself, over its admin paths, as JSON.

``corianderctl status`` and ``corianderctl explain`` read these types; a router of
another version may lack fields, so each has a default.
"""

from __future__ import annotations

from dataclasses import dataclass

from .load import LoadReport


@dataclass(frozen=True)
class UpstreamStatus:
    """Hold what one router knows about one upstream instance."""

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
    """Hold what one router knows about another."""

    instance: str
    zone: str
    presence: str
    catalogue_version: int = 0
    in_force_since: str = ""


@dataclass(frozen=True)
class LeaseStatus:
    """Hold one lease as the router last read it."""

    name: str
    holder: str = ""
    fencing_token: int = 0
    remaining_s: float = 0.0


@dataclass(frozen=True)
class QuarantineStatus:
    """Hold one request that is refused because it crashed upstream instances."""

    body_digest: str
    n_crashes: int
    remaining_s: float


@dataclass(frozen=True)
class AccountStatus:
    """Hold how much one client account uses of its limits at this router."""

    account: str
    n_running: int = 0
    n_waiting: int = 0
    n_refused: int = 0


@dataclass(frozen=True)
class CounterStatus:
    """Hold one named counter, such as calls to the store by kind."""

    name: str
    value: float


@dataclass(frozen=True)
class RouterStatus:
    """Answer ``GET /admin/status``."""

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
    """Name a catalogue entry that a decision rested on, for the audit."""

    entry: str
    """As ``kind/name``."""
    owner: str
    changed_in: int
    """Version of the change that put it in force."""


@dataclass(frozen=True)
class CandidateReport:
    """Hold one upstream instance as the decision weighed it."""

    instance: str
    epoch: int
    expected_hits: int = 0
    import_pieces: int = 0
    estimated_ttft_s: float = 0.0
    reason: str = ""


@dataclass(frozen=True)
class AttemptReport:
    """Hold one sending of the request to an upstream instance."""

    attempt_id: str
    instance: str
    epoch: int
    code: int
    """Number of the ``ResultCode`` that the attempt ended with."""
    started_after_s: float = 0.0
    """Seconds after the request arrived."""
    lasted_s: float = 0.0


@dataclass(frozen=True)
class DecisionReport:
    """Answer ``GET /admin/decisions/<decision id>``."""

    decision_id: str
    request_id: str
    account: str
    target: str
    service_class: str
    catalogue_version: int
    policy: str
    at: str
    """When it was decided, ISO 8601 in UTC."""
    code: int = 0
    """Number of the ``ResultCode`` that the caller got."""
    candidates: tuple[CandidateReport, ...] = ()
    """Best first."""
    attempts: tuple[AttemptReport, ...] = ()
    rested_on: tuple[EntryReference, ...] = ()
