"""The pace at which an instance that starts or recovers is given work by all routers.

Work is counted in seconds of a steady instance of that speed, so a pace of 1 keeps such
an instance just busy. The pace begins at a share of that and grows by the work that was
answered in time, as the window of TCP in slow start grows by what is acknowledged
(RFC 5681). It backs off by the ratio of the expected to the observed time, as gradient
limits do, at most once for what was sent before the last time.

Each router has an even share of the pace. It takes turns with the others, in an order
that needs no messages, and a turn that is not used in time lapses. Otherwise the turns
that all routers saved would be used at one moment.

For example, with four routers and a pace of 0.5, a router may send requests of 50 ms of
work every 0.4 s.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

from .data_class import dataclass

T = TypeVar("T")

FIRST_PACE: Final = 0.25
"""Pace of an instance of which nothing is known."""

LOADED_PACE: Final = 0.6
"""Pace of an instance that has served before and has lost only its cache."""

MIN_LOADED_PACE: Final = 0.3
"""Least pace of such an instance: slow answers then come from reading all prompts anew,
and from its moments of slowness."""

MIN_PACE: Final = 0.1
"""Least pace: an instance that gets nothing can't show that it has recovered."""

FULL_PACE: Final = 1.05
"""Pace that ends the start: over 1, since one turn in twenty lapses."""

ROUND_S: Final = 0.5
"""The pace grows by 1 for this many seconds of work answered in time."""

CAREFUL_FACTOR: Final = 3.0
"""How much slower the pace grows beyond that at which it has backed off."""

UNHEARD_S: Final = 1.7
"""Time in which the pace grows by the factor e while nothing is heard. Then no instance
that serves is left idle by routers that hear neither it nor each other."""

HEARD_TTL_S: Final = 1.5
"""Time after a report of another router, or a late answer, for which the pace grows by
answers alone; covers the longest interval between reports."""

HOLD_SHARE: Final = 0.5
"""Share of the tolerated delay from which an answer no longer raises the pace."""

OVERDUE_FACTOR: Final = 1.5
"""Multiple of the tolerated delay from which a request without an answer is late."""

MIN_REQUEST_S: Final = 0.001
"""Least work of a request: one whose prompt is cached takes some time too."""

MIN_REACH: Final = 0.02
"""Lower bound of the share of routers heard, by which their work is divided."""

MIN_BACKOFF: Final = 0.5
"""Least factor of one backoff."""

SETTLED_S: Final = 1.0
"""Time at the full pace after which the instance is no longer paced."""

MAX_PACED_S: Final = 15.0
"""Longest time for which an instance is paced after its last failure. One that is still
slow is uneven and not new; the estimates of its load cover that."""

MAX_LOADED_S: Final = 4.0
"""Longest time for which an instance is paced that has lost only its cache."""

MIN_TURN_S: Final = 0.05
MAX_TURN_S: Final = 1.5
"""Bounds of the time after which an unused turn lapses."""


@dataclass(frozen=True)
class PaceReport:
    """What a router tells the others of one incarnation's pace; totals since a base."""

    n_backoffs: int
    """Number of backoffs since the start; the report with the most is the newest."""
    base: float
    """Pace from which it has grown since the last one."""
    threshold: float
    """Pace beyond which it grows slowly."""
    answered_s: float
    """Work of the sender that was answered in time since then."""


@dataclass(frozen=True)
class FleetView:
    """What a router knows of the others at one moment."""

    n_routers: int = 1
    reach: float = 1.0
    """Share of the other routers whose reports arrive here."""
    turn_s: float = MIN_TURN_S
    """Time after which an unused turn lapses: some requests of this router apart."""


@dataclass
class _Sent:
    at: float
    work_s: float
    expected_s: float
    tolerated_s: float


class InstancePace:
    """Pace of one incarnation, as one router knows it.

    ``phase`` is this router's place in the order of turns, from 0 to 1. ``age_s`` says
    for how long the instance has already been running unheard.
    """

    def __init__(
        self,
        now: float,
        base: float = FIRST_PACE,
        phase: float = 0.0,
        request_s: float = 0.05,
        age_s: float = 0.0,
    ) -> None:
        self.n_backoffs = 0
        self.is_of_known_speed = base >= LOADED_PACE
        """Whether nothing but its cache makes the instance differ from a steady one."""
        self._base = base
        self._threshold = math.inf
        self._began_at = now
        self._backed_off_at = -math.inf
        self._answered_s = 0.0
        self._heard: dict[str, float] = {}
        """By router: its work that was answered in time since the base."""
        self._heard_s = 0.0
        self._time_pace = base
        """Pace by time alone, up to which it had grown at ``_time_pace_at``."""
        self._time_pace_at = now - age_s
        self._heard_at = -math.inf
        """When a report or a late answer last told how the instance fares."""
        self._request_s = max(MIN_REQUEST_S, request_s)
        """Mean work of a request."""
        self._level_s = -phase * self._request_s
        """Work that this router may send; it has a turn while this is not negative."""
        self._level_at = now
        self._pace = base
        """Pace at ``_level_at``."""
        self._full_since = now if base >= FULL_PACE else None
        self._sent: dict[str, _Sent] = {}

    @property
    def _least(self) -> float:
        return MIN_LOADED_PACE if self.is_of_known_speed else MIN_PACE

    def pace(self, now: float, fleet: FleetView) -> float:
        """Return the pace of all routers together, from ``MIN_PACE`` to its full."""
        answered_s = self._answered_s + self._heard_s / max(fleet.reach, MIN_REACH)
        by_answers = self._base + answered_s / ROUND_S
        if by_answers > self._threshold:
            by_answers -= (by_answers - self._threshold) * (1 - 1 / CAREFUL_FACTOR)
        return min(FULL_PACE, max(self._least, by_answers, self._pace_by_time(now)))

    def _pace_by_time(self, now: float) -> float:
        since = max(self._time_pace_at, self._heard_at + HEARD_TTL_S)
        care = CAREFUL_FACTOR if self.n_backoffs else 1.0
        unheard = min(9.0, (now - since) / (UNHEARD_S * care))
        return self._time_pace * math.exp(max(0.0, unheard))

    def _note(self, now: float) -> None:
        """Stop the growth by time, since the instance or the others were heard."""
        self._time_pace = min(FULL_PACE, self._pace_by_time(now))
        self._time_pace_at = self._heard_at = now

    def may_send(self, now: float, fleet: FleetView) -> bool:
        """Return whether this router has a turn now."""
        self._advance(now, fleet)
        return self._level_s >= 0

    def owed_s(self, now: float, fleet: FleetView) -> float:
        """Return the time until this router's next turn, negative during one."""
        self._advance(now, fleet)
        return -self._level_s * fleet.n_routers / self._pace

    def is_settled(self, now: float, fleet: FleetView) -> bool:
        """Return whether the instance needs no pace any more."""
        self._advance(now, fleet)
        full_s = now - self._full_since if self._full_since is not None else 0.0
        longest_s = MAX_LOADED_S if self.is_of_known_speed else MAX_PACED_S
        return full_s >= SETTLED_S or now - self._began_at >= longest_s

    def sent(
        self,
        key: str,
        work_s: float,
        expected_s: float,
        tolerated_s: float,
        now: float,
        fleet: FleetView,
    ) -> None:
        """Record a request.

        A steady instance takes ``expected_s`` to the first byte; its caller can bear
        ``tolerated_s`` more.
        """
        self._advance(now, fleet)
        # By the mean: with the size of each, turns would follow each other faster until
        # those with a large request are as many as in the long run.
        self._level_s -= self._request_s
        self._sent[key] = _Sent(now, work_s, expected_s, tolerated_s)

    def answered(
        self,
        key: str,
        now: float,
        fleet: FleetView,
        is_full: bool = False,
        slowdown: float = 1.0,
    ) -> None:
        """Record the first byte of an answer.

        ``is_full`` says whether the instance reports that requests wait for its slots,
        ``slowdown`` how long it says that work takes at the moment; 1 is as usual.
        """
        sent = self._sent.pop(key, None)
        if sent is None:
            return
        # A moment of slowness passes before a lower pace would help.
        late_s = now - sent.at - sent.expected_s * max(1.0, slowdown)
        if late_s > sent.tolerated_s:
            self._back_off(sent.at, sent.tolerated_s / late_s, now, fleet)
        elif is_full or late_s > HOLD_SHARE * sent.tolerated_s:
            self._note(now)
        else:
            self._answered_s += sent.work_s

    def refused(self, key: str, now: float, fleet: FleetView) -> None:
        """Record that the instance turned a request away as full."""
        sent = self._sent.pop(key, None)
        if sent is not None:
            self._back_off(sent.at, MIN_BACKOFF, now, fleet)

    def ended(self, key: str) -> None:
        """Record that a request has ended, perhaps without an answer."""
        self._sent.pop(key, None)

    def failed(self, now: float, fleet: FleetView) -> None:
        """Begin anew after a crash or a failed connection."""
        before = self.pace(now, fleet)
        self.is_of_known_speed = False
        self.n_backoffs += 1
        self._restart(MIN_PACE, max(FIRST_PACE, before / 2), now)
        self._began_at = now
        self._sent.clear()

    def report(self) -> PaceReport:
        """Return what the other routers should know."""
        threshold = min(FULL_PACE, self._threshold)
        return PaceReport(self.n_backoffs, self._base, threshold, self._answered_s)

    def merge(self, router: str, report: PaceReport, now: float) -> None:
        """Merge another router's report, which may be late, repeated or reordered."""
        if not _is_valid(report) or report.n_backoffs < self.n_backoffs:
            return
        self._note(now)
        if report.n_backoffs > self.n_backoffs:
            self.n_backoffs = report.n_backoffs
            self._restart(report.base, report.threshold, now)
        elif report.base < self._base:
            self._base = max(self._least, report.base)
        known_s = self._heard.get(router, 0.0)
        # A restarted router begins its total anew; the greater one is still true.
        if report.answered_s > known_s:
            self._heard[router] = report.answered_s
            self._heard_s += report.answered_s - known_s

    def _back_off(
        self, sent_at: float, factor: float, now: float, fleet: FleetView
    ) -> None:
        if sent_at < self._backed_off_at:
            # Sent at the pace before: it says nothing of the present one.
            return
        base = self.pace(now, fleet) * max(MIN_BACKOFF, min(1.0, factor))
        self.n_backoffs += 1
        self._restart(base, base, now)

    def _restart(self, base: float, threshold: float, now: float) -> None:
        self._base = min(FULL_PACE, max(self._least, base))
        self._threshold = threshold
        self._backed_off_at = now
        self._time_pace, self._time_pace_at = self._base, now
        self._heard_at = now
        self._answered_s = self._heard_s = 0.0
        self._heard.clear()
        self._full_since = None

    def _advance(self, now: float, fleet: FleetView) -> None:
        """Bring the turn and the overdue requests up to the present."""
        if now <= self._level_at:
            return
        for key, sent in list(self._sent.items()):
            due_s = sent.expected_s + OVERDUE_FACTOR * sent.tolerated_s
            if now - sent.at > due_s:
                del self._sent[key]
                self._back_off(sent.at, MIN_BACKOFF, now, fleet)
        self._pace = self.pace(now, fleet)
        if self._pace < FULL_PACE:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        own_pace = self._pace / max(1, fleet.n_routers)
        self._level_s += own_pace * (now - self._level_at)
        self._level_at = now
        most_s = own_pace * min(MAX_TURN_S, max(MIN_TURN_S, fleet.turn_s))
        if self._level_s > most_s:
            if most_s >= self._request_s:
                self._level_s = most_s
            else:
                # The turn has lapsed, and each one that followed unused.
                n_lapsed = math.ceil((self._level_s - most_s) / self._request_s)
                self._level_s -= n_lapsed * self._request_s


def _is_valid(report: PaceReport) -> bool:
    return (
        report.n_backoffs >= 0
        and 0 <= report.base <= FULL_PACE
        and 0 <= report.threshold <= FULL_PACE
        and 0 <= report.answered_s < math.inf
    )


def without_turn(
    items: Sequence[T],
    pace_of: Callable[[T], InstancePace | None],
    now: float,
    fleet: FleetView,
    is_preferred: Callable[[T], bool] = lambda item: True,
) -> list[T]:
    """Return the instances that should not be sent a request now; never all of them.

    Of preferred ones, too, one is left: that whose turn comes first.
    """
    paced: list[tuple[T, InstancePace]] = []
    others: list[T] = []
    for item in items:
        pace = pace_of(item)
        if pace is not None and not pace.may_send(now, fleet):
            paced.append((item, pace))
        else:
            others.append(item)
    if paced and not any(map(is_preferred, others)):
        preferred = [pair for pair in paced if is_preferred(pair[0])]
        if preferred or len(paced) == len(items):
            first = min(preferred or paced, key=lambda pair: pair[1].owed_s(now, fleet))
            paced.remove(first)
    return [item for item, _ in paced]
