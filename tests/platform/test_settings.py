from __future__ import annotations

import pathlib
import tempfile

import testtools

from almondspool.codes import ResultCode
from almondspool.errors import SettingsError
from almondspool.platform.settings import load_platform_settings

SETTINGS_TOML = """
node = "front-perth-north-1"
ip = "10.1.0.39"
zone = "perth-north"
region = "perth"
internal_ports = [7740,7755]
seeds = ["10.1.0.39:8224","10.2.0.33:8224"]
heartbeat_ms = 900
contracts = ["base"]
[zones]
perth-north = "perth"
[listen]
front = "10.1.0.39:8226"
ready = "10.1.0.39:8227"
directory = "10.1.0.39:8225"
[limits]
memory_mb = 300
[bounds]
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
grace_s = 6
drain_ms = 2500
[platform]
address = "10.200.1.7:8229"
"""


class PlatformSettingsTests(testtools.TestCase):
    def load(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(text)
        self.addCleanup(pathlib.Path(file.name).unlink)
        return load_platform_settings(file.name)

    def test_fields_are_decoded(self):
        settings = self.load(SETTINGS_TOML)
        self.assertEqual("front-perth-north-1", settings.instance)
        self.assertEqual("10.1.0.39:8226", settings.caller_address)
        self.assertEqual("10.1.0.39:8225", settings.lookup_address)
        self.assertEqual("", settings.operator_address)
        self.assertEqual(7740, settings.peer_port)
        self.assertEqual(("10.1.0.39", "10.2.0.33"), settings.seed_ips)
        self.assertEqual((0.2, 58.0, 10.0), settings.extra_sends)
        self.assertEqual({"perth-north": "perth"}, settings.zones)
        self.assertEqual((0.9, 2.5), settings.entry_times)

    def test_errors_name_the_file_and_the_key(self):
        for old, new, key in (
            ('node = "front-perth-north-1"', "node = 5", "node"),
            ('zone = "perth-north"', 'zone = ""', "zone"),
            ("internal_ports = [7740,7755]", "internal_ports = []", "internal_ports"),
            ("grace_s = 6", "grace_s = nan", "grace_s"),
            ("retry_slack = 58", "retry_slack = inf", "retry_slack"),
            ("retry_slack = 58", 'retry_slack = "many"', "retry_slack"),
            ("grace_s = 6", "grace_s = -1", "grace_s"),
            ('address = "10.200.1.7:8229"', "", "address"),
        ):
            error = self.assertRaises(
                SettingsError, self.load, SETTINGS_TOML.replace(old, new, 1)
            )
            self.assertIn(key, str(error))
            self.assertIn(".toml", str(error))

    def test_invalid_toml_and_missing_files_are_errors(self):
        self.assertRaises(SettingsError, self.load, "node = ")
        error = self.assertRaises(SettingsError, load_platform_settings, "/no/such")
        self.assertIs(ResultCode.SETTINGS_UNREADABLE, error.code)
