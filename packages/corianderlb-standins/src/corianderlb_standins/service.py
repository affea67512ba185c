"""Stand-in for a plain service, some of whose calls must not be repeated."""

from __future__ import annotations

import dataclasses
import os
from collections import Counter
from dataclasses import dataclass
from typing import Any

import trio

from corianderlb_core import header
from corianderlb_core.codec import to_plain
from corianderlb_core.load import LoadReport

from ._asgi import Call, StandIn
from .engine import CRASH_EXIT_CODE


@dataclass(frozen=True)
class ServiceFaults:
    """Injected faults of a service."""

    n_affected: int = -1
    """Number of calls that the faults still affect; -1 for all."""
    drop_answer: bool = False
    """Run the call, then close the connection without an answer."""
    hang: bool = False
    """Run the call and never answer."""
    refuse: bool = False
    """Answer 503 without running the call, marked as not run."""
    crash: bool = False
    """Run the call, then exit."""
    slow_s: float = 0.0
    """Delay between running the call and answering it."""
    crossed: bool = False
    """Answer with another attempt's id."""
    leaving: bool = False


class Service(StandIn):
    """Service that counts executions, to detect a call that ran twice."""

    def __init__(self, instance: str, epoch: int) -> None:
        self.faults = ServiceFaults()
        self._instance = instance
        self._epoch = epoch
        self._n_running = 0
        self._n_run = 0
        self._by_key: Counter[str] = Counter()
        self._by_attempt: Counter[str] = Counter()

    def counters(self) -> dict[str, Any]:
        """Return the number of executions: total, by idempotency key and by attempt."""
        return {
            "total": self._n_run,
            "by_key": dict(self._by_key),
            "by_attempt": dict(self._by_attempt),
        }

    async def handle(self, call: Call) -> None:
        """Answer control paths, and execute a call to any other path."""
        base = {header.INCARNATION: str(self._epoch)}
        if call.path == "/control/load":
            report = LoadReport(
                epoch=self._epoch,
                n_running=self._n_running,
                leaving=self.faults.leaving,
            )
            await call.answer(200, to_plain(report), base)
        elif call.path in ("/health", "/control/cancel"):
            await call.answer(200, {}, base)
        else:
            await self._run_counted(call, base)

    async def _run_counted(self, call: Call, base: dict[str, str]) -> None:
        self._n_running += 1
        try:
            await self._run(call, base, self._faults_for_next_call())
        finally:
            self._n_running -= 1

    def _faults_for_next_call(self) -> ServiceFaults:
        n_left = self.faults.n_affected
        if n_left == 0:
            return ServiceFaults()
        current = self.faults
        if n_left > 0:
            self.faults = dataclasses.replace(current, n_affected=n_left - 1)
        return current

    async def _run(
        self, call: Call, base: dict[str, str], faults: ServiceFaults
    ) -> None:
        attempt_id = call.headers.get(header.ATTEMPT_ID, "")
        headers = {**base, header.ATTEMPT_ID: attempt_id}
        if faults.refuse:
            refusal = {**headers, header.NOT_RUN: "true", "retry-after": "1"}
            await call.answer(503, {"error": "refused before running"}, refusal)
            return
        value = self._execute(call, attempt_id)
        if faults.crash:
            os._exit(CRASH_EXIT_CODE)
        if faults.hang:
            await trio.sleep_forever()
        if faults.drop_answer:
            await call.cut()
        await trio.sleep(faults.slow_s)
        if faults.crossed:
            headers[header.ATTEMPT_ID] = f"other-{attempt_id}"
        await call.answer(200, value, headers)

    def _execute(self, call: Call, attempt_id: str) -> dict[str, Any]:
        self._n_run += 1
        self._by_attempt[attempt_id] += 1
        key = call.headers.get(header.IDEMPOTENCY_KEY, "")
        if key:
            self._by_key[key] += 1
        return {
            "receipt": f"{self._instance}-{self._epoch}-{self._n_run}",
            "method": call.method,
            "path": call.path,
            "n_bytes": len(call.body),
        }
