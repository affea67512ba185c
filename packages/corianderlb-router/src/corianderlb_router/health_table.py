"""Judge the lives of upstream instances by how attempts at them went.

Nothing is probed: an instance that failed is left alone for a growing time and then
proved by few requests, which earn something while a probe does not.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

import eliot
import trio

from corianderlb_core.health import InstanceHealth, Verdict
from corianderlb_core.part_index import IncarnationKey

FAILURE_RATE: Final = 0.1
"""How far one attempt moves the failure rate: about the last ten count."""

MAX_LIVES: Final = 4096
"""Lives remembered; the oldest have long ended."""


@dataclass
class _Known:
    health: InstanceHealth = field(default_factory=InstanceHealth)
    failure_rate: float = 0.0
    n_in_flight: int = 0
    heard_at: float = float("-inf")


class HealthTable:
    """Hold the health of each life of an instance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._known: dict[IncarnationKey, _Known] = {}

    def may_send(self, incarnation_key: IncarnationKey) -> bool:
        """Return whether an instance may get one more request."""
        known = self._known.get(incarnation_key)
        if known is None:
            return True
        health = known.health
        now = trio.current_time()
        if health.is_retired and health.is_probe_due(now):
            health.record_probe(True, now, self._rng)
            self._log(incarnation_key, known)
        return not health.is_retired and health.has_room(known.n_in_flight)

    def failure_rate(self, incarnation_key: IncarnationKey) -> float:
        """Return the part of the latest attempts that failed, between 0 and 1."""
        known = self._known.get(incarnation_key)
        return known.failure_rate if known else 0.0

    def started(self, incarnation_key: IncarnationKey) -> None:
        """Count an attempt that is being sent."""
        self._of(incarnation_key).n_in_flight += 1

    def ended(self, incarnation_key: IncarnationKey) -> None:
        """Count an attempt that is over."""
        self._of(incarnation_key).n_in_flight -= 1

    def record_data(self, incarnation_key: IncarnationKey) -> None:
        """Take note that some bytes came from an instance."""
        self._of(incarnation_key).heard_at = trio.current_time()

    def received_since(self, incarnation_key: IncarnationKey, moment: float) -> bool:
        """Return whether any bytes came from an instance since a moment."""
        known = self._known.get(incarnation_key)
        return known is not None and known.heard_at >= moment

    def succeeded(self, incarnation_key: IncarnationKey) -> None:
        """Take note of an attempt that ended well."""
        known = self._of(incarnation_key)
        known.failure_rate *= 1 - FAILURE_RATE
        self._record(incarnation_key, known, Verdict.SUCCESS)

    def record_error_answer(self, incarnation_key: IncarnationKey) -> None:
        """Take note of an error that the instance itself answered with.

        Some services answer a part of good requests so; only a rate above that of
        the others tells anything, so the instance is not retired for it.
        """
        known = self._of(incarnation_key)
        known.failure_rate += FAILURE_RATE * (1 - known.failure_rate)

    def failed(
        self, incarnation_key: IncarnationKey, verdict: Verdict = Verdict.FAILURE
    ) -> None:
        """Take note of an attempt that failed through the instance's doing."""
        self.record_error_answer(incarnation_key)
        self._record(incarnation_key, self._of(incarnation_key), verdict)

    def _record(
        self, incarnation_key: IncarnationKey, known: _Known, verdict: Verdict
    ) -> None:
        if known.health.record(verdict, trio.current_time(), self._rng):
            self._log(incarnation_key, known)

    def _of(self, incarnation_key: IncarnationKey) -> _Known:
        known = self._known.get(incarnation_key)
        if known is None:
            known = self._known[incarnation_key] = _Known()
            if len(self._known) > MAX_LIVES:
                del self._known[next(iter(self._known))]
        return known

    @staticmethod
    def _log(incarnation_key: IncarnationKey, known: _Known) -> None:
        eliot.log_message(
            message_type="upstream:health",
            instance=incarnation_key[0],
            born_ms=incarnation_key[1],
            state=known.health.state,
        )
