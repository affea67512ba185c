"""Assembly of a forwarding router, its startup and its shutdown."""

from __future__ import annotations

import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import field
from types import FrameType
from typing import Any, Final

import eliot
import trio

from corianderlb_core.chart import LifeCycle
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import InstanceId, Presence, Role
from corianderlb_core.message import MemberState
from corianderlb_core.settings import OrderSettings, PeerSettings

from ._stop_signals import receive_signals
from ._websocket_transport import WebSocketTransport
from .answer_end import AnswerEnds
from .caller_memory import HELD_SHARE, CallerMemory
from .connection import TcpConnector
from .connection_guard import ConnectionGuard
from .end_announcements import EndAnnouncements
from .engine_orders import EngineOrders
from .engine_table import EngineTable
from .exchange_registry import ExchangeRegistry
from .fleet_memory import FleetMemory
from .fleet_quarantine import FleetQuarantine
from .fleet_rooms import FleetRooms
from .fleet_usage import FleetUsage
from .forward_app import ForwardApp, StatusApp
from .forward_dispatcher import CALLER_STALL_TIMEOUT_S, ForwardDispatcher
from .forward_metric import ForwardMetrics
from .forward_parts import ForwardParts, ForwardSettings
from .forward_request import ForwardProtocol
from .health_table import HealthTable
from .http_server import HttpServer, HttpServerSettings
from .in_flight import InFlightTable
from .incarnation_check import IncarnationCheck
from .instance_limits import InstanceLimits, RefusalLimits
from .lease_coordinator import LeaseCoordinator
from .lease_holder import LeaseHolder
from .log_writer import LogWriter
from .loop_load import LoopLoad
from .memory_copier import MemoryCopier
from .object_feed import ObjectFeed
from .path_watch import InstanceProbe, PathWatch
from .peer_network import OverlayNetwork
from .peer_tunnel import Tunnels, TunnelServer
from .quarantine_records import QuarantineRecords
from .router_registration import RouterEntry, RouterRegistration
from .send_permits import PermittedCopier, PermittedOrders, SendPermits
from .serving_state import ServingState
from .state_follower import StateFollower
from .store import InstanceList, ObjectStore
from .stream_origins import StreamOrigins
from .stream_records import StreamRecords
from .transport import UpstreamTransport
from .weights_controller import WeightsController

LEASE_NAME: Final = "weights"
"""Lease whose holder sends the orders to engines."""

QUARANTINE_S: Final = 60.0
"""How long a request that crashed upstreams twice is refused: far longer than an
upstream takes to restart."""

KEEP_ALIVE_FACTOR: Final = 2.0
"""Keep-alive timeout as a multiple of the configured idle timeout, so that a caller
that reuses a connection in time does not find it closed."""

DRAIN_LISTEN_S: Final = 3.2
"""How long a draining router accepts new connections: until the load balancer has seen
two failed readiness checks, one second apart."""

LISTEN_IDLE_S: Final = 1.0
"""Time without a request after which a draining router stops listening for callers that
no other live router is known to take."""

LISTEN_POLL_S: Final = 0.1
"""Interval at which it looks whether they still come."""

END_TIMEOUT_S: Final = 0.15
"""Timeout for what remains once the open requests are aborted: their log lines, and the
release of the lease, which otherwise expires. It is a part of ``CUT_MARGIN_S``, as are
the closing of the links and the end of the process."""

MAX_HEAD_BYTES: Final = 1 << 17
"""Longest request head that the server reads; the configured limit is lower, so that
the router answers oversized heads itself."""


@dataclass(frozen=True)
class ListenAddresses:
    """Addresses, as host:port, that a router listens on."""

    front: str
    status: str
    peer: str
    metrics: str = ""


@dataclass(frozen=True)
class ForwardNodeSettings:
    """Settings of one forwarding router."""

    forward: ForwardSettings
    region: str
    listen: ListenAddresses
    readiness_path: str
    peers: PeerSettings
    peer_key: bytes
    orders: OrderSettings
    grace_s: float = 8.0
    """Time from the termination signal until the process is killed."""
    engines_check_tokens: bool = True
    """Whether engines refuse orders with an older fencing token."""


@dataclass(frozen=True)
class ForwardPorts:
    """Interfaces that the platform implements: its store, its protocol, its engines."""

    feed: ObjectFeed
    store: ObjectStore
    state: ServingState
    protocol: ForwardProtocol
    orders: EngineOrders
    registration: RouterRegistration
    copier: MemoryCopier | None = None
    probe: InstanceProbe | None = None
    reload: Callable[[], None] = field(default=lambda: None)
    """Reloads the settings."""


class ForwardNode:
    """Owns the components of one router and runs them."""

    def __init__(
        self, cfg: ForwardNodeSettings, ports: ForwardPorts, log: LogWriter
    ) -> None:
        self._cfg = cfg
        self._ports = ports
        self._log = log
        self._rng = random.Random()
        self._cycle = LifeCycle("router")
        self._exchanges = ExchangeRegistry()
        self._stop_listening = trio.Event()
        self._front_closed = trio.Event()
        """Set once no caller is connected and none can connect."""
        self._terminate = trio.Event()
        self._epoch = time.time_ns() // 1_000_000
        """Epoch of this process."""
        self._guard = ConnectionGuard()
        self._peers = self._make_peers()
        health = HealthTable(self._rng)
        self._limits = InstanceLimits(ports.state, self._peers, self._epoch)
        self._refusals = RefusalLimits(ports.state, self._peers, self._epoch)
        self._permits = SendPermits(ports.state, self._limits, self._refusals)
        self._paths = PathWatch(ports.state, self._permits, ports.probe)
        transport = UpstreamTransport(TcpConnector())
        ends = AnswerEnds(transport.pool, ports.probe)
        self._tunnel_server = TunnelServer(
            ports.state,
            self._paths,
            self._permits,
            TcpConnector(),
            self._peers.is_member,
            ends,
        )
        self._peers.serve_tunnel = self._tunnel_server.serve
        self._engines = EngineTable(
            ports.state,
            health,
            self._peers,
            self._permits,
            self._rng,
            cfg.forward.level_queues,
            cfg.forward.avoid_crashed,
        )
        if cfg.forward.bounded_engines:
            self._engines.memory = FleetMemory(self._peers)
        self._rooms = FleetRooms(
            ports.state,
            self._engines,
            self._peers,
            cfg.forward.fair_room,
            lambda: self._parts.n_sharing,
        )
        self._end_announcements = EndAnnouncements(ports.state, self._peers, self._rng)
        self._follower = StateFollower(ports.feed, ports.state, self._peers, self._rng)
        quarantine = FleetQuarantine(self._peers, QUARANTINE_S)
        self._quarantine_records = QuarantineRecords(
            ports.store, InstanceId(cfg.forward.node), quarantine, self._rng
        )
        self._controller = self._make_controller()
        self._parts = ForwardParts(
            cfg=cfg.forward,
            state=ports.state,
            protocol=ports.protocol,
            transport=transport,
            engines=self._engines,
            health=health,
            quarantine=quarantine,
            in_flight=InFlightTable(),
            peers=self._peers,
            metrics=ForwardMetrics(),
            usage=FleetUsage(self._peers, cfg.forward.usage, self._epoch, self._rng),
            permits=self._permits,
            rng=self._rng,
            paths=self._paths,
            rooms=self._rooms,
            origins=StreamOrigins(
                ports.state,
                self._peers,
                refresh=self._follower.refresh_instances,
                records=StreamRecords(
                    ports.store,
                    InstanceId(cfg.forward.node),
                    lambda: self._parts.n_sharing,
                    self._rng,
                ),
                is_current=lambda: self._follower.are_instances_current,
                may_lack_restarts=self._follower.may_lack_restarts,
            ),
            tunnels=Tunnels(self._peers, cfg.forward.zone, self._rng),
            n_routers_at_start=len({cfg.listen.peer, *cfg.peers.seeds}),
            ran_before_s=lambda: ports.registration.ran_before_s,
            ends=ends,
            end_announcements=self._end_announcements,
            incarnations=IncarnationCheck(ports.probe) if ports.probe else None,
            copier=self._make_copier(),
            memory=CallerMemory(HELD_SHARE * cfg.forward.memory_bytes),
        )
        self._watch_gauges()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections.

        A router that reaches no instance serves through its peers.
        """
        if self._exchanges.is_terminated:
            return False
        if self._paths.is_steadily_cut_off and not self._peers.tunnel_peers():
            return False
        return self._cycle.state == "serving"

    async def run(self) -> None:
        """Serve until a termination signal; return once the router has drained."""
        eliot.log_message(message_type="router:start", listen=self._cfg.listen.front)
        self._parts = dataclasses.replace(self._parts, started_at=trio.current_time())
        front_app = ForwardApp(ForwardDispatcher(self._parts, self._exchanges))
        load = LoopLoad()
        trio.lowlevel.add_instrument(load)
        front = self._make_server(
            "callers", self._cfg.listen.front, front_app, lambda: load.is_overloaded
        )
        self._parts.metrics.watch("shed_connections", lambda: front.n_shed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log.run)
            nursery.start_soon(self._handle_signals)
            await nursery.start(self._peers.run)
            self._peers.set_addresses(self._cfg.listen.front, self._cfg.listen.peer)
            for task in self._tasks():
                nursery.start_soon(task)
            nursery.start_soon(self._apply_limits, front)
            nursery.start_soon(self._serve_callers, front)
            self._serve_status(nursery)
            await self._drain_on_terminate()
            nursery.cancel_scope.cancel()
        eliot.log_message(message_type="router:stop")
        await self._log.finish()

    def _tasks(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._follower.run,
            self._engines.run,
            self._controller.run,
            self._keep_registered,
            self._quarantine_records.run,
            self._become_ready,
            self._parts.metrics.run,
            self._parts.usage.run,
            self._limits.run,
            self._refusals.run,
            self._paths.run,
            self._rooms.run,
            self._parts.origins.run,
            self._end_announcements.run,
        ]

    async def _serve_callers(self, front: HttpServer) -> None:
        await front.run(self._stop_listening.wait)
        self._front_closed.set()

    def _serve_status(self, nursery: trio.Nursery) -> None:
        """Serve readiness checks and metrics until the nursery is cancelled."""
        app = StatusApp(
            self._cfg.readiness_path, lambda: self.is_ready, self._parts.metrics
        )
        listen = self._cfg.listen
        names = {listen.metrics: "metrics", listen.status: "status"}
        for address, name in names.items():
            if address:
                server = self._make_server(name, address, app)
                nursery.start_soon(server.run, trio.sleep_forever)

    def _make_server(
        self,
        name: str,
        address: str,
        app: Any,
        is_overloaded: Callable[[], bool] = lambda: False,
    ) -> HttpServer:
        cfg = HttpServerSettings(
            name, address, MAX_HEAD_BYTES, write_timeout_s=CALLER_STALL_TIMEOUT_S
        )
        return HttpServer(app, cfg, self._guard, is_overloaded)

    # Tasks.

    async def _become_ready(self) -> None:
        while not self._ports.state.is_complete:
            changed = self._ports.state.changed
            await changed.wait()
        self._send("catalogue_ready")

    async def _apply_limits(self, front: HttpServer) -> None:
        """Apply the configured limits whenever the configuration changes."""
        while True:
            changed = self._ports.state.changed
            cfg = self._ports.state.configuration
            if cfg is not None:
                front.keep_alive_s = KEEP_ALIVE_FACTOR * cfg.limits.idle_timeout_s
                self._parts.usage.apply(cfg)
            await changed.wait()

    async def _keep_registered(self) -> None:
        """Keep this router registered and merge the platform's instance lists."""
        listen = self._cfg.listen
        record = RouterEntry(
            instance=InstanceId(self._cfg.forward.node),
            role=Role.ROUTER,
            zone=self._cfg.forward.zone,
            region=self._cfg.region,
            address=listen.front,
            peer_address=listen.peer,
            started_ms=self._epoch,
        )

        def on_listing(listed: InstanceList) -> None:
            self._peers.merge_list(listed)

        await self._ports.registration.keep(record, on_listing)

    async def _handle_signals(self) -> None:
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        early: list[int] = []

        def receive_early(number: int, frame: FrameType | None) -> None:
            self._on_arrival(number)
            early.append(number)

        for number in handled:
            signal.signal(number, receive_early)
        try:
            with receive_signals(*handled, at_once=self._on_arrival) as signals:
                for number in early:
                    self._on_signal(number)
                async for number in signals:
                    self._on_signal(number)
        finally:
            for number in handled:
                # By default a late signal would kill the process before its last log
                # lines are written.
                signal.signal(number, signal.SIG_IGN)

    def _on_arrival(self, number: int) -> None:
        if number != signal.SIGHUP:
            self._exchanges.terminate()

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            eliot.log_message(message_type="router:reload")
            self._ports.reload()
        else:
            self._on_terminate()

    def _on_terminate(self) -> None:
        self._send("terminate")
        self._peers.announce_leaving()
        self._terminate.set()

    async def _drain_on_terminate(self) -> None:
        """Wait for termination, then drain until done or out of grace time."""
        await self._terminate.wait()
        self._exchanges.begin_stop(self._cfg.grace_s)
        self._tunnel_server.is_leaving = True
        with trio.move_on_at(self._exchanges.cut_at) as scope:
            await trio.sleep(DRAIN_LISTEN_S)
            while self._is_last_resort:
                await trio.sleep(LISTEN_POLL_S)
            self._stop_listening.set()
            # Until its connection is closed, a caller may send another request.
            await self._front_closed.wait()
            await self._tunnel_server.wait_until_empty()
        if scope.cancelled_caught:
            self._stop_listening.set()
            cut = self._exchanges.cut()
            eliot.log_message(message_type="router:cut", requests=list(cut))
        # Keep the lease while draining: otherwise a rolling restart would leave the
        # fleet without a lease holder most of the time, and engines on old weights.
        with trio.move_on_after(END_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._controller.release)
                await self._front_closed.wait()

    @property
    def _is_last_resort(self) -> bool:
        """Whether callers still come that no other live router is known to take.

        A balancer that finds no router ready goes on with those that listen.
        """
        idle_s = trio.current_time() - self._exchanges.last_opened_at
        return idle_s < LISTEN_IDLE_S and not self._peers.has_live_peers()

    # Construction.

    def _make_peers(self) -> OverlayNetwork:
        cfg = self._cfg
        own = MemberState(
            instance=InstanceId(cfg.forward.node),
            epoch=self._epoch,
            heartbeat=0,
            presence=Presence.LIVE,
            zone=cfg.forward.zone,
            region=cfg.region,
            address=cfg.listen.front,
            peer_address=cfg.listen.peer,
            catalogue_version=0,
        )
        host, _, port = cfg.listen.peer.rpartition(":")
        transport = WebSocketTransport(host, int(port), self._guard)
        return OverlayNetwork(
            own, cfg.peer_key, transport, cfg.peers, self._rng, self._guard
        )

    def _make_copier(self) -> MemoryCopier | None:
        copier = self._ports.copier
        return PermittedCopier(copier, self._permits) if copier else None

    def _make_controller(self) -> WeightsController:
        cfg = self._cfg
        node = cfg.forward.node
        # Epoch 0: a restarted process takes over its own lease with a greater fencing
        # token, instead of waiting until it expires.
        lease = LeaseHolder(
            self._ports.store,
            LEASE_NAME,
            InstanceId(node),
            0,
            cfg.orders,
            replaces_unreadable=True,
        )
        state = self._ports.state
        coordinator = LeaseCoordinator(
            lease,
            node,
            self._peers,
            self._rng,
            lambda: state.reaches_store,
            lambda: self._parts.n_routers,
            lambda: not self._paths.is_steadily_cut_off,
            must_await_earlier_orders=not cfg.engines_check_tokens,
        )
        return WeightsController(
            coordinator,
            node,
            state,
            self._engines,
            PermittedOrders(
                self._ports.orders, self._permits, self._paths.record_report
            ),
            cfg.forward.weights_limit_s,
        )

    def _watch_gauges(self) -> None:
        metrics, state = self._parts.metrics, self._ports.state
        metrics.watch("in_flight", lambda: len(self._exchanges))
        metrics.watch("routers", lambda: self._parts.n_routers)
        metrics.watch("holds_orders", lambda: float(self._controller.is_holder))
        metrics.watch("store_lost", lambda: float(state.is_store_lost))
        metrics.watch("limited_instances", lambda: self._limits.n_in_force)
        metrics.watch("brittle_instances", lambda: self._refusals.n_in_force)
        metrics.watch("resting_instances", lambda: self._permits.n_resting)
        metrics.watch("doubted_instances", lambda: self._paths.n_doubted)
        metrics.watch("carried_tunnels", lambda: self._tunnel_server.n_open)
        metrics.watch("room_waiting", lambda: self._rooms.n_waiting)
        metrics.watch("room_refused", lambda: self._rooms.n_refused)
        metrics.watch("known_streams", lambda: len(self._parts.origins))
        metrics.watch("known_parts", lambda: len(self._engines.index))
        memory = self._parts.memory
        metrics.watch("held_bytes", lambda: memory.n_bytes)
        metrics.watch("callers_cut", lambda: memory.n_cut)
        at_engines = self._engines.memory
        metrics.watch(
            "engines_found_full", lambda: at_engines.n_full if at_engines else 0
        )
        metrics.watch("paced_instances", lambda: len(self._engines.paces))
        metrics.watch("slowest_pace", lambda: self._engines.paces.slowest)
        metrics.watch("parts_told", lambda: self._engines.part_gossip.n_told)
        metrics.watch("parts_heard", lambda: self._engines.part_gossip.n_heard)
        metrics.watch_instances("engine_tokens_per_s", self._engines.tokens_per_s)
        metrics.watch_instances("engine_slowdown", self._engines.slowdowns)
        metrics.watch("failed_connections", lambda: self._guard.n_failed.total())
        metrics.watch("log_lines_left_out", lambda: self._log.n_dropped_lines)
        metrics.watch(
            "configuration_version",
            lambda: state.configuration.version if state.configuration else 0,
        )

    def _send(self, event: str) -> None:
        if self._cycle.send(event):
            eliot.log_message(message_type="router:state", state=self._cycle.state)
