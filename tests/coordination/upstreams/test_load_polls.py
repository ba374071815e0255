from __future__ import annotations

import collections

import testtools

from almondspool.coordination.upstreams.load_polls import (
    IDLE_ROUNDS,
    LoadPolls,
    is_poller,
)
from almondspool.protocol.upstream import LoadReport

IDLE = LoadReport(0, 0, False, 1.0)
BUSY = LoadReport(2, 0, False, 1.0)
DRAINING = LoadReport(0, 0, True, 1.0)
COLD = LoadReport(0, 0, False, 0.5)
HELD = tuple(f"s{number}" for number in range(25))


class LoadPollsTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.polls = LoadPolls(1.0)
        self.now = 100.0

    def round(self, held=HELD, report=IDLE, polls_idle=True):
        """Run one round in which every polled upstream returns the report, if any."""
        self.now += 1.0
        polled = self.polls.select_due(self.now, held, lambda upstream_id: polls_idle)
        for upstream_id in polled if report is not None else ():
            self.polls.record_report(self.now, upstream_id, report)
        return polled

    def rounds(self, count, **options):
        return [self.round(**options) for _ in range(count)]

    def test_idle_upstreams_are_polled_in_turn(self):
        for _ in range(3):
            polled = self.rounds(IDLE_ROUNDS)
            self.assertEqual(sorted(HELD), sorted(sum(polled, ())))
            self.assertLessEqual(max(map(len, polled)), 3)

    def test_only_one_holder_polls_an_idle_upstream(self):
        self.assertEqual([()] * 30, self.rounds(30, polls_idle=False))
        for upstream_id in HELD:
            holders = ("north-1", "south-1", "hills-1")
            pollers = [
                name for name in holders if is_poller(name, upstream_id, holders)
            ]
            self.assertEqual(1, len(pollers))

    def test_an_upstream_whose_replies_carry_reports_is_not_polled(self):
        for _ in range(30):
            self.polls.record_report(self.now + 0.5, "s0", BUSY)
            self.assertEqual((), self.round(held=("s0",)))

    def test_a_busy_upstream_is_polled_as_soon_as_reports_stop(self):
        self.polls.record_report(self.now + 0.5, "s0", BUSY)
        polled = self.rounds(4, held=("s0",), report=BUSY)
        self.assertEqual([(), ("s0",), ("s0",), ("s0",)], polled)
        self.polls.record_report(self.now + 0.5, "s0", BUSY)
        self.assertEqual([()] * 4, self.rounds(4, held=("s0",), polls_idle=False))

    def test_replies_without_reports_make_every_holder_poll(self):
        for _ in range(3):
            self.polls.record_reply_without_report(self.now + 0.5, "s0")
            self.assertEqual(("s0",), self.round(held=("s0",), polls_idle=False))

    def test_a_draining_or_cold_upstream_is_polled_by_every_holder(self):
        for report in (DRAINING, COLD):
            self.polls.record_report(self.now, "s0", report)
            polled = self.rounds(5, held=("s0",), report=report, polls_idle=False)
            self.assertEqual([("s0",)] * 5, polled)

    def test_polls_of_an_upstream_that_returns_no_report_end(self):
        self.polls.record_report(self.now, "s0", DRAINING)
        polled = self.rounds(9, held=("s0",), report=None, polls_idle=False)
        self.assertEqual([("s0",)] * 5 + [()] * 4, polled)

    def test_silent_upstreams_do_not_delay_polls_of_the_others(self):
        polled = collections.Counter()
        for _ in range(3 * IDLE_ROUNDS):
            polled.update(self.round(report=None))
        self.assertEqual({3}, set(polled.values()))

    def test_an_upstream_that_is_held_again_is_polled_anew(self):
        self.polls.record_report(self.now, "s0", BUSY)
        self.assertEqual((), self.round(held=()))
        self.assertEqual(("s0",), self.round(held=("s0",)))
