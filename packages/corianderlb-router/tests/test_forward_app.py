"""Tests of the status address: readiness checks and metrics."""

from __future__ import annotations

from corianderlb_router.forward_app import METRICS_PATH, StatusApp
from corianderlb_router.forward_metric import MAX_PENDING, ForwardMetrics
from corianderlb_standins.trio_case import TrioTestCase


class StatusAppTest(TrioTestCase):
    async def get(self, path: str, is_ready: bool = True) -> list[dict]:
        """Return the server's messages of one answer."""
        metrics = ForwardMetrics()
        metrics.watch("routers", lambda: 3.0)
        app = StatusApp("/ready", lambda: is_ready, metrics)
        sent: list[dict] = []

        async def send(message: dict) -> None:
            sent.append(message)

        async def receive() -> dict:
            return {"type": "http.disconnect"}

        await app({"type": "http", "path": path}, receive, send)
        return sent

    async def test_router_that_is_not_ready_fails_its_readiness_check(self) -> None:
        # A router without a configuration, or draining, must not get new connections.
        start, body = await self.get("/ready", is_ready=False)
        self.assertEqual((start["status"], body["body"]), (503, b""))
        start, _ = await self.get("/ready")
        self.assertEqual(start["status"], 200)

    async def test_metrics_are_prometheus_text(self) -> None:
        start, body = await self.get(METRICS_PATH)
        headers = dict(start["headers"])
        self.assertEqual(start["status"], 200)
        self.assertTrue(headers[b"content-type"].startswith(b"text/plain"))
        self.assertIn(b"corianderlb_routers 3.0", body["body"])

    async def test_values_before_the_first_scrape_are_exported(self) -> None:
        """Guards against counts that are lost or kept without bound until a scrape."""
        metrics = ForwardMetrics()
        for _ in range(MAX_PENDING + 1):
            metrics.attempt_ended("ok", is_repeat=False)
        await metrics.run()
        metrics.attempt_ended("ok", is_repeat=False)
        self.assertEqual(metrics._pending, [])
        count = (
            b'corianderlb_forward_attempts_total{outcome="ok",repeat="false"} 10002.0'
        )
        self.assertIn(count, await metrics.exposition())

    async def test_other_paths_are_not_found(self) -> None:
        start, _ = await self.get("/v1/else")
        self.assertEqual(start["status"], 404)
