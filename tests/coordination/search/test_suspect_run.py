from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.search.quarantine import compute_fingerprint
from almondspool.coordination.search.request_run import RequestRun, RunDependencies
from almondspool.coordination.search.search import make_session
from almondspool.logs import EventLog
from almondspool.protocol.upstream import LegResult
from almondspool.transport.metrics import Metrics
from tests.coordination.search_session_driver import SearchSessionDriver, make_request


class AnsweringRouter:
    """Answers each leg at once and records its assignment."""

    def __init__(self):
        self.assignments = []

    def send(self, priority, pairs, on_result):
        for _, assignment in pairs:
            self.assignments.append(assignment)
            leg = assignment.leg
            on_result(LegResult(leg.leg_id, ResultCode.OK, leg.snapshot, leg.shard))


class SuspectRunTests(testtools.TestCase):
    def run_request(self, is_suspect):
        """Run a search of two shards; return its code and the legs' exclusive flags."""
        driver = SearchSessionDriver()
        now, wall_time = driver.timers.now(), driver.timers.wall_time()
        request = make_request()
        if is_suspect:
            fingerprint = compute_fingerprint(request)
            driver.context.quarantine.record_cut_off(
                int(wall_time * 1000), fingerprint, "s9"
            )
        session = make_session(
            driver.context, request, lambda: driver.section, 1, now, wall_time
        )
        router = AnsweringRouter()
        dependencies = RunDependencies(
            driver.timers,
            router,
            EventLog(lambda line: None),
            Metrics(),
            lambda suspicion: None,
            True,
            lambda upstream_id, report: None,
        )
        run = RequestRun(dependencies, request, session, lambda: driver.section, 0)
        answer = run.run()
        return answer.code, [item.is_exclusive for item in router.assignments]

    def test_the_legs_of_a_suspect_request_are_exclusive(self):
        self.assertEqual((ResultCode.OK, [True, True]), self.run_request(True))

    def test_other_legs_may_share_an_exchange(self):
        self.assertEqual((ResultCode.OK, [False, False]), self.run_request(False))
