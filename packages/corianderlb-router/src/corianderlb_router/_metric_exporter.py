"""Export of the forwarding metrics with OpenTelemetry to Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
"""Histogram bucket bounds, dense in the range of latency objectives (0.1 to 1.2 s)."""


class MetricExporter:
    """Instruments of the forwarding metrics and their exposition."""

    def __init__(
        self,
        gauges: Mapping[str, Callable[[], float]],
        by_instance: Mapping[str, Callable[[], Mapping[str, float]]],
    ) -> None:
        """Register gauges, by name, that are read at each scrape.

        Those ``by_instance`` return the value of each upstream instance.
        """
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        buckets = ExplicitBucketHistogramAggregation(BUCKETS_S)
        views = [View(instrument_name="corianderlb_*_seconds", aggregation=buckets)]
        provider = MeterProvider(metric_readers=[reader], views=views)
        meter = provider.get_meter("corianderlb.forward")
        counter, histogram = meter.create_counter, meter.create_histogram
        self._record: dict[str, Callable[[float, Mapping[str, str]], None]] = {
            name: counter(name).add
            for name in (
                "corianderlb_answers_ended_total",
                "corianderlb_forwarded_total",
                "corianderlb_forward_attempts_total",
                "corianderlb_forward_prompt_tokens_total",
                "corianderlb_repeat_prompt_tokens_total",
                "corianderlb_retries_sent_total",
                "corianderlb_stream_events_repeated_total",
                "corianderlb_streams_cut_total",
                "corianderlb_streams_paused_total",
                "corianderlb_streams_resumed_total",
                "corianderlb_unmarked_ends_total",
            )
        }
        for name in (
            "corianderlb_forward_first_seconds",
            "corianderlb_forward_whole_seconds",
            "corianderlb_retry_delay_seconds",
        ):
            self._record[name] = histogram(name).record
        for name, read in gauges.items():
            meter.create_observable_gauge(name, [_observer(read)])
        for name, read_all in by_instance.items():
            meter.create_observable_gauge(name, [_observer_by_instance(read_all)])

    def record(self, name: str, value: float, labels: Mapping[str, str]) -> None:
        """Add to a counter, or record a value in a histogram."""
        self._record[name](value, labels)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _observer(
    read: Callable[[], float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read())]

    return observe


def _observer_by_instance(
    read_all: Callable[[], Mapping[str, float]],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(value, {"instance": name}) for name, value in read_all().items()
        ]

    return observe
