"""Objects of a journal shard in the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final, TypeVar

from corianderlb_core.codec import DecodeError, from_cbor, to_cbor
from corianderlb_core.identity import AttemptId
from corianderlb_core.journal import Segment, SegmentRef

from .store import (
    ObjectStore,
    StoreConflictError,
    StoredObject,
    StoreError,
    StoreUnavailableError,
)

T = TypeVar("T")

CHUNK_BYTES: Final = 512 * 1024
"""Size limit of an object that contains a part of an answer."""


class ShardObjects:
    """Reads and writes a shard's head and segments, and the answers of calls."""

    def __init__(self, store: ObjectStore, folder: str) -> None:
        self._store = store
        self._folder = folder

    async def head(self) -> StoredObject | None:
        """Return the head, or None if no call has been recorded yet."""
        return await self._store.get(f"{self._folder}/head")

    async def write_head(self, data: bytes, version: str | None) -> str:
        """Replace the head of a version, or create it; return the new version."""
        return await self._store.write(f"{self._folder}/head", data, version)

    async def read_segment(self, ref: SegmentRef) -> Segment:
        """Return a sealed segment that a head refers to."""
        stored = await self._store.get(self._segment_key(ref))
        if stored is None:
            # Another router dropped it as expired after this one had read the head.
            raise StoreConflictError(
                f"segment {ref.name} does not exist any more; read the head again"
            )
        return decode_stored(Segment, stored.value)

    async def write_segment(self, ref: SegmentRef, segment: Segment) -> None:
        """Create a segment, before a head refers to it."""
        await self._store.create(self._segment_key(ref), to_cbor(segment))

    async def write_answer(self, attempt_id: AttemptId, body: bytes) -> None:
        """Write an answer that is too long for its record, before the record."""
        for n, start in enumerate(range(0, len(body), CHUNK_BYTES)):
            data = body[start : start + CHUNK_BYTES]
            try:
                await self._store.create(chunk_key(attempt_id, n), data)
            except StoreConflictError:
                continue  # Created by an earlier attempt whose answer was lost.

    async def delete(
        self, refs: Sequence[SegmentRef], segments: Sequence[Segment]
    ) -> None:
        """Delete expired segments and their answers; failures only waste space."""
        keys = [self._segment_key(ref) for ref in refs]
        for segment in segments:
            for record in segment.records:
                n_chunks = record.answer.n_chunks if record.answer else 0
                keys += [chunk_key(record.attempt_id, n) for n in range(n_chunks)]
        try:
            for key in keys:
                stored = await self._store.get(key)
                if stored is not None:
                    await self._store.delete(key, stored.version)
        except StoreError:
            return

    def _segment_key(self, ref: SegmentRef) -> str:
        return f"{self._folder}/sealed/{ref.name}"


def chunk_key(attempt_id: AttemptId, n: int) -> str:
    """Return the store key of one part of an answer."""
    return f"journal/answers/{attempt_id}/{n}"


def decode_stored(cls: type[T], data: bytes) -> T:
    """Decode an object of the journal.

    Raise ``StoreUnavailableError`` if that fails: without its records a shard does not
    know which calls have run, so its calls are refused.
    """
    try:
        return from_cbor(cls, data)
    except DecodeError as exc:
        raise StoreUnavailableError(
            f"a {cls.__name__} of the journal cannot be read ({exc}); "
            "calls are refused, not run, until the object is repaired"
        ) from exc
