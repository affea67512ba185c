"""Stand-in for a runner of plain calls."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .http_server import Exchange, Request
from .record import Record
from .store import Store


@dataclass(frozen=True)
class Outcome:
    """How a run ends."""

    status: int = 200
    body: bytes = b"done"


class Service:
    """One runner of plain calls, registered in the store."""

    def __init__(
        self,
        name: str,
        record: Record,
        outcome: Callable[[Request], Outcome],
        work_s: float = 0.02,
    ) -> None:
        self.name = name
        self.address = ""
        self.runs: list[str] = []
        """Ids of the requests that it has run."""
        self._record = record
        self._outcome = outcome
        self._work_s = work_s
        self._born = time.time_ns() // 1_000_000

    async def register(self, store: Store) -> None:
        """Keep the entry up to date."""
        while True:
            store.put("servers", self.name, self._entry)
            await asyncio.sleep(0.3)

    @property
    def _entry(self) -> dict[str, Any]:
        return {
            "service": "app",
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 0,
            "born": self._born,
        }

    async def handle(self, req: Request, exchange: Exchange) -> None:
        """Answer one call."""
        own = {"X-Corianderlb-Instance-Id": self.name}
        expected = req.headers.get("x-corianderlb-expect-instance", self.name)
        request = req.headers.get("x-corianderlb-request-id", "")
        if expected != self.name:
            await exchange.send(421, headers=own)
            return
        if req.path == "/health":
            await exchange.send(200, headers=own)
            return
        if not request:
            await exchange.send(400, headers={**own, "X-Corianderlb-Not-Executed": "1"})
            return
        self.runs.append(request)
        self._record.line(self.name, "runs", request, req.method, req.target)
        await asyncio.sleep(self._work_s)
        outcome = self._outcome(req)
        self._record.line(self.name, "answers", request, outcome.status)
        sealed = {
            **own,
            "X-Corianderlb-Request-Id": request,
            "X-Corianderlb-Response-Seal": f"{self.name}.{request}",
        }
        await exchange.send(outcome.status, outcome.body, sealed)
