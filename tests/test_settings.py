from __future__ import annotations

import pathlib

import testtools

from almondspool.errors import SettingsError
from almondspool.settings import SETTINGS_TABLE, load_settings

VALID_SETTINGS = """\
instance: perth-1
zone: perth-north
caller_address: 127.0.0.1:7100
peer_address: 127.0.0.1:7200
platform_address: 127.0.0.1:7000
peer_key: sixteen-bytes-or-more
"""


class LoadSettingsTests(testtools.TestCase):
    def load(self, text: str):
        path = pathlib.Path(self.make_directory()) / "settings.yaml"
        path.write_text(text)
        return load_settings(str(path))

    def make_directory(self) -> str:
        import tempfile

        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return directory.name

    def test_omitted_setting_has_its_default(self):
        settings = self.load(VALID_SETTINGS)
        self.assertEqual("perth-1", settings.instance)
        self.assertEqual(1.0, settings.heartbeat_interval_s)

    def test_invalid_value_is_reported_with_line_key_and_value(self):
        error = self.assertRaises(
            SettingsError, self.load, VALID_SETTINGS + "watchers: 0\n"
        )
        self.assertIn("settings.yaml:7: watchers: 0 is not allowed", str(error))

    def test_unknown_key_is_reported_with_line(self):
        error = self.assertRaises(
            SettingsError, self.load, VALID_SETTINGS + "wachters: 2\n"
        )
        self.assertIn("settings.yaml:7: wachters: no such setting", str(error))

    def test_missing_required_setting_is_named(self):
        error = self.assertRaises(SettingsError, self.load, "zone: a\n")
        self.assertIn("instance: required setting is missing", str(error))

    def test_each_setting_has_help(self):
        for row in SETTINGS_TABLE:
            self.assertTrue(row.help.endswith("."), row.name)
