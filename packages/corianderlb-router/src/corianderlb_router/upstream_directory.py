"""Know the instances of the upstreams from the platform's list and from their words.

The list lags, and a process can come back empty under its old address. So everything
known about an instance is kept for one life of it, and a life that was seen leaving
stays leaving, whatever an old list says.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import eliot
import trio

from corianderlb_core.catalogue import ServiceClass
from corianderlb_core.identity import (
    Incarnation,
    InstanceId,
    InstanceRecord,
    Presence,
    Role,
)
from corianderlb_core.instance_load import InstanceLoad, InstanceSet
from corianderlb_core.load import LoadReport
from corianderlb_core.message import UpstreamLeaving, UpstreamRestarted
from corianderlb_core.request import RequestFacts

from .interface import UpstreamDirectory, UpstreamInstance
from .store import InstanceList

MAX_LEAVING: Final = 8192
"""Lives remembered as leaving; the oldest is forgotten first, so memory is bounded."""


def _nothing(news: object) -> None:
    """Take news that nobody asked for."""


@dataclass
class _Known:
    record: InstanceRecord
    load: InstanceLoad
    retired: bool = False


class PlatformDirectory(UpstreamDirectory):
    """Hold the upstream instances of the newest list, each with its newest life.

    ``announce`` is called once for each life that is found leaving here, and for each
    new life that took an old one's place, to spread it;
    ``on_incarnation_ended`` for each life that is over, so that others forget it too.
    """

    def __init__(
        self,
        announce: Callable[[UpstreamLeaving | UpstreamRestarted], object] = _nothing,
        on_incarnation_ended: Callable[[Incarnation], object] = _nothing,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._announce = announce
        self.on_incarnation_ended = on_incarnation_ended
        self._clock = clock
        self._revision = -1
        self._known: dict[InstanceId, _Known] = {}
        self._leaving: OrderedDict[Incarnation, None] = OrderedDict()
        self._sets: dict[str, InstanceSet] = {}
        self._outdated: set[str] = set()
        self._generation = 0

    @property
    def revision(self) -> int:
        """Revision of the newest list that was taken; -1 before the first."""
        return self._revision

    def apply_instance_list(self, listed: InstanceList) -> bool:
        """Take the platform's list; return False for one older than the last."""
        if listed.revision < self._revision:
            return False
        self._revision = listed.revision
        records = {
            record.instance: record
            for record in listed.instances
            if record.role is Role.UPSTREAM
        }
        for instance in [name for name in self._known if name not in records]:
            self.on_incarnation_ended(self._known.pop(instance).load.incarnation)
        for record in records.values():
            self._take_record(record)
        self._changed()
        return True

    def instances(self, upstream: str) -> Sequence[UpstreamInstance]:
        """Return the instances of an upstream, usable or not."""
        return [
            self._view(known)
            for known in self._known.values()
            if known.record.upstream == upstream
        ]

    def find(self, instance: InstanceId) -> UpstreamInstance | None:
        """Return one instance, or None when no list names it."""
        known = self._known.get(instance)
        return self._view(known) if known else None

    def in_region(self, region: str) -> list[UpstreamInstance]:
        """Return the instances of a region, of all upstreams, in order of name."""
        return [
            self._view(known)
            for _, known in sorted(self._known.items())
            if known.record.region == region
        ]

    def usable(self, upstream: str) -> InstanceSet:
        """Return the instances that may get new work, as placement takes them."""
        found = self._sets.get(upstream)
        if found is not None and upstream not in self._outdated:
            return found
        self._outdated.discard(upstream)
        loads = tuple(
            known.load
            for known in self._known.values()
            if known.record.upstream == upstream and self._is_usable(known)
        )
        if found is None or found.instances != loads:
            self._generation += 1
            found = InstanceSet.of(upstream, self._generation, loads)
            self._sets[upstream] = found
        return found

    def shortest_wait_s(self, facts: RequestFacts) -> float:
        """Return the least estimated wait at the instances that could take a request.

        It is 0 for urgent requests: engines serve them before what waits there.
        """
        if facts.service_class is ServiceClass.URGENT:
            return 0.0
        now = self._clock()
        loads = self.usable(facts.upstream).instances
        return min((load.wait_s(now) for load in loads), default=0.0)

    def load_of(self, incarnation: Incarnation) -> InstanceLoad | None:
        """Return the load of one life, or None when a newer one took its place."""
        known = self._known.get(incarnation.instance)
        if known is None or known.load.incarnation != incarnation:
            return None
        return known.load

    def observe_epoch(self, instance: InstanceId, epoch: int) -> None:
        """Take note of the epoch in an answer; a newer one drops the old knowledge."""
        known = self._known.get(instance)
        if known is None or epoch <= known.load.incarnation.epoch:
            return
        ended = known.load.incarnation
        born_at = self._clock() if ended.epoch else -math.inf
        known.load = InstanceLoad(
            Incarnation(instance, epoch), known.record.zone, born_at
        )
        known.retired = False
        if known.record.presence is Presence.LEAVING:
            self._remember_leaving(known.load.incarnation)
        if ended.epoch:
            eliot.log_message(
                message_type="upstream:new_life", instance=instance, epoch=epoch
            )
            self._announce(UpstreamRestarted(instance, epoch))
        self.on_incarnation_ended(ended)
        self._changed()

    def apply_report(
        self, instance: InstanceId, report: LoadReport, made_at: float
    ) -> None:
        """Take a load report that was made at a time on this router's clock."""
        self.observe_epoch(instance, report.epoch)
        known = self._known.get(instance)
        if known is None:
            return
        known.load.apply_report(report, made_at, self._clock())
        if report.leaving:
            self.mark_leaving(instance, report.epoch)

    def mark_leaving(self, instance: InstanceId, epoch: int) -> None:
        """Stop new work to this life of the instance, and tell the peers.

        The life may be one that never answered here: it is known from now on, or it
        would go on as a life without a name and get new work.
        """
        self.observe_epoch(instance, epoch)
        if self._remember_leaving(Incarnation(instance, epoch)):
            self._announce(UpstreamLeaving(instance, epoch))

    async def on_upstream_leaving(
        self, sender: InstanceId, message: UpstreamLeaving
    ) -> None:
        """Take a peer's word that a life is leaving; it is passed on once."""
        self.mark_leaving(message.instance, message.epoch)

    def set_retired(self, instance: InstanceId, retired: bool) -> None:
        """Make an instance unusable after failures, or usable again once proved."""
        known = self._known.get(instance)
        if known is not None and known.retired is not retired:
            known.retired = retired
            self._changed()

    def _take_record(self, record: InstanceRecord) -> None:
        known = self._known.get(record.instance)
        if known is None:
            load = InstanceLoad(Incarnation(record.instance, 0), record.zone)
            known = self._known[record.instance] = _Known(record, load)
        known.record = record
        if record.presence is Presence.LEAVING:
            self._remember_leaving(known.load.incarnation)

    def _remember_leaving(self, incarnation: Incarnation) -> bool:
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        self._changed()
        eliot.log_message(
            message_type="upstream:leaving",
            instance=incarnation.instance,
            epoch=incarnation.epoch,
        )
        return True

    def _is_usable(self, known: _Known) -> bool:
        if known.retired or known.record.presence is Presence.LEAVING:
            return False
        return known.load.incarnation not in self._leaving

    def _changed(self) -> None:
        """Have the sets made anew where the next look finds that they differ."""
        self._outdated.update(self._sets)

    def _view(self, known: _Known) -> UpstreamInstance:
        return UpstreamInstance(
            instance=known.record.instance,
            upstream=known.record.upstream,
            address=known.record.address,
            zone=known.record.zone,
            epoch=known.load.incarnation.epoch,
            usable=self._is_usable(known),
            report=known.load.report,
            reported_at=known.load.reported_at,
        )
