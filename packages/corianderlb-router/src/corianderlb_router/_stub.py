"""Parts that do nothing, for a router whose shared parts are not composed yet."""

from __future__ import annotations

from collections.abc import Sequence

from corianderlb_core.identity import InstanceId
from corianderlb_core.message import MemberState, Message

from .interface import (
    Handler,
    PeerNetwork,
)


class LonePeers(PeerNetwork):
    """Stand for the network of a router without peers."""

    def subscribe(self, cls: type, handler: Handler) -> None:
        """Do nothing: no message ever arrives."""

    def send(self, peer: InstanceId, message: Message) -> bool:
        """Return False."""
        return False

    def broadcast(self, message: Message) -> int:
        """Return 0."""
        return 0

    def members(self) -> Sequence[MemberState]:
        """Return nobody."""
        return ()
