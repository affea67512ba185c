"""Configurations of a small deployment, as the operator writes them."""

from __future__ import annotations

from typing import Any

HOST = "front.example"
MODEL = "m0"

ENGINE = {
    "slots": 64,
    "kv-capacity-tokens": 228246,
    "kv-token-bytes": 18432,
    "link-mbps": 130000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "max-concurrency": 12,
    "pin-ms": 4000.0,
    "hold-ms": 2000.0,
    "handle_s": 5.0,
    "models": [{"name": MODEL}],
}


def a_tenant(name: str, *keys: str, isolated: bool = False) -> dict[str, Any]:
    """Return a tenant with its keys."""
    return {
        "name": name,
        "api-keys": list(keys),
        "priority": 1,
        "isolated": isolated,
    }


def a_config(version: int, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a config with a route of each kind."""
    stream = {
        "name": "r-summary",
        "host": HOST,
        "path-prefix": "/summary/",
        "kind": "stream",
        "timeout-ms": 15000,
        "target-latency-ms": 1000,
        "priority": 1,
        "service": "llm",
        "max-attempts": 2,
        "auth-exempt": False,
        "session-affinity": True,
        "allow-resume": True,
        "target-gap-ms": 800,
    }
    call = {
        "name": "r-order",
        "host": HOST,
        "path-prefix": "/order/",
        "kind": "non_idempotent",
        "timeout-ms": 1500,
        "target-latency-ms": 125,
        "priority": 2,
        "service": "app",
        "max-attempts": 2,
        "auth-exempt": False,
    }
    read = {
        **call,
        "name": "r-status",
        "path-prefix": "/status/",
        "kind": "idempotent",
    }
    llm = {
        "name": "llm",
        "health-path": "/health",
        "max-connections": 360,
        "protocol": "h1",
        "tls": False,
        "engine": ENGINE,
    }
    app = {
        "name": "app",
        "health-path": "/health",
        "max-connections": 96,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": version,
        "routes": [stream, call, read],
        "services": [llm, app],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": tenants,
    }


def request_headers(
    request: str, key: str, deadline_ms: int, prompt: str = "", n_output: int = 0
) -> dict[str, str]:
    """Return the headers of a client's request."""
    headers = {
        "Host": HOST,
        "X-Corianderlb-Request-Id": request,
        "X-Corianderlb-Deadline-Ms": str(deadline_ms),
        "X-Corianderlb-Credential": key,
    }
    if prompt:
        n_prompt = sum(int(part.partition(":")[2]) for part in prompt.split(","))
        headers["X-Corianderlb-Model"] = MODEL
        headers["X-Corianderlb-Token-Count"] = f"{n_prompt},{n_output}"
        headers["X-Corianderlb-Prompt-Prefix"] = prompt
    return headers
