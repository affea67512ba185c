"""Processes, settings and catalogue of a fleet for the demo, tests and benchmarks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from corianderlb_core.catalogue import (
    Account,
    Entry,
    Limits,
    Route,
    ServiceClass,
    Upstream,
    UpstreamKind,
)

from .builder import a_model, a_route, an_account, an_upstream

REGION: Final = "pnw"
"""Region of all instances."""

ZONES: Final = ("pnw-a", "pnw-b", "pnw-c")
"""Availability zones, assigned to instances round-robin."""

MODEL: Final = "ember-llm"
"""Name of the model and of the upstream of its engines."""

SERVICE: Final = "yard-app"
"""Name of the upstream of plain services."""

KV_CACHE: Final = "prompt-cellar"
"""Name of the KV cache upstream."""

LARGE_ACCOUNTS: Final = ("northwest-charcoal", "cascade-pulp")
"""Accounts that send most of the traffic."""

SMALL_ACCOUNTS: Final = (
    "alder-works",
    "birch-kilns",
    "cedar-yard",
    "dogwood-coop",
    "elm-street",
    "fir-valley",
)
"""The other accounts."""


@dataclass(frozen=True)
class FleetPlan:
    """Number of processes of each kind, and their configuration."""

    n_engines: int = 5
    n_services: int = 2
    n_routers: int = 4
    with_kv_cache: bool = False
    proxied: frozenset[str] = frozenset()
    """Kinds behind a fault proxy: ``store``, ``engine``, ``service``."""
    engine_arguments: tuple[str, ...] = ("--prefill-s", "0.02", "--token-s", "0.005")
    router_settings: Mapping[str, Any] = field(default_factory=dict)
    """Sections merged into the settings of each router."""
    entries: tuple[Entry, ...] | None = None
    """The catalogue; None for ``default_entries``."""


def account_key(name: str) -> str:
    """Return the key of an account of ``default_entries``."""
    return f"key-{name}"


def default_entries(**model_fields: Any) -> tuple[Entry, ...]:
    """Return a catalogue with a model, two routes and eight accounts."""
    fields = {"prefill_s_per_piece": 0.02, **model_fields}
    return (
        *_upstreams(),
        a_model(MODEL, **fields),
        *_routes(),
        *_accounts(),
    )


def _upstreams() -> tuple[Upstream, ...]:
    return (
        an_upstream(MODEL),
        an_upstream(SERVICE, upstream_kind=UpstreamKind.SERVICE),
        an_upstream(KV_CACHE, upstream_kind=UpstreamKind.KV_CACHE),
    )


def _routes() -> tuple[Route, ...]:
    return (
        a_route("status", methods=("GET",), service_class=ServiceClass.URGENT),
        a_route("sign-off", repeatable=False),
    )


def _accounts() -> tuple[Account, ...]:
    limits = Limits(requests_per_s=1000.0, concurrent=500)
    large = (an_account(name, weight=4.0, limits=limits) for name in LARGE_ACCOUNTS)
    small = (an_account(name, limits=limits) for name in SMALL_ACCOUNTS)
    return (*large, *small)
