"""Test that the documented result codes match the code."""

from __future__ import annotations

import unittest
from pathlib import Path

from corianderlb_core.result import (
    NOT_RUN_STATUSES,
    RESULT_INFO,
    ResultCode,
    RunStatus,
)
from corianderlb_core.result_table import result_rows, to_markdown

PAGE = Path(__file__).parents[3] / "docs" / "RESULT-CODES.md"


class ResultTableTest(unittest.TestCase):
    def test_page_is_current(self) -> None:
        self.assertIn(to_markdown(result_rows()), PAGE.read_text())

    def test_gateway_errors_never_claim_not_run(self) -> None:
        for code in ResultCode:
            if RESULT_INFO[code].status in (502, 504):
                self.assertIsNot(RESULT_INFO[code].ran, RunStatus.NO, code.name)

    def test_status_for_not_run_goes_with_codes_that_say_so(self) -> None:
        """Guards against a code whose status has callers repeat what may have run."""
        for code, info in RESULT_INFO.items():
            if info.status in NOT_RUN_STATUSES:
                self.assertIs(info.ran, RunStatus.NO, code.name)
