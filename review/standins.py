"""Stand-ins of the platform's store and of runners, and clients, for the scripts.

All of them run in the process of a script; the routers are processes of their own. Only
the standard library is used. What the stand-ins do is taken from PROTOCOL.md.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

HOST = "kiln.example"
KEY = "key-of-acme"
MODEL = "m"
PAGE = 500
HEARTBEAT_S = 1.2
PREFILL_S = 0.5
EVENT_INTERVAL_S = 0.1
WORK_S = 0.03
BODY_S = 0.01
"""Time from the head of a slow answer to its body."""

SLOW_LEAVES_S = 0.003
"""Most of a time budget that slow work leaves."""


@dataclass
class Call:
    """One HTTP request as received, or one answer."""

    head: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query."""
        return dict(parse_qsl(urlsplit(self.head[1]).query))


async def read_head(reader: asyncio.StreamReader) -> Call:
    """Read a first line and headers; raise ``IncompleteReadError`` at the end."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    first = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Call((first[0], first[1], first[2] if len(first) > 2 else ""), headers, b"")


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body to its end."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


async def read_body(reader: asyncio.StreamReader, call: Call) -> bytes:
    """Read a body that has a length or chunks."""
    if "chunked" in call.headers.get("transfer-encoding", ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(call.headers.get("content-length", 0)))


class Server:
    """HTTP server on a free loopback port; subclasses answer the calls."""

    address = ""

    async def listen(self, port: int = 0) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with suppress(*ended):
            while True:
                call = await read_head(reader)
                call.body = await read_body(reader, call)
                await self.handle(call, reader, writer)
        writer.close()

    async def handle(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        raise NotImplementedError


async def answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> None:
    """Write a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
    await writer.drain()


class Store(Server):
    """The platform's store: objects with revisions, lists and watches.

    A spec is kept as the bytes in which it was written, and handed out unchanged.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.objects: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._events: list[tuple[int, str, bytes]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: bytes) -> float:
        """Create or replace an object; return when it was acknowledged."""
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, spec)
        self._publish(kind, self._item(kind, name), removed=False)
        return time.monotonic()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._item(kind, name)
        del self.objects[kind][name]
        self.revision += 1
        self._publish(kind, item, removed=True)

    def _publish(self, kind: str, item: bytes, removed: bool) -> None:
        gone = b"true" if removed else b"false"
        event = b'{"object":' + item + b',"removed":' + gone + b"}"
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, kind: str, name: str) -> bytes:
        revision, spec = self.objects[kind][name]
        metadata = {
            "name": name,
            "revision": revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        head = json.dumps(metadata).encode()
        return b'{"metadata":' + head + b',"spec":' + spec + b',"status":null}'

    async def handle(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call after the usual time of the store."""
        await asyncio.sleep(0.004)
        method, target, _ = call.head
        path = urlsplit(target).path.removeprefix("/v1/objects/")
        kind, _, name = (unquote(part) for part in path.partition("/"))
        status, body = 404, b"{}"
        if method == "GET" and not name:
            status, body = 200, await self._read(kind, call.query)
        elif method == "GET":
            if name in self.objects.get(kind, {}):
                status, body = 200, self._item(kind, name)
        else:
            status, body = self._write(method, kind, name, call)
        await answer(writer, status, body, {"Content-Type": "application/json"})

    async def _read(self, kind: str, query: dict[str, str]) -> bytes:
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        names = sorted(self.objects.get(kind, {}))
        names = [name for name in names if name > query.get("after", "")]
        items = b",".join(self._item(kind, name) for name in names[:PAGE])
        more = b"true" if len(names) > PAGE else b"false"
        tail = b',"store-revision":%d}' % self.revision
        return b'{"items":[' + items + b'],"has-more":' + more + tail

    async def _watch(self, kind: str, since: int, query: dict[str, str]) -> bytes:
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            found = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        tail = b'],"store-revision":%d}' % self.revision
        return b'{"events":[' + b",".join(found) + tail

    def _write(
        self, method: str, kind: str, name: str, call: Call
    ) -> tuple[int, bytes]:
        body = json.loads(call.body) if call.body else {}
        metadata = body.get("metadata", {})
        name = name or metadata["name"]
        known = self.objects.get(kind, {}).get(name)
        if method == "POST" and known:
            return 409, self._item(kind, name)
        if method != "POST" and not known:
            return 404, b"{}"
        wanted = call.query.get("revision") or metadata.get("revision")
        if known and wanted and int(wanted) != known[0]:
            return 409, self._item(kind, name)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        self.put(kind, name, json.dumps(body.get("spec")).encode())
        return 200, self._item(kind, name)


@dataclass
class Run:
    """A request that a runner began to run."""

    request_id: str
    runner: str
    at: float


class Runner(Server):
    """A runner, plain or an engine, that registers itself in the store."""

    def __init__(self, name: str, service: str, store: Store, runs: list[Run]) -> None:
        self.name = name
        self.state = "ready"
        self.is_registered = True
        self.version = 1
        self.slow_share = 0.0
        """Share of the requests whose work takes almost all of their time budget."""
        self._service = service
        self._store = store
        self._runs = runs
        self._n_orders = 0
        self._fence = 0
        self._busy = False
        self._n_beats = 0
        self._born_ms = time.time_ns() // 1_000_000
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, and write the entry at each heartbeat."""
        await self.listen()
        self._tasks.append(asyncio.create_task(self._beat()))

    def stop(self) -> None:
        """Leave for good: remove the entry and accept nothing more."""
        self.is_registered = False
        for task in self._tasks:
            task.cancel()
        self._store.remove("servers", self.name)
        self.close()

    async def _beat(self) -> None:
        while self.is_registered:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self) -> float:
        """Write the runner's entry; return when it was acknowledged."""
        self._n_beats += 1
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": "pnw-a",
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self._n_beats,
            "born": self._born_ms,
        }
        if self.is_engine:
            entry |= {"stage": "both", "models": [self._model()]}
        return self._store.put("servers", self.name, json.dumps(entry).encode())

    @property
    def is_engine(self) -> bool:
        """Whether it is an engine of the service of that name."""
        return self._service == "llm"

    def _model(self) -> dict[str, Any]:
        return {"name": MODEL, "version": self.version, "adapters": []}

    async def handle(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        headers = {
            "X-Corianderlb-Instance-Id": self.name,
            "X-Corianderlb-Request-Id": call.headers.get(
                "x-corianderlb-request-id", ""
            ),
        }
        expected = call.headers.get("x-corianderlb-expect-instance", self.name)
        version = call.headers.get("x-corianderlb-expect-version", str(self.version))
        if expected != self.name or version != str(self.version):
            await answer(writer, 421, b"", headers)
        elif call.head[1] == "/v1/report":
            report = {
                "stage": "both",
                "models": [self._model()],
                "busy": self._busy,
                "sequence": self._n_orders,
                "waiting": 0,
                "running": 0,
                "kv-used": 0,
                "kv-total": 100000,
                "handles": 0,
            }
            await answer(writer, 200, json.dumps(report).encode(), headers)
        elif call.head[1] == "/v1/order":
            status = self._accept_order(json.loads(call.body))
            await answer(writer, status, b"{}", headers)
        elif self._busy:
            await answer(writer, 503, b"", headers | {"X-Corianderlb-Not-Executed": ""})
        else:
            await self._run(call, reader, writer, headers)

    def _accept_order(self, order: dict[str, Any]) -> int:
        if order["fence"] < self._fence:
            return 412
        if self._busy or order.get("expected", self._n_orders) != self._n_orders:
            return 409
        self._fence = order["fence"]
        if order["version"] <= self.version:
            return 200
        self._n_orders += 1
        self._busy = True
        self._tasks.append(asyncio.create_task(self._load(order["version"])))
        return 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(0.4)
        self.version, self._busy = version, False
        self.write_entry()

    async def _run(
        self,
        call: Call,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> None:
        request_id = headers["X-Corianderlb-Request-Id"]
        self._runs.append(Run(request_id, self.name, time.monotonic()))
        headers["X-Corianderlb-Response-Seal"] = f"seal.{self.name}"
        if random.random() < self.slow_share:
            await self._work_slowly(call, writer, headers)
            return
        if not self.is_engine:
            await asyncio.sleep(WORK_S)
            await answer(writer, 200, request_id.encode(), headers)
            return
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Corianderlb-Weight-Versions": str(self.version),
        }
        await asyncio.sleep(PREFILL_S)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        writer.write(head.encode())
        first = int(call.headers.get("last-event-id", 0)) + 1
        n_events = int(call.headers["x-corianderlb-token-count"].split(",")[1])
        for number in range(first, n_events + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = b"id: %d\ndata: word\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _work_slowly(
        self, call: Call, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        """Answer just within the time budget: the head, then the body."""
        budget_s = int(call.headers["x-corianderlb-deadline-ms"]) / 1000
        left_s = random.uniform(0.0, SLOW_LEAVES_S)
        await asyncio.sleep(budget_s - left_s - BODY_S)
        body = headers["X-Corianderlb-Request-Id"].encode()
        lines = [f"{name}: {value}" for name, value in headers.items()]
        length = f"Content-Length: {len(body)}"
        head = "\r\n".join(["HTTP/1.1 200 OK", length, *lines, "", ""])
        writer.write(head.encode())
        await asyncio.sleep(BODY_S)
        writer.write(body)
        await writer.drain()


@dataclass
class Result:
    """A request of a client and how it ended."""

    request_id: str
    router: int
    path: str
    sent_at: float
    status: int = 0
    """0 if the channel ended before the answer."""
    whole: bool = False
    """Whether the complete answer arrived."""
    is_kept: bool = False
    """Whether the channel had carried a whole answer before."""
    is_closed: bool = False
    """Whether the other side closed the channel before the answer was whole."""
    ended_at: float = 0.0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def served(self) -> bool:
        """Whether the client got a whole success of a runner."""
        sealed = "x-corianderlb-response-seal" in self.headers
        return self.status == 200 and self.whole and sealed


class Client:
    """Sends requests one by one, over kept channels."""

    n_sent = 0

    def __init__(self, router: int, address: str, results: list[Result]) -> None:
        self._router = router
        self._address = address
        self._results = results
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, path: str, deadline_s: float, n_events: int = 0) -> Result:
        """Send one request and return how it ended."""
        Client.n_sent += 1
        result = Result(f"q{Client.n_sent}", self._router, path, time.monotonic())
        self._results.append(result)
        try:
            async with asyncio.timeout(deadline_s):
                await self._exchange(result, deadline_s, n_events)
        except TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            result.is_closed = True
            self.close()
        result.ended_at = time.monotonic()
        return result

    def close(self) -> None:
        """Close the channel."""
        if self._streams:
            self._streams[1].close()
            self._streams = None

    async def _exchange(self, result: Result, deadline_s: float, n_events: int) -> None:
        result.is_kept = self._streams is not None
        if self._streams is None:
            host, port = self._address.split(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        lines = [
            f"POST {result.path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Corianderlb-Request-Id: {result.request_id}",
            f"X-Corianderlb-Deadline-Ms: {round(deadline_s * 1000)}",
            f"X-Corianderlb-Credential: {KEY}",
            "Content-Length: 4",
        ]
        if n_events:
            lines += [
                f"X-Corianderlb-Model: {MODEL}",
                f"X-Corianderlb-Token-Count: 100,{n_events}",
                f"X-Corianderlb-Prompt-Prefix: 5c1e07a2:80,{Client.n_sent:08x}:20",
            ]
        writer.write("\r\n".join([*lines, "", "body"]).encode())
        await writer.drain()
        call = await read_head(reader)
        result.status, result.headers = int(call.head[1]), call.headers
        result.body = await read_body(reader, call)
        result.whole = True
        if call.headers.get("connection", "").lower() == "close":
            self.close()


async def repeat_until(
    until: float,
    pause_s: float,
    step: Callable[[], Awaitable[object]],
    start_s: float = 0.0,
) -> None:
    """Repeat a step with pauses until a time, at first after ``start_s``."""
    await asyncio.sleep(start_s)
    while time.monotonic() < until:
        await step()
        await asyncio.sleep(pause_s)
