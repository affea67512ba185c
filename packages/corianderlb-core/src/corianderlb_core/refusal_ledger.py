"""Share out the refusals that a brittle instance bears from a fleet of routers.

A brittle instance falls over if it has to turn away too many requests in a second.
What counts is the sum over all routers, so they share a bucket of refusals, as they
share the requests to an instance with a limit.
"""

from __future__ import annotations

from typing import Final

from .limit_ledger import MIN_LIMIT_PER_S, ROUNDING, LimitLedger
from .part_index import IncarnationKey
from .usage_cap import UsageCap, UsageTerms

REFUSAL_TERMS: Final = UsageTerms(window_s=1.0, overshoot=0.0, slack=0.0)
"""How exactly refusals have to be kept: within the named number in each second."""

SAVED_SHARE: Final = 0.5
"""Share of the named number that a full bucket holds; the rest comes in a second."""

SAFETY_FACTOR: Final = 0.8
"""Fraction of the named number that is used. The rest is for requests that cross the
announcement of a refusal."""


class RefusalLedger(LimitLedger):
    """Refusals of a fleet by brittle instances, as one router knows them."""

    TERMS = REFUSAL_TERMS

    def _cap(self, per_s: float) -> UsageCap:
        """Return rate and size of the bucket of the refusals that are borne."""
        usable = SAFETY_FACTOR * per_s
        rate = max(MIN_LIMIT_PER_S, (1 - SAVED_SHARE) * usable)
        return UsageCap(rate, max(1.0, SAVED_SHARE * usable))

    def _first_level(self, cap: UsageCap) -> float:
        """Return the level of a new bucket: the instance has refused nothing yet."""
        return cap.burst

    def is_used(self, name: str, now: float) -> bool:
        """Return whether a bucket is not full: there were refusals lately."""
        return self.used(name, now) > ROUNDING

    def restart(self, incarnation: IncarnationKey, now: float) -> None:
        """Keep what is known: refusals are counted while an instance is brittle."""
