"""Tracks the health of upstream instances and probes retired ones."""

from __future__ import annotations

import random
from typing import Final

import eliot
import httpx
import trio

from corianderlb_core.health import InstanceHealth, Verdict
from corianderlb_core.identity import Incarnation, InstanceId

from .connection import UpstreamError
from .interface import UpstreamDirectory, UpstreamInstance
from .upstream_client import ExchangeTimeouts, UpstreamClient, epoch_of

TICK_S: Final = 0.1
"""Seconds between checks for instances that are due for a probe."""

PROBE_TIMEOUTS: Final = ExchangeTimeouts(connect_s=1.0, first_s=1.0)
"""Timeouts of one probe."""

HEALTH_PATH: Final = "/health"
"""HTTP path of an upstream instance's health check."""


class HealthTracker:
    """Tracks health by the outcome of attempts and retires instances in the directory.

    Health belongs to one incarnation of an instance; a new one starts out healthy.
    """

    def __init__(
        self, directory: UpstreamDirectory, client: UpstreamClient, rng: random.Random
    ) -> None:
        self._directory = directory
        self._client = client
        self._rng = rng
        self._health: dict[InstanceId, tuple[int, InstanceHealth]] = {}
        self._retired: dict[InstanceId, UpstreamInstance] = {}

    def state(self, instance: InstanceId) -> str:
        """Return the name of an instance's health state."""
        known = self._health.get(instance)
        return known[1].state if known else "healthy"

    def has_capacity(self, instance: InstanceId, n_in_flight: int) -> bool:
        """Return whether an instance's health allows one more request."""
        known = self._health.get(instance)
        return known is None or known[1].has_capacity(n_in_flight)

    def succeeded(self, incarnation: Incarnation) -> None:
        """Record a successful attempt."""
        known = self._health.get(incarnation.instance)
        if known is not None and known[0] == incarnation.epoch:
            self._record(incarnation.instance, known[1], Verdict.SUCCESS)

    def failed(self, upstream_instance: UpstreamInstance, verdict: Verdict) -> None:
        """Record an attempt that failed because of the instance."""
        instance, epoch = upstream_instance.instance, upstream_instance.epoch
        known_epoch, health = self._health.get(instance, (epoch, None))
        if known_epoch > epoch:
            return
        if health is None or known_epoch < epoch:
            health = InstanceHealth()
        self._health[instance] = (epoch, health)
        self._record(instance, health, verdict)
        if health.is_retired and instance not in self._retired:
            self._retired[instance] = upstream_instance
            self._directory.set_retired(instance, True)

    async def run(self) -> None:
        """Probe retired instances until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(TICK_S)
                for instance, record in list(self._retired.items()):
                    health = self._health[instance][1]
                    if health.is_probe_due(trio.current_time()):
                        health.record_probe(False, trio.current_time(), self._rng)
                        nursery.start_soon(self._probe, record)

    async def _probe(self, record: UpstreamInstance) -> None:
        """Check the health of a retired instance over a new connection."""
        await self._client.retire(record.address)
        try:
            response = await self._client.get(
                record.address, HEALTH_PATH, PROBE_TIMEOUTS
            )
        except (UpstreamError, httpx.HTTPError):
            return
        if response.is_success and record.instance in self._retired:
            self._restore(record, epoch_of(response))

    def _restore(self, record: UpstreamInstance, epoch: int) -> None:
        """Put a retired instance back in use, with few requests at first."""
        health = self._health[record.instance][1]
        health.record_probe(True, trio.current_time(), self._rng)
        self._health[record.instance] = (epoch or record.epoch, health)
        del self._retired[record.instance]
        self._log(record.instance, health)
        self._directory.observe_epoch(record.instance, epoch)
        self._directory.set_retired(record.instance, False)

    def _record(
        self, instance: InstanceId, health: InstanceHealth, verdict: Verdict
    ) -> None:
        if health.record(verdict, trio.current_time(), self._rng):
            self._log(instance, health)

    def _log(self, instance: InstanceId, health: InstanceHealth) -> None:
        eliot.log_message(
            message_type="upstream:health", instance=instance, state=health.state
        )
