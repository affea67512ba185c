"""Read the platform's list of instances now and then, and hand it to its takers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

import eliot
import trio

from .store import InstanceList, ObjectStore, StoreError

POLL_S: Final = 2.0
"""Seconds between two reads. At 410 routers this is 205 of the store's 2,000 reads
a second; the list's own lag comes on top."""

JITTER: Final = 0.5
"""Share by which a wait is shortened or lengthened, so that routers that started
together do not read together."""


class InstanceListReader:
    """Poll the list; while the store is down the last one stays in use."""

    def __init__(
        self,
        store: ObjectStore,
        takers: Sequence[Callable[[InstanceList], object]],
        rng: random.Random,
        poll_s: float = POLL_S,
    ) -> None:
        self._store = store
        self._takers = list(takers)
        self._rng = rng
        self._poll_s = poll_s
        self._failing = False
        self.n_reads = 0
        """Calls to the store so far."""
        self.n_failures = 0
        """Calls that failed."""

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await trio.sleep(self._poll_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    async def poll(self) -> bool:
        """Read the list once; return False when the store could not be read."""
        self.n_reads += 1
        try:
            listed = await self._store.instances()
        except StoreError as exc:
            self.n_failures += 1
            self._note(failing=True, detail=str(exc))
            return False
        self._note(failing=False)
        for take in self._takers:
            take(listed)
        return True

    def _note(self, failing: bool, detail: str = "") -> None:
        if failing is not self._failing:
            self._failing = failing
            kind = "failing" if failing else "read_again"
            eliot.log_message(message_type=f"instance_list:{kind}", detail=detail)
