"""Tests of ``corianderctl trace`` on log files."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from corianderlb_ctl._main import main

LINES = [
    {"message_type": "store:lost", "timestamp": 90.0, "node": "r1"},
    {
        "message_type": "upstream:leaving",
        "instance": "e1",
        "timestamp": 99.0,
        "node": "r1",
    },
    {
        "message_type": "upstream:leaving",
        "instance": "e9",
        "timestamp": 99.0,
        "node": "r2",
    },
    {
        "message_type": "request:ended",
        "request": "9c41",
        "result": "UPSTREAM_FAILED",
        "status": 502,
        "took_ms": 800,
        "attempts": [{"instance": "e1", "outcome": "broken", "took_ms": 790}],
        "detail": "closed mid-answer",
        "timestamp": 100.0,
        "node": "r1",
    },
]


class TraceTest(unittest.TestCase):
    def run_trace(self, *words: str) -> tuple[int, str, str]:
        """Run the command on the log lines and some other lines."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "r1.log"
            lines = ["Traceback ...", "{", *(json.dumps(line) for line in LINES)]
            path.write_text("\n".join(lines))
            out, err = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                code = main(["trace", *words, "--logs", str(path)])
        return code, out.getvalue(), err.getvalue()

    def test_request_with_state_changes_of_its_router(self) -> None:
        code, out, _ = self.run_trace("9c41")
        self.assertEqual(code, 0)
        for text in ("UPSTREAM_FAILED", "closed mid-answer", "broken", "instance=e1"):
            self.assertIn(text, out)
        self.assertNotIn("e9", out)
        self.assertNotIn("store:lost", out)

    def test_earlier_changes_with_before_option(self) -> None:
        _, out, _ = self.run_trace("9c41", "--before", "20")
        self.assertIn("store:lost", out)

    def test_unknown_request(self) -> None:
        code, _, err = self.run_trace("none")
        self.assertNotEqual(code, 0)
        self.assertIn("no line of request none", err)
