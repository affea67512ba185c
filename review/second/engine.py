"""Stand-in for a model runner: batches, kept prompt parts, orders and moved runs."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from .http_server import Exchange, Request
from .record import Record
from .store import Store

TOKENS_PER_S = 56_900.0
"""Prompt tokens that are read in a second."""

LOAD_S = 0.76
"""Time to load new weights."""

UNREAD_S = 5.0
"""Time after which an answer that is not read is cut off."""

NOT_EXECUTED = {"X-Corianderlb-Not-Executed": "1"}


@dataclass
class Run:
    """One run of a stream."""

    request: str
    tenant: str
    priority: int
    n_prompt: int
    n_output: int
    after: int
    """Number of the event that it goes on after."""
    begun_at: float = 0.0
    """Time of its first token, by the record."""
    ended_at: float = 0.0
    """Time at which it made its last token or was given up; 0 while it runs."""
    n_made: int = 0
    is_copy: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def created(self) -> int:
        """Number of the last event made so far."""
        return self.after + self.n_made


@dataclass(frozen=True)
class KeptPart:
    """Memory of one part of a prompt."""

    tenant: str
    request: str
    """The request that made it."""


@dataclass(frozen=True)
class Use:
    """Memory of another tenant that a request has used."""

    at: float
    part: str
    maker: str
    user: str
    request: str


class Engine:
    """One model runner, registered in the store."""

    def __init__(
        self,
        name: str,
        service: str,
        model: str,
        record: Record,
        token_s: float = 0.02,
        event_bytes: int = 20,
        slots: int = 64,
    ) -> None:
        self.name = name
        self.address = ""
        self.version = 1
        self.runs: list[Run] = []
        """All runs, in the order of their begin."""
        self.uses: list[Use] = []
        self._service = service
        self._model = model
        self._record = record
        self._token_s = token_s
        self._event_bytes = event_bytes
        self._slots = slots
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._fence = 0
        self._is_busy = False
        self._open: dict[str, Run] = {}
        self._kept: dict[tuple[str, str], KeptPart] = {}
        """By salt and part."""
        self.copies: dict[str, Run] = {}
        """Copies of runs that it holds, as address/handle."""
        self.peers: dict[str, Engine] = {}
        """All engines by their addresses."""
        self._n_handles = 0

    async def register(self, store: Store) -> None:
        """Keep the entry up to date."""
        while True:
            store.put("servers", self.name, self.entry)
            await asyncio.sleep(0.3)

    @property
    def entry(self) -> dict[str, Any]:
        """What it says of itself in the store."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "stage": "both",
            "models": self._models,
            "sequence": self._sequence,
            "born": self._born,
        }

    @property
    def _models(self) -> list[dict[str, Any]]:
        return [{"name": self._model, "version": self.version, "adapters": []}]

    async def handle(self, req: Request, exchange: Exchange) -> None:
        """Answer one call."""
        expected = req.headers.get("x-corianderlb-expect-instance", self.name)
        if expected != self.name:
            await exchange.send(421, headers={"X-Corianderlb-Instance-Id": self.name})
        elif req.path == "/v1/report":
            await exchange.send_json(200, self._report())
        elif req.path == "/health":
            await exchange.send(200, headers={"X-Corianderlb-Instance-Id": self.name})
        elif req.path == "/v1/order":
            await exchange.send_json(self._order(json.loads(req.body)), {})
        elif req.path == "/v1/kv-move":
            await self._move(json.loads(req.body), exchange)
        elif req.path.startswith("/v1/kv-handle/"):
            key = f"{self.address}/{req.path.rpartition('/')[2]}"
            for engine in self.peers.values():
                engine.copies.pop(key, None)
            await exchange.send_json(200, {})
        else:
            await self._run(req, exchange)

    def _report(self) -> dict[str, Any]:
        runs = [
            [run.request, run.n_prompt + run.created, run.created, run.priority]
            for run in self._open.values()
        ]
        used = sum(run[1] for run in runs)
        return {
            "stage": "both",
            "models": self._models,
            "busy": self._is_busy,
            "sequence": self._sequence,
            "waiting": 0,
            "running": len(runs),
            "kv-used": used,
            "kv-total": 228246,
            "handles": len(self.copies),
            "state": "ready",
            "runs": runs,
            "born": self._born,
        }

    def _order(self, order: dict[str, Any]) -> int:
        self._record.line(self.name, "order", json.dumps(order))
        if "holder" not in order or "fence" not in order or order["op"] != "version":
            return 400
        if order["fence"] < self._fence:
            return 412
        if order["version"] == self.version:
            return 200
        if self._is_busy or order.get("expected", self._sequence) != self._sequence:
            return 409
        self._fence = max(self._fence, order["fence"])
        self._sequence += 1
        self._is_busy = True
        asyncio.create_task(self._load(order["version"]))
        return 202

    async def _load(self, version: int) -> None:
        """Take new weights once all runs have ended."""
        while self._open:
            await next(iter(self._open.values())).ended.wait()
        await asyncio.sleep(LOAD_S)
        self._kept.clear()
        self.version = version
        self._is_busy = False
        self._record.line(self.name, "has version", version)

    async def _move(self, move: dict[str, Any], exchange: Exchange) -> None:
        run, target = self._open.get(move["id"]), self.peers.get(move["target"])
        if run is None:
            await exchange.send_json(404, {})
            return
        await asyncio.sleep(0.02)
        if target is None:
            await exchange.send_json(503, {})
            return
        self._n_handles += 1
        handle = f"h{self._n_handles}"
        target.copies[f"{self.address}/{handle}"] = run
        self._record.line(self.name, "copies", run.request, "to", target.name)
        await exchange.send_json(200, {"handle": handle, "created": run.created})

    async def _run(self, req: Request, exchange: Exchange) -> None:
        request = req.headers.get("x-corianderlb-request-id", "")
        echo = {
            "X-Corianderlb-Request-Id": request,
            "X-Corianderlb-Instance-Id": self.name,
        }
        version = req.headers.get("x-corianderlb-expect-version", str(self.version))
        copy = req.headers.get("kv-from", "")
        if version != str(self.version):
            await exchange.send(421, headers=echo)
            return
        is_full = self._is_busy or len(self._open) >= self._slots
        if is_full or (copy and copy not in self.copies):
            await exchange.send(503, headers={**echo, **NOT_EXECUTED})
            return
        counts = req.headers["x-corianderlb-token-count"].split(",")
        run = Run(
            request,
            req.headers.get("x-corianderlb-tenant", ""),
            int(req.headers.get("x-corianderlb-request-priority", 5)),
            int(counts[0]),
            int(counts[1]),
            int(req.headers.get("last-event-id", 0)),
            is_copy=bool(self.copies.pop(copy, None)),
        )
        self._open[request] = run
        gone = asyncio.create_task(exchange.closed())
        work = asyncio.create_task(self._work(run, req, exchange, echo))
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        for task in (gone, work):
            task.cancel()
        await asyncio.gather(gone, work, return_exceptions=True)
        self._end(run, "given up")

    def _end(self, run: Run, how: str) -> None:
        if run.ended_at:
            return
        run.ended_at = self._record.line(
            self.name, "ends", run.request, "after event", run.created, how
        )
        run.ended.set()
        if self._open.get(run.request) is run:
            del self._open[run.request]

    async def _work(
        self, run: Run, req: Request, exchange: Exchange, echo: dict[str, str]
    ) -> None:
        if not run.is_copy:
            n_missing = self._read_parts(run, req)
            await asyncio.sleep(0.005 + n_missing / TOKENS_PER_S)
        await asyncio.sleep(self._token_s)
        run.begun_at = self._record.line(
            self.name,
            "begins",
            run.request,
            "tenant",
            run.tenant,
            "after event",
            run.after,
            "from a copy" if run.is_copy else "anew",
        )
        self.runs.append(run)
        made = asyncio.create_task(self._make_tokens(run))
        try:
            await self._send_events(run, exchange, echo)
        except TimeoutError:
            exchange.reset()
        finally:
            made.cancel()

    def _read_parts(self, run: Run, req: Request) -> int:
        """Use and keep the parts of a prompt; return the tokens to read."""
        salt = req.headers.get("x-corianderlb-cache-salt", "")
        n_missing, is_kept = 0, True
        for item in req.headers["x-corianderlb-prompt-prefix"].split(","):
            part, _, n_tokens = item.partition(":")
            kept = self._kept.get((salt, part)) if is_kept else None
            if kept is None:
                is_kept = False
                n_missing += int(n_tokens)
                self._kept[salt, part] = KeptPart(run.tenant, run.request)
            elif kept.tenant != run.tenant:
                at = self._record.line(
                    *(self.name, "uses part", part, "of", kept.request),
                    *("tenant", kept.tenant, "for", run.request),
                    *("tenant", run.tenant, "salt", salt),
                )
                use = Use(at, part, kept.tenant, run.tenant, run.request)
                self.uses.append(use)
        return n_missing

    async def _make_tokens(self, run: Run) -> None:
        while run.created < run.n_output:
            run.n_made += 1
            if run.created == run.n_output:
                self._end(run, "whole")
            await asyncio.sleep(self._token_s)

    async def _send_events(
        self, run: Run, exchange: Exchange, echo: dict[str, str]
    ) -> None:
        headers = {
            **echo,
            "Content-Type": "text/event-stream",
            "X-Corianderlb-Response-Seal": f"{self.name}.{self._born}",
            "X-Corianderlb-Weight-Versions": str(self.version),
        }
        await exchange.start(200, headers)
        sent = run.after
        while sent < run.n_output:
            while run.created <= sent:
                await asyncio.sleep(self._token_s / 4)
            sent += 1
            word = f"{run.request}.{sent} ".encode()
            data = (word * (self._event_bytes // len(word) + 1))[: self._event_bytes]
            async with asyncio.timeout(UNREAD_S):
                await exchange.write(b"id: %d\ndata: %b\n\n" % (sent, data))
        await exchange.end()
