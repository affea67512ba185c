"""Tell whether an answer ended together with others of the same instance by chance.

Answers of one instance end at different moments, unless something ends all of them: the
worker behind a proxy dies, or an engine resets itself and lives on. Where an answer has
no mark of its end, such a moment is all that shows that it isn't whole::

    ends.record(key, ended_at, is_marked=False, is_open_for_s=4.2)
    ...  # Others end, here and at peers.
    if ends.coincides(key, ended_at):
        ...  # The answer may be a part.

Ends in a window around the one in question are compared with those of the same
instance beside the window. If both come at the same rate, then of ``n + k`` ends the
``n`` in the window are binomial, with the window's share of the whole time as their
probability: the conditional test for two Poisson rates of Przyborowski and Wilenski
(Homogeneity of results in testing samples from Poisson series, Biometrika 31, 1940). It
is exact at any rate, also where few ends are known, and needs no estimate of the rate.

The rate changes with the load. So the ends are compared with all of the recent past,
with the last few before the window and with the first few after it, and must be too
many by each of these. What is known after the window depends on when the question is
asked: a second later is better than at once.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple

from .part_index import IncarnationKey

FALSE_POSITIVE_RATE: Final = 0.01
"""Largest share of whole ends without a mark that are taken for coincident, of an
instance whose answers end independently of each other."""

OWN_S: Final = 0.02
"""Largest distance of two ends of one moment that this router has seen itself."""

PEER_S: Final = 0.05
"""Largest distance if a peer has told one of them: it includes the way over links."""

STEP_S: Final = 0.02
"""Largest time between two steps of an engine, in which it sends events of all its
answers. A window counts as longer by one step, since it touches that many more."""

SAME_START_S: Final = 0.3
"""Distance of the beginnings of answers that count as begun at once. Answers that are
open for less than 0.2 s end together if their callers come together."""

GUARD_S: Final = 0.1
"""Time on both sides of a window that counts for nothing: what ends with the others may
be late, and would show a high rate."""

HISTORY_S: Final = 20.0
"""Time before an end with which it is compared."""

N_NEAREST: Final = 6
"""Number of ends that show the rate just before, or just after, a window."""

KEPT_S: Final = HISTORY_S + 5.0
"""Time for which ends are kept."""

MAX_ENDS: Final = 400
"""Maximum number of ends kept of one incarnation."""

MAX_ALL_ENDS: Final = 50_000
"""Maximum number of ends kept of all incarnations, about 10 MB. Beyond it, those of the
incarnation that was heard of the longest ago are dropped."""

MAX_SKEW_S: Final = 0.5
"""Largest difference of the times that are told of one end."""


class KnownEnd(NamedTuple):
    """The end of one answer."""

    at: float
    """On this router's clock."""
    begun_at: float
    number: int
    """Random number by which the end is recognized; 0 for none."""
    is_marked: bool
    is_own: bool
    """Whether this router has seen it itself."""
    is_direct: bool
    """Whether it is an own one, or was told by the router that has seen it."""


class _Ends:
    """Recent ends of one incarnation, in order."""

    def __init__(self, complete_since: float) -> None:
        """``complete_since`` is since when all ends are recorded."""
        self.ends: list[KnownEnd] = []
        self._complete_since = complete_since
        self._begun_at = math.inf
        """When the first of its answers began."""

    @property
    def known_since(self) -> float:
        """Since when its ends are known, and it had answers that could end."""
        return max(self._complete_since, self._begun_at)

    def add(self, end: KnownEnd) -> int:
        """Add an end, and drop those that are too old or too many.

        Return by how many ends it has grown.
        """
        ends = self.ends
        insort(ends, end)
        self._begun_at = min(self._begun_at, end.begun_at)
        n_old = bisect_left(ends, (ends[-1].at - KEPT_S,))
        n_dropped = max(n_old, len(ends) - MAX_ENDS)
        if n_dropped:
            dropped_at = ends[n_dropped - 1].at
            self._complete_since = max(self._complete_since, dropped_at)
            del ends[:n_dropped]
        return 1 - n_dropped

    def find(self, number: int, at: float) -> KnownEnd | None:
        """Return the end with a number that came at about a time."""
        near = _between(self.ends, at - MAX_SKEW_S, at + MAX_SKEW_S)
        return next((end for end in near if end.number == number), None)

    def correct(self, known: KnownEnd, end: KnownEnd) -> None:
        """Replace what is known of an end."""
        del self.ends[bisect_left(self.ends, known)]
        insort(self.ends, end)


class EndCoincidence:
    """Recent ends of answers by instance, of this router and of its peers.

    At most ``FALSE_POSITIVE_RATE`` of the whole ends of an instance coincide if its
    answers end independently, also if it sends events in steps of ``STEP_S``, so that
    several end in one step, and marks no end at all. Answers that began at once, and
    may end at once since they are of one length, count as one: ``n`` is a number of
    beginnings, while each end beside the window counts. So a moment that ends answers
    which all began at once isn't found. Ends with a mark show how many are usual, but
    don't coincide with any; a cut answer counts like one without a mark.

    Of an instance that rarely ends an answer, three that end at one moment are found.
    Two are only if this router has seen both, and hardly any in the time before. The
    more ends are usual, the more of them it takes.
    """

    def __init__(self) -> None:
        self._ends: OrderedDict[IncarnationKey, _Ends] = OrderedDict()
        """By incarnation, that with the latest news last."""
        self._n_ends = 0
        self._complete_since: float | None = None
        """Since when the ends of all incarnations are recorded; None before any is."""

    def record(
        self,
        key: IncarnationKey,
        ended_at: float,
        is_marked: bool,
        is_open_for_s: float,
        number: int = 0,
    ) -> None:
        """Record an end that this router has seen.

        ``is_open_for_s`` is the time since the answer began.
        """
        begun_at = ended_at - max(0.0, is_open_for_s)
        end = KnownEnd(ended_at, begun_at, number, is_marked, True, True)
        self._add(key, end)

    def record_peer(
        self,
        key: IncarnationKey,
        ended_at: float,
        is_open_for_s: float,
        number: int = 0,
        is_direct: bool = True,
    ) -> bool:
        """Record an end without a mark that a peer has told.

        ``is_direct`` tells whether the peer has seen it itself. Return False if one of
        that number is known. Of the times that are told of one, the earliest is the
        nearest: each is late by its way.
        """
        begun_at = ended_at - max(0.0, is_open_for_s)
        told = KnownEnd(ended_at, begun_at, number, False, False, is_direct)
        ends = self._ends.get(key)
        known = ends.find(number, ended_at) if ends and number else None
        if ends is None or known is None:
            self._add(key, told)
            return True
        if not known.is_own and ended_at < known.at:
            ends.correct(known, told._replace(is_direct=is_direct or known.is_direct))
        return False

    def _add(self, key: IncarnationKey, end: KnownEnd) -> None:
        if self._complete_since is None:
            self._complete_since = end.at
        known = self._ends.setdefault(key, _Ends(self._complete_since))
        self._ends.move_to_end(key)
        self._n_ends += known.add(end)
        while len(self._ends) > 1:
            oldest = next(iter(self._ends.values()))
            last_at = oldest.ends[-1].at
            if last_at >= end.at - KEPT_S:
                if self._n_ends <= MAX_ALL_ENDS:
                    break
                self._complete_since = max(self._complete_since, last_at)
            self._n_ends -= len(oldest.ends)
            self._ends.popitem(last=False)

    def n_direct(self, key: IncarnationKey, ended_at: float) -> int:
        """Return the number of recent ends before one, without those passed on."""
        known = self._ends.get(key)
        if known is None:
            return 0
        before = _between(known.ends, ended_at - HISTORY_S, ended_at - GUARD_S)
        return sum(end.is_direct for end in before)

    def coincides(self, key: IncarnationKey, ended_at: float) -> bool:
        """Return whether a recorded end of this router coincides with others.

        The ends that this router has seen are compared by themselves too, since they
        lie closer together. Each comparison may be wrong in half of the stated share.
        """
        known = self._ends.get(key)
        if known is None:
            return False
        own = [end for end in known.ends if end.is_own]
        level, since = FALSE_POSITIVE_RATE / 2, known.known_since
        if _has_too_many(own, ended_at, OWN_S, since, level):
            return True
        has_peers = len(own) < len(known.ends)
        return has_peers and _has_too_many(known.ends, ended_at, PEER_S, since, level)


def _between(ends: list[KnownEnd], first: float, last: float) -> list[KnownEnd]:
    """Return the ends from one time to another, both included."""
    begin = bisect_left(ends, (first,))
    return ends[begin : bisect_right(ends, (last, math.inf), begin)]


def _has_too_many(
    ends: list[KnownEnd],
    ended_at: float,
    reach_s: float,
    known_since: float,
    level: float,
) -> bool:
    """Return whether more ends lie around one than the rate beside them explains."""
    close = _between(ends, ended_at - reach_s, ended_at + reach_s)
    n = _n_beginnings(end.begun_at for end in close if not end.is_marked) - 1
    if n < 1:
        return False
    window_s = 2 * reach_s + STEP_S
    last, first = ended_at - reach_s - GUARD_S, ended_at + reach_s + GUARD_S
    oldest = max(known_since, last - HISTORY_S)
    before = ends[bisect_left(ends, (oldest,)) : bisect_left(ends, (last,))]
    after = ends[bisect_right(ends, (first, math.inf)) :]
    compared = [(len(before), last - oldest)]
    if len(before) >= N_NEAREST:
        compared.append((N_NEAREST, last - before[-N_NEAREST].at))
    if len(after) >= N_NEAREST:
        compared.append((N_NEAREST, after[N_NEAREST - 1].at - first))
    return all(
        beside_s > 0 and _tail(n, n + k, window_s / (window_s + beside_s)) <= level
        for k, beside_s in compared
    )


def _n_beginnings(begun_at: Iterable[float]) -> int:
    """Return the number of beginnings, where those at once count as one."""
    n, first = 0, -math.inf
    for at in sorted(begun_at):
        if at - first > SAME_START_S:
            n, first = n + 1, at
    return n


def _tail(n_least: int, n: int, share: float) -> float:
    """Return the probability of ``n_least`` or more successes of ``n``."""
    fewer, term = 0.0, (1 - share) ** n
    for i in range(n_least):
        fewer += term
        term *= (n - i) / (i + 1) * share / (1 - share)
    return 1 - fewer
