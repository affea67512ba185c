"""Enforce usage caps over a fleet of routers without a coordinator.

Each router keeps one token bucket for each capped account and charges it with its own
requests and with what the other routers announce. A router may run a part of the cap's
tolerance before it announces that, so accounts far from their cap cost few messages and
no request ever waits for a peer.

A router that does not hear from some of the others reserves for them an even share of
the bucket and of the rate, among all routers that may be running. Cut off from all
others, it has only its own share. What it later learns that they have used is charged
to the reserve first.

Totals are announced instead of changes, with a sequence number: announcements may be
lost, repeated, or arrive in any order over any path. A restarted router starts with an
empty bucket, since it does not know what was used before.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Final

from ._usage_bucket import AnnouncedUsage, UsageBucket
from .identity import Incarnation, InstanceId
from .message import AccountUsage
from .usage_cap import ToleranceUse, UsageCap, UsageTerms, UsageUnit

WHOLE_HEARD_SHARE: Final = 0.9
"""Fraction of the other routers that are heard from which a fleet counts as whole."""

WHOLE_S: Final = 2.0

UNANNOUNCED_SHARE: Final = 0.2
"""Share of the tolerance that all routers together may run unannounced while a bucket
is empty. The rest covers the debt, and what routers admit while announcements are on
their way."""

UNANNOUNCED_LEVEL_SHARE: Final = 0.4
"""Share of a bucket's level that they may run unannounced besides."""

LOW_LEVEL_SHARE: Final = 0.25
"""Share of a bucket below which what others use of it is passed on sooner."""

UNSTRETCHED_ROUTERS: Final = 32
"""Size of a fleet from which these times grow with it, so that a router receives no
more announcements in a larger one."""

MAX_BEHIND_SHARE: Final = 0.4
"""Share of the burst, beyond the debt, by which a router may believe more used than
others do, whose requests are run meanwhile, unless all have long been heard. It is more
where the debt is, since one prompt then exceeds the burst."""

MAX_SPLIT: Final = 64
"""Most routers among which the unannounced amount is split. Among more, each request
would have to be announced; an account's traffic does not arrive at all of them."""

SETTLE_S: Final = 1.0
"""How long after routers are heard again the reserve pays for what they announce."""

UNHEARD_S: Final = 1.0
"""Silence of a router, before others are heard again, from which the reserve pays for
its next announcement. A router that uses much of an account announces that more often
while it is heard."""

CROSSING_S: Final = 0.5
"""Time within which the others have heard of a request, also on a busy machine."""

MAX_ACCOUNTS_ANNOUNCED: Final = 256
"""Most entries in one announcement; further ones follow in the next."""

Key = tuple[str, str]
"""Account and unit of its cap."""


class UsageLedger:
    """What the accounts of a fleet have used, as known to one router.

    Its methods never block. ``now`` is the router's clock, which counts pauses of the
    process. For example::

        if not ledger.charge("acme", 1540, now):
            retry_after_s = ledger.wait_s("acme", 1540, now)
    """

    def __init__(
        self,
        router: InstanceId,
        epoch: int,
        terms: UsageTerms,
        tolerance_use: ToleranceUse | None = None,
    ) -> None:
        self._router = router
        self._epoch = epoch
        self._terms = terms
        self._use = tolerance_use or ToleranceUse()
        self._buckets: dict[Key, UsageBucket] = {}
        self._keys: dict[str, Key] = {}
        """Key in force by account."""
        self._due: dict[Key, float] = {}
        """Own entries to announce, with when."""
        self._learned: dict[tuple[Key, Incarnation], AccountUsage] = {}
        """Entries of other routers to pass on."""
        self._learned_due_at = math.inf
        self._has_caps = False
        self._n_routers = 1
        self._heard_share = 1.0
        self._risen_at = -math.inf
        """When more routers were last heard than before."""
        self._rejoined_at = -math.inf
        """When the first of several such moments was."""
        self._whole_since = math.inf
        """Since when the fleet counts as whole; infinite while it does not."""
        self._split_since = -math.inf
        """When it last ceased to be whole."""

    @property
    def max_pause_s(self) -> float:
        """Longest time until an announcement, in a fleet of few routers."""
        return self._use.max_pause_s

    # Configuration and fleet.

    def set_caps(self, caps: Mapping[str, UsageCap], now: float) -> None:
        """Apply the caps in force; the use of accounts whose cap changes is kept."""
        keys = {name: (name, cap.unit.value) for name, cap in caps.items()}
        for name, cap in caps.items():
            bucket = self._buckets.get(keys[name])
            if bucket is None:
                # After a start, what was used before is not known, nor what crossed.
                level = cap.burst if self._has_caps else -self._crossing(cap)
                self._buckets[keys[name]] = UsageBucket(cap, level, now)
            elif bucket.cap != cap:
                self._refill(bucket, now)
                raised = max(0.0, cap.burst - bucket.cap.burst)
                bucket.cap = cap
                bucket.level = min(bucket.level + raised, cap.burst)
        for key in self._buckets.keys() - set(keys.values()):
            del self._buckets[key]
            self._due.pop(key, None)
        self._keys = keys
        self._has_caps = True

    def set_fleet(
        self, n_routers: int, heard_share: float, unheard_s: float, now: float
    ) -> None:
        """Set the number of routers that may be running, including this one.

        ``heard_share`` is the fraction of the others whose announcements arrive;
        those that are newly missing have been silent for ``unheard_s``.
        """
        n_routers = max(1, n_routers)
        if (n_routers, heard_share) == (self._n_routers, self._heard_share):
            return
        if heard_share > self._heard_share:
            if now - self._risen_at >= SETTLE_S:
                self._rejoined_at = now
            self._risen_at = now
            self._announce_apart(now)
        for bucket in self._buckets.values():
            self._refill(bucket, now)
            # What was saved lapses: others may know nothing of it, or have run it.
            bucket.level = min(bucket.level, self._capacity(bucket))
        if heard_share < WHOLE_HEARD_SHARE:
            if math.isfinite(self._whole_since):
                self._split_since = now
                for bucket in self._buckets.values():
                    bucket.total_whole = bucket.total - bucket.unannounced
            self._whole_since = math.inf
        elif math.isinf(self._whole_since):
            self._whole_since = now
        before = self._own_share
        self._n_routers, self._heard_share = n_routers, heard_share
        if self._own_share >= before:
            return
        for bucket in self._buckets.values():
            level = self._level_of_part(bucket, before, unheard_s, now)
            reserved = bucket.reserve + bucket.level - level
            bucket.reserve = max(0.0, reserved)
            bucket.level = level

    def _announce_apart(self, now: float) -> None:
        """Announce at once what was run while others did not hear it.

        They take it from their reserve. Later it could not be told apart from what is
        run of the bucket that all share again.
        """
        if self._heard_share >= WHOLE_HEARD_SHARE:
            return
        for key, bucket in self._buckets.items():
            if bucket.total != bucket.total_whole:
                self._due[key] = now
                bucket.must_announce = True

    def _level_of_part(
        self, bucket: UsageBucket, share_before: float, unheard_s: float, now: float
    ) -> float:
        """Return the level of a bucket once some routers have been silent for a time.

        This part of the fleet keeps its share of the level, or of the debt, that there
        was when the others were last heard, and pays for all that it has run since.
        """
        steps = bucket.steps_since(now - unheard_s)
        if not steps:
            return bucket.level * self._own_share / share_before
        share, capacity = self._own_share, self._capacity(bucket)
        level = steps[0].level * min(1.0, share / steps[0].share)
        at = steps[0].at
        for step in steps:
            grown = (step.at - at) * bucket.cap.rate_per_s * share
            level = min(capacity, level + grown) - step.own
            if self._heard_share > 0:
                # A router cut off from all others is not charged for their requests.
                level -= step.others
            at = step.at
        return min(capacity, level + (now - at) * bucket.cap.rate_per_s * share)

    @property
    def _own_share(self) -> float:
        """Share of each cap for this router and those that it hears."""
        n_heard = 1 + (self._n_routers - 1) * self._heard_share
        return n_heard / self._n_routers

    @property
    def n_routers(self) -> int:
        """Number of routers that may be running, including this one."""
        return self._n_routers

    @property
    def heard_share(self) -> float:
        """Fraction of the other routers whose announcements arrive."""
        return self._heard_share

    # Requests.

    def charge(self, account: str, cost: float, now: float) -> bool:
        """Charge a request that is about to run; return False if the cap is reached.

        A request that is larger than the bucket is charged to a full one.
        """
        bucket = self._refilled(account, now)
        if bucket is None:
            return True
        key = self._keys[account]
        is_low = bucket.level < self._level_needed(key, bucket, cost)
        if is_low or self._crossing_wait_s(bucket, now) > 0:
            return False
        self._spend(key, bucket, cost, now)
        return True

    def charge_always(self, account: str, cost: float, now: float) -> None:
        """Charge a run that cannot be refused any more."""
        bucket = self._refilled(account, now)
        if bucket is not None:
            self._spend(self._keys[account], bucket, cost, now)

    def refund(self, account: str, cost: float, now: float) -> None:
        """Return the charge of a request that did not run."""
        self.charge_always(account, -cost, now)

    def wait_s(self, account: str, cost: float, now: float) -> float:
        """Return the time until a request of this cost would be charged."""
        bucket = self._refilled(account, now)
        if bucket is None:
            return 0.0
        needed = self._level_needed(self._keys[account], bucket, cost)
        rate = bucket.cap.rate_per_s * self._own_share
        refilled_s = max(0.0, needed - bucket.level) / rate
        return max(refilled_s, self._crossing_wait_s(bucket, now))

    def used(self, account: str, now: float) -> float:
        """Return how much of an account's burst is used, as far as this router knows.

        It exceeds the burst while the account is over its cap.
        """
        bucket = self._refilled(account, now)
        if bucket is None:
            return 0.0
        return max(0.0, self._capacity(bucket) - bucket.level)

    # Announcements.

    @property
    def announces_at(self) -> float:
        """When to make the next announcement; infinite if there is nothing to tell."""
        return min(self._learned_due_at, *self._due.values(), math.inf)

    def take_own(self, now: float) -> tuple[AccountUsage, ...]:
        """Return this router's own entries that are due, for all linked routers.

        What a full bucket has refilled since need not be announced any more.
        """
        entries = []
        for key in list(self._due)[:MAX_ACCOUNTS_ANNOUNCED]:
            del self._due[key]
            bucket = self._buckets[key]
            self._refill(bucket, now)
            is_due = math.isfinite(self._announcement_pause_s(bucket))
            if not is_due and not bucket.must_announce:
                continue
            bucket.must_announce = False
            bucket.number += 1
            bucket.unannounced = 0.0
            entries.append(
                AccountUsage(
                    *key, self._router, self._epoch, bucket.number, bucket.total
                )
            )
        return tuple(entries)

    def take_learned(self) -> tuple[AccountUsage, ...]:
        """Return entries of other routers to pass on to a few linked routers."""
        chosen = list(self._learned)[:MAX_ACCOUNTS_ANNOUNCED]
        entries = tuple(self._learned.pop(name) for name in chosen)
        if not self._learned:
            self._learned_due_at = math.inf
        return entries

    def merge(self, entries: Iterable[AccountUsage], now: float) -> None:
        """Charge what other routers announce; entries that are known are ignored."""
        for entry in entries:
            key = (entry.account, entry.unit)
            bucket = self._buckets.get(key)
            if bucket is None or entry.router == self._router:
                continue
            incarnation = Incarnation(entry.router, entry.epoch)
            known = bucket.peers.get(incarnation)
            if known is not None and entry.number <= known.number:
                continue
            self._refill(bucket, now)
            # The total of a router that is new here may reach back beyond the window.
            used = (
                min(entry.total, bucket.cap.burst)
                if known is None
                else entry.total - known.total
            )
            heard_at = -math.inf if known is None else known.at
            used -= self._take_reserve(bucket, used, heard_at, now)
            lowest = self._lowest_level(bucket)
            bucket.step(self._own_share, now).others += used
            bucket.level = min(max(bucket.level - used, lowest), bucket.cap.burst)
            if known is None:
                bucket.forget_earlier(entry.router, now)
            bucket.peers[incarnation] = AnnouncedUsage(entry.number, entry.total, now)
            self._learned[key, incarnation] = entry
            is_low = bucket.level < LOW_LEVEL_SHARE * bucket.cap.burst
            max_pause_s = self._use.max_pause_s
            pause_s = self._stretch * (max_pause_s / 2 if is_low else max_pause_s)
            due_at = now + pause_s
            self._learned_due_at = min(self._learned_due_at, due_at)

    # Buckets.

    def _refilled(self, account: str, now: float) -> UsageBucket | None:
        """Return an account's bucket at its present level, or None without a cap."""
        key = self._keys.get(account)
        if key is None:
            return None
        bucket = self._buckets[key]
        self._refill(bucket, now)
        return bucket

    def _level_needed(self, key: Key, bucket: UsageBucket, cost: float) -> float:
        """Return the level from which a request of a cost is charged."""
        return min(cost - self._debt_allowed(bucket), self._capacity(bucket))

    def _crossing_wait_s(self, bucket: UsageBucket, now: float) -> float:
        """Return how long to wait for what the other routers run meanwhile.

        Under a cap in requests, routers that are asked for much would all spend the
        level that each knows. So a router's second request before the others have heard
        of its first is limited.
        """
        if self._n_routers == 1 or bucket.cap.unit is not UsageUnit.REQUESTS:
            return 0.0
        recent = bucket.steps_after(now - CROSSING_S)
        own = sum(step.own for step in recent)
        if own <= 0 or own <= self._crossing_allowed(bucket, own):
            return 0.0
        return recent[0].at + CROSSING_S - now

    def _crossing_allowed(self, bucket: UsageBucket, own: float) -> float:
        """Return after how many of its own recent requests a router waits.

        It is its part of the use before them, at least an even share, of the level that
        there was or of what is refilled in that time.
        """
        earlier = sum(step.own for step in bucket.steps) - own
        others = sum(step.others for step in bucket.steps)
        share = earlier / (earlier + others) if earlier > 0 else 0.0
        share = max(share, 1 / (self._n_routers * self._own_share))
        level = bucket.level + own + self._debt_allowed(bucket)
        refilled = bucket.cap.rate_per_s * self._own_share * CROSSING_S
        return round(share * max(level, refilled))

    def _spend(self, key: Key, bucket: UsageBucket, cost: float, now: float) -> None:
        bucket.step(self._own_share, now).own += cost
        bucket.level = min(bucket.level - cost, bucket.cap.burst)
        bucket.total += cost
        bucket.unannounced += cost
        pause_s = self._announcement_pause_s(bucket)
        if math.isfinite(pause_s):
            self._due[key] = min(now + pause_s, self._due.get(key, math.inf))

    def _announcement_pause_s(self, bucket: UsageBucket) -> float:
        """Return how long what is unannounced may remain so.

        It is infinite if that is too little to be announced.
        """
        unannounced = abs(bucket.unannounced)
        allowed = self._unannounced_allowed(bucket)
        if unannounced <= allowed / 2:
            return math.inf
        use = self._use
        pause_s = max(use.min_pause_s, use.max_pause_s * allowed / 2 / unannounced)
        if self._stretch == 1.0:
            return pause_s
        # Short times would announce each request, at each of many routers.
        return self._stretch * max(pause_s, use.max_pause_s / 2)

    @property
    def _stretch(self) -> float:
        return max(1.0, self._n_routers / UNSTRETCHED_ROUTERS)

    def _unannounced_allowed(self, bucket: UsageBucket) -> float:
        """Return what one router may run unannounced for half of the longest pause."""
        of_tolerance = UNANNOUNCED_SHARE * self._terms.tolerance(bucket.cap)
        level = min(bucket.level, self._capacity(bucket))
        of_level = UNANNOUNCED_LEVEL_SHARE * max(0.0, level)
        return (of_tolerance + of_level) / min(self._n_routers, MAX_SPLIT)

    def _take_reserve(
        self, bucket: UsageBucket, used: float, heard_at: float, now: float
    ) -> float:
        """Take what was reserved for a router that was not heard for a time."""
        is_settled = now - self._risen_at >= SETTLE_S
        if is_settled or heard_at >= self._rejoined_at - UNHEARD_S:
            return 0.0
        taken = min(max(0.0, used), bucket.reserve)
        bucket.reserve -= taken
        return taken

    def _refill(self, bucket: UsageBucket, now: float) -> None:
        grown = max(0.0, now - bucket.refilled_at) * self._rate_per_s(bucket.cap, now)
        bucket.refilled_at = max(now, bucket.refilled_at)
        own = grown * self._own_share
        room = max(0.0, self._max_level(bucket) - bucket.level)
        bucket.level += min(own, room)
        # What a full bucket does not take refills what the routers have run
        # unannounced; each takes an even share.
        refilled = max(0.0, own - room) / (self._n_routers * self._own_share)
        bucket.unannounced = max(
            min(bucket.unannounced, 0.0), bucket.unannounced - refilled
        )
        if self._heard_share >= 1.0:
            if now - self._risen_at >= SETTLE_S:
                bucket.reserve = 0.0
        else:
            bucket.reserve += grown - own

    def _rate_per_s(self, cap: UsageCap, now: float) -> float:
        """Return the rate at which an account's bucket is refilled."""
        if not self._is_whole(now):
            return cap.rate_per_s
        return cap.rate_per_s + self._spare(cap) / self._terms.window_s

    def _is_whole(self, now: float) -> bool:
        """Return whether the routers have heard each other for some time."""
        # Until the window is over, what its parts had saved counts against the spare.
        split_s = max(WHOLE_S, self._whole_since - self._split_since)
        return now - self._whole_since >= min(split_s, self._terms.window_s)

    def _capacity(self, bucket: UsageBucket) -> float:
        """Return the level of a full bucket."""
        capacity = bucket.cap.burst * self._own_share
        if bucket.cap.unit is not UsageUnit.REQUESTS:
            return capacity
        # A part of the fleet saves for a request, or each would run one from the start.
        return max(capacity, min(1.0, bucket.cap.burst))

    def _max_level(self, bucket: UsageBucket) -> float:
        """Return the level to which a bucket is refilled, with what it may save.

        A part of the fleet has a part of the burst, and prompts that are larger would
        wait until its bucket is full.
        """
        if self._heard_share >= WHOLE_HEARD_SHARE:
            return self._capacity(bucket)
        saved = self._spare(bucket.cap) * self._own_share
        return min(bucket.cap.burst, self._capacity(bucket) + saved)

    def _spare(self, cap: UsageCap) -> float:
        return self._use.spare_share * self._usable_tolerance(cap)

    def _usable_tolerance(self, cap: UsageCap) -> float:
        """Return the tolerance without what crosses announcements."""
        return self._terms.tolerance(cap) - self._crossing(cap)

    def _crossing(self, cap: UsageCap) -> float:
        """Return the part of the tolerance for requests that cross announcements.

        It is a request of each router and what is refilled meanwhile. Of a cap in
        tokens, a request is a small part.
        """
        if cap.unit is not UsageUnit.REQUESTS or self._n_routers == 1:
            return 0.0
        crossing = self._n_routers + cap.rate_per_s * CROSSING_S
        return min(crossing, self._terms.tolerance(cap))

    def _lowest_level(self, bucket: UsageBucket) -> float:
        """Return the level below which the use of others is not charged any more.

        A greater debt would only keep this router behind the others.
        """
        burst, debt = bucket.cap.burst, self._max_debt(bucket.cap)
        # While all are heard, what many run at the onset of an overload is no drift.
        share = 1.0 if self._is_whole(bucket.refilled_at) else MAX_BEHIND_SHARE
        lowest = -min(burst, max(share * burst, debt)) - debt
        return lowest - self._crossing(bucket.cap)

    def _debt_allowed(self, bucket: UsageBucket) -> float:
        return self._max_debt(bucket.cap) * self._own_share

    def _max_debt(self, cap: UsageCap) -> float:
        return self._use.debt_share * self._usable_tolerance(cap)
