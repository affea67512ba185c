"""Directory of upstream instances, from the platform's list and their own reports.

The list lags, and a process can restart with an empty cache under its old address. All
state of an instance therefore belongs to one incarnation, and an incarnation that is
known to be leaving stays so, even if an outdated list reports it as live.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import (
    Incarnation,
    InstanceId,
    InstanceRecord,
    Presence,
    Role,
)
from corianderlb_core.instance_load import InstanceLoad, InstanceSet
from corianderlb_core.instance_rest import RestTable
from corianderlb_core.load import LoadReport
from corianderlb_core.message import UpstreamLeaving, UpstreamRestarted
from corianderlb_core.part_index import IncarnationKey
from corianderlb_core.request import RequestFacts
from corianderlb_core.service_class import ServiceClass

from .interface import UpstreamDirectory, UpstreamInstance
from .store import InstanceList

MAX_LEAVING: Final = 8192
"""Incarnations remembered as leaving; bounds memory, the oldest is dropped first."""


def _ignore(announced: object) -> None:
    """Ignore an announcement; the default callback."""


@dataclass
class _Entry:
    """State of one listed instance; epoch 0 until its first answer or report."""

    record: InstanceRecord
    load: InstanceLoad
    retired: bool = False


class PlatformDirectory(UpstreamDirectory):
    """Upstream instances of the newest list, each with its newest incarnation.

    ``announce`` is called once for each incarnation that is found to be leaving and for
    each one that replaces an older one. ``on_incarnation_ended`` is called for each
    incarnation that has ended, so that other components drop their state of it.
    """

    def __init__(
        self,
        announce: Callable[[UpstreamLeaving | UpstreamRestarted], object] = _ignore,
        on_incarnation_ended: Callable[[Incarnation], object] = _ignore,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._announce = announce
        self.on_incarnation_ended = on_incarnation_ended
        self._clock = clock
        self._revision = -1
        self._entries: dict[InstanceId, _Entry] = {}
        self._leaving: OrderedDict[Incarnation, None] = OrderedDict()
        self._sets: dict[str, InstanceSet] = {}
        self._stale_sets: set[str] = set()
        self._generation = 0
        self._rests = RestTable()
        self._rest_ends_at = math.inf
        """When the next rest ends; infinite while no instance rests."""

    @property
    def revision(self) -> int:
        """Revision of the newest applied list; -1 before the first."""
        return self._revision

    def apply_instance_list(self, listed: InstanceList) -> bool:
        """Apply the platform's list; return False if it is older than the last one."""
        if listed.revision < self._revision:
            return False
        self._revision = listed.revision
        records = {
            record.instance: record
            for record in listed.instances
            if record.role is Role.UPSTREAM
        }
        for instance in [name for name in self._entries if name not in records]:
            self.on_incarnation_ended(self._entries.pop(instance).load.incarnation)
        for record in records.values():
            self._apply_record(record)
        self._invalidate_sets()
        return True

    def instances(self, upstream: str) -> Sequence[UpstreamInstance]:
        """Return the instances of an upstream, usable or not."""
        return [
            self._instance_of(entry)
            for entry in self._entries.values()
            if entry.record.upstream == upstream
        ]

    def find(self, instance: InstanceId) -> UpstreamInstance | None:
        """Return one instance, or None if the newest list lacks it."""
        entry = self._entries.get(instance)
        return self._instance_of(entry) if entry else None

    def in_region(self, region: str) -> list[UpstreamInstance]:
        """Return the instances of all upstreams in a region, sorted by name."""
        return [
            self._instance_of(entry)
            for _, entry in sorted(self._entries.items())
            if entry.record.region == region
        ]

    def usable(self, upstream: str) -> InstanceSet:
        """Return the instances that may receive new requests, for placement."""
        if self._clock() >= self._rest_ends_at:
            self._update_rests()
        found = self._sets.get(upstream)
        if found is not None and upstream not in self._stale_sets:
            return found
        self._stale_sets.discard(upstream)
        loads = tuple(
            entry.load
            for entry in self._entries.values()
            if entry.record.upstream == upstream and self._is_usable(entry)
        )
        if found is None or found.instances != loads:
            self._generation += 1
            found = InstanceSet.of(upstream, self._generation, loads)
            self._sets[upstream] = found
        return found

    def shortest_wait_s(self, facts: RequestFacts) -> float:
        """Return the shortest estimated wait among the instances usable for a request.

        It is 0 for urgent requests, which engines serve ahead of their queues.
        """
        if facts.service_class is ServiceClass.URGENT:
            return 0.0
        now = self._clock()
        loads = self.usable(facts.upstream).instances
        return min((load.wait_s(now) for load in loads), default=0.0)

    def load_of(self, incarnation: Incarnation) -> InstanceLoad | None:
        """Return the load of an incarnation, or None if it is not the current one."""
        entry = self._entries.get(incarnation.instance)
        if entry is None or entry.load.incarnation != incarnation:
            return None
        return entry.load

    def observe_epoch(self, instance: InstanceId, epoch: int) -> None:
        """Record an epoch from an answer; a newer one discards the old state."""
        entry = self._entries.get(instance)
        if entry is None or epoch <= entry.load.incarnation.epoch:
            return
        previous = entry.load.incarnation
        born_at = self._clock() if previous.epoch else -math.inf
        entry.load = InstanceLoad(
            Incarnation(instance, epoch), entry.record.zone, born_at
        )
        entry.retired = False
        if entry.record.presence is Presence.LEAVING:
            self._remember_leaving(entry.load.incarnation)
        if previous.epoch:
            eliot.log_message(
                message_type="upstream:new_life", instance=instance, epoch=epoch
            )
            self._announce(UpstreamRestarted(instance, epoch))
        self.on_incarnation_ended(previous)
        self._invalidate_sets()

    def apply_report(
        self, instance: InstanceId, report: LoadReport, made_at: float
    ) -> None:
        """Apply a load report created at ``made_at`` on this router's clock."""
        self.observe_epoch(instance, report.epoch)
        entry = self._entries.get(instance)
        if entry is None:
            return
        entry.load.apply_report(report, made_at, self._clock())
        if report.leaving:
            self.mark_leaving(instance, report.epoch)

    def mark_leaving(self, instance: InstanceId, epoch: int) -> None:
        """Stop new requests to this incarnation and announce that to the peers.

        The incarnation may never have answered this router. Its epoch is recorded
        first; otherwise it would stay usable under an unknown epoch.
        """
        self.observe_epoch(instance, epoch)
        if self._remember_leaving(Incarnation(instance, epoch)):
            self._announce(UpstreamLeaving(instance, epoch))

    def record_rest(self, instance: InstanceId, rest_s: float) -> None:
        """Send an instance nothing for the time that its refusal asked for."""
        entry = self._entries.get(instance)
        if entry is None or rest_s <= 0.0:
            return
        self._rests.record(_rest_key(entry), rest_s, self._clock())
        self._update_rests()
        eliot.log_message(
            message_type="upstream:rest",
            instance=instance,
            epoch=entry.load.incarnation.epoch,
            rest_ms=round(rest_s * 1000),
        )

    def rest_left_s(self, upstream: str) -> float:
        """Return when the first of an upstream's resting instances is usable again.

        It is 0 if none of them rests.
        """
        now = self._clock()
        waits = (
            self._rests.wait_s(_rest_key(entry), now)
            for entry in self._entries.values()
            if entry.record.upstream == upstream
        )
        return min((wait_s for wait_s in waits if wait_s > 0.0), default=0.0)

    async def on_upstream_leaving(
        self, sender: InstanceId, message: UpstreamLeaving
    ) -> None:
        """Apply a peer's announcement of a leaving incarnation; forward it once."""
        self.mark_leaving(message.instance, message.epoch)

    def set_retired(self, instance: InstanceId, retired: bool) -> None:
        """Mark an instance unusable after failures, or usable after a passed probe."""
        entry = self._entries.get(instance)
        if entry is not None and entry.retired is not retired:
            entry.retired = retired
            self._invalidate_sets()

    def _apply_record(self, record: InstanceRecord) -> None:
        entry = self._entries.get(record.instance)
        if entry is None:
            load = InstanceLoad(Incarnation(record.instance, 0), record.zone)
            entry = self._entries[record.instance] = _Entry(record, load)
        entry.record = record
        if record.presence is Presence.LEAVING:
            self._remember_leaving(entry.load.incarnation)

    def _remember_leaving(self, incarnation: Incarnation) -> bool:
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        self._invalidate_sets()
        eliot.log_message(
            message_type="upstream:leaving",
            instance=incarnation.instance,
            epoch=incarnation.epoch,
        )
        return True

    def _is_usable(self, entry: _Entry) -> bool:
        if entry.retired or entry.record.presence is Presence.LEAVING:
            return False
        if self._rests.wait_s(_rest_key(entry), self._clock()) > 0.0:
            return False
        return entry.load.incarnation not in self._leaving

    def _update_rests(self) -> None:
        now = self._clock()
        waits = (
            self._rests.wait_s(_rest_key(entry), now)
            for entry in self._entries.values()
        )
        self._rest_ends_at = now + min((s for s in waits if s > 0.0), default=math.inf)
        self._invalidate_sets()

    def _invalidate_sets(self) -> None:
        """Mark all instance sets stale, so that the next read rebuilds them."""
        self._stale_sets.update(self._sets)

    def _instance_of(self, entry: _Entry) -> UpstreamInstance:
        return UpstreamInstance(
            instance=entry.record.instance,
            upstream=entry.record.upstream,
            address=entry.record.address,
            zone=entry.record.zone,
            epoch=entry.load.incarnation.epoch,
            usable=self._is_usable(entry),
            report=entry.load.report,
            reported_at=entry.load.reported_at,
        )


def _rest_key(entry: _Entry) -> IncarnationKey:
    incarnation = entry.load.incarnation
    return (incarnation.instance, incarnation.epoch)
