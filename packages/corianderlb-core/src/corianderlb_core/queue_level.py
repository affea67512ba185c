"""Spread requests over queues that are known from old reports.

Routers that all choose the shortest queue that they know meet there before a report
shows it. What arrives between two reports is therefore spread so that the queues are
level once it has arrived: each is chosen in proportion to what it lacks to that level
(Dahlin, Interpreting Stale Load Information, 2000).
"""

from __future__ import annotations

import random
from collections.abc import Sequence


def queue_level(times_s: Sequence[float], unseen_s: float) -> float:
    """Return the level to which ``unseen_s`` of work for each queue fills them.

    Queues above the level get nothing. For example, two queues of 0.1 and 0.5 s that
    get 0.1 s of work each are level at 0.3 s, which only the first one reaches.
    """
    left_s = unseen_s * len(times_s)
    ordered = sorted(times_s)
    for n, (time_s, next_s) in enumerate(zip(ordered, ordered[1:], strict=False), 1):
        needed_s = n * (next_s - time_s)
        if left_s <= needed_s:
            return time_s + left_s / n
        left_s -= needed_s
    return ordered[-1] + left_s / len(ordered)


def choose_below_level(
    times_s: Sequence[float], unseen_s: float, rng: random.Random
) -> int:
    """Return the index of the queue for a request.

    Without unseen work it is the shortest one.
    """
    level_s = queue_level(times_s, unseen_s)
    lacking_s = [max(0.0, level_s - time_s) for time_s in times_s]
    if not any(lacking_s):
        return min(range(len(times_s)), key=times_s.__getitem__)
    return rng.choices(range(len(times_s)), lacking_s)[0]
