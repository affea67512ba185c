"""Data about a request that routing decisions use, and their results."""

from __future__ import annotations

from .data_class import dataclass
from .identity import AccountId, Incarnation, InstanceId, RequestId
from .result import ResultCode
from .service_class import ServiceClass


@dataclass(frozen=True)
class RequestFacts:
    """Properties of a request that routing, limits and retries depend on."""

    request_id: RequestId
    account: AccountId
    service_class: ServiceClass
    target: str
    """Model, adapter or route requested by the caller."""
    upstream: str
    """Catalogue name of the upstream that serves the target."""
    arrived_at: float
    """Seconds on the router's clock."""
    deadline: float
    """Seconds on the router's clock; the caller does not wait longer."""
    repeatable: bool = True
    body_digest: bytes = b""
    """Digest of account and body; the quarantine key, equal on all routers."""
    prefix_keys: tuple[bytes, ...] = ()
    """Keys of the nested prefixes, shortest first, one per piece."""
    prompt_tokens: int = 0
    """Token count estimated from the length of the prompt."""


@dataclass(frozen=True)
class Candidate:
    """Evaluation of one upstream instance in a decision."""

    incarnation: Incarnation
    expected_hits: int
    """Pieces of the prompt expected in its cache."""
    import_pieces: int
    """Pieces that it should first import from the KV cache upstream."""
    estimated_ttft_s: float
    """Estimated seconds to the first token."""
    reason: str
    """Reason for its rank, shown by ``corianderctl explain``."""
    work_s: float = 0.0
    """Estimated engine seconds to prefill this request, without queueing."""


@dataclass(frozen=True)
class Decision:
    """Result of placement."""

    request_id: RequestId
    catalogue_version: int
    policy: str
    candidates: tuple[Candidate, ...]
    """Best first."""


@dataclass(frozen=True)
class Refusal:
    """Final refusal of a request, returned to the caller."""

    code: ResultCode
    detail: str
    """One sentence that says what the caller should do."""
    retry_after_s: float = 0.0
    """Seconds until the caller may retry; 0 if a retry does not help."""


@dataclass(frozen=True)
class AttemptOutcome:
    """Outcome of one attempt at an upstream instance."""

    incarnation: Incarnation
    code: ResultCode
    ttft_s: float = 0.0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    at: float = 0.0


__all__ = [
    "AttemptOutcome",
    "Candidate",
    "Decision",
    "InstanceId",
    "Refusal",
    "RequestFacts",
]
