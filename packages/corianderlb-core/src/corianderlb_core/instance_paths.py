"""Which upstream instances this router reaches directly.

An instance that fails is down for all routers. A router whose own network fails finds
many instances failing at once, and no answer in between. So one failed instance says
nothing of the paths, nor do several while others answer. They count as cut once several
have failed and none has answered since.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

from .data_class import dataclass
from .part_index import IncarnationKey

MIN_DOUBTED: Final = 2
"""Instances that must fail before any path is taken for cut."""

DOUBT_S: Final = 5.0
"""Time after its last failure for which an instance that is not asked is doubted."""


DOWN_S: Final = 1.0
"""Time for which an instance that peers do not reach either counts as down."""


@dataclass
class _Doubt:
    """An instance that failed directly, and has not answered since."""

    since: float
    """When the newest exchange that failed had begun."""
    failed_at: float


class InstancePaths:
    """Tracks direct failures and answers of instances; times are the router's clock.

    An answer counts only for an exchange that began after the failure, since open
    connections may live on while new ones fail. For example::

        paths.failed(("e1", 0), since=1.0, now=1.3)
        paths.failed(("e2", 0), since=1.1, now=1.4)
        paths.is_cut(("e3", 0), now=1.5)  # True: nothing has answered since 1.0
    """

    def __init__(self) -> None:
        self._doubts: dict[IncarnationKey, _Doubt] = {}
        self._down_until: dict[IncarnationKey, float] = {}
        self._last_answer_sent_at = -math.inf
        """When the newest exchange that was answered directly had begun."""

    def failed(self, key: IncarnationKey, since: float, now: float) -> bool:
        """Record that an instance has not answered ``since``; return if it is news."""
        if now < self._down_until.get(key, -math.inf):
            return False
        doubt = self._doubts.get(key)
        if doubt is not None and now - doubt.failed_at < DOUBT_S:
            doubt.since = max(doubt.since, since)
            doubt.failed_at = now
            return False
        self._doubts[key] = _Doubt(since, now)
        return True

    def found_down(self, key: IncarnationKey, now: float) -> None:
        """Record that peers do not reach an instance either."""
        self._down_until[key] = now + DOWN_S
        self._doubts.pop(key, None)

    def answered(self, key: IncarnationKey, sent_at: float) -> bool:
        """Record an answer to a direct exchange; return whether it ended a doubt."""
        self._last_answer_sent_at = max(self._last_answer_sent_at, sent_at)
        doubt = self._doubts.get(key)
        if doubt is None or sent_at < doubt.since:
            return False
        del self._doubts[key]
        return True

    def is_cut(self, key: IncarnationKey, now: float) -> bool:
        """Return whether an instance is to be reached in another way."""
        return self.is_cut_off(now) and now >= self._down_until.get(key, -math.inf)

    def is_cut_off(self, now: float) -> bool:
        """Return whether this router reaches no instance directly, as far as known."""
        n_failed_since = sum(
            doubt.since > self._last_answer_sent_at for doubt in self._recent(now)
        )
        return n_failed_since >= MIN_DOUBTED

    def doubted(self, now: float) -> Collection[IncarnationKey]:
        """Return the instances to ask whether they answer directly.

        A single one is not asked: it changes no decision.
        """
        doubts = [key for key in self._doubts if self._is_recent(key, now)]
        return doubts if len(doubts) >= MIN_DOUBTED else ()

    def keep(self, listed: Collection[IncarnationKey]) -> None:
        """Forget the instances that are no longer listed."""
        for known in (self._doubts, self._down_until):
            for key in [key for key in known if key not in listed]:
                del known[key]

    def _recent(self, now: float) -> list[_Doubt]:
        return [
            doubt for key, doubt in self._doubts.items() if self._is_recent(key, now)
        ]

    def _is_recent(self, key: IncarnationKey, now: float) -> bool:
        return now - self._doubts[key].failed_at < DOUBT_S
