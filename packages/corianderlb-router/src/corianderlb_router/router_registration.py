"""Keep this router's entry in the store, and follow those of the others."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

import eliot
import trio

from corianderlb_core.codec import DecodeError, from_cbor, to_cbor
from corianderlb_core.identity import InstanceRecord

from .store import (
    InstanceList,
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreError,
)

ROSTER_PREFIX: Final = "routers/"
"""Where the entries of the routers live in the store."""

ENTER_AGAIN_S: Final = 0.5
"""Mean pause before the own entry is tried again."""

LOOK_S: Final = 15.0
"""Mean pause between two looks at all entries. Peers tell of new routers sooner."""


class RouterRegistration:
    """Find the routers of a fleet through the store, without a list of the platform."""

    def __init__(self, store: ObjectStore, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._n_looks = 0

    async def keep(
        self, record: InstanceRecord, take: Callable[[InstanceList], None]
    ) -> None:
        """Enter a router, then hand out the list of all until cancelled."""
        await self._enter(record)
        while True:
            try:
                await self._look(take)
            except StoreError:
                # The next look tells as much; peers that are known stay known.
                pass
            await trio.sleep(LOOK_S * self._rng.uniform(0.5, 1.5))

    async def _enter(self, record: InstanceRecord) -> None:
        key, value = ROSTER_PREFIX + record.instance, to_cbor(record)
        while True:
            try:
                await self._write(key, value)
            except StoreError as exc:
                eliot.log_message(message_type="roster:not_entered", reason=str(exc))
                await trio.sleep(ENTER_AGAIN_S * self._rng.uniform(0.5, 1.5))
            else:
                return

    async def _write(self, key: str, value: bytes) -> None:
        try:
            await self._store.create(key, value)
        except StoreConflictError:
            known = await self._store.get(key)
            if known is not None and known.value != value:
                await self._store.update(key, value, known.version)

    async def _look(self, take: Callable[[InstanceList], None]) -> None:
        found = await self._store.read_all(ROSTER_PREFIX)
        records = [_record_of(stored) for stored in found]
        self._n_looks += 1
        listed = tuple(record for record in records if record is not None)
        take(InstanceList(self._n_looks, listed))


def _record_of(stored: StoredObject) -> InstanceRecord | None:
    try:
        return from_cbor(InstanceRecord, stored.value)
    except DecodeError as exc:
        eliot.log_message(
            message_type="roster:unreadable", key=stored.key, reason=str(exc)
        )
        return None
