"""State of a router as shown by its administration paths."""

from __future__ import annotations

from collections.abc import Callable

import trio

from corianderlb_core.catalogue import Catalogue, EntryKind
from corianderlb_core.chart import LifeCycle
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import DecisionId
from corianderlb_core.message import MemberState
from corianderlb_core.settings import RouterSettings
from corianderlb_core.status import (
    DecisionReport,
    MemberStatus,
    RouterStatus,
    UpstreamStatus,
)

from .attempt import DataPathParts
from .exchange_registry import ExchangeRegistry
from .fleet_quarantine import FleetQuarantine
from .interface import CatalogueSource, PeerNetwork, UpstreamInstance
from .limiter import Limiter
from .node_metric import NodeCounters
from .order_controller import OrderController

READY_STATES = frozenset({"serving"})
"""States of the router's life cycle in which the balancer may send requests."""


@dataclass(frozen=True)
class AdminView:
    """Read access to the components for the administration paths."""

    settings: RouterSettings
    epoch: int
    cycle: LifeCycle
    catalogue_source: CatalogueSource
    parts: DataPathParts
    quarantine: FleetQuarantine
    limiter: Limiter
    orders: OrderController
    peers: PeerNetwork
    exchanges: ExchangeRegistry
    counters: NodeCounters
    start_drain: Callable[[], None]
    """Starts the shutdown like the first SIGTERM."""

    @property
    def state(self) -> str:
        """The state of the router's life cycle."""
        return self.cycle.state

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send requests here."""
        if self.exchanges.is_terminated or self.catalogue_source.is_stale():
            return False
        return self.cycle.state in READY_STATES

    @property
    def is_draining(self) -> bool:
        """Whether the router is draining."""
        return self.cycle.state == "draining"

    @property
    def catalogue(self) -> Catalogue | None:
        """The catalogue in force, or None before the first."""
        in_force = self.catalogue_source.current()
        return in_force.catalogue if in_force else None

    @property
    def catalogue_version(self) -> int:
        """The catalogue version in force; 0 before the first."""
        catalogue = self.catalogue
        return catalogue.version if catalogue else 0

    def decision(self, decision_id: DecisionId) -> DecisionReport | None:
        """Return a decision, or None if it is no longer stored."""
        return self.parts.decisions.get(decision_id)

    def status(self) -> RouterStatus:
        """Return the status of this router."""
        in_force = self.catalogue_source.current()
        now = trio.current_time()
        return RouterStatus(
            instance=self.settings.instance,
            epoch=self.epoch,
            zone=self.settings.zone,
            region=self.settings.region,
            state=self.state,
            catalogue_version=self.catalogue_version,
            in_force_since=in_force.since if in_force else "",
            confirmed_age_s=now - in_force.confirmed_at if in_force else 0.0,
            n_in_flight=len(self.exchanges),
            members=tuple(_member(known) for known in self.peers.members()),
            upstreams=tuple(self._upstreams(now)),
            quarantine=self.quarantine.status(),
            accounts=tuple(self.limiter.accounts()),
            leases=self.orders.leases(),
            counters=self.counters.status(),
        )

    def _upstreams(self, now: float) -> list[UpstreamStatus]:
        catalogue = self.catalogue
        if catalogue is None:
            return []
        return [
            self._upstream(known, now)
            for entry in catalogue.of_kind(EntryKind.UPSTREAM)
            for known in self.parts.directory.instances(entry.name)
        ]

    def _upstream(self, known: UpstreamInstance, now: float) -> UpstreamStatus:
        return UpstreamStatus(
            instance=known.instance,
            upstream=known.upstream,
            address=known.address,
            zone=known.zone,
            epoch=known.epoch,
            usable=known.usable,
            health=self.parts.health.state(known.instance),
            report=known.report,
            report_age_s=now - known.reported_at if known.report else 0.0,
        )


def _member(known: MemberState) -> MemberStatus:
    return MemberStatus(
        instance=known.instance,
        zone=known.zone,
        presence=known.presence.value,
        catalogue_version=known.catalogue_version,
        in_force_since=known.in_force_since,
    )
