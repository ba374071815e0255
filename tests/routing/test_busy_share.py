from __future__ import annotations

import testtools

from almondspool.routing.busy_share import HOLD_S, SPAN_S, BusyShare


class BusyShareTests(testtools.TestCase):
    def play(self, busy, start, spans, turn_s):
        now = start
        for _ in range(spans):
            busy.note_first_turn(turn_s)
            now += SPAN_S
            busy.tick(now)
        return now

    def test_idle_and_busy(self):
        busy = BusyShare(0.0)
        now = self.play(busy, 0.0, 2, 0.0)
        self.assertEqual(0.0, busy.share())
        self.play(busy, now, 1, SPAN_S / 4)
        self.assertEqual(0.5, busy.share())

    def test_the_same_work_on_a_slow_machine_is_a_higher_load(self):
        fast, slow = BusyShare(0.0), BusyShare(0.0)
        self.play(fast, 0.0, 4, 0.02)
        self.play(slow, 0.0, 4, 0.2)
        self.assertEqual(0.0, fast.share())
        self.assertEqual(1.0, slow.share())

    def test_a_load_counts_for_a_while(self):
        busy = BusyShare(0.0)
        now = self.play(busy, 0.0, 1, SPAN_S)
        spans = int(HOLD_S / SPAN_S)
        now = self.play(busy, now, spans - 1, 0.0)
        self.assertEqual(1.0, busy.share())
        self.play(busy, now, 1, 0.0)
        self.assertEqual(0.0, busy.share())

    def test_a_span_that_is_not_over_does_not_count(self):
        busy = BusyShare(0.0)
        busy.note_first_turn(SPAN_S)
        busy.tick(SPAN_S / 2)
        self.assertEqual(0.0, busy.share())
