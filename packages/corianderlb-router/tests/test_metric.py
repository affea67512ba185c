"""Tests of the metrics exposition."""

from __future__ import annotations

import unittest

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.result import ResultCode
from corianderlb_router.metric import CounterGroup, Gauge, Metrics


class MetricTest(unittest.TestCase):
    def test_exposition(self) -> None:
        metrics = Metrics()
        metrics.request_ended(ResultCode.OK, ServiceClass.URGENT)
        metrics.request_ended(ResultCode.RATE_LIMITED, ServiceClass.URGENT)
        metrics.first_token(0.3, ServiceClass.URGENT)
        metrics.prompt_served(cached_tokens=3000, computed_tokens=1000)
        metrics.watch_gauge(Gauge.CATALOGUE_VERSION, lambda: 7.0)
        metrics.watch_counters(CounterGroup.STORE_CALLS, lambda: {"get": 4.0})
        text = metrics.exposition().decode()
        for line in (
            'corianderlb_requests_total{class="urgent",code="0"} 1.0',
            'corianderlb_requests_total{class="urgent",code="200"} 1.0',
            'corianderlb_ttft_seconds_bucket{class="urgent",le="0.4"} 1.0',
            'corianderlb_prompt_tokens_total{source="cached"} 3000.0',
            "corianderlb_catalogue_version 7.0",
            'corianderlb_store_calls_total{kind="get"} 4.0',
        ):
            self.assertIn(line, text)

    def test_two_routers_in_one_process(self) -> None:
        first, second = Metrics(), Metrics()
        first.request_ended(ResultCode.OK, ServiceClass.URGENT)
        self.assertNotIn("corianderlb_requests_total{", second.exposition().decode())
