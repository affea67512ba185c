"""Share out the requests that an instance takes from a fleet of routers.

The limits are far smaller than the caps of accounts: one request a second over many
routers can't be divided among them. All routers count the same bucket, as the usage
ledger does, and differ in the level from which they send: with a bucket that has just
refilled, all of them would send at once, before they hear of each other. In a large
fleet some have their turn and the others wait. Turns and order change with each request
that is known, and with time.
"""

from __future__ import annotations

import hashlib
import math
from typing import ClassVar, Final

from ._usage_bucket import UsageBucket
from .identity import InstanceId
from .part_index import IncarnationKey
from .usage_cap import ToleranceUse, UsageCap, UsageTerms, UsageUnit
from .usage_ledger import Key, UsageLedger

LIMIT_TERMS: Final = UsageTerms(window_s=4.0, overshoot=0.5, slack=5.0)
"""How exactly limits have to be kept."""

LIMIT_TOLERANCE_USE: Final = ToleranceUse(
    debt_share=0.0, spare_share=0.0, min_pause_s=0.0, max_pause_s=0.05
)
"""The tolerance is left for what a bucket saves and for requests that cross
announcements."""

MIN_LIMIT_PER_S: Final = 0.1
"""Lowest limit that is kept. Without any request to an instance that names less, no
router would hear that the limit has ended."""

SAVED_SHARE: Final = 0.4
"""Share of the tolerance that a bucket saves while an instance gets less than its
limit; the rest covers requests that cross announcements."""

MIN_IN_TURN: Final = 16
"""Routers, on the mean, that may send at a time under the smallest limits. Spread over
the saved levels, more would be closer than announcements take, and all would spend a
full bucket. Under larger limits it is the tolerance, which covers one request of
each."""

TURN_S: Final = 1.0
"""Time after which other routers have their turn although no request was sent."""

ROUNDING: Final = 1e-9
"""Tolerance of levels, in requests."""


class LimitLedger(UsageLedger):
    """Requests that a fleet has sent to instances with limits, as one router knows it.

    For example::

        ledger.set_limit(("i-7f3a", 1779616084136), 1.0, now)
        if not ledger.charge(limit_name(("i-7f3a", 1779616084136)), 1.0, now):
            ...
    """

    TERMS: ClassVar[UsageTerms] = LIMIT_TERMS

    def __init__(self, router: InstanceId, epoch: int) -> None:
        super().__init__(router, epoch, self.TERMS, LIMIT_TOLERANCE_USE)

    def set_limit(self, incarnation: IncarnationKey, per_s: float, now: float) -> None:
        """Apply a limit in force; what is known to have been sent is kept."""
        name = limit_name(incarnation)
        key = self._keys[name] = (name, UsageUnit.REQUESTS.value)
        cap = self._cap(per_s)
        bucket = self._buckets.get(key)
        if bucket is None:
            self._buckets[key] = UsageBucket(cap, self._first_level(cap), now)
        elif bucket.cap != cap:
            self._refill(bucket, now)
            bucket.cap = cap
            bucket.level = min(bucket.level, cap.burst)

    def _cap(self, per_s: float) -> UsageCap:
        """Return rate and size of the bucket of a limit."""
        rate = max(MIN_LIMIT_PER_S, per_s)
        tolerance = self._terms.tolerance(UsageCap(rate, 0.0))
        return UsageCap(rate, 1.0 + SAVED_SHARE * tolerance)

    def _first_level(self, cap: UsageCap) -> float:
        """Return the level of a new bucket.

        Nothing is saved: the limit was named because of what had been sent.
        """
        return 0.0

    def restart(self, incarnation: IncarnationKey, now: float) -> None:
        """Empty the bucket of a limit that is named again after it had ended.

        Requests sent in between were not counted.
        """
        bucket = self._refilled(limit_name(incarnation), now)
        if bucket is not None:
            bucket.level = min(0.0, bucket.level)

    def forget(self, incarnation: IncarnationKey) -> None:
        """Forget an incarnation that has ended."""
        key = self._keys.pop(limit_name(incarnation), None)
        if key is not None:
            del self._buckets[key]
            self._due.pop(key, None)

    def _level_needed(self, key: Key, bucket: UsageBucket, cost: float) -> float:
        capacity = self._capacity(bucket)
        needed = min(cost, capacity)
        place = self._place(key, bucket)
        if place > 1.0:
            # Not this router's turn: no level suffices.
            return capacity + bucket.cap.rate_per_s * TURN_S
        return needed + place * (capacity - needed) - ROUNDING

    def _place(self, key: Key, bucket: UsageBucket) -> float:
        """Return this router's place among all, from 0; beyond 1 it has no turn.

        It changes with each request that is known, and after ``TURN_S``.
        """
        if self._n_routers == 1:
            return 0.0
        n_known = bucket.total + sum(peer.total for peer in bucket.peers.values())
        turn = math.floor(bucket.refilled_at / TURN_S)
        text = f"{key[0]} {self._router} {n_known:.0f} {turn}"
        digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
        share = int.from_bytes(digest) / 2**32
        n_in_turn = max(MIN_IN_TURN, self._terms.tolerance(bucket.cap))
        return share * max(1.0, self._n_routers / n_in_turn)

    def _capacity(self, bucket: UsageBucket) -> float:
        """Return the level of a full bucket, which holds one request at least."""
        return max(1.0, super()._capacity(bucket))

    def _level_of_part(
        self, bucket: UsageBucket, share_before: float, unheard_s: float, now: float
    ) -> float:
        """Return the level of a bucket once some routers have been silent for a time.

        The buckets of the parts hold a request each, together more than the whole one.
        So a part begins without what the others may have refilled meanwhile.
        """
        lost_share = share_before - self._own_share
        level = bucket.level - max(0.0, bucket.level) * lost_share / share_before
        return level - lost_share * bucket.cap.rate_per_s * unheard_s

    def _crossing_wait_s(self, bucket: UsageBucket, now: float) -> float:
        # Turns spread the requests that cross announcements.
        return 0.0

    def _lowest_level(self, bucket: UsageBucket) -> float:
        return -bucket.cap.burst - self._terms.tolerance(bucket.cap)


def limit_name(incarnation: IncarnationKey) -> str:
    """Return the name under which an incarnation's requests are announced."""
    instance, born_ms = incarnation
    return f"{instance}/{born_ms}"
