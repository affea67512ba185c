"""Decide whether missing pieces are worth importing from the KV cache upstream."""

from __future__ import annotations

from typing import Final

from .placement import ModelCost

ORDER_S: Final = 0.015
"""Seconds that an import order takes although nothing is found."""

FIRST_CHANCE: Final = 0.5
"""Chance that a missing piece is kept there, until the answers taught better."""

WEIGHT_OF_NEWEST: Final = 0.1
"""Weight of one order's answer in the chance."""

FORGET_HALF_LIFE_S: Final = 60.0
"""After this time without an order the chance is half way back to the first one, so
that a cache that was empty once is asked again."""


class ImportOdds:
    """Learn from the answers how likely the KV cache upstream has a missing piece."""

    def __init__(self) -> None:
        self._chance = FIRST_CHANCE
        self._learnt_at = 0.0

    def chance(self, now: float) -> float:
        """Return the chance that a missing piece can be imported."""
        kept = 0.5 ** ((now - self._learnt_at) / FORGET_HALF_LIFE_S)
        return FIRST_CHANCE + (self._chance - FIRST_CHANCE) * kept

    def record(self, n_asked: int, n_imported: int, now: float) -> None:
        """Take the answer to one order."""
        if n_asked <= 0:
            return
        share = min(1.0, n_imported / n_asked)
        before = self.chance(now)
        self._chance = before + (share - before) * WEIGHT_OF_NEWEST
        self._learnt_at = now


def saved_s(n_missing: float, cost: ModelCost, chance: float) -> float:
    """Return the seconds that importing saves; zero or less when it does not pay."""
    if cost.import_s_per_piece is None:
        return 0.0
    gain_s = cost.prefill_s_per_piece - cost.import_s_per_piece
    return n_missing * chance * gain_s - ORDER_S
