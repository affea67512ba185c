"""Follow the catalogue's log and hold the version in force."""

from __future__ import annotations

import random
from datetime import UTC, datetime
from typing import Final

import eliot
import trio

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.catalogue_codec import change_from_json
from corianderlb_core.change import apply_change, change_key

from .interface import CatalogueSource, InForce
from .store import ObjectStore, StoreError

POLL_S: Final = 1.0
"""Mean seconds between two looks at the store."""


class CatalogueFollower(CatalogueSource):
    """Fold the accepted changes from the store, in order, one version at a time."""

    def __init__(
        self, store: ObjectStore, rng: random.Random, poll_s: float = POLL_S
    ) -> None:
        self._store = store
        self._rng = rng
        self._poll_s = poll_s
        self._in_force: InForce | None = None

    def current(self) -> InForce | None:
        """Return what is in force, or None before the first catalogue arrived."""
        return self._in_force

    async def run(self) -> None:
        """Poll the store with jitter until cancelled."""
        while True:
            try:
                await self._catch_up()
            except StoreError as exc:
                eliot.log_message("catalogue_poll_failed", reason=str(exc))
            await trio.sleep(self._poll_s * self._rng.uniform(0.5, 1.5))

    async def _catch_up(self) -> None:
        """Take the changes that follow the version in force."""
        held = self._in_force.catalogue if self._in_force else Catalogue()
        while True:
            found = await self._store.get(change_key(held.version + 1))
            if found is None:
                break
            held = apply_change(held, change_from_json(found.value))
            self._put_in_force(held)
        if self._in_force is not None:
            self._put_in_force(held)

    def _put_in_force(self, catalogue: Catalogue) -> None:
        since = datetime.now(UTC).isoformat()
        before = self._in_force
        if before is not None and before.catalogue.version == catalogue.version:
            since = before.since
        else:
            eliot.log_message("catalogue_in_force", version=catalogue.version)
        self._in_force = InForce(catalogue, since, trio.current_time())
