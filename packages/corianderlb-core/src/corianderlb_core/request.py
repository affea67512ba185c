"""A caller's request as the decisions see it, and what they answer."""

from __future__ import annotations

from dataclasses import dataclass

from .catalogue import ServiceClass
from .identity import AccountId, Incarnation, InstanceId, RequestId
from .result import ResultCode


@dataclass(frozen=True)
class RequestFacts:
    """Hold what routing, limits and retries need to know about a request."""

    request_id: RequestId
    account: AccountId
    service_class: ServiceClass
    target: str
    """Model, adapter or route that the caller named."""
    upstream: str
    """Upstream of the catalogue that has to answer it."""
    arrived_at: float
    """Seconds on the router's clock."""
    deadline: float
    """Seconds on the router's clock; after it nobody waits for the answer."""
    repeatable: bool = True
    body_digest: bytes = b""
    """Digest of account and body; one key for quarantine over all routers."""
    prefix_keys: tuple[bytes, ...] = ()
    """Keys of the nested prefixes, shortest first, one a piece."""
    prompt_tokens: int = 0
    """Estimate from the length of the prompt."""


@dataclass(frozen=True)
class Candidate:
    """Hold one upstream instance as a decision weighed it."""

    incarnation: Incarnation
    expected_hits: int
    """Pieces of the prompt thought to be cached there."""
    import_pieces: int
    """Pieces it should import from the KV cache upstream first."""
    estimated_ttft_s: float
    """Estimated seconds to the first token."""
    reason: str
    """Why it stands where it stands, for ``explain``."""
    work_s: float = 0.0
    """Estimated engine seconds of its own prefill, without the wait before it."""


@dataclass(frozen=True)
class Decision:
    """Hold the outcome of placement."""

    request_id: RequestId
    catalogue_version: int
    policy: str
    candidates: tuple[Candidate, ...]
    """Best first."""


@dataclass(frozen=True)
class Refusal:
    """Tell a caller at once that its request is given up on."""

    code: ResultCode
    detail: str
    """One sentence with what to do."""
    retry_after_s: float = 0.0
    """When to come back; 0 when coming back does not help."""


@dataclass(frozen=True)
class AttemptOutcome:
    """Feed back how one attempt at an upstream instance went."""

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
