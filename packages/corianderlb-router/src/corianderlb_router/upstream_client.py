"""Send requests to upstream instances and check that the answer is the right one."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import httpx
import trio

from corianderlb_core import header
from corianderlb_core.identity import AttemptId
from corianderlb_core.result import ResultCode

from .connection import Connector, UpstreamError
from .transport import FRESH, SEND_BEFORE, UNTIL_CLOSE, UpstreamTransport

WRITE_TIMEOUT_S: Final = 10.0
"""Longest wait for an upstream to take the bytes of a request."""

CANCEL_TIMEOUT_S: Final = 1.0
"""Longest wait for an upstream to confirm that it stopped an attempt."""

CANCEL_PATH: Final = "/control/cancel"
"""Where an upstream takes the order to stop an attempt."""


class RefusedError(UpstreamError):
    """Signal an upstream that declined before it ran anything."""

    code = ResultCode.UPSTREAM_REFUSED

    def __init__(self, message: str, status: int, epoch: int, retry_after_s: float):
        super().__init__(message, sent=False)
        self.status = status
        self.epoch = epoch
        self.retry_after_s = retry_after_s


class WrongAnswerError(UpstreamError):
    """Signal an answer that belongs to another attempt or to other weights.

    Relaying it would give a caller the answer to somebody else's request. The router
    sees it by the ids that the upstream must echo.
    """


@dataclass(frozen=True)
class Outbound:
    """Hold one request as it goes to an upstream instance."""

    address: str
    method: str
    path: str
    attempt_id: AttemptId
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    weights_version: str = ""
    """Weights that the answer must come from; empty where that means nothing."""
    adapter: str = ""
    """Adapter and version that the answer must come from; empty for none."""
    fresh: bool = False
    """Whether to open a connection for it: one out of the pool may be dead, and what
    may not be sent twice cannot be tried again on another."""
    is_stream: bool = False
    """Whether its answer is a stream of events, whose end shows by itself."""
    send_before: float = math.inf
    """Router's clock after which no byte of it may be sent."""


@dataclass(frozen=True)
class Patience:
    """Bound the waits of one exchange, in seconds."""

    connect_s: float
    first_s: float
    """Longest silence before the head of the answer."""


class UpstreamClient:
    """Own the connections to the upstreams."""

    def __init__(self, connector: Connector) -> None:
        self._transport = UpstreamTransport(connector)
        self._http = httpx.AsyncClient(transport=self._transport, trust_env=False)

    async def open(self, outbound: Outbound, patience: Patience) -> httpx.Response:
        """Send a request and return the checked head of its answer.

        Raise an ``UpstreamError`` of the fitting kind. The caller closes the response.
        """
        request = self._request(outbound, patience)
        response = await self._http.send(request, stream=True)
        try:
            _check(outbound, response)
        except UpstreamError:
            with trio.CancelScope(shield=True):
                await response.aclose()
            raise
        return response

    async def get(
        self, address: str, path: str, patience: Patience, fresh: bool = False
    ) -> httpx.Response:
        """Return a whole answer to a question about the instance itself.

        ``fresh`` asks on a connection of this moment, whose failure is news.
        """
        return await self._http.get(
            f"http://{address}{path}",
            timeout=_timeout(patience),
            extensions={FRESH: fresh},
        )

    async def post(
        self, address: str, path: str, body: bytes, patience: Patience
    ) -> httpx.Response:
        """Return a whole answer to an order that may be sent twice without harm."""
        return await self._http.post(
            f"http://{address}{path}", content=body, timeout=_timeout(patience)
        )

    async def cancel(self, address: str, attempt_id: AttemptId) -> None:
        """Ask an instance to stop an attempt; do nothing when it cannot be asked."""
        body = json.dumps({"attempt_id": attempt_id})
        patience = Patience(CANCEL_TIMEOUT_S, CANCEL_TIMEOUT_S)
        try:
            await self._http.post(
                f"http://{address}{CANCEL_PATH}",
                content=body,
                timeout=_timeout(patience),
            )
        except (UpstreamError, httpx.HTTPError):
            # The attempt then ends by itself: its connection is closed already.
            return

    async def retire(self, address: str) -> None:
        """Stop using all connections that are open to an address."""
        await self._transport.pool.retire(address)

    async def close(self) -> None:
        """Close what is idle."""
        await self._http.aclose()

    def _request(self, outbound: Outbound, patience: Patience) -> httpx.Request:
        headers = [*outbound.headers, (header.ATTEMPT_ID, outbound.attempt_id)]
        request = self._http.build_request(
            outbound.method,
            f"http://{outbound.address}{outbound.path}",
            headers=headers,
            content=outbound.body,
            timeout=_timeout(patience),
        )
        request.extensions[FRESH] = outbound.fresh
        request.extensions[UNTIL_CLOSE] = outbound.is_stream
        request.extensions[SEND_BEFORE] = outbound.send_before
        return request


def epoch_of(response: httpx.Response) -> int:
    """Return the incarnation's epoch that an answer names, or 0."""
    text = response.headers.get(header.INCARNATION, "")
    return int(text) if text.isdecimal() else 0


def plain_headers(
    response: httpx.Response, dropped: Sequence[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer without the named ones."""
    return tuple(
        (name, value)
        for name, value in response.headers.multi_items()
        if name not in dropped
    )


def _timeout(patience: Patience) -> httpx.Timeout:
    return httpx.Timeout(
        connect=patience.connect_s,
        read=patience.first_s,
        write=WRITE_TIMEOUT_S,
        pool=patience.connect_s,
    )


def _check(outbound: Outbound, response: httpx.Response) -> None:
    if response.headers.get(header.NOT_RUN) == "true":
        raise RefusedError(
            f"{outbound.address}: refused with status {response.status_code}",
            response.status_code,
            epoch_of(response),
            _retry_after(response),
        )
    if response.headers.get(header.ATTEMPT_ID) != outbound.attempt_id:
        raise WrongAnswerError(
            f"{outbound.address}: answer to another attempt", sent=True
        )
    if not response.is_success:
        return
    weights = response.headers.get(header.WEIGHTS_VERSION, "")
    if outbound.weights_version and weights != outbound.weights_version:
        raise WrongAnswerError(
            f"{outbound.address}: weights {weights!r} answered", sent=True
        )
    adapter = response.headers.get(header.ADAPTER, "")
    if outbound.adapter and adapter != outbound.adapter:
        raise WrongAnswerError(
            f"{outbound.address}: adapter {adapter!r} answered", sent=True
        )


def _retry_after(response: httpx.Response) -> float:
    text = response.headers.get("retry-after", "")
    return float(text) if text.isdecimal() else 0.0
