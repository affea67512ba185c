"""Gossip between routers about upstream loads, incarnations and hot prefixes.

Each router sends its peers a vector of all loads that it has read or received, with
their ages, and merges newer ones from their vectors. A new incarnation is announced at
once, and forwarded once by each router that learns of it.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Final

import trio

from corianderlb_core import load_vector
from corianderlb_core.hot_prefix import HotPrefix, pack_hot, unpack_hot
from corianderlb_core.identity import InstanceId
from corianderlb_core.load import LoadReport
from corianderlb_core.load_vector import LoadSample
from corianderlb_core.message import HotPrefixes, LoadVector, UpstreamRestarted
from corianderlb_core.placement import PlacementPolicy
from corianderlb_core.settings import PlacementSettings

from .interface import PeerNetwork, UpstreamInstance
from .upstream_directory import PlatformDirectory

MAX_HOT_PREFIXES: Final = 16
"""Maximum number of hot prefixes per upstream in a message."""

HOT_RESEND_S: Final = 10.0
"""Seconds after which unchanged hot prefixes are sent again."""

MESSAGE_OVERHEAD_BYTES: Final = 60
"""Approximate size of a message without its entries."""

JITTER: Final = 0.2
"""Largest relative deviation of an interval from its mean."""

MIN_NEWER_S: Final = 0.05
"""A received report must be newer by this much, since ages are rounded."""


class LoadGossip:
    """Exchanges loads, incarnations and hot prefixes with the peers."""

    def __init__(
        self,
        region: str,
        directory: PlatformDirectory,
        peers: PeerNetwork,
        policy: PlacementPolicy,
        cfg: PlacementSettings,
        rng: random.Random,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._region = region
        self._directory = directory
        self._peers = peers
        self._policy = policy
        self._cfg = cfg
        self._rng = rng
        self._clock = clock
        self._hot_sent: dict[str, tuple[float, dict[bytes, int]]] = {}
        self.n_bytes = 0
        """Bytes of vectors and hot prefixes sent to all peers."""
        self.n_unfit = 0
        """Vectors received that are based on another list of instances."""
        peers.subscribe(LoadVector, self.on_load_vector)
        peers.subscribe(HotPrefixes, self.on_hot_prefixes)
        peers.subscribe(UpstreamRestarted, self.on_upstream_restarted)

    async def run(self) -> None:
        """Send to the peers at intervals until cancelled."""
        while True:
            n_bytes = self.send()
            budgeted_s = n_bytes / self._cfg.gossip_budget
            interval_s = max(self._cfg.gossip_min_s, budgeted_s)
            await trio.sleep(interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def send(self) -> int:
        """Send loads and hot prefixes to the peers; return the bytes sent."""
        instances = self._directory.in_region(self._region)
        n_bytes = 0
        if instances:
            packed = load_vector.pack([self._sample(found) for found in instances])
            message = LoadVector(_digest(instances), packed)
            n_bytes += self._peers.broadcast(message) * (
                len(packed) + MESSAGE_OVERHEAD_BYTES
            )
        for upstream in {found.upstream for found in instances}:
            n_bytes += self._send_hot_prefixes(upstream)
        self.n_bytes += n_bytes
        return n_bytes

    async def on_load_vector(self, sender: InstanceId, message: LoadVector) -> None:
        """Merge those reports of a peer that are newer than the local ones."""
        instances = self._directory.in_region(self._region)
        samples = load_vector.unpack(message.packed, len(instances))
        if samples is None or message.digest != _digest(instances):
            # The two routers have different revisions of the platform's list.
            self.n_unfit += 1
            return
        for found, sample in zip(instances, samples, strict=True):
            if sample is not None:
                self._merge_sample(found, sample, len(instances))

    async def on_hot_prefixes(self, sender: InstanceId, message: HotPrefixes) -> None:
        """Merge the hot prefixes of a peer."""
        hot = unpack_hot(message.packed)
        self._policy.merge_hot(message.upstream, hot, self._clock())

    async def on_upstream_restarted(
        self, sender: InstanceId, message: UpstreamRestarted
    ) -> None:
        """Discard the state of an older incarnation; the directory forwards this."""
        self._directory.observe_epoch(message.instance, message.epoch)

    def _sample(self, found: UpstreamInstance) -> LoadSample | None:
        if found.report is None:
            return None
        report = found.report
        n_outstanding = report.n_running + report.n_queued
        age_s = self._clock() - found.reported_at
        return LoadSample(found.epoch, report.queued_prefill_s, n_outstanding, age_s)

    def _merge_sample(
        self, found: UpstreamInstance, sample: LoadSample, n_instances: int
    ) -> None:
        made_at = self._clock() - sample.age_s
        if found.report is not None and made_at < found.reported_at + MIN_NEWER_S:
            return
        detailed = load_vector.is_detailed(n_instances)
        known_mark = load_vector.epoch_low_bits(found.epoch, detailed)
        if found.epoch and known_mark != sample.epoch_low_bits:
            # The sample is of another incarnation: only one of the two routers had
            # learned of the new one when the vector was sent or received.
            return
        report = dataclasses.replace(
            found.report or LoadReport(found.epoch),
            n_running=sample.n_outstanding,
            n_queued=0,
            queued_prefill_s=sample.wait_s,
        )
        self._directory.apply_report(found.instance, report, made_at)

    def _send_hot_prefixes(self, upstream: str) -> int:
        now = self._clock()
        hot = self._policy.hottest(upstream, MAX_HOT_PREFIXES, now)
        if not hot or not self._is_due(upstream, hot, now):
            return 0
        packed = pack_hot(hot)
        n_peers = self._peers.broadcast(HotPrefixes(upstream, packed))
        return n_peers * (len(packed) + MESSAGE_OVERHEAD_BYTES)

    def _is_due(self, upstream: str, hot: tuple[HotPrefix, ...], now: float) -> bool:
        widths = {item.short_key: item.width for item in hot}
        sent_at, sent = self._hot_sent.get(upstream, (now - HOT_RESEND_S, {}))
        known = all(sent.get(key) == width for key, width in widths.items())
        if known and now < sent_at + HOT_RESEND_S:
            return False
        self._hot_sent[upstream] = (now, widths)
        return True


def _digest(instances: list[UpstreamInstance]) -> int:
    return load_vector.digest_names(found.instance for found in instances)
