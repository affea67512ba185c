"""Builders of test data with defaults for the fields a test does not set."""

from __future__ import annotations

import hashlib
from typing import Any

from corianderlb_core.catalogue import (
    Account,
    Adapter,
    Catalogue,
    Entry,
    Model,
    Route,
    ServiceClass,
    Upstream,
    UpstreamKind,
)
from corianderlb_core.change import Change, apply_change
from corianderlb_core.identity import AccountId, RequestId
from corianderlb_core.request import RequestFacts


def a_model(name: str = "ember-llm", **fields: Any) -> Model:
    """Build a model served by the upstream of the same name."""
    defaults = {"owner": "model-team", "upstream": name, "weights_version": "w1"}
    return Model(name=name, **{**defaults, **fields})


def an_adapter(name: str = "moisture", **fields: Any) -> Adapter:
    """Build an adapter of the model ``ember-llm``."""
    defaults = {"owner": "model-team", "model": "ember-llm", "version": "a2"}
    return Adapter(name=name, **{**defaults, **fields})


def an_account(name: str = "northwest-charcoal", **fields: Any) -> Account:
    """Build a client account whose key is ``key-<name>``."""
    digest = hashlib.sha256(f"key-{name}".encode()).hexdigest()
    defaults = {"owner": "account-team", "key_digests": (digest,)}
    return Account(name=name, **{**defaults, **fields})


def a_route(name: str = "sign-off", **fields: Any) -> Route:
    """Build a route to the plain service ``yard-app``."""
    defaults = {"owner": "yard-team", "upstream": "yard-app", "methods": ("POST",)}
    return Route(name=name, **{**defaults, **fields})


def an_upstream(name: str = "ember-llm", **fields: Any) -> Upstream:
    """Build an engine upstream."""
    defaults = {"owner": "platform-team", "upstream_kind": UpstreamKind.ENGINE}
    return Upstream(name=name, **{**defaults, **fields})


def a_change(version: int = 1, *put: Entry, **fields: Any) -> Change:
    """Build an accepted change that puts the given entries."""
    defaults = {
        "edit_id": f"edit-{version}",
        "author": "ann",
        "owner": "platform-team",
        "reason": "test",
        "accepted_at": "2026-01-01T00:00:00Z",
    }
    return Change(version=version, put=put, **{**defaults, **fields})


def a_catalogue(*entries: Entry) -> Catalogue:
    """Build a catalogue at version 1 that holds the given entries."""
    return apply_change(Catalogue(), a_change(1, *entries))


def some_facts(request_id: str = "request-1", **fields: Any) -> RequestFacts:
    """Build the facts of a standard request for the sign-off route."""
    defaults: dict[str, Any] = {
        "account": AccountId("northwest-charcoal"),
        "service_class": ServiceClass.STANDARD,
        "target": "sign-off",
        "upstream": "yard-app",
        "arrived_at": 0.0,
        "deadline": 60.0,
        "body_digest": b"body",
    }
    return RequestFacts(request_id=RequestId(request_id), **{**defaults, **fields})
