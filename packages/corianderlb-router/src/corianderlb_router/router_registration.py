"""Registration of the routers of a fleet in the store."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

import eliot
import trio

from corianderlb_core.codec import BoundedInteger, DecodeError, from_cbor, to_cbor
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import InstanceRecord

from .store import (
    InstanceList,
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreError,
)

REGISTRATION_PREFIX: Final = "routers/"
"""Key prefix of the registrations in the store."""

RETRY_S: Final = 0.5
"""Mean seconds before a failed registration is retried."""

READ_INTERVAL_S: Final = 15.0
"""Mean seconds between two reads of all registrations by one router, at least."""

READ_INTERVAL_S_PER_ROUTER: Final = 1.0
"""Mean seconds between two reads by any router of a large fleet."""


@dataclass(frozen=True)
class RouterEntry(InstanceRecord):
    """What a router registers: its record, and when it started."""

    started_ms: BoundedInteger = 0
    """Unix milliseconds of the start; 0 if an earlier version wrote the entry."""


class RouterRegistration:
    """Discovers the routers of a fleet through the store, without a platform list."""

    def __init__(self, store: ObjectStore, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._n_reads = 0
        self._n_listed = 0
        self._ran_before_s = 0.0

    @property
    def ran_before_s(self) -> float:
        """Seconds from the previous start of this router to this one.

        Infinite if it never ran before, and 0 while that is not known.
        """
        return self._ran_before_s

    async def keep(
        self, record: RouterEntry, subscriber: Callable[[InstanceList], None]
    ) -> None:
        """Register a router, then publish the list of all until cancelled."""
        await self._register(record)
        while True:
            try:
                await self._read(subscriber)
            except StoreError:
                # Known peers stay known; the next read may succeed.
                pass
            mean_s = max(READ_INTERVAL_S, READ_INTERVAL_S_PER_ROUTER * self._n_listed)
            await trio.sleep(mean_s * self._rng.uniform(0.5, 1.5))

    async def _register(self, entry: RouterEntry) -> None:
        while True:
            try:
                await self._write(entry)
            except StoreError as exc:
                eliot.log_message(message_type="roster:not_entered", reason=str(exc))
                await trio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))
            else:
                return

    async def _write(self, entry: RouterEntry) -> None:
        key, value = REGISTRATION_PREFIX + entry.instance, to_cbor(entry)
        try:
            await self._store.create(key, value)
        except StoreConflictError:
            known = await self._store.get(key)
            if known is None or known.value == value:
                # A write whose answer was lost hides what was there before.
                return
            before = _record_of(known)
            if before is not None and before.started_ms:
                passed_ms = entry.started_ms - before.started_ms
                self._ran_before_s = max(0, passed_ms) / 1000
            await self._store.update(key, value, known.version)
        else:
            self._ran_before_s = math.inf

    async def _read(self, subscriber: Callable[[InstanceList], None]) -> None:
        found = await self._store.read_all(REGISTRATION_PREFIX)
        records = [_record_of(stored) for stored in found]
        self._n_reads += 1
        listed = tuple(record for record in records if record is not None)
        self._n_listed = len(listed)
        subscriber(InstanceList(self._n_reads, listed))


def _record_of(stored: StoredObject) -> RouterEntry | None:
    try:
        return from_cbor(RouterEntry, stored.value)
    except DecodeError as exc:
        eliot.log_message(
            message_type="roster:unreadable", key=stored.key, reason=str(exc)
        )
        return None
