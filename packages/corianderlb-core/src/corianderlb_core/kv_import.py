"""Decide whether missing pieces are worth importing from the KV cache upstream."""

from __future__ import annotations

from typing import Final

from .placement import ModelCost

ORDER_OVERHEAD_S: Final = 0.015
"""Fixed time of an import order, in seconds, also when it finds nothing."""

INITIAL_CHANCE: Final = 0.5
"""Assumed probability that the KV cache upstream holds a missing piece."""

LEARN_RATE: Final = 0.1
"""Weight of one order's result in the probability."""

DECAY_HALF_LIFE_S: Final = 60.0
"""Half-life with which the probability returns to its initial value without orders, so
that a cache that was empty is queried again."""


class ImportHitRate:
    """Learn the probability that the KV cache upstream holds a missing piece."""

    def __init__(self) -> None:
        self._chance = INITIAL_CHANCE
        self._updated_at = 0.0

    def chance(self, now: float) -> float:
        """Return the probability that a missing piece can be imported."""
        kept = 0.5 ** ((now - self._updated_at) / DECAY_HALF_LIFE_S)
        return INITIAL_CHANCE + (self._chance - INITIAL_CHANCE) * kept

    def record(self, n_asked: int, n_imported: int, now: float) -> None:
        """Record the result of one import order."""
        if n_asked <= 0:
            return
        share = min(1.0, n_imported / n_asked)
        before = self.chance(now)
        self._chance = before + (share - before) * LEARN_RATE
        self._updated_at = now


def import_gain_s(n_missing: float, cost: ModelCost, chance: float) -> float:
    """Return the seconds that importing saves; zero or less if it does not pay."""
    if cost.import_s_per_piece is None:
        return 0.0
    gain_s = cost.prefill_s_per_piece - cost.import_s_per_piece
    return n_missing * chance * gain_s - ORDER_OVERHEAD_S
