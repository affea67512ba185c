"""The part of the catalogue's change log that this router has received.

Changes arrive from the store and from peers, late, repeated or out of order. Only the
next version is applied, so no peer can restore an older state and no change is skipped.
The stored bytes are kept unchanged: a router of a newer release, to which they are
forwarded, may read fields that this release does not know.
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

MIN_UNFOLDED_CHANGES: Final = 32
"""Newest changes kept unfolded, so that peers slightly behind receive only these."""

MAX_UNFOLDED_CHANGES: Final = 64
"""Number of unfolded changes above which the oldest are folded into the snapshot."""

MAX_OFFER_BYTES: Final = 900_000
"""Size limit of the changes in one offer to a peer; a frame holds 1 MiB."""


class ChainError(CorianderError):
    """Changes or a snapshot that are invalid or leave a gap."""

    code = ResultCode.PEER_MESSAGE_INVALID


class CatalogueChain:
    """Apply changes to the catalogue in order of their versions.

    For example, ``take([change_8, change_9])`` moves version 7 to 9 and returns 2; at
    version 9 it returns 0.
    """

    def __init__(self) -> None:
        self._catalogue = Catalogue()
        self._snapshot: bytes | None = None
        self._changes: list[bytes] = []

    @property
    def version(self) -> int:
        """The version of the last applied change; 0 before the first."""
        return self._catalogue.version

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue at ``version``."""
        return self._catalogue

    def take(self, offered: Sequence[bytes]) -> int:
        """Apply the changes newer than ``version`` and return their number.

        Raise ``ChainError`` for bytes that are not a change or that leave a gap; the
        changes before them stay applied.
        """
        n_applied = 0
        for data in offered:
            try:
                change = change_from_json(data)
            except DecodeError as exc:
                raise ChainError(f"after version {self.version}: {exc}") from exc
            if change.version <= self.version:
                continue
            if change.version != self.version + 1:
                raise ChainError(
                    f"change {change.version} does not follow version {self.version}"
                )
            self._catalogue = apply_change(self._catalogue, change)
            self._changes.append(data)
            n_applied += 1
        if len(self._changes) > MAX_UNFOLDED_CHANGES:
            self._fold_oldest()
        return n_applied

    def apply_snapshot(self, data: bytes) -> bool:
        """Replace the state by a snapshot if it is newer; return whether it was."""
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
        """Return an optional snapshot and the changes for a peer at a version.

        They fit in one message; a peer that is still behind queries again.
        """
        folded_version = self.version - len(self._changes)
        if after_version < folded_version and self._snapshot is not None:
            return self._snapshot, ()
        changes: list[bytes] = []
        n_bytes = 0
        for data in self._changes[max(0, after_version - folded_version) :]:
            n_bytes += len(data)
            if changes and n_bytes > MAX_OFFER_BYTES:
                break
            changes.append(data)
        return None, tuple(changes)

    def snapshot_at(self, version: int) -> bytes | None:
        """Return the snapshot at a version, or None if its changes were folded."""
        folded_version = self.version - len(self._changes)
        if not folded_version <= version <= self.version:
            return None
        return fold_stored(self._snapshot, self._changes[: version - folded_version])

    def _fold_oldest(self) -> None:
        n_folded = len(self._changes) - MIN_UNFOLDED_CHANGES
        self._snapshot = fold_stored(self._snapshot, self._changes[:n_folded])
        self._changes = self._changes[n_folded:]
