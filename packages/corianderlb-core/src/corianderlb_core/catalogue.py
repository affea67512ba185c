"""The catalogue: what operators declare, each entry with an owner, a class and limits.

A ``Catalogue`` is the fold of the accepted changes up to one version. It is immutable;
``apply_change`` in ``change`` makes the next one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import ClassVar, Final

from .identity import AccountId


class ServiceClass(Enum):
    """Order work by urgency; the value is the word used in headers and files."""

    URGENT = "urgent"
    """A person waits at the kiln or the bath."""
    STANDARD = "standard"
    DEFERRABLE = "deferrable"
    """May wait, but not for ever."""


class EntryKind(Enum):
    """Name the kinds of catalogue entries."""

    MODEL = "model"
    ADAPTER = "adapter"
    ACCOUNT = "account"
    ROUTE = "route"
    UPSTREAM = "upstream"


class UpstreamKind(Enum):
    """Tell how the router talks to an upstream."""

    ENGINE = "engine"
    SERVICE = "service"
    KV_CACHE = "kv_cache"


class Fencing(Enum):
    """Say whether the upstream's instances check the fencing token of an order."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True)
class Limits:
    """Bound what an entry may use, over all routers together; ``None`` is no bound."""

    requests_per_s: float | None = None
    concurrent: int | None = None
    tokens_per_s: float | None = None
    """Prompt and generated tokens together."""


@dataclass(frozen=True, kw_only=True)
class Entry:
    """Hold what every kind of entry has; auditors rely on ``owner``."""

    kind: ClassVar[EntryKind]

    name: str
    owner: str
    service_class: ServiceClass = ServiceClass.STANDARD
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, kw_only=True)
class Model(Entry):
    """Declare a model that callers name in requests."""

    kind: ClassVar[EntryKind] = EntryKind.MODEL

    upstream: str
    """The engine upstream whose instances serve it."""
    weights_version: str
    """The weights every answer must come from."""
    piece_chars: int = 4000
    """Characters of prompt in one cached piece of the engine."""
    prefill_s_per_piece: float = 0.1
    """Engine seconds to compute one missing piece."""
    import_s_per_piece: float = 0.02
    """Engine seconds to import one piece from the KV cache upstream."""
    kv_cache: str = ""
    """The KV cache upstream to import from; empty for none."""


@dataclass(frozen=True, kw_only=True)
class Adapter(Entry):
    """Declare an adapter of a model; callers name it in place of the model."""

    kind: ClassVar[EntryKind] = EntryKind.ADAPTER

    model: str
    version: str


@dataclass(frozen=True, kw_only=True)
class Account(Entry):
    """Declare a client account; only digests of its keys are kept."""

    kind: ClassVar[EntryKind] = EntryKind.ACCOUNT

    key_digests: tuple[str, ...] = ()
    """Hex SHA-256 digests of the keys that are valid now."""
    weight: float = 1.0
    """Its share beside other accounts when there is not enough for all."""
    models: tuple[str, ...] = ()
    """Models and adapters it may use; empty for all."""
    routes: tuple[str, ...] = ()
    """Application routes it may use; empty for all."""


@dataclass(frozen=True, kw_only=True)
class Route(Entry):
    """Declare an application route to a plain service."""

    kind: ClassVar[EntryKind] = EntryKind.ROUTE

    upstream: str
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = True
    """False for a sign-off or a booking, which runs at most once."""
    timeout_s: float = 10.0
    """Longest wait for the next byte of the answer."""


@dataclass(frozen=True, kw_only=True)
class Upstream(Entry):
    """Declare a back end; its instances come from the platform's list."""

    kind: ClassVar[EntryKind] = EntryKind.UPSTREAM

    upstream_kind: UpstreamKind
    fencing: Fencing = Fencing.IGNORED


ENTRY_TYPES: Final[Mapping[EntryKind, type[Entry]]] = MappingProxyType(
    {cls.kind: cls for cls in (Model, Adapter, Account, Route, Upstream)}
)
"""The class of each kind of entry."""


@dataclass(frozen=True)
class EntryKey:
    """Address one entry; it prints as ``kind/name``."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


def key_of(entry: Entry) -> EntryKey:
    """Return the key under which a catalogue holds the entry."""
    return EntryKey(entry.kind, entry.name)


@dataclass(frozen=True)
class Catalogue:
    """Hold all entries in force at one version.

    ``changed_in`` maps each entry to the version of the change that put it there, so
    that a decision can be traced to an owner and a time.
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
        """Return the entries of one kind, by name."""
        found = [entry for key, entry in self.entries.items() if key.kind is kind]
        return tuple(sorted(found, key=lambda entry: entry.name))
