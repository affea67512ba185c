"""Weights and adapters of an engine stand-in, and the orders that change them."""

from __future__ import annotations

import math
from typing import Any, Final

import trio

from corianderlb_core import header
from corianderlb_core.prefix import adapter_label

from ._asgi import Call
from .engine_settings import EngineSettings
from .loopback import loopback_client

LOCAL_LOAD_S: Final = 0.8
"""Time of a load without a weight store."""


class OrderHandler:
    """Executes orders to load weights; refuses stale fencing tokens if configured."""

    def __init__(self, cfg: EngineSettings) -> None:
        self.weights = dict(cfg.models)
        self.adapters = dict(cfg.adapters)
        self.role = "serving"
        self.fencing_token = 0
        self.n_loading = 0
        self.accepted: list[dict[str, Any]] = []
        """Accepted orders, oldest first, each with its fencing token."""
        self._cfg = cfg
        self._send, self._receive = trio.open_memory_channel[dict[str, Any]](math.inf)

    def resolve(self, name: str) -> tuple[str, str]:
        """Return the model and adapter that a request's model name refers to."""
        if name in self.adapters and self.weights:
            adapter = adapter_label(name, self.adapters[name])
            return next(iter(self.weights)), adapter
        return name, ""

    async def accept(self, call: Call, headers: dict[str, str]) -> None:
        """Accept or refuse one order."""
        token = int(call.headers.get(header.FENCING_TOKEN, "0"))
        if self._cfg.checks_fencing and token < self.fencing_token:
            refusal = {**headers, header.NOT_RUN: "true"}
            await call.answer(409, {"error": "a newer holder gave orders"}, refusal)
            return
        self.fencing_token = max(self.fencing_token, token)
        order = {**call.plain(), "fencing_token": token}
        self.accepted.append(order)
        self.n_loading += 1
        self._send.send_nowait(order)
        await call.answer(202, {}, headers)

    async def run(self) -> None:
        """Execute accepted orders one at a time."""
        async for order in self._receive:
            await self._execute(order)
            self.n_loading -= 1

    async def _execute(self, order: dict[str, Any]) -> None:
        if order["kind"] == "change_role":
            self.role = order["name"]
            return
        await self._load_weights()
        loaded = self.adapters if order["kind"] == "load_adapter" else self.weights
        loaded[order["name"]] = order["version"]

    async def _load_weights(self) -> None:
        if not self._cfg.weight_store:
            await trio.sleep(LOCAL_LOAD_S)
            return
        url = f"http://{self._cfg.weight_store}/weights/fetch"
        async with loopback_client(timeout=60.0) as client:
            await client.post(url)
