"""Hold the open links of a router, one to each peer."""

from __future__ import annotations

from collections.abc import Iterator

from corianderlb_core.identity import InstanceId

from ._peer_connection import PeerConnection


class LinkTable:
    """Map each linked router to its one connection."""

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._connections: dict[InstanceId, PeerConnection] = {}

    def __contains__(self, peer: InstanceId) -> bool:
        return peer in self._connections

    def __iter__(self) -> Iterator[PeerConnection]:
        return iter(list(self._connections.values()))

    def __len__(self) -> int:
        return len(self._connections)

    def names(self) -> tuple[InstanceId, ...]:
        """Return the linked routers."""
        return tuple(self._connections)

    def get(self, peer: InstanceId) -> PeerConnection | None:
        """Return the connection to a router, or None."""
        return self._connections.get(peer)

    def add(self, conn: PeerConnection) -> bool:
        """Put a new link in the place of an older one to the same router, or refuse.

        When both routers dial at once there are two links, and each side must give up
        the same one: the link of the router with the lower name stays. A link of a
        newer life, or a second one from the same side, means that the first is dead.
        """
        name = conn.peer.instance
        held = self._connections.get(name)
        if held is not None:
            if conn.peer.epoch < held.peer.epoch:
                return False
            same_life = conn.peer.epoch == held.peer.epoch
            crossed = same_life and conn.dialled is not held.dialled
            mine_stays = self._own < name
            if crossed and conn.dialled is not mine_stays:
                return False
            held.close()
        self._connections[name] = conn
        return True

    def remove(self, conn: PeerConnection) -> bool:
        """Take a link out; return False when another one has its place by now."""
        if self._connections.get(conn.peer.instance) is not conn:
            return False
        del self._connections[conn.peer.instance]
        return True
