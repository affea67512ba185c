"""How hot each prefix is, and over how many instances it is spread for that.

A prefix is spread over one instance until its homes are found busy. Then it is
widened, up to what its share calls for: with a share ``s`` of an upstream's requests
it may have ``SHARE_FACTOR * s * n`` of the ``n`` instances. Shares need no count of
the whole fleet: each router sees the same ones, since the balancer spreads callers
evenly. What a router found hot it also tells its peers, so that one that has just
started spreads alike.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

SHORT_KEY_BYTES: Final = 8
"""Bytes of a key that are sent to peers; a clash only spreads a prefix too widely."""

FAST_HALF_LIFE_S: Final = 1.0
"""A shift shows in the fast counts within this time."""

SLOW_HALF_LIFE_S: Final = 20.0
"""The slow counts carry prefixes with few requests here."""

HOLD_S: Final = 120.0
"""How long a width stays after the heat that called for it is gone. Each narrowing
moves some prompts to engines that must compute their pieces, so a prefix that comes
and goes must not be narrowed in between."""

MAX_COUNTED: Final = 8192
"""Prefixes counted at most; the least hot half goes when there are more."""

MAX_HOT: Final = 1024
"""Prefixes held wide at most."""

SHARE_FACTOR: Final = 4.0
"""Instances of its share's worth that a prefix may be spread over. The next level
divides them, so a wide prefix costs its own few pieces more often, while a narrow one
lets the pieces below it crowd one cache out while others have room."""

SAME_SHARE: Final = 0.8
"""A longer prefix with this part of a shorter one's requests is widened with it."""

PRESSURE_TO_WIDEN: Final = 2.5
"""Requests that found busy homes within about a second before a prefix is widened."""

_RESCALE_AT: Final = 230.0
"""Exponent of a count's weight from which all counts are scaled down."""

_FORGET_AT: Final = 700.0
"""Exponent that a float still holds; counts that old are nothing either way."""

_HOT: Final = struct.Struct(f">{SHORT_KEY_BYTES}sBB")


@dataclass(frozen=True)
class HotPrefix:
    """Tell over how many instances a prefix is spread."""

    short_key: bytes
    width: int
    age_s: float
    """Seconds since a router last found its homes busy; what is passed on ages, so
    that two routers cannot keep a width alive by telling each other."""


def pack_hot(hot: Iterable[HotPrefix]) -> bytes:
    """Return hot prefixes as bytes, ten each; ages are rounded up to seconds."""
    return b"".join(
        _HOT.pack(item.short_key, min(item.width, 255), min(math.ceil(item.age_s), 255))
        for item in hot
    )


def unpack_hot(packed: bytes) -> tuple[HotPrefix, ...]:
    """Return the hot prefixes in bytes; bytes that do not fit hold none."""
    if len(packed) % _HOT.size:
        return ()
    found = _HOT.iter_unpack(packed)
    return tuple(HotPrefix(key, width, float(age_s)) for key, width, age_s in found)


class DecayedCounts:
    """Count keys with exponentially fading weight, at one addition a key.

    New counts get growing weights in place of old ones shrinking (forward decay,
    Cormode et al., 2009).
    """

    def __init__(self, half_life_s: float, max_keys: int = MAX_COUNTED) -> None:
        self._rate = math.log(2) / half_life_s
        self._max_keys = max_keys
        self._counts: dict[bytes, float] = {}
        self._total = 0.0
        self._origin = 0.0
        self._unit = 1.0

    def add(self, keys: Sequence[bytes], now: float) -> None:
        """Count one request that has all the keys."""
        growth = (now - self._origin) * self._rate
        if growth > _RESCALE_AT:
            # Rescaled before the weight is worked out: after a long idle time, or on
            # a clock that starts far from zero, it is too large for a float.
            self._rescale(math.exp(min(growth, _FORGET_AT)))
            self._origin, growth = now, 0.0
        unit = math.exp(growth)
        self._unit = unit
        self._total += unit
        counts = self._counts
        for key in keys:
            counts[key] = counts.get(key, 0.0) + unit
        if len(counts) > self._max_keys:
            self._prune()

    def share(self, key: bytes) -> float:
        """Return the share of requests with the key, less one standard deviation.

        A few requests in a row are no heat yet; the deviation of a Poisson count keeps
        them from widening a prefix.
        """
        count = self._counts.get(key, 0.0) / self._unit
        if count <= 1.0:
            return 0.0
        return (count - math.sqrt(count)) * self._unit / self._total

    def _rescale(self, unit: float) -> None:
        self._total /= unit
        kept = ((key, count / unit) for key, count in self._counts.items())
        self._counts = {key: count for key, count in kept if count > 1e-6}

    def _prune(self) -> None:
        hottest = sorted(self._counts.items(), key=lambda item: -item[1])
        self._counts = dict(hottest[: self._max_keys // 2])


@dataclass
class _Held:
    width: int
    pressed_at: float
    until: float
    pressure: float = 0.0


class PrefixHeat:
    """Say over how many instances of one upstream each prefix is spread."""

    def __init__(self) -> None:
        self._fast = DecayedCounts(FAST_HALF_LIFE_S)
        self._slow = DecayedCounts(SLOW_HALF_LIFE_S)
        self._held: dict[bytes, _Held] = {}

    def observe(self, keys: Sequence[bytes], now: float) -> None:
        """Count a request."""
        self._fast.add(keys, now)
        self._slow.add(keys, now)

    def width(self, key: bytes, n_instances: int, now: float) -> int:
        """Return the number of instances that the prefix is spread over, at least 1."""
        short = key[:SHORT_KEY_BYTES]
        held = self._held.get(short)
        if held is None:
            return 1
        if now >= held.until:
            held.width -= 1
            held.until = now + HOLD_S
            if held.width < 1:
                del self._held[short]
        return min(n_instances, max(1, held.width))

    def press(self, keys: Sequence[bytes], n_instances: int, now: float) -> None:
        """Take note that a request found its homes busy.

        The shortest prefix that is narrower than its share calls for is widened, with
        the longer ones that nearly all the same requests have. A prefix with a small
        share is left alone: it is its neighbours that keep its home busy.
        """
        shares = [max(self._fast.share(key), self._slow.share(key)) for key in keys]
        target = 0
        first_share = 0.0
        for key, share in zip(keys, shares, strict=True):
            bound = min(n_instances, math.ceil(share * n_instances * SHARE_FACTOR))
            width = self.width(key, n_instances, now)
            if not target and width >= bound:
                self._keep(key, now)
                continue
            if not target:
                target, first_share = width + 1, share
            elif bound < target or share < SAME_SHARE * first_share:
                return
            self._press_one(key, target, now)

    def _keep(self, key: bytes, now: float) -> None:
        """Put narrowing off while the prefix finds its homes busy."""
        held = self._held.get(key[:SHORT_KEY_BYTES])
        if held is not None:
            held.pressed_at = now
            held.until = now + HOLD_S

    def _press_one(self, key: bytes, target: int, now: float) -> None:
        short = key[:SHORT_KEY_BYTES]
        held = self._held.get(short)
        if held is None:
            held = self._hold(short, now)
        fade = 0.5 ** ((now - held.pressed_at) / FAST_HALF_LIFE_S)
        held.pressure = held.pressure * fade + 1.0
        held.pressed_at = now
        held.until = now + HOLD_S
        if held.pressure > PRESSURE_TO_WIDEN:
            held.pressure = 0.0
            held.width = max(held.width, target)

    def hear(self, hot: Iterable[HotPrefix], now: float) -> None:
        """Take what a peer found hot; the wider of both views holds."""
        for item in hot:
            pressed_at = now - item.age_s
            held = self._held.get(item.short_key)
            if held is None and item.age_s < HOLD_S:
                held = self._hold(item.short_key, pressed_at)
            if held is None or item.width < held.width:
                continue
            if item.width > held.width or pressed_at > held.pressed_at:
                held.width = item.width
                held.pressed_at = max(held.pressed_at, pressed_at)
                held.until = held.pressed_at + HOLD_S

    def hottest(self, limit: int, now: float) -> tuple[HotPrefix, ...]:
        """Return the prefixes that were found hot last, for peers."""
        found = [
            HotPrefix(key, held.width, now - held.pressed_at)
            for key, held in self._held.items()
            if held.width > 1 and now - held.pressed_at < HOLD_S
        ]
        found.sort(key=lambda item: (item.age_s, -item.width))
        return tuple(found[:limit])

    def _hold(self, short: bytes, now: float) -> _Held:
        if len(self._held) >= MAX_HOT:
            # The one that would be narrowed first is the least hot.
            del self._held[min(self._held, key=lambda key: self._held[key].until)]
        held = self._held[short] = _Held(1, now, now + HOLD_S)
        return held
