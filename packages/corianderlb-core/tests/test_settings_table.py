"""The settings table shows each field's range, default and meaning."""

from __future__ import annotations

import unittest

from corianderlb_core.settings_table import setting_rows, to_markdown


class SettingsTableTest(unittest.TestCase):
    def test_rows(self) -> None:
        rows = {row.path: row for row in setting_rows()}
        self.assertEqual(rows["listen.port"].allowed, "from 0 to 65535")
        self.assertEqual(rows["instance"].default, "")
        self.assertIn("shared key", rows["peer.key_file"].meaning)
        self.assertIn("| `listen.port` | int |", to_markdown([rows["listen.port"]]))

    def test_every_field_has_a_meaning(self) -> None:
        undocumented = [row.path for row in setting_rows() if not row.meaning]
        self.assertEqual(undocumented, [])
