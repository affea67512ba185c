"""Spread what routers know of the upstream instances: loads, lives and hot prefixes.

Each router sends its peers a vector of all loads it read or heard, with their ages, and
takes from their vectors what is newer than its own. News of a life go at once and are
passed on by whoever learns them first.
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

N_HOT: Final = 16
"""Hot prefixes of an upstream that are sent at a time."""

HOT_REPEAT_S: Final = 10.0
"""How often hot prefixes are sent although nothing about them changed."""

FRAME_BYTES: Final = 60
"""About what a message takes besides its entries."""

JITTER: Final = 0.2
"""Share by which a wait is shortened or lengthened."""

MIN_NEWER_S: Final = 0.05
"""A heard report must be newer by this: an age is a rounded figure."""


class LoadGossip:
    """Exchange loads, lives and hot prefixes with the peers, until cancelled."""

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
        """Bytes of vectors and hot prefixes sent, over all peers."""
        self.n_unfit = 0
        """Vectors heard over another list of instances."""
        peers.subscribe(LoadVector, self.on_load_vector)
        peers.subscribe(HotPrefixes, self.on_hot_prefixes)
        peers.subscribe(UpstreamRestarted, self.on_upstream_restarted)

    async def run(self) -> None:
        """Send in rounds until cancelled."""
        while True:
            n_bytes = self.send()
            needed_s = n_bytes / self._cfg.gossip_budget
            interval_s = max(self._cfg.gossip_min_s, needed_s)
            await trio.sleep(interval_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def send(self) -> int:
        """Send one round to the peers and return its bytes."""
        instances = self._directory.in_region(self._region)
        n_bytes = 0
        if instances:
            packed = load_vector.pack([self._sample(found) for found in instances])
            message = LoadVector(_digest(instances), packed)
            n_bytes += self._peers.broadcast(message) * (len(packed) + FRAME_BYTES)
        for upstream in {found.upstream for found in instances}:
            n_bytes += self._send_hot(upstream)
        self.n_bytes += n_bytes
        return n_bytes

    async def on_load_vector(self, sender: InstanceId, message: LoadVector) -> None:
        """Take the reports of a peer that are newer than ours."""
        instances = self._directory.in_region(self._region)
        samples = load_vector.unpack(message.packed, len(instances))
        if samples is None or message.digest != _digest(instances):
            # The platform's list has not reached both of us yet.
            self.n_unfit += 1
            return
        for found, sample in zip(instances, samples, strict=True):
            if sample is not None:
                self._take(found, sample, len(instances))

    async def on_hot_prefixes(self, sender: InstanceId, message: HotPrefixes) -> None:
        """Take what a peer found hot."""
        hot = unpack_hot(message.packed)
        self._policy.merge_hot(message.upstream, hot, self._clock())

    async def on_upstream_restarted(
        self, sender: InstanceId, message: UpstreamRestarted
    ) -> None:
        """Drop what belongs to an older life; the directory passes the news on."""
        self._directory.observe_epoch(message.instance, message.epoch)

    def _sample(self, found: UpstreamInstance) -> LoadSample | None:
        if found.report is None:
            return None
        report = found.report
        n_outstanding = report.n_running + report.n_queued
        age_s = self._clock() - found.reported_at
        return LoadSample(found.epoch, report.queued_prefill_s, n_outstanding, age_s)

    def _take(
        self, found: UpstreamInstance, sample: LoadSample, n_instances: int
    ) -> None:
        made_at = self._clock() - sample.age_s
        if found.report is not None and made_at < found.reported_at + MIN_NEWER_S:
            return
        detailed = load_vector.is_detailed(n_instances)
        mark = load_vector.epoch_low_bits(found.epoch, detailed)
        if found.epoch and mark != sample.epoch_low_bits:
            # It is about another life than the one known here, which shows when the
            # news of a new life and the vector crossed.
            return
        report = dataclasses.replace(
            found.report or LoadReport(found.epoch),
            n_running=sample.n_outstanding,
            n_queued=0,
            queued_prefill_s=sample.wait_s,
        )
        self._directory.apply_report(found.instance, report, made_at)

    def _send_hot(self, upstream: str) -> int:
        now = self._clock()
        hot = self._policy.hottest(upstream, N_HOT, now)
        if not hot or not self._is_news(upstream, hot, now):
            return 0
        packed = pack_hot(hot)
        n_peers = self._peers.broadcast(HotPrefixes(upstream, packed))
        return n_peers * (len(packed) + FRAME_BYTES)

    def _is_news(self, upstream: str, hot: tuple[HotPrefix, ...], now: float) -> bool:
        widths = {item.short_key: item.width for item in hot}
        sent_at, sent = self._hot_sent.get(upstream, (now - HOT_REPEAT_S, {}))
        known = all(sent.get(key) == width for key, width in widths.items())
        if known and now < sent_at + HOT_REPEAT_S:
            return False
        self._hot_sent[upstream] = (now, widths)
        return True


def _digest(instances: list[UpstreamInstance]) -> int:
    return load_vector.digest_names(found.instance for found in instances)
