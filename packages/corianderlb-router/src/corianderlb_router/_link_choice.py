"""Choice of the links that a router opens, and of those that it no longer needs."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Final

from corianderlb_core.identity import InstanceId
from corianderlb_core.membership import Membership
from corianderlb_core.message import LinkClosing, MemberState, level_of
from corianderlb_core.overlay import choose_links

from ._link_table import LinkTable
from ._peer_connection import PeerConnection

SURPLUS_AFTER_S: Final = 4.0
"""Age of a link, and time without changes of the membership, after which a link that
this router would no longer open is closed."""


class LinkChoice:
    """Compares the links of a router with those that it would open now."""

    def __init__(self, membership: Membership, links: LinkTable, n_peers: int) -> None:
        self._membership = membership
        self._links = links
        self._n_peers = n_peers
        self._chosen: Sequence[InstanceId] = ()
        self._chosen_at_version = -1
        self._chosen_since = -math.inf

    def missing(self, now: float) -> list[MemberState]:
        """Return the routers chosen for a link that are not linked yet."""
        self._update(now)
        names = [name for name in self._chosen if name not in self._links]
        states = [self._membership.state_of(name) for name in names]
        return [state for state in states if state is not None and state.peer_address]

    def surplus(self, now: float) -> PeerConnection | None:
        """Return a link to close that was opened while fewer routers were known.

        Only the side that opened it may close it, and only while the membership is
        stable. A peer that has chosen this router for a link opens a new one.
        """
        self._update(now)
        if now - self._chosen_since < SURPLUS_AFTER_S:
            return None
        for conn in self._links:
            if (
                conn.dialled
                and conn.peer.level >= level_of(LinkClosing())
                and conn.peer.instance not in self._chosen
                and now - conn.opened_at >= SURPLUS_AFTER_S
            ):
                return conn
        return None

    def _update(self, now: float) -> None:
        member = self._membership
        if self._chosen_at_version != member.version:
            self._chosen_at_version = member.version
            self._chosen_since = now
            self._chosen = choose_links(member.own, member.candidates(), self._n_peers)
