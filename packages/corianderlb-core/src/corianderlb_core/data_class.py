"""Data classes whose initializers are compiled when they are first called.

The standard library compiles up to six functions for each data class while its module
is imported, which took a third of the start of a router. Most of its messages and
records are never made by the same process.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from operator import attrgetter
from reprlib import recursive_repr
from typing import Any, Final, TypeVar, dataclass_transform

T = TypeVar("T")

_INIT: Final = "__init__"

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
        _add(cls, _INIT, _deferred_init(cls, frozen))
        _add(cls, "__repr__", _repr)
        if eq:
            values = _values_of(cls)
            _add(cls, "__eq__", _equality(values))
            _add(cls, "__hash__", _hash(values) if frozen else None)
        if frozen:
            _add(cls, "__setattr__", _refuse_to_set)
            _add(cls, "__delattr__", _refuse_to_delete)
        return cls

    return decorate if cls is None else decorate(cls)


def _add(cls: type, name: str, method: object) -> None:
    """Add a method that the class does not define itself."""
    if name not in vars(cls):
        setattr(cls, name, method)


def _values_of(cls: type) -> Callable[[Any], Any]:
    names = [field.name for field in dataclasses.fields(cls) if field.compare]
    return attrgetter(*names) if names else lambda _: ()


def _equality(values: Callable[[Any], Any]) -> Callable[[Any, object], bool]:
    def __eq__(self: Any, other: object) -> bool:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return values(self) == values(other)

    return __eq__


def _hash(values: Callable[[Any], Any]) -> Callable[[Any], int]:
    def __hash__(self: Any) -> int:
        return hash(values(self))

    return __hash__


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


def _deferred_init(cls: type, frozen: bool) -> Callable[..., None]:
    def __init__(self: Any, *args: Any, **kwargs: Any) -> None:
        init = _compile_init(cls, frozen)
        cls.__init__ = init  # type: ignore[misc]
        init(self, *args, **kwargs)

    return __init__


def _compile_init(cls: type, frozen: bool) -> Callable[..., None]:
    """Compile the initializer from the fields of a data class."""
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
    body = "\n    ".join(lines or ["pass"])
    exec(f"def {_INIT}({parameters}):\n    {body}", scope)
    init: Callable[..., None] = scope[_INIT]
    init.__qualname__ = f"{cls.__qualname__}.{_INIT}"
    init.__module__ = cls.__module__
    return init
