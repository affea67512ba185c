"""An invalid settings file is refused with file, line, field and allowed values."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from corianderlb_core.settings_file import SettingsError, load_settings, read_secret

GOOD = """\
instance: router-1
zone: pnw-a
region: pnw
store:
  url: http://127.0.0.1:9000
peer:
  key_file: peer.key
operator:
  key_file: operator.key
listen:
  port: 0
"""


class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "router.yaml"

    def assert_refused(self, text: str, pattern: str) -> None:
        self.path.write_text(text)
        with self.assertRaisesRegex(SettingsError, pattern):
            load_settings(self.path)

    def test_good_file(self) -> None:
        self.path.write_text(GOOD)
        cfg = load_settings(self.path)
        self.assertEqual(cfg.listen.port, 0)
        self.assertEqual(cfg.store.timeout_s, 2.0)

    def test_wrong_type(self) -> None:
        self.assert_refused(
            GOOD.replace("port: 0", "port: many"),
            r"router.yaml:11: listen.port: Expected `int`, got `str`",
        )

    def test_out_of_range(self) -> None:
        self.assert_refused(
            GOOD.replace("port: 0", "port: 70000"), r":11: listen.port: .*65535"
        )

    def test_unknown_field(self) -> None:
        self.assert_refused(
            GOOD.replace("  url:", "  uri:"), r":5: store.uri: unknown field.*url"
        )

    def test_missing_field(self) -> None:
        self.assert_refused(GOOD.replace("zone: pnw-a\n", ""), r"missing.*zone")

    def test_not_yaml(self) -> None:
        self.assert_refused("a: [1", "not YAML")
        self.assert_refused("", "expected a map")
        self.assert_refused("- 1", "expected a map")

    def test_no_file(self) -> None:
        with self.assertRaisesRegex(SettingsError, "give a readable file"):
            load_settings(self.path)

    def test_empty_secret(self) -> None:
        self.path.write_text("\n")
        with self.assertRaisesRegex(SettingsError, "empty"):
            read_secret(str(self.path))
        self.path.write_text("secret\n")
        self.assertEqual(read_secret(str(self.path)), b"secret")
