"""Settings of a router, written in YAML and checked as a whole before anything starts.

``settings_file`` reads them. A range stands in the annotation of the field, so that the
check and its message need no code here. Secrets are never in the file: it names files
that hold them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, TypeAlias

from msgspec import Meta

Port: TypeAlias = Annotated[int, Meta(ge=0, le=65535)]
"""A TCP port; 0 lets the kernel pick one."""

Seconds: TypeAlias = Annotated[float, Meta(gt=0.0, le=86400.0)]
"""A time above zero and up to a day."""

Name: TypeAlias = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
"""A name of the platform: letters, digits, dot, underscore and hyphen."""


@dataclass(frozen=True)
class ListenSettings:
    """Say where callers and peers reach this instance; port 0 lets the kernel pick."""

    host: str = "127.0.0.1"
    port: Port = 8080
    peer_host: str = "127.0.0.1"
    peer_port: Port = 8081


@dataclass(frozen=True)
class StoreSettings:
    """Say where the platform's object service is."""

    url: str
    timeout_s: Seconds = 2.0


@dataclass(frozen=True)
class PeerSettings:
    """Tune the connections between routers."""

    key_file: str
    """File with the shared key; a router without it cannot join."""
    n_peers: Annotated[int, Meta(ge=1, le=64)] = 6
    heartbeat_s: Seconds = 1.0


@dataclass(frozen=True)
class OperatorSettings:
    """Say who may read status and decisions and start a drain."""

    key_file: str


@dataclass(frozen=True)
class RouterSettings:
    """Hold all settings of one router."""

    instance: Name
    zone: Name
    region: Name
    store: StoreSettings
    peer: PeerSettings
    operator: OperatorSettings
    listen: ListenSettings = field(default_factory=ListenSettings)
