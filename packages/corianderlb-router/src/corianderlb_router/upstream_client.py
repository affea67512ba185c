"""HTTP client for upstream instances that verifies the identity of answers."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Sequence
from typing import Final

import httpx
import trio

from corianderlb_core import header
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import AttemptId
from corianderlb_core.result import ResultCode

from .connection import Connector, SilentError, UpstreamError
from .http_client import INSTANCE_BOUNDS, make_client, make_stream_client
from .transport import FRESH, SEND_BEFORE, UNTIL_CLOSE, UpstreamTransport

WRITE_TIMEOUT_S: Final = 10.0
"""Timeout for writing a request to an upstream."""

CANCEL_TIMEOUT_S: Final = 1.0
"""Timeout for an upstream to confirm a cancelled attempt."""

CANCEL_PATH: Final = "/control/cancel"
"""Path on which an upstream cancels an attempt."""


_EPOCH: Final = re.compile("[0-9]{1,18}")


class RefusedError(UpstreamError):
    """Raised when an upstream refuses a request before running it."""

    code = ResultCode.UPSTREAM_REFUSED

    def __init__(self, message: str, status: int, epoch: int, retry_after_s: float):
        super().__init__(message, sent=False)
        self.status = status
        self.epoch = epoch
        self.retry_after_s = retry_after_s


class WrongAnswerError(UpstreamError):
    """Raised when an answer is from another attempt, weights version or adapter.

    Detected by the ids that upstreams must echo. Relaying such an answer could send a
    caller the answer to another caller's request.
    """


@dataclass(frozen=True)
class Outbound:
    """One request to an upstream instance."""

    address: str
    method: str
    path: str
    attempt_id: AttemptId
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    weights_version: str = ""
    """Weights version that the answer must come from; empty if not applicable."""
    adapter: str = ""
    """Adapter and version that the answer must come from; empty for no adapter."""
    fresh: bool = False
    """Whether to use a new connection. A pooled connection may be dead, and a request
    that must not be sent twice cannot be retried on another."""
    is_stream: bool = False
    """Whether the answer is an event stream, which ends with a terminal event."""
    send_before: float = math.inf
    """Latest time to send the first byte, on the router's clock."""


@dataclass(frozen=True)
class ExchangeTimeouts:
    """Timeouts of one exchange."""

    connect_s: float
    first_s: float
    """Timeout of the response head."""


class UpstreamClient:
    """Client for all upstream instances; owns their connection pool."""

    def __init__(self, connector: Connector) -> None:
        self._transport = UpstreamTransport(connector)
        self._streams = make_stream_client(self._transport)
        self._calls = make_client(self._transport, INSTANCE_BOUNDS)

    async def open(
        self, outbound: Outbound, timeouts: ExchangeTimeouts
    ) -> httpx.Response:
        """Send a request and return the response after verifying its head.

        Raise a subclass of ``UpstreamError`` on failure. The caller of this method must
        close the response, and bound what it reads of it.
        """
        request = self._request(outbound, timeouts)
        response = await self._streams.send(request, stream=True)
        try:
            _check(outbound, response)
        except UpstreamError:
            with trio.CancelScope(shield=True):
                await response.aclose()
            raise
        return response

    async def get(
        self, address: str, path: str, timeouts: ExchangeTimeouts, fresh: bool = False
    ) -> httpx.Response:
        """Return the complete answer to a GET about the instance itself.

        Raise a subclass of ``UpstreamError`` on failure, also if the answer exceeds
        ``INSTANCE_BOUNDS`` or takes longer than both timeouts together. ``fresh`` uses
        a new connection, whose failure reflects the instance's current state.
        """
        return await self._call("GET", address, path, timeouts, fresh=fresh)

    async def post(
        self, address: str, path: str, body: bytes, timeouts: ExchangeTimeouts
    ) -> httpx.Response:
        """Return the complete answer to an idempotent POST; raise as ``get`` does."""
        return await self._call("POST", address, path, timeouts, body)

    async def cancel(self, address: str, attempt_id: AttemptId) -> None:
        """Cancel an attempt on an instance; ignore an unreachable instance."""
        body = json.dumps({"attempt_id": attempt_id}).encode()
        timeouts = ExchangeTimeouts(CANCEL_TIMEOUT_S, CANCEL_TIMEOUT_S)
        try:
            await self.post(address, CANCEL_PATH, body, timeouts)
        except UpstreamError:
            # The attempt ends anyway: its connection is already closed.
            return

    async def retire(self, address: str) -> None:
        """Stop using all open connections to an address."""
        await self._transport.pool.retire(address)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._streams.aclose()

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        timeouts: ExchangeTimeouts,
        body: bytes = b"",
        fresh: bool = False,
    ) -> httpx.Response:
        try:
            return await self._calls.request(
                method,
                f"http://{address}{path}",
                content=body,
                timeout=_timeout(timeouts),
                extensions={FRESH: fresh},
            )
        except httpx.TimeoutException as exc:
            raise SilentError(f"{address}: {exc}", sent=True) from exc
        except httpx.HTTPError as exc:
            raise UpstreamError(f"{address}: {exc}", sent=True) from exc

    def _request(self, outbound: Outbound, timeouts: ExchangeTimeouts) -> httpx.Request:
        headers = [*outbound.headers, (header.ATTEMPT_ID, outbound.attempt_id)]
        request = self._streams.build_request(
            outbound.method,
            f"http://{outbound.address}{outbound.path}",
            headers=headers,
            content=outbound.body,
            timeout=_timeout(timeouts),
        )
        request.extensions[FRESH] = outbound.fresh
        request.extensions[UNTIL_CLOSE] = outbound.is_stream
        request.extensions[SEND_BEFORE] = outbound.send_before
        return request


def epoch_of(response: httpx.Response) -> int:
    """Return the epoch in an answer's headers, or 0."""
    text = response.headers.get(header.INCARNATION, "")
    return int(text) if _EPOCH.fullmatch(text) else 0


def plain_headers(
    response: httpx.Response, dropped: Sequence[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer except the dropped ones."""
    return tuple(
        (name, value)
        for name, value in response.headers.multi_items()
        if name not in dropped
    )


def _timeout(timeouts: ExchangeTimeouts) -> httpx.Timeout:
    return httpx.Timeout(
        connect=timeouts.connect_s,
        read=timeouts.first_s,
        write=WRITE_TIMEOUT_S,
        pool=timeouts.connect_s,
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
            f"{outbound.address}: the answer is for another attempt", sent=True
        )
    if not response.is_success:
        return
    weights = response.headers.get(header.WEIGHTS_VERSION, "")
    if outbound.weights_version and weights != outbound.weights_version:
        raise WrongAnswerError(
            f"{outbound.address}: unexpected weights version {weights!r}", sent=True
        )
    adapter = response.headers.get(header.ADAPTER, "")
    if outbound.adapter and adapter != outbound.adapter:
        raise WrongAnswerError(
            f"{outbound.address}: unexpected adapter {adapter!r}", sent=True
        )


def _retry_after(response: httpx.Response) -> float:
    text = response.headers.get("retry-after", "")
    return float(text) if text.isdecimal() else 0.0
