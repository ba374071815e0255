"""One snapshot for each answer, while indexes are swapped and repartitioned."""

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
ANSWERS_BETWEEN = 30
LEG_DELAY_MS = 15.0
STATUSES = ("armed", "fault", "unregistered")


def swap_under_load(cluster):
    """Move from snapshot to snapshot and return the answers given meanwhile."""
    delay = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS, share=0.5)
    cluster.searcher_controls()[0].set_faults([delay])
    text = cluster.deployment.section_texts_by_team[TEAM]

    def make(number):
        return make_request({"status": STATUSES[number % len(STATUSES)]})

    with Load(cluster, make) as load:
        wait_for_answers(load, 1)
        for snapshot in range(2, SNAPSHOTS + 1):
            apply_section(cluster, TEAM, with_snapshots(text, (snapshot - 1, snapshot)))
            drop_older(cluster, snapshot)
            wait_for_answers(load, snapshot)
    return load.attempts


def wait_for_answers(load, snapshot):
    def is_enough():
        attempts = load.attempts
        found = [each.answer.get("snapshot") == snapshot for each in attempts]
        return sum(found) >= ANSWERS_BETWEEN

    wait_until(is_enough, f"{ANSWERS_BETWEEN} answers are from snapshot {snapshot}")


def drop_older(cluster, snapshot):
    for upstream_id, searcher in cluster.deployment.searchers_by_id.items():
        if searcher.team == TEAM:
            control = cluster.searcher_control(upstream_id)
            control.change_searcher(upstream_id, snapshots=[snapshot])


class SwapTestCase(ClusterTestCase):
    initial_snapshots = (1,)
    options: ClassVar = {"snapshots": SNAPSHOTS, "repartition_at": 3}


class SnapshotTests(SwapTestCase):
    def test_each_answer_is_of_one_snapshot(self):
        attempts = swap_under_load(self.cluster)
        self.assertEqual([], wrong_answers(self.cluster, attempts))


class MixedSnapshotsTests(SwapTestCase):
    variant = "mixed_snapshots"

    def test_mixed_snapshots_are_found(self):
        attempts = swap_under_load(self.cluster)
        self.assertNotEqual([], wrong_answers(self.cluster, attempts))
