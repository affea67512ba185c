"""The configuration of byte-transparent forwarding: routes, accounts, upstreams.

It is the counterpart of the catalogue for deployments that keep all routes in one
document. A request is matched to a route by host and path, and to an account by an API
key; both determine retries, timeouts and the upstreams that may run it.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import field
from enum import Enum
from functools import cached_property
from typing import Final

from .data_class import dataclass
from .rendezvous import primary_node
from .usage_cap import UsageCap

LOWEST_PRIORITY: Final = 9
"""The least urgent priority; 0 is the most urgent."""


class RepeatKind(Enum):
    """How often the upstreams may run one request."""

    IDEMPOTENT = "idempotent"
    """It may run again after any failure."""
    AT_MOST_ONCE = "at_most_once"
    """It runs once; it is sent again only when it certainly has not run."""
    STREAM = "stream"
    """A stream of events: at most once, unless its route allows resuming."""


@dataclass(frozen=True)
class UpstreamShare:
    """One upstream of a route and its share of the requests."""

    upstream: str
    weight: float = 1.0


@dataclass(frozen=True)
class ForwardRoute:
    """A route, matched by host and path prefix."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RepeatKind
    timeout_s: float
    """Longest time a request may wait for its whole answer."""
    objective_s: float
    """Latency objective: of the whole answer, or of a stream's first event."""
    shares: tuple[UpstreamShare, ...]
    max_attempts: int = 1
    """Maximum number of upstream instances that may run one request."""
    priority: int = LOWEST_PRIORITY
    """0 is the most urgent."""
    is_public: bool = False
    """True when no API key is required."""
    pause_objective_s: float = math.inf
    """Longest pause between two events of a stream that still meets the objective."""
    may_resume: bool = False
    """True when a broken stream may continue at another instance."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may run again from its start after it may have run."""
        return self.kind is RepeatKind.IDEMPOTENT

    @property
    def may_run_again(self) -> bool:
        """Whether a request may run again, or go on, after it may have run."""
        return self.may_resume if self.kind is RepeatKind.STREAM else self.is_repeatable


@dataclass(frozen=True)
class ForwardAccount:
    """A client account as used by forwarding."""

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    """Overrides the route's priority when set."""
    is_isolated: bool = False
    """True when it shares no cached prompt part with any other account."""
    cap: UsageCap | None = None
    """Cap of its usage over all routers; None for no cap."""


@dataclass(frozen=True)
class EngineTraits:
    """Properties of an upstream's engines from the configuration."""

    slots: int
    """Requests that run at once."""
    kv_capacity_tokens: int
    models: tuple[str, ...] = ()
    transfer_s_per_token: float = 0.0
    """Seconds to transfer one cached token over an engine's link within an availability
    zone; 0 when not configured."""
    can_copy_runs: bool = False
    """Whether engines can copy the memory of runs to each other."""


@dataclass(frozen=True)
class ForwardUpstream:
    """An upstream: engines, a plain service, or a KV cache store."""

    name: str
    engine: EngineTraits | None = None
    kv_cache_address: str = ""
    """Address of a KV cache store; empty for upstreams that take requests."""
    zone: str = ""
    """Availability zone of a KV cache store."""
    health_path: str = ""
    """Path of the health check of its instances; empty if they have none."""


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its idle time."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    idle_timeout_s: float = 15.0


def key_digest(key: str) -> bytes:
    """Return the digest that is stored and compared instead of an API key."""
    return hashlib.sha256(key.encode("latin-1", "replace")).digest()


@dataclass(frozen=True)
class ForwardConfiguration:
    """A whole forwarding configuration, with lookup tables.

    For example ``cfg.match("shop.example", "/jobs/7")`` returns the route with the
    longest prefix of that path, or None.
    """

    version: int
    revision: int
    """The store's revision of the object, which orders configurations."""
    routes: tuple[ForwardRoute, ...]
    upstreams: tuple[ForwardUpstream, ...]
    accounts: tuple[ForwardAccount, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def __post_init__(self) -> None:
        by_host: dict[str, dict[str, ForwardRoute]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        by_digest = {
            digest: account
            for account in self.accounts
            for digest in account.key_digests
        }
        by_name = {upstream.name: upstream for upstream in self.upstreams}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_digest", by_digest)
        object.__setattr__(self, "_by_name", by_name)
        most_urgent: dict[str, int] = {}
        for route in self.routes:
            for share in route.shares:
                priority = most_urgent.get(share.upstream, route.priority)
                most_urgent[share.upstream] = min(priority, route.priority)
        object.__setattr__(self, "_most_urgent", most_urgent)
        stores = {item.name: item for item in self.upstreams if item.kv_cache_address}
        object.__setattr__(self, "_kv_caches", stores)

    def match(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route with the longest prefix of a path, or None."""
        prefixes = self._by_host.get(host.lower())
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def account_of(self, key: str) -> ForwardAccount | None:
        """Return the account that holds an API key, or None.

        The table is keyed by digests, so the lookup time reveals nothing about keys.
        """
        return self._by_digest.get(key_digest(key))

    def upstream(self, name: str) -> ForwardUpstream | None:
        """Return an upstream by its name, or None."""
        return self._by_name.get(name)

    def most_urgent(self, upstream: str) -> int:
        """Return the priority of the most urgent route to an upstream."""
        return self._most_urgent.get(upstream, LOWEST_PRIORITY)

    @property
    def uses_accounts(self) -> bool:
        """Whether requests have to carry an API key at all."""
        return bool(self.accounts)

    def kv_cache(self, part_id: str) -> ForwardUpstream | None:
        """Return the KV cache store for prompts that end with a part, or None.

        Each store keeps its own share of the parts, and every router picks the same
        store for a part, so that all stores' capacity and links are used.
        """
        name = primary_node(part_id.encode(), self._kv_caches)
        return self._kv_caches[name] if name is not None else None


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; parts with the same id have the same tokens."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True)
class Prompt:
    """A prompt as nested parts; the last part belongs to the request alone."""

    model: str
    parts: tuple[PromptPart, ...]
    n_prompt: int
    """Tokens of the whole prompt."""
    n_output: int
    """Maximum tokens of output."""

    @cached_property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @cached_property
    def n_shared(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.n_tokens for part in self.shared_parts)


@dataclass(frozen=True)
class ForwardInstance:
    """One upstream instance, as described by its entry in the platform's store."""

    instance: str
    upstream: str
    address: str
    zone: str
    slots: int = 1
    is_leaving: bool = False
    born_ms: int = 0
    """Unix milliseconds of its start; a restarted instance has a greater value."""
    revision: int = 0
    """The store's revision of the entry."""
    weights: tuple[tuple[str, int], ...] = ()
    """Weights version by model, as the instance last reported."""
    software_version: str = ""
    """Version of the instance's software. What two versions write to one stream does
    not fit together."""

    @cached_property
    def incarnation_key(self) -> tuple[str, int]:
        """Key of this incarnation: name and start. State about the instance is keyed by
        it."""
        return (self.instance, self.born_ms)
