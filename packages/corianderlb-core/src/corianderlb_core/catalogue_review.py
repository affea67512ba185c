"""Find entries of a valid catalogue that can never take effect.

``catalogue_check`` finds what would make routers refuse a catalogue. What is found here
is accepted and does nothing, or less than its owner expects: an account that no caller
can use, a model that no account may use, a limit that another one makes unreachable.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Final

from .catalogue import (
    Account,
    Adapter,
    Catalogue,
    Entry,
    EntryKey,
    EntryKind,
    Model,
    Route,
    key_of,
)
from .data_class import dataclass

LIMIT_FIELDS: Final = ("requests_per_s", "concurrent", "tokens_per_s")
"""Fields of ``Limits`` that are compared between entries."""


@dataclass(frozen=True)
class CatalogueWarning:
    """A field of a valid entry that has no effect, and why."""

    key: EntryKey
    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.key}: {self.field}: {self.problem}"


def review_catalogue(catalogue: Catalogue) -> tuple[CatalogueWarning, ...]:
    """Return the warnings about a valid catalogue, sorted by entry.

    For example, an account without keys gives one warning,
    ``account/a: key_digests: no caller can use the account without a key``.
    """
    usable = _Usable(catalogue)
    warnings = [warning for review in _REVIEWS for warning in review(usable)]
    return tuple(sorted(warnings, key=str))


class _Usable:
    """The entries of a catalogue, and who may use them."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        entries = catalogue.entries.values()
        self.models = [entry for entry in entries if isinstance(entry, Model)]
        self.adapters = [entry for entry in entries if isinstance(entry, Adapter)]
        self.routes = [entry for entry in entries if isinstance(entry, Route)]
        self.accounts = [entry for entry in entries if isinstance(entry, Account)]

    def targets(self, account: Account) -> list[Entry]:
        """Return the models, adapters and routes that an account may use."""
        models, routes = account.models, account.routes
        return [
            *(
                entry
                for entry in (*self.models, *self.adapters)
                if not models or entry.name in models
            ),
            *(entry for entry in self.routes if not routes or entry.name in routes),
        ]


def _review_accounts(usable: _Usable) -> Iterator[CatalogueWarning]:
    for account in usable.accounts:
        if not account.key_digests:
            problem = "no caller can use the account without a key"
            yield CatalogueWarning(key_of(account), "key_digests", problem)


def _review_unused(usable: _Usable) -> Iterator[CatalogueWarning]:
    """Find models, adapters, routes and upstreams that no request can reach."""
    catalogue = usable.catalogue
    with_keys = [account for account in usable.accounts if account.key_digests]
    reachable = {
        key_of(target) for account in with_keys for target in usable.targets(account)
    }
    for entry in (*usable.models, *usable.adapters, *usable.routes):
        if key_of(entry) not in reachable:
            problem = "no account with a key may use it"
            yield CatalogueWarning(key_of(entry), "name", problem)
    used = {model.upstream for model in usable.models}
    used |= {model.kv_cache for model in usable.models}
    used |= {route.upstream for route in usable.routes}
    for upstream in catalogue.of_kind(EntryKind.UPSTREAM):
        if upstream.name not in used:
            problem = "no model or route leads to it"
            yield CatalogueWarning(key_of(upstream), "name", problem)


def _review_own_limits(usable: _Usable) -> Iterator[CatalogueWarning]:
    """Find limits of one entry that contradict each other."""
    for entry in usable.catalogue.entries.values():
        requests, tokens = entry.limits.requests_per_s, entry.limits.tokens_per_s
        if requests is not None and tokens is not None and requests > tokens:
            problem = (
                f"{requests:g} is never reached: a request uses a token at least, "
                f"and tokens_per_s is {tokens:g}"
            )
            yield CatalogueWarning(key_of(entry), "limits.requests_per_s", problem)


def _review_shared_limits(usable: _Usable) -> Iterator[CatalogueWarning]:
    """Find limits that are never reached because others end sooner."""
    for adapter in usable.adapters:
        model = usable.catalogue.model(adapter.model)
        if model is not None:
            yield from _unreachable(adapter, [model])
    for account in usable.accounts:
        yield from _unreachable(account, usable.targets(account))


def _unreachable(entry: Entry, others: Iterable[Entry]) -> Iterator[CatalogueWarning]:
    """Find the limits of an entry that are above those of all it is used with."""
    others = list(others)
    for field in LIMIT_FIELDS:
        limit = getattr(entry.limits, field)
        bounds = [getattr(other.limits, field) for other in others]
        if limit is None or not bounds or None in bounds or limit <= sum(bounds):
            continue
        names = ", ".join(sorted(str(key_of(other)) for other in others))
        problem = f"{limit:g} is never reached: {names} allow {sum(bounds):g}"
        yield CatalogueWarning(key_of(entry), f"limits.{field}", problem)


_REVIEWS: Final[tuple[Callable[[_Usable], Iterator[CatalogueWarning]], ...]] = (
    _review_accounts,
    _review_unused,
    _review_own_limits,
    _review_shared_limits,
)
