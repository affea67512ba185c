"""Settings of a router, written in YAML and checked as a whole before anything starts.

Unknown fields, wrong types and values out of range are refused with the file, the line
and the path of the field. Secrets are never in the file: it names files that hold them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from .codec import DecodeError, from_plain
from .error import CorianderError
from .result import ResultCode


class SettingsError(CorianderError):
    """Signal settings that cannot be used, with file, line, field and remedy."""

    code = ResultCode.SETTINGS_INVALID


@dataclass(frozen=True)
class ListenSettings:
    """Say where callers and peers reach this instance; port 0 lets the kernel pick."""

    host: str = "127.0.0.1"
    port: int = 8080
    peer_host: str = "127.0.0.1"
    peer_port: int = 8081


@dataclass(frozen=True)
class StoreSettings:
    """Say where the platform's object service is."""

    url: str
    timeout_s: float = 2.0


@dataclass(frozen=True)
class PeerSettings:
    """Tune the connections between routers."""

    key_file: str
    """File with the shared key; a router without it cannot join."""
    n_peers: int = 6
    heartbeat_s: float = 1.0


@dataclass(frozen=True)
class OperatorSettings:
    """Say who may read status and decisions and start a drain."""

    key_file: str


@dataclass(frozen=True)
class RouterSettings:
    """Hold all settings of one router."""

    instance: str
    zone: str
    region: str
    store: StoreSettings
    peer: PeerSettings
    operator: OperatorSettings
    listen: ListenSettings = field(default_factory=ListenSettings)


def load_settings(path: Path) -> RouterSettings:
    """Return the settings in a YAML file; raise ``SettingsError`` if they are wrong."""
    try:
        plain: Any = yaml.safe_load(path.read_text())
        return from_plain(RouterSettings, plain)
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}; give a readable file") from exc
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: not YAML: {exc}") from exc
    except DecodeError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
