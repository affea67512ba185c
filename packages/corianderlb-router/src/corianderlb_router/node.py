"""Lifecycle of a router process: start, serve, drain, stop."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import eliot
import trio

from corianderlb_core.settings import RouterSettings
from corianderlb_core.settings_file import read_secret

from ._stop_signals import receive_signals
from .app import make_app
from .composition import Composition
from .http_server import HttpServer, HttpServerSettings

READY_POLL_INTERVAL_S: Final = 0.02
"""Poll interval of a starting router for the catalogue and the instance list."""

JOURNAL_DRAIN_TIMEOUT_S: Final = 5.0
"""Longest wait at shutdown for answers that are not recorded yet."""

ABORT_GRACE_S: Final = 0.5
"""Longest wait for aborted exchanges to notify their callers."""

KEEP_ALIVE_TIMEOUT_S: Final = 60.0
"""Longest idle time of a caller's connection."""


class Node:
    """Starts and stops the components of one router."""

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._parts = Composition(settings)
        self._terminate = trio.Event()
        self._stop_listening = trio.Event()
        self._has_closed = trio.Event()
        """Set once no caller is connected and none can connect."""

    async def run(self) -> None:
        """Serve until terminated; return after shutdown is complete."""
        parts = self._parts
        app = make_app(
            parts.make_dispatcher(),
            parts.make_admin_view(self._on_terminate),
            read_secret(self._settings.operator.key_file),
        )
        async with trio.open_nursery() as nursery:
            peer_address = await nursery.start(parts.peers.run)
            for task in parts.tasks:
                nursery.start_soon(task)
            server = HttpServer(app, self._server_settings(), parts.guard)
            address = await nursery.start(self._serve, server)
            parts.peers.set_addresses(address, peer_address)
            self._print_listening(address, peer_address)
            nursery.start_soon(self._become_ready)
            nursery.start_soon(self._handle_signals)
            await self._run_until_stopped()
            nursery.cancel_scope.cancel()
        await parts.close()

    async def _serve(
        self, server: HttpServer, task_status: trio.TaskStatus[str]
    ) -> None:
        await server.run(self._stop_listening.wait, task_status)
        self._has_closed.set()

    def _server_settings(self) -> HttpServerSettings:
        listen = self._settings.listen
        return HttpServerSettings(
            name="callers",
            address=f"{listen.host}:{listen.port}",
            # Above the router's own limit, so that the router answers oversized heads.
            max_head_bytes=2 * self._settings.data_path.max_header_bytes,
            keep_alive_s=KEEP_ALIVE_TIMEOUT_S,
            write_timeout_s=self._settings.data_path.caller_stall_timeout_s,
            sends_date=True,
        )

    def _print_listening(self, address: str, peer_address: str) -> None:
        listening = {"listening": {"http": address, "peer": peer_address}}
        sys.stdout.write(json.dumps(listening) + "\n")
        sys.stdout.flush()

    async def _become_ready(self) -> None:
        while (
            self._parts.catalogue.current() is None
            or not self._parts.instances.has_list
        ):
            await trio.sleep(READY_POLL_INTERVAL_S)
        self._parts.send("catalogue_ready")

    async def _handle_signals(self) -> None:
        handled = (signal.SIGTERM, signal.SIGINT)
        with receive_signals(*handled, at_once=self._on_signal) as signals:
            async for _ in signals:
                self._on_terminate()

    def _on_signal(self, number: int) -> None:
        self._parts.exchanges.terminate()

    def _on_terminate(self) -> None:
        """Handle a termination request: the first drains, the second stops at once."""
        self._parts.send("terminate")
        self._parts.peers.announce_leaving()
        self._terminate.set()
        self._terminate = trio.Event()

    async def _run_until_stopped(self) -> None:
        """Wait for termination, then drain or abort the exchanges."""
        await self._terminate.wait()
        if self._parts.cycle.state == "draining":
            await self._run_until_first(self._drain, self._terminate.wait)
        if self._parts.cycle.state != "stopped":
            self._parts.send("drained")
        elif len(self._parts.exchanges):
            await self._abort_exchanges()

    async def _drain(self) -> None:
        """Complete all requests, including those that the balancer still sends.

        The readiness check already fails, but the balancer notices with a delay. If the
        router closed its port at once, the requests sent until then would be refused.
        """
        self._parts.exchanges.closing = True
        await trio.sleep(self._settings.data_path.balancer_lag_s)
        self._stop_listening.set()
        # Until its connection is closed, a caller may send another request.
        await self._has_closed.wait()
        with trio.move_on_after(JOURNAL_DRAIN_TIMEOUT_S):
            await self._parts.journal.drain()

    async def _abort_exchanges(self) -> None:
        """Abort all exchanges and log their request ids."""
        request_ids = self._parts.exchanges.cut()
        eliot.log_message(message_type="router:cut", request_ids=list(request_ids))
        with trio.move_on_after(ABORT_GRACE_S):
            await self._parts.exchanges.wait_until_empty()

    @staticmethod
    async def _run_until_first(*steps: Callable[[], Awaitable[None]]) -> None:
        """Run several steps; cancel the others when the first completes."""
        async with trio.open_nursery() as nursery:

            async def run(step: Callable[[], Awaitable[None]]) -> None:
                await step()
                nursery.cancel_scope.cancel()

            for step in steps:
                nursery.start_soon(partial(run, step))


async def serve(settings: RouterSettings) -> None:
    """Run one router; return after its shutdown."""
    await Node(settings).run()
