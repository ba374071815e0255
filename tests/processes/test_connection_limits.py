"""Tests that no searcher gets more connections than its limit."""

from __future__ import annotations

import contextlib
import functools
from unittest import mock

from almondspool.codes import ResultCode
from almondspool.standins.deployments import (
    PERTH_ZONES,
    PLANS_BY_NAME,
    DeploymentPlan,
    TeamPlan,
)
from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.records import SUMP_ALARMS
from tests.processes.caller import Load, make_search
from tests.processes.checks import limit_violations, wrong_answers
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    statuses_by_name,
    wait_until,
    wait_until_in_force,
)

# Connections that a searcher accepts.
CONNECTION_LIMIT = 4
ANSWERS_PER_PHASE = 25
CALLER_COUNT = 12
LEG_DELAY_MS = 25.0
DEADLINE_MS = 1000
TIGHT_LIMIT_PLAN = DeploymentPlan(
    PERTH_ZONES,
    SUMP_ALARMS,
    (TeamPlan(TEAM, "urgent", 1000, 2, 3, 4, CONNECTION_LIMIT, 2),),
)


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def run_faults_under_load(cluster):
    """Freeze, kill, stop and restart instances under load; return the attempts."""
    delay = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
    cluster.searcher_controls()[0].set_faults([delay])
    first, second, third = cluster.instances_by_name
    with Load(cluster, make_short_search, CALLER_COUNT) as load:
        load.wait_for_more(ANSWERS_PER_PHASE)
        cluster.freeze(first)
        load.wait_for_more(ANSWERS_PER_PHASE)
        cluster.kill(second)
        load.wait_for_more(ANSWERS_PER_PHASE)
        cluster.resume(first)
        cluster.restart(second)
        load.wait_for_more(ANSWERS_PER_PHASE)
        cluster.terminate(third)
        cluster.restart(third)
        load.wait_for_more(ANSWERS_PER_PHASE)
    return load.final_attempts


@contextlib.contextmanager
def majority_frozen(cluster):
    """Freeze more than half of the instances under load, then resume them.

    Yields the load once the other instances consider the frozen ones dead.
    """
    names = tuple(cluster.instances_by_name)
    frozen = names[: len(names) // 2 + 1]
    survivors = names[len(frozen) :]
    delay = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
    cluster.searcher_controls()[0].set_faults([delay])
    with Load(cluster, make_short_search, CALLER_COUNT) as load:
        load.wait_for_more(ANSWERS_PER_PHASE)
        for name in frozen:
            cluster.freeze(name)
        try:
            wait_until(
                lambda: are_dead(cluster, frozen, survivors),
                "the frozen instances are considered dead",
            )
            yield load
        finally:
            for name in frozen:
                cluster.resume(name)
        load.wait_for_more(ANSWERS_PER_PHASE)


def are_dead(cluster, names, survivors):
    """Return whether each survivor considers the named instances dead."""
    seen = [
        member["status"]
        for status in statuses_by_name(cluster, survivors).values()
        for member in status["members"]
        if member["instance"] in names
    ]
    return seen == ["dead"] * len(names) * len(survivors)


class TightLimitTestCase(ClusterTestCase):
    @classmethod
    def setUpClass(cls):
        cls.enterClassContext(mock.patch.dict(PLANS_BY_NAME, demo=TIGHT_LIMIT_PLAN))
        super().setUpClass()

    def check_limit_with_majority_frozen(self):
        """Check that the limits hold and answers are correct with a frozen majority."""
        with majority_frozen(self.cluster) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
        wait_until_in_force(self.cluster)
        self.assertEqual([], limit_violations(self.cluster))
        self.assertEqual([], wrong_answers(self.cluster, load.final_attempts))


class ConnectionLimitTests(TightLimitTestCase):
    def test_limit_holds_during_faults(self):
        attempts = run_faults_under_load(self.cluster)
        wait_until_in_force(self.cluster)
        self.assertEqual([], limit_violations(self.cluster))
        self.assertEqual([], wrong_answers(self.cluster, attempts))

    def test_limit_holds_while_most_are_frozen(self):
        self.check_limit_with_majority_frozen()


class FiveInstanceLimitTests(TightLimitTestCase):
    instance_count = 5

    def test_limit_holds_while_most_are_frozen(self):
        self.check_limit_with_majority_frozen()


class DeadSharesForgottenTests(TightLimitTestCase):
    variant = "dead_shares_forgotten"

    def test_connections_beyond_the_limit_are_found(self):
        with majority_frozen(self.cluster):
            wait_until(lambda: limit_violations(self.cluster), "a limit is exceeded")


class UnsharedLimitTests(TightLimitTestCase):
    variant = "unshared_limit"
    # Searchers close connections beyond their limit, and the legs on them are lost. It
    # can look as if the search crashed a searcher; then the search is quarantined.
    allowed_initial_codes = (ResultCode.OK, ResultCode.NOT_RUN_QUARANTINED)

    def test_connections_beyond_the_limit_are_found(self):
        delay = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
        self.cluster.searcher_controls()[0].set_faults([delay])
        with Load(self.cluster, make_short_search, CALLER_COUNT) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
        self.assertNotEqual([], limit_violations(self.cluster))
