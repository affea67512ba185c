"""Accept edits of the catalogue by one conditional write each.

Creating ``changes/N`` accepts the edit, records it for the audit and fixes its position
in the log in one step, so an edit is never partly accepted. The operators' command line
uses this module without a router.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Final

import trio

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.catalogue_codec import catalogue_to_json, change_to_json
from corianderlb_core.change import Change, apply_change, change_key
from corianderlb_core.edit import Conflict, Edit, EditError, build_change, is_same_edit
from corianderlb_core.error import CorianderError
from corianderlb_core.result import ResultCode

from .catalogue_log import CatalogueLog
from .store import (
    ObjectStore,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
)

MAX_OBJECT_BYTES: Final = 1_000_000
"""Largest value that the store accepts, for changes and for snapshots."""

N_ATTEMPTS: Final = 4
"""Attempts of a write that gets no answer, each followed by a read."""

N_CHANGES_SEARCHED: Final = 256
"""Number of newest changes searched for a repeated edit."""

REPEAT_DELAY_S: Final = 0.5
"""Seconds before the second attempt; doubles with each further attempt."""


class EditConflictError(CorianderError):
    """Another edit of the same base version was accepted first."""

    code = ResultCode.EDIT_CONFLICT

    def __init__(self, conflict: Conflict) -> None:
        super().__init__(f"{conflict}\nread the newer version and edit that")
        self.conflict = conflict
        """The rejected change and the changes accepted instead."""


class EditOutcomeUnknownError(CorianderError):
    """The edit may or may not be accepted; repeating it with its edit id is safe."""

    code = ResultCode.EDIT_OUTCOME_UNKNOWN


def utc_now() -> str:
    """Return the current date and time in UTC, ISO 8601, for audit records."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


class CatalogueEditor:
    """Reads the catalogue and its history, and accepts edits.

    For example ``await CatalogueEditor(store).accept(edit)`` returns the accepted
    ``Change``, also if the same edit was accepted before and the answer was lost.
    """

    def __init__(
        self, store: ObjectStore, wall_clock: Callable[[], str] = utc_now
    ) -> None:
        self._store = store
        self._wall_clock = wall_clock
        self._log = CatalogueLog(store)

    async def newest(self) -> Catalogue:
        """Return the newest accepted catalogue."""
        return await self._log.newest()

    async def at(self, version: int) -> Catalogue:
        """Return the catalogue at a version."""
        return await self._log.at(version)

    async def change(self, version: int) -> Change | None:
        """Return the audit record of a version, or None when there is none."""
        stored = await self._log.change(version)
        return None if stored is None else stored.change

    async def history(self, after_version: int = 0, limit: int = 100) -> list[Change]:
        """Return the audit records that follow a version, oldest first."""
        stored = await self._log.changes_after(after_version, limit)
        return [item.change for item in stored]

    async def find(self, edit_id: str) -> Change | None:
        """Return the change of an edit among the newest changes, or None."""
        version = (await self._log.newest()).version
        for earlier in range(version, max(0, version - N_CHANGES_SEARCHED), -1):
            change = await self.change(earlier)
            if change is not None and change.edit_id == edit_id:
                return change
        return None

    async def accept(self, edit: Edit, repeated: bool = False) -> Change:
        """Accept an edit exactly once and return its change.

        With ``repeated`` the edit may have been accepted before, as after an unknown
        outcome, and the history is searched for it first. Accepting it again on the
        newest base would undo later edits of the same entries.

        Raise ``EditConflictError`` if another edit was accepted on the same base,
        ``CatalogueInvalidError`` or ``EditError`` for an invalid edit,
        ``StoreUnavailableError`` if nothing was written, and
        ``EditOutcomeUnknownError`` if that is unknown.
        """
        if repeated and (earlier := await self.find(edit.edit_id)) is not None:
            return earlier
        base = await self._log.at(edit.base_version)
        mine = build_change(edit, base, self._wall_clock())
        self._check_size(base, mine)
        is_outcome_unknown = False
        for n_attempts in range(N_ATTEMPTS):
            if n_attempts:
                await trio.sleep(REPEAT_DELAY_S * 2 ** (n_attempts - 1))
            try:
                return await self._write(mine)
            except StoreUnknownError:
                is_outcome_unknown = True
            except StoreUnavailableError:
                # A refusal does not settle the outcome of an earlier attempt.
                if not is_outcome_unknown:
                    raise
        raise EditOutcomeUnknownError(
            f"no answer whether edit {edit.edit_id} is accepted; run it again with "
            "the same edit id, which never applies it twice"
        )

    async def _write(self, mine: Change) -> Change:
        """Create the change; on a conflict or a lost answer, read it back."""
        try:
            await self._store.create(change_key(mine.version), change_to_json(mine))
            return mine
        except StoreConflictError:
            return await self._read_back(mine)
        except StoreUnknownError:
            return await self._read_back(mine)

    async def _read_back(self, mine: Change) -> Change:
        """Return the stored change of this version if it comes from the same edit.

        If there is none, the outcome is unknown, since the write may still take effect.
        Repeating it is safe: only one of the two writes can create the object, and both
        contain the same edit.
        """
        try:
            stored = await self._log.change(mine.version)
        except StoreError as exc:
            raise StoreUnknownError(f"not read back: {exc}") from exc
        if stored is None:
            raise StoreUnknownError("the change is not there yet")
        if stored.change.edit_id != mine.edit_id:
            raise EditConflictError(await self._conflict(mine))
        if not is_same_edit(stored.change, mine):
            raise EditError(
                f"edit id {mine.edit_id} was used for another edit; choose a new one"
            )
        return stored.change

    async def _conflict(self, mine: Change) -> Conflict:
        theirs = await self._log.changes_after(mine.base_version)
        return Conflict(mine, tuple(item.change for item in theirs))

    def _check_size(self, base: Catalogue, mine: Change) -> None:
        """Raise ``EditError`` if the change or the new catalogue is too large."""
        after = catalogue_to_json(apply_change(base, mine))
        longest = max(len(after), len(change_to_json(mine)))
        if longest > MAX_OBJECT_BYTES:
            raise EditError(
                f"the edit makes an object of {longest} bytes; the store holds "
                f"{MAX_OBJECT_BYTES}: split the edit or remove entries"
            )
