"""Pack the load of many upstream instances into few bytes.

Both sides know the instances from the platform's list, so a vector names none of them:
it holds one entry each in the order of their names, and a digest of the names that
shows when the lists differ. Up to ``N_DETAILED`` instances an entry takes four bytes;
beyond that one byte, with four levels of the wait.

Ages are rounded up and never down. What is passed on from router to router can so only
get older, and dies out after a while, instead of being made new by each one.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

import xxhash

N_DETAILED: Final = 100
"""Most instances for which the longer entries are sent."""

AGE_STEP_S: Final = 0.1
"""Step of the age in a longer entry."""

MAX_AGE_S: Final = 20.0
"""A report older than this says nothing."""

WAIT_LEVELS_S: Final = (0.0, 0.1, 0.5, 2.0)
"""The wait that each level of a short entry stands for."""

AGE_LEVELS_S: Final = (2.0, 5.0, 10.0)
"""The age that each level of a short entry stands for; a fourth one is too old."""

_DETAIL_BYTES: Final = 4
_WAIT_BASE_S: Final = 0.001
_WAIT_FACTOR: Final = 1.06
_TOO_OLD: Final = 255
_MAX_BYTE: Final = 254


@dataclass(frozen=True)
class LoadSample:
    """Hold what a vector says about one instance."""

    epoch_low_bits: int
    """The last bits of the epoch, which tell one life from the next."""
    wait_s: float
    n_outstanding: int
    """Requests running or queued there; 0 in a short entry."""
    age_s: float


def digest_names(names: Iterable[str]) -> int:
    """Return a number that stands for the names, in their order."""
    return xxhash.xxh3_64_intdigest("\n".join(names).encode())


def epoch_low_bits(epoch: int, detailed: bool) -> int:
    """Return the bits of an epoch that an entry has room for."""
    return epoch & (0xFF if detailed else 0xF)


def is_detailed(n_instances: int) -> bool:
    """Tell which form a vector over so many instances has."""
    return n_instances <= N_DETAILED


def pack(samples: Sequence[LoadSample | None]) -> bytes:
    """Return the bytes of a vector; None is an instance without a recent report."""
    if is_detailed(len(samples)):
        return b"".join(_pack_detailed(sample) for sample in samples)
    return bytes(_pack_short(sample) for sample in samples)


def unpack(packed: bytes, n_instances: int) -> list[LoadSample | None] | None:
    """Return the samples, or None when the bytes do not fit the instances."""
    if not is_detailed(n_instances):
        if len(packed) != n_instances:
            return None
        return [_unpack_short(byte) for byte in packed]
    if len(packed) != n_instances * _DETAIL_BYTES:
        return None
    starts = range(0, len(packed), _DETAIL_BYTES)
    return [_unpack_detailed(packed[i : i + _DETAIL_BYTES]) for i in starts]


def _pack_detailed(sample: LoadSample | None) -> bytes:
    if sample is None or sample.age_s > MAX_AGE_S:
        return bytes([_TOO_OLD, 0, 0, 0])
    age = math.ceil(sample.age_s / AGE_STEP_S)
    wait = 0
    if sample.wait_s > _WAIT_BASE_S:
        wait = round(math.log(sample.wait_s / _WAIT_BASE_S, _WAIT_FACTOR)) + 1
    n_outstanding = min(sample.n_outstanding, _MAX_BYTE)
    return bytes(
        [age, min(wait, _MAX_BYTE), n_outstanding, sample.epoch_low_bits & 0xFF]
    )


def _unpack_detailed(entry: bytes) -> LoadSample | None:
    age, wait, n_outstanding, mark = entry
    if age == _TOO_OLD:
        return None
    wait_s = _WAIT_BASE_S * _WAIT_FACTOR ** (wait - 1) if wait else 0.0
    return LoadSample(mark, wait_s, n_outstanding, age * AGE_STEP_S)


def _pack_short(sample: LoadSample | None) -> int:
    if sample is None:
        return len(AGE_LEVELS_S) << 4
    age = bisect.bisect_left(AGE_LEVELS_S, sample.age_s)
    wait = bisect.bisect_right(WAIT_LEVELS_S, sample.wait_s) - 1
    return wait << 6 | age << 4 | sample.epoch_low_bits & 0xF


def _unpack_short(byte: int) -> LoadSample | None:
    age = byte >> 4 & 0x3
    if age == len(AGE_LEVELS_S):
        return None
    return LoadSample(byte & 0xF, WAIT_LEVELS_S[byte >> 6], 0, AGE_LEVELS_S[age])
