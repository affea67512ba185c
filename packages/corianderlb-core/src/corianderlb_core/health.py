"""Judge one upstream instance by how its attempts go.

The states are in ``charts/upstream_health.yaml``. One failure makes an instance
suspect, three in a row retire it; a crash or an answer to another request retires it
at once. A retired instance is probed, with waits that grow, and then proved with few
requests at a time before it takes its full share.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import Final

from .chart import LifeCycle

FAILURES_TO_RETIRE: Final = 3
"""Failures in a row that retire an instance."""

SUCCESSES_TO_PROVE: Final = 3
"""Successes in a row that make a proving instance healthy."""

PROVING_CONCURRENT: Final = 1
"""Requests at a time on an instance that is being proved."""

FIRST_PROBE_S: Final = 0.25
"""Wait before the first probe of a retired instance."""

MAX_PROBE_S: Final = 10.0
"""Longest wait between two probes."""


class Verdict(Enum):
    """Say what an attempt showed about the instance."""

    SUCCESS = "success"
    FAILURE = "failure"
    """It broke, stayed silent or failed; a cut on the way looks the same."""
    CONDEMNED = "condemned"
    """It crashed, or gave an answer that was not its to give."""


class InstanceHealth:
    """Follow the health of one instance."""

    def __init__(self) -> None:
        self._cycle = LifeCycle("upstream_health")
        self._n_failures = 0
        self._n_successes = 0
        self._n_probes = 0
        self._probe_at = 0.0

    @property
    def state(self) -> str:
        """The name of the state in the chart."""
        return self._cycle.state

    @property
    def is_retired(self) -> bool:
        """Whether the instance takes no requests."""
        return self._cycle.state == "retired"

    def has_room(self, n_in_flight: int) -> bool:
        """Return whether one more request may go there, by its health alone."""
        return self.state != "proving" or n_in_flight < PROVING_CONCURRENT

    def record(self, verdict: Verdict, now: float, rng: random.Random) -> bool:
        """Take an attempt into account; return whether the state changed."""
        if verdict is Verdict.SUCCESS:
            return self._succeed()
        self._n_successes = 0
        self._n_failures += 1
        was_retired = self.is_retired
        changed = self._fail(verdict)
        if self.is_retired and not was_retired:
            self._n_probes = 0
            self._plan_probe(now, rng)
        return changed

    def wants_probe(self, now: float) -> bool:
        """Return whether a retired instance is to be asked whether it is back."""
        return self.is_retired and now >= self._probe_at

    def record_probe(self, answered: bool, now: float, rng: random.Random) -> bool:
        """Take a probe into account; return whether the state changed."""
        if not answered:
            self._plan_probe(now, rng)
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

    def _plan_probe(self, now: float, rng: random.Random) -> None:
        longest = min(MAX_PROBE_S, FIRST_PROBE_S * 2**self._n_probes)
        self._n_probes += 1
        self._probe_at = now + rng.uniform(longest / 2, longest)
