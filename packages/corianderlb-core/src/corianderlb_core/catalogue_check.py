"""Check a whole catalogue before it is accepted.

An entry that refers to nothing or has a limit of zero would turn callers away once it
is in force, on all routers at once. So the catalogue that an edit would make is checked
as a whole, and every fault is told, each with the entry, the field and what is allowed.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, TypeVar

from .catalogue import (
    Account,
    Adapter,
    Catalogue,
    Entry,
    EntryKey,
    EntryKind,
    Model,
    Route,
    Upstream,
    UpstreamKind,
    key_of,
)
from .error import CorianderError
from .result import ResultCode

E = TypeVar("E", bound=Entry)

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
"""What an entry may be called; a route's name is a part of URLs."""

DIGEST_PATTERN: Final = re.compile(r"[0-9a-f]{64}")
"""A SHA-256 digest in lower case hex."""

METHODS: Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
"""HTTP methods that a route may allow."""

MAX_PIECE_CHARS: Final = 1_000_000
"""Longest piece of prompt, in characters."""

MAX_PIECE_S: Final = 60.0
"""Longest time to compute or import one piece, in seconds."""

MAX_TIMEOUT_S: Final = 3600.0
"""Longest wait of a route for the next byte, in seconds."""

MAX_WEIGHT: Final = 1000.0
"""Largest share of a client account beside the others."""

_POSITIVE: Final = "a number above 0"


@dataclass(frozen=True)
class CatalogueFault:
    """Tell what is wrong with one field of one entry."""

    key: EntryKey
    field: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: {self.field}: {self.problem}; use {self.allowed}"


class CatalogueInvalidError(CorianderError):
    """Signal a catalogue that cannot be accepted, with all its faults."""

    code = ResultCode.CATALOGUE_INVALID

    def __init__(self, faults: tuple[CatalogueFault, ...]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
        """Every fault that was found."""


def check_catalogue(catalogue: Catalogue) -> tuple[CatalogueFault, ...]:
    """Return all faults of a catalogue, by entry; none when it may be accepted.

    For example a model that names an upstream which does not exist gives one fault,
    ``model/m: upstream: 'x' does not exist; use one of ember-llm``.
    """
    faults: list[CatalogueFault] = []
    for key in sorted(catalogue.entries, key=str):
        entry = catalogue.entries[key]
        faults.extend(_check_common(entry))
        faults.extend(_CHECKS[key.kind](entry, catalogue))
    faults.extend(_check_digests_apart(catalogue))
    return tuple(faults)


def require_valid(catalogue: Catalogue) -> None:
    """Raise ``CatalogueInvalidError`` with all faults unless there is none."""
    faults = check_catalogue(catalogue)
    if faults:
        raise CatalogueInvalidError(faults)


def _fault(entry: Entry, field: str, problem: str, allowed: str) -> CatalogueFault:
    return CatalogueFault(key_of(entry), field, problem, allowed)


def _check_common(entry: Entry) -> Iterator[CatalogueFault]:
    """Check what every kind of entry has."""
    if not NAME_PATTERN.fullmatch(entry.name):
        allowed = "letters, digits, '.', '_' and '-', at most 63"
        yield _fault(entry, "name", repr(entry.name), allowed)
    if not entry.owner.strip():
        yield _fault(entry, "owner", "empty", "the team or person who answers for it")
    limits = entry.limits
    for field in ("requests_per_s", "tokens_per_s"):
        value = getattr(limits, field)
        if value is not None and not _is_positive(value):
            allowed = f"{_POSITIVE}, or null for no limit"
            yield _fault(entry, f"limits.{field}", str(value), allowed)
    if limits.concurrent is not None and limits.concurrent < 1:
        allowed = "a whole number from 1 on, or null for no limit"
        yield _fault(entry, "limits.concurrent", str(limits.concurrent), allowed)


def _check_model(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    model = _as(Model, entry)
    yield from _check_upstream_kind(
        model, "upstream", model.upstream, UpstreamKind.ENGINE, catalogue
    )
    if model.kv_cache:
        yield from _check_upstream_kind(
            model, "kv_cache", model.kv_cache, UpstreamKind.KV_CACHE, catalogue
        )
    if not model.weights_version.strip():
        yield _fault(model, "weights_version", "empty", "the version engines report")
    if not 1 <= model.piece_chars <= MAX_PIECE_CHARS:
        allowed = f"a whole number from 1 to {MAX_PIECE_CHARS}"
        yield _fault(model, "piece_chars", str(model.piece_chars), allowed)
    for field in ("prefill_s_per_piece", "import_s_per_piece"):
        yield from _check_range(model, field, MAX_PIECE_S)


def _check_adapter(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    adapter = _as(Adapter, entry)
    if catalogue.model(adapter.model) is None:
        yield _missing(adapter, "model", adapter.model, catalogue, EntryKind.MODEL)
    if catalogue.model(adapter.name) is not None:
        problem = f"{adapter.name!r} is a model too, so requests could mean either"
        yield _fault(adapter, "name", problem, "a name that no model has")
    if not adapter.version.strip():
        yield _fault(adapter, "version", "empty", "the version engines report")


def _check_account(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    account = _as(Account, entry)
    for digest in account.key_digests:
        if not DIGEST_PATTERN.fullmatch(digest):
            allowed = "the SHA-256 of the key as 64 lower case hex digits"
            yield _fault(account, "key_digests", repr(digest), allowed)
    yield from _check_range(account, "weight", MAX_WEIGHT)
    for name in account.models:
        if catalogue.model(name) is None and catalogue.adapter(name) is None:
            kinds = (EntryKind.MODEL, EntryKind.ADAPTER)
            yield _missing(account, "models", name, catalogue, *kinds)
    for name in account.routes:
        if catalogue.route(name) is None:
            yield _missing(account, "routes", name, catalogue, EntryKind.ROUTE)


def _check_route(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    route = _as(Route, entry)
    yield from _check_upstream_kind(
        route, "upstream", route.upstream, UpstreamKind.SERVICE, catalogue
    )
    if not route.methods:
        yield _fault(route, "methods", "empty", f"some of {', '.join(METHODS)}")
    for method in route.methods:
        if method not in METHODS:
            allowed = f"some of {', '.join(METHODS)}"
            yield _fault(route, "methods", repr(method), allowed)
    yield from _check_range(route, "timeout_s", MAX_TIMEOUT_S)


def _check_upstream(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    """Find nothing: what an upstream has is checked with every entry."""
    return iter(())


_CHECKS: Final[
    Mapping[EntryKind, Callable[[Entry, Catalogue], Iterator[CatalogueFault]]]
] = MappingProxyType(
    {
        EntryKind.MODEL: _check_model,
        EntryKind.ADAPTER: _check_adapter,
        EntryKind.ACCOUNT: _check_account,
        EntryKind.ROUTE: _check_route,
        EntryKind.UPSTREAM: _check_upstream,
    }
)


def _check_upstream_kind(
    entry: Entry, field: str, name: str, wanted: UpstreamKind, catalogue: Catalogue
) -> Iterator[CatalogueFault]:
    """Check that a field names an upstream of the kind that it needs."""
    fitting = [
        item.name
        for item in catalogue.of_kind(EntryKind.UPSTREAM)
        if _as(Upstream, item).upstream_kind is wanted
    ]
    if name in fitting:
        return
    found = catalogue.upstream(name)
    problem = f"{name!r} does not exist"
    if found is not None:
        problem = f"{name!r} is of kind {found.upstream_kind.value}"
    yield _fault(
        entry, field, problem, f"an upstream of kind {wanted.value}: {_one_of(fitting)}"
    )


def _check_range(entry: Entry, field: str, most: float) -> Iterator[CatalogueFault]:
    """Check that a field is above zero and no more than a bound."""
    value = getattr(entry, field)
    if not _is_positive(value) or value > most:
        allowed = f"{_POSITIVE} and at most {most:g}"
        yield _fault(entry, field, str(value), allowed)


def _check_digests_apart(catalogue: Catalogue) -> Iterator[CatalogueFault]:
    """Check that no key opens two accounts.

    With a shared key a request could count for either account, and could reach the
    other one's cached prompts.
    """
    holder: dict[str, str] = {}
    for item in catalogue.of_kind(EntryKind.ACCOUNT):
        account = _as(Account, item)
        for digest in account.key_digests:
            first = holder.setdefault(digest, account.name)
            if first != account.name:
                problem = f"a key of account/{first} as well"
                yield _fault(account, "key_digests", problem, "a key of its own")


def _missing(
    entry: Entry, field: str, name: str, catalogue: Catalogue, *kinds: EntryKind
) -> CatalogueFault:
    names = [item.name for kind in kinds for item in catalogue.of_kind(kind)]
    return _fault(entry, field, f"{name!r} does not exist", _one_of(names))


def _one_of(names: Iterable[str]) -> str:
    return f"one of {', '.join(sorted(names)) or '(none declared yet)'}"


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _as(cls: type[E], entry: Entry) -> E:
    """Narrow an entry to the class that its kind has."""
    if not isinstance(entry, cls):
        raise TypeError(f"{key_of(entry)} is held as {type(entry).__name__}")
    return entry
