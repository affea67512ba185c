"""Builders of routers that reach their instances through a peer alone."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from corianderlb_core.fleet_retry_budget import BudgetTerms
from corianderlb_core.forwarding import ForwardInstance
from corianderlb_router.connection import ConnectFailedError
from corianderlb_router.forward_dispatcher import ForwardDispatcher
from corianderlb_router.peer_tunnel import NoTunnelError, Tunnels
from forward_builders import ForwardRouter, Upstream, UpstreamNetwork, a_router_in


class CutNetwork(UpstreamNetwork):
    """Instances that refuse one router while it is cut off, or let it hang."""

    is_cut = False
    hangs = False

    def __init__(self, nursery: trio.Nursery, upstreams: dict[str, Upstream]) -> None:
        super().__init__(nursery, upstreams)
        self.connected: list[str] = []
        """Instances that were connected to, in vain too."""

    async def connect(self, address: str) -> trio.abc.Stream:
        self.connected.append(address.partition(":")[0])
        if self.is_cut and self.hangs:
            await trio.sleep_forever()
        if self.is_cut:
            raise ConnectionRefusedError("cut off")
        return await super().connect(address)


class PeerTunnels(Tunnels):
    """Tunnels through a peer that reaches the instances."""

    def __init__(self, network: UpstreamNetwork) -> None:
        self._reached = network
        self.delay_s = 0.0
        self.has_peer = True
        self.confirms_end = True
        self.opened: list[str] = []
        self._checks = {}

    async def open(self, instance: ForwardInstance) -> trio.abc.Stream:
        await trio.sleep(self.delay_s)
        if not self.has_peer:
            raise NoTunnelError("no peer")
        try:
            stream = await self._reached.connect(instance.address)
        except OSError as exc:
            raise ConnectFailedError(str(exc), refused=True) from exc
        self.opened.append(instance.instance)
        stream.peer, stream.confirms_end = "r2", self.confirms_end
        return stream


@dataclasses.dataclass
class CutRouter:
    """A router whose direct network can be cut, beside a peer that is not."""

    router: ForwardRouter
    direct: CutNetwork
    tunnels: PeerTunnels


@asynccontextmanager
async def a_cut_router(
    budget: BudgetTerms | None = None, **upstreams: Upstream
) -> AsyncIterator[CutRouter]:
    """Run a router that is cut off from its instances from the start."""
    async with trio.open_nursery() as nursery:
        direct = CutNetwork(nursery, upstreams)
        tunnels = PeerTunnels(UpstreamNetwork(nursery, upstreams))
        router = a_router_in(direct, budget)
        router.parts = dataclasses.replace(router.parts, tunnels=tunnels)
        router.dispatcher = ForwardDispatcher(router.parts, router.exchanges)
        direct.is_cut = True
        yield CutRouter(router, direct, tunnels)
        nursery.cancel_scope.cancel()
