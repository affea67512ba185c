"""Read names on the wire, in logs or in stored data from types and source files.

The guard tests compare these names with the lists that they contain.
"""

from __future__ import annotations

import ast
import importlib
import inspect
import pkgutil
import re
from collections.abc import Iterator
from dataclasses import is_dataclass
from enum import Enum
from pathlib import Path
from types import ModuleType
from typing import Any, Final

from msgspec import inspect as shape

ROOT: Final = Path(__file__).resolve().parent.parent
CORE: Final = ROOT / "packages/corianderlb-core/src/corianderlb_core"
ROUTER: Final = ROOT / "packages/corianderlb-router/src/corianderlb_router"
CTL: Final = ROOT / "packages/corianderlb-ctl/src/corianderlb_ctl"
PLATFORM: Final = ROOT / "platform/src/corianderlb_platform"

_SLASHED: Final = re.compile(r"[^\s]*/[^\s]*")
_VARIABLE: Final = re.compile(r"CORIANDER[A-Z_]+")


def lines(text: str) -> list[str]:
    """Return the lines of a text."""
    return text.strip().splitlines()


def field_paths(cls: Any) -> list[str]:
    """Return the dotted paths of a type's fields in order, nested ones included.

    ``[]`` marks a sequence, ``{}`` a map, ``(2)`` a tuple of two, ``(a b)`` one
    with named items; the words after ``=`` are the allowed values.
    """
    return list(_paths(shape.type_info(cls), ""))


def _paths(kind: Any, path: str) -> Iterator[str]:
    if isinstance(kind, shape.DataclassType | shape.StructType):
        for item in kind.fields:
            yield from _paths(item.type, f"{path}.{item.encode_name}".lstrip("."))
    elif isinstance(kind, shape.UnionType):
        for one in kind.types:
            if not isinstance(one, shape.NoneType):
                yield from _paths(one, path)
    elif isinstance(kind, shape.EnumType):
        yield f"{path} = {_values(kind.cls)}"
    elif isinstance(kind, shape.LiteralType):
        yield f"{path} = {'|'.join(map(str, kind.values))}"
    elif isinstance(kind, shape.TupleType):
        yield f"{path}({len(kind.item_types)})"
    elif isinstance(kind, shape.NamedTupleType):
        # It travels as an array, so that the order of its fields matters.
        yield f"{path}({' '.join(item.name for item in kind.fields)})"
    elif isinstance(kind, shape.DictType):
        yield from _paths(kind.value_type, f"{path}{{}}")
    elif isinstance(kind, shape.CollectionType):
        yield from _paths(kind.item_type, f"{path}[]")
    elif isinstance(kind, shape.Metadata):
        yield from _paths(kind.type, path)
    else:
        yield path


def _values(cls: type[Enum]) -> str:
    return "|".join(str(item.value) for item in cls)


def modules(package: ModuleType) -> list[ModuleType]:
    """Return the modules of a package, without entry points."""
    found = pkgutil.iter_modules(package.__path__, f"{package.__name__}.")
    names = [item.name for item in found if not item.name.endswith("__main__")]
    return [importlib.import_module(name) for name in names]


def classes(package: ModuleType) -> list[type]:
    """Return the classes that a package's modules define."""
    return [
        cls
        for module in modules(package)
        for cls in vars(module).values()
        if inspect.isclass(cls) and cls.__module__ == module.__name__
    ]


def enum_values(package: ModuleType) -> list[str]:
    """Return the values of a package's enumerations, one line each."""
    enums = [cls for cls in classes(package) if issubclass(cls, Enum)]
    return sorted(_values(cls) for cls in enums)


def data_fields(package: ModuleType) -> list[str]:
    """Return the fields of a package's data classes, one line each."""
    found = [cls for cls in classes(package) if is_dataclass(cls)]
    return sorted(" ".join(cls.__dataclass_fields__) for cls in found)


def log_lines(*folders: Path) -> list[str]:
    """Return message type and sorted field names of every log call, one line each.

    The variable part of a message type is written as its possible values.
    """
    found = []
    for tree in _trees(folders):
        for scope in _functions(tree):
            for node in ast.walk(scope):
                found += _log_line(node, scope)
    return sorted(found)


def _log_line(node: ast.AST, scope: ast.AST) -> list[str]:
    if isinstance(node, ast.Dict):
        named = {
            _text(key): value for key, value in zip(node.keys, node.values, strict=True)
        }
    elif isinstance(node, ast.Call) and _called(node) in _LOG_CALLS:
        named = {item.arg or "**": item.value for item in node.keywords}
        if _called(node) == "write_traceback":
            return [" ".join(["(traceback)", *sorted(named)])]
        if node.args:
            named["message_type"] = node.args[0]
    else:
        return []
    if "message_type" not in named:
        return []
    kind = _template(named.pop("message_type"), scope)
    return [" ".join([kind, *sorted(str(name) for name in named)])]


_LOG_CALLS: Final = frozenset(
    {
        "log_call",
        "log_message",
        "log_request",
        "start_action",
        "start_task",
        "write_traceback",
    }
)


def _functions(tree: ast.AST) -> list[ast.AST]:
    kinds = ast.FunctionDef | ast.AsyncFunctionDef
    return [node for node in ast.walk(tree) if isinstance(node, kinds)]


def _template(node: ast.AST, scope: ast.AST) -> str:
    if not isinstance(node, ast.JoinedStr):
        return _text(node) or "{}"
    parts = []
    for part in node.values:
        words = (
            _words(part.value, scope) if isinstance(part, ast.FormattedValue) else []
        )
        parts.append(_text(part) or "{" + "|".join(words) + "}")
    return "".join(parts)


def _words(value: ast.AST, scope: ast.AST) -> list[str]:
    """Return the string literals that a local variable is set to."""
    if not isinstance(value, ast.Name):
        return []
    return [
        str(const.value)
        for node in ast.walk(scope)
        if isinstance(node, ast.Assign)
        and any(isinstance(t, ast.Name) and t.id == value.id for t in node.targets)
        for const in ast.walk(node.value)
        if isinstance(const, ast.Constant) and isinstance(const.value, str)
    ]


def slashed_texts(*folders: Path) -> list[str]:
    """Return the texts with a slash and no space: HTTP paths and keys of the store."""
    return _matching(_SLASHED, folders)


def variables(*folders: Path) -> list[str]:
    """Return the names of environment variables."""
    return _matching(_VARIABLE, folders)


def _matching(pattern: re.Pattern[str], folders: tuple[Path, ...]) -> list[str]:
    found = set()
    for tree in _trees(folders):
        found |= {text for text in _texts(tree) if pattern.fullmatch(text)}
    return sorted(found)


def byte_texts(*folders: Path) -> list[str]:
    """Return the byte strings with a letter: header names and hashed words."""
    return sorted(
        {
            node.value.decode("latin-1")
            for tree in _trees(folders)
            for node in ast.walk(tree)
            if isinstance(node, ast.Constant)
            and isinstance(node.value, bytes)
            and re.search(rb"[A-Za-z]{2}", node.value)
        }
    )


def map_keys(*folders: Path) -> list[str]:
    """Return the literal keys with which maps are built or read."""
    found: set[str | None] = set()
    for tree in _trees(folders):
        for node in ast.walk(tree):
            if isinstance(node, ast.Dict):
                found |= {_text(key) for key in node.keys}
            elif isinstance(node, ast.Subscript):
                found.add(_text(node.slice))
            elif isinstance(node, ast.Call) and _called(node) in ("get", "pop"):
                found |= {_text(arg) for arg in node.args[:1]}
    return sorted(key for key in found if key and "/" not in key)


def first_words(path: Path, *callees: str) -> list[str]:
    """Return the sorted string arguments of calls to the given functions in a file."""
    return sorted(
        text
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and _called(node) in callees
        for text in map(_text, node.args)
        if text
    )


def _trees(folders: tuple[Path, ...]) -> list[ast.Module]:
    paths = [path for folder in folders for path in sorted(folder.rglob("*.py"))]
    assert paths, folders
    return [ast.parse(path.read_text()) for path in paths]


def _texts(tree: ast.AST) -> Iterator[str]:
    """Yield the strings of a module except doc strings; f-strings as templates."""
    passed = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr):
            passed.add(id(node.value))
        elif isinstance(node, ast.JoinedStr):
            passed |= {id(part) for part in node.values}
            yield "".join(_text(part) or "{}" for part in node.values)
        elif isinstance(node, ast.Constant) and isinstance(node.value, str):
            if id(node) not in passed:
                yield node.value


def _called(node: ast.Call) -> str:
    func = node.func
    return func.attr if isinstance(func, ast.Attribute) else getattr(func, "id", "")


def _text(node: ast.AST | None) -> str | None:
    ok = isinstance(node, ast.Constant) and isinstance(node.value, str)
    return node.value if ok else None
