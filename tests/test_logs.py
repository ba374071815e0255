from __future__ import annotations

import io
import logging

import testtools
from absl import logging as absl_logging

from almondspool.absl_logs import AbslLineFormatter, AbslSink
from almondspool.logs import EventLog, format_event


class FormatEventTests(testtools.TestCase):
    def test_values_of_each_type(self):
        line = format_event(
            "leg.routed",
            upstream="alert-desk-01-a",
            legs=3,
            share=0.12345678,
            idempotent=True,
            reason="no replica left",
            empty="",
            candidates=["a:0.1", "b:0.2"],
            names=("a b", "c"),
            code=None,
        )
        self.assertEqual(
            "event=leg.routed upstream=alert-desk-01-a legs=3 share=0.123457"
            ' idempotent=true reason="no replica left" empty=""'
            r' candidates=a:0.1,b:0.2 names="\"a b\",c" code=None',
            line,
        )


class AbslSinkTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.handler = absl_logging.get_absl_handler().python_handler
        self.patch(self.handler, "stream", io.StringIO())
        self.addCleanup(absl_logging.set_verbosity, absl_logging.get_verbosity())
        absl_logging.set_verbosity(absl_logging.INFO)
        self.log = EventLog(AbslSink())

    def written(self):
        return self.handler.stream.getvalue()

    def test_line_matches_the_formatter(self):
        self.log.write("leg.routed", leg="a.1")
        record = logging.LogRecord(
            "absl", logging.INFO, "", 0, "event=leg.routed leg=a.1", None, None
        )
        expected = AbslLineFormatter().format(record)
        self.assertEqual(expected.split()[1:], self.written().split()[1:])
        self.assertRegex(self.written(), r"\Atime=\d+\.\d{6} level=info ")
        self.assertEqual(1, self.written().count("\n"))

    def test_lower_verbosity_writes_nothing(self):
        absl_logging.set_verbosity(absl_logging.WARNING)
        self.log.write("leg.routed", leg="a.1")
        self.assertEqual("", self.written())
