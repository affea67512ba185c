"""Limit concurrent weight loads across the fleet with one object in the store."""

from __future__ import annotations

from typing import Final

import trio

from corianderlb_core.codec import DecodeError, from_cbor, to_cbor
from corianderlb_core.order import LoadSlot, LoadSlots, SlotWatch

from .store import (
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreUnavailableError,
    StoreUnknownError,
)

SLOTS_KEY: Final = "orders/loads"
"""Key of the object that lists the loads in progress."""

SLOT_TIMEOUT_S: Final = 90.0
"""Time after which a slot counts as abandoned; longer than the load timeout plus the
time for a lease to expire and the next holder to settle."""

MAX_TRIES: Final = 5
"""Attempts to release a slot in spite of conflicting writes."""


class LoadSlotStore:
    """Acquire and release slots for weight loads.

    More concurrent loads than slots would slow each one down at the weight store and
    leave engines without weights for longer; callers would get ``UPSTREAM_REFUSED``.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._watch = SlotWatch()

    async def take(self, slot: LoadSlot) -> bool:
        """Take a slot; return False when none is free or another router was first."""
        stored, held = await self._read()
        expired = self._watch.overdue(held, SLOT_TIMEOUT_S, trio.current_time())
        desired = held.take(slot, expired)
        if desired is None:
            return False
        try:
            await self._write(stored, desired)
        except (StoreConflictError, StoreUnknownError):
            return slot in (await self._read())[1].slots
        return True

    async def free_slot(self, upstream: str) -> None:
        """Release the slot of an upstream."""
        for _ in range(MAX_TRIES):
            stored, held = await self._read()
            desired = held.without(upstream)
            if desired == held:
                return
            try:
                await self._write(stored, desired)
                return
            except (StoreConflictError, StoreUnknownError):
                continue
        raise StoreUnavailableError(
            f"{SLOTS_KEY}: gave up after {MAX_TRIES} conflicting writes"
        )

    async def _write(self, stored: StoredObject | None, desired: LoadSlots) -> None:
        version = stored.version if stored else None
        await self._store.write(SLOTS_KEY, to_cbor(desired), version)

    async def _read(self) -> tuple[StoredObject | None, LoadSlots]:
        stored = await self._store.get(SLOTS_KEY)
        if stored is None:
            return None, LoadSlots()
        try:
            return stored, from_cbor(LoadSlots, stored.value)
        except DecodeError as exc:
            raise StoreUnavailableError(
                f"{SLOTS_KEY} cannot be decoded ({exc}); delete it while no loads run"
            ) from exc
