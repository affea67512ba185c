"""Read the load of the upstream instances, each by one router of the region.

The reader of an instance is its rendezvous home among the region's live routers, so
that the reading moves by itself when a router goes. A router that sees no others reads
all. How often is bounded by bytes: with more instances each is read less often.
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
"""Where an upstream instance reports its load."""

READ_PATIENCE: Final = ExchangeTimeouts(connect_s=1.0, first_s=1.0)
"""How long one read may take."""

BYTES_A_READ: Final = 600
"""About what a request for a report and its answer take."""

JITTER: Final = 0.2
"""Share by which a wait is shortened or lengthened."""


class UpstreamReader:
    """Read the loads that this router is the reader of, until cancelled."""

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
        """Reports asked for so far."""
        self.n_failures = 0
        """Reads without a usable report."""
        self.n_bytes = 0
        """Bytes of the reports' bodies."""

    async def run(self) -> None:
        """Read in rounds until cancelled."""
        while True:
            share = self.share()
            await self.read(share)
            interval_s = self.interval_s(len(share))
            await trio.sleep(interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def share(self) -> list[UpstreamInstance]:
        """Return the instances that this router reads now."""
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
        """Return the seconds between rounds over so many instances."""
        needed_s = n_instances * BYTES_A_READ / self._cfg.read_budget
        return max(self._cfg.read_min_s, needed_s)

    async def read(self, share: Sequence[UpstreamInstance]) -> None:
        """Read each instance once, all at the same time."""
        async with trio.open_nursery() as nursery:
            for found in share:
                nursery.start_soon(self._read_one, found)

    async def _read_one(self, found: UpstreamInstance) -> None:
        made_at = self._clock() - self._cfg.report_lag_s
        self.n_reads += 1
        try:
            response = await self._client.get(found.address, LOAD_PATH, READ_PATIENCE)
            self.n_bytes += len(response.content)
            report = from_json(LoadReport, response.content)
        except (UpstreamError, httpx.HTTPError, DecodeError):
            # The old report ages; whether the instance is fit to serve is judged by
            # how attempts go, so that a slow report alone retires nobody.
            self.n_failures += 1
            return
        self._directory.apply_report(found.instance, report, made_at)
