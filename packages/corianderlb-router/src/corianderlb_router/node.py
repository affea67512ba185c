"""Compose one router of its parts, run their tasks, and take it through its life."""

from __future__ import annotations

import json
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import eliot
import hypercorn.config
import hypercorn.trio
import trio

from corianderlb_core.chart import LifeCycle
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.message import MemberState, UpstreamLeaving
from corianderlb_core.placement_registry import make_policy
from corianderlb_core.retry import RetryBudgets
from corianderlb_core.settings import RouterSettings
from corianderlb_core.settings_file import read_secret

from ._websocket_transport import WebSocketTransport
from .app import make_app
from .attempt import Parts
from .call_journal import StoreCallJournal
from .catalogue_follower import CatalogueFollower
from .catalogue_reader import CatalogueReader
from .connection import TcpConnector
from .decision_log import DecisionLog
from .dispatcher import Dispatcher
from .engine_control import HttpEngineControl
from .exchange_board import ExchangeBoard
from .fleet_quarantine import FleetQuarantine
from .flight import FlightBoard
from .health_board import HealthBoard
from .http_store import HttpObjectStore
from .instance_list import InstanceListReader
from .isolation_watch import IsolationWatch
from .kv_importer import KvImporter
from .limiter import Limiter
from .load_gossip import LoadGossip
from .node_metric import NodeCounters
from .operator_desk import OperatorDesk
from .order_keeper import OrderKeeper
from .peer_network import OverlayNetwork
from .placer import PolicyPlacer
from .stall_watch import StallWatch
from .upstream_client import UpstreamClient
from .upstream_directory import PlatformDirectory
from .upstream_reader import UpstreamReader

READY_POLL_S: Final = 0.02
"""How often a starting router looks whether catalogue and instances have arrived."""

JOURNAL_DRAIN_S: Final = 5.0
"""Longest wait at the end for answers that are not recorded yet."""

CUT_GRACE_S: Final = 0.5
"""How long cut exchanges have to tell their callers."""

KEEP_ALIVE_S: Final = 60.0
"""How long a caller's idle connection is kept."""

NEVER_S: Final = 10.0**9
"""A server time limit that never strikes: the node itself waits for the exchanges."""


class Node:
    """Hold the parts of one router, and start and stop them."""

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._epoch = time.time_ns() // 1_000_000
        self._cycle = LifeCycle("router")
        self._terminate = trio.Event()
        self._stop_listening = trio.Event()
        self._rng = random.Random()
        self._store = HttpObjectStore(settings.store.url, settings.store.timeout_s)
        self._board = ExchangeBoard()
        self._peers = self._make_peers()
        self._compose()

    def _make_peers(self) -> OverlayNetwork:
        cfg = self._settings
        own = MemberState(
            instance=InstanceId(cfg.instance),
            epoch=self._epoch,
            heartbeat=0,
            presence=Presence.LIVE,
            zone=cfg.zone,
            region=cfg.region,
            address="",
            peer_address="",
            catalogue_version=0,
        )
        transport = WebSocketTransport(cfg.listen.peer_host, cfg.listen.peer_port)
        key = read_secret(cfg.peer.key_file)
        return OverlayNetwork(own, key, transport, cfg.peer, self._rng)

    def _version(self) -> tuple[int, str]:
        in_force = self._catalogue.current()
        return (in_force.catalogue.version, in_force.since) if in_force else (0, "")

    def _compose(self) -> None:
        cfg = self._settings
        self._client = UpstreamClient(TcpConnector())
        directory = PlatformDirectory(announce=self._peers.broadcast)
        self._peers.subscribe(UpstreamLeaving, directory.on_upstream_leaving)
        policy = make_policy(cfg.placement, self._rng, cfg.zone)
        placer = PolicyPlacer(policy, directory, self._rng)
        directory.on_life_ended = placer.forget
        self._quarantine = FleetQuarantine(self._peers)
        health = HealthBoard(directory, self._client, self._rng)
        self._parts = Parts(
            cfg=cfg.data_path,
            directory=directory,
            placer=placer,
            importer=KvImporter(self._client, placer, cfg.placement.import_wait_s),
            quarantine=self._quarantine,
            health=health,
            flights=FlightBoard(),
            client=self._client,
            decisions=DecisionLog(cfg.instance, cfg.data_path.n_decisions),
            budgets=RetryBudgets(),
            stalls=StallWatch(),
            rng=self._rng,
        )
        own = InstanceId(cfg.instance)
        self._catalogue = CatalogueFollower(self._peers, cfg.catalogue.stale_after_s)
        reader = CatalogueReader(
            self._store, self._catalogue, self._peers, own, cfg.zone, self._rng
        )
        loads = UpstreamReader(
            own,
            cfg.region,
            directory,
            self._peers,
            self._client,
            cfg.placement,
            self._rng,
        )
        gossip = LoadGossip(
            cfg.region, directory, self._peers, policy, cfg.placement, self._rng
        )
        self._journal = StoreCallJournal(
            self._store, own, self._epoch, cfg.journal, self._peers
        )
        self._limiter = Limiter(
            own, self._catalogue, directory, self._peers, cfg.admission
        )
        self._orders = OrderKeeper(
            self._store,
            own,
            self._epoch,
            self._catalogue,
            directory,
            self._peers,
            HttpEngineControl(self._client),
            self._rng,
            cfg.orders,
        )
        self._peers.version = self._version
        self._counters = NodeCounters(
            store=self._store,
            peers=self._peers,
            board=self._board,
            catalogue=self._catalogue,
            reader=reader,
            quarantine=self._quarantine,
            journal=self._journal,
            limiter=self._limiter,
        )
        self._counters.watch(self._parts.metrics)
        takers = [directory.apply_list, self._peers.take_list]
        self._instances = InstanceListReader(
            self._store, takers, self._peers, self._rng
        )
        self._tasks: list[Callable[[], Awaitable[None]]] = [
            reader.run,
            IsolationWatch(self._catalogue, self._send).run,
            self._instances.run,
            loads.run,
            gossip.run,
            self._journal.run,
            self._limiter.run,
            self._orders.run,
            health.run,
            self._parts.stalls.run,
        ]

    async def run(self) -> None:
        """Serve until told to end; return once nothing is left to finish."""
        dispatcher = Dispatcher(
            self._parts, self._catalogue, self._limiter, self._journal, self._board
        )
        app = make_app(
            dispatcher, self._desk(), read_secret(self._settings.operator.key_file)
        )
        async with trio.open_nursery() as nursery:
            peer_address = await nursery.start(self._peers.run)
            for task in self._tasks:
                nursery.start_soon(task)
            bound = await nursery.start(self._serve, app)
            address = bound[0].removeprefix("http://")
            self._peers.set_addresses(address, peer_address)
            self._print_listening(address, peer_address)
            nursery.start_soon(self._become_ready)
            nursery.start_soon(self._take_signals)
            await self._live()
            nursery.cancel_scope.cancel()
        await self._client.close()
        await self._store.aclose()

    def _desk(self) -> OperatorDesk:
        return OperatorDesk(
            settings=self._settings,
            epoch=self._epoch,
            cycle=self._cycle,
            catalogue_source=self._catalogue,
            parts=self._parts,
            quarantine=self._quarantine,
            limiter=self._limiter,
            orders=self._orders,
            peers=self._peers,
            board=self._board,
            counters=self._counters,
            start_drain=self._on_terminate,
        )

    async def _serve(
        self, app: object, task_status: trio.TaskStatus[list[str]]
    ) -> None:
        config = hypercorn.config.Config()
        listen = self._settings.listen
        config.bind = [f"{listen.host}:{listen.port}"]
        config.graceful_timeout = NEVER_S
        config.shutdown_timeout = NEVER_S
        config.keep_alive_timeout = KEEP_ALIVE_S
        config.include_server_header = False
        config.loglevel = "WARNING"
        # Above our own limit, so that the answer to longer headers is ours.
        config.h11_max_incomplete_size = 2 * self._settings.data_path.max_header_bytes
        await hypercorn.trio.serve(
            app,
            config,
            shutdown_trigger=self._stop_listening.wait,
            task_status=task_status,
        )

    def _print_listening(self, address: str, peer_address: str) -> None:
        listening = {"listening": {"http": address, "peer": peer_address}}
        sys.stdout.write(json.dumps(listening) + "\n")
        sys.stdout.flush()

    async def _become_ready(self) -> None:
        while self._catalogue.current() is None or not self._instances.has_list:
            await trio.sleep(READY_POLL_S)
        self._send("catalogue_ready")

    async def _take_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self._on_terminate()

    def _on_terminate(self) -> None:
        """Take a request to end: the first drains, the second ends at once."""
        self._send("terminate")
        self._peers.announce_leaving()
        self._terminate.set()
        self._terminate = trio.Event()

    async def _live(self) -> None:
        """Return when the router has finished what it took on, or was cut."""
        await self._terminate.wait()
        if self._cycle.state == "draining":
            await self._race(self._drain, self._terminate.wait)
        if self._cycle.state != "stopped":
            self._send("drained")
        elif len(self._board):
            await self._cut()

    async def _drain(self) -> None:
        """Finish everything: the balancer may go on sending until its list is new.

        Readiness has turned already. A router that closed its port at once would
        refuse the requests that the balancer sends until it has noticed.
        """
        self._board.closing = True
        await trio.sleep(self._settings.data_path.balancer_lag_s)
        self._stop_listening.set()
        await self._board.wait_empty()
        with trio.move_on_after(JOURNAL_DRAIN_S):
            await self._journal.drain()

    async def _cut(self) -> None:
        """End all exchanges now and say which."""
        cut = self._board.cut()
        eliot.log_message(message_type="router:cut", request_ids=list(cut))
        with trio.move_on_after(CUT_GRACE_S):
            await self._board.wait_empty()

    def _send(self, event: str) -> None:
        if self._cycle.send(event):
            eliot.log_message(message_type="router:state", state=self._cycle.state)

    @staticmethod
    async def _race(*steps: Callable[[], Awaitable[None]]) -> None:
        """Return when the first of several steps is done."""
        async with trio.open_nursery() as nursery:

            async def run(step: Callable[[], Awaitable[None]]) -> None:
                await step()
                nursery.cancel_scope.cancel()

            for step in steps:
                nursery.start_soon(partial(run, step))


async def serve(settings: RouterSettings) -> None:
    """Run one router; return after its shutdown."""
    await Node(settings).run()
