"""An edit is accepted by one write, once, and operators who race are told."""

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

    async def test_racing_operators(self) -> None:
        """Two operators edit the same version at the same time.

        Without the condition on the write the first edit would vanish silently; here
        one wins, and the other sees both differences.
        """
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

    async def test_lost_answer_is_settled_by_reading_back(self) -> None:
        """The store accepted the edit and its answer was lost on the way.

        Sending it anew as version 2 would apply the operator's edit twice.
        """
        editor = CatalogueEditor(FakeStore(StoreFaults(n_lost_answers=1)))
        self.assertEqual((await editor.accept(an_edit())).version, 1)
        self.assertEqual(len(await editor.history()), 1)

    async def test_lost_call_is_sent_again(self) -> None:
        """The write was lost before it took effect, which nobody here can know.

        The store then refuses the second try, which says nothing about the first.
        """
        store = FakeStore(StoreFaults(n_lost_requests=1))

        async def refuse_second(key: str) -> None:
            if store.calls["create"] == 2:
                raise StoreUnavailableError("busy")

        store.before_write = refuse_second
        self.assertEqual((await CatalogueEditor(store).accept(an_edit())).version, 1)

    async def test_late_write_is_not_doubled(self) -> None:
        """The first write is on its way for long; the second try comes in between."""
        async with trio.open_nursery() as nursery:
            faults = StoreFaults(n_late_writes=1, late_s=20.0)
            store = FakeStore(faults, nursery=nursery)
            editor = CatalogueEditor(store)
            self.assertEqual((await editor.accept(an_edit())).version, 1)
        self.assertEqual(len(await editor.history()), 1)

    async def test_doubt_is_told_and_settled_by_the_same_edit(self) -> None:
        """The store goes away for long right after it took the edit.

        The operator must not hear "not accepted", since the edit will be in force.
        """
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

    async def test_repeated_edit_undoes_nothing(self) -> None:
        """An edit's answer was lost; others edited the entry before it is run again.

        Taking it as a new edit of the newest version would undo what they did.
        """
        editor = CatalogueEditor(FakeStore())
        mine = an_edit(put=(an_upstream(owner="mine"),))
        await editor.accept(mine)
        await editor.accept(an_edit("e2", 1, put=(an_upstream(owner="theirs"),)))
        again = dataclasses.replace(mine, base_version=2)
        self.assertEqual((await editor.accept(again, repeated=True)).version, 1)
        newest = await editor.newest()
        self.assertEqual(newest.upstream("ember-llm").owner, "theirs")

    async def test_clean_refusal_says_so(self) -> None:
        store = FakeStore()

        async def refuse(key: str) -> None:
            raise StoreUnavailableError("busy")

        store.before_write = refuse
        with self.assertRaises(StoreUnavailableError):
            await CatalogueEditor(store).accept(an_edit())

    async def test_two_writers_at_the_same_moment(self) -> None:
        """Eight operators press the key together; exactly one edit is accepted."""
        store = FakeStore(StoreFaults(delay_s=0.1))
        won: list[str] = []
        lost: list[str] = []

        async def accept(edit: Edit) -> None:
            try:
                won.append((await CatalogueEditor(store).accept(edit)).edit_id)
            except EditConflictError:
                lost.append(edit.edit_id)

        async with trio.open_nursery() as nursery:
            for name in "abcdefgh":
                edit = dataclasses.replace(an_edit(), edit_id=name, author=name)
                nursery.start_soon(accept, edit)
        self.assertEqual((len(won), len(lost)), (1, 7))
        self.assertEqual(len(await CatalogueEditor(store).history()), 1)
