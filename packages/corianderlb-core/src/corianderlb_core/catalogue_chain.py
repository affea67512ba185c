"""Hold the catalogue's log as far as it is known here; it only ever grows.

Changes arrive from the store and from peers, late, twice or out of order. A version is
taken only if it is the very next one, so no one can bring an older state back, and no
change in between can be missed. The bytes are kept as they were stored, so that they
can be passed on to a router that knows more about them than this one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from .catalogue import Catalogue
from .catalogue_codec import catalogue_from_json, change_from_json
from .change import apply_change
from .codec import DecodeError
from .error import CorianderError
from .result import ResultCode
from .snapshot import fold_stored

MIN_KEPT: Final = 32
"""Newest changes kept one by one, so that peers slightly behind get just these."""

MAX_KEPT: Final = 64
"""Changes from which the oldest are folded into the snapshot."""

MAX_OFFER_BYTES: Final = 900_000
"""Bytes of changes in one offer to a peer; a frame holds 1 MiB."""


class ChainError(CorianderError):
    """Signal offered changes or a snapshot that cannot be taken."""

    code = ResultCode.PEER_MESSAGE_INVALID


class CatalogueChain:
    """Fold offered changes into the catalogue, one version after the other.

    For example ``take([change_8, change_9])`` brings version 7 to 9 and returns 2; at
    version 9 it returns 0.
    """

    def __init__(self) -> None:
        self._catalogue = Catalogue()
        self._snapshot: bytes | None = None
        self._changes: list[bytes] = []

    @property
    def version(self) -> int:
        """The version that is reached; 0 before the first change."""
        return self._catalogue.version

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue at that version."""
        return self._catalogue

    def take(self, offered: Sequence[bytes]) -> int:
        """Take the changes that follow, and return how many those were.

        Raise ``ChainError`` for bytes that are no change or leave a gap; what came
        before them is taken.
        """
        n_taken = 0
        for data in offered:
            try:
                change = change_from_json(data)
            except DecodeError as exc:
                raise ChainError(f"after version {self.version}: {exc}") from exc
            if change.version <= self.version:
                continue
            if change.version != self.version + 1:
                raise ChainError(f"{change.version} does not follow {self.version}")
            self._catalogue = apply_change(self._catalogue, change)
            self._changes.append(data)
            n_taken += 1
        if len(self._changes) > MAX_KEPT:
            self._fold_oldest()
        return n_taken

    def take_snapshot(self, data: bytes) -> bool:
        """Start over from a snapshot if it is newer; return whether it was taken."""
        try:
            catalogue = catalogue_from_json(data)
        except DecodeError as exc:
            raise ChainError(str(exc)) from exc
        if catalogue.version <= self.version:
            return False
        self._catalogue = catalogue
        self._snapshot = data
        self._changes = []
        return True

    def offer(self, after_version: int) -> tuple[bytes | None, tuple[bytes, ...]]:
        """Return what brings a peer on from a version: a snapshot or none, changes.

        No more than fits one message; a peer that is still behind asks again.
        """
        first_kept = self.version - len(self._changes)
        if after_version < first_kept and self._snapshot is not None:
            return self._snapshot, ()
        changes: list[bytes] = []
        n_bytes = 0
        for data in self._changes[max(0, after_version - first_kept) :]:
            n_bytes += len(data)
            if changes and n_bytes > MAX_OFFER_BYTES:
                break
            changes.append(data)
        return None, tuple(changes)

    def snapshot_at(self, version: int) -> bytes | None:
        """Return the snapshot of a version whose changes are still kept one by one."""
        first_kept = self.version - len(self._changes)
        if not first_kept <= version <= self.version:
            return None
        return fold_stored(self._snapshot, self._changes[: version - first_kept])

    def _fold_oldest(self) -> None:
        n_folded = len(self._changes) - MIN_KEPT
        self._snapshot = fold_stored(self._snapshot, self._changes[:n_folded])
        self._changes = self._changes[n_folded:]
