from __future__ import annotations

import testtools

from almondspool.routing.staleness import (
    CONFIGURATION_STALE_AFTER_S,
    ENTRIES_STALE_AFTER_S,
    MIN_REREAD_INTERVAL_S,
    StalenessDetector,
)


class StalenessDetectorTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.detector = StalenessDetector()

    def test_up_to_date_instance_does_not_reread(self):
        for now in range(20):
            self.assertFalse(self.detector.is_reread_due(float(now), 7, 7))
            self.assertFalse(self.detector.is_reread_due(float(now), 7, 6))

    def test_change_that_arrives_in_time_causes_no_reread(self):
        self.assertFalse(self.detector.is_reread_due(10.0, 7, 8))
        self.assertFalse(
            self.detector.is_reread_due(10.0 + CONFIGURATION_STALE_AFTER_S / 2, 8, 8)
        )
        self.assertFalse(
            self.detector.is_reread_due(10.0 + CONFIGURATION_STALE_AFTER_S, 8, 9)
        )

    def test_continuous_changes_that_arrive_in_time_cause_no_reread(self):
        for tenth in range(200):
            now = tenth / 10
            # For twenty seconds, each version arrives half a second after the others.
            self.assertFalse(self.detector.is_reread_due(now, max(0, tenth - 5), tenth))

    def test_follower_of_a_stuck_watch_rereads(self):
        detector = StalenessDetector(ENTRIES_STALE_AFTER_S)
        reread_times = [
            tenth / 10
            for tenth in range(60)
            if detector.is_reread_due(tenth / 10, min(tenth, 20), tenth)
        ]
        # Time advances in steps of 0.1 s.
        self.assertTrue(
            2.05 < reread_times[0] - ENTRIES_STALE_AFTER_S < 2.25, reread_times[0]
        )

    def test_instance_that_stays_behind_rereads_at_intervals(self):
        reread_times = [
            tenth / 10
            for tenth in range(100)
            if self.detector.is_reread_due(tenth / 10, 7, 8)
        ]
        self.assertAlmostEqual(CONFIGURATION_STALE_AFTER_S, reread_times[0])
        self.assertAlmostEqual(
            CONFIGURATION_STALE_AFTER_S + MIN_REREAD_INTERVAL_S, reread_times[1]
        )
        self.assertTrue(len(reread_times) <= 4)
