"""True coverage: an answer is whole but for the shards that it names as missing."""

from __future__ import annotations

import functools
from typing import ClassVar

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Caller, Load, make_search
from tests.processes.checks import wrong_answers
from tests.processes.support import TEAM, ClusterTestCase, wait_until

ANSWERS = 25
DEADLINE_MS = 600
DAMAGE_KINDS = (
    FaultKind.MALFORMED,
    FaultKind.TRUNCATED,
    FaultKind.DOUBLED,
    FaultKind.WRONG_REQUEST,
    FaultKind.WRONG_SNAPSHOT,
    FaultKind.OVERSIZED,
    FaultKind.NEVER_ENDING,
    FaultKind.DROP_REPLY_AFTER_EFFECT,
    FaultKind.OUTAGE,
)
BOTH_REPLICAS = (f"{TEAM}-01-a", f"{TEAM}-01-b")


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def answers_during(cluster, faults, answers=ANSWERS):
    """Return the answers given while faults are on."""
    control = cluster.searcher_controls()[0]
    with Load(cluster, make_short_search, callers=3) as load:
        control.set_faults(faults)
        enough = load.count_answers() + answers
        wait_until(
            lambda: load.count_answers() >= enough, f"{faults} met {answers} answers"
        )
        control.clear_faults()
    return load.attempts


def lose_both_replicas(cluster):
    """Return the answers given while one shard has no replica."""
    for upstream_id in BOTH_REPLICAS:
        cluster.kill_searcher(upstream_id)
    try:
        return answers_during(cluster, [])
    finally:
        for upstream_id in BOTH_REPLICAS:
            cluster.restart_searcher(upstream_id)


class CoverageTests(ClusterTestCase):
    # A reply that is cut off counts as a crash, and so do two killed searchers.
    settings: ClassVar = {"quarantine_s": 0.5}

    def assert_true(self, attempts):
        self.assertEqual([], wrong_answers(self.cluster, attempts))

    def assert_recovers(self):
        caller = Caller(self.cluster)

        def is_whole():
            return caller.search({}, deadline_ms=DEADLINE_MS).code == 0

        wait_until(is_whole, "answers are whole again")

    def test_damaged_replies(self):
        for kind in DAMAGE_KINDS:
            with self.subTest(kind=kind):
                faults = [Fault(kind, target, share=0.5) for target in BOTH_REPLICAS]
                self.assert_true(answers_during(self.cluster, faults))
        self.assert_recovers()

    def test_frozen_searchers(self):
        faults = [Fault(FaultKind.FREEZE, target) for target in BOTH_REPLICAS]
        attempts = answers_during(self.cluster, faults, 8)
        self.assert_true(attempts)
        self.assertIn(301, {attempt.code for attempt in attempts})
        self.assert_recovers()

    def test_killed_searchers(self):
        attempts = lose_both_replicas(self.cluster)
        self.assert_true(attempts)
        self.assertIn(301, {attempt.code for attempt in attempts})
        self.assert_recovers()

    def test_one_killed_searcher_leaves_answers_whole(self):
        self.cluster.kill_searcher(BOTH_REPLICAS[0])
        self.addCleanup(self.cluster.restart_searcher, BOTH_REPLICAS[0])
        attempts = answers_during(self.cluster, [])
        self.assert_true(attempts)
        self.assertIn(0, {attempt.code for attempt in attempts})

    def test_lying_load_reports_and_health(self):
        lies = [
            Fault(FaultKind.LIE_LOAD, BOTH_REPLICAS[0], running=0, queued=0),
            Fault(FaultKind.LIE_HEALTH, BOTH_REPLICAS[0], healthy=True),
            Fault(FaultKind.STRAGGLE, BOTH_REPLICAS[0], factor=30.0, share=0.3),
        ]
        self.assert_true(answers_during(self.cluster, lies))


class SilentlyPartialTests(ClusterTestCase):
    variant = "silently_partial"

    def test_unnamed_missing_shards_are_found(self):
        attempts = lose_both_replicas(self.cluster)
        self.assertNotEqual([], wrong_answers(self.cluster, attempts))
