"""Track how hot each prefix is and over how many instances it is spread (its width).

A prefix has one primary until that is found busy. Then its width grows, up to a bound:
with a share ``s`` of an upstream's requests it may be spread over ``SHARE_FACTOR * s *
n`` of the ``n`` instances. Callers are balanced evenly over the routers, so each router
observes about the same shares. Routers also send their widths to peers, so that a
router that has just started spreads prefixes alike.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Sequence
from typing import Final

from .data_class import dataclass

SHORT_KEY_BYTES: Final = 8
"""Bytes of a key that are sent to peers; a collision only widens a prefix
needlessly."""

FAST_HALF_LIFE_S: Final = 1.0
"""The fast counts follow a change of traffic within this time."""

SLOW_HALF_LIFE_S: Final = 20.0
"""The slow counts cover prefixes with few requests at this router."""

NARROWING_DELAY_S: Final = 120.0
"""Delay after the last pressure until a prefix is narrowed by one instance. Narrowing
moves prompts to engines that must recompute their pieces, so a prefix with intermittent
traffic must not be narrowed in between."""

MAX_COUNTED: Final = 8192
"""Limit of counted prefixes; beyond it the less frequent half is dropped."""

MAX_HOT: Final = 1024
"""Limit of prefixes with a recorded width."""

SHARE_FACTOR: Final = 4.0
"""Factor from a prefix's share of requests to its share of instances. A wider prefix
has its pieces recomputed on more instances; a narrower one overfills one cache while
others have capacity, since its longer prefixes share its instances."""

MIN_COMMON_SHARE: Final = 0.8
"""A longer prefix with at least this share of a shorter one's requests is widened with
it."""

PRESSURE_TO_WIDEN: Final = 2.5
"""Decayed number of requests that found busy primaries, above which a prefix is
widened; the half-life is ``FAST_HALF_LIFE_S``."""

_RESCALE_EXPONENT: Final = 230.0
"""Exponent of a count's weight from which all counts are scaled down."""

_MAX_EXPONENT: Final = 700.0
"""Bound of an exponent; ``math.exp`` overflows a float above 709."""

_HOT: Final = struct.Struct(f">{SHORT_KEY_BYTES}sBB")


@dataclass(frozen=True)
class HotPrefix:
    """Number of instances over which a prefix is spread."""

    short_key: bytes
    width: int
    age_s: float
    """Seconds since a router last found its primaries busy. Forwarded entries keep
    ageing, so that routers cannot keep a width alive by exchanging it."""


def pack_hot(hot: Iterable[HotPrefix]) -> bytes:
    """Return hot prefixes as bytes, ten bytes each; ages are rounded up to seconds."""
    return b"".join(
        _HOT.pack(item.short_key, min(item.width, 255), min(math.ceil(item.age_s), 255))
        for item in hot
    )


def unpack_hot(packed: bytes) -> tuple[HotPrefix, ...]:
    """Return the hot prefixes in bytes; none if the length is invalid."""
    if len(packed) % _HOT.size:
        return ()
    found = _HOT.iter_unpack(packed)
    return tuple(HotPrefix(key, width, float(age_s)) for key, width, age_s in found)


class DecayedCounts:
    """Count keys with exponentially decaying weight, at one addition for each key.

    New counts get growing weights instead of old counts shrinking (forward decay,
    Cormode et al., 2009).
    """

    def __init__(self, half_life_s: float, max_keys: int = MAX_COUNTED) -> None:
        self._rate = math.log(2) / half_life_s
        self._max_keys = max_keys
        self._counts: dict[bytes, float] = {}
        self._total = 0.0
        self._origin = 0.0
        self._weight = 1.0
        """Weight of the newest count."""

    def add(self, keys: Sequence[bytes], now: float) -> None:
        """Count one request that has all the keys."""
        growth = (now - self._origin) * self._rate
        if growth > _RESCALE_EXPONENT:
            # Rescale before computing the weight: after a long idle time, or with a
            # clock that starts far from zero, it would overflow.
            self._rescale(math.exp(min(growth, _MAX_EXPONENT)))
            self._origin, growth = now, 0.0
        unit = math.exp(growth)
        self._weight = unit
        self._total += unit
        counts = self._counts
        for key in keys:
            counts[key] = counts.get(key, 0.0) + unit
        if len(counts) > self._max_keys:
            self._prune()

    def share(self, key: bytes) -> float:
        """Return the share of requests with the key, less one standard deviation.

        Subtracting the deviation of a Poisson count keeps a few requests in a row from
        widening a prefix.
        """
        count = self._counts.get(key, 0.0) / self._weight
        if count <= 1.0:
            return 0.0
        return (count - math.sqrt(count)) * self._weight / self._total

    def _rescale(self, unit: float) -> None:
        self._total /= unit
        kept = ((key, count / unit) for key, count in self._counts.items())
        self._counts = {key: count for key, count in kept if count > 1e-6}

    def _prune(self) -> None:
        hottest = sorted(self._counts.items(), key=lambda item: -item[1])
        self._counts = dict(hottest[: self._max_keys // 2])


@dataclass
class _WidthState:
    width: int
    busy_at: float
    narrow_at: float
    pressure: float = 0.0


class HotPrefixTracker:
    """Decide over how many instances of one upstream each prefix is spread."""

    def __init__(self) -> None:
        self._fast = DecayedCounts(FAST_HALF_LIFE_S)
        self._slow = DecayedCounts(SLOW_HALF_LIFE_S)
        self._states: dict[bytes, _WidthState] = {}

    def observe(self, keys: Sequence[bytes], now: float) -> None:
        """Count a request."""
        self._fast.add(keys, now)
        self._slow.add(keys, now)

    def width(self, key: bytes, n_instances: int, now: float) -> int:
        """Narrow the prefix if that is due, and return its width, at least 1."""
        short = key[:SHORT_KEY_BYTES]
        state = self._states.get(short)
        if state is None:
            return 1
        if now >= state.narrow_at:
            state.width -= 1
            state.narrow_at = now + NARROWING_DELAY_S
            if state.width < 1:
                del self._states[short]
        return min(n_instances, max(1, state.width))

    def record_pressure(
        self, keys: Sequence[bytes], n_instances: int, now: float
    ) -> None:
        """Record that a request found its primaries busy.

        ``keys`` are ordered from the shortest prefix to the longest. The shortest one
        that is narrower than its share allows is widened, together with longer ones
        that occur in nearly all of its requests. A prefix with a small share is not
        widened: other prefixes keep its primary busy.
        """
        shares = [max(self._fast.share(key), self._slow.share(key)) for key in keys]
        target = 0
        first_share = 0.0
        for key, share in zip(keys, shares, strict=True):
            bound = min(n_instances, math.ceil(share * n_instances * SHARE_FACTOR))
            width = self.width(key, n_instances, now)
            if not target and width >= bound:
                self._postpone_narrowing(key, now)
                continue
            if not target:
                target, first_share = width + 1, share
            elif bound < target or share < MIN_COMMON_SHARE * first_share:
                return
            self._add_pressure(key, target, now)

    def _postpone_narrowing(self, key: bytes, now: float) -> None:
        """Postpone narrowing while the prefix finds its primaries busy."""
        state = self._states.get(key[:SHORT_KEY_BYTES])
        if state is not None:
            state.busy_at = now
            state.narrow_at = now + NARROWING_DELAY_S

    def _add_pressure(self, key: bytes, target: int, now: float) -> None:
        short = key[:SHORT_KEY_BYTES]
        state = self._states.get(short)
        if state is None:
            state = self._add_state(short, now)
        decay = 0.5 ** ((now - state.busy_at) / FAST_HALF_LIFE_S)
        state.pressure = state.pressure * decay + 1.0
        state.busy_at = now
        state.narrow_at = now + NARROWING_DELAY_S
        if state.pressure > PRESSURE_TO_WIDEN:
            state.pressure = 0.0
            state.width = max(state.width, target)

    def merge(self, hot: Iterable[HotPrefix], now: float) -> None:
        """Merge the hot prefixes of a peer; the larger width wins."""
        for item in hot:
            busy_at = now - item.age_s
            state = self._states.get(item.short_key)
            if state is None and item.age_s < NARROWING_DELAY_S:
                state = self._add_state(item.short_key, busy_at)
            if state is None or item.width < state.width:
                continue
            if item.width > state.width or busy_at > state.busy_at:
                state.width = item.width
                state.busy_at = max(state.busy_at, busy_at)
                state.narrow_at = state.busy_at + NARROWING_DELAY_S

    def hottest(self, limit: int, now: float) -> tuple[HotPrefix, ...]:
        """Return the prefixes most recently found hot, to send to peers."""
        found = [
            HotPrefix(key, state.width, now - state.busy_at)
            for key, state in self._states.items()
            if state.width > 1 and now - state.busy_at < NARROWING_DELAY_S
        ]
        found.sort(key=lambda item: (item.age_s, -item.width))
        return tuple(found[:limit])

    def _add_state(self, short: bytes, now: float) -> _WidthState:
        if len(self._states) >= MAX_HOT:
            # Evict the prefix that would be narrowed first.
            del self._states[
                min(self._states, key=lambda key: self._states[key].narrow_at)
            ]
        state = self._states[short] = _WidthState(1, now, now + NARROWING_DELAY_S)
        return state
