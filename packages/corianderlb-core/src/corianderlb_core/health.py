"""Passive health checking of one upstream instance, from the outcomes of attempts.

The states are in ``charts/upstream_health.yaml``. One failure makes an instance
suspect, and consecutive failures retire it; a crash or a response to a different
request retires it immediately. A retired instance is probed with exponential backoff,
and then proved with limited concurrency before it takes its full share.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import Final

from .chart import LifeCycle

FAILURES_TO_RETIRE: Final = 3
"""Consecutive failures that retire an instance."""

SUCCESSES_TO_PROVE: Final = 3
"""Consecutive successes that make a proving instance healthy."""

MAX_PROVING_REQUESTS: Final = 1
"""Maximum concurrent requests on a proving instance."""

INITIAL_PROBE_DELAY_S: Final = 0.25
"""Maximum delay before the first probe of a retired instance."""

MAX_PROBE_DELAY_S: Final = 10.0
"""Maximum delay between two probes."""


class Verdict(Enum):
    """Outcome of an attempt for health checking."""

    SUCCESS = "success"
    FAILURE = "failure"
    """The connection broke or stalled, or the upstream or the network failed."""
    EXCESS = "excess"
    """The instance sent more than may be held. Each probe may cost as much again."""
    CONDEMNED = "condemned"
    """The instance crashed, or answered with the response to a different request."""


class InstanceHealth:
    """Health of one upstream instance."""

    def __init__(self) -> None:
        self._cycle = LifeCycle("upstream_health")
        self._n_failures = 0
        self._n_successes = 0
        self._n_probes = 0
        self._next_probe_at = 0.0

    @property
    def state(self) -> str:
        """Name of the current state in the chart."""
        return self._cycle.state

    @property
    def is_retired(self) -> bool:
        """Whether the instance gets no requests."""
        return self._cycle.state == "retired"

    @property
    def is_limited(self) -> bool:
        """Whether the health state bounds the requests that the instance gets."""
        return self.state in ("retired", "proving")

    def has_capacity(self, n_in_flight: int) -> bool:
        """Return whether the health state allows one more concurrent request."""
        return self.state != "proving" or n_in_flight < MAX_PROVING_REQUESTS

    def record(self, verdict: Verdict, now: float, rng: random.Random) -> bool:
        """Record the outcome of an attempt; return whether the state changed."""
        if verdict is Verdict.SUCCESS:
            return self._succeed()
        self._n_successes = 0
        self._n_failures += 1
        was_retired, was_proving = self.is_retired, self.state == "proving"
        changed = self._fail(verdict)
        if self.is_retired and not was_retired:
            if not was_proving or verdict is not Verdict.EXCESS:
                self._n_probes = 0
            self._schedule_probe(now, rng)
        return changed

    def is_probe_due(self, now: float) -> bool:
        """Return whether a probe of the retired instance is due."""
        return self.is_retired and now >= self._next_probe_at

    def record_probe(self, answered: bool, now: float, rng: random.Random) -> bool:
        """Record the result of a probe; return whether the state changed."""
        if not answered:
            self._schedule_probe(now, rng)
            return False
        self._n_successes = 0
        return self._cycle.send("probe_answered")

    def _succeed(self) -> bool:
        self._n_failures = 0
        self._n_successes += 1
        if self.state == "proving" and self._n_successes >= SUCCESSES_TO_PROVE:
            return self._cycle.send("proved")
        return self.state == "suspect" and self._cycle.send("succeeded")

    def _fail(self, verdict: Verdict) -> bool:
        if verdict is Verdict.CONDEMNED:
            return self._cycle.send("condemned")
        if self.state == "suspect" and self._n_failures >= FAILURES_TO_RETIRE:
            return self._cycle.send("failed_again")
        return self._cycle.send("failed")

    def _schedule_probe(self, now: float, rng: random.Random) -> None:
        max_delay_s = min(MAX_PROBE_DELAY_S, INITIAL_PROBE_DELAY_S * 2**self._n_probes)
        self._n_probes += 1
        self._next_probe_at = now + rng.uniform(max_delay_s / 2, max_delay_s)
