"""Usage caps of client accounts: how much of an account's traffic a fleet may run."""

from __future__ import annotations

from enum import Enum

from .data_class import dataclass


class UsageUnit(Enum):
    """What a cap counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class UsageCap:
    """Cap of one account over all routers: a rate and a burst.

    For example ``UsageCap(36_000, 72_000, UsageUnit.TOKENS, 200).cost(1_540)`` is 1540,
    and the cost of a request without a prompt is 200.
    """

    rate_per_s: float
    burst: float
    unit: UsageUnit = UsageUnit.REQUESTS
    plain_tokens: float = 0.0
    """Cost of a request without a prompt, if the unit is tokens."""

    def cost(self, n_tokens: int | None) -> float:
        """Return what a request uses; ``n_tokens`` is None without a prompt."""
        if self.unit is UsageUnit.REQUESTS:
            return 1.0
        return self.plain_tokens if n_tokens is None else float(n_tokens)


@dataclass(frozen=True)
class UsageTerms:
    """How exactly a fleet has to enforce its caps.

    In a window of T seconds a fleet may run ``(rate * T + burst) * (1 + overshoot) +
    slack`` of an account, where T is ``window_s``.
    """

    window_s: float = 10.0
    overshoot: float = 0.1
    slack: float = 0.0
    """In the unit of the cap."""

    def tolerance(self, cap: UsageCap) -> float:
        """Return what a fleet may run in a window beyond the cap itself."""
        return self.overshoot * (cap.rate_per_s * self.window_s + cap.burst) + (
            self.slack
        )


@dataclass(frozen=True)
class ToleranceUse:
    """What routers use the tolerance of their terms for, and how soon they announce."""

    debt_share: float = 0.25
    """Share of the tolerance by which a bucket may be overdrawn. It lets requests
    through that are larger than the bucket, and covers the delay of announcements the
    other way: what a router wrongly believes used."""
    spare_share: float = 0.4
    """Share of the tolerance by which an account may exceed its rate in a window, while
    the routers have heard each other for some time. A router that does not hear some of
    them may instead save what it has not used, up to its part of this share."""
    min_pause_s: float = 0.1
    max_pause_s: float = 0.5
    """Bounds of the time until something is announced; the more there is, the
    sooner."""
