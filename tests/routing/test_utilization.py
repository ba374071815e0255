from __future__ import annotations

import testtools

from almondspool.routing.utilization import INTERVAL_S, WINDOW_S, UtilizationMeter


class UtilizationMeterTests(testtools.TestCase):
    def run_intervals(self, meter, start, intervals, dispatch_s):
        now = start
        for _ in range(intervals):
            meter.record_dispatch(dispatch_s)
            now += INTERVAL_S
            meter.tick(now)
        return now

    def test_idle_and_busy_intervals(self):
        meter = UtilizationMeter(0.0)
        now = self.run_intervals(meter, 0.0, 2, 0.0)
        self.assertEqual(0.0, meter.value())
        self.run_intervals(meter, now, 1, INTERVAL_S / 4)
        self.assertEqual(0.5, meter.value())

    def test_same_work_on_a_slower_machine_is_a_higher_utilization(self):
        fast, slow = UtilizationMeter(0.0), UtilizationMeter(0.0)
        self.run_intervals(fast, 0.0, 4, 0.02)
        self.run_intervals(slow, 0.0, 4, 0.2)
        self.assertEqual(0.0, fast.value())
        self.assertEqual(1.0, slow.value())

    def test_peak_counts_for_the_whole_window(self):
        meter = UtilizationMeter(0.0)
        now = self.run_intervals(meter, 0.0, 1, INTERVAL_S)
        intervals = int(WINDOW_S / INTERVAL_S)
        now = self.run_intervals(meter, now, intervals - 1, 0.0)
        self.assertEqual(1.0, meter.value())
        self.run_intervals(meter, now, 1, 0.0)
        self.assertEqual(0.0, meter.value())

    def test_unfinished_interval_does_not_count(self):
        meter = UtilizationMeter(0.0)
        meter.record_dispatch(INTERVAL_S)
        meter.tick(INTERVAL_S / 2)
        self.assertEqual(0.0, meter.value())
