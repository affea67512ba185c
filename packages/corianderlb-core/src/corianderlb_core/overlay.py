"""Choose which routers to keep a link to, so that few links join all of them.

A full mesh of 410 routers would cost each of them 409 heartbeats a second. Here each
router keeps half of its links itself and the others are kept towards it: the next
router on a ring of its availability zone, the next on a ring of all, and some picked by
hash from other zones. The rings join every router as long as members agree about who
lives; the picks keep paths short, and link zones and regions many times over.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .identity import InstanceId
from .message import MemberState
from .rendezvous import rank, weight

_RING: bytes = b"ring"


def choose_links(
    own: MemberState, others: Iterable[MemberState], n_peers: int
) -> list[InstanceId]:
    """Return the routers that this one keeps a link to, the most needed first.

    With no more than ``n_peers`` others that is all of them.
    """
    others = sorted(others, key=lambda member: member.instance)
    if len(others) <= n_peers:
        return [member.instance for member in others]
    own_zone = [member for member in others if member.zone == own.zone]
    elsewhere = [member for member in others if member.zone != own.zone]
    chosen: list[InstanceId] = []
    for group in (own_zone, others):
        _add(chosen, _next_on_ring(own.instance, group))
    n_wanted = max(len(chosen) + 1, n_peers // 2)
    picks = rank(own.instance.encode(), [m.instance for m in elsewhere or others])
    for name in picks:
        if len(chosen) >= n_wanted:
            break
        _add(chosen, InstanceId(name))
    return chosen


def _next_on_ring(own: InstanceId, members: Sequence[MemberState]) -> InstanceId | None:
    """Return the member that follows this one in the order of hashes."""
    if not members:
        return None
    place = weight(_RING, own)
    ring = sorted((weight(_RING, m.instance), m.instance) for m in members)
    following = [name for at, name in ring if at > place]
    return following[0] if following else ring[0][1]


def _add(chosen: list[InstanceId], name: InstanceId | None) -> None:
    if name is not None and name not in chosen:
        chosen.append(name)
