"""Derive the load orders for the engines of an upstream from the catalogue.

An engine whose report differs from the catalogue gets an order to load the weights that
it lacks. Orders are idempotent: a lost order is sent again, and a duplicate is
harmless.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import field
from typing import Final

from .catalogue import Adapter, Catalogue, EntryKind, Model
from .data_class import dataclass
from .identity import InstanceId
from .load import LoadReport
from .order_record import Order, OrderKind

MAX_LOADS: Final = 2
"""Maximum concurrent weight loads in the fleet; more would slow each other down."""


@dataclass(frozen=True)
class EngineState:
    """An engine and its latest report."""

    instance: InstanceId
    address: str
    report: LoadReport


@dataclass(frozen=True)
class EngineNeed:
    """A model or adapter version that one engine lacks."""

    engine: EngineState
    kind: OrderKind
    name: str
    version: str

    def as_order(self, order_id: str, upstream: str, catalogue_version: int) -> Order:
        """Return the order that fulfils the need."""
        return Order(
            order_id,
            upstream,
            self.engine.instance,
            self.engine.report.epoch,
            self.kind,
            self.name,
            self.version,
            catalogue_version,
        )


@dataclass(frozen=True)
class LoadSlot:
    """Slot of one weight load that may be in progress."""

    upstream: str
    order_id: str
    token: int


@dataclass(frozen=True)
class LoadSlots:
    """Weight loads in progress in the whole fleet, as stored."""

    slots: tuple[LoadSlot, ...] = ()

    def take(self, slot: LoadSlot, dropped: Sequence[str] = ()) -> LoadSlots | None:
        """Return the slots with one more, or None if all are taken.

        An upstream has at most one slot, so a new lease holder replaces the slot of the
        previous one. ``dropped`` has the ids of orders whose slots are overdue.
        """
        others = self.without(slot.upstream).slots
        others = tuple(held for held in others if held.order_id not in dropped)
        if len(others) >= MAX_LOADS:
            return None
        return LoadSlots((*others, slot))

    def without(self, upstream: str) -> LoadSlots:
        """Return the slots without the one of an upstream."""
        return LoadSlots(tuple(s for s in self.slots if s.upstream != upstream))


@dataclass
class SlotWatch:
    """Watch for slots that are not released, such as those of crashed routers."""

    first_seen_at: Mapping[str, float] = field(default_factory=dict)

    def overdue(self, held: LoadSlots, timeout_s: float, now: float) -> list[str]:
        """Return the ids of orders whose slots were held longer than ``timeout_s``."""
        self.first_seen_at = {
            slot.order_id: self.first_seen_at.get(slot.order_id, now)
            for slot in held.slots
        }
        return [key for key, at in self.first_seen_at.items() if now - at > timeout_s]


def needs(
    catalogue: Catalogue, upstream: str, engines: Sequence[EngineState]
) -> list[EngineNeed]:
    """Return the needs of the engines of an upstream, models before their adapters.

    Leaving engines get no orders. The needs are grouped by engine, so that the other
    engines keep serving while one loads.
    """
    found = []
    for engine in sorted(engines, key=lambda one: one.instance):
        if not engine.report.leaving:
            found += _needs_of(engine, catalogue, upstream)
    return found


def is_met(expected: Order, report: LoadReport) -> bool:
    """Return whether a report shows that a load order has completed."""
    held = report.weights if expected.kind is OrderKind.LOAD_MODEL else report.adapters
    return (held or {}).get(expected.name) == expected.version


def _needs_of(
    engine: EngineState, catalogue: Catalogue, upstream: str
) -> list[EngineNeed]:
    weights = engine.report.weights
    adapters = engine.report.adapters or {}
    if weights is None:
        return []
    models = _models(catalogue, upstream)
    names = {model.name for model in models}
    missing = [
        EngineNeed(engine, OrderKind.LOAD_MODEL, model.name, model.weights_version)
        for model in models
        if weights.get(model.name) != model.weights_version
    ]
    missing += [
        EngineNeed(engine, OrderKind.LOAD_ADAPTER, adapter.name, adapter.version)
        for adapter in _adapters(catalogue)
        if adapter.model in names and adapters.get(adapter.name) != adapter.version
    ]
    return missing


def _models(catalogue: Catalogue, upstream: str) -> list[Model]:
    models = catalogue.of_kind(EntryKind.MODEL)
    return [m for m in models if isinstance(m, Model) and m.upstream == upstream]


def _adapters(catalogue: Catalogue) -> list[Adapter]:
    found = catalogue.of_kind(EntryKind.ADAPTER)
    return [adapter for adapter in found if isinstance(adapter, Adapter)]
