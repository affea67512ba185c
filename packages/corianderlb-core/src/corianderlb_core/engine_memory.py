"""How much all routers together may hold in the memory of one engine.

An engine crashes if the requests that it holds exceed its memory, whichever router sent
them, and no router knows what the others send at this moment. So the memory has two
parts:

- The *reserve* is divided into a few units, each owned by a router that rendezvous
  hashing ranks among the first for the engine. An owner may fill its unit without
  having heard from anybody, so a router that is cut off still has some engines.
- The *common* part is filled by all, each router counting its own requests, what the
  others reported, and what they may have sent since. A router counts on no more of it
  than the share of the routers that it hears, so that two halves of a fleet fill all of
  it at most.

For example, of an engine with room for 100,000 tokens, one of its owners that hears no
other may hold 8,750, and two halves of the fleet at most 27,500 each besides the units
of their owners.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Final

from .data_class import dataclass
from .decayed_rate import DecayedRate
from .prefill_estimate import PeerWork
from .rendezvous import rank

COMMON_SHARE: Final = 0.55
"""Share of an engine's memory that all routers fill together."""

RESERVED_SHARE: Final = 0.35
"""Share of an engine's memory that its owners may fill without hearing others. What is
left is for the tokens that runs generate, and for owners that differ for a moment while
a change of the fleet spreads."""

N_UNITS: Final = 4
"""Owners of an engine: few, so that a unit holds a large request, and enough that a
router that is cut off owns a unit somewhere."""

UNSEEN_FACTOR: Final = 3.0
"""How much faster than a mean engine one may get requests. Also covers tokens that were
cached, which take memory and are not among those to prefill."""

OWN_WINDOW_S: Final = 0.5
"""Time constant over which this router averages what it sends: some requests."""

MAX_SAMPLED: Final = 18
"""Routers for which the own traffic may stand. The more there are, the fewer requests
it has of all, and the more it varies against them."""

N_TRIED: Final = 6
"""Engines that a request tries for room in the common part. If it tried all, the
requests of all routers would meet at the one that late reports show as empty."""

MAX_SILENT_S: Final = 1.0
"""Longest time without any report that adds to what may have been sent. Routers that
are silent for longer count as not heard, and routers without work send no reports."""

LATE_WEIGHT: Final = 0.1
"""Weight of one report in how late they are."""

MIN_REPORT_INTERVAL_S: Final = 0.25
REPORT_INTERVAL_PER_PEER_S: Final = 0.0125
"""Upper bounds of the mean time between two reports of a router on its work."""


def report_interval_s(n_routers: int) -> float:
    """Return an upper bound of the mean time between two reports of a router."""
    return max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_PEER_S * (n_routers - 1))


@dataclass(frozen=True)
class FleetKnowledge:
    """What a router knows of the fleet."""

    router: str
    routers: tuple[str, ...]
    """All routers that may be running, this one included."""
    heard_share: float
    """Share of the others that are heard."""


@dataclass(frozen=True)
class PeersHeld:
    """What the other routers hold at an engine by their recent reports."""

    n_tokens: float = 0.0
    n_requests: int = 0


def peers_held(works: Iterable[PeerWork], now: float, ttl_s: float) -> PeersHeld:
    """Return the sums of the reports that arrived in the last ``ttl_s``."""
    n_tokens, n_requests = 0.0, 0
    for work in works:
        if now - work.at < ttl_s:
            n_tokens += work.n_held
            n_requests += work.n_requests
    return PeersHeld(n_tokens, n_requests)


@dataclass(frozen=True)
class EngineHeld:
    """What an engine holds as far as one router knows, in tokens of its memory."""

    capacity: float
    n_own: int
    n_own_requests: int
    peers: PeersHeld
    n_busy: int | None
    """Running and waiting requests that the engine reported lately; None if unknown."""
    n_unseen: float
    """Tokens that may have been sent to it since the reports."""

    def n_known(self, n_asked: int) -> float:
        """Return the tokens that it is known to hold.

        Requests beyond those that routers reported count as of mean size; without any
        they count like the one that asks.
        """
        n_tokens = self.n_own + self.peers.n_tokens
        n_requests = self.n_own_requests + self.peers.n_requests
        n_more = max(0, (self.n_busy or 0) - n_requests)
        return n_tokens + n_more * (n_tokens / n_requests if n_requests else n_asked)


def owned_share(engine: str, router: str, routers: Collection[str]) -> float:
    """Return the share of an engine's memory that a router may fill unheard."""
    n_owners = min(N_UNITS, len(routers))
    if router not in rank(engine.encode(), routers)[:n_owners]:
        return 0.0
    return RESERVED_SHARE / n_owners


class EngineMemoryBound:
    """Decides at one router whether an engine has memory for one more request."""

    def __init__(self) -> None:
        self._routers: tuple[str, ...] = ()
        self._shares: dict[str, float] = {}
        """By engine: the share of its memory that this router owns."""
        self._own = DecayedRate(OWN_WINDOW_S)
        """Tokens of engine memory that this router takes."""
        self._late_s = 0.0
        """How late reports arrive at present."""
        self._heard_at: float | None = None
        """When a report of any router last arrived."""

    def sent(self, n_tokens: int, now: float) -> None:
        """Record a request that takes memory of an engine."""
        self._own.add(n_tokens, now)

    def heard(self, late_s: float, now: float) -> None:
        """Record how much later a report arrived than the earliest of its sender."""
        self._heard_at = now
        self._late_s += LATE_WEIGHT * (late_s - self._late_s)

    def n_unseen(
        self, fleet_per_s: float, n_routers: int, n_engines: int, now: float
    ) -> float:
        """Return the tokens that an engine may have been sent since the last reports.

        ``fleet_per_s`` is what these tell of all engines. A surge shows in the own
        traffic first, which is a small sample.
        """
        sampled_per_s = self._own.per_s(now) * min(MAX_SAMPLED, n_routers)
        per_s = max(fleet_per_s, sampled_per_s) / max(1, n_engines)
        heard_at = now if self._heard_at is None else self._heard_at
        silent_s = min(MAX_SILENT_S, now - heard_at)
        silent_s += report_interval_s(n_routers) + self._late_s
        return UNSEEN_FACTOR * per_s * silent_s

    def owns_room(
        self, engine: str, held: EngineHeld, n_asked: int, fleet: FleetKnowledge
    ) -> bool:
        """Return whether the own unit of an engine has room for a request."""
        n_owned = self._owned_share(engine, fleet) * held.capacity
        return held.n_own + n_asked <= n_owned

    def has_room(
        self, engine: str, held: EngineHeld, n_asked: int, fleet: FleetKnowledge
    ) -> bool:
        """Return whether an engine may be sent a request of ``n_asked`` tokens."""
        if self.owns_room(engine, held, n_asked, fleet):
            return True
        share, n_unseen = COMMON_SHARE, 0.0
        if len(fleet.routers) > 1:
            share, n_unseen = share * fleet.heard_share, held.n_unseen
        limit = (share + self._owned_share(engine, fleet)) * held.capacity
        return held.n_known(n_asked) + n_unseen + n_asked <= limit

    def _owned_share(self, engine: str, fleet: FleetKnowledge) -> float:
        if fleet.routers != self._routers:
            self._routers = fleet.routers
            self._shares.clear()
        if engine not in self._shares:
            self._shares[engine] = owned_share(engine, fleet.router, fleet.routers)
        return self._shares[engine]
