"""The HTTP application: quart for most routes, plain ASGI for the data path.

Quart serves models, health and administration. Requests on the data path bypass it and
go to the dispatcher, since streaming without response objects costs less per event.
"""

from __future__ import annotations

import hmac
import math
import uuid
from typing import Any, Final

import quart
from quart_trio import QuartTrio

from corianderlb_core.catalogue import EntryKind
from corianderlb_core.codec import to_json
from corianderlb_core.identity import DecisionId, RequestId
from corianderlb_core.request import Refusal
from corianderlb_core.result import RESULT_INFO, ResultCode

from .admin_view import AdminView
from .caller import (
    CallerExchange,
    Receive,
    RequestRefusedError,
    Send,
    common_headers,
    error_body,
    refuse,
)
from .dispatcher import Dispatcher
from .forward_metric import CONTENT_TYPE
from .inbound import BEARER, authenticate

JSON: Final = "application/json"
"""Media type of most responses."""


class DataPathMiddleware:
    """Routes data-path requests to the dispatcher, all others to quart."""

    def __init__(self, asgi_app: Any, dispatcher: Dispatcher) -> None:
        self._asgi_app = asgi_app
        self._dispatcher = dispatcher

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "http" and self._dispatcher.takes(scope["path"]):
            await self._dispatcher.handle(CallerExchange(scope, receive, send))
            return
        await self._asgi_app(scope, receive, send)


def make_app(dispatcher: Dispatcher, view: AdminView, operator_key: bytes) -> QuartTrio:
    """Return the application of one router."""
    app = QuartTrio("corianderlb")
    app.asgi_app = DataPathMiddleware(app.asgi_app, dispatcher)
    _add_caller_routes(app, view)
    _add_operator_routes(app, view, operator_key)
    _add_error_handlers(app)

    @app.after_request
    async def add_common_headers(response: quart.Response) -> quart.Response:
        request_id = RequestId(uuid.uuid4().hex)
        result = getattr(quart.g, "result", ResultCode.OK)
        headers = common_headers(
            request_id, DecisionId(""), view.catalogue_version, result
        )
        for name, value in headers:
            response.headers[name.decode()] = value.decode()
        return response

    return app


def _add_caller_routes(app: QuartTrio, view: AdminView) -> None:
    @app.get("/health")
    async def health() -> quart.Response:
        return quart.Response(b"{}", mimetype=JSON)

    @app.get("/ready")
    async def ready() -> quart.Response:
        if not view.is_ready:
            code = ResultCode.DRAINING if view.is_draining else ResultCode.NOT_READY
            raise refuse(code, f"This instance is {view.state}.", 1.0)
        return quart.Response(b"{}", mimetype=JSON)

    @app.get("/v1/models")
    async def models() -> quart.Response:
        catalogue = view.catalogue
        if catalogue is None:
            raise refuse(ResultCode.NOT_READY, "There is no catalogue yet.", 1.0)
        account = authenticate(quart.request.headers.get("authorization"), catalogue)
        entries = (
            *catalogue.of_kind(EntryKind.MODEL),
            *catalogue.of_kind(EntryKind.ADAPTER),
        )
        data = [
            {"id": entry.name, "object": "model", "owned_by": entry.owner}
            for entry in entries
            if not account.models or entry.name in account.models
        ]
        body = to_json({"object": "list", "data": data})
        return quart.Response(body, mimetype=JSON)


def _add_operator_routes(app: QuartTrio, view: AdminView, key: bytes) -> None:
    def check_operator() -> None:
        sent = quart.request.headers.get("authorization", "").removeprefix(BEARER)
        if not hmac.compare_digest(sent.encode(), key):
            raise refuse(
                ResultCode.BAD_CREDENTIALS, "This path needs the operator key."
            )

    @app.get("/admin/status")
    async def status() -> quart.Response:
        check_operator()
        return quart.Response(to_json(view.status()), mimetype=JSON)

    @app.get("/admin/decisions/<decision_id>")
    async def decision(decision_id: str) -> quart.Response:
        check_operator()
        report = view.decision(DecisionId(decision_id))
        if report is None:
            detail = f"No decision {decision_id!r} is kept here; ask other instances."
            raise refuse(ResultCode.NOT_FOUND, detail)
        return quart.Response(to_json(report), mimetype=JSON)

    @app.post("/admin/drain")
    async def drain() -> quart.Response:
        check_operator()
        view.start_drain()
        return quart.Response(to_json(view.status()), mimetype=JSON)

    @app.get("/metrics")
    async def metrics() -> quart.Response:
        check_operator()
        exposition = view.parts.metrics.exposition()
        return quart.Response(exposition, content_type=CONTENT_TYPE)


def _add_error_handlers(app: QuartTrio) -> None:
    @app.errorhandler(RequestRefusedError)
    async def refused(exc: RequestRefusedError) -> quart.Response:
        return _error(exc.refusal)

    @app.errorhandler(404)
    async def not_found(exc: Exception) -> quart.Response:
        return _error(Refusal(ResultCode.NOT_FOUND, "There is nothing at this path."))

    @app.errorhandler(405)
    async def not_allowed(exc: Exception) -> quart.Response:
        return _error(Refusal(ResultCode.METHOD_NOT_ALLOWED, "The method is wrong."))

    @app.errorhandler(500)
    async def internal(exc: Exception) -> quart.Response:
        return _error(Refusal(ResultCode.INTERNAL, "The router failed."))


def _error(refusal: Refusal) -> quart.Response:
    quart.g.result = refusal.code
    response = quart.Response(
        error_body(refusal), status=RESULT_INFO[refusal.code].status, mimetype=JSON
    )
    if refusal.retry_after_s > 0:
        response.headers["retry-after"] = str(math.ceil(refusal.retry_after_s))
    return response
