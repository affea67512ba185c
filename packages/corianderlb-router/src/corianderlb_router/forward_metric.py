"""Counters and latency histograms of forwarding."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping
from types import ModuleType
from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from ._metric_exporter import MetricExporter

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the exposition."""

MAX_PENDING: Final = 10_000
"""Values kept until the first scrape from which the exporter is loaded anyway."""


class ForwardMetrics:
    """Counts requests and attempts; labels never contain text from callers.

    The exporter is loaded at the first scrape: importing it would be a tenth of the
    start of a router. Until then, values are kept to be recorded there. ``run`` loads
    it too once many are kept.
    """

    def __init__(self) -> None:
        self._exporter: MetricExporter | None = None
        self._pending: list[tuple[str, float, dict[str, str]]] = []
        self._gauges: dict[str, Callable[[], float]] = {}
        self._by_instance: dict[str, Callable[[], Mapping[str, float]]] = {}
        self._is_full = trio.Event()

    async def run(self) -> None:
        """Load the exporter when many values are kept."""
        await self._is_full.wait()
        await self._load_exporter()

    def request_ended(
        self, code: str, kind: str, whole_s: float, first_s: float | None
    ) -> None:
        """Count a request and record its time to first byte and its duration."""
        labels = {"kind": kind}
        self._record("corianderlb_forwarded_total", 1, {"result": code, **labels})
        self._record("corianderlb_forward_whole_seconds", whole_s, labels)
        if first_s is not None:
            self._record("corianderlb_forward_first_seconds", first_s, labels)

    def attempt_ended(self, outcome: str, is_repeat: bool) -> None:
        """Count an attempt at an upstream instance."""
        labels = {"outcome": outcome, "repeat": str(is_repeat).lower()}
        self._record("corianderlb_forward_attempts_total", 1, labels)

    def retry_sent(self, delay_s: float | None) -> None:
        """Count a retry, and record the time since its charge if it was charged."""
        labels = {"charged": str(delay_s is not None).lower()}
        self._record("corianderlb_retries_sent_total", 1, labels)
        if delay_s is not None:
            self._record("corianderlb_retry_delay_seconds", delay_s, {})

    def prompt_sent(self, n_missing: int, n_prompt: int) -> None:
        """Count prompt tokens by whether the engine is expected to prefill them."""
        name = "corianderlb_forward_prompt_tokens_total"
        self._record(name, n_missing, {"source": "read"})
        self._record(name, max(0, n_prompt - n_missing), {"source": "cached"})

    def stream_resumed(self, source: str) -> None:
        """Count a resumed stream by how its software version was learnt."""
        self._record("corianderlb_streams_resumed_total", 1, {"source": source})

    def stream_cut(
        self, reason: str, after_silence: bool, taken_while_stopping: bool
    ) -> None:
        """Count a begun answer that was not completed.

        ``after_silence`` tells whether an attempt was given up as silent before, and
        ``taken_while_stopping`` whether the request came after the termination signal.
        """
        labels = {
            "reason": reason,
            "after_silence": str(after_silence).lower(),
            "taken_while_stopping": str(taken_while_stopping).lower(),
        }
        self._record("corianderlb_streams_cut_total", 1, labels)

    def paused_too_long(self, after_silence: bool) -> None:
        """Count a stream with a pause beyond the objective of its route."""
        labels = {"after_silence": str(after_silence).lower()}
        self._record("corianderlb_streams_paused_total", 1, labels)

    def events_repeated(self, n_events: int) -> None:
        """Count events that no instance was asked for, since their callers had them."""
        if n_events:
            self._record("corianderlb_stream_events_repeated_total", n_events, {})

    def answer_ended(self, framing: str, outcome: str) -> None:
        """Count an answer that its instance has ended, by what showed its end."""
        labels = {"framing": framing, "outcome": outcome}
        self._record("corianderlb_answers_ended_total", 1, labels)

    def unmarked_end(self, end: str, is_leaving: bool) -> None:
        """Count an answer without a mark of its end, by what is known of its end."""
        labels = {"end": end, "leaving": str(is_leaving).lower()}
        self._record("corianderlb_unmarked_ends_total", 1, labels)

    def prompt_read_again(self, n_tokens: int) -> None:
        """Count prompt tokens that the engine of a repeat is expected to prefill."""
        self._record("corianderlb_repeat_prompt_tokens_total", n_tokens, {})

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read at each scrape."""
        self._gauges[f"corianderlb_{name}"] = read

    def watch_instances(
        self, name: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register a gauge by upstream instance that is read at each scrape."""
        self._by_instance[f"corianderlb_{name}"] = read

    async def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return (await self._load_exporter()).exposition()

    def _record(self, name: str, value: float, labels: dict[str, str]) -> None:
        if self._exporter is not None:
            self._exporter.record(name, value, labels)
            return
        self._pending.append((name, value, labels))
        if len(self._pending) >= MAX_PENDING:
            self._is_full.set()

    async def _load_exporter(self) -> MetricExporter:
        if self._exporter is None:
            # In a thread, since requests would wait for the import.
            module = await trio.to_thread.run_sync(_import_exporter)
            if self._exporter is None:
                self._exporter = module.MetricExporter(self._gauges, self._by_instance)
                for name, value, labels in self._pending:
                    self._exporter.record(name, value, labels)
                self._pending.clear()
        return self._exporter


def _import_exporter() -> ModuleType:
    return importlib.import_module("._metric_exporter", __package__)
