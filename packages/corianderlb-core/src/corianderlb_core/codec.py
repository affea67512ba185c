"""Turn the project's frozen data classes into CBOR, JSON and plain values, and back.

Values that do not fit the type raise ``DecodeError`` with the path of the field.
Unknown fields are refused in what people write, since they are typing mistakes, and
ignored between our own processes, since versions of them run side by side.
"""

from __future__ import annotations

import dataclasses
import json
import re
from typing import Any, Final, TypeVar, get_type_hints

import cbor2
import msgspec

from .error import InvalidInputError

T = TypeVar("T")


_AT_PATH: Final = re.compile(r" - at `\$\.?([^`]*)`$")
"""How the codec library's message ends: with the path of the field."""


class DecodeError(InvalidInputError):
    """Signal bytes or values that do not fit the expected type.

    ``path`` names the field, such as ``listen.port``; empty for the whole value.
    """

    def __init__(self, text: str, path: str = "") -> None:
        super().__init__(f"{path}: {text}" if path else text)
        self.path = path


def to_plain(value: Any) -> Any:
    """Return a value made of maps, lists, strings, numbers, bytes and None."""
    return msgspec.to_builtins(value, builtin_types=(bytes,), str_keys=True)


def from_plain(cls: type[T], plain: Any, strict: bool = True) -> T:
    """Return an instance of ``cls``, checked field by field.

    With ``strict`` an unknown field is an error; without it the field is ignored.
    """
    if strict:
        _refuse_unknown(cls, plain)
    try:
        return msgspec.convert(plain, cls)
    except (msgspec.ValidationError, ValueError, TypeError) as exc:
        at = _AT_PATH.search(str(exc))
        text = _AT_PATH.sub("", str(exc))
        raise DecodeError(text, at.group(1) if at else cls.__name__) from exc


def to_json(value: Any) -> bytes:
    """Return a value as JSON."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def from_json(cls: type[T], data: bytes, strict: bool = False) -> T:
    """Return an instance of ``cls`` read from JSON."""
    return from_plain(cls, plain_from_json(data), strict=strict)


def plain_from_json(data: bytes) -> Any:
    """Return the plain value that JSON bytes hold."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise DecodeError(f"not JSON ({exc}); check what sent it") from exc


def to_cbor(value: Any) -> bytes:
    """Return a value as CBOR."""
    return cbor2.dumps(to_plain(value))


def from_cbor(cls: type[T], data: bytes) -> T:
    """Return an instance of ``cls`` read from CBOR."""
    return from_plain(cls, plain_from_cbor(data), strict=False)


def plain_from_cbor(data: bytes) -> Any:
    """Return the plain value that CBOR bytes hold."""
    try:
        return cbor2.loads(data)
    except (cbor2.CBORError, ValueError, RecursionError) as exc:
        raise DecodeError(f"not CBOR ({exc}); check the sender's version") from exc


def _refuse_unknown(cls: Any, plain: Any, path: str = "") -> None:
    """Raise for a field that the data class, or one nested in it, does not have."""
    if not dataclasses.is_dataclass(cls) or not isinstance(plain, dict):
        return
    hints = get_type_hints(cls)
    known = [field.name for field in dataclasses.fields(cls)]
    for name, value in plain.items():
        if name not in known:
            raise DecodeError(
                f"unknown field; use one of {', '.join(known)}", f"{path}{name}"
            )
        _refuse_unknown(hints[name], value, f"{path}{name}.")
