"""Select peers for a sparse overlay network that connects all routers.

In a full mesh, the heartbeats per router would grow with the number of routers: 410
routers would cost each of them 409 a second. Here each router opens about half of its
links and its peers open the rest: to the next router on a ring of its availability
zone, the next on a ring of all routers, and some chosen by hash from other zones. The
rings connect all routers as long as they agree on the live members; the other links
keep paths short and zones and regions redundantly connected.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .identity import InstanceId
from .message import MemberState
from .rendezvous import rank, weight

_RING_KEY: bytes = b"ring"


def choose_links(
    own: MemberState, others: Iterable[MemberState], n_peers: int
) -> list[InstanceId]:
    """Return the routers to which this one opens links, most important first.

    Returns all other routers if there are at most ``n_peers``.
    """
    others = sorted(others, key=lambda member: member.instance)
    if len(others) <= n_peers:
        return [member.instance for member in others]
    own_zone = [member for member in others if member.zone == own.zone]
    elsewhere = [member for member in others if member.zone != own.zone]
    chosen: list[InstanceId] = []
    for group in (own_zone, others):
        _add_unique(chosen, _next_on_ring(own.instance, group))
    n_links = max(len(chosen) + 1, n_peers // 2)
    ranked = rank(own.instance.encode(), [m.instance for m in elsewhere or others])
    for name in ranked:
        if len(chosen) >= n_links:
            break
        _add_unique(chosen, InstanceId(name))
    return chosen


def _next_on_ring(own: InstanceId, members: Sequence[MemberState]) -> InstanceId | None:
    """Return the member that follows this one in hash order, wrapping around."""
    if not members:
        return None
    own_hash = weight(_RING_KEY, own)
    ring = sorted((weight(_RING_KEY, m.instance), m.instance) for m in members)
    following = [name for hash_value, name in ring if hash_value > own_hash]
    return following[0] if following else ring[0][1]


def _add_unique(chosen: list[InstanceId], name: InstanceId | None) -> None:
    if name is not None and name not in chosen:
        chosen.append(name)
