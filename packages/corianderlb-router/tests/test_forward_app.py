"""What the balancer and whoever reads metrics get from a router's status address."""

from __future__ import annotations

from corianderlb_router.forward_app import METRICS_PATH, StatusApp
from corianderlb_router.forward_metric import ForwardMetrics
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

    async def test_balancer_lets_go_of_a_router_that_is_not_ready(self) -> None:
        # A router that has not read its configuration, or leaves, must not get new
        # connections: callers would be refused.
        start, body = await self.get("/ready", is_ready=False)
        self.assertEqual((start["status"], body["body"]), (503, b""))
        start, _ = await self.get("/ready")
        self.assertEqual(start["status"], 200)

    async def test_metrics_are_text_of_their_type(self) -> None:
        start, body = await self.get(METRICS_PATH)
        headers = dict(start["headers"])
        self.assertEqual(start["status"], 200)
        self.assertTrue(headers[b"content-type"].startswith(b"text/plain"))
        self.assertIn(b"corianderlb_routers 3.0", body["body"])

    async def test_nothing_else_is_served(self) -> None:
        start, _ = await self.get("/v1/else")
        self.assertEqual(start["status"], 404)
