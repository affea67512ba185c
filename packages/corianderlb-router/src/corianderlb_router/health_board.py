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
from corianderlb_core.part_index import Life

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


class HealthBoard:
    """Hold the health of each life of an instance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._known: dict[Life, _Known] = {}

    def may_send(self, life: Life) -> bool:
        """Return whether an instance may get one more request."""
        known = self._known.get(life)
        if known is None:
            return True
        health = known.health
        now = trio.current_time()
        if health.is_retired and health.wants_probe(now):
            health.record_probe(True, now, self._rng)
            self._log(life, known)
        return not health.is_retired and health.has_room(known.n_in_flight)

    def failure_rate(self, life: Life) -> float:
        """Return the part of the latest attempts that failed, between 0 and 1."""
        known = self._known.get(life)
        return known.failure_rate if known else 0.0

    def started(self, life: Life) -> None:
        """Count an attempt that is being sent."""
        self._of(life).n_in_flight += 1

    def ended(self, life: Life) -> None:
        """Count an attempt that is over."""
        self._of(life).n_in_flight -= 1

    def heard(self, life: Life) -> None:
        """Take note that some bytes came from an instance."""
        self._of(life).heard_at = trio.current_time()

    def heard_since(self, life: Life, moment: float) -> bool:
        """Return whether any bytes came from an instance since a moment."""
        known = self._known.get(life)
        return known is not None and known.heard_at >= moment

    def succeeded(self, life: Life) -> None:
        """Take note of an attempt that ended well."""
        known = self._of(life)
        known.failure_rate *= 1 - FAILURE_RATE
        self._record(life, known, Verdict.SUCCESS)

    def answered_badly(self, life: Life) -> None:
        """Take note of an error that the instance itself answered with.

        Some services answer a part of good requests so; only a rate above that of
        the others tells anything, so the instance is not retired for it.
        """
        known = self._of(life)
        known.failure_rate += FAILURE_RATE * (1 - known.failure_rate)

    def failed(self, life: Life, verdict: Verdict = Verdict.FAILURE) -> None:
        """Take note of an attempt that failed through the instance's doing."""
        self.answered_badly(life)
        self._record(life, self._of(life), verdict)

    def _record(self, life: Life, known: _Known, verdict: Verdict) -> None:
        if known.health.record(verdict, trio.current_time(), self._rng):
            self._log(life, known)

    def _of(self, life: Life) -> _Known:
        known = self._known.get(life)
        if known is None:
            known = self._known[life] = _Known()
            if len(self._known) > MAX_LIVES:
                del self._known[next(iter(self._known))]
        return known

    @staticmethod
    def _log(life: Life, known: _Known) -> None:
        eliot.log_message(
            message_type="upstream:health",
            instance=life[0],
            born_ms=life[1],
            state=known.health.state,
        )
