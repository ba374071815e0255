"""Command-line tool with daemons that are frozen, killed or lose the platform."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib

import testtools

from almondspool.cli import main
from almondspool.codes import ResultCode, exit_code
from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.launcher import Cluster
from tests.processes.support import kill_daemons

TEAM = "alert-desk"
APPLY_TIMEOUT_S = 20.0


class ConfigurationProcessTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        cluster = Cluster("demo", instances=3, settings={"entry_ttl_s": 0.5})
        self.cluster = self.enterContext(cluster)
        # A graceful shutdown would wait for the platform, which is down by then.
        self.addCleanup(kill_daemons, cluster)
        cluster.start()
        self.names = sorted(cluster.instances_by_name)
        self.path = cluster.section_paths_by_team[TEAM]
        self.apply()

    def run_tool(self, *arguments, instance=None, expected=ResultCode.OK):
        instances = self.cluster.instances_by_name
        names = [instance] if instance else self.names
        addresses = ",".join(instances[name].caller_address for name in names)
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(
                ["almondspool", f"--instance={addresses}", "--json", *arguments]
            )
        self.assertEqual(exit_code(expected), code, out.getvalue() + err.getvalue())
        return json.loads(out.getvalue())

    def apply(self, *arguments, expected=ResultCode.OK):
        wait = ("--wait", f"--timeout_s={APPLY_TIMEOUT_S}")
        call = ("apply", str(self.path), "--replace", *wait, *arguments)
        return self.run_tool(*call, expected=expected)

    def change_deadline(self, deadline_ms):
        """Write the section in force, with another deadline, to the section's file."""
        section = self.run_tool("show", TEAM)
        lines = section["text"].splitlines(keepends=True)
        index = next(n for n, line in enumerate(lines) if "deadline_ms:" in line)
        lines[index] = f"deadline_ms: {deadline_ms}\n"
        pathlib.Path(self.path).write_text("".join(lines))

    def generations_in_force(self):
        return [
            self.run_tool("show", instance=name)["generation"] for name in self.names
        ]

    def test_accepted_document_is_in_force_and_never_reverts(self):
        self.change_deadline(200)
        self.check_frozen_instance_is_reported()
        self.change_deadline(300)
        self.check_outage_refuses_the_change()
        self.check_restart_without_the_platform()

    def check_outage_refuses_the_change(self):
        """A write that the platform cannot store must not come into force anywhere."""
        self.cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
        arguments = ("apply", str(self.path), "--replace")
        refused = self.run_tool(*arguments, expected=ResultCode.PLATFORM_UNAVAILABLE)
        self.assertIn("not accepted", refused["sections"][0]["message"])
        self.assertEqual([2, 2, 2], self.generations_in_force())

    def check_frozen_instance_is_reported(self):
        """An instance that does not run must not be counted as running the change."""
        frozen = self.names[2]
        self.cluster.freeze(frozen)
        self.addCleanup(self.cluster.resume, frozen)
        arguments = ("apply", str(self.path), "--replace", "--wait", "--timeout_s=3")
        behind = self.run_tool(*arguments, expected=ResultCode.DOCUMENT_NOT_IN_FORCE)
        self.assertEqual([frozen], behind["behind"])
        self.cluster.resume(frozen)
        self.assertIn(frozen, self.apply()["in_force"])

    def check_restart_without_the_platform(self):
        """An instance restarted during the outage must adopt the accepted document."""
        self.cluster.kill(self.names[1])
        self.cluster.restart(self.names[1])
        self.assertEqual([2, 2, 2], self.generations_in_force())
