"""The applications of a forwarding router: requests, readiness, metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import quart
from quart_trio import QuartTrio

from .caller import Receive, Send
from .forward_caller import ForwardCaller
from .forward_dispatcher import ForwardDispatcher
from .forward_metric import ForwardMetrics
from .metric import CONTENT_TYPE


class ForwardApp:
    """Hand every request of the front address to the dispatcher.

    It is bare ASGI: each path belongs to some route, and a stream costs less without
    a response object between its events and the server.
    """

    def __init__(self, dispatcher: ForwardDispatcher) -> None:
        self._dispatcher = dispatcher

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one connection event of the server."""
        if scope["type"] == "http":
            caller = ForwardCaller(scope, receive, send)
            await self._dispatcher.handle(caller, scope)
        elif scope["type"] == "lifespan":
            await _take_lifespan(receive, send)


async def _take_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def make_status_app(
    readiness_path: str, is_ready: Callable[[], bool], metrics: ForwardMetrics
) -> QuartTrio:
    """Return the application that answers the balancer and whoever reads metrics."""
    app = QuartTrio("corianderlb")

    @app.get(readiness_path)
    async def readiness() -> quart.Response:
        return quart.Response(b"", status=200 if is_ready() else 503)

    @app.get("/metrics")
    async def exposition() -> quart.Response:
        return quart.Response(metrics.exposition(), content_type=CONTENT_TYPE)

    return app
