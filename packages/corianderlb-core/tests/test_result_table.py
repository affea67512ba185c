"""The page of result codes shows what the code says."""

from __future__ import annotations

import unittest
from pathlib import Path

from corianderlb_core.result import RESULT_INFO, ResultCode, RunStatus
from corianderlb_core.result_table import result_rows, to_markdown

PAGE = Path(__file__).parents[3] / "docs" / "RESULT-CODES.md"


class ResultTableTest(unittest.TestCase):
    def test_page_is_current(self) -> None:
        self.assertIn(to_markdown(result_rows()), PAGE.read_text())

    def test_a_code_that_says_not_run_is_no_5xx_gateway_error(self) -> None:
        for code in ResultCode:
            if RESULT_INFO[code].status in (502, 504):
                self.assertIsNot(RESULT_INFO[code].ran, RunStatus.NO, code.name)
