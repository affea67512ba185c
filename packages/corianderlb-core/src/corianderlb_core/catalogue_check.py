"""Validate a whole catalogue before an edit is accepted.

An entry with a dangling reference or a limit of zero would make all routers refuse
requests as soon as it is in force. So the catalogue that results from an edit is
validated as a whole, and every fault is reported with its entry, field and allowed
values.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
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
from .data_class import dataclass
from .error import CorianderError
from .result import ResultCode

E = TypeVar("E", bound=Entry)

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
"""Allowed names of entries; a route's name is part of URLs."""

DIGEST_PATTERN: Final = re.compile(r"[0-9a-f]{64}")
"""A SHA-256 digest in lower case hex."""

METHODS: Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
"""HTTP methods that a route may allow."""

MAX_PIECE_CHARS: Final = 1_000_000
"""Upper limit of ``piece_chars``."""

MAX_PIECE_S: Final = 60.0
"""Upper limit of the time to prefill or import one piece, in seconds."""

MAX_TIMEOUT_S: Final = 3600.0
"""Upper limit of a route's ``timeout_s``."""

MAX_WEIGHT: Final = 1000.0
"""Upper limit of a client account's ``weight``."""

_POSITIVE: Final = "a number above 0"


@dataclass(frozen=True)
class CatalogueFault:
    """An invalid field of an entry."""

    key: EntryKey
    field: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: {self.field}: {self.problem}; use {self.allowed}"


class CatalogueInvalidError(CorianderError):
    """An invalid catalogue, with all its faults."""

    code = ResultCode.CATALOGUE_INVALID

    def __init__(self, faults: tuple[CatalogueFault, ...]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
        """All faults of the catalogue."""


def check_catalogue(catalogue: Catalogue) -> tuple[CatalogueFault, ...]:
    """Return all faults of a catalogue, sorted by entry; empty if it is valid.

    For example, a model that names an upstream which does not exist gives one fault,
    ``model/m: upstream: 'x' does not exist; use one of ember-llm``.
    """
    faults: list[CatalogueFault] = []
    for key in sorted(catalogue.entries, key=str):
        entry = catalogue.entries[key]
        faults.extend(_check_common(entry))
        faults.extend(_CHECKS[key.kind](entry, catalogue))
    faults.extend(_check_unique_digests(catalogue))
    return tuple(faults)


def require_valid(catalogue: Catalogue) -> None:
    """Raise ``CatalogueInvalidError`` with all faults if there are any."""
    faults = check_catalogue(catalogue)
    if faults:
        raise CatalogueInvalidError(faults)


def _fault(entry: Entry, field: str, problem: str, allowed: str) -> CatalogueFault:
    return CatalogueFault(key_of(entry), field, problem, allowed)


def _check_common(entry: Entry) -> Iterator[CatalogueFault]:
    """Check the fields common to all kinds of entries."""
    if not NAME_PATTERN.fullmatch(entry.name):
        allowed = "letters, digits, '.', '_' and '-', at most 63"
        yield _fault(entry, "name", repr(entry.name), allowed)
    if not entry.owner.strip():
        yield _fault(entry, "owner", "empty", "the responsible team or person")
    limits = entry.limits
    for field in ("requests_per_s", "tokens_per_s"):
        value = getattr(limits, field)
        if value is not None and not _is_positive(value):
            allowed = f"{_POSITIVE}, or null for no limit"
            yield _fault(entry, f"limits.{field}", str(value), allowed)
    if limits.concurrent is not None and limits.concurrent < 1:
        allowed = "an integer of at least 1, or null for no limit"
        yield _fault(entry, "limits.concurrent", str(limits.concurrent), allowed)


def _check_model(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    model = _narrow(Model, entry)
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
        allowed = f"an integer from 1 to {MAX_PIECE_CHARS}"
        yield _fault(model, "piece_chars", str(model.piece_chars), allowed)
    for field in ("prefill_s_per_piece", "import_s_per_piece"):
        yield from _check_range(model, field, MAX_PIECE_S)


def _check_adapter(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    adapter = _narrow(Adapter, entry)
    if catalogue.model(adapter.model) is None:
        yield _missing_reference(
            adapter, "model", adapter.model, catalogue, EntryKind.MODEL
        )
    if catalogue.model(adapter.name) is not None:
        problem = f"{adapter.name!r} is also a model, so requests would be ambiguous"
        yield _fault(adapter, "name", problem, "a name that no model has")
    if not adapter.version.strip():
        yield _fault(adapter, "version", "empty", "the version engines report")


def _check_account(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    account = _narrow(Account, entry)
    for digest in account.key_digests:
        if not DIGEST_PATTERN.fullmatch(digest):
            allowed = "the SHA-256 of the key as 64 lower case hex digits"
            yield _fault(account, "key_digests", repr(digest), allowed)
    yield from _check_range(account, "weight", MAX_WEIGHT)
    for name in account.models:
        if catalogue.model(name) is None and catalogue.adapter(name) is None:
            kinds = (EntryKind.MODEL, EntryKind.ADAPTER)
            yield _missing_reference(account, "models", name, catalogue, *kinds)
    for name in account.routes:
        if catalogue.route(name) is None:
            yield _missing_reference(
                account, "routes", name, catalogue, EntryKind.ROUTE
            )


def _check_route(entry: Entry, catalogue: Catalogue) -> Iterator[CatalogueFault]:
    route = _narrow(Route, entry)
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
    """Return no faults: an upstream has only common fields to check."""
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
    entry: Entry,
    field: str,
    name: str,
    required_kind: UpstreamKind,
    catalogue: Catalogue,
) -> Iterator[CatalogueFault]:
    """Check that a field names an upstream of the required kind."""
    candidates = [
        item.name
        for item in catalogue.of_kind(EntryKind.UPSTREAM)
        if _narrow(Upstream, item).upstream_kind is required_kind
    ]
    if name in candidates:
        return
    found = catalogue.upstream(name)
    problem = f"{name!r} does not exist"
    if found is not None:
        problem = f"{name!r} is of kind {found.upstream_kind.value}"
    yield _fault(
        entry,
        field,
        problem,
        f"an upstream of kind {required_kind.value}: {_one_of(candidates)}",
    )


def _check_range(entry: Entry, field: str, maximum: float) -> Iterator[CatalogueFault]:
    """Check that a field is above zero and at most ``maximum``."""
    value = getattr(entry, field)
    if not _is_positive(value) or value > maximum:
        allowed = f"{_POSITIVE} and at most {maximum:g}"
        yield _fault(entry, field, str(value), allowed)


def _check_unique_digests(catalogue: Catalogue) -> Iterator[CatalogueFault]:
    """Check that no two accounts have the same key.

    A request with a shared key could count against either account and reach cached
    prompts of the other.
    """
    account_by_digest: dict[str, str] = {}
    for item in catalogue.of_kind(EntryKind.ACCOUNT):
        account = _narrow(Account, item)
        for digest in account.key_digests:
            first_account = account_by_digest.setdefault(digest, account.name)
            if first_account != account.name:
                problem = f"also a key of account/{first_account}"
                yield _fault(
                    account, "key_digests", problem, "a key that no other account has"
                )


def _missing_reference(
    entry: Entry, field: str, name: str, catalogue: Catalogue, *kinds: EntryKind
) -> CatalogueFault:
    names = [item.name for kind in kinds for item in catalogue.of_kind(kind)]
    return _fault(entry, field, f"{name!r} does not exist", _one_of(names))


def _one_of(names: Iterable[str]) -> str:
    return f"one of {', '.join(sorted(names)) or '(none declared yet)'}"


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _narrow(cls: type[E], entry: Entry) -> E:
    """Narrow an entry to the class of its kind."""
    if not isinstance(entry, cls):
        raise TypeError(
            f"{key_of(entry)} is a {type(entry).__name__}, expected {cls.__name__}"
        )
    return entry
