"""Passive health checks of upstream instances, from the outcome of attempts.

There are no active probes: a failed instance gets no requests for a backoff that grows
with each failure, and then a few requests to prove itself.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

import eliot
import trio

from corianderlb_core.health import InstanceHealth, Verdict
from corianderlb_core.part_index import Life

FAILURE_WEIGHT: Final = 0.1
"""Weight of one attempt in the moving average of failures."""

MAX_INCARNATIONS: Final = 4096
"""Incarnations remembered; the oldest is dropped first."""


@dataclass
class _Entry:
    """Health of one incarnation."""

    health: InstanceHealth = field(default_factory=InstanceHealth)
    failure_rate: float = 0.0
    n_in_flight: int = 0
    received_at: float = float("-inf")


class HealthBoard:
    """Table of the health of each incarnation of an instance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entries: dict[Life, _Entry] = {}

    def may_send(self, incarnation: Life) -> bool:
        """Return whether an instance may receive one more request."""
        entry = self._entries.get(incarnation)
        if entry is None:
            return True
        health = entry.health
        now = trio.current_time()
        if health.is_retired and health.wants_probe(now):
            health.record_probe(True, now, self._rng)
            self._log(incarnation, entry)
        return not health.is_retired and health.has_room(entry.n_in_flight)

    def failure_rate(self, incarnation: Life) -> float:
        """Return the moving average of failed attempts, from 0 to 1."""
        entry = self._entries.get(incarnation)
        return entry.failure_rate if entry else 0.0

    def started(self, incarnation: Life) -> None:
        """Record the start of an attempt."""
        self._entry_of(incarnation).n_in_flight += 1

    def ended(self, incarnation: Life) -> None:
        """Record the end of an attempt."""
        self._entry_of(incarnation).n_in_flight -= 1

    def heard(self, incarnation: Life) -> None:
        """Record that bytes were received from an instance."""
        self._entry_of(incarnation).received_at = trio.current_time()

    def heard_since(self, incarnation: Life, moment: float) -> bool:
        """Return whether bytes were received from an instance since ``moment``."""
        entry = self._entries.get(incarnation)
        return entry is not None and entry.received_at >= moment

    def succeeded(self, incarnation: Life) -> None:
        """Record a successful attempt."""
        entry = self._entry_of(incarnation)
        entry.failure_rate *= 1 - FAILURE_WEIGHT
        self._record(incarnation, entry, Verdict.SUCCESS)

    def answered_badly(self, incarnation: Life) -> None:
        """Record an error answer of the instance itself.

        Some services answer some valid requests with an error. Only a rate above that
        of the other instances is a sign of a fault, so this retires no instance.
        """
        entry = self._entry_of(incarnation)
        entry.failure_rate += FAILURE_WEIGHT * (1 - entry.failure_rate)

    def failed(self, incarnation: Life, verdict: Verdict = Verdict.FAILURE) -> None:
        """Record an attempt that failed because of the instance."""
        self.answered_badly(incarnation)
        self._record(incarnation, self._entry_of(incarnation), verdict)

    def _record(self, incarnation: Life, entry: _Entry, verdict: Verdict) -> None:
        if entry.health.record(verdict, trio.current_time(), self._rng):
            self._log(incarnation, entry)

    def _entry_of(self, incarnation: Life) -> _Entry:
        entry = self._entries.get(incarnation)
        if entry is None:
            entry = self._entries[incarnation] = _Entry()
            if len(self._entries) > MAX_INCARNATIONS:
                del self._entries[next(iter(self._entries))]
        return entry

    @staticmethod
    def _log(incarnation: Life, entry: _Entry) -> None:
        eliot.log_message(
            message_type="upstream:health",
            instance=incarnation[0],
            born_ms=incarnation[1],
            state=entry.health.state,
        )
