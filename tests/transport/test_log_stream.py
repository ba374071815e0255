from __future__ import annotations

import os

import testtools

from almondspool.transport.log_stream import (
    MAX_UNWRITTEN_BYTES,
    EventRate,
    RateLimitedEventLog,
)
from almondspool.transport.timers import VirtualTimers


class RateLimitedEventLogTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.timers = VirtualTimers()
        rates = {"request.failed": EventRate(100.0, 200.0)}
        self.log = RateLimitedEventLog(writer, self.timers, rates)
        self.log.start()
        os.set_blocking(self.reader, False)

    def read(self):
        text = b""
        while True:
            try:
                text += os.read(self.reader, 65536)
            except BlockingIOError:
                return text.decode()

    def test_lines_are_key_values_with_time_and_level(self):
        self.log.write("store.lost", kind="servers", detail="no answer")
        self.timers.advance(0.2)
        self.assertRegex(
            self.read(),
            r"^time=\d+\.\d{6} level=info event=store.lost kind=servers "
            r'detail="no answer"\n$',
        )

    def test_rate_of_an_event_is_limited_and_suppressed_lines_are_counted(self):
        for number in range(500):
            self.log.write("request.answered", request=number)
        self.timers.advance(1.2)
        lines = self.read().splitlines()
        self.assertEqual(80, sum("request.answered request" in line for line in lines))
        self.assertIn("of=request.answered lines=420", lines[-1])

    def test_failures_are_logged_while_other_events_are_suppressed(self):
        for number in range(150):
            self.log.write("request.answered", request=number)
            self.log.write("request.failed", request=number)
        self.timers.advance(0.2)
        self.assertEqual(150, self.read().count("event=request.failed"))

    def test_stuck_reader_does_not_block_and_dropped_lines_are_counted(self):
        rates = {"big": EventRate(1e6, 1e6)}
        self.log._rates_by_event.update(rates)
        for _ in range(3 * MAX_UNWRITTEN_BYTES // 1000):
            self.log.write("big", text="x" * 1000)
            self.timers.advance(0.01)
        self.assertTrue(self.log.dropped > 0)
        self.assertTrue(len(self.log._unwritten) <= MAX_UNWRITTEN_BYTES + 1100)
        self.read()
        self.timers.advance(5.0)
        self.read()
        self.timers.advance(5.0)
        self.assertIn("event=log.dropped", self.read() + str(self.log._unwritten))

    def test_closed_reader_raises_nothing(self):
        reader, writer = os.pipe()
        log = RateLimitedEventLog(writer, self.timers)
        os.close(reader)
        log.write("a")
        log.flush()
        self.assertEqual(1, log.dropped)
        os.close(writer)
