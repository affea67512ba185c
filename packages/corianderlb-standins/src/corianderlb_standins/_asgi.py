"""Serve stand-ins over HTTP as plain ASGI applications.

Without a web framework, each stream event costs little CPU time.
"""

from __future__ import annotations

import dataclasses
import json
import signal
import sys
from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar
from urllib.parse import parse_qs

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from corianderlb_core.codec import DecodeError, from_plain, plain_from_json

from ._plain_http import RAW, UNFRAMED, serve_plainly

T = TypeVar("T")


class CutConnectionError(Exception):
    """Abort an answer, which makes the server close the connection."""


@dataclass(frozen=True)
class Call:
    """One HTTP request and the methods to answer it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    """Header values by lower-case name."""
    body: bytes
    receive: Any
    send: Any
    client_port: int = 0

    def plain(self) -> Any:
        """Return the body decoded from JSON; an empty body gives an empty map."""
        return plain_from_json(self.body) if self.body else {}

    async def start(
        self, status: int, headers: dict[str, str], is_framed: bool = True
    ) -> None:
        """Send status and headers; without framing, the answer ends by a close.

        Answers without framing need the server of ``serve_app(..., is_plain=True)``.
        """
        pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
        message = {"type": "http.response.start", "status": status, "headers": pairs}
        await self.send({**message, UNFRAMED: not is_framed})

    async def write(self, data: bytes, more: bool = True) -> None:
        """Send a part of the body; ``more=False`` ends the answer."""
        message = {"type": "http.response.body", "body": data, "more_body": more}
        await self.send(message)

    async def answer(
        self,
        status: int,
        value: Any = None,
        headers: dict[str, str] | None = None,
        is_framed: bool = True,
    ) -> None:
        """Send a complete answer; a value that is not bytes is encoded as JSON."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        kind = "application/octet-stream" if isinstance(value, bytes) else ""
        defaults = {
            "content-type": kind or "application/json",
            "content-length": str(len(body)),
        }
        await self.start(status, {**defaults, **(headers or {})}, is_framed)
        await self.write(body, more=False)

    async def write_raw(self, data: bytes) -> None:
        """Send bytes as they are, also after the end of the answer.

        They need the server of ``serve_app(..., is_plain=True)``.
        """
        await self.send({"type": RAW, "body": data})

    async def cut(self) -> None:
        """Send status and headers, then close the connection."""
        await self.start(200, {"content-length": "1"})
        await self.write(b"")
        raise CutConnectionError

    async def disconnected(self) -> None:
        """Return once the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


class StandIn(ABC):
    """Base class of HTTP stand-ins for the systems around the router."""

    faults: Any = None
    """A frozen data class that ``POST /debug/fault`` updates field by field."""

    @abstractmethod
    async def handle(self, call: Call) -> None:
        """Answer one call."""

    def counters(self) -> dict[str, Any]:
        """Return the counters for ``GET /debug/calls``."""
        return {}

    def apply_faults(self) -> None:
        """Act on faults that were just set; does nothing by default."""

    async def extra_addresses(self) -> dict[str, str]:
        """Return additional addresses to print, by name."""
        return {}

    async def background(self) -> None:
        """Run background work beside the server; does nothing by default."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve as an ASGI application."""
        if scope["type"] != "http":
            await serve_lifespan(receive, send)
            return
        call = await _read_call(scope, receive, send)
        try:
            await self._route(call)
        except DecodeError as exc:
            await call.answer(400, {"error": str(exc)})

    async def _route(self, call: Call) -> None:
        if call.path == "/debug/calls":
            await call.answer(200, self.counters())
        elif call.path == "/debug/fault":
            faults = self.faults = replace_fields(self.faults, call.plain())
            # Before the answer, on which the caller acts at once.
            self.apply_faults()
            await call.answer(200, dataclasses.asdict(faults))
        else:
            await self.handle(call)


def replace_fields(value: T, fields: Any) -> T:
    """Return a copy of a data class with fields replaced and type-checked."""
    plain = {**dataclasses.asdict(value), **fields}  # type: ignore[call-overload]
    return from_plain(type(value), plain)


async def serve_app(
    app: StandIn,
    host: str,
    port: int,
    name: str = "http",
    is_plain: bool = False,
    listen_fd: int | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT; print the address once the socket listens.

    With ``is_plain``, ``listen_fd`` may be an inherited socket that listens already.
    """
    cfg = Config()
    cfg.bind = [f"{host}:{port}"]
    cfg.keep_alive_timeout = 600
    cfg.keep_alive_max_requests = 1_000_000_000
    cfg.graceful_timeout = 1.0
    cfg.accesslog = None
    cfg.errorlog = None
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(_stop_on_signal, stop)
        nursery.start_soon(app.background)
        if is_plain:
            bind = await nursery.start(serve_plainly, app, host, port, listen_fd)
        else:
            run = partial(serve, app, cfg, shutdown_trigger=stop.wait)
            bind = (await nursery.start(run))[0].split("://")[-1]
        addresses = {name: bind}
        print_listening(**addresses, **await app.extra_addresses())
        await stop.wait()
        nursery.cancel_scope.cancel()


def print_listening(**addresses: str) -> None:
    """Print the line from which the parent process reads the addresses."""
    sys.stdout.write(json.dumps({"listening": addresses}) + "\n")
    sys.stdout.flush()


async def _stop_on_signal(
    stop: trio.Event, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            stop.set()


async def _read_call(scope: Any, receive: Any, send: Any) -> Call:
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    query = parse_qs(scope["query_string"].decode())
    return Call(
        method=scope["method"],
        path=scope["path"],
        query={name: values[-1] for name, values in query.items()},
        headers={k.decode().lower(): v.decode() for k, v in scope["headers"]},
        body=body,
        receive=receive,
        send=send,
        client_port=(scope.get("client") or ("", 0))[1],
    )


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Confirm the start and the stop of a server."""
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return
