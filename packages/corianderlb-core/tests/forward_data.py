"""Builders for tests of engine and service choices."""

from __future__ import annotations

from typing import Any

from corianderlb_core.engine_choice import EngineQuery, EngineView
from corianderlb_core.forwarding import ForwardInstance, Prompt, PromptPart
from corianderlb_core.prefill_estimate import PrefillEstimator


def an_instance(name: str, **fields: Any) -> ForwardInstance:
    """Build an instance whose address starts with its name."""
    defaults: dict[str, Any] = {"address": f"{name}:80", "zone": "z", "slots": 64}
    return ForwardInstance(name, "llm", **{**defaults, **fields})


def a_view(name: str, version: int = 1, unread: int = 0, **fields: Any) -> EngineView:
    """Build an engine with some tokens to prefill."""
    estimator = PrefillEstimator(64)
    if unread:
        estimator.sent("before", unread, 0.0)
    return EngineView(an_instance(name, **fields), estimator, version)


def a_prompt(*parts: tuple[str, int], own: int = 100) -> Prompt:
    """Build a prompt of shared parts and one of its own."""
    shared = tuple(PromptPart(part_id, n) for part_id, n in parts)
    n_prompt = sum(n for _, n in parts) + own
    return Prompt("m", (*shared, PromptPart("own", own)), n_prompt, 20)


def a_query(prompt: Prompt, **fields: Any) -> EngineQuery:
    """Build a query for a prompt."""
    defaults: dict[str, Any] = {
        "isolation_key": "",
        "objective_left_s": 1.0,
        "kv_capacity": 200_000,
        "zone": "z",
    }
    return EngineQuery(prompt, **{**defaults, **fields})
