from __future__ import annotations

import math
import random

import testtools

from almondspool.coordination.admission import backlog
from almondspool.coordination.admission.backlog import (
    BacklogCleared,
    BacklogKey,
    BacklogMonitor,
    BacklogWarning,
)
from almondspool.transport.timers import VirtualTimers
from tests.golden_session import verify_session

KEY = BacklogKey("perth", "alert-desk-1")
LIMIT = 2000
INTERVAL_S = 10.0
HOUR_S = 3600.0


class _SimulatedQueue:
    """Simulated queue with configurable arrival and service rates."""

    def __init__(self):
        self.timers = VirtualTimers()
        self.monitor = BacklogMonitor()
        self.random = random.Random(4)
        self.length = 0.0
        self.events = []
        self.full_at = math.inf

    def run(self, duration_s, arrivals_per_s, served_per_s):
        for _ in range(int(duration_s / INTERVAL_S)):
            self.timers.advance(INTERVAL_S)
            self._step(arrivals_per_s, served_per_s)

    def _step(self, arrivals_per_s, served_per_s):
        now = self.timers.now()
        arrived = arrivals_per_s * INTERVAL_S * self.random.uniform(0.97, 1.03)
        served = min(self.length + arrived, served_per_s * INTERVAL_S)
        self.length = min(LIMIT, self.length + arrived - served)
        if self.length >= LIMIT:
            self.full_at = min(self.full_at, now)
        self.monitor.add_arrivals(now, KEY, arrived)
        self.monitor.add_served(now, KEY, served)
        age_s = self.length / served_per_s
        for action in self.monitor.observe(now, KEY, int(self.length), LIMIT, age_s):
            self.events.append((now, action))

    def status_line(self):
        [queue] = self.monitor.stats(self.timers.now())
        return (
            f"{self.timers.now() / HOUR_S:5.2f} h  {queue.length} of {queue.limit}"
            f" wait, oldest {queue.oldest_age_s:.0f} s, {queue.arrivals_per_s:.2f}/s"
            f" in, {queue.served_per_s:.2f}/s out,"
            f" limit in {queue.time_to_limit_s / HOUR_S:.1f} h,"
            f" drains in {queue.time_to_drain_s:.0f} s,"
            f" {'warning' if queue.warning else 'no warning'}"
        )


class BacklogTests(testtools.TestCase):
    def test_slow_growth_and_recovery(self):
        queue, lines, reported = _SimulatedQueue(), [], 0
        plan = [(20.00, 20.0)] * 2 + [(20.06, 20.0)] * 9 + [(16.0, 20.0)] * 2
        for arrivals_per_s, served_per_s in plan:
            for _ in range(2):
                queue.run(HOUR_S / 2, arrivals_per_s, served_per_s)
                for at, action in queue.events[reported:]:
                    kind = type(action).__name__
                    lines.append(
                        f"{at / HOUR_S:5.2f} h  {kind} at {action.stats.length}"
                    )
                reported = len(queue.events)
                lines.append(queue.status_line())
        verify_session("backlog_night", lines)

    def warning_lead_s(self):
        queue = _SimulatedQueue()
        queue.run(12 * HOUR_S, 20.06, 20.0)
        self.assertLess(queue.full_at, math.inf)
        warned_at, action = queue.events[0]
        self.assertIsInstance(action, BacklogWarning)
        return queue.full_at - warned_at

    def test_slow_growth_raises_a_warning_hours_before_the_limit(self):
        self.assertGreater(self.warning_lead_s(), 5 * HOUR_S)

    def test_without_prediction_the_warning_comes_late(self):
        short = [scale._replace(horizon_s=0.0) for scale in backlog.TREND_SCALES]
        self.patch(backlog, "TREND_SCALES", tuple(short))
        self.assertLess(self.warning_lead_s(), 3 * HOUR_S)

    def test_fast_growth_raises_a_warning_before_the_limit(self):
        queue = _SimulatedQueue()
        queue.run(600, 18.0, 20.0)
        queue.run(600, 30.0, 20.0)
        self.assertLess(queue.events[0][0], queue.full_at - 60)

    def test_steady_queue_raises_no_warning(self):
        queue = _SimulatedQueue()
        queue.run(300, 20.5, 20.0)
        queue.run(6 * HOUR_S, 19.99, 20.0)
        self.assertEqual([], queue.events)

    def oscillation_events(self):
        queue = _SimulatedQueue()
        queue.run(2000, 20.5, 20.0)
        for _ in range(12):
            queue.run(600, 19.8, 20.0)
            queue.run(600, 20.2, 20.0)
        return [type(action) for _, action in queue.events]

    def test_oscillating_queue_raises_one_warning(self):
        self.assertLessEqual(len(self.oscillation_events()), 2)

    def test_without_hysteresis_an_oscillating_queue_raises_repeated_warnings(self):
        self.patch(backlog, "CLEAR_HORIZON_FACTOR", 0.0)
        self.patch(backlog, "CLEAR_AFTER_S", 0.0)
        self.patch(backlog, "CLEAR_SHARE", 1.0)
        self.assertGreater(self.oscillation_events().count(BacklogCleared), 3)
