"""Mean rate over the recent past."""

from __future__ import annotations

import math


class DecayedRate:
    """Mean rate over the recent past, with exponentially falling weights.

    For example, once 10 has been added each 0.1 s for several time constants,
    ``per_s`` is about 100.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._amount = 0.0
        self._at = -math.inf

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._amount = self._decayed(now) + amount
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the rate, per second."""
        return self._decayed(now) / self._window_s

    def _decayed(self, now: float) -> float:
        if not self._amount:
            return 0.0
        return self._amount * math.exp(min(0.0, self._at - now) / self._window_s)
