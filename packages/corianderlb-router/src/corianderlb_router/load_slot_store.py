"""Bound the weight loads at once over the fleet, by one object in the store."""

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
"""The object that holds the loads under way."""

SLOT_TIMEOUT_S: Final = 90.0
"""After so long a slot is taken for one that nobody will give back: above the longest
wait for a load plus the time until a lease lapses and the next holder has settled."""

MAX_TRIES: Final = 5
"""Conflicts with other routers before the next turn tries again."""


class LoadSlotStore:
    """Take and give back slots for weight loads.

    The weight store serves two loads well. With more at once each takes longer, and
    engines stay without weights for longer; one would notice it as requests refused
    with ``UPSTREAM_REFUSED`` all through a change.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._watch = SlotWatch()

    async def take(self, slot: LoadSlot) -> bool:
        """Take a slot; return False when all are taken or others were first."""
        stored, held = await self._read()
        dropped = self._watch.overdue(held, SLOT_TIMEOUT_S, trio.current_time())
        wanted = held.take(slot, dropped)
        if wanted is None:
            return False
        try:
            await self._write(stored, wanted)
        except (StoreConflictError, StoreUnknownError):
            return slot in (await self._read())[1].slots
        return True

    async def give_back(self, upstream: str) -> None:
        """Give an upstream's slot back."""
        for _ in range(MAX_TRIES):
            stored, held = await self._read()
            wanted = held.without(upstream)
            if wanted == held:
                return
            try:
                await self._write(stored, wanted)
                return
            except (StoreConflictError, StoreUnknownError):
                continue
        raise StoreUnavailableError(f"{SLOTS_KEY}: too many conflicts; tried again")

    async def _write(self, stored: StoredObject | None, wanted: LoadSlots) -> None:
        data = to_cbor(wanted)
        if stored is None:
            await self._store.create(SLOTS_KEY, data)
        else:
            await self._store.update(SLOTS_KEY, data, stored.version)

    async def _read(self) -> tuple[StoredObject | None, LoadSlots]:
        stored = await self._store.get(SLOTS_KEY)
        if stored is None:
            return None, LoadSlots()
        try:
            return stored, from_cbor(LoadSlots, stored.value)
        except DecodeError as exc:
            raise StoreUnavailableError(
                f"{SLOTS_KEY} cannot be read ({exc}); delete it while nothing loads"
            ) from exc
