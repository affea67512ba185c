"""Table of the open links of a router, one per peer."""

from __future__ import annotations

from collections.abc import Iterator

from corianderlb_core.identity import InstanceId

from ._peer_connection import PeerConnection


class LinkTable:
    """Connections by linked router, at most one each."""

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
        """Add a link, replacing an existing one to the same router; False if refused.

        When both routers dial at once there are two links, and both sides must close
        the same one: the link dialled by the router with the lower name stays. A link
        from a newer incarnation, or a second one from the same side, means that the
        existing link is dead.
        """
        name = conn.peer.instance
        current = self._connections.get(name)
        if current is not None:
            if conn.peer.epoch < current.peer.epoch:
                return False
            is_same_incarnation = conn.peer.epoch == current.peer.epoch
            is_crossed = is_same_incarnation and conn.dialled is not current.dialled
            own_dial_wins = self._own < name
            if is_crossed and conn.dialled is not own_dial_wins:
                return False
            current.close()
        self._connections[name] = conn
        return True

    def remove(self, conn: PeerConnection) -> bool:
        """Remove a link; return False if another one has replaced it."""
        if self._connections.get(conn.peer.instance) is not conn:
            return False
        del self._connections[conn.peer.instance]
        return True
