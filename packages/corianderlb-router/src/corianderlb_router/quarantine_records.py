"""Records of quarantined requests in the store, which outlast all routers."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from typing import Annotated, Final

import eliot
import msgspec
import trio

from corianderlb_core.codec import BoundedInteger, DecodeError, from_cbor, to_cbor
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import InstanceId
from corianderlb_core.quarantine import MAX_HOLD_S, Conviction

from .fleet_quarantine import FleetQuarantine
from .own_object import OwnObject
from .store import ObjectStore, StoredObject, StoreError

QUARANTINE_PREFIX: Final = "quarantine/"
"""Key prefix of the records in the store."""

CHECK_S: Final = 0.25
"""Interval at which a router looks for new convictions."""

RETRY_S: Final = 0.5
"""Mean time after which a failed call to the store is repeated."""

MAX_HOLDS: Final = 32
"""Most quarantines of a part that a record may name; each doubles the next."""


@dataclass(frozen=True)
class StoredConviction:
    """A request or prompt part in quarantine."""

    digest: bytes
    until_ms: BoundedInteger
    """Unix milliseconds until which it is refused."""
    n_holds: Annotated[int, msgspec.Meta(ge=0, le=MAX_HOLDS)] = 0
    """Quarantines of a part so far; 0 for a request."""


@dataclass(frozen=True)
class QuarantineRecord:
    """What one router knows to be in quarantine."""

    convictions: tuple[StoredConviction, ...]


class QuarantineRecords:
    """Writes what is quarantined, and restores it when a router starts."""

    def __init__(
        self,
        store: ObjectStore,
        router: InstanceId,
        quarantine: FleetQuarantine,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._own = OwnObject(store, QUARANTINE_PREFIX + router)
        self._quarantine = quarantine
        self._rng = rng
        self._wall_clock = wall_clock
        self._written: frozenset[tuple[bytes, int]] = frozenset()

    async def run(self) -> None:
        """Restore the records of all routers, then keep one until cancelled."""
        await self._repeat(self._restore)
        while True:
            await trio.sleep(CHECK_S * self._rng.uniform(0.8, 1.2))
            await self._repeat(self._write)

    async def _repeat(self, call: Callable[[], Awaitable[None]]) -> None:
        """Call until the store answers."""
        while True:
            try:
                await call()
            except StoreError as exc:
                eliot.log_message(
                    message_type="quarantine:store_failing", reason=str(exc)
                )
                await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))
            else:
                return

    async def _restore(self) -> None:
        now_ms = self._wall_clock() * 1000
        for stored in await self._store.read_all(QUARANTINE_PREFIX):
            for conviction in _convictions_of(stored):
                left_s = min((conviction.until_ms - now_ms) / 1000, MAX_HOLD_S)
                if left_s > 0:
                    self._quarantine.restore(
                        Conviction(conviction.digest, left_s, conviction.n_holds)
                    )

    async def _write(self) -> None:
        convictions = self._quarantine.convictions()
        found = frozenset((item.digest, item.n_holds) for item in convictions)
        if found <= self._written:
            # What has ended is recorded again if it comes back.
            self._written = found
            return
        if not self._own.is_read:
            await self._own.read()
        now_ms = self._wall_clock() * 1000
        record = QuarantineRecord(
            tuple(
                StoredConviction(
                    item.digest,
                    round(now_ms + item.refused_for_s * 1000),
                    min(item.n_holds, MAX_HOLDS),
                )
                for item in convictions
            )
        )
        await self._own.write(to_cbor(record))
        self._written = found


def _convictions_of(stored: StoredObject) -> tuple[StoredConviction, ...]:
    try:
        return from_cbor(QuarantineRecord, stored.value).convictions
    except DecodeError as exc:
        eliot.log_message(
            message_type="quarantine:unreadable", key=stored.key, reason=str(exc)
        )
        return ()
