"""Tests of ``corianderctl losses`` on log files."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderlb_ctl._main import main
from corianderlb_ctl.losses import Reason, counted_requests, report
from corianderlb_ctl.trace import LogLine


def a_line(**fields: Any) -> LogLine:
    """Return the line of a request that was answered in time."""
    defaults = {
        "route": "long",
        "result": "OK",
        "status": 200,
        "first_ms": 100,
        "took_ms": 500,
        "objective_ms": 400,
        "longest_pause_ms": 200,
        "pause_objective_ms": 300,
        "attempts": [{"outcome": "ok", "estimate_ms": 50}],
    }
    return LogLine(100.0, "r1", "request:ended", {**defaults, **fields})


def attempts(*outcomes: str) -> list[dict[str, str]]:
    """Return attempts with the given outcomes."""
    return [{"outcome": outcome} for outcome in outcomes]


class ReasonTest(unittest.TestCase):
    def test_reasons(self) -> None:
        for expected, fields in (
            (Reason.IN_TIME, {}),
            (Reason.LATE_FIRST_EVENT, {"first_ms": 401}),
            (Reason.LATE_PAUSE, {"longest_pause_ms": 301}),
            (
                Reason.LATE_MOVE,
                {"longest_pause_ms": 301, "attempts": attempts("moved", "ok")},
            ),
            (Reason.IN_TIME, {"longest_pause_ms": 900, "pause_objective_ms": None}),
            (Reason.REFUSED_QUEUE, {"result": "QUEUE_FULL", "status": 503}),
            (
                Reason.REFUSED_WITHHELD,
                {"result": "QUEUE_FULL", "detail": "withheld: e1 takes a request"},
            ),
            (Reason.REFUSED_NO_ENGINE, {"result": "NO_UPSTREAM", "status": 503}),
            (Reason.REFUSED_CAP, {"result": "RATE_LIMITED", "status": 429}),
            (Reason.REFUSED_OTHER, {"result": "DRAINING", "status": 503}),
            (
                Reason.BROKEN,
                {"result": "STREAM_BROKEN", "attempts": attempts("ok", "broken")},
            ),
            (
                Reason.FAILED,
                {"result": "UPSTREAM_FAILED", "attempts": attempts("serverfailure")},
            ),
            (
                Reason.FAILED,
                {
                    "result": "OUTCOME_UNKNOWN",
                    "status": 502,
                    "attempts": attempts("serverfailure"),
                },
            ),
            (Reason.DEADLINE_EXCEEDED, {"result": "DEADLINE_EXCEEDED", "status": 504}),
            (Reason.CALLER_LEFT, {"result": "CALLER_GONE"}),
        ):
            (req,) = counted_requests([a_line(**fields)])
            self.assertIs(req.reason, expected, fields)

    def test_status_of_an_instance_is_no_refusal(self) -> None:
        """Guards against failures of an upstream that are counted as the router's."""
        for status in (401, 404, 429, 503):
            failed = attempts("serverfailure", "serverfailure")
            line = a_line(result="UPSTREAM_FAILED", status=status, attempts=failed)
            (req,) = counted_requests([line])
            self.assertIs(req.reason, Reason.FAILED, status)

    def test_estimate_only_with_a_single_attempt(self) -> None:
        (req,) = counted_requests([a_line()])
        self.assertEqual((req.first_ms, req.estimate_ms), (100.0, 50.0))
        (req,) = counted_requests([a_line(attempts=attempts("broken", "ok"))])
        self.assertIsNone(req.estimate_ms)

    def test_any_fields_give_a_report(self) -> None:
        # Older routers lack fields, and files may be edited by hand: one invalid line
        # must not prevent the report on the others.
        json_values = (
            st.none()
            | st.booleans()
            | st.floats()
            | st.text()
            | st.lists(
                st.none()
                | st.dictionaries(st.sampled_from(["outcome", "x"]), st.text())
            )
        )
        names = sorted(a_line().fields)

        @settings(max_examples=200, deadline=None)
        @given(st.dictionaries(st.sampled_from(names), json_values))
        def check(fields: dict[str, Any]) -> None:
            requests = counted_requests([a_line(**fields), a_line()])
            self.assertGreaterEqual(len(requests), 1)
            report(requests)

        check()


class LossesTest(unittest.TestCase):
    def run_losses(self, *words: str) -> tuple[int, str, str]:
        """Run the command on two log lines and one other line."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "r1.log"
            lines = [a_line(), a_line(result="QUEUE_FULL", status=503)]
            plain = [
                {"message_type": x.kind, "timestamp": x.at, "node": x.node, **x.fields}
                for x in lines
            ]
            path.write_text("\n".join(["Traceback", *map(json.dumps, plain)]))
            out, err = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                code = main(["losses", *words, "--logs", str(path)])
            return code, out.getvalue(), err.getvalue()

    def test_report(self) -> None:
        code, out, _ = self.run_losses()
        self.assertEqual(code, 0)
        for text in ("2 requests", "1 in time", "refused: queue", "50.0%", "2.00"):
            self.assertIn(text, out)

    def test_unknown_route(self) -> None:
        code, _, err = self.run_losses("--route", "other")
        self.assertEqual(code, 8)
        self.assertIn("no request of a route", err)

    def test_plot(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "lost.svg"
            self.assertEqual(self.run_losses("--plot", str(path))[0], 0)
            self.assertIn(b"<svg", path.read_bytes())

    def test_plot_that_cannot_be_written(self) -> None:
        code, _, err = self.run_losses("--plot", "/nowhere/lost.svg")
        self.assertNotEqual(code, 0)
        self.assertIn("/nowhere/lost.svg", err)
