"""Records of begun streams in the store, which outlast all routers.

While several software versions serve, each router writes the streams that it has begun
to one object of its own, soon after their first events. A stream that no router knows
any more is looked up there.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Final

import eliot
import trio

from corianderlb_core.codec import DecodeError, from_cbor, to_cbor
from corianderlb_core.identity import InstanceId
from corianderlb_core.stream_origin import (
    KnownOrigin,
    StoredStreams,
    StreamRecord,
    UnsettledStreams,
    group_streams,
    group_unsettled,
)

from .own_object import OwnObject
from .shared_read import SharedRead
from .store import ObjectStore, StoredObject, StoreError

STREAMS_PREFIX: Final = "streams/"
"""Key prefix of the records in the store."""

SETTLED_S: Final = 0.2
"""Time after its first event from which a stream is recorded for good. The new entry of
an instance that has restarted with another version takes less."""

MIN_INTERVAL_S: Final = 0.25
"""Shortest time between two writes of a router on average."""

MIN_GAP_S: Final = 0.05
"""Shortest time between two writes of a router that it has saved up."""

MAX_WRITES_PER_S: Final = 60.0
"""Writes of all routers together on average, a sixth of what a small store bears."""

MAX_PEAK_WRITES_PER_S: Final = 160.0
"""Writes of all routers together while they use those that they have saved up."""

MAX_SAVED_WRITES: Final = 4.0
"""Writes that a router may save up while it begins no streams."""

READ_TIMEOUT_S: Final = 0.5
"""Longest time for which a resumed stream waits for the store."""


class StreamRecords:
    """Writes the streams of this router, and reads those of all."""

    def __init__(
        self,
        store: ObjectStore,
        router: InstanceId,
        n_routers: Callable[[], int],
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._own = OwnObject(store, STREAMS_PREFIX + router)
        self._n_routers = n_routers
        self._rng = rng
        self._wall_clock = wall_clock
        self._shared_read = SharedRead(self._read, READ_TIMEOUT_S)
        self._is_read = False
        """Whether the store answered the last read."""
        self._found: dict[bytes, tuple[str, str] | None] = {}
        """Upstream and version by key; None where two records differ."""
        self._unsettled: dict[bytes, UnsettledStreams | None] = {}
        """Streams that are recorded for an incarnation; None where records differ."""
        self._inherited: tuple[StoredStreams, ...] = ()
        """Streams that earlier incarnations of this router have begun."""
        self._inherited_unsettled: tuple[UnsettledStreams, ...] = ()
        self._inherited_until = -math.inf
        self._written: dict[bytes, tuple[str, bool]] = {}
        """Version of each stream that is recorded, and whether it was settled."""
        self._is_due = trio.Event()
        self._wrote_at = -math.inf
        self._n_saved = 1.0
        """Writes that this router may send now."""
        self._saved_at = -math.inf

    # Lookup.

    async def find(self, key: bytes) -> tuple[str, str] | None:
        """Return the upstream and software version of a stream, or None.

        Every record that was written before the call is taken into account.
        """
        if self._found.get(key) is None:
            self._is_read = await self._shared_read.read()
        return self._found.get(key)

    def state_of(self, key: bytes) -> str:
        """Return why the last ``find`` of a stream told nothing, for the log."""
        if not self._is_read:
            return "unread"
        if key in self._found:
            return "differs"
        return "unsettled" if key in self._unsettled else "absent"

    def find_unsettled(self, key: bytes) -> UnsettledStreams | None:
        """Return the record of a stream right after its begin, or None.

        Goes by what the last ``find`` has read. Whether the record holds depends on the
        entry of its instance.
        """
        return None if key in self._found else self._unsettled.get(key)

    async def _read(self) -> None:
        found: dict[bytes, tuple[str, str] | None] = {}
        unsettled: dict[bytes, UnsettledStreams | None] = {}
        now_ms = self._wall_clock() * 1000
        for stored in await self._store.read_all(STREAMS_PREFIX):
            record = _record_of(stored)
            if record is None or record.until_ms < now_ms:
                continue
            for streams in record.streams:
                origin = (streams.upstream, streams.version)
                for key in streams.each_key():
                    known = found.setdefault(key, origin)
                    if known != origin:
                        found[key] = None
            for group in record.unsettled:
                origin = replace(group, keys=b"")
                for key in group.each_key():
                    if unsettled.setdefault(key, origin) != origin:
                        unsettled[key] = None
        self._found, self._unsettled = found, unsettled

    # Records of this router.

    def due(self) -> None:
        """Have the streams written, since another one has begun."""
        self._is_due.set()

    async def run(
        self,
        begun: Callable[[], Iterable[KnownOrigin]],
        keep_s: Callable[[], float],
    ) -> None:
        """Write the streams that ``begun`` returns until cancelled.

        A record counts for ``keep_s`` after it was written.
        """
        while True:
            # Streams settle, and versions join or are corrected, without a begin.
            with trio.move_on_after(self._interval_s() * self._rng.uniform(0.8, 1.2)):
                await self._wait_until_due()
            # Streams that have settled since can wait for the next one that begins.
            if self._save_up() < (0.99 if self._is_due.is_set() else 2.0):
                continue
            self._is_due = trio.Event()
            try:
                await self._write(list(begun()), keep_s())
            except StoreError as exc:
                eliot.log_message(message_type="streams:not_recorded", reason=str(exc))
                self.due()

    def _interval_s(self) -> float:
        return max(MIN_INTERVAL_S, self._n_routers() / MAX_WRITES_PER_S)

    async def _wait_until_due(self) -> None:
        """Wait for a stream to record, and until this router may write again."""
        await self._is_due.wait()
        gap_s = max(MIN_GAP_S, self._n_routers() / MAX_PEAK_WRITES_PER_S)
        missing_s = max(0.0, 1.0 - self._save_up()) * self._interval_s()
        now = trio.current_time()
        await trio.sleep_until(max(self._wrote_at + gap_s, now + missing_s))

    def _save_up(self) -> float:
        """Return how many writes this router may send now."""
        now = trio.current_time()
        earned = (now - self._saved_at) / self._interval_s()
        self._n_saved = min(MAX_SAVED_WRITES, self._n_saved + earned)
        self._saved_at = now
        return self._n_saved

    async def _write(self, begun: Sequence[KnownOrigin], keep_s: float) -> None:
        latest = trio.current_time() - SETTLED_S
        settled = [origin for origin in begun if origin.first_event_at <= latest]
        recent = [origin for origin in begun if origin.first_event_at > latest]
        versions = {origin.key: (origin.version, True) for origin in settled}
        versions.update({origin.key: (origin.version, False) for origin in recent})
        if versions.items() <= self._written.items():
            return
        self._n_saved = max(0.0, self._save_up() - 1.0)
        self._wrote_at = trio.current_time()
        if not self._own.is_read:
            await self._inherit()
        now_ms = round(self._wall_clock() * 1000)
        streams, unsettled = group_streams(settled), group_unsettled(recent)
        if now_ms < self._inherited_until:
            streams = (*streams, *self._inherited)
            unsettled = (*unsettled, *self._inherited_unsettled)
        record = StreamRecord(now_ms, round(keep_s * 1000), streams, unsettled)
        await self._own.write(to_cbor(record))
        self._written = versions

    async def _inherit(self) -> None:
        """Keep what this router's object holds already."""
        stored = await self._own.read()
        record = _record_of(stored) if stored else None
        if record is not None and record.until_ms > self._inherited_until:
            own = set(self._written)
            self._inherited = tuple(
                kept for s in record.streams if (kept := s.without(own)).keys
            )
            self._inherited_unsettled = tuple(
                kept for s in record.unsettled if (kept := s.without(own)).keys
            )
            self._inherited_until = record.until_ms


def _record_of(stored: StoredObject) -> StreamRecord | None:
    try:
        return from_cbor(StreamRecord, stored.value)
    except DecodeError as exc:
        eliot.log_message(
            message_type="streams:unreadable", key=stored.key, reason=str(exc)
        )
        return None
