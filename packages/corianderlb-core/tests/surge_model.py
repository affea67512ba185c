"""Simulate callers and engines that prefill in order of arrival."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

TOKENS_PER_S = 50_000.0
"""Prefill rate of one engine."""

OBJECTIVE_S = 0.4
CALLER_TIMEOUT_S = 15.0
"""Time after which a caller gives up."""

MAX_RETRY_DELAY_SHARE = 1 / 3
"""Maximum share of its remaining time that a caller waits before a retry."""

RetryDelay = Callable[[float, float, float, float], float]
"""Returns the delay of a retry from the wait, the prefill time, the maximum and the
clock."""


@dataclass
class Outcome:
    """Results of the callers."""

    n_in_time: int = 0
    n_late: int = 0
    n_refused_twice: int = 0
    waits_s: list[float] = field(default_factory=list)


def simulate_surge(
    retry_delay: RetryDelay,
    n_engines: int = 4,
    normal_load: float = 0.6,
    surge_load: float = 1.4,
    surge_s: float = 4.0,
    duration_s: float = 12.0,
    seed: int = 1,
) -> Outcome:
    """Simulate a surge of traffic and its aftermath; return the callers' results.

    The loads are in units of the engines' capacity. A caller is refused when the
    shortest queue is longer than a third of its objective, and retries once.
    """
    rng = random.Random(seed)
    free_at = [0.0] * n_engines
    events: list[tuple[float, int, float, float]] = []
    now, number = 0.0, 0
    mean_tokens = 2_000
    while now < duration_s:
        in_surge = 2.0 <= now < 2.0 + surge_s
        share = surge_load if in_surge else normal_load
        now += rng.expovariate(share * n_engines * TOKENS_PER_S / mean_tokens)
        number += 1
        n_tokens = rng.choice((500, 500, 1_000, 6_000))
        events.append((now, number, n_tokens, now))
    heapq.heapify(events)
    outcome = Outcome()
    while events:
        now, number, n_tokens, first_at = heapq.heappop(events)
        engine = min(range(n_engines), key=free_at.__getitem__)
        wait_s = max(0.0, free_at[engine] - now)
        prefill_time_s = n_tokens / TOKENS_PER_S
        if wait_s <= OBJECTIVE_S / 3:
            free_at[engine] = now + wait_s + prefill_time_s
            took_s = now + wait_s + prefill_time_s - first_at
            outcome.waits_s.append(took_s)
            if took_s <= OBJECTIVE_S:
                outcome.n_in_time += 1
            else:
                outcome.n_late += 1
        elif now > first_at:
            outcome.n_refused_twice += 1
        else:
            max_delay_s = CALLER_TIMEOUT_S * MAX_RETRY_DELAY_SHARE
            delay_s = retry_delay(wait_s, prefill_time_s / n_engines, max_delay_s, now)
            heapq.heappush(events, (now + delay_s, number, n_tokens, first_at))
    return outcome
