"""Tests that a leaving upstream gets no new work after a few seconds."""

from __future__ import annotations

from typing import ClassVar

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Load
from tests.processes.checks import journal_entries, wrong_answers
from tests.processes.support import TEAM, ClusterTestCase, run_cli, wait_until

LEAVING = f"{TEAM}-01-c"
PROCESS_INDEX = 2
ANSWERS = 60


def drain_under_load(cluster):
    """Drain an upstream; return the legs that it ran afterwards, and all attempts."""
    with Load(cluster) as load:
        load.wait_for_more(ANSWERS)
        done = run_cli(cluster, "drain", LEAVING, "--wait")
        assert done.returncode == 0, done.stderr
        load.wait_for_more(ANSWERS)
        for control in cluster.searcher_controls():
            control.clear_journal()
        load.wait_for_more(ANSWERS)
        ran = [
            entry["leg_id"]
            for entry in journal_entries(cluster)
            if entry["upstream_id"] == LEAVING
        ]
        run_cli(cluster, "undrain", LEAVING, "--wait")
        wait_until(lambda: has_run_at(cluster, LEAVING), f"{LEAVING} gets work again")
    return ran, load.attempts


def has_run_at(cluster, upstream_id):
    entries = journal_entries(cluster)
    return any(entry["upstream_id"] == upstream_id for entry in entries)


class LeavingUpstreamTests(ClusterTestCase):
    # Each process hosts at most one replica of a shard.
    options: ClassVar = {"searcher_processes": 3}

    def test_drained_by_the_command_line_tool(self):
        ran, attempts = drain_under_load(self.cluster)
        self.assertEqual([], ran)
        self.assertEqual([], wrong_answers(self.cluster, attempts, complete=True))

    def test_draining_by_its_own_report(self):
        control = self.cluster.searcher_controls()[PROCESS_INDEX]
        hosted_ids = control.journal()["connections"]
        with Load(self.cluster) as load:
            load.wait_for_more(ANSWERS)
            for upstream_id in hosted_ids:
                control.change_searcher(upstream_id, draining=True)
            wait_until(
                lambda: self.gets_no_exchanges(control, load), "no legs are sent"
            )
            for upstream_id in hosted_ids:
                control.change_searcher(upstream_id, draining=False)
            wait_until(lambda: has_run_at(self.cluster, LEAVING), "work comes back")
        self.assertEqual([], wrong_answers(self.cluster, load.attempts, complete=True))

    def test_draining_replies_with_a_false_load_report(self):
        control = self.cluster.searcher_controls()[PROCESS_INDEX]
        hosted_ids = control.journal()["connections"]
        control.set_faults([Fault(FaultKind.LIE_LOAD, target) for target in hosted_ids])
        for upstream_id in hosted_ids:
            control.change_searcher(upstream_id, draining=True)
            self.addCleanup(control.change_searcher, upstream_id, draining=False)
        with Load(self.cluster) as load:
            load.wait_for_more(ANSWERS)
        self.assertEqual([], wrong_answers(self.cluster, load.attempts, complete=True))

    def gets_no_exchanges(self, control, load):
        before = count_exchanges(control)
        load.wait_for_more(ANSWERS)
        return count_exchanges(control) == before


def count_exchanges(control):
    return control.counters()["by_name"].get("v1/legs", 0)


class DrainIgnoredTests(ClusterTestCase):
    variant = "drain_ignored"

    def test_new_work_is_found(self):
        ran, _ = drain_under_load(self.cluster)
        self.assertNotEqual([], ran)
