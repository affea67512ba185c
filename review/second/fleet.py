"""A small deployment on loopback: a store, runners and routers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from .client import request
from .config import MODEL
from .engine import Engine
from .http_server import address_of, serve
from .router import Router, make_routers
from .sites import Site
from .store import Store

START_S = 30.0
"""Longest time until all routers are ready."""


class NotStartedError(Exception):
    """Raised when the case can't run."""


class Fleet:
    """A running deployment."""

    def __init__(self, store: Store, routers: list[Router], folder: Path) -> None:
        self.store = store
        self.routers = routers
        self.folder = folder

    async def wait_until_ready(self) -> None:
        """Wait until all routers say that they are ready."""
        loop = asyncio.get_running_loop()
        until = loop.time() + START_S
        for router in self.routers:
            while True:
                answer = await request(
                    router.ready, "GET", "/v1/readiness", {"Host": "r"}
                )
                if answer.status == 200:
                    break
                if loop.time() > until or router.has_ended:
                    raise NotStartedError(router.log[-2000:])
                await asyncio.sleep(0.1)


@asynccontextmanager
async def a_fleet(
    site: Site,
    config: dict[str, Any],
    runners: Sequence[Any],
    n_routers: int = 2,
) -> AsyncIterator[Fleet]:
    """Run a store, runners and routers; end all that was started."""
    store = Store()
    store.put("config", "main", config)
    store.put("versions", MODEL, {"model": MODEL, "version": 1})
    tasks = []
    with TemporaryDirectory() as temporary:
        servers = [await serve(store.handle)]
        for runner in runners:
            server = await serve(runner.handle)
            runner.address = address_of(server)
            servers.append(server)
        peers = {one.address: one for one in runners if isinstance(one, Engine)}
        for runner in runners:
            if isinstance(runner, Engine):
                runner.peers = peers
            tasks.append(asyncio.create_task(runner.register(store)))
        folder = Path(temporary)
        routers = make_routers(n_routers, site, folder, address_of(servers[0]))
        try:
            for router in routers:
                await router.start()
            fleet = Fleet(store, routers, folder)
            await fleet.wait_until_ready()
            yield fleet
        finally:
            for router in routers:
                await router.kill()
            for task in tasks:
                task.cancel()
            for server in servers:
                server.close()
