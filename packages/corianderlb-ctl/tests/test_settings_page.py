"""The settings reference page matches the settings classes."""

from __future__ import annotations

import unittest
from pathlib import Path

from corianderlb_core.settings_table import setting_rows, to_markdown

PAGE = Path(__file__).parents[3] / "docs" / "reference" / "settings.md"


class SettingsPageTest(unittest.TestCase):
    def test_page_is_current(self) -> None:
        self.assertIn(to_markdown(setting_rows()), PAGE.read_text())
