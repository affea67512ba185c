"""Interface to engines that report their weights and accept orders to load others."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from corianderlb_core.data_class import dataclass
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.instance_signals import NO_SIGNALS, InstanceSignals


class OrderAnswer(Enum):
    """Response of an engine to an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    """The engine already has that version."""
    BUSY = "busy"
    """Another order is in progress, or the order count does not match."""
    OUTDATED = "outdated"
    """The engine has seen a newer fencing token."""
    GONE = "gone"
    """Another instance answered at this address."""
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No response: the order may have arrived, or arrive later."""


@dataclass(frozen=True)
class WeightsOrder:
    """Order to load a version of a model's weights."""

    model: str
    version: int
    holder: str
    token: int
    expected: int | None
    """Number of orders that the engine must have accepted so far, so that an order that
    arrives late has no effect; None if unknown."""


@dataclass(frozen=True)
class EngineReport:
    """Weights and order state reported by an engine."""

    versions: dict[str, int]
    is_busy: bool
    n_orders: int
    """Orders accepted by this incarnation."""
    signals: InstanceSignals = NO_SIGNALS
    """What the engine says of itself."""
    load: InstanceLoadReport | None = None


class EngineOrders(ABC):
    """Interface for weights reports and orders."""

    @abstractmethod
    async def report(self, engine: ForwardInstance) -> EngineReport | None:
        """Return the engine's report, or None without a response."""

    @abstractmethod
    async def order(self, engine: ForwardInstance, order: WeightsOrder) -> OrderAnswer:
        """Send an order once, without retries."""
