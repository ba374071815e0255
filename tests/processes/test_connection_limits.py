"""No searcher ever sees more connections than its limit."""

from __future__ import annotations

from unittest import mock

from almondspool.standins.deployments import PERTH_ZONES, PLANS_BY_NAME, Plan, TeamPlan
from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.records import SUMP_ALARMS
from tests.processes.caller import Load
from tests.processes.checks import beyond_limit, wrong_answers
from tests.processes.support import TEAM, ClusterTestCase, wait_in_force, wait_until

CONNECTIONS = 4
ANSWERS = 25
CALLERS = 12
LEG_DELAY_MS = 25.0
TIGHT = Plan(
    PERTH_ZONES,
    SUMP_ALARMS,
    (TeamPlan(TEAM, "urgent", 1000, 2, 3, 4, CONNECTIONS, 2),),
)


def strain(cluster):
    """Kill, freeze, restart and stop instances under load; return the answers."""
    slow = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
    cluster.searcher_controls()[0].set_faults([slow])
    first, second, third = cluster.instances_by_name
    with Load(cluster, callers=CALLERS) as load:
        wait_for_more(load)
        cluster.freeze(first)
        wait_for_more(load)
        cluster.kill(second)
        wait_for_more(load)
        cluster.resume(first)
        cluster.restart(second)
        wait_for_more(load)
        cluster.terminate(third)
        cluster.restart(third)
        wait_for_more(load)
    return load.attempts


def wait_for_more(load):
    enough = load.count() + ANSWERS
    wait_until(lambda: load.count() >= enough, f"{ANSWERS} answers are there")


class TightTestCase(ClusterTestCase):
    @classmethod
    def setUpClass(cls):
        cls.enterClassContext(mock.patch.dict(PLANS_BY_NAME, demo=TIGHT))
        super().setUpClass()


class ConnectionLimitTests(TightTestCase):
    def test_limit_holds_through_faults(self):
        attempts = strain(self.cluster)
        wait_in_force(self.cluster)
        self.assertEqual([], beyond_limit(self.cluster))
        self.assertEqual([], wrong_answers(self.cluster, attempts))


class UnsharedLimitTests(TightTestCase):
    variant = "unshared_limit"

    def test_connections_beyond_the_limit_are_found(self):
        strain(self.cluster)
        self.assertNotEqual([], beyond_limit(self.cluster))
