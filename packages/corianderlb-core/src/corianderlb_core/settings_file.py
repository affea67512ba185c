"""Read settings from a YAML file and report where an error is.

An unknown field, a wrong type or a value out of range is refused at startup. The error
names the file, the line, the path of the field and the allowed values.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Final

import yaml

from .codec import DecodeError, from_plain
from .error import CorianderError
from .result import ResultCode
from .settings import RouterSettings

_PATH_SEGMENT: Final = re.compile(r"\.?([^.\[\]]+)|\[(\d+)\]")
"""One segment of a field's path: a name or an index."""


class SettingsError(CorianderError):
    """Invalid settings, with file, line, field and allowed values."""

    code = ResultCode.SETTINGS_INVALID


def load_settings(path: Path) -> RouterSettings:
    """Return the settings in a YAML file; raise ``SettingsError`` if invalid."""
    text = _read_text(path)
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        plain = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise SettingsError(f"{path}: not YAML: {_one_line(exc)}") from exc
    if not isinstance(plain, dict):
        raise SettingsError(f"{path}: expected a map of settings; see docs/reference")
    try:
        return from_plain(RouterSettings, plain)
    except DecodeError as exc:
        line = _line_of(root, exc.path)
        raise SettingsError(f"{path}:{line}: {exc}") from exc


def read_secret(path: str) -> bytes:
    """Return the secret in a file, stripped of surrounding white space.

    Raise ``SettingsError`` if the file cannot be read or is empty: an empty shared key
    would accept any peer.
    """
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}; give a readable file") from exc
    if not secret:
        raise SettingsError(f"{path}: the file is empty; put the secret in it")
    return secret


def _read_text(path: Path) -> str:
    try:
        return path.read_text()
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}; give a readable file") from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"{path}: not UTF-8 text; save it as UTF-8") from exc


def _one_line(exc: yaml.YAMLError) -> str:
    return " ".join(str(exc).split())


def _line_of(root: yaml.Node | None, path: str) -> int:
    """Return the 1-based line of the deepest existing node on the path."""
    node = root
    line = 1
    for name, index in _PATH_SEGMENT.findall(path):
        child = _child_node(node, name, index)
        if child is None:
            break
        line, node = child
    return line


def _child_node(
    node: yaml.Node | None, name: str, index: str
) -> tuple[int, yaml.Node] | None:
    if index and isinstance(node, yaml.SequenceNode):
        item = node.value[int(index)]
        return item.start_mark.line + 1, item
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == name:
                return key.start_mark.line + 1, value
    return None
