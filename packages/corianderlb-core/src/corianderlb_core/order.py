"""Decide which order an engine upstream needs next.

Orders follow from the catalogue alone: an engine whose report names other weights than
the catalogue gets an order to load them. So an order that was lost is simply given
again, and one that was given twice does no harm.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from .catalogue import Adapter, Catalogue, EntryKind, Model
from .identity import InstanceId
from .load import LoadReport

MAX_LOADS: Final = 2
"""Weight loads at once over the fleet; with more, each takes longer."""


class OrderKind(Enum):
    """Name what an engine can be told to do, as the protocol spells it."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True)
class Order:
    """Tell one engine to load something."""

    order_id: str
    upstream: str
    instance: InstanceId
    epoch: int
    """Of the engine's life that was read; a new life is read again."""
    kind: OrderKind
    name: str
    version: str
    catalogue_version: int
    """Version that asked for it, for auditors."""


@dataclass(frozen=True)
class OrderOutcome:
    """Hold how an order ended, for status and for auditors."""

    order: Order
    token: int
    state: str
    """Last state of the chart ``order``."""


@dataclass(frozen=True)
class EngineState:
    """Hold an engine's own word about itself."""

    instance: InstanceId
    address: str
    report: LoadReport


@dataclass(frozen=True)
class Need:
    """Say what one engine lacks."""

    engine: EngineState
    kind: OrderKind
    name: str
    version: str

    def as_order(self, order_id: str, upstream: str, version: int) -> Order:
        """Return the order that meets the need."""
        return Order(
            order_id,
            upstream,
            self.engine.instance,
            self.engine.report.epoch,
            self.kind,
            self.name,
            self.version,
            version,
        )


@dataclass(frozen=True)
class LoadSlot:
    """Stand for one weight load that may be under way."""

    upstream: str
    order_id: str
    token: int


@dataclass(frozen=True)
class LoadSlots:
    """Hold the weight loads of the whole fleet, as they are stored."""

    slots: tuple[LoadSlot, ...] = ()

    def take(self, slot: LoadSlot, dropped: Sequence[str] = ()) -> LoadSlots | None:
        """Return the slots with one more, or None when all are taken.

        An upstream has one at most: its next holder takes over what the last one left.
        ``dropped`` names orders whose slots were held too long to be true.
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
    """Notice slots that nobody gives back, such as those of routers that died."""

    first_seen: Mapping[str, float] = field(default_factory=dict)

    def overdue(self, held: LoadSlots, timeout_s: float, now: float) -> list[str]:
        """Return the orders whose slots were seen for longer than a load can take."""
        self.first_seen = {
            slot.order_id: self.first_seen.get(slot.order_id, now)
            for slot in held.slots
        }
        return [name for name, at in self.first_seen.items() if now - at > timeout_s]


def needs(
    catalogue: Catalogue, upstream: str, engines: Sequence[EngineState]
) -> list[Need]:
    """Return what the engines of an upstream lack, models before their adapters.

    Engines that leave get no orders. One engine at a time gets all it lacks, so that
    the others go on serving.
    """
    found = []
    for engine in sorted(engines, key=lambda one: one.instance):
        if not engine.report.leaving:
            found += _needs_of(engine, catalogue, upstream)
    return found


def is_met(need_of: Order, report: LoadReport) -> bool:
    """Return whether a report shows that an order was carried out."""
    held = report.weights if need_of.kind is OrderKind.LOAD_MODEL else report.adapters
    return (held or {}).get(need_of.name) == need_of.version


def _needs_of(engine: EngineState, catalogue: Catalogue, upstream: str) -> list[Need]:
    weights = engine.report.weights
    adapters = engine.report.adapters or {}
    if weights is None:
        return []
    models = _models(catalogue, upstream)
    names = {model.name for model in models}
    lacking = [
        Need(engine, OrderKind.LOAD_MODEL, model.name, model.weights_version)
        for model in models
        if weights.get(model.name) != model.weights_version
    ]
    lacking += [
        Need(engine, OrderKind.LOAD_ADAPTER, adapter.name, adapter.version)
        for adapter in _adapters(catalogue)
        if adapter.model in names and adapters.get(adapter.name) != adapter.version
    ]
    return lacking


def _models(catalogue: Catalogue, upstream: str) -> list[Model]:
    models = catalogue.of_kind(EntryKind.MODEL)
    return [m for m in models if isinstance(m, Model) and m.upstream == upstream]


def _adapters(catalogue: Catalogue) -> list[Adapter]:
    found = catalogue.of_kind(EntryKind.ADAPTER)
    return [adapter for adapter in found if isinstance(adapter, Adapter)]
