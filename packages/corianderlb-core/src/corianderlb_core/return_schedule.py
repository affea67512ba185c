"""Spread the Retry-After of callers that are refused in a surge.

With the same short Retry-After, refused callers return together into the same surge and
are refused again. Instead, each is scheduled after the previous one, with enough time
between them to prefill the prompt at a fraction of the engines' total rate. Callers
that would be scheduled beyond the longest Retry-After all get that one.
"""

from __future__ import annotations

import math
from typing import Final

RETURN_SHARE: Final = 0.25
"""Fraction of the total prefill rate that is planned for returning callers; the rest
serves new requests."""


class ReturnSchedule:
    """Schedule of the return times of refused callers of one upstream."""

    def __init__(self) -> None:
        self._planned_until = -math.inf

    def retry_delay_s(
        self,
        wait_s: float,
        prefill_s: float,
        max_wait_s: float,
        n_routers: int,
        now: float,
    ) -> float:
        """Return the Retry-After of a caller in seconds.

        ``wait_s`` is the time until an engine could start the request, ``prefill_s``
        the time that all engines together take to prefill its prompt, ``max_wait_s``
        the longest Retry-After. Each of ``n_routers`` plans an even share of the rate.
        """
        starts_at = max(now + wait_s, self._planned_until)
        if starts_at - now >= max_wait_s:
            return max_wait_s
        self._planned_until = starts_at + prefill_s * max(1, n_routers) / RETURN_SHARE
        return starts_at - now
