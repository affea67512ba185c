"""Reads load reports from the upstream instances, each by one router of the region.

Rendezvous hashing assigns each instance to one of the region's live routers, so its
reads move to another router when that one leaves. A router without live peers reads all
instances. A byte budget bounds the traffic: the interval grows with their number.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

import httpx
import trio

from corianderlb_core import rendezvous
from corianderlb_core.codec import DecodeError, from_json
from corianderlb_core.identity import InstanceId, Presence
from corianderlb_core.load import LoadReport
from corianderlb_core.settings import PlacementSettings

from .connection import UpstreamError
from .interface import PeerNetwork, UpstreamInstance
from .upstream_client import ExchangeTimeouts, UpstreamClient
from .upstream_directory import PlatformDirectory

LOAD_PATH: Final = "/control/load"
"""HTTP path of an upstream instance's load report."""

READ_TIMEOUTS: Final = ExchangeTimeouts(connect_s=1.0, first_s=1.0)
"""Timeouts of one read."""

BYTES_PER_READ: Final = 600
"""Approximate size of a load request and its answer."""

JITTER: Final = 0.2
"""Largest relative deviation of an interval from its mean."""


class UpstreamReader:
    """Reads load reports of the instances that are assigned to this router."""

    def __init__(
        self,
        own: InstanceId,
        region: str,
        directory: PlatformDirectory,
        peers: PeerNetwork,
        client: UpstreamClient,
        cfg: PlacementSettings,
        rng: random.Random,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._own = own
        self._region = region
        self._directory = directory
        self._peers = peers
        self._client = client
        self._cfg = cfg
        self._rng = rng
        self._clock = clock
        self.n_reads = 0
        """Reports requested."""
        self.n_failures = 0
        """Reads that gave no usable report."""
        self.n_bytes = 0
        """Bytes of report bodies received."""

    async def run(self) -> None:
        """Read the assigned instances at intervals until cancelled."""
        while True:
            assigned_instances = self.assigned_instances()
            await self.read(assigned_instances)
            interval_s = self.interval_s(len(assigned_instances))
            await trio.sleep(interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def assigned_instances(self) -> list[UpstreamInstance]:
        """Return the instances currently assigned to this router."""
        routers = [
            member.instance
            for member in self._peers.members()
            if member.region == self._region and member.presence is Presence.LIVE
        ]
        if self._own not in routers:
            routers.append(self._own)
        return [
            found
            for found in self._directory.in_region(self._region)
            if rendezvous.primary_node(found.instance.encode(), routers) == self._own
        ]

    def interval_s(self, n_instances: int) -> float:
        """Return the seconds between reads of ``n_instances`` instances."""
        budgeted_s = n_instances * BYTES_PER_READ / self._cfg.read_budget
        return max(self._cfg.read_min_s, budgeted_s)

    async def read(self, assigned_instances: Sequence[UpstreamInstance]) -> None:
        """Read each of the instances once, concurrently."""
        async with trio.open_nursery() as nursery:
            for found in assigned_instances:
                nursery.start_soon(self._read_one, found)

    async def _read_one(self, found: UpstreamInstance) -> None:
        created_at = self._clock() - self._cfg.report_lag_s
        self.n_reads += 1
        try:
            response = await self._client.get(found.address, LOAD_PATH, READ_TIMEOUTS)
            self.n_bytes += len(response.content)
            report = from_json(LoadReport, response.content)
        except (UpstreamError, httpx.HTTPError, DecodeError):
            # The last report grows stale. Health is decided by the outcome of attempts,
            # so that a slow load report alone does not retire an instance.
            self.n_failures += 1
            return
        self._directory.apply_report(found.instance, report, created_at)
