"""Tests that each answer is of one snapshot while snapshots and partitions change."""

from __future__ import annotations

from typing import ClassVar

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Load, make_request
from tests.processes.checks import wrong_answers
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    apply_section,
    wait_until,
    with_snapshots,
)

SNAPSHOTS = 4
ANSWERS_PER_SNAPSHOT = 30
LEG_DELAY_MS = 15.0
STATUSES = ("armed", "fault", "unregistered")


def change_snapshots_under_load(cluster):
    """Change to each snapshot in turn under load; return the final attempts."""
    delay = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS, share=0.5)
    cluster.searcher_controls()[0].set_faults([delay])
    text = cluster.deployment.section_texts_by_team[TEAM]

    def make_status_search(number):
        return make_request({"status": STATUSES[number % len(STATUSES)]})

    with Load(cluster, make_status_search) as load:
        wait_for_answers(load, 1)
        for snapshot in range(2, SNAPSHOTS + 1):
            apply_section(cluster, TEAM, with_snapshots(text, (snapshot - 1, snapshot)))
            remove_other_snapshots(cluster, snapshot)
            wait_for_answers(load, snapshot)
    return load.final_attempts


def wait_for_answers(load, snapshot):
    """Wait for ANSWERS_PER_SNAPSHOT answers from a snapshot."""

    def has_enough():
        attempts = load.final_attempts
        found = [attempt.answer.get("snapshot") == snapshot for attempt in attempts]
        return sum(found) >= ANSWERS_PER_SNAPSHOT

    wait_until(
        has_enough,
        f"{ANSWERS_PER_SNAPSHOT} answers of snapshot {snapshot} have arrived",
    )


def remove_other_snapshots(cluster, snapshot):
    """Make the searchers of the team hold only this snapshot."""
    for upstream_id, searcher in cluster.deployment.searchers_by_id.items():
        if searcher.team == TEAM:
            control = cluster.searcher_control(upstream_id)
            control.change_searcher(upstream_id, snapshots=[snapshot])


class SnapshotChangeTestCase(ClusterTestCase):
    initial_snapshots = (1,)
    cluster_options: ClassVar = {"snapshots": SNAPSHOTS, "repartition_at": 3}


class SnapshotTests(SnapshotChangeTestCase):
    def test_each_answer_is_of_one_snapshot(self):
        attempts = change_snapshots_under_load(self.cluster)
        self.assertEqual([], wrong_answers(self.cluster, attempts))


class MixedSnapshotsTests(SnapshotChangeTestCase):
    variant = "mixed_snapshots"

    def test_mixed_snapshots_are_found(self):
        attempts = change_snapshots_under_load(self.cluster)
        self.assertNotEqual([], wrong_answers(self.cluster, attempts))
