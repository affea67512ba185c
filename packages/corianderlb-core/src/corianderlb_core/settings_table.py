"""Table of all settings with type, range, default and meaning.

The meaning is the string under the field in ``settings``, so that the reference page
cannot differ from the code.
"""

from __future__ import annotations

import ast
import dataclasses
import inspect
from collections.abc import Iterator
from typing import Annotated, Any, get_args, get_origin, get_type_hints

from msgspec import Meta

from .data_class import dataclass
from .settings import RouterSettings


@dataclass(frozen=True)
class SettingRow:
    """One field of the settings."""

    path: str
    """Path of the field, such as ``listen.port``."""
    type: str
    allowed: str
    """The range, as text; empty for any value of the type."""
    default: str
    """The default, as text; empty for a required field."""
    meaning: str


def setting_rows() -> list[SettingRow]:
    """Return one row per field, in the order of the classes."""
    return list(_rows(RouterSettings, ""))


def to_markdown(rows: list[SettingRow]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| field | type | allowed | default | meaning |", "|---|---|---|---|---|"]
    for row in rows:
        default = f"`{row.default}`" if row.default else "must be given"
        lines.append(
            f"| `{row.path}` | {row.type} | {row.allowed} | {default} | {row.meaning} |"
        )
    return "\n".join(lines) + "\n"


def _rows(cls: type, prefix: str) -> Iterator[SettingRow]:
    hints = get_type_hints(cls, include_extras=True)
    meanings = _meanings(cls)
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        path = f"{prefix}{field.name}"
        if dataclasses.is_dataclass(hint):
            yield from _rows(hint, f"{path}.")
            continue
        yield SettingRow(
            path,
            _type_name(hint),
            _range(hint),
            _default(field),
            meanings.get(field.name, ""),
        )


def _type_name(hint: Any) -> str:
    if get_origin(hint) is Annotated:
        hint = get_args(hint)[0]
    return getattr(hint, "__name__", "") if isinstance(hint, type) else str(hint)


def _range(hint: Any) -> str:
    if get_origin(hint) is not Annotated:
        return ""
    parts = []
    for meta in get_args(hint)[1:]:
        if isinstance(meta, Meta):
            parts += [f"above {meta.gt:g}"] if meta.gt is not None else []
            parts += [f"from {meta.ge:g}"] if meta.ge is not None else []
            parts += [f"below {meta.lt:g}"] if meta.lt is not None else []
            parts += [f"to {meta.le:g}"] if meta.le is not None else []
            parts += ["a name"] if meta.pattern is not None else []
    return " ".join(parts)


def _default(field: dataclasses.Field[Any]) -> str:
    if field.default is not dataclasses.MISSING:
        return str(field.default) if field.default != "" else '""'
    if field.default_factory is not dataclasses.MISSING:
        return str(field.default_factory())
    return ""


def _meanings(cls: type) -> dict[str, str]:
    """Return the string under each annotated field of a class's source."""
    body = ast.parse(inspect.getsource(cls)).body[0]
    assert isinstance(body, ast.ClassDef)
    found = {}
    for item, after in zip(body.body, body.body[1:], strict=False):
        if not isinstance(item, ast.AnnAssign) or not isinstance(item.target, ast.Name):
            continue
        if isinstance(after, ast.Expr) and isinstance(after.value, ast.Constant):
            text = str(after.value.value).replace("``", "`")
            found[item.target.id] = " ".join(text.split())
    return found
