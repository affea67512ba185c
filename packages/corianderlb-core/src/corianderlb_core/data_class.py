"""Data classes whose methods are compiled when they are first called.

The standard library compiles up to six functions for each data class while its module
is imported, which took a third of the start of a router. Most of its messages and
records are never made by the same process.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from functools import partial
from reprlib import recursive_repr
from typing import Any, Final, TypeVar, dataclass_transform

T = TypeVar("T")

_UNSET: Final = object()
"""Default of a parameter whose field has a factory."""


@dataclass_transform(field_specifiers=(dataclasses.field,))
def dataclass(
    cls: type | None = None,
    /,
    *,
    frozen: bool = False,
    eq: bool = True,
    kw_only: bool = False,
    slots: bool = False,
) -> Any:
    """Make a data class, like ``dataclasses.dataclass`` with the same parameters.

    The functions of ``dataclasses`` take such classes and their instances. For example,
    ``@dataclass(frozen=True)`` above a class ``Point`` with the fields ``x`` and ``y``
    lets ``Point(1, 2)`` be compared, hashed and printed, but not changed. Instances
    that are frozen and in slots can't be copied or pickled.
    """

    def decorate(cls: type[T]) -> type[T]:
        if cls.__doc__ is None:
            # Otherwise the signature is computed, to be the documentation.
            cls.__doc__ = cls.__name__
        cls = dataclasses.dataclass(
            init=False, repr=False, eq=False, kw_only=kw_only, slots=slots
        )(cls)
        _defer(cls, "__init__", partial(_compile_init, frozen=frozen))
        _add(cls, "__repr__", _repr)
        if eq:
            _defer(cls, "__eq__", _compile_eq)
            if frozen:
                _defer(cls, "__hash__", _compile_hash)
            else:
                _add(cls, "__hash__", None)
        if frozen:
            _add(cls, "__setattr__", _refuse_to_set)
            _add(cls, "__delattr__", _refuse_to_delete)
        return cls

    return decorate if cls is None else decorate(cls)


def _add(cls: type, name: str, method: object) -> None:
    """Add a method that the class does not define itself."""
    if name not in vars(cls):
        setattr(cls, name, method)


def _defer(cls: type, name: str, compile_it: Callable[[type], Any]) -> None:
    """Add a method that replaces itself with a compiled one when it is called."""

    def method(self: Any, *args: Any, **kwargs: Any) -> Any:
        compiled = compile_it(cls)
        setattr(cls, name, compiled)
        return compiled(self, *args, **kwargs)

    _add(cls, name, method)


@recursive_repr()
def _repr(self: Any) -> str:
    values = [
        f"{field.name}={getattr(self, field.name)!r}"
        for field in dataclasses.fields(self)
        if field.repr
    ]
    return f"{type(self).__qualname__}({', '.join(values)})"


def _refuse_to_set(self: Any, name: str, value: object) -> None:
    raise dataclasses.FrozenInstanceError(f"cannot assign to field {name!r}")


def _refuse_to_delete(self: Any, name: str) -> None:
    raise dataclasses.FrozenInstanceError(f"cannot delete field {name!r}")


def _compile_init(cls: type, frozen: bool) -> Callable[..., None]:
    scope: dict[str, Any] = {}
    scope.update(_UNSET=_UNSET, _set=object.__setattr__)
    positional, named, lines = ["self"], ["*"], []
    assignment = "_set(self, {0!r}, {1})" if frozen else "self.{0} = {1}"
    for field in dataclasses.fields(cls):
        name = parameter = value = field.name
        if field.default_factory is not dataclasses.MISSING:
            scope[f"_make_{name}"] = field.default_factory
            parameter = f"{name}=_UNSET"
            value = f"_make_{name}()"
            if field.init:
                value += f" if {name} is _UNSET else {name}"
        elif field.default is not dataclasses.MISSING:
            scope[f"_default_{name}"] = field.default
            parameter = f"{name}=_default_{name}"
            value = name if field.init else f"_default_{name}"
        elif not field.init:
            continue
        if field.init:
            (named if field.kw_only else positional).append(parameter)
        lines.append(assignment.format(name, value))
    if hasattr(cls, "__post_init__"):
        lines.append("self.__post_init__()")
    parameters = ", ".join(positional + (named if len(named) > 1 else []))
    return _compile(cls, f"__init__({parameters})", lines or ["pass"], scope)


def _compile_eq(cls: type) -> Callable[[Any, object], bool]:
    different = "if other.__class__ is not self.__class__: return NotImplemented"
    same = f"return {_values(cls, 'self')} == {_values(cls, 'other')}"
    return _compile(cls, "__eq__(self, other)", [different, same], {})


def _compile_hash(cls: type) -> Callable[[Any], int]:
    line = f"return hash({_values(cls, 'self')})"
    return _compile(cls, "__hash__(self)", [line], {})


def _values(cls: type, name: str) -> str:
    """Return the source of a tuple of the fields that are compared."""
    names = [field.name for field in dataclasses.fields(cls) if field.compare]
    return "(" + "".join(f"{name}.{field}, " for field in names) + ")"


def _compile(cls: type, head: str, lines: list[str], scope: dict[str, Any]) -> Any:
    """Compile a method from its source."""
    exec(f"def {head}:\n    " + "\n    ".join(lines), scope)
    method = scope[head.partition("(")[0]]
    method.__qualname__ = f"{cls.__qualname__}.{method.__name__}"
    method.__module__ = cls.__module__
    return method
