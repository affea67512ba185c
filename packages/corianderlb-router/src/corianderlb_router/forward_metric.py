"""Counters and latency histograms of forwarding."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ._metric_exporter import MetricExporter

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the exposition."""

MAX_PENDING: Final = 10_000
"""Most values that are kept until the first scrape; more load the exporter."""


class ForwardMetrics:
    """Counts requests and attempts; labels never contain text from callers.

    The exporter is loaded at the first scrape: importing it would be a tenth of the
    start of a router. Until then, values are kept to be recorded there.
    """

    def __init__(self) -> None:
        self._exporter: MetricExporter | None = None
        self._pending: list[tuple[str, float, dict[str, str]]] = []
        self._gauges: dict[str, Callable[[], float]] = {}

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

    def prompt_sent(self, n_missing: int, n_prompt: int) -> None:
        """Count prompt tokens by whether the engine is expected to prefill them."""
        name = "corianderlb_forward_prompt_tokens_total"
        self._record(name, n_missing, {"source": "read"})
        self._record(name, max(0, n_prompt - n_missing), {"source": "cached"})

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read at each scrape."""
        self._gauges[f"corianderlb_{name}"] = read

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._load_exporter().exposition()

    def _record(self, name: str, value: float, labels: dict[str, str]) -> None:
        if self._exporter is not None:
            self._exporter.record(name, value, labels)
            return
        self._pending.append((name, value, labels))
        if len(self._pending) >= MAX_PENDING:
            self._load_exporter()

    def _load_exporter(self) -> MetricExporter:
        if self._exporter is None:
            from ._metric_exporter import MetricExporter

            self._exporter = MetricExporter(self._gauges)
            for name, value, labels in self._pending:
                self._exporter.record(name, value, labels)
            self._pending.clear()
        return self._exporter
