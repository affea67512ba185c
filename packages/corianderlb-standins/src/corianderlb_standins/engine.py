"""Stand in for a model engine; it speaks ``docs/reference/upstream-protocol.md``."""

from __future__ import annotations

import dataclasses
import os
import random
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass
from typing import Any, Final

import httpx
import trio

from corianderlb_core import header
from corianderlb_core.codec import to_plain
from corianderlb_core.load import LoadReport
from corianderlb_core.prefix import PrefixScope, prefix_keys, prompt_text

from ._asgi import Call, CutConnectionError, StandIn
from .batch import Batch, Job
from .engine_settings import EngineFaults, EngineSettings
from .piece_cache import PieceCache
from .sse import AnswerShape, digest_of
from .weights import Orders

STREAMS_KEPT: Final = 512
"""Attempts that can still be resumed."""

DEFAULT_MAX_TOKENS: Final = 32
"""Tokens of an answer whose request gives no bound."""

LOAD_SAMPLE_S: Final = 0.05
"""Seconds between the samples that lagging load reports are taken from."""

EXIT_CRASH: Final = 70
"""Exit code of a crash that a fault asked for."""


@dataclass(frozen=True)
class _Stream:
    job: Job
    shape: AnswerShape
    weights: str
    adapter: str


class Engine(StandIn):
    """Answer completions from an imitated batch and a bounded prefix cache."""

    def __init__(self, cfg: EngineSettings, faults: EngineFaults | None = None) -> None:
        self.cfg = cfg
        self.faults = faults or EngineFaults()
        rng = random.Random(cfg.instance)
        cache = PieceCache(cfg.cache_pieces, cfg.event_loss, rng)
        self._batch = Batch(cfg.cost, cache)
        self._orders = Orders(cfg)
        self._streams: OrderedDict[str, _Stream] = OrderedDict()
        self._calls: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._samples: deque[tuple[float, LoadReport]] = deque()
        self._to_export: list[bytes] = []

    def counters(self) -> dict[str, Any]:
        """Return what ran here, and what the cache saved."""
        return {
            "calls": dict(self._calls),
            "attempts": dict(self._attempts),
            "pieces": {
                "asked": self._batch.n_asked,
                "hit": self._batch.n_hit,
                "recomputed": self._batch.n_recomputed,
            },
            "orders": self._orders.taken,
            "running": self._batch.n_running,
            "queued": self._batch.n_queued,
        }

    async def background(self) -> None:
        """Run the batch, weight loads and load samples."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batch.run)
            nursery.start_soon(self._orders.run)
            nursery.start_soon(self._sample_load)
            if self.cfg.kv_cache:
                nursery.start_soon(self._export_pieces)

    async def handle(self, call: Call) -> None:
        """Answer one call of the protocol."""
        self._act_on_faults()
        if self.faults.freeze:
            await trio.sleep_forever()
        if call.path in ("/v1/chat/completions", "/v1/completions"):
            await self._complete(call)
        elif call.path == "/control/load":
            await call.answer(200, to_plain(self._lagging_report()), self._base())
        elif call.path == "/control/events":
            await self._show_events(call)
        elif call.path == "/control/orders":
            await self._orders.take(call, self._base(call))
        elif call.path == "/control/import":
            await self._import(call)
        elif call.path == "/control/cancel":
            await self._cancel(call)
        elif call.path == "/health":
            await call.answer(200, {}, self._base())
        else:
            await call.answer(404, {"error": "no such path"}, self._base())

    def _act_on_faults(self) -> None:
        self._batch.slow_factor = self.faults.slow_factor
        if self.faults.crash:
            os._exit(EXIT_CRASH)

    def _base(self, call: Call | None = None) -> dict[str, str]:
        headers = {header.INCARNATION: str(self.cfg.epoch)}
        if call is not None and header.ATTEMPT_ID in call.headers:
            headers[header.ATTEMPT_ID] = call.headers[header.ATTEMPT_ID]
        return headers

    async def _complete(self, call: Call) -> None:
        self._calls["complete"] += 1
        if self.faults.crash_on and self.faults.crash_on.encode() in call.body:
            os._exit(EXIT_CRASH)
        if self.faults.refuse:
            await self._refuse(call, 503, "refusing")
        elif header.EXPECT_INCARNATION in call.headers:
            await self._resume(call)
        else:
            await self._begin(call)

    async def _refuse(self, call: Call, status: int, reason: str) -> None:
        self._calls["refused"] += 1
        headers = {**self._base(call), header.NOT_RUN: "true"}
        await call.answer(status, {"error": reason}, headers)

    async def _resume(self, call: Call) -> None:
        self._calls["resume"] += 1
        stream = self._streams.get(call.headers.get(header.ATTEMPT_ID, ""))
        wanted = call.headers[header.EXPECT_INCARNATION]
        if wanted != str(self.cfg.epoch) or stream is None or stream.job.cancelled:
            await self._refuse(call, 409, "stream is not held here")
            return
        await self._stream(call, stream, self._take_faults())

    async def _begin(self, call: Call) -> None:
        plain = call.plain()
        model, adapter = self._orders.resolve(str(plain.get("model", "")))
        weights = self._orders.weights.get(model)
        if weights is None:
            await self._refuse(call, 412, f"model {model!r} is not loaded")
            return
        expected = call.headers.get(header.EXPECT_WEIGHTS, weights)
        if expected != weights and not self.faults.ignore_weights:
            await self._refuse(call, 412, f"weights {weights} are loaded")
            return
        expected = call.headers.get(header.EXPECT_ADAPTER, adapter)
        if expected != adapter and not self.faults.ignore_weights:
            await self._refuse(call, 412, f"adapter {adapter!r} is loaded")
            return
        stream = self._make_stream(call, plain, weights, adapter)
        self._batch.submit(stream.job)
        if plain.get("stream"):
            await self._stream(call, stream, self._take_faults())
        else:
            await self._whole(call, stream, self._take_faults())

    def _make_stream(
        self, call: Call, plain: Any, weights: str, adapter: str
    ) -> _Stream:
        chat = "messages" in plain
        prompt = prompt_text(plain)
        attempt_id = call.headers.get(header.ATTEMPT_ID, "")
        salt = call.headers.get(header.CACHE_SALT, "")
        scope = PrefixScope(salt, weights, adapter)
        job = Job(
            attempt_id=attempt_id,
            prompt=prompt,
            keys=prefix_keys(prompt, scope, self.cfg.piece_chars),
            n_tokens=int(plain.get("max_tokens") or DEFAULT_MAX_TOKENS),
            priority=int(call.headers.get(header.PRIORITY, "1")),
        )
        shape = AnswerShape(attempt_id, plain["model"], prompt, job.n_tokens, chat)
        stream = _Stream(job, shape, weights, adapter)
        self._attempts[attempt_id] += 1
        self._streams[attempt_id] = stream
        if len(self._streams) > STREAMS_KEPT:
            self._streams.popitem(last=False)
        return stream

    def _take_faults(self) -> EngineFaults:
        """Return the faults for one request, counting it as affected."""
        left = self.faults.n_affected
        if left == 0:
            return EngineFaults()
        taken = self.faults
        if left > 0:
            self.faults = dataclasses.replace(taken, n_affected=left - 1)
        return taken

    def _answer_headers(
        self, call: Call, stream: _Stream, crossed: bool
    ) -> dict[str, str]:
        headers = {
            **self._base(call),
            header.WEIGHTS_VERSION: stream.weights,
            header.ADAPTER: stream.adapter,
        }
        if crossed:
            headers[header.ATTEMPT_ID] = f"other-{stream.shape.attempt_id}"
        return headers

    def _shape(self, stream: _Stream, crossed: bool) -> AnswerShape:
        if not crossed:
            return stream.shape
        return dataclasses.replace(
            stream.shape,
            attempt_id=f"other-{stream.shape.attempt_id}",
            prompt=f"crossed {stream.shape.prompt}",
        )

    async def _whole(self, call: Call, stream: _Stream, faults: EngineFaults) -> None:
        job = stream.job
        while not (job.done or job.cancelled):
            await job.changed.park()
        if faults.stall_at >= 0:
            await trio.sleep_forever()
        if faults.cut_at >= 0:
            await call.cut()
        shape = self._shape(stream, faults.crossed)
        usage = shape.usage(job.n_hits, self.cfg.piece_chars)
        headers = self._answer_headers(call, stream, faults.crossed)
        self._finish(job)
        await call.answer(200, shape.whole(usage), headers)

    async def _stream(self, call: Call, stream: _Stream, faults: EngineFaults) -> None:
        headers = self._answer_headers(call, stream, faults.crossed)
        headers["content-type"] = "text/event-stream"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_gone, call, nursery.cancel_scope)
            await call.start(200, headers)
            await call.write(b"")
            await self._write_events(call, stream, faults)
            nursery.cancel_scope.cancel()

    async def _write_events(
        self, call: Call, stream: _Stream, faults: EngineFaults
    ) -> None:
        job, shape = stream.job, self._shape(stream, faults.crossed)
        digest = digest_of(shape.prompt)
        index = int(call.headers.get(header.RESUME_FROM, "0"))
        while index < job.n_tokens:
            if index >= job.n_made:
                if job.cancelled:
                    await call.write(b"", more=False)
                    return
                await job.changed.park()
                continue
            event = shape.token_event(index, digest)
            await self._write_one(call, faults, index, event)
            if index == faults.close_at:
                return
            index += 1
        usage = shape.usage(job.n_hits, self.cfg.piece_chars)
        if index == job.n_tokens:
            await self._write_one(call, faults, index, shape.last_event(usage))
            if index == faults.close_at:
                return
        if job.n_tokens + 1 == faults.close_at:
            await call.write(b"", more=False)
            return
        self._finish(job)
        await call.write(shape.terminal_event(), more=False)

    async def _write_one(
        self, call: Call, faults: EngineFaults, index: int, event: bytes
    ) -> None:
        """Write one event, or what a fault makes of it."""
        if index == faults.crash_at:
            os._exit(EXIT_CRASH)
        if index == faults.stall_at:
            await trio.sleep_forever()
        if index == faults.cut_at:
            raise CutConnectionError
        if index == faults.close_at:
            await call.write(b"", more=False)
            return
        if index == faults.skip_at:
            return
        await call.write(event * 2 if index == faults.repeat_at else event)

    def _finish(self, job: Job) -> None:
        self._calls["finished"] += 1
        self._to_export.extend(job.keys)

    async def _cancel(self, call: Call) -> None:
        stream = self._streams.get(str(call.plain().get("attempt_id", "")))
        if stream is not None and not stream.job.done:
            stream.job.cancel()
            self._calls["cancelled"] += 1
        await call.answer(200, {}, self._base())

    async def _show_events(self, call: Call) -> None:
        after = int(call.query.get("after", "0"))
        until = trio.current_time() - self.cfg.event_lag_s
        events = self._batch.cache.events_after(after, until)
        await call.answer(200, {"epoch": self.cfg.epoch, **events}, self._base())

    async def _import(self, call: Call) -> None:
        self._calls["import"] += 1
        keys = [bytes.fromhex(key) for key in call.plain().get("keys", [])]
        missing = keys[self._batch.cache.count_hits(keys) :]
        held = await self._held_elsewhere(missing)
        await trio.sleep(len(held) * self.cfg.import_s_per_piece)
        self._batch.cache.add(held, trio.current_time())
        await call.answer(200, {"imported": len(held)}, self._base())

    async def _held_elsewhere(self, keys: list[bytes]) -> list[bytes]:
        """Return the leading keys that the KV cache upstream holds."""
        if not self.cfg.kv_cache or not keys:
            return []
        body = {"keys": [key.hex() for key in keys]}
        url = f"http://{self.cfg.kv_cache}/pieces/lookup"
        try:
            async with httpx.AsyncClient(timeout=2.0) as client:
                answer = await client.post(url, json=body)
        except httpx.HTTPError:
            return []
        found = set(answer.json()["held"])
        n_held = 0
        while n_held < len(keys) and keys[n_held].hex() in found:
            n_held += 1
        return keys[:n_held]

    async def _export_pieces(self) -> None:
        """Send computed pieces to the KV cache upstream now and then."""
        url = f"http://{self.cfg.kv_cache}/pieces/store"
        async with httpx.AsyncClient(timeout=2.0) as client:
            while True:
                await trio.sleep(0.1)
                keys = list(dict.fromkeys(self._to_export))
                self._to_export.clear()
                if not keys:
                    continue
                try:
                    await client.post(url, json={"keys": [k.hex() for k in keys]})
                except httpx.HTTPError:
                    self._calls["export_failed"] += 1

    def _report(self) -> LoadReport:
        return LoadReport(
            epoch=self.cfg.epoch,
            n_running=self._batch.n_running,
            n_queued=self._batch.n_queued,
            queued_prefill_s=self._batch.queued_prefill_s,
            cached_pieces=len(self._batch.cache),
            cache_capacity_pieces=self.cfg.cache_pieces,
            weights=dict(self._orders.weights),
            adapters=dict(self._orders.adapters),
            leaving=self.faults.leaving,
            fencing_token=self._orders.fencing_token,
            loading=self._orders.n_loading > 0,
        )

    def _lagging_report(self) -> LoadReport:
        if not self.cfg.load_lag_s:
            return self._report()
        horizon = trio.current_time() - self.cfg.load_lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= horizon:
            self._samples.popleft()
        return self._samples[0][1] if self._samples else self._report()

    async def _sample_load(self) -> None:
        while self.cfg.load_lag_s:
            self._samples.append((trio.current_time(), self._report()))
            await trio.sleep(LOAD_SAMPLE_S)


async def _cancel_when_gone(call: Call, scope: trio.CancelScope) -> None:
    await call.disconnected()
    scope.cancel()
