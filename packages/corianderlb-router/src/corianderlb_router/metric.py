"""Metrics of a router, recorded with OpenTelemetry and exposed to Prometheus.

No label takes free text from callers, so the number of series is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

from corianderlb_core.result import ResultCode
from corianderlb_core.service_class import ServiceClass

TTFT_BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 4.0, 8.0, 16.0)
"""Bucket bounds for the TTFT, including the 1.7 s objective."""


class Gauge(Enum):
    """Gauges that are read at each scrape."""

    CATALOGUE_VERSION = "corianderlb_catalogue_version"
    IN_FLIGHT = "corianderlb_requests_in_flight"
    QUARANTINED = "corianderlb_quarantined_requests"
    PEERS = "corianderlb_peers_connected"
    WAITING = "corianderlb_requests_waiting"


class CounterGroup(Enum):
    """Groups of counters kept by other components and read at each scrape."""

    STORE_CALLS = "corianderlb_store_calls_total"
    STORE_FAILURES = "corianderlb_store_call_failures_total"
    PEERS = "corianderlb_peer_traffic_total"
    """Bytes, messages, refused frames and links, by kind."""
    CONNECTIONS = "corianderlb_failed_connections_total"
    """Connections that were closed because of an error, by server."""
    CATALOGUE = "corianderlb_catalogue_events_total"
    JOURNAL = "corianderlb_journal_events_total"
    ADMISSION = "corianderlb_admission_events_total"
    PLACEMENT = "corianderlb_placement_events_total"


class Metrics:
    """Counters, gauges and histograms of one router.

    For example ``request_ended(ResultCode.OK, ServiceClass.URGENT)`` adds one to
    ``corianderlb_requests_total{code="0",class="urgent"}``.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        buckets = ExplicitBucketHistogramAggregation(TTFT_BUCKETS_S)
        view = View(instrument_name="corianderlb_ttft_seconds", aggregation=buckets)
        self._provider = MeterProvider(metric_readers=[reader], views=[view])
        self._meter = self._provider.get_meter("corianderlb")
        counter = self._meter.create_counter
        self._requests = counter("corianderlb_requests_total")
        self._attempts = counter("corianderlb_attempts_total")
        self._events = counter("corianderlb_stream_events_total")
        self._tokens = counter("corianderlb_prompt_tokens_total")
        self._ttft = self._meter.create_histogram("corianderlb_ttft_seconds")

    def request_ended(self, code: ResultCode, service_class: ServiceClass) -> None:
        """Count one response to a caller."""
        labels = {"code": str(int(code)), "class": service_class.value}
        self._requests.add(1, labels)

    def attempt_ended(self, code: ResultCode, is_retry: bool) -> None:
        """Count one attempt at an upstream instance."""
        labels = {"code": str(int(code)), "retry": str(is_retry).lower()}
        self._attempts.add(1, labels)

    def first_token(self, seconds: float, service_class: ServiceClass) -> None:
        """Record the time from the arrival of a request to its first token."""
        self._ttft.record(seconds, {"class": service_class.value})

    def prompt_served(self, cached_tokens: int, computed_tokens: int) -> None:
        """Count prompt tokens by whether the engine had them cached.

        The hit rate is ``cached`` divided by the sum of both.
        """
        self._tokens.add(cached_tokens, {"source": "cached"})
        self._tokens.add(computed_tokens, {"source": "computed"})

    def events_relayed(self, n_events: int) -> None:
        """Count the events of a completed stream."""
        self._events.add(n_events)

    def watch_gauge(self, gauge: Gauge, read: Callable[[], float]) -> None:
        """Register a gauge that is read at each scrape."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(gauge.value, [observe])

    def watch_counters(
        self, counter_group: CounterGroup, read: Callable[[], dict[str, float]]
    ) -> None:
        """Register a group of counters, by kind, that is read at each scrape."""

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(n, {"kind": kind}) for kind, n in read().items()]

        self._meter.create_observable_counter(counter_group.value, [observe])

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
