"""Passive health checks of upstream instances, from the outcome of attempts.

There are no active probes: a failed instance gets no requests for a backoff that grows
with each failure, and then a few requests to prove itself.
"""

from __future__ import annotations

import random
from dataclasses import field
from typing import Final

import eliot
import trio

from corianderlb_core.data_class import dataclass
from corianderlb_core.health import InstanceHealth, Verdict
from corianderlb_core.part_index import IncarnationKey

FAILURE_WEIGHT: Final = 0.1
"""Weight of one attempt in the moving average of failures."""

STANDSTILL_S: Final = 0.5
"""Time without data after which an instance that has begun answers stands still. A busy
engine sends events far more often, also during prefill."""

LONG_SILENCE_S: Final = 2.4
"""Silence that is longer than a pause that instances share. The instance of such an
attempt has failed, though no other has begun; and any other one may take over."""

MAX_INCARNATIONS: Final = 4096
"""Incarnations remembered; the oldest is dropped first."""


@dataclass
class _Entry:
    """Health of one incarnation."""

    health: InstanceHealth = field(default_factory=InstanceHealth)
    failure_rate: float = 0.0
    n_in_flight: int = 0
    n_begun: int = 0
    """Attempts in flight whose answer has begun."""
    received_at: float = float("-inf")
    stood_since: float = float("-inf")
    """When the last standstill began."""
    resumed_at: float = float("-inf")


class HealthTable:
    """Table of the health of each incarnation of an instance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entries: dict[IncarnationKey, _Entry] = {}
        self._limited: set[IncarnationKey] = set()
        """Incarnations that may receive fewer requests than others, or none."""

    def may_send(self, incarnation: IncarnationKey) -> bool:
        """Return whether an instance may receive one more request."""
        if incarnation not in self._limited:
            return True
        entry = self._entries[incarnation]
        health = entry.health
        now = trio.current_time()
        if health.is_retired and health.is_probe_due(now):
            health.record_probe(True, now, self._rng)
            self._log(incarnation, entry)
        return not health.is_retired and health.has_capacity(entry.n_in_flight)

    @property
    def is_unlimited(self) -> bool:
        """Whether every instance may receive requests."""
        return not self._limited

    def failure_rate(self, incarnation: IncarnationKey) -> float:
        """Return the moving average of failed attempts, from 0 to 1."""
        entry = self._entries.get(incarnation)
        return entry.failure_rate if entry else 0.0

    def started(self, incarnation: IncarnationKey) -> None:
        """Record the start of an attempt."""
        self._entry_of(incarnation).n_in_flight += 1

    def begun(self, incarnation: IncarnationKey) -> None:
        """Record that the answer to an attempt has begun."""
        self._entry_of(incarnation).n_begun += 1

    def ended(self, incarnation: IncarnationKey, has_begun: bool = False) -> None:
        """Record the end of an attempt."""
        entry = self._entry_of(incarnation)
        entry.n_in_flight -= 1
        entry.n_begun -= has_begun

    def has_begun(self, incarnation: IncarnationKey) -> bool:
        """Return whether an instance owes this router the rest of an answer."""
        entry = self._entries.get(incarnation)
        return entry is not None and entry.n_begun > 0

    def record_data(self, incarnation: IncarnationKey) -> None:
        """Record that bytes were received from an instance."""
        entry, now = self._entry_of(incarnation), trio.current_time()
        if entry.n_begun and now - entry.received_at >= STANDSTILL_S:
            entry.stood_since, entry.resumed_at = entry.received_at, now
        entry.received_at = now

    def received_since(self, incarnation: IncarnationKey, moment: float) -> bool:
        """Return whether bytes were received from an instance since ``moment``."""
        entry = self._entries.get(incarnation)
        return entry is not None and entry.received_at >= moment

    def resumed_since(self, incarnation: IncarnationKey, moment: float) -> bool:
        """Return whether an instance that stood still has gone on since ``moment``."""
        entry = self._entries.get(incarnation)
        return entry is not None and entry.resumed_at >= moment

    def stood_beside(self, incarnation: IncarnationKey, heard_at: float) -> bool:
        """Return whether an answer last heard at a time stood still with all others.

        It did not if others went on before the last standstill began.
        """
        entry = self._entries.get(incarnation)
        return entry is not None and heard_at >= entry.stood_since - STANDSTILL_S

    def succeeded(self, incarnation: IncarnationKey) -> None:
        """Record a successful attempt."""
        entry = self._entry_of(incarnation)
        entry.failure_rate *= 1 - FAILURE_WEIGHT
        self._record(incarnation, entry, Verdict.SUCCESS)

    def record_error_answer(self, incarnation: IncarnationKey) -> None:
        """Record an error answer of the instance itself.

        Some services answer some valid requests with an error. Only a rate above that
        of the other instances is a sign of a fault, so this retires no instance.
        """
        entry = self._entry_of(incarnation)
        entry.failure_rate += FAILURE_WEIGHT * (1 - entry.failure_rate)

    def failed(
        self, incarnation: IncarnationKey, verdict: Verdict = Verdict.FAILURE
    ) -> None:
        """Record an attempt that failed because of the instance."""
        self.record_error_answer(incarnation)
        self._record(incarnation, self._entry_of(incarnation), verdict)

    def _record(
        self, incarnation: IncarnationKey, entry: _Entry, verdict: Verdict
    ) -> None:
        if entry.health.record(verdict, trio.current_time(), self._rng):
            self._log(incarnation, entry)
            if entry.health.is_limited:
                self._limited.add(incarnation)
            else:
                self._limited.discard(incarnation)

    def _entry_of(self, incarnation: IncarnationKey) -> _Entry:
        entry = self._entries.get(incarnation)
        if entry is None:
            entry = self._entries[incarnation] = _Entry()
            if len(self._entries) > MAX_INCARNATIONS:
                oldest = next(iter(self._entries))
                del self._entries[oldest]
                self._limited.discard(oldest)
        return entry

    @staticmethod
    def _log(incarnation: IncarnationKey, entry: _Entry) -> None:
        eliot.log_message(
            message_type="upstream:health",
            instance=incarnation[0],
            born_ms=incarnation[1],
            state=entry.health.state,
        )
