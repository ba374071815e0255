from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
from unittest import mock

import testtools

from almondspool.cli.main import main
from tests.platform.test_configuration import CONFIGURATION_SPEC
from tests.platform.test_settings import SETTINGS_TOML

# Not in order of time. The id r10 must not match a search for r1.
LOG_LINES = """\
time=100.200000 level=info event=request.partial request=r1 missing=s3:waiting
time=100.100000 level=info event=leg.extra request=r1 shard=s3 reason=hedge
noise without fields
time=100.150000 level=info event=request.answered request=r10 code=OK
"""


class PlatformCommandTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def run_tool(self, *arguments):
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = main(["almondspool", *arguments])
        return code, output.getvalue()

    def explain(self, request_id, *paths):
        return self.run_tool("explain", f"--request={request_id}", *paths)

    def test_explain_shows_one_request_in_order(self):
        code, text = self.run_tool(
            "explain", "--request=r1", self.write("a.log", LOG_LINES)
        )
        self.assertEqual(0, code)
        first, second = text.splitlines()
        self.assertIn("+0.0 ms  leg.extra request=r1 shard=s3", first)
        self.assertIn("+100.0 ms  request.partial", second)

    def test_explain_reads_standard_input(self):
        with mock.patch("sys.stdin", io.StringIO(LOG_LINES)):
            code, text = self.explain("r10")
        self.assertEqual((0, 1), (code, len(text.splitlines())))

    def test_explain_of_an_unknown_request(self):
        code, text = self.run_tool(
            "explain", "--request=r2", self.write("a.log", LOG_LINES)
        )
        self.assertNotEqual(0, code)
        self.assertIn("no line of request r2", text)

    def test_check_accepts_platform_files(self):
        settings = self.write("settings.toml", SETTINGS_TOML)
        configuration = self.write("config.json", json.dumps(CONFIGURATION_SPEC))
        code, text = self.run_tool("check", settings, configuration)
        self.assertEqual(0, code)
        self.assertIn("settings of front-perth-north-1 are valid", text)
        self.assertIn("version 7 with 2 routes is valid", text)

    def test_check_names_file_and_location(self):
        invalid_path = self.write(
            "config.json", json.dumps({**CONFIGURATION_SPEC, "version": "x"})
        )
        code, text = self.run_tool("check", invalid_path)
        self.assertNotEqual(0, code)
        self.assertIn("config.json", text)
        self.assertIn("version", text)
        code, text = self.run_tool("check", self.write("s.toml", "node = 5"))
        self.assertNotEqual(0, code)
        self.assertIn("s.toml", text)
