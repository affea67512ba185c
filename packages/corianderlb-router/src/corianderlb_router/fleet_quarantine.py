"""Keep the quarantine of all routers in step, by messages about crashes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import eliot
import trio

from corianderlb_core.identity import Incarnation, InstanceId, RequestId
from corianderlb_core.message import CrashReport, SuspectCleared
from corianderlb_core.quarantine import HOLD_S, SuspectTable
from corianderlb_core.request import Refusal, RequestFacts
from corianderlb_core.result import ResultCode
from corianderlb_core.status import QuarantineStatus

from .interface import PeerNetwork, Quarantine

MAX_SUSPECTS_A_REPORT: Final = 512
"""Digests in one message; more go into further messages."""


class FleetQuarantine(Quarantine):
    """Hold the suspects of the fleet; reports come from here and from the peers."""

    def __init__(self, peers: PeerNetwork, hold_s: float = HOLD_S) -> None:
        self._peers = peers
        self._table = SuspectTable(hold_s)
        self.n_crashes = 0
        """Crashes reported by this router."""
        peers.subscribe(CrashReport, self.on_crash_report)
        peers.subscribe(SuspectCleared, self.on_suspect_cleared)

    def check(self, facts: RequestFacts) -> Refusal | None:
        """Return a refusal when the request crashed too many upstreams."""
        return self.refusal(facts.body_digest)

    def refusal(self, body_digest: bytes) -> Refusal | None:
        """Return a refusal for a request with this digest, or None."""
        left_s = self._table.refused_for(body_digest, trio.current_time())
        if not left_s:
            return None
        detail = "Upstream instances crashed while they ran this request."
        return Refusal(ResultCode.QUARANTINED, detail, left_s)

    def must_run_alone(self, facts: RequestFacts) -> bool:
        """Tell whether the request is a suspect that must not share an instance."""
        return self._table.is_suspect(facts.body_digest, trio.current_time())

    def rank(self, facts: RequestFacts) -> int:
        """Return the place of a suspect among all, the same on all routers."""
        return self._table.rank(facts.body_digest)

    def report_crash(
        self, instance: InstanceId, epoch: int, suspects: Sequence[bytes]
    ) -> None:
        """Count a crash against the body digests that were in flight there."""
        crash_id = str(Incarnation(instance, epoch))
        self.n_crashes += 1
        if not self._count(crash_id, suspects):
            return
        for start in range(0, len(suspects), MAX_SUSPECTS_A_REPORT):
            part = tuple(suspects[start : start + MAX_SUSPECTS_A_REPORT])
            self._peers.broadcast(CrashReport(crash_id, part))

    def report_success(self, request_id: RequestId, body_digest: bytes) -> None:
        """Clear a suspect that ran to its end."""
        self.clear(body_digest)

    def clear(self, body_digest: bytes) -> None:
        """Clear a request that ran to its end, and tell the peers."""
        if self._table.record_success(body_digest, trio.current_time()):
            self._peers.broadcast(SuspectCleared(body_digest))

    async def on_crash_report(self, sender: InstanceId, message: CrashReport) -> None:
        """Count a crash that a peer saw; pass it on while it is news."""
        if self._count(message.crash_id, message.suspects, message.age_s):
            self._peers.broadcast(message)

    async def on_suspect_cleared(
        self, sender: InstanceId, message: SuspectCleared
    ) -> None:
        """Forget a suspect that a peer saw running to its end; pass it on as news."""
        if self._table.record_success(message.body_digest, trio.current_time()):
            self._peers.broadcast(message)

    def status(self) -> tuple[QuarantineStatus, ...]:
        """Return the suspects, for operators."""
        return tuple(
            QuarantineStatus(entry.body_digest, len(entry.crashes), entry.refused_for_s)
            for entry in self._table.entries(trio.current_time())
        )

    def _count(
        self, crash_id: str, suspects: Sequence[bytes], age_s: float = 0.0
    ) -> bool:
        at = trio.current_time() - age_s
        news = self._table.record_crash(crash_id, suspects, at)
        if news:
            eliot.log_message(
                message_type="quarantine:crash", crash=crash_id, n_suspects=len(news)
            )
        return bool(news)
