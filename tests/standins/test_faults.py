from __future__ import annotations

import msgspec
import testtools

from almondspool.standins.faults import Fault, FaultInjector, FaultKind, Journal
from tools.run_tests import ROOT


class FaultInjectorTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.faults = FaultInjector()

    def test_target_and_method_limit_a_fault(self):
        self.faults.replace([Fault(FaultKind.OUTAGE, target="claim", method="PUT")])
        self.assertIsNotNone(self.faults.trigger(FaultKind.OUTAGE, "claim", "PUT"))
        self.assertIsNone(self.faults.trigger(FaultKind.OUTAGE, "claim", "GET"))
        self.assertIsNone(self.faults.trigger(FaultKind.OUTAGE, "section", "PUT"))
        self.assertIsNone(self.faults.trigger(FaultKind.FREEZE, "claim", "PUT"))

    def test_count_limits_occurrences(self):
        self.faults.replace([Fault(FaultKind.MALFORMED, count=2)])
        results = [self.faults.trigger(FaultKind.MALFORMED) for _ in range(3)]
        self.assertEqual([True, True, False], [item is not None for item in results])

    def test_share_is_seeded(self):
        runs = []
        for _ in range(2):
            self.faults.replace([Fault(FaultKind.STRAGGLE, share=0.5, seed=3)])
            results = [self.faults.trigger(FaultKind.STRAGGLE) for _ in range(40)]
            runs.append([item is not None for item in results])
        self.assertEqual(runs[0], runs[1])
        self.assertEqual({True, False}, set(runs[0]))

    def test_subscribers_are_notified_of_changes(self):
        notifications = []
        self.faults.subscribe(
            lambda: notifications.append(self.faults.is_active("freeze"))
        )
        self.faults.replace([Fault(FaultKind.FREEZE)])
        self.faults.replace([])
        self.assertEqual([True, False], notifications)

    def test_unknown_parameter_is_rejected(self):
        body = b'[{"kind": "delay", "delay": 5}]'
        error = self.assertRaises(
            msgspec.ValidationError, msgspec.json.decode, body, type=list[Fault]
        )
        self.assertIn("delay", str(error))


class DocumentationTests(testtools.TestCase):
    def test_page_lists_every_fault(self):
        page = (ROOT / "docs" / "standins.md").read_text()
        rows = page.partition("## Faults")[2].splitlines()
        listed = {row.split("`")[1] for row in rows if row.startswith("| `")}
        self.assertEqual(set(FaultKind), listed)


class JournalTests(testtools.TestCase):
    def test_entries_above_the_limit_are_counted(self):
        journal = Journal(max_entries=1)
        for kind in (FaultKind.DELAY, FaultKind.SLOW):
            journal.add(Fault(kind))
        value = journal.as_json_value()
        self.assertEqual(([Fault("delay")], 1), (value["entries"], value["dropped"]))
