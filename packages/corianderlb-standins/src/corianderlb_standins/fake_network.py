"""In-memory network of routers for tests, with loss, delay and partitions."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio

from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.message import MemberState, Message
from corianderlb_router.interface import Handler, PeerNetwork


def a_member(name: str, epoch: int = 1) -> MemberState:
    """Return the member state of a live router."""
    return MemberState(
        instance=InstanceId(name),
        epoch=epoch,
        heartbeat=1,
        presence=Presence.LIVE,
        zone="zone-a",
        region="pnw",
        address="",
        peer_address="",
        catalogue_version=1,
    )


@dataclass
class FakeHub:
    """Delivers messages between the routers of one test.

    For example ``hub.join("r1")`` returns the network of router ``r1``, and
    ``hub.cut.add("r1")`` drops all messages from and to it.
    """

    nursery: trio.Nursery
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    loss: float = 0.0
    """Share of messages that are lost."""
    delay_s: float = 0.001
    cut: set[str] = field(default_factory=set)
    """Routers whose messages are dropped in both directions."""
    dead: set[str] = field(default_factory=set)
    """Routers that are removed from the member list; their messages are dropped."""
    passes: Callable[[str, str], bool] = lambda sender, target: True
    """Whether messages from one router to another pass, as in a partition."""
    networks: dict[str, FakeNetwork] = field(default_factory=dict)
    n_messages: int = 0

    def join(self, name: str, epoch: int = 1) -> FakeNetwork:
        """Add a router and return its network."""
        network = FakeNetwork(self, a_member(name, epoch))
        self.networks[name] = network
        return network

    def transmit(self, sender: str, target: str, message: Message) -> bool:
        """Send a message, which may be lost; return False if unreachable."""
        self.n_messages += 1
        unreachable = {sender, target} & (self.cut | self.dead)
        if target not in self.networks or unreachable:
            return False
        if not self.passes(sender, target):
            return False
        if self.rng.random() >= self.loss:
            self.nursery.start_soon(self._deliver, sender, target, message)
        return True

    async def _deliver(self, sender: str, target: str, message: Message) -> None:
        await trio.sleep(self.delay_s)
        for handler in self.networks[target].handlers.get(type(message), []):
            await handler(InstanceId(sender), message)


@dataclass
class FakeNetwork(PeerNetwork):
    """Network of one router."""

    hub: FakeHub
    member: MemberState
    handlers: dict[type, list[Handler]] = field(default_factory=dict)

    def subscribe(self, cls: type, handler: Handler) -> None:
        """Call a handler for each received message of a class."""
        self.handlers.setdefault(cls, []).append(handler)

    def send(self, peer: InstanceId, message: Message) -> bool:
        """Send a message to one router."""
        return self.hub.transmit(self.member.instance, peer, message)

    def broadcast(self, message: Message) -> int:
        """Send a message to all other routers."""
        others = [name for name in self.hub.networks if name != self.member.instance]
        return sum(self.send(InstanceId(name), message) for name in others)

    @property
    def own(self) -> InstanceId:
        """Name of this router."""
        return self.member.instance

    def members(self) -> Sequence[MemberState]:
        """Return the routers that are not dead."""
        return [
            network.member
            for name, network in self.hub.networks.items()
            if name not in self.hub.dead
        ]
