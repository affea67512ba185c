"""Convert the project's frozen data classes to and from CBOR, JSON and plain values.

Values that do not match the type raise ``DecodeError`` with the path of the field.
Unknown fields are rejected in user input, where they are likely typos, and ignored in
messages between processes, which may run different versions.
"""

from __future__ import annotations

import dataclasses
import json
import re
from typing import Annotated, Any, Final, TypeVar, get_type_hints

import cbor2
import msgspec

from .error import InvalidInputError

T = TypeVar("T")

MAX_INTEGER: Final = 2**53
"""Largest integer that all writers of JSON agree on; larger ones overflow a float."""

BoundedInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""Type of a number in an object that another writer may have left in the store."""

_FIELD_PATH: Final = re.compile(r" - at `\$\.?([^`]*)`$")
"""Suffix of msgspec's error messages, which contains the path of the field."""


class DecodeError(InvalidInputError):
    """Raised for bytes or values that do not match the expected type.

    ``path`` is the path of the field, such as ``listen.port``; empty for the whole
    value.
    """

    def __init__(self, text: str, path: str = "") -> None:
        super().__init__(f"{path}: {text}" if path else text)
        self.path = path


def to_plain(value: Any) -> Any:
    """Convert a value to dicts, lists, strings, numbers, bytes and None."""
    return msgspec.to_builtins(value, builtin_types=(bytes,), str_keys=True)


def from_plain(cls: type[T], plain: Any, strict: bool = True) -> T:
    """Return an instance of ``cls`` from a plain value, with types validated.

    Unknown fields raise an error if ``strict`` is true and are ignored otherwise.
    """
    if strict:
        _reject_unknown_fields(cls, plain)
    try:
        return msgspec.convert(plain, cls)
    except (msgspec.ValidationError, ValueError, TypeError) as exc:
        match = _FIELD_PATH.search(str(exc))
        text = _FIELD_PATH.sub("", str(exc))
        raise DecodeError(text, match.group(1) if match else cls.__name__) from exc


def to_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def from_json(cls: type[T], data: bytes, strict: bool = False) -> T:
    """Decode an instance of ``cls`` from JSON."""
    return from_plain(cls, plain_from_json(data), strict=strict)


def plain_from_json(data: bytes) -> Any:
    """Decode JSON bytes to a plain value."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(f"invalid JSON ({exc}); check the sender") from exc


def to_cbor(value: Any) -> bytes:
    """Encode a value as CBOR."""
    return cbor2.dumps(to_plain(value))


def from_cbor(cls: type[T], data: bytes) -> T:
    """Decode an instance of ``cls`` from CBOR."""
    return from_plain(cls, plain_from_cbor(data), strict=False)


def plain_from_cbor(data: bytes) -> Any:
    """Decode CBOR bytes to a plain value."""
    try:
        return cbor2.loads(data)
    except (cbor2.CBORError, ValueError, RecursionError) as exc:
        raise DecodeError(f"invalid CBOR ({exc}); check the sender's version") from exc


def _reject_unknown_fields(cls: Any, plain: Any, path: str = "") -> None:
    """Raise ``DecodeError`` for a field unknown to the data class or a nested one."""
    if not dataclasses.is_dataclass(cls) or not isinstance(plain, dict):
        return
    hints = get_type_hints(cls)
    known = [field.name for field in dataclasses.fields(cls)]
    for name, value in plain.items():
        if name not in known:
            raise DecodeError(
                f"unknown field; use one of {', '.join(known)}", f"{path}{name}"
            )
        _reject_unknown_fields(hints[name], value, f"{path}{name}.")
