"""The daemon must not load dnspython, which costs memory and load time.

Eventlet's own resolver imports it unless almondspool.daemon disables that resolver
before it imports eventlet.
"""

from __future__ import annotations

import subprocess
import sys

import testtools

LIST_MODULES = "import sys, almondspool.daemon; print(*sys.modules)"


class DaemonTests(testtools.TestCase):
    def test_dnspython_is_not_loaded(self):
        command = [sys.executable, "-W", "ignore", "-c", LIST_MODULES]
        listed = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertIn("eventlet", listed.stdout.split())
        self.assertNotIn("dns", listed.stdout.split())
