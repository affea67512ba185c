"""``corianderctl history``: print the audit trail of accepted changes."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from typing import ClassVar, Final

from corianderlb_core.catalogue import EntryKey
from corianderlb_core.catalogue_codec import key_from_str
from corianderlb_core.change import Change
from corianderlb_core.edit import changed_keys, diff_change
from corianderlb_router.catalogue_editor import CatalogueEditor

from .command import Command, Context, Report, Table

DEFAULT_LIMIT: Final = 50
"""Default of ``--limit``."""


@dataclass(frozen=True)
class ChangeView:
    """An accepted change as shown in the audit trail."""

    version: int
    accepted_at: str
    author: str
    owner: str
    reason: str
    edit_id: str
    differences: tuple[str, ...]


class History(Command):
    """Print each change with its time, author, owner and reason."""

    name: ClassVar[str] = "history"
    summary: ClassVar[str] = "print the audit trail of accepted changes"
    example: ClassVar[str] = "corianderctl history --entry account/northwest-charcoal"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the start version, the limit and the entry to filter by."""
        parser.add_argument(
            "--after",
            type=int,
            default=0,
            metavar="VERSION",
            help="start after this version",
        )
        parser.add_argument("--limit", type=int, default=DEFAULT_LIMIT)
        parser.add_argument(
            "--entry", metavar="KIND/NAME", help="only changes of this entry"
        )

    async def run(self, context: Context) -> Report:
        """Read the changes, which are the audit records, from the store."""
        arguments = context.arguments
        editor = CatalogueEditor(context.store)
        changes = await editor.history(arguments.after, arguments.limit)
        if arguments.entry:
            changes = _filter_by_entry(changes, key_from_str(arguments.entry))
        views = tuple(map(_view, changes))
        return Report(views, tables=(_table(views),))


def _filter_by_entry(changes: list[Change], key: EntryKey) -> list[Change]:
    return [change for change in changes if key in changed_keys(change)]


def _view(change: Change) -> ChangeView:
    return ChangeView(
        change.version,
        change.accepted_at,
        change.author,
        change.owner,
        change.reason,
        change.edit_id,
        tuple(map(str, diff_change(change))),
    )


def _table(views: tuple[ChangeView, ...]) -> Table:
    rows = tuple(
        (
            str(view.version),
            view.accepted_at,
            view.author,
            view.owner,
            view.reason,
            "\n".join(view.differences),
        )
        for view in views
    )
    return Table(("version", "at", "author", "owner", "reason", "difference"), rows)
