"""Counters and latency histograms of forwarding."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
"""Histogram bucket bounds, dense in the range of latency objectives (0.1 to 1.2 s)."""


class ForwardMetrics:
    """Counts requests and attempts; labels never contain text from callers."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        buckets = ExplicitBucketHistogramAggregation(BUCKETS_S)
        views = [View(instrument_name="corianderlb_*_seconds", aggregation=buckets)]
        provider = MeterProvider(metric_readers=[reader], views=views)
        self._meter = provider.get_meter("corianderlb.forward")
        counter = self._meter.create_counter
        self._requests = counter("corianderlb_forwarded_total")
        self._attempts = counter("corianderlb_forward_attempts_total")
        self._tokens = counter("corianderlb_forward_prompt_tokens_total")
        histogram = self._meter.create_histogram
        self._first = histogram("corianderlb_forward_first_seconds")
        self._whole = histogram("corianderlb_forward_whole_seconds")

    def request_ended(
        self, code: str, kind: str, whole_s: float, first_s: float | None
    ) -> None:
        """Count a request and record its time to first byte and its duration."""
        self._requests.add(1, {"result": code, "kind": kind})
        self._whole.record(whole_s, {"kind": kind})
        if first_s is not None:
            self._first.record(first_s, {"kind": kind})

    def attempt_ended(self, outcome: str, is_repeat: bool) -> None:
        """Count an attempt at an upstream instance."""
        labels = {"outcome": outcome, "repeat": str(is_repeat).lower()}
        self._attempts.add(1, labels)

    def prompt_sent(self, n_missing: int, n_prompt: int) -> None:
        """Count prompt tokens by whether the engine is expected to prefill them."""
        self._tokens.add(n_missing, {"source": "read"})
        self._tokens.add(max(0, n_prompt - n_missing), {"source": "cached"})

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read at each scrape."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(f"corianderlb_{name}", [observe])

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
