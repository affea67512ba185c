"""Take one router through its life: start its tasks, serve, drain, end."""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import eliot
import hypercorn.config
import hypercorn.trio
import trio

from corianderlb_core.settings import RouterSettings
from corianderlb_core.settings_file import read_secret

from .app import make_app
from .composition import Composition

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
    """Start and stop the parts of one router."""

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._parts = Composition(settings)
        self._terminate = trio.Event()
        self._stop_listening = trio.Event()

    async def run(self) -> None:
        """Serve until told to end; return once nothing is left to finish."""
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
            bound = await nursery.start(self._serve, app)
            address = bound[0].removeprefix("http://")
            parts.peers.set_addresses(address, peer_address)
            self._print_listening(address, peer_address)
            nursery.start_soon(self._become_ready)
            nursery.start_soon(self._take_signals)
            await self._live()
            nursery.cancel_scope.cancel()
        await parts.close()

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
        while (
            self._parts.catalogue.current() is None
            or not self._parts.instances.has_list
        ):
            await trio.sleep(READY_POLL_S)
        self._parts.send("catalogue_ready")

    async def _take_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self._on_terminate()

    def _on_terminate(self) -> None:
        """Take a request to end: the first drains, the second ends at once."""
        self._parts.send("terminate")
        self._parts.peers.announce_leaving()
        self._terminate.set()
        self._terminate = trio.Event()

    async def _live(self) -> None:
        """Return when the router has finished what it took on, or was cut."""
        await self._terminate.wait()
        if self._parts.cycle.state == "draining":
            await self._race(self._drain, self._terminate.wait)
        if self._parts.cycle.state != "stopped":
            self._parts.send("drained")
        elif len(self._parts.exchanges):
            await self._cut()

    async def _drain(self) -> None:
        """Finish everything: the balancer may go on sending until its list is new.

        Readiness has turned already. A router that closed its port at once would
        refuse the requests that the balancer sends until it has noticed.
        """
        self._parts.exchanges.closing = True
        await trio.sleep(self._settings.data_path.balancer_lag_s)
        self._stop_listening.set()
        await self._parts.exchanges.wait_until_empty()
        with trio.move_on_after(JOURNAL_DRAIN_S):
            await self._parts.journal.drain()

    async def _cut(self) -> None:
        """End all exchanges now and say which."""
        cut = self._parts.exchanges.cut()
        eliot.log_message(message_type="router:cut", request_ids=list(cut))
        with trio.move_on_after(CUT_GRACE_S):
            await self._parts.exchanges.wait_until_empty()

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
