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
    statuses,
    wait_until,
    wait_until_in_force,
)

CONNECTIONS = 4
ANSWERS = 25
CALLERS = 12
LEG_DELAY_MS = 25.0
DEADLINE_MS = 1000
TIGHT_LIMIT_PLAN = DeploymentPlan(
    PERTH_ZONES,
    SUMP_ALARMS,
    (TeamPlan(TEAM, "urgent", 1000, 2, 3, 4, CONNECTIONS, 2),),
)


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def run_faults_under_load(cluster):
    """Freeze, kill, stop and restart instances under load; return the attempts."""
    slow = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
    cluster.searcher_controls()[0].set_faults([slow])
    first, second, third = cluster.instances_by_name
    with Load(cluster, make_short_search, CALLERS) as load:
        load.wait_for_more(ANSWERS)
        cluster.freeze(first)
        load.wait_for_more(ANSWERS)
        cluster.kill(second)
        load.wait_for_more(ANSWERS)
        cluster.resume(first)
        cluster.restart(second)
        load.wait_for_more(ANSWERS)
        cluster.terminate(third)
        cluster.restart(third)
        load.wait_for_more(ANSWERS)
    return load.attempts


@contextlib.contextmanager
def majority_frozen(cluster):
    """Freeze more than half of the instances under load, then resume them.

    Yields the load once the other instances hold the frozen ones for dead.
    """
    names = tuple(cluster.instances_by_name)
    frozen = names[: len(names) // 2 + 1]
    survivors = names[len(frozen) :]
    slow = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
    cluster.searcher_controls()[0].set_faults([slow])
    with Load(cluster, make_short_search, CALLERS) as load:
        load.wait_for_more(ANSWERS)
        for name in frozen:
            cluster.freeze(name)
        try:
            wait_until(lambda: are_dead(cluster, frozen, survivors), "they are dead")
            yield load
        finally:
            for name in frozen:
                cluster.resume(name)
        load.wait_for_more(ANSWERS)


def are_dead(cluster, names, survivors):
    """Return whether each survivor holds the named instances for dead."""
    seen = [
        member["status"]
        for status in statuses(cluster, survivors).values()
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
        """Check the limits and the answers while most instances are frozen."""
        with majority_frozen(self.cluster) as load:
            load.wait_for_more(ANSWERS)
        wait_until_in_force(self.cluster)
        self.assertEqual([], limit_violations(self.cluster))
        self.assertEqual([], wrong_answers(self.cluster, load.attempts))


class ConnectionLimitTests(TightLimitTestCase):
    def test_limit_holds_through_faults(self):
        attempts = run_faults_under_load(self.cluster)
        wait_until_in_force(self.cluster)
        self.assertEqual([], limit_violations(self.cluster))
        self.assertEqual([], wrong_answers(self.cluster, attempts))

    def test_limit_holds_while_most_are_frozen(self):
        self.check_limit_with_majority_frozen()


class FiveInstancesTests(TightLimitTestCase):
    instances = 5

    def test_limit_holds_while_most_are_frozen(self):
        self.check_limit_with_majority_frozen()


class DeadSharesForgottenTests(TightLimitTestCase):
    variant = "dead_shares_forgotten"

    def test_connections_beyond_the_limit_are_found(self):
        with majority_frozen(self.cluster):
            wait_until(lambda: limit_violations(self.cluster), "a limit is exceeded")


class UnsharedLimitTests(TightLimitTestCase):
    variant = "unshared_limit"
    # Searchers close the connections beyond their limit and so lose the legs on them.
    # This can look like a crash, and then the search is quarantined.
    initial_codes = (ResultCode.OK, ResultCode.NOT_RUN_QUARANTINED)

    def test_connections_beyond_the_limit_are_found(self):
        slow = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
        self.cluster.searcher_controls()[0].set_faults([slow])
        with Load(self.cluster, make_short_search, CALLERS) as load:
            load.wait_for_more(ANSWERS)
        self.assertNotEqual([], limit_violations(self.cluster))
