"""When to announce work to the peers, at a bounded mean rate."""

from __future__ import annotations

from typing import Final

EARLY_SHARE: Final = 0.5
"""Share of the interval by which an announcement may be early."""

LATEST_SHARE: Final = 1.25
"""Longest time between two announcements, as a share of the interval."""


class UpdateSchedule:
    """Announce at once what matters, and the rest later, at the same mean rate.

    A large prompt lengthens an engine's queue at once, so it is worth an announcement
    before its turn; the next one is later instead. This is the generic cell rate
    algorithm of ITU-T I.371 with a tolerance of half an interval.
    """

    def __init__(self) -> None:
        self._due_at = 0.0
        """When the announcements so far are paid for."""
        self._sent_at = 0.0

    def sent(self, interval_s: float, now: float) -> None:
        """Record an announcement."""
        self._due_at = max(self._due_at, now) + interval_s
        self._sent_at = now

    def earliest_s(self, interval_s: float, now: float) -> float:
        """Return the time until an announcement that was requested may be sent."""
        return max(0.0, self._due_at - EARLY_SHARE * interval_s - now)

    def latest_s(self, interval_s: float, now: float) -> float:
        """Return the time until the next announcement if none is requested."""
        latest_at = max(self._due_at, self._sent_at + LATEST_SHARE * interval_s)
        return max(0.0, latest_at - now)
