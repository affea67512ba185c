"""Learn the prefill rate of each engine from what all routers of a fleet observe.

In a large fleet a router sends an engine one prompt in several seconds, too few to
learn its rate. So each router announces, for each incarnation, its totals of tokens
and of the seconds that their prefill took, each weighted by the size of the prompt and
with an exponential window, and adds up the totals of all routers. The quotient of the
sums is the rate. Seconds are those at a slowdown of 1: what passed, divided by the
slowdown that the engine reported, which includes how slow its machine always is.

Totals replace those that the same router announced before, and age at the receiver, so
that announcements may be lost, repeated or late. A router that has just started knows
the rates after the first announcements.
"""

from __future__ import annotations

import math
from dataclasses import field
from typing import Final

from .data_class import dataclass
from .instance_report import InstanceLoadReport
from .message import InstanceSpeedReport, SpeedUpdate
from .part_index import IncarnationKey
from .prefill_estimate import FleetSpeed
from .reported_load import ReportedLoad

WINDOW_S: Final = 10.0
"""Time constant with which observations are forgotten. An engine of a fleet is observed
several times a second."""

WEIGHT_TOKENS: Final = 1_000.0
"""Size of a prompt of weight 1. What a prompt waits behind those of other routers is
known in part only; weighted by their size, as in a regression through the origin, long
prompts tell most, whose own prefill is most of what they take."""

MAX_WEIGHT: Final = 4.0
"""Largest weight of a prompt, so that a few very long ones don't decide alone."""

PRIOR_TOKENS: Final = 30_000.0
"""Weight of the common rate in that of one engine: that of three to four prompts of
3,000 tokens."""

MIN_TOKENS: Final = 1.0
"""Totals that have aged below this are dropped."""

MAX_RATIO: Final = 2.0
"""Largest factor by which one observation may differ from the known rate; bounds the
effect of a prompt that waited for weights to load."""

N_REPEATED: Final = 1
"""Unchanged totals to announce besides the changed ones, by turns, so that a router
that has just started or lost announcements learns them too."""

CLOCK_DRIFT: Final = 0.001
"""Largest relative difference of two clocks' rates that is not taken for lateness."""

MAX_ANNOUNCED: Final = 40
"""Maximum number of incarnations in one announcement."""


@dataclass(slots=True)
class _Total:
    """Tokens and usual seconds, as of a time."""

    n_tokens: float = 0.0
    usual_s: float = 0.0
    at: float = 0.0

    def age(self, now: float) -> None:
        """Forget what the time since the last call makes outdated."""
        if now <= self.at:
            return
        factor = math.exp((self.at - now) / WINDOW_S)
        self.n_tokens *= factor
        self.usual_s *= factor
        self.at = now

    def add(self, n_tokens: float, usual_s: float, now: float) -> None:
        """Add to the totals; sums of differences can't fall below 0."""
        self.age(now)
        self.n_tokens = max(0.0, self.n_tokens + n_tokens)
        self.usual_s = max(0.0, self.usual_s + usual_s)


@dataclass
class _Incarnation:
    upstream: str
    own: _Total = field(default_factory=_Total)
    all: _Total = field(default_factory=_Total)
    """Sum of the own totals and those of ``by_router``."""
    by_router: dict[str, _Total] = field(default_factory=dict)
    own_report: InstanceLoadReport | None = None
    """What the engine last reported to this router itself."""
    own_report_at: float = -math.inf
    has_news: bool = False
    tokens_per_s: float | None = None


@dataclass
class _Heard:
    """When the announcements of one process were sent, by its clock."""

    run: int
    sent_ms: int = -1
    shortest_s: float = math.inf
    """Smallest difference between this router's clock and the sender's."""
    at: float = 0.0

    def late_s(self, sent_ms: int, now: float) -> float:
        """Record an announcement and return how late it is against the earliest."""
        difference_s = now - sent_ms / 1000
        drift_s = CLOCK_DRIFT * max(0.0, now - self.at)
        self.shortest_s = min(difference_s, self.shortest_s + drift_s)
        self.sent_ms, self.at = sent_ms, now
        return difference_s - self.shortest_s


class InstanceSpeeds:
    """Prefill rates of the engines that report a slowdown, over the whole fleet."""

    def __init__(self, run: int = 0) -> None:
        self._run = run
        """Random number of this process."""
        self._sent_ms = 0
        self._incarnations: dict[IncarnationKey, _Incarnation] = {}
        self._common: dict[str, _Total] = {}
        """By upstream: the sum over its incarnations."""
        self._heard: dict[str, _Heard] = {}
        """By router."""
        self._turn = 0

    def tokens_per_s(self, key: IncarnationKey, upstream: str) -> float | None:
        """Return the rate of an engine at a slowdown of 1; None if nothing is known.

        It is the common rate of the upstream for an engine not observed yet.
        """
        found = self._incarnations.get(key)
        if found is not None and found.tokens_per_s is not None:
            return found.tokens_per_s
        return self.common_tokens_per_s(upstream)

    def common_tokens_per_s(self, upstream: str) -> float | None:
        """Return the mean rate of an upstream's engines, by tokens; None if unknown."""
        common = self._common.get(upstream)
        if common is None or common.n_tokens < MIN_TOKENS or not common.usual_s:
            return None
        return common.n_tokens / common.usual_s

    def observe(
        self,
        key: IncarnationKey,
        upstream: str,
        n_tokens: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Record how long the prefill of some tokens took at a slowdown of 1."""
        known = self.tokens_per_s(key, upstream)
        if known is not None:
            expected_s = n_tokens / known
            usual_s = min(MAX_RATIO * expected_s, max(usual_s, expected_s / MAX_RATIO))
        weight = min(MAX_WEIGHT, n_tokens / WEIGHT_TOKENS)
        n_tokens, usual_s = weight * n_tokens, weight * usual_s
        found = self._found(key, upstream)
        found.own.add(n_tokens, usual_s, now)
        found.has_news = True
        self._add(found, n_tokens, usual_s, now)

    def record_report(
        self,
        key: IncarnationKey,
        upstream: str,
        report: InstanceLoadReport,
        now: float,
    ) -> None:
        """Record what an engine reported to this router, to be announced."""
        found = self._found(key, upstream)
        found.own_report, found.own_report_at = report, now
        found.has_news = True

    def announcement(self, now: float) -> SpeedUpdate | None:
        """Return what the other routers should know; None without news."""
        news = [key for key, found in self._incarnations.items() if found.has_news]
        if not news:
            return None
        keys = news[:MAX_ANNOUNCED]
        known = [
            key
            for key, found in self._incarnations.items()
            if found.own.usual_s and not found.has_news
        ]
        for _ in range(min(N_REPEATED, len(known), MAX_ANNOUNCED - len(keys))):
            self._turn += 1
            keys.append(known[self._turn % len(known)])
        self._sent_ms = max(self._sent_ms + 1, round(1000 * now))
        reports = tuple(self._speed_report(key, now) for key in keys)
        return SpeedUpdate(self._run, self._sent_ms, reports)

    def merge(
        self,
        router: str,
        update: SpeedUpdate,
        upstreams: dict[IncarnationKey, str],
        now: float,
    ) -> float | None:
        """Record the totals of another router, for the listed incarnations.

        Return by how much the announcement is later than the earliest ones of that
        router, in seconds; None if it is older than one heard before.
        """
        heard = self._heard.get(router)
        if heard is None or heard.run != update.run:
            heard = self._heard[router] = _Heard(update.run)
        elif heard.sent_ms >= update.sent_ms:
            return None
        late_s = heard.late_s(update.sent_ms, now)
        for report in update.reports:
            key = (report.instance, report.born_ms)
            upstream = upstreams.get(key)
            if upstream is None:
                continue
            found = self._found(key, upstream)
            known = found.by_router.get(router)
            if known is None:
                known = found.by_router[router] = _Total()
            known.age(now)
            n_tokens, usual_s = float(report.n_tokens), report.usual_ms / 1000
            self._add(found, n_tokens - known.n_tokens, usual_s - known.usual_s, now)
            known.n_tokens, known.usual_s = n_tokens, usual_s
        return late_s

    @property
    def is_in_use(self) -> bool:
        """Whether reports or rates of any instance are known, here or of a peer."""
        return bool(self._incarnations)

    def forget(self, key: IncarnationKey) -> None:
        """Forget an incarnation that is gone."""
        self._incarnations.pop(key, None)

    def _found(self, key: IncarnationKey, upstream: str) -> _Incarnation:
        found = self._incarnations.get(key)
        if found is None:
            found = self._incarnations[key] = _Incarnation(upstream)
        return found

    def _add(
        self, found: _Incarnation, n_tokens: float, usual_s: float, now: float
    ) -> None:
        found.all.add(n_tokens, usual_s, now)
        common = self._common.get(found.upstream)
        if common is None:
            common = self._common[found.upstream] = _Total()
        common.add(n_tokens, usual_s, now)
        rate = self.common_tokens_per_s(found.upstream)
        if rate is not None:
            found.tokens_per_s = (found.all.n_tokens + PRIOR_TOKENS) / (
                found.all.usual_s + PRIOR_TOKENS / rate
            )

    def _speed_report(self, key: IncarnationKey, now: float) -> InstanceSpeedReport:
        found = self._incarnations[key]
        found.has_news = False
        found.own.age(now)
        report = found.own_report or InstanceLoadReport()
        age_ms = round(1000 * min(60.0, now - found.own_report_at))
        return InstanceSpeedReport(
            *key,
            round(found.own.n_tokens),
            round(1000 * found.own.usual_s),
            report.n_running,
            report.n_waiting,
            None if report.slowdown is None else round(100 * report.slowdown),
            age_ms,
        )


def record_told(reported: ReportedLoad, told: InstanceSpeedReport, at: float) -> None:
    """Record what an engine reported to another router, which told it at a time."""
    slowdown = None if told.slowdown is None else told.slowdown / 100
    at -= told.age_ms / 1000
    if reported.is_news(at):
        report = InstanceLoadReport(told.n_running, told.n_waiting, slowdown=slowdown)
        reported.record(report, at)


class IncarnationSpeed(FleetSpeed):
    """Prefill rate of one incarnation, out of those of all."""

    def __init__(
        self, speeds: InstanceSpeeds, key: IncarnationKey, upstream: str
    ) -> None:
        self._speeds = speeds
        self._key = key
        self._upstream = upstream

    @property
    def tokens_per_s(self) -> float | None:
        """The rate; None if nothing is known of any engine of the upstream."""
        return self._speeds.tokens_per_s(self._key, self._upstream)

    def observe(self, n_tokens: float, usual_s: float, now: float) -> None:
        """Record how long the prefill of some tokens took at a slowdown of 1."""
        self._speeds.observe(self._key, self._upstream, n_tokens, usual_s, now)
