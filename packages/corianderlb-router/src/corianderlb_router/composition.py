"""Creates the components of one router in dependency order and connects them."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import eliot

from corianderlb_core.chart import LifeCycle
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.message import MemberState, UpstreamLeaving
from corianderlb_core.placement_registry import make_policy
from corianderlb_core.retry import RetryBudgets
from corianderlb_core.settings import RouterSettings
from corianderlb_core.settings_file import read_secret

from ._websocket_transport import WebSocketTransport
from .admin_view import AdminView
from .attempt import DataPathParts
from .call_journal import StoreCallJournal
from .catalogue_follower import CatalogueFollower
from .catalogue_reader import CatalogueReader
from .connection import TcpConnector
from .connection_guard import ConnectionGuard
from .decision_log import DecisionLog
from .dispatcher import Dispatcher
from .engine_control import HttpEngineControl
from .exchange_registry import ExchangeRegistry
from .fleet_quarantine import FleetQuarantine
from .health_tracker import HealthTracker
from .http_store import HttpObjectStore
from .in_flight import InFlightTable
from .instance_list import InstanceListReader
from .isolation_watch import IsolationWatch
from .kv_importer import KvImporter
from .limiter import Limiter
from .load_gossip import LoadGossip
from .node_metric import NodeCounters
from .order_controller import OrderController
from .peer_network import OverlayNetwork
from .placer import PolicyPlacer
from .stall_watch import StallWatch
from .upstream_client import UpstreamClient
from .upstream_directory import PlatformDirectory
from .upstream_reader import UpstreamReader


class Composition:
    """Components of one router; ``tasks`` are the functions to run for them."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.own = InstanceId(settings.instance)
        self.epoch = time.time_ns() // 1_000_000
        self.cycle = LifeCycle("router")
        self.rng = random.Random()
        self.store = HttpObjectStore(settings.store.url, settings.store.timeout_s)
        self.exchanges = ExchangeRegistry()
        self.guard = ConnectionGuard()
        self.client = UpstreamClient(TcpConnector())
        self.peers = self._make_peers()
        self.tasks: list[Callable[[], Awaitable[None]]] = []
        self._make_upstreams()
        self._make_catalogue()
        self._make_data_path()
        self._make_calls()
        self._make_counters()

    def make_dispatcher(self) -> Dispatcher:
        """Return the dispatcher of callers' requests."""
        return Dispatcher(
            self.parts, self.catalogue, self.limiter, self.journal, self.exchanges
        )

    def make_admin_view(self, start_drain: Callable[[], None]) -> AdminView:
        """Return the view for the administration paths."""
        return AdminView(
            settings=self.settings,
            epoch=self.epoch,
            cycle=self.cycle,
            catalogue_source=self.catalogue,
            parts=self.parts,
            quarantine=self.quarantine,
            limiter=self.limiter,
            orders=self.orders,
            peers=self.peers,
            exchanges=self.exchanges,
            counters=self.counters,
            start_drain=start_drain,
        )

    def send(self, event: str) -> None:
        """Send an event to the life cycle, and log a change of state."""
        if self.cycle.send(event):
            eliot.log_message(message_type="router:state", state=self.cycle.state)

    async def close(self) -> None:
        """Close all open connections."""
        await self.client.close()
        await self.store.aclose()

    def _make_peers(self) -> OverlayNetwork:
        cfg = self.settings
        own = MemberState(
            instance=self.own,
            epoch=self.epoch,
            heartbeat=0,
            presence=Presence.LIVE,
            zone=cfg.zone,
            region=cfg.region,
            address="",
            peer_address="",
            catalogue_version=0,
        )
        listen = cfg.listen
        transport = WebSocketTransport(listen.peer_host, listen.peer_port, self.guard)
        key = read_secret(cfg.peer.key_file)
        return OverlayNetwork(own, key, transport, cfg.peer, self.rng, self.guard)

    def _make_upstreams(self) -> None:
        """Create the directory, load readers and placement of upstream instances."""
        cfg = self.settings
        self.directory = PlatformDirectory(announce=self.peers.broadcast)
        self.peers.subscribe(UpstreamLeaving, self.directory.on_upstream_leaving)
        policy = make_policy(cfg.placement, self.rng, cfg.zone)
        self.placer = PolicyPlacer(policy, self.directory, self.rng)
        self.directory.on_incarnation_ended = self.placer.forget
        receivers = [self.directory.apply_instance_list, self.peers.merge_list]
        self.instances = InstanceListReader(self.store, receivers, self.peers, self.rng)
        self.loads = UpstreamReader(
            self.own,
            cfg.region,
            self.directory,
            self.peers,
            self.client,
            cfg.placement,
            self.rng,
        )
        self.gossip = LoadGossip(
            cfg.region, self.directory, self.peers, policy, cfg.placement, self.rng
        )
        self.tasks += [self.instances.run, self.loads.run, self.gossip.run]

    def _make_catalogue(self) -> None:
        cfg = self.settings
        self.catalogue = CatalogueFollower(self.peers, cfg.catalogue.stale_after_s)
        self.peers.version = self._version
        self.reader = CatalogueReader(
            self.store, self.catalogue, self.peers, self.own, cfg.zone, self.rng
        )
        self.tasks += [self.reader.run, IsolationWatch(self.catalogue, self.send).run]

    def _version(self) -> tuple[int, str]:
        in_force = self.catalogue.current()
        return (in_force.catalogue.version, in_force.since) if in_force else (0, "")

    def _make_data_path(self) -> None:
        cfg = self.settings
        importer = KvImporter(self.client, self.placer, cfg.placement.import_wait_s)
        self.quarantine = FleetQuarantine(self.peers)
        health = HealthTracker(self.directory, self.client, self.rng)
        stalls = StallWatch()
        self.parts = DataPathParts(
            cfg=cfg.data_path,
            directory=self.directory,
            placer=self.placer,
            importer=importer,
            quarantine=self.quarantine,
            health=health,
            in_flight=InFlightTable(),
            client=self.client,
            decisions=DecisionLog(cfg.instance, cfg.data_path.n_decisions),
            budgets=RetryBudgets(),
            stalls=stalls,
            rng=self.rng,
        )
        self.tasks += [health.run, stalls.run]

    def _make_calls(self) -> None:
        """Create the limiter, the call journal and the controller of engine orders."""
        cfg = self.settings
        self.journal = StoreCallJournal(
            self.store, self.own, self.epoch, cfg.journal, self.peers
        )
        self.limiter = Limiter(
            self.own,
            self.catalogue,
            self.directory,
            self.peers,
            cfg.admission,
            self.directory.shortest_wait_s,
        )
        self.orders = OrderController(
            self.store,
            self.own,
            self.epoch,
            self.catalogue,
            self.directory,
            self.peers,
            HttpEngineControl(self.client),
            self.rng,
            cfg.orders,
        )
        self.tasks += [self.journal.run, self.limiter.run, self.orders.run]

    def _make_counters(self) -> None:
        self.counters = NodeCounters(
            store=self.store,
            peers=self.peers,
            guard=self.guard,
            exchanges=self.exchanges,
            catalogue=self.catalogue,
            reader=self.reader,
            quarantine=self.quarantine,
            journal=self.journal,
            limiter=self.limiter,
            loads=self.loads,
            gossip=self.gossip,
            importer=self.parts.importer,
        )
        self.counters.watch(self.parts.metrics)
