"""Exposes the counters of a router's components in its metrics and status."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable, Sequence

from corianderlb_core.admission import GateCounts
from corianderlb_core.data_class import dataclass
from corianderlb_core.status import CounterStatus

from ._journal_shard import ShardCounts
from .call_journal import StoreCallJournal
from .catalogue_follower import CatalogueFollower
from .catalogue_reader import CatalogueReader
from .connection_guard import ConnectionGuard
from .exchange_registry import ExchangeRegistry
from .fleet_quarantine import FleetQuarantine
from .http_store import HttpObjectStore
from .kv_importer import KvImporter
from .limiter import Limiter
from .load_gossip import LoadGossip
from .metric import CounterGroup, Gauge, Metrics
from .peer_network import OverlayNetwork
from .upstream_reader import UpstreamReader


@dataclass(frozen=True)
class NodeCounters:
    """Components whose counters are read for metrics and status."""

    store: HttpObjectStore
    peers: OverlayNetwork
    guard: ConnectionGuard
    exchanges: ExchangeRegistry
    catalogue: CatalogueFollower
    reader: CatalogueReader
    quarantine: FleetQuarantine
    journal: StoreCallJournal
    limiter: Limiter
    loads: UpstreamReader
    gossip: LoadGossip
    importer: KvImporter

    def watch(self, metrics: Metrics) -> None:
        """Register the counters and gauges to be read at each scrape."""
        for counter_group, read in self._counter_groups().items():
            metrics.watch_counters(counter_group, read)
        metrics.watch_gauge(Gauge.WAITING, self._n_waiting)
        metrics.watch_gauge(Gauge.CATALOGUE_VERSION, self._version)
        metrics.watch_gauge(Gauge.IN_FLIGHT, lambda: len(self.exchanges))
        metrics.watch_gauge(Gauge.PEERS, lambda: len(self.peers.linked()))
        metrics.watch_gauge(Gauge.QUARANTINED, lambda: len(self.quarantine.status()))

    def status(self) -> tuple[CounterStatus, ...]:
        """Return all counters, for ``corianderctl status``."""
        return tuple(
            CounterStatus(f"{counter_group.name.lower()}.{kind}", value)
            for counter_group, read in self._counter_groups().items()
            for kind, value in sorted(read().items())
        )

    def _counter_groups(self) -> dict[CounterGroup, Callable[[], dict[str, float]]]:
        """Return the function that reads each group of counters."""
        return {
            CounterGroup.STORE_CALLS: self.store_calls,
            CounterGroup.STORE_FAILURES: self.store_failures,
            CounterGroup.PEERS: self.peer_counts,
            CounterGroup.CONNECTIONS: lambda: self.guard.n_failed,
            CounterGroup.CATALOGUE: self.catalogue_counts,
            CounterGroup.JOURNAL: self.journal_counts,
            CounterGroup.ADMISSION: self.admission_counts,
            CounterGroup.PLACEMENT: self.placement_counts,
        }

    def store_calls(self) -> dict[str, float]:
        """Return the number of calls to the store, by kind."""
        return {kind.value: float(n) for kind, n in self.store.n_calls.items()}

    def store_failures(self) -> dict[str, float]:
        """Return the number of failed calls to the store, by kind."""
        return {kind.value: float(n) for kind, n in self.store.n_failed.items()}

    def peer_counts(self) -> dict[str, float]:
        """Return the traffic counters of the links to other routers."""
        counted = dataclasses.asdict(self.peers.counters)
        return {name.removeprefix("n_"): float(n) for name, n in counted.items()}

    def catalogue_counts(self) -> dict[str, float]:
        """Return the counters of catalogue updates and reads."""
        counted = dataclasses.asdict(self.catalogue.counters)
        counted |= dataclasses.asdict(self.reader.counters)
        return {name.removeprefix("n_"): float(n) for name, n in counted.items()}

    def journal_counts(self) -> dict[str, float]:
        """Return the call journal's counters, summed over its shards."""
        return _summed([shard.counts for shard in self.journal.shards])

    def placement_counts(self) -> dict[str, float]:
        """Return the counters of load reads, load gossip and cache imports."""
        return {
            "load_reads": float(self.loads.n_reads),
            "load_read_failures": float(self.loads.n_failures),
            "load_read_bytes": float(self.loads.n_bytes),
            "gossip_bytes": float(self.gossip.n_bytes),
            "vectors_of_another_list": float(self.gossip.n_unfit),
            "import_orders": float(self.importer.n_orders),
            "imported_pieces": float(self.importer.n_imported),
            "import_orders_late": float(self.importer.n_late),
        }

    def admission_counts(self) -> dict[str, float]:
        """Return the admission counters, summed over the gates of all upstreams."""
        return _summed([gate.counts for gate in self.limiter.gates.values()])

    def _n_waiting(self) -> float:
        return float(sum(account.n_waiting for account in self.limiter.accounts()))

    def _version(self) -> float:
        in_force = self.catalogue.current()
        return float(in_force.catalogue.version) if in_force else 0.0


def _summed(counts: Sequence[ShardCounts | GateCounts]) -> dict[str, float]:
    """Return the sums of several counters of one class, by field."""
    total: Counter[str] = Counter()
    for one in counts:
        total.update(dataclasses.asdict(one))
    return {name.removeprefix("n_"): float(n) for name, n in total.items()}
