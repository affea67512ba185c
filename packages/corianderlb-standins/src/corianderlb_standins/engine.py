"""Model engine stand-in that implements ``docs/reference/upstream-protocol.md``."""

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
from .loopback import loopback_client
from .piece_cache import PieceCache
from .sse import Completion, digest_prompt
from .weights import OrderHandler

MAX_RESUMABLE_STREAMS: Final = 512
"""Number of the most recent attempts that a client can resume."""

DEFAULT_MAX_TOKENS: Final = 32
"""Length of an answer whose request has no ``max_tokens``."""

LOAD_SAMPLE_INTERVAL_S: Final = 0.05
"""Seconds between the load samples that delayed load reports are taken from."""

CRASH_EXIT_CODE: Final = 70
"""Exit code of an injected crash."""


@dataclass(frozen=True)
class _Stream:
    job: Job
    completion: Completion
    weights: str
    adapter: str


class Engine(StandIn):
    """Engine that answers completions from a simulated batch and prefix cache."""

    def __init__(self, cfg: EngineSettings, faults: EngineFaults | None = None) -> None:
        self.cfg = cfg
        self.faults = faults or EngineFaults()
        rng = random.Random(cfg.instance)
        cache = PieceCache(cfg.cache_pieces, cfg.event_loss, rng)
        self._batch = Batch(cfg.cost, cache)
        self._order_handler = OrderHandler(cfg)
        self._streams: OrderedDict[str, _Stream] = OrderedDict()
        self._calls: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._samples: deque[tuple[float, LoadReport]] = deque()
        self._keys_to_export: list[bytes] = []

    def counters(self) -> dict[str, Any]:
        """Return counts of calls, attempts, cached pieces, orders and jobs."""
        return {
            "calls": dict(self._calls),
            "attempts": dict(self._attempts),
            "pieces": {
                "asked": self._batch.n_looked_up,
                "hit": self._batch.n_hit,
                "recomputed": self._batch.n_recomputed,
            },
            "orders": self._order_handler.accepted,
            "running": self._batch.n_running,
            "queued": self._batch.n_queued,
        }

    async def background(self) -> None:
        """Run the batch, the weight loads, load sampling and the export of pieces."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._batch.run)
            nursery.start_soon(self._order_handler.run)
            nursery.start_soon(self._sample_load)
            if self.cfg.kv_cache:
                nursery.start_soon(self._export_pieces)

    async def handle(self, call: Call) -> None:
        """Answer one call of the upstream protocol."""
        self._apply_process_faults()
        if self.faults.freeze:
            await trio.sleep_forever()
        if call.path in ("/v1/chat/completions", "/v1/completions"):
            await self._complete(call)
        elif call.path == "/control/load":
            await call.answer(
                200, to_plain(self._lagging_report()), self._common_headers()
            )
        elif call.path == "/control/events":
            await self._answer_events(call)
        elif call.path == "/control/orders":
            await self._order_handler.accept(call, self._common_headers(call))
        elif call.path == "/control/import":
            await self._import(call)
        elif call.path == "/control/cancel":
            await self._cancel(call)
        elif call.path == "/health":
            await call.answer(200, {}, self._common_headers())
        else:
            await call.answer(404, {"error": "no such path"}, self._common_headers())

    def _apply_process_faults(self) -> None:
        self._batch.slow_factor = self.faults.slow_factor
        if self.faults.crash:
            os._exit(CRASH_EXIT_CODE)

    def _common_headers(self, call: Call | None = None) -> dict[str, str]:
        headers = {header.INCARNATION: str(self.cfg.epoch)}
        if call is not None and header.ATTEMPT_ID in call.headers:
            headers[header.ATTEMPT_ID] = call.headers[header.ATTEMPT_ID]
        return headers

    async def _complete(self, call: Call) -> None:
        self._calls["complete"] += 1
        if self.faults.crash_on and self.faults.crash_on.encode() in call.body:
            os._exit(CRASH_EXIT_CODE)
        if self.faults.refuse:
            await self._refuse(call, 503, "refusing")
        elif header.EXPECT_INCARNATION in call.headers:
            await self._resume(call)
        else:
            await self._start_completion(call)

    async def _refuse(self, call: Call, status: int, reason: str) -> None:
        self._calls["refused"] += 1
        headers = {**self._common_headers(call), header.NOT_RUN: "true"}
        await call.answer(status, {"error": reason}, headers)

    async def _resume(self, call: Call) -> None:
        self._calls["resume"] += 1
        stream = self._streams.get(call.headers.get(header.ATTEMPT_ID, ""))
        expected_incarnation = call.headers[header.EXPECT_INCARNATION]
        if (
            expected_incarnation != str(self.cfg.epoch)
            or stream is None
            or stream.job.cancelled
        ):
            await self._refuse(call, 409, "stream is not held here")
            return
        await self._stream(call, stream, self._faults_for_next_request())

    async def _start_completion(self, call: Call) -> None:
        plain = call.plain()
        model, adapter = self._order_handler.resolve(str(plain.get("model", "")))
        weights = self._order_handler.weights.get(model)
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
        stream = self._create_stream(call, plain, weights, adapter)
        self._batch.submit(stream.job)
        if plain.get("stream"):
            await self._stream(call, stream, self._faults_for_next_request())
        else:
            await self._answer_unstreamed(call, stream, self._faults_for_next_request())

    def _create_stream(
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
        completion = Completion(attempt_id, plain["model"], prompt, job.n_tokens, chat)
        stream = _Stream(job, completion, weights, adapter)
        self._attempts[attempt_id] += 1
        self._streams[attempt_id] = stream
        if len(self._streams) > MAX_RESUMABLE_STREAMS:
            self._streams.popitem(last=False)
        return stream

    def _faults_for_next_request(self) -> EngineFaults:
        """Return the faults for one request and decrement the affected count."""
        n_left = self.faults.n_affected
        if n_left == 0:
            return EngineFaults()
        current = self.faults
        if n_left > 0:
            self.faults = dataclasses.replace(current, n_affected=n_left - 1)
        return current

    def _answer_headers(
        self, call: Call, stream: _Stream, crossed: bool
    ) -> dict[str, str]:
        headers = {
            **self._common_headers(call),
            header.WEIGHTS_VERSION: stream.weights,
            header.ADAPTER: stream.adapter,
        }
        if crossed:
            headers[header.ATTEMPT_ID] = f"other-{stream.completion.attempt_id}"
        return headers

    def _completion_for(self, stream: _Stream, crossed: bool) -> Completion:
        if not crossed:
            return stream.completion
        return dataclasses.replace(
            stream.completion,
            attempt_id=f"other-{stream.completion.attempt_id}",
            prompt=f"crossed {stream.completion.prompt}",
        )

    async def _answer_unstreamed(
        self, call: Call, stream: _Stream, faults: EngineFaults
    ) -> None:
        job = stream.job
        while not (job.done or job.cancelled):
            await job.changed.park()
        if faults.stall_at >= 0:
            await trio.sleep_forever()
        if faults.cut_at >= 0:
            await call.cut()
        completion = self._completion_for(stream, faults.crossed)
        usage = completion.usage(job.n_hits, self.cfg.piece_chars)
        headers = self._answer_headers(call, stream, faults.crossed)
        self._finish(job)
        await call.answer(200, completion.unstreamed_answer(usage), headers)

    async def _stream(self, call: Call, stream: _Stream, faults: EngineFaults) -> None:
        headers = self._answer_headers(call, stream, faults.crossed)
        headers["content-type"] = "text/event-stream"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, call, nursery.cancel_scope)
            await call.start(200, headers)
            await call.write(b"")
            await self._write_events(call, stream, faults)
            nursery.cancel_scope.cancel()

    async def _write_events(
        self, call: Call, stream: _Stream, faults: EngineFaults
    ) -> None:
        job, completion = stream.job, self._completion_for(stream, faults.crossed)
        digest = digest_prompt(completion.prompt)
        index = int(call.headers.get(header.RESUME_FROM, "0"))
        while index < job.n_tokens:
            if index >= job.n_generated:
                if job.cancelled:
                    await call.write(b"", more=False)
                    return
                await job.changed.park()
                continue
            event = completion.token_event(index, digest)
            await self._write_event(call, faults, index, event)
            if index == faults.close_at:
                return
            index += 1
        usage = completion.usage(job.n_hits, self.cfg.piece_chars)
        if index == job.n_tokens:
            await self._write_event(call, faults, index, completion.last_event(usage))
            if index == faults.close_at:
                return
        if job.n_tokens + 1 == faults.close_at:
            await call.write(b"", more=False)
            return
        self._finish(job)
        await call.write(completion.terminal_event(), more=False)

    async def _write_event(
        self, call: Call, faults: EngineFaults, index: int, event: bytes
    ) -> None:
        """Write one event, modified by the faults for its index."""
        if index == faults.crash_at:
            os._exit(CRASH_EXIT_CODE)
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
        self._keys_to_export.extend(job.keys)

    async def _cancel(self, call: Call) -> None:
        stream = self._streams.get(str(call.plain().get("attempt_id", "")))
        if stream is not None and not stream.job.done:
            stream.job.cancel()
            self._calls["cancelled"] += 1
        await call.answer(200, {}, self._common_headers())

    async def _answer_events(self, call: Call) -> None:
        after = int(call.query.get("after", "0"))
        until = trio.current_time() - self.cfg.event_lag_s
        events = self._batch.cache.events_after(after, until)
        await call.answer(
            200, {"epoch": self.cfg.epoch, **events}, self._common_headers()
        )

    async def _import(self, call: Call) -> None:
        self._calls["import"] += 1
        keys = [bytes.fromhex(key) for key in call.plain().get("keys", [])]
        missing = keys[self._batch.cache.count_hits(keys) :]
        held = await self._find_in_kv_cache(missing)
        await trio.sleep(len(held) * self.cfg.import_s_per_piece)
        self._batch.cache.add(held, trio.current_time())
        await call.answer(200, {"imported": len(held)}, self._common_headers())

    async def _find_in_kv_cache(self, keys: list[bytes]) -> list[bytes]:
        """Return the leading keys whose pieces the KV cache upstream has."""
        if not self.cfg.kv_cache or not keys:
            return []
        body = {"keys": [key.hex() for key in keys]}
        url = f"http://{self.cfg.kv_cache}/pieces/lookup"
        try:
            async with loopback_client(timeout=2.0) as client:
                answer = await client.post(url, json=body)
        except httpx.HTTPError:
            return []
        found = set(answer.json()["held"])
        n_held = 0
        while n_held < len(keys) and keys[n_held].hex() in found:
            n_held += 1
        return keys[:n_held]

    async def _export_pieces(self) -> None:
        """Send newly computed pieces to the KV cache upstream in batches."""
        url = f"http://{self.cfg.kv_cache}/pieces/store"
        async with loopback_client(timeout=2.0) as client:
            while True:
                await trio.sleep(0.1)
                keys = list(dict.fromkeys(self._keys_to_export))
                self._keys_to_export.clear()
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
            weights=dict(self._order_handler.weights),
            adapters=dict(self._order_handler.adapters),
            leaving=self.faults.leaving,
            fencing_token=self._order_handler.fencing_token,
            loading=self._order_handler.n_loading > 0,
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
            await trio.sleep(LOAD_SAMPLE_INTERVAL_S)


async def _cancel_on_disconnect(call: Call, scope: trio.CancelScope) -> None:
    await call.disconnected()
    scope.cancel()
