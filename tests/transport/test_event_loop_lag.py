from __future__ import annotations

import testtools

from almondspool.transport.event_loop_lag import WINDOW_S, EventLoopLagMonitor


class EventLoopLagMonitorTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.monitor = EventLoopLagMonitor(0.25)
        self.now = 100.0

    def tick(self, lag_s=0.0):
        self.now += 0.25 + lag_s
        self.monitor.tick(self.now)

    def test_lag_is_zero_at_first(self):
        self.monitor.tick(self.now)
        self.assertEqual(0.0, self.monitor.max_lag_s())

    def test_maximum_is_kept_for_a_window(self):
        self.monitor.tick(self.now)
        self.tick(lag_s=0.08)
        for _ in range(int(WINDOW_S / 0.25)):
            self.tick()
        self.assertAlmostEqual(0.08, self.monitor.max_lag_s())

    def test_maximum_expires_after_two_windows(self):
        self.monitor.tick(self.now)
        self.tick(lag_s=0.08)
        for _ in range(int(2 * WINDOW_S / 0.25) + 2):
            self.tick()
        self.assertAlmostEqual(0.0, self.monitor.max_lag_s())
