"""Fleet-wide quarantine, replicated between routers by crash reports."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

import eliot
import trio

from corianderlb_core.identity import Incarnation, InstanceId, RequestId
from corianderlb_core.message import CrashReport, SuspectCleared
from corianderlb_core.quarantine import DEFAULT_QUARANTINE_S, SuspectTable
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

    def must_run_alone(self, facts: RequestFacts) -> bool:
        """Return whether the request is a suspect that must not share an instance."""
        return self._table.is_suspect(facts.body_digest, trio.current_time())

    def rank(self, facts: RequestFacts) -> int:
        """Return the rank of a suspect among all, which is the same on all routers."""
        return self._table.rank(facts.body_digest)

    def report_crash(
        self, instance: InstanceId, epoch: int, suspects: Sequence[bytes]
    ) -> None:
        """Record a crash against the requests that were in flight, and report it."""
        crash_id = str(Incarnation(instance, epoch))
        self.n_crashes += 1
        if not self._record_crash(crash_id, suspects):
            return
        for start in range(0, len(suspects), MAX_SUSPECTS_PER_REPORT):
            part = tuple(suspects[start : start + MAX_SUSPECTS_PER_REPORT])
            self._peers.broadcast(CrashReport(crash_id, part))

    def report_success(self, request_id: RequestId, body_digest: bytes) -> None:
        """Clear a suspect after its run completed."""
        self.clear(body_digest)

    def clear(self, body_digest: bytes) -> None:
        """Clear a request after its run completed, and announce that to the peers."""
        if self._table.record_success(body_digest, trio.current_time()):
            self._peers.broadcast(SuspectCleared(body_digest))

    async def on_crash_report(self, sender: InstanceId, message: CrashReport) -> None:
        """Record a crash that a peer reports; forward it unless it was known."""
        if self._record_crash(message.crash_id, message.suspects, message.age_s):
            self._peers.broadcast(message)

    async def on_suspect_cleared(
        self, sender: InstanceId, message: SuspectCleared
    ) -> None:
        """Clear a suspect that a peer has cleared; forward that unless it was known."""
        if self._table.record_success(message.body_digest, trio.current_time()):
            self._peers.broadcast(message)

    def status(self) -> tuple[QuarantineStatus, ...]:
        """Return the suspects for the status report."""
        # Loaded here since only operators' queries need it, not the start.
        from corianderlb_core.status import QuarantineStatus

        return tuple(
            QuarantineStatus(entry.body_digest, len(entry.crashes), entry.refused_for_s)
            for entry in self._table.entries(trio.current_time())
        )

    def _record_crash(
        self, crash_id: str, suspects: Sequence[bytes], age_s: float = 0.0
    ) -> bool:
        at = trio.current_time() - age_s
        added = self._table.record_crash(crash_id, suspects, at)
        if added:
            eliot.log_message(
                message_type="quarantine:crash", crash=crash_id, n_suspects=len(added)
            )
        return bool(added)
