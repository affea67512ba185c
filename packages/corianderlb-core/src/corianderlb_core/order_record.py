"""An order to load weights and its outcome, as a lease's record keeps them."""

from __future__ import annotations

from enum import Enum

from .data_class import dataclass
from .identity import InstanceId


class OrderKind(Enum):
    """Kind of an order; values are those of the engine protocol."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True)
class Order:
    """Order to one engine to load a model or an adapter, or to change its role."""

    order_id: str
    upstream: str
    instance: InstanceId
    epoch: int
    """Epoch of the engine's incarnation whose report led to the order."""
    kind: OrderKind
    name: str
    version: str
    catalogue_version: int
    """Catalogue version that requires the order, for auditors."""


@dataclass(frozen=True)
class OrderOutcome:
    """Outcome of an order, for status and auditors."""

    order: Order
    token: int
    state: str
    """Final state in the state chart ``order``."""
