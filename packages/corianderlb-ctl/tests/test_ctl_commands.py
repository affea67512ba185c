"""Tests of the commands against a fake store and fake routers."""

from __future__ import annotations

import io
import tempfile
from pathlib import Path

import httpx
import yaml

from corianderlb_core.catalogue import Entry
from corianderlb_core.codec import to_json
from corianderlb_core.error import CorianderError
from corianderlb_core.identity import InstanceId, InstanceRecord, Role
from corianderlb_core.status import DecisionReport, EntryReference, RouterStatus
from corianderlb_ctl._main import build_parser, exit_code_of, run
from corianderlb_ctl.catalogue_file import render_catalogue
from corianderlb_ctl.command import Context, Report
from corianderlb_ctl.exit_code import ExitCode
from corianderlb_ctl.output import render
from corianderlb_ctl.router_client import RouterClient
from corianderlb_standins.builder import a_catalogue, a_model, an_account, an_upstream
from corianderlb_standins.fake_store import FakeStore
from corianderlb_standins.trio_case import TrioTestCase

AUTHOR_AND_REASON = ("--author", "ann", "--reason", "trial")
DECISION_ID = "router-1-7"


class CtlCommandTest(TrioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "catalogue.yaml"
        self.write_catalogue(a_model(), an_account(), an_upstream())
        self.version_in_force = {"router-1": 0, "router-2": 0}

    def write_catalogue(self, *entries: Entry) -> None:
        rendered = render_catalogue(a_catalogue(*entries))
        self.path.write_text(rendered.split("\n", 1)[1])

    def make_store(self) -> FakeStore:
        store = FakeStore()
        records = [
            InstanceRecord(InstanceId(name), Role.ROUTER, "a", "r", name)
            for name in self.version_in_force
        ]
        store.set_instances(*records)
        return store

    async def call(self, store: FakeStore, *words: str) -> Report:
        arguments = build_parser().parse_args(words)
        transport = httpx.MockTransport(self.handle_request)
        async with httpx.AsyncClient(transport=transport) as client:
            context = Context(store, RouterClient(client, "key"), arguments)
            return await arguments.command.run(context)

    def handle_request(self, req: httpx.Request) -> httpx.Response:
        if req.headers["authorization"] != "Bearer key":
            return httpx.Response(403, json={"error": {"message": "wrong key"}})
        if req.url.path == f"/admin/decisions/{DECISION_ID}":
            return httpx.Response(200, content=to_json(a_decision()))
        if req.url.path != "/admin/status":
            return httpx.Response(404, json={"error": {"message": "not here"}})
        version = self.version_in_force.get(req.url.host)
        if version is None:
            return httpx.Response(404)
        status = RouterStatus(req.url.host, 1, "a", "r", "serving", version)
        return httpx.Response(200, content=to_json(status))

    async def call_refused(self, store: FakeStore, *words: str) -> tuple[int, str]:
        with self.assertRaises(CorianderError) as caught:
            await self.call(store, *words)
        return exit_code_of(caught.exception), str(caught.exception)

    async def test_apply_then_read_back(self) -> None:
        store = self.make_store()
        report = await self.call(store, "apply", str(self.path), *AUTHOR_AND_REASON)
        self.assertEqual(report.value.version, 1)
        self.assertIn("+ model/ember-llm", report.value.differences)
        history = await self.call(store, "history", "--entry", "model/ember-llm")
        self.assertEqual(history.value[0].author, "ann")
        text = (await self.call(store, "get", "--file")).text
        self.assertEqual(yaml.safe_load(text)["version"], 1)
        self.path.write_text(text.replace("w1", "w2"))
        diff = await self.call(store, "diff", str(self.path))
        self.assertEqual(diff.exit_code, ExitCode.DIFFERENT)
        self.assertIn("'w1' -> 'w2'", diff.value.differences[0])

    async def test_whole_file_removes_the_rest(self) -> None:
        store = self.make_store()
        await self.call(store, "apply", str(self.path), *AUTHOR_AND_REASON)
        self.write_catalogue(a_model(), an_upstream())
        report = await self.call(
            store, "apply", str(self.path), "--whole", *AUTHOR_AND_REASON
        )
        self.assertEqual(report.value.differences, ("- account/northwest-charcoal",))

    async def test_concurrent_edits_conflict(self) -> None:
        # Two operators change the model from the same version. The second must get a
        # conflict with both differences, or it would silently overwrite the first.
        store = self.make_store()
        await self.call(store, "apply", str(self.path), *AUTHOR_AND_REASON)
        text = (await self.call(store, "get", "--file")).text
        self.path.write_text(text.replace("w1", "w2"))
        await self.call(store, "apply", str(self.path), *AUTHOR_AND_REASON)
        self.path.write_text(text.replace("w1", "w3"))
        code, message = await self.call_refused(
            store, "apply", str(self.path), *AUTHOR_AND_REASON
        )
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertIn("'w1' -> 'w2'", message)
        self.assertIn("'w1' -> 'w3'", message)

    async def test_store_down(self) -> None:
        store = self.make_store()
        store.faults.unavailable = True
        code, _ = await self.call_refused(
            store, "apply", str(self.path), *AUTHOR_AND_REASON
        )
        self.assertEqual(code, ExitCode.UNAVAILABLE)

    async def test_wait_reports_lagging_instances(self) -> None:
        store = self.make_store()
        self.version_in_force = {"router-1": 1, "router-2": 0}
        words = ("apply", str(self.path), *AUTHOR_AND_REASON, "--wait", "2")
        report = await self.call(store, *words)
        self.assertEqual(report.exit_code, ExitCode.NOT_IN_FORCE)
        self.assertEqual(report.value.in_force_on, ("router-1",))
        self.assertEqual(report.value.lagging, ("router-2",))

    async def test_explain_shows_owner_and_time(self) -> None:
        store = self.make_store()
        await self.call(store, "apply", str(self.path), *AUTHOR_AND_REASON)
        report = await self.call(store, "explain", DECISION_ID)
        trace = report.value.trace[0]
        self.assertEqual((trace.owner, trace.author), ("model-team", "ann"))
        self.assertTrue(trace.accepted_at)
        self.assertIn("model/ember-llm", render(report, "table"))
        self.assertIn('"model-team"', render(report, "json"))

    async def test_explain_while_the_store_is_down(self) -> None:
        store = self.make_store()
        store.faults.unavailable = True
        words = ("explain", DECISION_ID, "--router", "router-1")
        report = await self.call(store, *words)
        self.assertEqual(report.value.trace[0].owner, "model-team")

    async def test_status_with_an_unreachable_router(self) -> None:
        store = self.make_store()
        del self.version_in_force["router-2"]
        report = await self.call(store, "status")
        table = report.tables[0]
        for row in table.rows:
            self.assertEqual(len(row), len(table.columns))
        text = render(report, "table")
        self.assertIn("serving", text)
        self.assertIn("router-2: HTTP status 404", text)

    async def test_unknown_decision(self) -> None:
        store = self.make_store()
        code, message = await self.call_refused(store, "explain", "router-9-1")
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("not here", message)

    async def test_bad_catalogue_files(self) -> None:
        store = self.make_store()
        cases = {
            "- 1": "expected a map",
            "entries: 3": "expected a list",
            "entires: []": "entires: unknown field",
            "entries: [{kind: modell}]": "'modell' is none of",
            "entries: [{kind: model, name: m, owner: o}]": "missing required field",
            "version: x\nentries: []": "whole number",
        }
        for text, pattern in cases.items():
            self.path.write_text(text)
            words = ("check", "--catalogue", str(self.path))
            code, message = await self.call_refused(store, *words)
            self.assertEqual(code, ExitCode.INVALID, text)
            self.assertIn(pattern, message)
        self.assertEqual(store.calls.total(), 0)

    async def test_check_before_sending(self) -> None:
        store = self.make_store()
        await self.call(store, "apply", str(self.path), *AUTHOR_AND_REASON)
        account = an_account(key_digests=())
        self.write_catalogue(a_model(), account, an_upstream(), an_upstream("other"))
        words = ("check", "--catalogue", str(self.path), "--compare")
        result = (await self.call(store, *words)).value
        self.assertEqual(result.base_version, 1)
        self.assertEqual(len(result.warnings), 3)
        self.assertEqual(result.differences[0][:2], "~ ")
        self.assertIn("+ upstream/other", result.differences)

    async def test_check_compares_no_settings(self) -> None:
        words = ("check", "--settings", str(self.path), "--compare")
        code, text = await self.call_refused(FakeStore(), *words)
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("--compare needs --catalogue", text)

    async def test_check_reports_every_fault(self) -> None:
        store = self.make_store()
        self.write_catalogue(
            a_model(owner=" "), an_account(models=("none",)), an_upstream()
        )
        _, message = await self.call_refused(
            store, "check", "--catalogue", str(self.path)
        )
        self.assertIn("model/ember-llm: owner: empty", message)
        self.assertIn("account/northwest-charcoal: models", message)

    def test_user_error_without_traceback(self) -> None:
        err = io.StringIO()
        words = ["check", "--settings", str(self.path.with_name("none.yaml"))]
        code = run(build_parser().parse_args(words), io.StringIO(), err)
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn("give a readable file", err.getvalue())


def a_decision() -> DecisionReport:
    return DecisionReport(
        decision_id=DECISION_ID,
        request_id="req-1",
        account="northwest-charcoal",
        target="ember-llm",
        service_class="urgent",
        catalogue_version=1,
        policy="default",
        at="2026-01-01T00:00:00Z",
        rested_on=(EntryReference("model/ember-llm", "model-team", 1),),
    )
