"""The catalogue of models, adapters, accounts, routes and upstreams.

Operators declare each entry with an owner, a service class and limits. A ``Catalogue``
is the fold of the accepted changes up to one version. It is immutable;
``apply_change`` in ``change`` returns the next version.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import field
from enum import Enum
from types import MappingProxyType
from typing import ClassVar, Final

from .data_class import dataclass
from .identity import AccountId
from .service_class import ServiceClass


class EntryKind(Enum):
    """Kind of a catalogue entry."""

    MODEL = "model"
    ADAPTER = "adapter"
    ACCOUNT = "account"
    ROUTE = "route"
    UPSTREAM = "upstream"


class UpstreamKind(Enum):
    """Protocol that the router uses with an upstream."""

    ENGINE = "engine"
    SERVICE = "service"
    KV_CACHE = "kv_cache"


class Fencing(Enum):
    """Whether the upstream's instances check the fencing token of an order."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True)
class Limits:
    """Limits of an entry, summed over all routers; ``None`` means unlimited."""

    requests_per_s: float | None = None
    concurrent: int | None = None
    tokens_per_s: float | None = None
    """Prompt and generated tokens together."""


@dataclass(frozen=True, kw_only=True)
class Entry:
    """Fields common to all kinds of entries; audits rely on ``owner``."""

    kind: ClassVar[EntryKind]

    name: str
    owner: str
    service_class: ServiceClass = ServiceClass.STANDARD
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, kw_only=True)
class Model(Entry):
    """A model that clients name in requests."""

    kind: ClassVar[EntryKind] = EntryKind.MODEL

    upstream: str
    """The engine upstream whose instances serve the model."""
    weights_version: str
    """The weights version that every answer must come from."""
    piece_chars: int = 4000
    """Characters of the prompt in one piece of the engine's cache."""
    prefill_s_per_piece: float = 0.1
    """Time for an engine to prefill one piece that is not cached."""
    import_s_per_piece: float = 0.02
    """Time for an engine to import one piece from the KV cache upstream."""
    kv_cache: str = ""
    """The KV cache upstream to import pieces from; empty for none."""


@dataclass(frozen=True, kw_only=True)
class Adapter(Entry):
    """An adapter of a model; clients name it in place of the model."""

    kind: ClassVar[EntryKind] = EntryKind.ADAPTER

    model: str
    version: str


@dataclass(frozen=True, kw_only=True)
class Account(Entry):
    """A client account; only digests of its keys are stored."""

    kind: ClassVar[EntryKind] = EntryKind.ACCOUNT

    key_digests: tuple[str, ...] = ()
    """Hex SHA-256 digests of the valid keys."""
    weight: float = 1.0
    """Relative share of capacity when accounts compete for it."""
    models: tuple[str, ...] = ()
    """Models and adapters that the account may use; empty for all."""
    routes: tuple[str, ...] = ()
    """Application routes that the account may use; empty for all."""


@dataclass(frozen=True, kw_only=True)
class Route(Entry):
    """An application route to a plain HTTP service."""

    kind: ClassVar[EntryKind] = EntryKind.ROUTE

    upstream: str
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = True
    """False for requests that must run at most once, such as a booking."""
    timeout_s: float = 10.0
    """Longest wait for the next byte of the response."""


@dataclass(frozen=True, kw_only=True)
class Upstream(Entry):
    """A group of instances, which are listed by the platform."""

    kind: ClassVar[EntryKind] = EntryKind.UPSTREAM

    upstream_kind: UpstreamKind
    fencing: Fencing = Fencing.IGNORED


ENTRY_TYPES: Final[Mapping[EntryKind, type[Entry]]] = MappingProxyType(
    {cls.kind: cls for cls in (Model, Adapter, Account, Route, Upstream)}
)
"""The class of each kind of entry."""


@dataclass(frozen=True)
class EntryKey:
    """Key of an entry, printed as ``kind/name``."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


def key_of(entry: Entry) -> EntryKey:
    """Return the entry's key in a catalogue."""
    return EntryKey(entry.kind, entry.name)


@dataclass(frozen=True)
class Catalogue:
    """All entries in force at one version.

    ``changed_in`` maps each entry to the version that last changed it, so that a
    decision can be traced to the change's owner and time.
    """

    version: int = 0
    entries: Mapping[EntryKey, Entry] = field(default_factory=dict)
    changed_in: Mapping[EntryKey, int] = field(default_factory=dict)

    def model(self, name: str) -> Model | None:
        """Return the model of that name, or None."""
        entry = self.entries.get(EntryKey(EntryKind.MODEL, name))
        return entry if isinstance(entry, Model) else None

    def adapter(self, name: str) -> Adapter | None:
        """Return the adapter of that name, or None."""
        entry = self.entries.get(EntryKey(EntryKind.ADAPTER, name))
        return entry if isinstance(entry, Adapter) else None

    def account(self, name: AccountId) -> Account | None:
        """Return the client account of that name, or None."""
        entry = self.entries.get(EntryKey(EntryKind.ACCOUNT, name))
        return entry if isinstance(entry, Account) else None

    def route(self, name: str) -> Route | None:
        """Return the application route of that name, or None."""
        entry = self.entries.get(EntryKey(EntryKind.ROUTE, name))
        return entry if isinstance(entry, Route) else None

    def upstream(self, name: str) -> Upstream | None:
        """Return the upstream of that name, or None."""
        entry = self.entries.get(EntryKey(EntryKind.UPSTREAM, name))
        return entry if isinstance(entry, Upstream) else None

    def of_kind(self, kind: EntryKind) -> tuple[Entry, ...]:
        """Return the entries of one kind, sorted by name."""
        found = [entry for key, entry in self.entries.items() if key.kind is kind]
        return tuple(sorted(found, key=lambda entry: entry.name))
