"""Read the state of engines and send them orders over HTTP."""

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
from corianderlb_core.order import EngineState
from corianderlb_core.order_record import Order

from .connection import UpstreamError
from .interface import UpstreamInstance
from .upstream_client import ExchangeTimeouts, Outbound, RefusedError, UpstreamClient

LOAD_PATH: Final = "/control/load"
ORDER_PATH: Final = "/control/orders"

READ_TIMEOUT: Final = ExchangeTimeouts(0.5, 1.0)
"""Timeout for reading an engine's load report."""

CONNECT_S: Final = 1.0
"""Timeout for connecting to send an order."""


class OrderReply(Enum):
    """Outcome of sending an order."""

    TAKEN = "taken"
    REFUSED = "refused"
    """The engine has accepted an order with a newer fencing token."""
    NOT_SENT = "not_sent"
    """No byte was sent, or the engine is known not to have accepted it."""
    IN_DOUBT = "in_doubt"
    """The order may have arrived."""


class EngineControl(ABC):
    """Interface for reading engine state and sending orders."""

    @abstractmethod
    async def read(self, engine: UpstreamInstance) -> EngineState | None:
        """Return the state reported by the engine, or None without a response."""

    @abstractmethod
    async def send_order(
        self, order: Order, address: str, token: int, send_before: float, send_s: float
    ) -> OrderReply:
        """Send an order; no byte of it leaves after ``send_before``."""


class HttpEngineControl(EngineControl):
    """Engine control over the router's HTTP client for upstreams.

    Orders use new connections: a pooled one may be dead, and its bytes could arrive
    after the lease has ended.
    """

    def __init__(self, client: UpstreamClient) -> None:
        self._client = client

    async def read(self, engine: UpstreamInstance) -> EngineState | None:
        """Return the engine's load report."""
        try:
            response = await self._client.get(engine.address, LOAD_PATH, READ_TIMEOUT)
            report = from_json(LoadReport, response.content)
        except (UpstreamError, httpx.HTTPError, DecodeError):
            return None
        return EngineState(engine.instance, engine.address, report)

    async def send_order(
        self, order: Order, address: str, token: int, send_before: float, send_s: float
    ) -> OrderReply:
        """Send an order and return the engine's response to it."""
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
                    outbound, ExchangeTimeouts(CONNECT_S, send_s)
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
