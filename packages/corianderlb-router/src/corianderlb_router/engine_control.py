"""Read an engine's state and give it an order, over HTTP."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from enum import Enum
from typing import Final

import httpx
import trio

from corianderlb_core import header
from corianderlb_core.codec import DecodeError, from_json
from corianderlb_core.identity import AttemptId
from corianderlb_core.load import LoadReport
from corianderlb_core.order import EngineState, Order

from .connection import UpstreamError
from .interface import UpstreamInstance
from .upstream_client import Outbound, Patience, RefusedError, UpstreamClient

LOAD_PATH: Final = "/control/load"
ORDER_PATH: Final = "/control/orders"

READ_PATIENCE: Final = Patience(0.5, 1.0)
"""For a question about the engine's state."""

CONNECT_S: Final = 1.0
"""Longest wait for the connection of an order."""


class OrderReply(Enum):
    """Say what became of an order that was to be sent."""

    TAKEN = "taken"
    REFUSED = "refused"
    """The engine has had an order with a newer fencing token."""
    NOT_SENT = "not_sent"
    """No byte of it left, or the engine surely did not take it."""
    IN_DOUBT = "in_doubt"
    """It may have arrived."""


class EngineControl(ABC):
    """Talk to engines about what they hold."""

    @abstractmethod
    async def read(self, engine: UpstreamInstance) -> EngineState | None:
        """Return the engine's own word about itself, or None without an answer."""

    @abstractmethod
    async def give(
        self, order: Order, address: str, token: int, send_before: float, send_s: float
    ) -> OrderReply:
        """Send an order; no byte of it leaves after ``send_before``."""


class HttpEngineControl(EngineControl):
    """Talk to engines through the router's client for upstreams.

    Orders go over connections of their own: one out of the pool may have been dead for
    long, and its bytes could arrive after the lease has ended.
    """

    def __init__(self, client: UpstreamClient) -> None:
        self._client = client

    async def read(self, engine: UpstreamInstance) -> EngineState | None:
        """Return the engine's load report."""
        try:
            response = await self._client.get(engine.address, LOAD_PATH, READ_PATIENCE)
            report = from_json(LoadReport, response.content)
        except (UpstreamError, httpx.HTTPError, DecodeError):
            return None
        return EngineState(engine.instance, engine.address, report)

    async def give(
        self, order: Order, address: str, token: int, send_before: float, send_s: float
    ) -> OrderReply:
        """Send an order and read how the engine took it."""
        body = {
            "order_id": order.order_id,
            "kind": order.kind.value,
            "name": order.name,
            "version": order.version,
        }
        outbound = Outbound(
            address,
            "POST",
            ORDER_PATH,
            AttemptId(order.order_id),
            ((header.FENCING_TOKEN, str(token)),),
            json.dumps(body).encode(),
            fresh=True,
            send_before=send_before,
        )
        try:
            with trio.fail_after(send_s):
                response = await self._client.open(
                    outbound, Patience(CONNECT_S, send_s)
                )
                await response.aclose()
        except RefusedError as exc:
            is_old = exc.status == httpx.codes.CONFLICT
            return OrderReply.REFUSED if is_old else OrderReply.NOT_SENT
        except UpstreamError as exc:
            return OrderReply.IN_DOUBT if exc.sent else OrderReply.NOT_SENT
        except (httpx.HTTPError, trio.TooSlowError):
            return OrderReply.IN_DOUBT
        return OrderReply.TAKEN if response.is_success else OrderReply.NOT_SENT
