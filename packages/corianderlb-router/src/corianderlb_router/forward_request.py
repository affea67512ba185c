"""Forwarded requests, and the interface to the wire protocol."""

from __future__ import annotations

import dataclasses
from abc import ABC, abstractmethod
from typing import Any, TypeAlias

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import Prompt
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.instance_signals import NO_SIGNALS, InstanceSignals

Headers: TypeAlias = list[tuple[bytes, bytes]]


@dataclass(frozen=True)
class ForwardRequest:
    """Caller's request, as it is forwarded."""

    request_id: str
    method: str
    host: str
    """Host name without the port."""
    path: str
    target: bytes
    """Path and query, unchanged."""
    headers: tuple[tuple[bytes, bytes], ...]
    """The headers that pass through unchanged."""
    api_key: str
    """Empty when none was sent."""
    deadline_s: float
    """Seconds that the caller waits, from arrival; infinite if not specified."""
    prompt: Prompt | None = None
    resume_after: int | None = None
    """Number of the last event of this stream that the caller has received."""
    resumes: str = ""
    """Id of the request that brought the first event of a resumed stream."""

    def resumed(self, after: int | None) -> ForwardRequest:
        """Return the request for the rest of its stream."""
        return dataclasses.replace(self, resume_after=after)


@dataclass(frozen=True)
class SendTerms:
    """Values that the router adds to the request for one attempt."""

    instance: str
    """The only instance that may run the request."""
    deadline_s: float
    """Seconds left until the deadline."""
    account: str = ""
    cache_scope: str = ""
    """Scope within which cached parts are shared; empty without a prompt."""
    weights_version: int = 0
    """Weights version that the engine must have; 0 for any."""
    fetch_from: str = ""
    save_to: str = ""
    priority: int | None = None
    resume_after: int | None = None
    continue_from: str = ""
    """Copy of the run's KV cache to continue from, as address/name; empty for none."""


@dataclass(frozen=True)
class UpstreamHead:
    """Head of an upstream's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    """The headers that pass through to the caller."""
    is_ours: bool
    """Whether it answers the request that was sent."""
    not_run: bool
    """Whether it states that the request has not run and will not."""
    is_misdirected: bool
    """Whether its status says that the request was meant for another instance, or for
    other weights. Without ``not_run`` that is certain only if another instance has
    answered."""
    is_sealed: bool
    """Whether it carries the upstream's seal, the proof that the upstream sent it."""
    is_encoded: bool
    """Whether the body has a content encoding that the router did not request."""
    instance: str = ""
    """Name of the instance that answered; empty if it is not told."""
    load: InstanceLoadReport | None = None
    weights_version: int = 0
    signals: InstanceSignals = NO_SIGNALS
    """What the instance says of itself."""


class ForwardProtocol(ABC):
    """Translates requests and answers between a wire protocol and the router."""

    @abstractmethod
    def read_request(self, scope: dict[str, Any]) -> ForwardRequest:
        """Parse an ASGI scope; raise ``RequestRefusedError`` for an invalid request."""

    @abstractmethod
    def upstream_headers(self, req: ForwardRequest, terms: SendTerms) -> Headers:
        """Return the headers of one attempt."""

    @abstractmethod
    def read_head(
        self, req: ForwardRequest, status: int, headers: Headers
    ) -> UpstreamHead:
        """Parse the head of the answer to a request."""
