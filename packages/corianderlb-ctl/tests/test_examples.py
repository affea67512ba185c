"""The example files pass ``corianderctl check``."""

from __future__ import annotations

import io
import unittest
from pathlib import Path

from corianderlb_ctl._main import build_parser, run

EXAMPLES = Path(__file__).parents[3] / "examples"


class ExamplesTest(unittest.TestCase):
    def check(self, *words: str) -> str:
        out, err = io.StringIO(), io.StringIO()
        code = run(build_parser().parse_args(["check", *words]), out, err)
        self.assertEqual(code, 0, err.getvalue())
        return out.getvalue()

    def test_catalogue(self) -> None:
        text = self.check("--catalogue", str(EXAMPLES / "catalogue.yaml"))
        self.assertIn("good, 7 entries", text)

    def test_settings(self) -> None:
        self.check("--settings", str(EXAMPLES / "router.yaml"))
