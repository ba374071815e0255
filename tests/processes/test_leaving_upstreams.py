"""Tests that a draining upstream gets no new work after a few seconds."""

from __future__ import annotations

from typing import ClassVar

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Load
from tests.processes.checks import journal_entries, wrong_answers
from tests.processes.support import TEAM, ClusterTestCase, run_cli, wait_until

DRAINED_ID = f"{TEAM}-01-c"
SEARCHER_PROCESS_INDEX = 2
ANSWERS_PER_PHASE = 60


def drain_under_load(cluster):
    """Drain an upstream under load, then end the drain.

    Returns:
        The ids of the legs that it ran while drained, and the final attempts.
    """
    with Load(cluster) as load:
        load.wait_for_more(ANSWERS_PER_PHASE)
        done = run_cli(cluster, "drain", DRAINED_ID, "--wait")
        assert done.returncode == 0, done.stderr
        load.wait_for_more(ANSWERS_PER_PHASE)
        for control in cluster.searcher_controls():
            control.clear_journal()
        load.wait_for_more(ANSWERS_PER_PHASE)
        ran = [
            entry["leg_id"]
            for entry in journal_entries(cluster)
            if entry["upstream_id"] == DRAINED_ID
        ]
        run_cli(cluster, "undrain", DRAINED_ID, "--wait")
        wait_until(
            lambda: has_run_at(cluster, DRAINED_ID), f"{DRAINED_ID} gets work again"
        )
    return ran, load.final_attempts


def has_run_at(cluster, upstream_id):
    """Return whether the journal has a leg that an upstream ran."""
    entries = journal_entries(cluster)
    return any(entry["upstream_id"] == upstream_id for entry in entries)


class DrainTests(ClusterTestCase):
    # With three processes, each hosts at most one replica of a shard.
    cluster_options: ClassVar = {"searcher_processes": 3}

    def test_drain_by_the_command_line_tool(self):
        ran, attempts = drain_under_load(self.cluster)
        self.assertEqual([], ran)
        self.assertEqual(
            [], wrong_answers(self.cluster, attempts, require_complete=True)
        )

    def test_drain_reported_by_the_upstream(self):
        control = self.cluster.searcher_controls()[SEARCHER_PROCESS_INDEX]
        hosted_ids = control.journal()["connections"]
        with Load(self.cluster) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
            for upstream_id in hosted_ids:
                control.change_searcher(upstream_id, draining=True)
            wait_until(
                lambda: self.gets_no_exchanges(control, load),
                "the drained searchers get no legs",
            )
            for upstream_id in hosted_ids:
                control.change_searcher(upstream_id, draining=False)
            wait_until(
                lambda: has_run_at(self.cluster, DRAINED_ID),
                "the drained searcher gets work again",
            )
        self.assertEqual(
            [], wrong_answers(self.cluster, load.final_attempts, require_complete=True)
        )

    def test_drain_with_a_false_load_report(self):
        control = self.cluster.searcher_controls()[SEARCHER_PROCESS_INDEX]
        hosted_ids = control.journal()["connections"]
        control.set_faults([Fault(FaultKind.LIE_LOAD, target) for target in hosted_ids])
        for upstream_id in hosted_ids:
            control.change_searcher(upstream_id, draining=True)
            self.addCleanup(control.change_searcher, upstream_id, draining=False)
        with Load(self.cluster) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
        self.assertEqual(
            [], wrong_answers(self.cluster, load.final_attempts, require_complete=True)
        )

    def gets_no_exchanges(self, control, load):
        before = count_exchanges(control)
        load.wait_for_more(ANSWERS_PER_PHASE)
        return count_exchanges(control) == before


def count_exchanges(control):
    return control.counters()["by_name"].get("v1/legs", 0)


class DrainIgnoredTests(ClusterTestCase):
    variant = "drain_ignored"

    def test_new_work_is_found(self):
        ran, _ = drain_under_load(self.cluster)
        self.assertNotEqual([], ran)
