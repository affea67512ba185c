"""A catalogue is validated as a whole; faults name the entry and the field."""

from __future__ import annotations

import unittest

from corianderlb_core.catalogue import (
    Adapter,
    Catalogue,
    EntryKey,
    EntryKind,
    Limits,
    UpstreamKind,
)
from corianderlb_core.catalogue_check import CatalogueInvalidError, check_catalogue
from corianderlb_core.catalogue_codec import catalogue_to_json, change_to_json
from corianderlb_core.change import apply_change, fold
from corianderlb_core.edit import (
    Conflict,
    Edit,
    EditError,
    build_change,
    build_edit_from_entries,
)
from corianderlb_core.snapshot import fold_stored
from corianderlb_standins.builder import (
    a_catalogue,
    a_change,
    a_model,
    a_route,
    an_account,
    an_upstream,
)


def a_service():
    return an_upstream("yard-app", upstream_kind=UpstreamKind.SERVICE)


def an_edit(**fields) -> Edit:
    defaults = {"edit_id": "e", "base_version": 1, "author": "ann", "reason": "why"}
    return Edit(**{**defaults, **fields})


class CheckTest(unittest.TestCase):
    def test_valid_catalogue_has_no_faults(self) -> None:
        valid = a_catalogue(
            an_upstream(), a_service(), a_model(), an_account(), a_route()
        )
        self.assertEqual(check_catalogue(valid), ())

    def test_all_faults_are_reported(self) -> None:
        shared_digests = an_account("a").key_digests
        broken = a_catalogue(
            an_upstream(owner=" "),
            a_model(upstream="gone", piece_chars=0),
            a_model("spec-reader", kv_cache="ember-llm", weights_version=""),
            Adapter(name="ember-llm", owner="x", model="gone", version="1"),
            an_account("a", models=("gone",), limits=Limits(requests_per_s=0)),
            an_account("b", key_digests=shared_digests, weight=float("nan")),
            a_route(upstream="ember-llm", methods=("GRAB",), timeout_s=0),
        )
        reported = {(str(fault.key), fault.field) for fault in check_catalogue(broken)}
        self.assertEqual(
            reported,
            {
                ("upstream/ember-llm", "owner"),
                ("model/ember-llm", "upstream"),
                ("model/ember-llm", "piece_chars"),
                ("model/spec-reader", "upstream"),
                ("model/spec-reader", "kv_cache"),
                ("model/spec-reader", "weights_version"),
                ("adapter/ember-llm", "model"),
                ("adapter/ember-llm", "name"),
                ("account/a", "models"),
                ("account/a", "limits.requests_per_s"),
                ("account/b", "weight"),
                ("account/b", "key_digests"),
                ("route/sign-off", "upstream"),
                ("route/sign-off", "methods"),
                ("route/sign-off", "timeout_s"),
            },
        )

    def test_message_names_entry_field_and_remedy(self) -> None:
        broken = a_catalogue(an_upstream(), a_model(upstream="gone"))
        self.assertEqual(
            str(check_catalogue(broken)[0]),
            "model/ember-llm: upstream: 'gone' does not exist; "
            "use an upstream of kind engine: one of ember-llm",
        )


class EditTest(unittest.TestCase):
    def test_change_holds_the_difference(self) -> None:
        base = a_catalogue(an_upstream(), a_model())
        updated = a_model(weights_version="w2")
        change = build_change(an_edit(put=(updated, an_upstream())), base, "now")
        self.assertEqual(change.put, (updated,))
        self.assertEqual(change.previous, (a_model(),))
        self.assertEqual(change.owner, "model-team")

    def test_edit_that_breaks_a_reference_is_refused(self) -> None:
        base = a_catalogue(an_upstream(), a_model())
        removed = (EntryKey(EntryKind.UPSTREAM, "ember-llm"),)
        with self.assertRaises(CatalogueInvalidError):
            build_change(an_edit(removed=removed), base, "now")

    def test_edit_that_changes_nothing_is_refused(self) -> None:
        base = a_catalogue(an_upstream())
        with self.assertRaisesRegex(EditError, "changes nothing"):
            build_change(an_edit(put=(an_upstream(),)), base, "now")

    def test_edit_towards_desired_entries(self) -> None:
        base = a_catalogue(an_upstream(), a_model())
        other = an_upstream("spec-reader")
        edit = build_edit_from_entries(an_edit(), base, [an_upstream(), other])
        self.assertEqual(edit.put, (other,))
        self.assertEqual(edit.removed, (EntryKey(EntryKind.MODEL, "ember-llm"),))

    def test_conflict_shows_both_differences(self) -> None:
        base = a_catalogue(an_upstream(), a_model())
        theirs = build_change(an_edit(put=(a_model(piece_chars=1),)), base, "t1")
        mine = build_change(an_edit(put=(a_model(piece_chars=2),)), base, "t2")
        text = str(Conflict(mine, (theirs,)))
        self.assertIn("piece_chars: 4000 -> 2", text)
        self.assertIn("piece_chars: 4000 -> 1", text)
        self.assertIn("both touch: model/ember-llm", text)


class SnapshotTest(unittest.TestCase):
    def test_plain_fold_equals_typed_fold(self) -> None:
        removed = (EntryKey(EntryKind.MODEL, "ember-llm"),)
        changes = [
            a_change(1, an_upstream(), a_model()),
            a_change(2, an_upstream(owner="other")),
            a_change(3, an_upstream("b"), removed=removed),
        ]
        stored = [change_to_json(change) for change in changes]
        typed = catalogue_to_json(fold(changes))
        self.assertEqual(fold_stored(None, stored), typed)
        first_snapshot = fold_stored(None, stored[:1])
        self.assertEqual(fold_stored(first_snapshot, stored[1:]), typed)

    def test_field_of_a_newer_release_survives(self) -> None:
        """A snapshot must not drop a field that this release does not know."""
        data = change_to_json(a_change(1, an_upstream()))
        newer = data.replace(b'"owner":"platform-team","serv', b'"new":1,"serv')
        self.assertNotEqual(newer, data)
        self.assertIn(b'"new":1', fold_stored(None, [newer]))

    def test_catalogue_starts_empty(self) -> None:
        first = apply_change(Catalogue(), a_change(1, an_upstream()))
        self.assertEqual(first.version, 1)
