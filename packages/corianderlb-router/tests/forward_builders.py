"""Builders for tests of forwarding: in-memory router, scripted upstreams, callers."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio
import trio.testing

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.forwarding import (
    EngineTraits,
    ForwardAccount,
    ForwardConfiguration,
    ForwardInstance,
    ForwardRoute,
    ForwardUpstream,
    Prompt,
    PromptPart,
    RepeatKind,
    UpstreamShare,
    key_digest,
)
from corianderlb_core.instance_report import InstanceLoadReport
from corianderlb_core.instance_signals import InstanceSignals
from corianderlb_core.message import SharedObject
from corianderlb_core.usage_cap import UsageTerms
from corianderlb_router.caller_memory import CallerMemory
from corianderlb_router.connection import Connector
from corianderlb_router.engine_table import EngineTable
from corianderlb_router.exchange_registry import ExchangeRegistry
from corianderlb_router.fleet_quarantine import FleetQuarantine
from corianderlb_router.fleet_rooms import FleetRooms
from corianderlb_router.fleet_usage import FleetUsage
from corianderlb_router.forward_caller import ForwardCaller
from corianderlb_router.forward_dispatcher import ForwardDispatcher
from corianderlb_router.forward_metric import ForwardMetrics
from corianderlb_router.forward_parts import ForwardParts, ForwardSettings
from corianderlb_router.forward_request import (
    ForwardProtocol,
    ForwardRequest,
    Headers,
    SendTerms,
    UpstreamHead,
)
from corianderlb_router.health_table import HealthTable
from corianderlb_router.in_flight import InFlightTable
from corianderlb_router.instance_limits import InstanceLimits, RefusalLimits
from corianderlb_router.interface import PeerNetwork
from corianderlb_router.object_feed import (
    FeedChange,
    FeedChanges,
    FeedListing,
    NamedWeights,
    StateDecoder,
)
from corianderlb_router.path_watch import PathWatch
from corianderlb_router.send_permits import SendPermits
from corianderlb_router.serving_state import ServingState
from corianderlb_router.stream_origins import StreamOrigins
from corianderlb_router.transport import UpstreamTransport
from data_path_fakes import FakeCaller, FakePeers

CONFIGURATION, INSTANCES, WEIGHTS = "configuration", "instances", "weights"
"""Kinds of objects in these tests."""

MODEL = "m"
SEALED = {"x-seal": "s"}
"""Header that marks an upstream's own answer."""


def a_route(name: str, kind: RepeatKind, upstream: str, **fields: Any) -> ForwardRoute:
    """Build a route for the paths below ``/<name>/`` of the host ``h``."""
    defaults: dict[str, Any] = {
        "host": "h",
        "path_prefix": f"/{name}/",
        "timeout_s": 5.0,
        "objective_s": 1.0,
        "max_attempts": 1,
    }
    shares = (UpstreamShare(upstream),)
    return ForwardRoute(name=name, kind=kind, shares=shares, **{**defaults, **fields})


ROUTES = (
    a_route("read", RepeatKind.IDEMPOTENT, "app", max_attempts=2),
    a_route("book", RepeatKind.AT_MOST_ONCE, "app"),
    a_route("long", RepeatKind.STREAM, "llm", max_attempts=2, may_resume=True),
    a_route("quick", RepeatKind.STREAM, "llm"),
)


def a_configuration(**fields: Any) -> ForwardConfiguration:
    """Build a configuration with a plain service, engines and two accounts."""
    defaults: dict[str, Any] = {
        "version": 1,
        "revision": 10,
        "routes": ROUTES,
        "upstreams": (
            ForwardUpstream("app"),
            ForwardUpstream(
                "llm", EngineTraits(64, 200_000, (MODEL,), can_copy_runs=True)
            ),
        ),
        "accounts": (
            ForwardAccount("acme", (key_digest("key"),)),
            ForwardAccount("walled", (key_digest("key-w"),), is_isolated=True),
        ),
    }
    return ForwardConfiguration(**{**defaults, **fields})


def an_instance(name: str, upstream: str, **fields: Any) -> ForwardInstance:
    """Build an instance whose address starts with its name."""
    defaults: dict[str, Any] = {
        "address": f"{name}:80",
        "zone": "zone-a",
        "slots": 64 if upstream == "llm" else 6,
        "born_ms": 1,
        "weights": ((MODEL, 1),) if upstream == "llm" else (),
    }
    return ForwardInstance(name, upstream, **{**defaults, **fields})


def an_object(name: str, revision: int = 20) -> SharedObject:
    """Build a stored object that a ``TableDecoder`` can decode."""
    return SharedObject(name, revision, b"")


class TableDecoder(StateDecoder):
    """Decodes objects to the values that a test has put, by name and revision."""

    def __init__(self) -> None:
        self.table: dict[tuple[str, int], Any] = {}

    def put(self, value: Any, name: str, revision: int = 20) -> SharedObject:
        """Set the value that an object decodes to."""
        self.table[name, revision] = value
        return an_object(name, revision)

    def configuration(self, stored: SharedObject) -> ForwardConfiguration | None:
        return self.table.get((stored.name, stored.revision))

    def instance(self, stored: SharedObject) -> ForwardInstance | None:
        return self.table.get((stored.name, stored.revision))

    def weights(self, stored: SharedObject) -> NamedWeights | None:
        return self.table.get((stored.name, stored.revision))


def a_state(decoder: TableDecoder) -> ServingState:
    """Build an empty state."""
    return ServingState(decoder, CONFIGURATION, INSTANCES, WEIGHTS)


def send_permits(state: ServingState, peers: PeerNetwork) -> SendPermits:
    """Build the permits of a router that has heard nothing of its instances."""
    limits, refusals = InstanceLimits(state, peers, 1), RefusalLimits(state, peers, 1)
    return SendPermits(state, limits, refusals)


class PlainProtocol(ForwardProtocol):
    """Protocol with short header names."""

    def read_request(self, scope: dict[str, Any]) -> ForwardRequest:
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        prompt = None
        if "x-prompt" in headers:
            prompt = a_prompt(headers["x-prompt"])
        left = headers.get("x-deadline-s")
        return ForwardRequest(
            request_id=headers["x-id"],
            method=scope["method"],
            host=headers.get("host", "h"),
            path=scope["path"],
            target=scope["path"].encode(),
            headers=((b"host", b"h"), (b"x-id", headers["x-id"].encode())),
            api_key=headers.get("x-key", ""),
            deadline_s=float(left) if left else float("inf"),
            prompt=prompt,
            resume_after=int(headers["x-after"]) if "x-after" in headers else None,
            resumes=headers.get("x-resumes", ""),
        )

    def upstream_headers(self, req: ForwardRequest, terms: SendTerms) -> Headers:
        named = {
            "x-instance": terms.instance,
            "x-account": terms.account,
            "x-scope": terms.cache_scope,
            "x-left-s": f"{terms.deadline_s:.3f}",
            "x-after": "" if req.resume_after is None else str(req.resume_after),
            "x-fetch": terms.fetch_from,
            "x-continue": terms.continue_from,
        }
        sent = [(k.encode(), v.encode()) for k, v in named.items() if v]
        return [*req.headers, *sent]

    def read_head(
        self, req: ForwardRequest, status: int, headers: Headers
    ) -> UpstreamHead:
        found = {k.decode().lower(): v.decode() for k, v in headers}
        return UpstreamHead(
            status=status,
            headers=((b"x-seal", found.get("x-seal", "").encode()),),
            is_ours=found.get("x-id", req.request_id) == req.request_id,
            not_run="x-not-run" in found,
            is_misdirected=status == 421,
            is_sealed="x-seal" in found,
            is_encoded="content-encoding" in found,
            instance=found.get("x-instance", ""),
            load=msgspec.json.decode(found["x-load"], type=InstanceLoadReport)
            if "x-load" in found
            else None,
            signals=InstanceSignals(
                limit_per_s=float(found.get("x-limit", math.inf)),
                refusals_per_s=float(found.get("x-brittle", math.inf)),
                is_leaving="x-leaving" in found,
                rest_s=float(found.get("retry-after", 0.0)) if status == 503 else 0.0,
            ),
        )


def a_prompt(text: str) -> Prompt:
    """Build a prompt from its parts, as ``id:tokens`` with commas between."""
    pairs = [item.split(":") for item in text.split(",")]
    parts = tuple(PromptPart(part_id, int(n)) for part_id, n in pairs)
    return Prompt(MODEL, parts, sum(part.n_tokens for part in parts), 20)


def an_answer(
    body: bytes = b"done", status: int = 200, length: int | None = None, **headers: str
) -> bytes:
    """Build the bytes of a whole answer; ``length`` overrides its length."""
    named = {**SEALED, **{k.replace("_", "-"): v for k, v in headers.items()}}
    lines = [f"HTTP/1.1 {status} OK", f"content-length: {length or len(body)}"]
    lines += [f"{name}: {value}" for name, value in named.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def unsealed(answer: bytes) -> bytes:
    """Return an answer without the header that marks it as the upstream's own."""
    return answer.replace(b"x-seal: s\r\n", b"")


def unframed(answer: bytes) -> bytes:
    """Return an answer that names no length, so that it ends with its connection."""
    head, end, body = answer.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    kept = [line for line in lines if not line.startswith(b"content-length")]
    return b"\r\n".join(kept) + end + body


def an_event(number: int) -> bytes:
    """Build one event of a stream."""
    return b"id: %d\ndata: word\n\n" % number


Answer = Callable[[trio.abc.Stream], Awaitable[None]]
"""Function that answers one request on its connection."""

STREAM_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-seal: s\r\n\r\n"
STREAM_END = b"0\r\n\r\n"
NOT_RUN = an_answer(b"", 503, x_not_run="1")


def chunk(data: bytes) -> bytes:
    """Build one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def a_stream(first: int, last: int, ends: bool = True) -> bytes:
    """Build a stream of events, whole or cut before its end."""
    events = b"".join(chunk(an_event(n)) for n in range(first, last + 1))
    return STREAM_HEAD + events + (STREAM_END if ends else b"")


def a_pausing_stream(first: int, last: int, after: int, pause_s: float) -> Answer:
    """Build a stream that is silent for a while after the event ``after``."""

    async def answer(stream: trio.abc.Stream) -> None:
        await stream.send_all(a_stream(first, after, ends=False))
        await trio.sleep(pause_s)
        rest = a_stream(after + 1, last).removeprefix(STREAM_HEAD)
        await stream.send_all(rest)

    return answer


def a_late_answer(answer: bytes, after_s: float) -> Answer:
    """Build an answer whose head comes after ``after_s`` seconds."""

    async def answer_late(stream: trio.abc.Stream) -> None:
        await trio.sleep(after_s)
        await stream.send_all(answer)

    return answer_late


async def break_early(stream: trio.abc.Stream) -> None:
    """Close the connection without an answer."""
    await stream.aclose()


async def break_off(stream: trio.abc.Stream) -> None:
    """Send the first two events of a stream and close the connection."""
    await stream.send_all(a_stream(1, 2, ends=False))
    await stream.aclose()


def break_off_after(last: int, pause_s: float) -> Answer:
    """Build a stream that closes the connection some time after an event."""

    async def answer(stream: trio.abc.Stream) -> None:
        await stream.send_all(a_stream(1, last, ends=False))
        await trio.sleep(pause_s)
        await stream.aclose()

    return answer


class Endless:
    """An answer that goes on until the router closes the connection."""

    def __init__(
        self,
        start: bytes,
        more: Iterator[bytes],
        pause_s: float = 0.0,
        n_most: int = 40 << 20,
    ) -> None:
        self.n_taken = 0
        self.was_closed = False
        self._start = start
        self._more = more
        self._pause_s = pause_s
        self._n_most = n_most
        """Most bytes that are handed out."""

    async def __call__(self, stream: trio.abc.Stream) -> None:
        """Answer one request."""
        await stream.send_all(self._start)
        for data in self._more:
            if self.n_taken > self._n_most:
                return
            try:
                await stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.was_closed = True
                return
            self.n_taken += len(data)
            await trio.sleep(self._pause_s)


@dataclass
class Upstream:
    """Upstream that answers each request with the next scripted answer.

    An answer is bytes, after which the connection stays open, or a coroutine function
    that gets the connection. After the script the last answer repeats.
    """

    script: list[bytes | Answer]
    closes: bool = False
    """Whether the connection ends after an answer."""
    resets: bool = False
    """Whether its connections end by a reset."""
    alive: bool = True
    accepts: bool = True
    """Whether connections are established; otherwise they wait for good."""
    requests: list[dict[str, str]] = field(default_factory=list)
    """Headers of the received requests; ``:target`` is the request line's target."""
    bodies: list[bytes] = field(default_factory=list)
    n_closed: int = 0
    """Connections that the router closed."""

    async def serve(self, stream: trio.abc.Stream) -> None:
        try:
            head, _, rest = await _read_until(stream, b"\r\n\r\n")
        except trio.BrokenResourceError:
            return
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        length = int(headers.get("content-length", 0))
        while len(rest) < length:
            rest += await stream.receive_some(65536)
        self.requests.append({":target": lines[0].split(" ")[1], **headers})
        self.bodies.append(rest)
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        try:
            if isinstance(answer, bytes):
                await stream.send_all(answer)
            else:
                await answer(stream)
            if not self.closes:
                while await stream.receive_some(65536):
                    pass
                self.n_closed += 1
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.n_closed += 1
        await stream.aclose()


async def _read_until(
    stream: trio.abc.Stream, mark: bytes
) -> tuple[bytes, bytes, bytes]:
    data = b""
    while mark not in data:
        received = await stream.receive_some(65536)
        if not received:
            raise trio.BrokenResourceError("closed without a request")
        data += received
    return data.partition(mark)


async def never_answer(stream: trio.abc.Stream) -> None:
    """Take a request and never answer it."""
    await trio.sleep_forever()


class ResetStream(trio.abc.Stream):
    """Connection whose end is a reset."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream

    async def send_all(self, data: bytes) -> None:
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self._stream.receive_some(max_bytes)
        if not data:
            raise trio.BrokenResourceError("reset")
        return data

    async def aclose(self) -> None:
        await self._stream.aclose()


class UpstreamNetwork(Connector):
    """Connects to the scripted upstreams by name."""

    def __init__(self, nursery: trio.Nursery, upstreams: dict[str, Upstream]) -> None:
        self._nursery = nursery
        self.upstreams = upstreams

    async def connect(self, address: str) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        upstream = self.upstreams[address.partition(":")[0]]
        if not upstream.alive:
            raise ConnectionRefusedError("connection refused")
        if not upstream.accepts:
            await trio.sleep_forever()
        ours, theirs = trio.testing.memory_stream_pair()
        self._nursery.start_soon(upstream.serve, theirs)
        return ResetStream(ours) if upstream.resets else ours


class ForwardRouter:
    """Forwarding router over scripted upstreams."""

    def __init__(
        self,
        network: UpstreamNetwork,
        budget: BudgetTerms,
        name: str = "r1",
        fleet: list[FakePeers] | None = None,
    ) -> None:
        self.network = network
        self.decoder = TableDecoder()
        self.state = a_state(self.decoder)
        self.peers = FakePeers(name, [] if fleet is None else fleet)
        rng = random.Random(1)
        self.health = HealthTable(rng)
        self.limits = InstanceLimits(self.state, self.peers, 1)
        self.refusals = RefusalLimits(self.state, self.peers, 1)
        self.permits = SendPermits(self.state, self.limits, self.refusals)
        self.engine_table = EngineTable(
            self.state, self.health, self.peers, self.permits, rng
        )
        self.rooms = FleetRooms(self.state, self.engine_table, self.peers, False)
        self.exchanges = ExchangeRegistry()
        self.parts = ForwardParts(
            cfg=ForwardSettings(name, "zone-a", budget=budget),
            state=self.state,
            protocol=PlainProtocol(),
            transport=UpstreamTransport(network),
            engines=self.engine_table,
            health=self.health,
            quarantine=FleetQuarantine(self.peers, hold_s=60.0),
            in_flight=InFlightTable(),
            peers=self.peers,
            metrics=ForwardMetrics(),
            usage=FleetUsage(self.peers, UsageTerms(overshoot=0.0), 1, rng),
            permits=self.permits,
            rng=rng,
            paths=PathWatch(self.state, self.permits),
            rooms=self.rooms,
            origins=StreamOrigins(self.state, self.peers),
        )
        self.dispatcher = ForwardDispatcher(self.parts, self.exchanges)

    def use_copier(self, copier):
        """Copy runs between engines with the given copier, and return it."""
        copier.router = self
        self.parts = dataclasses.replace(self.parts, copier=copier)
        self.dispatcher = ForwardDispatcher(self.parts, self.exchanges)
        return copier

    def limit_weights(self, seconds: float) -> None:
        """Set the maximum age of replaced weights on which requests may begin."""
        cfg = dataclasses.replace(self.parts.cfg, weights_limit_s=seconds)
        self.parts = dataclasses.replace(self.parts, cfg=cfg)
        self.dispatcher = ForwardDispatcher(self.parts, self.exchanges)

    def name_weights(self, version: int) -> None:
        """Apply a watch of the store that announces a version."""
        stored = self.decoder.put(NamedWeights(MODEL, version), MODEL, 20 + version)
        changes = FeedChanges((FeedChange(stored, False),), 20 + version)
        self.state.apply_changes(WEIGHTS, changes)

    def share_room(self, nursery: trio.Nursery) -> None:
        """Give accounts fair shares of the engines."""
        self.rooms.is_enabled = True
        nursery.start_soon(self.rooms.run)
        nursery.start_soon(self.engine_table.run)

    def mark_process_start(self) -> None:
        """Set the start time of the router's process to now."""
        now = trio.current_time()
        self.parts = dataclasses.replace(self.parts, started_at=now)
        self.dispatcher = ForwardDispatcher(self.parts, self.exchanges)

    def configure(self, cfg: ForwardConfiguration) -> None:
        """Apply a configuration."""
        stored = self.decoder.put(cfg, "main", cfg.revision)
        self.state.apply_listing(CONFIGURATION, FeedListing((stored,), cfg.revision))
        self.parts.usage.apply(cfg)

    def list_instances(self, *instances: ForwardInstance, revision: int = 20) -> None:
        """Apply a list of instances from the store."""
        stored = tuple(
            self.decoder.put(dataclasses.replace(item), item.instance, revision)
            for item in instances
        )
        self.state.apply_listing(INSTANCES, FeedListing(stored, revision))

    async def ask(self, path: str, body: bytes = b"", **headers: str) -> FakeCaller:
        """Send a request as a caller and return the caller with its answer."""
        caller = self.a_caller(path, body, **headers)
        await self.serve(caller)
        return caller

    def a_caller(self, path: str, body: bytes = b"", **headers: str) -> FakeCaller:
        """Build a caller that has not sent its request yet."""
        named = {"x_id": "q1", "x_key": "key", **headers}
        return FakeCaller(path, body or b"body", **named)

    async def serve(self, caller: FakeCaller) -> None:
        """Handle a caller's request."""
        scope = {
            "method": "POST",
            "path": caller.path,
            "headers": caller.headers,
            "query_string": b"",
        }
        exchange = ForwardCaller(scope, caller.receive, caller.send)
        await self.dispatcher.handle(exchange, scope)


def bound(router: ForwardRouter, limit: float) -> CallerMemory:
    """Bound what a router may hold, and return its account."""
    memory = CallerMemory(limit)
    router.parts = dataclasses.replace(router.parts, memory=memory)
    router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
    return memory


def a_router_in(
    network: UpstreamNetwork,
    budget: BudgetTerms | None = None,
    name: str = "r1",
    fleet: list[FakePeers] | None = None,
) -> ForwardRouter:
    """Build a router that knows the upstreams of a network as its instances."""
    router = ForwardRouter(network, budget or BudgetTerms(), name, fleet)
    router.configure(a_configuration())
    router.list_instances(
        *(
            an_instance(instance, "llm" if instance.startswith("e") else "app")
            for instance in network.upstreams
        )
    )
    return router


@asynccontextmanager
async def a_router(
    budget: BudgetTerms | None = None, **upstreams: Upstream
) -> AsyncIterator[ForwardRouter]:
    """Run a router; upstreams named ``e...`` are engines, the others plain services."""
    async with trio.open_nursery() as nursery:
        yield a_router_in(UpstreamNetwork(nursery, upstreams), budget)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def a_fleet(
    n_routers: int, **upstreams: Upstream
) -> AsyncIterator[list[ForwardRouter]]:
    """Run routers that hear each other, before the same upstreams."""
    async with trio.open_nursery() as nursery:
        network, fleet = UpstreamNetwork(nursery, upstreams), []
        routers = [
            a_router_in(network, name=f"r{number}", fleet=fleet)
            for number in range(n_routers)
        ]
        for router in routers:
            nursery.start_soon(router.limits.run)
            nursery.start_soon(router.refusals.run)
        yield routers
        nursery.cancel_scope.cancel()
