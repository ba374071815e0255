from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.coordination.admission import admission
from almondspool.coordination.admission.admission import Admission, Admit, Queue, Refuse
from almondspool.coordination.queues import limits
from almondspool.state.document import Priority
from tests.coordination.admission_session import (
    CAPACITY_PER_S,
    SERVERS,
    AdmissionSession,
)
from tests.golden_session import verify_session


class AdmissionSessionTests(testtools.TestCase):
    def test_temporary_overload(self):
        session = AdmissionSession()
        lines = []
        for title, factor in (
            ("half the capacity", 0.5),
            ("1.3 times the capacity", 1.3),
            ("still", 1.3),
            ("three times the capacity", 3.0),
            ("half the capacity again", 0.5),
        ):
            session.load(factor, 2.0)
            lines.append(session.summary_line(title))
        verify_session("admission_overload", lines)

    def overloaded(self, **options):
        session = AdmissionSession(**options)
        session.load(1.3, 10.0)
        return session

    def test_overload_refuses_lower_classes_and_keeps_goodput(self):
        session = self.overloaded()
        self.assertGreaterEqual(session.goodput(), 0.95 * CAPACITY_PER_S * 10.0)
        self.assertEqual(0, session.counts["refused", Priority.URGENT])
        self.assertEqual(0, session.counts["late", Priority.URGENT])
        waits = sorted(session.waits_by_priority[Priority.URGENT])
        self.assertLess(waits[int(len(waits) * 0.99)], 0.020)

    def test_without_wait_estimates_goodput_drops(self):
        self.patch(Admission, "_is_late", lambda *args: False)
        session = self.overloaded()
        self.assertLess(session.goodput(), 0.9 * CAPACITY_PER_S * 10.0)

    def test_excessive_concurrency_is_reduced(self):
        self.patch(limits, "INITIAL_LIMIT_SHARE", 1.0)
        session = self.overloaded(concurrent=10 * SERVERS)
        self.assertGreaterEqual(session.goodput(), 0.9 * CAPACITY_PER_S * 10.0)

    def test_without_adaptation_excessive_concurrency_lowers_goodput(self):
        self.patch(limits, "INITIAL_LIMIT_SHARE", 1.0)
        self.patch(limits, "MISSED_CUT_FACTOR", 1.0)
        session = self.overloaded(concurrent=10 * SERVERS)
        self.assertLess(session.goodput(), 0.9 * CAPACITY_PER_S * 10.0)

    def make_busy(self, queue_limit=2000):
        busy = Admission(0.0, 1, queue_limit, 1)
        self.assertEqual([Admit("first", 0.0)], busy.submit(0.0, "first", 1, 9.0))
        return busy

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        [refusal] = self.make_busy().submit(0.0, "late", Priority.URGENT, 0.030)
        self.assertEqual(ResultCode.NOT_RUN_OVERLOADED, refusal.code)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_waiting_request_is_refused_before_its_deadline(self):
        busy = self.make_busy()
        [queued] = busy.submit(0.0, "waits", Priority.NORMAL, 0.100)
        self.assertIsInstance(queued, Queue)
        self.assertEqual([], busy.on_timer(0.040))
        [refusal] = busy.on_timer(0.070)
        self.assertEqual("waits", refusal.request_id)

    def test_urgent_displaces_background_from_a_full_queue(self):
        busy = self.make_busy(queue_limit=1)
        busy.submit(0.0, "background", Priority.BACKGROUND, 9.0)
        refused, queued = busy.submit(0.0, "urgent", Priority.URGENT, 9.0)
        self.assertEqual(("background", "urgent"), (refused[0], queued.request_id))
        [refusal] = busy.submit(0.0, "more", Priority.NORMAL, 9.0)
        self.assertEqual(ResultCode.NOT_RUN_OVERLOADED, refusal.code)
        [admitted] = busy.finish(0.02, "first", 0.02)
        self.assertEqual("urgent", admitted.request_id)

    def test_retry_times_grow_with_the_backlog_and_are_jittered(self):
        busy = self.make_busy()
        times = []
        for number in range(200):
            [refusal] = busy.submit(0.0, f"r{number}", Priority.NORMAL, 0.001)
            times.append(refusal.retry_after_ms)
        self.assertLess(sum(times[:50]), sum(times[50:100]))
        self.assertLess(sum(times[50:100]), sum(times[100:150]))
        self.assertNotEqual(sorted(times), times)
        self.assertLessEqual(
            max(times), admission.MAX_RETRY_S * (1 + admission.RETRY_JITTER) * 1000
        )

    def test_long_requests_of_one_kind_do_not_refuse_short_ones(self):
        busy = Admission(0.0, 1, 10, 1)
        for number in range(20):
            for kind, service_s in (("sweep", 0.2), ("check", 0.005)):
                busy.submit(number, f"{kind}{number}", 1, 9.0, kind)
                busy.finish(number, f"{kind}{number}", service_s)
        busy.submit(20.0, "sweep", 1, 9.0, "sweep")
        [queued] = busy.submit(20.0, "check", 1, 0.150, "check")
        self.assertIsInstance(queued, Queue)

    def test_slow_lower_classes_do_not_refuse_urgent_requests(self):
        busy = Admission(0.0, 1, 10, 1)
        for number in range(20):
            for priority, service_s in ((0, 0.02), (2, 0.3)):
                busy.submit(number, f"{priority}{number}", priority, 9.0, "sweep")
                busy.finish(number, f"{priority}{number}", service_s)
        busy.submit(20.0, "running", 2, 9.0, "sweep")
        [queued] = busy.submit(20.0, "urgent", 0, 0.4, "sweep")
        self.assertIsInstance(queued, Queue)

    def test_unused_concurrency_does_not_grow(self):
        admission = Admission(0.0, 64, 10, 1)
        for number in range(1000):
            admission.submit(number, f"r{number}", 1, 0.4, "sweep")
            admission.finish(number + 0.1, f"r{number}", 0.1)
        self.assertEqual(16, admission.stats(1000.0).limit)

    def test_answers_close_to_their_deadline_lower_the_concurrency(self):
        admission = Admission(0.0, 64, 10, 1)
        for number in range(100):
            admission.submit(number, f"r{number}", 1, 0.4, "sweep")
            admission.finish(number + 0.395, f"r{number}", 0.395)
        self.assertEqual(4, admission.stats(100.0).limit)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "finish", "withdraw", "time"]), st.integers(0, 60)
    ),
    max_size=100,
)


class AdmissionPropertyTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(EVENTS)
    def test_each_request_is_admitted_or_refused_once(self, events):
        tested = Admission(0.0, 3, 4, 1)
        now, count = 0.0, 0
        running, waiting, decided = [], set(), set()

        def execute(actions):
            for action in actions:
                self.assertNotIn(action.request_id, decided)
                if isinstance(action, Queue):
                    waiting.add(action.request_id)
                    continue
                waiting.discard(action.request_id)
                decided.add(action.request_id)
                if isinstance(action, Admit):
                    running.append(action.request_id)
                self.assertLessEqual(len(running), 3)
                if isinstance(action, Refuse):
                    self.assertNotEqual(ResultCode.OK, action.code)

        for kind, number in events:
            now += 0.001
            if kind == "arrive":
                request_id = f"r{count}"
                count += 1
                execute(tested.submit(now, request_id, number % 3, number / 100))
                self.assertTrue(request_id in waiting or request_id in decided)
            elif kind == "finish" and running:
                execute(tested.finish(now, running.pop(0), number / 1000))
            elif kind == "withdraw" and waiting:
                request_id = sorted(waiting)[number % len(waiting)]
                waiting.discard(request_id)
                execute(tested.cancel(now, request_id))
            elif kind == "time":
                now += number / 100
                execute(tested.on_timer(now))
        while running:
            execute(tested.finish(now, running.pop(0), 0.01))
        self.assertEqual(set(), waiting)
        self.assertFalse(tested.is_waiting())
