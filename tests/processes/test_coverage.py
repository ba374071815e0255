"""Tests that answers are complete except for the shards that they list as missing."""

from __future__ import annotations

import functools
from typing import ClassVar

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Caller, Load, make_search
from tests.processes.checks import wrong_answers
from tests.processes.support import TEAM, ClusterTestCase, wait_until

# Answers with records to collect under each fault.
ANSWER_COUNT = 25
DEADLINE_MS = 600
REPLY_FAULT_KINDS = (
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


def attempts_under_faults(cluster, faults, answers=ANSWER_COUNT):
    """Return the final attempts of a load while faults are active at the searchers."""
    control = cluster.searcher_controls()[0]
    with Load(cluster, make_short_search, caller_count=3) as load:
        control.set_faults(faults)
        target = load.count_answers() + answers
        wait_until(
            lambda: load.count_answers() >= target,
            f"{answers} more answers have arrived under {faults}",
        )
        control.clear_faults()
    return load.final_attempts


def search_without_replicas(cluster):
    """Return the final attempts of a load while a shard has no replica."""
    for upstream_id in BOTH_REPLICAS:
        cluster.kill_searcher(upstream_id)
    try:
        return attempts_under_faults(cluster, [])
    finally:
        for upstream_id in BOTH_REPLICAS:
            cluster.restart_searcher(upstream_id)


class CoverageTests(ClusterTestCase):
    # Short, since truncated replies and the kill of two searchers count as crashes, for
    # which searches are quarantined.
    settings: ClassVar = {"quarantine_s": 0.5}

    def assert_correct(self, attempts):
        self.assertEqual([], wrong_answers(self.cluster, attempts))

    def assert_recovers(self):
        caller = Caller(self.cluster)

        def is_complete():
            return caller.search({}, deadline_ms=DEADLINE_MS).code == 0

        wait_until(is_complete, "answers are complete again")

    def test_damaged_replies(self):
        for kind in REPLY_FAULT_KINDS:
            with self.subTest(kind=kind):
                faults = [Fault(kind, target, share=0.5) for target in BOTH_REPLICAS]
                self.assert_correct(attempts_under_faults(self.cluster, faults))
        self.assert_recovers()

    def test_frozen_searchers(self):
        faults = [Fault(FaultKind.FREEZE, target) for target in BOTH_REPLICAS]
        attempts = attempts_under_faults(self.cluster, faults, 8)
        self.assert_correct(attempts)
        self.assertIn(301, {attempt.code for attempt in attempts})
        self.assert_recovers()

    def test_killed_searchers(self):
        attempts = search_without_replicas(self.cluster)
        self.assert_correct(attempts)
        self.assertIn(301, {attempt.code for attempt in attempts})
        self.assert_recovers()

    def test_answers_stay_complete_without_one_searcher(self):
        self.cluster.kill_searcher(BOTH_REPLICAS[0])
        self.addCleanup(self.cluster.restart_searcher, BOTH_REPLICAS[0])
        attempts = attempts_under_faults(self.cluster, [])
        self.assert_correct(attempts)
        self.assertIn(0, {attempt.code for attempt in attempts})

    def test_false_load_and_health_reports(self):
        misreports = [
            Fault(FaultKind.LIE_LOAD, BOTH_REPLICAS[0], running=0, queued=0),
            Fault(FaultKind.LIE_HEALTH, BOTH_REPLICAS[0], healthy=True),
            Fault(FaultKind.STRAGGLE, BOTH_REPLICAS[0], factor=30.0, share=0.3),
        ]
        self.assert_correct(attempts_under_faults(self.cluster, misreports))


class SilentlyPartialTests(ClusterTestCase):
    variant = "silently_partial"

    def test_unreported_missing_shards_are_found(self):
        attempts = search_without_replicas(self.cluster)
        self.assertNotEqual([], wrong_answers(self.cluster, attempts))
