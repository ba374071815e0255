"""Modules that the daemon's process loads."""

from __future__ import annotations

import subprocess
import sys

import testtools

LIST_MODULES = "import sys, almondspool.daemon; print(*sys.modules)"


class DaemonTests(testtools.TestCase):
    def test_no_resolver_is_loaded(self):
        command = [sys.executable, "-W", "ignore", "-c", LIST_MODULES]
        listed = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertIn("eventlet", listed.stdout.split())
        self.assertNotIn("dns", listed.stdout.split())
