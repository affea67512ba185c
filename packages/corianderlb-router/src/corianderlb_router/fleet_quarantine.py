"""Fleet-wide quarantine, replicated between routers by crash reports."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

import eliot
import trio

from corianderlb_core.identity import Incarnation, InstanceId, RequestId
from corianderlb_core.message import CrashReport, SuspectCleared, SuspectPart
from corianderlb_core.quarantine import (
    DEFAULT_QUARANTINE_S,
    PROBE_RETRY_S,
    Conviction,
    SuspectTable,
)
from corianderlb_core.rendezvous import rank
from corianderlb_core.request import Refusal, RequestFacts
from corianderlb_core.result import ResultCode

from .interface import PeerNetwork, Quarantine

if TYPE_CHECKING:
    from corianderlb_core.status import QuarantineStatus

MAX_SUSPECTS_PER_REPORT: Final = 512
"""Maximum number of digests in one message; further ones go into more messages."""


class FleetQuarantine(Quarantine):
    """Suspect requests of the fleet, from local crash reports and those of peers."""

    def __init__(
        self, peers: PeerNetwork, hold_s: float = DEFAULT_QUARANTINE_S
    ) -> None:
        self._peers = peers
        self._table = SuspectTable(hold_s)
        self.n_crashes = 0
        """Crashes reported by this router."""
        peers.subscribe(CrashReport, self.on_crash_report)
        peers.subscribe(SuspectCleared, self.on_suspect_cleared)

    def check(self, facts: RequestFacts) -> Refusal | None:
        """Return a refusal if the request crashed too many upstream instances."""
        return self.refusal(facts.body_digest)

    def refusal(self, body_digest: bytes) -> Refusal | None:
        """Return a refusal for a request with this digest, or None."""
        remaining_s = self._table.refused_for(body_digest, trio.current_time())
        if not remaining_s:
            return None
        detail = "Upstream instances crashed while they ran this request."
        return Refusal(ResultCode.QUARANTINED, detail, remaining_s)

    def part_refusal(self, parts: Sequence[bytes]) -> Refusal | None:
        """Return a refusal for a request with a prompt part in quarantine, or None."""
        remaining_s = self._table.parts_refused_for(parts, trio.current_time())
        if not remaining_s:
            return None
        detail = "Upstream instances crashed while they ran requests with this prompt."
        return Refusal(ResultCode.QUARANTINED, detail, remaining_s)

    def admit(self, body_digest: bytes, parts: Sequence[bytes]) -> Refusal | None:
        """Return a refusal for a new request, or None.

        When the quarantine of a prompt part is over, one router lets a single request
        through. How that ends clears the part, or quarantines it for longer.
        """
        refusal = self.refusal(body_digest) or self.part_refusal(parts)
        to_probe = self._table.to_probe(parts)
        if refusal is not None or not to_probe:
            return refusal
        is_prober = all(map(self._is_prober, to_probe))
        if is_prober and self._table.begin_probe(to_probe, trio.current_time()):
            return None
        detail = "Another request shows first whether this prompt is still a danger."
        return Refusal(ResultCode.QUARANTINED, detail, PROBE_RETRY_S)

    def _is_prober(self, digest: bytes) -> bool:
        names = {member.instance for member in self._peers.members()}
        names.add(self._peers.own)
        return rank(digest, sorted(names))[0] == self._peers.own

    def must_run_alone(self, facts: RequestFacts) -> bool:
        """Return whether the request is a suspect that must not share an instance."""
        return self._table.is_suspect(facts.body_digest, trio.current_time())

    def rank(self, facts: RequestFacts) -> int:
        """Return the rank of a suspect among all, which is the same on all routers."""
        return self._table.rank(facts.body_digest)

    def report_crash(
        self,
        instance: InstanceId,
        epoch: int,
        suspects: Sequence[bytes],
        parts: Sequence[SuspectPart] = (),
    ) -> None:
        """Record a crash against the requests that were in flight, and report it."""
        crash_id = str(Incarnation(instance, epoch))
        self.n_crashes += 1
        now = trio.current_time()
        suspects = [item for item in suspects if not self._table.is_proven(item, now)]
        step = MAX_SUSPECTS_PER_REPORT
        n_reports = max(1, math.ceil(max(len(suspects), len(parts)) / step))
        for start in range(0, n_reports * step, step):
            report = CrashReport(
                crash_id,
                tuple(suspects[start : start + step]),
                reporter=self._peers.own,
                parts=tuple(parts[start : start + step]),
            )
            if self._record_crash(report):
                self._peers.broadcast(report)

    def report_success(self, request_id: RequestId, body_digest: bytes) -> None:
        """Clear a suspect after its run completed."""
        self.clear(body_digest)

    def clear(self, body_digest: bytes, parts: Sequence[bytes] = ()) -> None:
        """Clear a request and its prompt parts after its run completed.

        The peers are told of suspects.
        """
        now = trio.current_time()
        cleared = [body_digest] if self._table.record_success(body_digest, now) else []
        cleared += [part for part in parts if self._table.clear(part, now)]
        for digest in cleared:
            self._peers.broadcast(SuspectCleared(digest))

    def convictions(self) -> tuple[Conviction, ...]:
        """Return what is in quarantine."""
        return self._table.convictions(trio.current_time())

    def restore(self, conviction: Conviction) -> None:
        """Quarantine again what was in quarantine before a restart."""
        self._table.restore(conviction, trio.current_time())

    async def on_crash_report(self, sender: InstanceId, message: CrashReport) -> None:
        """Record a crash that a peer reports; forward it unless it was known."""
        if self._record_crash(message):
            self._peers.broadcast(message)

    async def on_suspect_cleared(
        self, sender: InstanceId, message: SuspectCleared
    ) -> None:
        """Clear a suspect that a peer has cleared; forward that unless it was known."""
        if self._table.clear(message.body_digest, trio.current_time()):
            self._peers.broadcast(message)

    def status(self) -> tuple[QuarantineStatus, ...]:
        """Return the suspects for the status report."""
        # Loaded here since only operators' queries need it, not the start.
        from corianderlb_core.status import QuarantineStatus

        return tuple(
            QuarantineStatus(entry.body_digest, len(entry.crashes), entry.refused_for_s)
            for entry in self._table.entries(trio.current_time())
        )

    def _record_crash(self, report: CrashReport) -> bool:
        """Count a crash; return whether the report says something new."""
        at = trio.current_time() - report.age_s
        added = self._table.record_crash(report.crash_id, report.suspects, at)
        parts = self._table.record_part_crash(
            report.crash_id, report.reporter, report.parts, at
        )
        if added or parts:
            eliot.log_message(
                message_type="quarantine:crash",
                crash=report.crash_id,
                n_suspects=len(added),
                parts=[part.hex()[:8] for part in parts],
                reporter=report.reporter,
            )
        return bool(added or parts)
