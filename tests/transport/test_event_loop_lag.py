from __future__ import annotations

import testtools

from almondspool.transport.event_loop_lag import WINDOW_S, TurnWatch


class TurnWatchTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.watch = TurnWatch(0.25)
        self.now = 100.0

    def tick(self, late_s=0.0):
        self.now += 0.25 + late_s
        self.watch.tick(self.now)

    def test_nothing_is_late_at_first(self):
        self.watch.tick(self.now)
        self.assertEqual(0.0, self.watch.longest_s())

    def test_longest_turn_is_kept_for_a_window(self):
        self.watch.tick(self.now)
        self.tick(late_s=0.08)
        for _ in range(int(WINDOW_S / 0.25)):
            self.tick()
        self.assertAlmostEqual(0.08, self.watch.longest_s())

    def test_turn_of_long_ago_is_forgotten(self):
        self.watch.tick(self.now)
        self.tick(late_s=0.08)
        for _ in range(int(2 * WINDOW_S / 0.25) + 2):
            self.tick()
        self.assertAlmostEqual(0.0, self.watch.longest_s())
