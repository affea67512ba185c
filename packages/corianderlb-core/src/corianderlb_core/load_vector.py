"""Compact binary encoding of the load of many upstream instances.

Sender and receiver both know the instances from the platform's list, so a vector
contains no names: it has one entry per instance, ordered by name, and is sent with a
digest of the names that detects differing lists. For up to ``MAX_DETAILED_INSTANCES``
instances an entry is detailed (four bytes); beyond that it is short (one byte, with a
coarse wait).

Ages are always rounded up, so that a report grows older each time it is forwarded and
eventually expires. Rounding down would let forwarded reports stay fresh forever.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

from .data_class import dataclass

MAX_DETAILED_INSTANCES: Final = 100
"""Maximum number of instances in a vector of detailed entries."""

AGE_STEP_S: Final = 0.1
"""Resolution of the age in a detailed entry."""

MAX_AGE_S: Final = 20.0
"""Maximum age in a detailed entry; older reports are encoded as missing."""

WAIT_LEVELS_S: Final = (0.0, 0.1, 0.5, 2.0)
"""Wait represented by each level of a short entry."""

AGE_LEVELS_S: Final = (2.0, 5.0, 10.0)
"""Age represented by each level of a short entry; a fourth level means expired."""

_DETAIL_BYTES: Final = 4
_WAIT_BASE_S: Final = 0.001
_WAIT_FACTOR: Final = 1.06
_NO_REPORT: Final = 255
_MAX_VALUE: Final = 254


@dataclass(frozen=True)
class LoadSample:
    """Load of one instance in a vector."""

    epoch_low_bits: int
    """The low bits of the epoch, which distinguish successive incarnations."""
    wait_s: float
    n_outstanding: int
    """Requests running or queued at the instance; 0 in a short entry."""
    age_s: float


def digest_names(names: Iterable[str]) -> int:
    """Return a digest of the names in the given order."""
    return xxhash.xxh3_64_intdigest("\n".join(names).encode())


def epoch_low_bits(epoch: int, detailed: bool) -> int:
    """Return the low bits of an epoch that fit into an entry."""
    return epoch & (0xFF if detailed else 0xF)


def is_detailed(n_instances: int) -> bool:
    """Return whether a vector of this many instances has detailed entries."""
    return n_instances <= MAX_DETAILED_INSTANCES


def pack(samples: Sequence[LoadSample | None]) -> bytes:
    """Encode a vector; None stands for an instance without a recent report."""
    if is_detailed(len(samples)):
        return b"".join(_pack_detailed(sample) for sample in samples)
    return bytes(_pack_short(sample) for sample in samples)


def unpack(packed: bytes, n_instances: int) -> list[LoadSample | None] | None:
    """Decode a vector; return None if its length does not match the instances."""
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
        return bytes([_NO_REPORT, 0, 0, 0])
    age = math.ceil(sample.age_s / AGE_STEP_S)
    wait = 0
    if sample.wait_s > _WAIT_BASE_S:
        wait = round(math.log(sample.wait_s / _WAIT_BASE_S, _WAIT_FACTOR)) + 1
    n_outstanding = min(sample.n_outstanding, _MAX_VALUE)
    return bytes(
        [age, min(wait, _MAX_VALUE), n_outstanding, sample.epoch_low_bits & 0xFF]
    )


def _unpack_detailed(entry: bytes) -> LoadSample | None:
    age, wait, n_outstanding, mark = entry
    if age == _NO_REPORT:
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
