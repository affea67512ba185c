"""Acceptance of edits: exactly once, with conflicts and lost answers."""

from __future__ import annotations

import dataclasses

import trio

from corianderlb_core.edit import Edit
from corianderlb_router.catalogue_editor import (
    CatalogueEditor,
    EditConflictError,
    EditOutcomeUnknownError,
)
from corianderlb_router.store import StoreUnavailableError
from corianderlb_standins.builder import a_model, an_upstream
from corianderlb_standins.fake_store import FakeStore, StoreFaults
from corianderlb_standins.trio_case import TrioTestCase


def an_edit(edit_id: str = "e1", base_version: int = 0, **fields) -> Edit:
    defaults = {"author": "ann", "reason": "why", "put": (an_upstream(),)}
    return Edit(edit_id=edit_id, base_version=base_version, **{**defaults, **fields})


class EditorTest(TrioTestCase):
    async def test_accepted_edit_is_its_audit_record(self) -> None:
        editor = CatalogueEditor(FakeStore(), wall_clock=lambda: "noon")
        await editor.accept(an_edit())
        (record,) = await editor.history()
        self.assertEqual(
            (record.version, record.author, record.reason), (1, "ann", "why")
        )
        self.assertEqual((record.accepted_at, record.owner), ("noon", "platform-team"))
        self.assertEqual((await editor.newest()).version, 1)

    async def test_concurrent_edits_of_one_version(self) -> None:
        """Guards against a concurrent edit that silently replaces an accepted one."""
        editor = CatalogueEditor(FakeStore())
        await editor.accept(an_edit())
        first = an_edit("e2", 1, put=(a_model(),))
        second = an_edit("e3", 1, put=(a_model(weights_version="w2"),), author="bob")
        await editor.accept(first)
        with self.assertRaises(EditConflictError) as caught:
            await editor.accept(second)
        conflict = caught.exception.conflict
        self.assertEqual([change.author for change in conflict.theirs], ["ann"])
        self.assertEqual(conflict.mine.put[0].weights_version, "w2")
        self.assertEqual(
            (await editor.newest()).model("ember-llm").weights_version, "w1"
        )

    async def test_lost_answer_is_resolved_by_reading_back(self) -> None:
        """Guards against an edit applied twice after its answer was lost."""
        editor = CatalogueEditor(FakeStore(StoreFaults(n_lost_answers=1)))
        self.assertEqual((await editor.accept(an_edit())).version, 1)
        self.assertEqual(len(await editor.history()), 1)

    async def test_lost_request_is_repeated(self) -> None:
        """The first write is lost and the second refused; the edit is accepted once.

        Guards against reporting the refusal as the outcome of the first write.
        """
        store = FakeStore(StoreFaults(n_lost_requests=1))

        async def refuse_second(key: str) -> None:
            if store.calls["create"] == 2:
                raise StoreUnavailableError("busy")

        store.before_write = refuse_second
        self.assertEqual((await CatalogueEditor(store).accept(an_edit())).version, 1)

    async def test_delayed_write_is_not_applied_twice(self) -> None:
        """Guards against a second change when the first write arrives late."""
        async with trio.open_nursery() as nursery:
            faults = StoreFaults(n_late_writes=1, late_s=20.0)
            store = FakeStore(faults, nursery=nursery)
            editor = CatalogueEditor(store)
            self.assertEqual((await editor.accept(an_edit())).version, 1)
        self.assertEqual(len(await editor.history()), 1)

    async def test_unknown_outcome_is_resolved_by_repeating_the_edit(self) -> None:
        """Guards against reporting an edit as rejected when only its answer is lost."""
        store = FakeStore(StoreFaults(n_lost_answers=1))
        editor = CatalogueEditor(store)

        async def go_down(key: str) -> None:
            store.faults.unavailable = True

        store.before_write = go_down
        with self.assertRaises(EditOutcomeUnknownError):
            await editor.accept(an_edit())
        store.before_write, store.faults.unavailable = None, False
        self.assertEqual((await editor.accept(an_edit())).version, 1)
        self.assertEqual(len(await editor.history()), 1)

    async def test_repeated_edit_keeps_later_edits(self) -> None:
        """Guards against a repeated edit that undoes later edits of the same entry."""
        editor = CatalogueEditor(FakeStore())
        mine = an_edit(put=(an_upstream(owner="mine"),))
        await editor.accept(mine)
        await editor.accept(an_edit("e2", 1, put=(an_upstream(owner="theirs"),)))
        again = dataclasses.replace(mine, base_version=2)
        self.assertEqual((await editor.accept(again, repeated=True)).version, 1)
        newest = await editor.newest()
        self.assertEqual(newest.upstream("ember-llm").owner, "theirs")

    async def test_refused_write_raises_store_unavailable(self) -> None:
        store = FakeStore()

        async def refuse(key: str) -> None:
            raise StoreUnavailableError("busy")

        store.before_write = refuse
        with self.assertRaises(StoreUnavailableError):
            await CatalogueEditor(store).accept(an_edit())

    async def test_simultaneous_edits(self) -> None:
        """Guards against more than one accepted edit on the same base version."""
        store = FakeStore(StoreFaults(delay_s=0.1))
        accepted_ids: list[str] = []
        conflicting_ids: list[str] = []

        async def accept(edit: Edit) -> None:
            try:
                accepted_ids.append((await CatalogueEditor(store).accept(edit)).edit_id)
            except EditConflictError:
                conflicting_ids.append(edit.edit_id)

        async with trio.open_nursery() as nursery:
            for name in "abcdefgh":
                edit = dataclasses.replace(an_edit(), edit_id=name, author=name)
                nursery.start_soon(accept, edit)
        self.assertEqual((len(accepted_ids), len(conflicting_ids)), (1, 7))
        self.assertEqual(len(await CatalogueEditor(store).history()), 1)
