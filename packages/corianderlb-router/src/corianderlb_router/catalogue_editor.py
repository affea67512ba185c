"""Accept edits of the catalogue by one conditional write each.

Creating ``changes/N`` is the acceptance, the audit record and the place in the order at
once, so an edit cannot be half accepted. Used by the operators' command line; no router
is needed.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Final

import trio

from corianderlb_core.catalogue import Catalogue
from corianderlb_core.catalogue_codec import catalogue_to_json, change_to_json
from corianderlb_core.change import Change, apply_change, change_key
from corianderlb_core.edit import Conflict, Edit, EditError, change_of, same_edit
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
"""Largest value that the store holds; a change and a snapshot must each fit."""

N_ATTEMPTS: Final = 4
"""Times that a write without an answer is read back and sent again."""

N_SEARCHED: Final = 256
"""Newest changes among which a repeated edit is looked for."""

SETTLE_S: Final = 0.5
"""Seconds before the first repetition; doubles with each."""


class EditConflictError(CorianderError):
    """Signal that another edit was accepted first; ``conflict`` shows both."""

    code = ResultCode.EDIT_CONFLICT

    def __init__(self, conflict: Conflict) -> None:
        super().__init__(f"{conflict}\nread the newer version and edit that")
        self.conflict = conflict
        """Both differences."""


class EditOutcomeUnknownError(CorianderError):
    """Signal an edit that may or may not be accepted: run the same edit again."""

    code = ResultCode.EDIT_OUTCOME_UNKNOWN


def utc_now() -> str:
    """Return the time of day, ISO 8601 in UTC, for audit records."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


class CatalogueEditor:
    """Read the catalogue and its history, and accept edits.

    For example ``await CatalogueEditor(store).accept(edit)`` returns the accepted
    ``Change``, also when the same edit was accepted before and its answer got lost.
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
        """Return the catalogue as it was at a version."""
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
        """Return the change of an edit that was accepted of late, or None."""
        version = (await self._log.newest()).version
        for earlier in range(version, max(0, version - N_SEARCHED), -1):
            change = await self.change(earlier)
            if change is not None and change.edit_id == edit_id:
                return change
        return None

    async def accept(self, edit: Edit, repeated: bool = False) -> Change:
        """Accept an edit, once, and return its change.

        With ``repeated`` the edit may have been accepted before, as when its outcome
        was unknown. Others may have edited the same entries since, so it is looked for
        first: accepting it anew on the newest base would undo what they did.

        Raise ``EditConflictError`` when another edit was accepted on the same base,
        ``CatalogueInvalidError`` or ``EditError`` for an edit that cannot be accepted,
        ``StoreUnavailableError`` when surely nothing was written, and
        ``EditOutcomeUnknownError`` when the store did not tell.
        """
        if repeated and (earlier := await self.find(edit.edit_id)) is not None:
            return earlier
        base = await self._log.at(edit.base_version)
        mine = change_of(edit, base, self._wall_clock())
        self._require_size(base, mine)
        in_doubt = False
        for n_tried in range(N_ATTEMPTS):
            if n_tried:
                await trio.sleep(SETTLE_S * 2 ** (n_tried - 1))
            try:
                return await self._write(mine)
            except StoreUnknownError:
                in_doubt = True
            except StoreUnavailableError:
                # Once a write is in doubt, a later refusal says nothing about it.
                if not in_doubt:
                    raise
        raise EditOutcomeUnknownError(
            f"no answer whether edit {edit.edit_id} is accepted; run it again with "
            "the same edit id, which never applies it twice"
        )

    async def _write(self, mine: Change) -> Change:
        """Create the change, or find out who was first."""
        try:
            await self._store.create(change_key(mine.version), change_to_json(mine))
            return mine
        except StoreConflictError:
            return await self._settle(mine)
        except StoreUnknownError:
            return await self._settle(mine)

    async def _settle(self, mine: Change) -> Change:
        """Read back what stands where the change was to be.

        Nothing there leaves the outcome unknown, since the write may be on its way
        still. Sending it again is safe: the object is made once, by whichever comes
        first, and both hold the same edit.
        """
        try:
            stored = await self._log.change(mine.version)
        except StoreError as exc:
            raise StoreUnknownError(f"not read back: {exc}") from exc
        if stored is None:
            raise StoreUnknownError("the change is not there yet")
        if stored.change.edit_id != mine.edit_id:
            raise EditConflictError(await self._conflict(mine))
        if not same_edit(stored.change, mine):
            raise EditError(
                f"edit id {mine.edit_id} was used for another edit; choose a new one"
            )
        return stored.change

    async def _conflict(self, mine: Change) -> Conflict:
        theirs = await self._log.changes_after(mine.base_version)
        return Conflict(mine, tuple(item.change for item in theirs))

    def _require_size(self, base: Catalogue, mine: Change) -> None:
        """Refuse an edit that the store, or a later snapshot, could not hold."""
        after = catalogue_to_json(apply_change(base, mine))
        longest = max(len(after), len(change_to_json(mine)))
        if longest > MAX_OBJECT_BYTES:
            raise EditError(
                f"the edit makes an object of {longest} bytes; the store holds "
                f"{MAX_OBJECT_BYTES}: split the edit or remove entries"
            )
