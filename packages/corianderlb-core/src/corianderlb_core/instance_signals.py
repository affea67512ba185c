"""What upstream instances say of themselves in the heads of their answers."""

from __future__ import annotations

import math

from .data_class import dataclass


@dataclass(frozen=True)
class InstanceSignals:
    """Signals in the head of one answer, decoded by the adapter.

    For example ``InstanceSignals(limit_per_s=2.5)`` is the head of an instance that
    takes five requests in two seconds from all routers together.
    """

    limit_per_s: float | None = math.inf
    """Requests a second that it takes from all routers; infinite if it names no limit,
    None if what it names can't be read."""
    refusals_per_s: float | None = math.inf
    """Requests that it may turn away in a second, from all routers, without falling
    over; infinite if it names none, None if what it names can't be read."""
    is_leaving: bool = False
    """Whether it is about to end; for good, for its incarnation."""
    rest_s: float = 0.0
    """Seconds for which it wants nothing from this router, after a refusal."""


NO_SIGNALS = InstanceSignals()
"""Head of an instance that says nothing of itself."""
